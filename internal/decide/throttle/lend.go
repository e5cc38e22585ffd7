// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package throttle

import (
	"math"
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/limit"
	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
)

// Timing of the lending of shares.
const (
	// leaseTime is how long a share is lent. A borrower returns an unused share early, so a share
	// stays unused for this long only if a message was lost.
	leaseTime = time.Second
	// idleAfter is the time without a request after which a gateway no longer needs its shares. It
	// is longer than the time between callers at a gateway that could use half of a small limit.
	idleAfter = 200 * time.Millisecond
	// minBorrowInterval is the minimum time between two borrow requests to the same gateway.
	minBorrowInterval = 100 * time.Millisecond
	// The time between borrow requests grows by lentBackoffFactor up to maxLentBackoff if the share
	// is lent to another gateway, which may return it at any time, and by inUseBackoffFactor up to
	// maxInUseBackoff if its owner uses it.
	lentBackoffFactor  = 2
	maxLentBackoff     = leaseTime
	inUseBackoffFactor = 4
	maxInUseBackoff    = rotationPeriod
)

// Kind is the kind of a ShareMessage.
type Kind int

// The kinds of messages.
const (
	Borrow       Kind = iota + 1 // Request for the share of the receiver.
	Grant                        // Lends the requested share.
	RefusedLent                  // Refusal: the share is lent to another gateway.
	RefusedInUse                 // Refusal: the receiver of the request uses its share, or has none.
	Return                       // Returns a granted share.
)

// ShareMessage is a message about one gateway's share of an endpoint's limit.
type ShareMessage struct {
	Kind          Kind
	Endpoint      string
	RequestNumber int64         // Number of the borrow request.
	Tokens        float64       // Tokens that move with the share; of a grant or return.
	LeaseTime     time.Duration // Remaining time of the lease; of a grant.
}

// Outgoing is a message and the name of the gateway that it is for.
type Outgoing struct {
	To string
	ShareMessage
}

// owner is another gateway that owns a share in this rotation period.
type owner struct {
	name         string
	pending      int64         // Number of the unanswered borrow request; 0 when there is none.
	askedAt      time.Time     // Time of the last borrow request.
	backoff      time.Duration // Time after askedAt before the next borrow request.
	grantNumber  int64         // Number of the borrow request by which its share was lent to this gateway; 0 while it is not.
	grantedUntil time.Time     // End of the lease of its share.
}

// loans is the state of the shares of one endpoint's limit that are lent and borrowed. Invariant:
// each share is held by one gateway at a time, as a borrower counts its lease from an earlier
// time than the lender does.
type loans struct {
	lastUseAt    time.Time // Last request for the endpoint, whether or not it found a token.
	lastDeniedAt time.Time // Last request that found no token.
	lastMissAt   time.Time // Last request that found no token while this gateway's own share was lent.
	owners       []owner   // In this period, among the known gateways; nil until the first borrow request.
	borrower     string    // Gateway to which this gateway's share is lent.
	lentNumber   int64     // Number of its borrow request; 0 while the share is not lent.
	lentUntil    time.Time // End of that lease.
}

// recordUse records that there was a request for the endpoint, and whether it found a token.
func (s *loans) recordUse(allowed bool, now time.Time) {
	s.lastUseAt = now
	if allowed {
		return
	}
	s.lastDeniedAt = now
	if s.lentOut(now) {
		s.lastMissAt = now
	}
}

// lentOut reports whether this gateway's own share is lent.
func (s *loans) lentOut(now time.Time) bool { return s.lentNumber != 0 && now.Before(s.lentUntil) }

// dropBorrowed drops all borrowed shares: in a new rotation period, or after a change of the set
// of gateways, the shares have other owners.
func (s *loans) dropBorrowed() { s.owners = nil }

// borrowedCount returns the number of borrowed shares that this gateway holds.
func (s *loans) borrowedCount() (n int) {
	for _, o := range s.owners {
		if o.grantNumber != 0 {
			n++
		}
	}
	return n
}

// resizeBucket sets the rate and burst of the bucket to those of the shares held from time at on.
func (e *endpoint) resizeBucket(at time.Time) {
	n := float64(e.loans.borrowedCount())
	if e.ownsShare && !e.loans.lentOut(at) {
		n++
	}
	switch {
	case e.bucket != nil:
		e.bucket.SetRate(n*e.share.Rate, n*e.share.Burst, at)
	case n > 0:
		e.bucket = limit.NewBucketWith(n*e.share.Rate, n*e.share.Burst, 0, at)
	}
}

