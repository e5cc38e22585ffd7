// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package throttle

import (
	"math"
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/limit"
	"github.com/canvaspulley/canvaspulley/internal/decide/own"
)

// Times of parts that are lent.
const (
	// lease is for how long a part is lent. What a borrower has no use for it gives back, so
	// this is only how long a part lies unused of which a message was lost.
	lease = time.Second
	// quiet is after how long without a request a gateway has no use for its parts. It is above
	// the time between the callers of a gateway that could use half of a small limit.
	quiet = 200 * time.Millisecond
	// askEvery is the least time between two asks to the same gateway.
	askEvery = 100 * time.Millisecond
	// The time between asks grows by lentGrowth up to longestLentWait where another gateway has
	// the part, which may return it any moment, and by usedGrowth where the asked one uses it.
	lentGrowth      = 2
	longestLentWait = lease
	usedGrowth      = 4
	longestUsedWait = turnTime
)

// Kind is what a message says of a part.
type Kind int

// The kinds.
const (
	Borrow       Kind = iota + 1 // For the part of the receiver.
	Grant                        // Of what was asked for.
	RefusedLent                  // Refusal: another gateway has it.
	RefusedInUse                 // Refusal: the asked one has use for it, or has none.
	Return                       // Of what was granted.
)

// ShareMessage is a message on one gateway's part of an endpoint's limit.
type ShareMessage struct {
	Kind          Kind
	Endpoint      string
	RequestNumber int64         // Of the ask.
	Tokens        float64       // Of a grant or return.
	LeaseTime     time.Duration // Of a grant.
}

// Outgoing is a part and the gateway that is to be told.
type Outgoing struct {
	To string
	ShareMessage
}

// holder is another gateway that has a part in this turn.
type holder struct {
	name    string
	number  int64 // Of the ask under way; 0 without one.
	askedAt time.Time
	wait    time.Duration // Until it may be asked again.
	granted int64         // Number of the ask by which its part is here; 0 while it is not.
	until   time.Time     // Its part is here.
}

// loans is what is lent and borrowed of one endpoint's limit. Invariant: each part is at one
// gateway at a time, as a borrower counts its lease from before the lender does.
type loans struct {
	usedAt   time.Time // Last request that could go there.
	wantedAt time.Time // Last request that found no token.
	missedAt time.Time // Last one that found none while this gateway's part was lent.
	holders  []holder  // In the turn, by the gateways that are known; nil before it is asked for.
	to       string    // Who has this gateway's part.
	number   int64     // Of its ask; 0 while nobody has it.
	until    time.Time
}

// use notes that a request could go to the endpoint.
func (s *loans) use(due bool, now time.Time) {
	s.usedAt = now
	if due {
		return
	}
	s.wantedAt = now
	if s.away(now) {
		s.missedAt = now
	}
}

// away reports whether this gateway's part is lent.
func (s *loans) away(now time.Time) bool { return s.number != 0 && now.Before(s.until) }

// renew drops what is borrowed: the parts are others' in a new turn, or for other gateways.
func (s *loans) renew() { s.holders = nil }

// here returns how many borrowed parts are here.
func (s *loans) here() (n int) {
	for _, h := range s.holders {
		if h.granted != 0 {
			n++
		}
	}
	return n
}

// fit gives the bucket the size of the parts that are here from a moment on.
func (e *endpoint) fit(at time.Time) {
	n := float64(e.loans.here())
	if e.owns && !e.loans.away(at) {
		n++
	}
	switch {
	case e.bucket != nil:
		e.bucket.SetRate(n*e.part.Rate, n*e.part.Burst, at)
	case n > 0:
		e.bucket = limit.NewBucketWith(n*e.part.Rate, n*e.part.Burst, 0, at)
	}
}

// add puts in the tokens that came with a part.
func (e *endpoint) add(tokens float64, now time.Time) {
	if e.bucket != nil {
		e.bucket.Add(min(max(tokens, 0), e.part.Burst), now)
	}
}

// settle ends the leases that are over, each at its time.
func (e *endpoint) settle(now time.Time) {
	for {
		var first *holder
		at := now
		for i := range e.loans.holders {
			if h := &e.loans.holders[i]; h.granted != 0 && !h.until.After(at) {
				first, at = h, h.until
			}
		}
		switch {
		case e.loans.number != 0 && !e.loans.until.After(at):
			at = e.loans.until
			e.loans.number = 0
		case first != nil:
			first.granted = 0
		default:
			return
		}
		e.fit(at)
	}
}

// holdersOf returns the other gateways that have a part of an endpoint's limit in a turn.
func holdersOf(id string, turn int64, limit float64, self string, all []string) (list []holder) {
	type scored struct {
		name  string
		score uint64
	}
	key := turnKey(id, turn)
	n := min(len(all), int(math.Floor(min(limit, float64(len(all)))))+1)
	by := make([]scored, 0, n+1) // The highest so far; all is sorted, so names decide between equals.
	for _, name := range all {
		next := scored{name, own.Score(key, name)}
		at := len(by)
		for at > 0 && next.score > by[at-1].score {
			at--
		}
		if at < n {
			by = slices.Insert(by, at, next)
			by = by[:min(len(by), n)]
		}
	}
	for _, s := range by {
		if s.name != self {
			list = append(list, holder{name: s.name})
		}
	}
	return list
}

