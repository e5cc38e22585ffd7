// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package throttle keeps what gateways send to endpoints within the rate limits that these
// name in their answers. A limit counts for all gateways together; each takes a part of it
// by the gateways that it knows, and tells the others what endpoints say. It is a pure state
// machine: time comes in as an argument, and the caller serialises access and carries the
// messages.
package throttle

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/limit"
)

// Report is what an answer of an endpoint said of its rate limit.
type Report struct {
	Limited bool
	Limit   float64   // Requests a second from all gateways together; where it is limited.
	At      time.Time // Of the answer.
}

// same reports whether two words say the same.
func (w Report) same(v Report) bool {
	return w.Limited == v.Limited && (!w.Limited || w.Limit == v.Limit)
}

// Update is a word and the endpoint that it is of.
type Update struct {
	Endpoint string
	Report
}

const (
	// tellTimes is how often a change is told, since messages may be lost.
	tellTimes = 3
	// tellAgain is after how long a limit that still holds is told again, for gateways that
	// were cut off as it changed.
	tellAgain = 30 * time.Second
	// lapseAfter is how long a limit holds of which nothing is heard.
	lapseAfter = 3 * tellAgain
)

// endpoint is what is known of one endpoint's limit.
type endpoint struct {
	word    Report        // The newest.
	since   time.Time     // When the first answer said the same as word.
	told    int           // How often word was told to others.
	toldAt  time.Time     // The word's time when it was last told or heard.
	bucket  *limit.Bucket // Of all parts that are here; nil while there are none.
	owns    bool          // This gateway has a part in the turn.
	part    Share         // What each gateway has that has a part.
	turn    int64         // For which the bucket was made.
	version int           // Of the gateways by which it was made.
	loans   loans
}

// Limits holds what is known of all endpoints.
type Limits struct {
	by       map[string]*endpoint
	self     string
	gateways []string // All that are known, this one among them; sorted.
	version  int      // Changes with gateways.
	asked    int64    // Number of the last ask for a part.
}

// New returns limits that know of none, at a gateway that knows of no other.
func New() *Limits { return &Limits{by: map[string]*endpoint{}, gateways: []string{""}} }

// SetGateways tells the name of this gateway and those of all that are there.
func (l *Limits) SetGateways(self string, all []string) {
	all = slices.Clone(all)
	slices.Sort(all)
	if self == l.self && slices.Equal(all, l.gateways) {
		return
	}
	l.self, l.gateways = self, all
	l.version++
}

// GatewayCount returns among how many gateways limits are shared.
func (l *Limits) GatewayCount() int { return len(l.gateways) }

// HasPeer reports whether another gateway of this name is there.
func (l *Limits) HasPeer(name string) bool {
	_, known := slices.BinarySearch(l.gateways, name)
	return known && name != l.self
}

// RecordAnswer takes in what an answer to this gateway said. It reports whether that is news,
// which others are to be told.
func (l *Limits) RecordAnswer(id string, w Report) (news bool) { return l.hear(id, w, 0) }

// Merge takes in what another gateway told. It reports whether that is news here.
func (l *Limits) Merge(t Update) (news bool) { return l.hear(t.Endpoint, t.Report, tellTimes) }

func (l *Limits) hear(id string, w Report, told int) (news bool) {
	e, known := l.by[id]
	if !known {
		if !w.Limited {
			return false
		}
		e = &endpoint{since: w.At}
		l.by[id] = e
	}
	if w.At.Before(e.word.At) {
		return false
	}
	news = !w.same(e.word)
	e.word = w
	switch {
	case news:
		e.since, e.told, e.toldAt, e.version = w.At, told, w.At, l.version-1
	case told == tellTimes:
		e.toldAt = w.At
	case w.Limited && w.At.Sub(e.toldAt) > tellAgain:
		e.told = min(e.told, tellTimes-1)
	}
	return news
}

// Limited returns the limit that an endpoint names, and since when.
func (l *Limits) Limited(id string) (limit float64, since time.Time, ok bool) {
	e := l.by[id]
	if e == nil || !e.word.Limited {
		return 0, time.Time{}, false
	}
	return e.word.Limit, e.since, true
}

// Count returns how many endpoints name a limit.
func (l *Limits) Count() (n int) {
	for _, e := range l.by {
		if e.word.Limited {
			n++
		}
	}
	return n
}

// MaySend reports whether this gateway may send a request to an endpoint now.
func (l *Limits) MaySend(id string, now time.Time) bool {
	e := l.by[id]
	if e == nil || !e.word.Limited {
		return true
	}
	b := l.share(id, e, now)
	due := b != nil && b.HasToken(now)
	e.loans.use(due, now)
	return due
}

// Take notes that a request goes to an endpoint for which one is due.
func (l *Limits) Take(id string, now time.Time) {
	if e := l.by[id]; e != nil && e.word.Limited {
		if b := l.share(id, e, now); b != nil {
			b.Take(now)
		}
	}
}

// GiveBack takes back a Take of a request that was not sent.
func (l *Limits) GiveBack(id string) {
	if e := l.by[id]; e != nil && e.bucket != nil {
		e.bucket.ReturnToken()
	}
}

// share returns the parts of an endpoint's limit that are at this gateway, nil where there are
// none.
func (l *Limits) share(id string, e *endpoint, now time.Time) *limit.Bucket {
	e.settle(now)
	turn := turnOf(now)
	if e.turn == turn && e.version == l.version {
		return e.bucket
	}
	e.turn, e.version = turn, l.version
	e.loans.renew()
	place := placeOf(id, turn, l.self, l.gateways)
	e.part = ShareOf(e.word.Limit, 0, len(l.gateways))
	owned := e.owns
	s := ShareOf(e.word.Limit, place, len(l.gateways))
	e.owns = s.Rate > 0
	e.fit(now)
	if e.owns && !owned && !e.loans.away(now) {
		e.bucket.Add(s.InitialTokens, now)
	}
	return e.bucket
}

// NextUpdates returns changes that are to be told to others, at most so many.
func (l *Limits) NextUpdates(most int) (list []Update) {
	for id, e := range l.by {
		if len(list) == most {
			break
		}
		if e.told < tellTimes {
			e.told++
			e.toldAt = e.word.At
			list = append(list, Update{id, e.word})
		}
	}
	return list
}

// HasUnsent reports whether there is a change that was never told.
func (l *Limits) HasUnsent() bool {
	for _, e := range l.by {
		if e.told == 0 {
			return true
		}
	}
	return false
}

// ActiveLimits returns the limits that are known, at most so many, for a gateway that may know
// none.
func (l *Limits) ActiveLimits(most int) (list []Update) {
	for id, e := range l.by {
		if len(list) == most {
			break
		}
		if e.word.Limited {
			list = append(list, Update{id, e.word})
		}
	}
	return list
}

// endedAge is for how long an endpoint is remembered that names no limit any more: older
// words of other gateways arrive within it.
const endedAge = 10 * time.Second

// Forget drops endpoints that are not listed any more, and limits that ended long ago or of
// which nothing was heard for long.
func (l *Limits) Forget(listed func(id string) bool, now time.Time) {
	for id, e := range l.by {
		age := now.Sub(e.word.At)
		if !listed(id) || age > lapseAfter || !e.word.Limited && age > endedAge {
			delete(l.by, id)
		}
	}
}