// addTokens adds the tokens that came with a share.
func (e *endpoint) addTokens(tokens float64, now time.Time) {
	if e.bucket != nil {
		e.bucket.Add(min(max(tokens, 0), e.share.Burst), now)
	}
}

// expireLeases ends the expired leases of borrowed shares and of the own share. It ends them one
// by one, earliest first, and resizes the bucket as of the end of each lease.
func (e *endpoint) expireLeases(now time.Time) {
	for {
		var first *owner
		at := now // End of the earliest lease found so far.
		for i := range e.loans.owners {
			if o := &e.loans.owners[i]; o.grantNumber != 0 && !o.grantedUntil.After(at) {
				first, at = o, o.grantedUntil
			}
		}
		switch {
		case e.loans.lentNumber != 0 && !e.loans.lentUntil.After(at):
			at = e.loans.lentUntil
			e.loans.lentNumber = 0
		case first != nil:
			first.grantNumber = 0
		default:
			return
		}
		e.resizeBucket(at)
	}
}

// ownersOf returns the other gateways that own a share of an endpoint's limit in a rotation
// period, in the order of positionOf. As in ShareOf, the first floor(limit)+1 gateways own one,
// or all if there are fewer.
func ownersOf(id string, period int64, limit float64, self string, all []string) (list []owner) {
	type scored struct {
		name  string
		score uint64
	}
	key := periodKey(id, period)
	n := min(len(all), int(math.Floor(min(limit, float64(len(all)))))+1)
	best := make([]scored, 0, n+1) // The highest scores so far; all is sorted, so ties go to the smaller name.
	for _, name := range all {
		next := scored{name, rendezvous.Score(key, name)}
		at := len(best)
		for at > 0 && next.score > best[at-1].score {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, next)
			best = best[:min(len(best), n)]
		}
	}
	for _, s := range best {
		if s.name != self {
			list = append(list, owner{name: s.name})
		}
	}
	return list
}

// OutgoingMessages returns the messages that are due, and records them as sent. For an endpoint
// without recent requests, these return the borrowed shares. Otherwise they are borrow requests,
// which also renew leases.
func (l *Limits) OutgoingMessages(now time.Time) (messages []Outgoing) {
	for id, e := range l.endpoints {
		if !e.report.Limited || len(l.gateways) < 2 {
			continue
		}
		l.updateBucket(id, e, now)
		if now.Sub(e.loans.lastUseAt) >= idleAfter {
			messages = append(messages, e.returnBorrowed(id, now)...)
			continue
		}
		wantsShares := now.Sub(e.loans.lastDeniedAt) < idleAfter
		if wantsShares && e.loans.owners == nil {
			e.loans.owners = ownersOf(id, e.period, e.report.Limit, l.self, l.gateways)
		}
		for i := range e.loans.owners {
			o := &e.loans.owners[i]
			// A borrowed share is asked for again in the second half of its lease, another one
			// while shares are wanted.
			if o.grantNumber != 0 && o.grantedUntil.Sub(now) > leaseTime/2 || o.grantNumber == 0 && !wantsShares || now.Sub(o.askedAt) < max(o.backoff, minBorrowInterval) {
				continue
			}
			if o.pending != 0 { // The last request was not answered.
				o.backoff = min(max(lentBackoffFactor*o.backoff, minBorrowInterval), maxLentBackoff)
			}
			l.lastRequestNumber = max(l.lastRequestNumber+1, now.UnixNano()) // Higher than those of an earlier process of this gateway.
			o.pending, o.askedAt = l.lastRequestNumber, now
			messages = append(messages, Outgoing{o.name, ShareMessage{Kind: Borrow, Endpoint: id, RequestNumber: o.pending}})
		}
	}
	return messages
}

// returnBorrowed gives up all borrowed shares, and returns the messages to their owners. Each
// message carries tokens of the bucket, up to the burst of one share.
func (e *endpoint) returnBorrowed(id string, now time.Time) (list []Outgoing) {
	for i := range e.loans.owners {
		o := &e.loans.owners[i]
		o.pending, o.backoff = 0, 0
		if o.grantNumber == 0 {
			continue
		}
		tokens := min(e.bucket.Tokens(now), e.share.Burst)
		list = append(list, Outgoing{o.name, ShareMessage{Kind: Return, Endpoint: id, RequestNumber: o.grantNumber, Tokens: tokens}})
		o.grantNumber = 0
		e.bucket.Add(-tokens, now)
		e.resizeBucket(now)
	}
	return list
}

// HasOpenLoans reports whether messages may fall due without another request: a request was
// recently denied, or shares are borrowed.
func (l *Limits) HasOpenLoans(now time.Time) bool {
	for _, e := range l.endpoints {
		if e.report.Limited && (now.Sub(e.loans.lastDeniedAt) < idleAfter || e.loans.borrowedCount() > 0) {
			return true
		}
	}
	return false
}