// OutgoingMessages returns the asks and returns that are due.
func (l *Limits) OutgoingMessages(now time.Time) (list []Outgoing) {
	for id, e := range l.by {
		if !e.word.Limited || len(l.gateways) < 2 {
			continue
		}
		l.share(id, e, now)
		if now.Sub(e.loans.usedAt) >= quiet {
			list = append(list, e.returns(id, now)...)
			continue
		}
		wants := now.Sub(e.loans.wantedAt) < quiet
		if wants && e.loans.holders == nil {
			e.loans.holders = holdersOf(id, e.turn, e.word.Limit, l.self, l.gateways)
		}
		for i := range e.loans.holders {
			h := &e.loans.holders[i]
			if h.granted != 0 && h.until.Sub(now) > lease/2 || h.granted == 0 && !wants || now.Sub(h.askedAt) < max(h.wait, askEvery) {
				continue
			}
			if h.number != 0 { // No answer came.
				h.wait = min(max(lentGrowth*h.wait, askEvery), longestLentWait)
			}
			l.asked = max(l.asked+1, now.UnixNano()) // Above those of a former life.
			h.number, h.askedAt = l.asked, now
			list = append(list, Outgoing{h.name, ShareMessage{Kind: Borrow, Endpoint: id, RequestNumber: h.number}})
		}
	}
	return list
}

// returns gives back what is borrowed.
func (e *endpoint) returns(id string, now time.Time) (list []Outgoing) {
	for i := range e.loans.holders {
		h := &e.loans.holders[i]
		h.number, h.wait = 0, 0
		if h.granted == 0 {
			continue
		}
		tokens := min(e.bucket.Tokens(now), e.part.Burst)
		list = append(list, Outgoing{h.name, ShareMessage{Kind: Return, Endpoint: id, RequestNumber: h.granted, Tokens: tokens}})
		h.granted = 0
		e.bucket.Add(-tokens, now)
		e.fit(now)
	}
	return list
}

// HasOpenLoans reports whether letters may fall due without another request.
func (l *Limits) HasOpenLoans(now time.Time) bool {
	for _, e := range l.by {
		if e.word.Limited && (now.Sub(e.loans.wantedAt) < quiet || e.loans.here() > 0) {
			return true
		}
	}
	return false
}

// AvailableRate returns the requests a second to an endpoint for which parts are here.
func (l *Limits) AvailableRate(id string, now time.Time) (rate float64) {
	e := l.by[id]
	if e == nil || !e.word.Limited {
		return 0
	}
	l.share(id, e, now)
	n := e.loans.here()
	if e.owns && !e.loans.away(now) {
		n++
	}
	return float64(n) * e.part.Rate
}

// ReceiveMessage takes in what another gateway says of a part, and returns what is answered.
func (l *Limits) ReceiveMessage(from string, p ShareMessage, now time.Time) (answer ShareMessage, ok bool) {
	e := l.by[p.Endpoint]
	if p.Kind == Borrow && (e == nil || !e.word.Limited) {
		return ShareMessage{Kind: RefusedInUse, Endpoint: p.Endpoint, RequestNumber: p.RequestNumber}, true
	}
	if e == nil || !e.word.Limited {
		return ShareMessage{}, false
	}
	l.share(p.Endpoint, e, now)
	if p.Kind == Borrow {
		if !l.HasPeer(from) {
			return ShareMessage{}, false
		}
		answer = e.lend(from, p.RequestNumber, now)
		answer.Endpoint, answer.RequestNumber = p.Endpoint, p.RequestNumber
		return answer, true
	}
	if p.Kind == Return {
		if s := &e.loans; s.away(now) && s.to == from && s.number == p.RequestNumber {
			s.number = 0
			e.fit(now)
			e.add(p.Tokens, now)
		}
		return ShareMessage{}, false
	}
	i := slices.IndexFunc(e.loans.holders, func(h holder) bool { return h.name == from && h.number == p.RequestNumber && h.number != 0 })
	if i >= 0 {
		e.answered(&e.loans.holders[i], p, now)
	}
	return ShareMessage{}, false
}

// lend answers an ask.
func (e *endpoint) lend(to string, number int64, now time.Time) ShareMessage {
	s := &e.loans
	switch {
	case !e.owns, now.Sub(s.usedAt) < quiet, now.Sub(s.missedAt) < lease:
		return ShareMessage{Kind: RefusedInUse}
	case s.away(now) && s.to != to:
		return ShareMessage{Kind: RefusedLent}
	case s.away(now) && number <= s.number:
		return ShareMessage{Kind: RefusedInUse} // An ask that was overtaken.
	}
	p := ShareMessage{Kind: Grant}
	if !s.away(now) {
		p.Tokens = min(e.bucket.Tokens(now), e.part.Burst)
		e.bucket.Add(-p.Tokens, now)
	}
	// The next turn has other parts.
	s.to, s.number, s.until = to, number, earlier(now.Add(lease), time.Unix(0, (turnOf(now)+1)*int64(turnTime)))
	p.LeaseTime = s.until.Sub(now)
	e.fit(now)
	return p
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// answered takes in the answer of a holder.
func (e *endpoint) answered(h *holder, p ShareMessage, now time.Time) {
	h.number = 0
	switch p.Kind {
	case Grant:
		h.wait = 0
		until := h.askedAt.Add(min(p.LeaseTime, lease))
		if !until.After(now) {
			return // It was under way for too long.
		}
		h.granted, h.until = p.RequestNumber, until
		e.fit(now)
		e.add(p.Tokens, now)
	case RefusedLent:
		h.wait = min(max(lentGrowth*h.wait, askEvery), longestLentWait)
	default:
		h.wait = min(max(usedGrowth*h.wait, quiet), longestUsedWait)
	}
}