// AvailableRate returns the rate, in requests per second, of the shares of an endpoint's limit
// that this gateway holds.
func (l *Limits) AvailableRate(id string, now time.Time) (rate float64) {
	e := l.endpoints[id]
	if e == nil || !e.report.Limited {
		return 0
	}
	l.updateBucket(id, e, now)
	n := e.loans.borrowedCount()
	if e.ownsShare && !e.loans.lentOut(now) {
		n++
	}
	return float64(n) * e.share.Rate
}

// ReceiveMessage handles a message of another gateway. Only a borrow request has an answer; ok is
// false when there is none. A borrow request for an endpoint without a known limit is refused. A
// borrow request of an unknown gateway is ignored, as are the return of a share that is no longer
// lent and the answer to a request that is no longer open.
func (l *Limits) ReceiveMessage(from string, m ShareMessage, now time.Time) (answer ShareMessage, ok bool) {
	e := l.endpoints[m.Endpoint]
	if m.Kind == Borrow && (e == nil || !e.report.Limited) {
		return ShareMessage{Kind: RefusedInUse, Endpoint: m.Endpoint, RequestNumber: m.RequestNumber}, true
	}
	if e == nil || !e.report.Limited {
		return ShareMessage{}, false
	}
	l.updateBucket(m.Endpoint, e, now)
	if m.Kind == Borrow {
		if !l.HasPeer(from) {
			return ShareMessage{}, false
		}
		answer = e.lend(from, m.RequestNumber, now)
		answer.Endpoint, answer.RequestNumber = m.Endpoint, m.RequestNumber
		return answer, true
	}
	if m.Kind == Return {
		if s := &e.loans; s.lentOut(now) && s.borrower == from && s.lentNumber == m.RequestNumber {
			s.lentNumber = 0
			e.resizeBucket(now)
			e.addTokens(m.Tokens, now)
		}
		return ShareMessage{}, false
	}
	i := slices.IndexFunc(e.loans.owners, func(o owner) bool { return o.name == from && o.pending == m.RequestNumber && o.pending != 0 })
	if i >= 0 {
		e.handleReply(&e.loans.owners[i], m, now)
	}
	return ShareMessage{}, false
}

// lend answers a borrow request. It refuses if this gateway owns no share, or uses its share, or
// had a request without a token within the last leaseTime while the share was lent. It also
// refuses if the share is lent to another gateway. Otherwise it lends the share, or renews the
// lease of the gateway that has borrowed it; tokens move only when the share is newly lent.
func (e *endpoint) lend(to string, number int64, now time.Time) ShareMessage {
	s := &e.loans
	switch {
	case !e.ownsShare, now.Sub(s.lastUseAt) < idleAfter, now.Sub(s.lastMissAt) < leaseTime:
		return ShareMessage{Kind: RefusedInUse}
	case s.lentOut(now) && s.borrower != to:
		return ShareMessage{Kind: RefusedLent}
	case s.lentOut(now) && number <= s.lentNumber:
		return ShareMessage{Kind: RefusedInUse} // A later request has overtaken this one.
	}
	m := ShareMessage{Kind: Grant}
	if !s.lentOut(now) {
		m.Tokens = min(e.bucket.Tokens(now), e.share.Burst)
		e.bucket.Add(-m.Tokens, now)
	}
	// The lease ends with the period, as the shares have other owners in the next one.
	s.borrower, s.lentNumber, s.lentUntil = to, number, earlier(now.Add(leaseTime), time.Unix(0, (periodOf(now)+1)*int64(rotationPeriod)))
	m.LeaseTime = s.lentUntil.Sub(now)
	e.resizeBucket(now)
	return m
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// handleReply handles the answer of a share's owner to a borrow request. After a refusal, the
// time until the next request grows.
func (e *endpoint) handleReply(o *owner, m ShareMessage, now time.Time) {
	o.pending = 0
	switch m.Kind {
	case Grant:
		o.backoff = 0
		until := o.askedAt.Add(min(m.LeaseTime, leaseTime))
		if !until.After(now) {
			return // The lease expired while the grant was in transit.
		}
		o.grantNumber, o.grantedUntil = m.RequestNumber, until
		e.resizeBucket(now)
		e.addTokens(m.Tokens, now)
	case RefusedLent:
		o.backoff = min(max(lentBackoffFactor*o.backoff, minBorrowInterval), maxLentBackoff)
	default:
		o.backoff = min(max(inUseBackoffFactor*o.backoff, idleAfter), maxInUseBackoff)
	}
}
