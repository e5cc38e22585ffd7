// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package throttle keeps the rate limits that endpoints name in their answers. It is a pure
// state machine: time comes in as an argument, and the caller serialises access.
package throttle

import "time"

// Word is what an answer of an endpoint said of its rate limit.
type Word struct {
	Limited bool
	Limit   float64   // Requests a second from all gateways together; where it is limited.
	At      time.Time // Of the answer.
}

// same reports whether two words say the same.
func (w Word) same(v Word) bool {
	return w.Limited == v.Limited && (!w.Limited || w.Limit == v.Limit)
}

// endpoint is what is known of one endpoint's limit.
type endpoint struct {
	word  Word      // The newest.
	since time.Time // When the first answer said the same as word.
}

// Limits holds what is known of all endpoints.
type Limits struct {
	by map[string]*endpoint
}

// New returns limits that know of none.
func New() *Limits { return &Limits{by: map[string]*endpoint{}} }

// Hear takes in a word of an endpoint. It reports false where that says what is known
// already, or is older.
func (l *Limits) Hear(id string, w Word) (changed bool) {
	e, known := l.by[id]
	if !known {
		if !w.Limited {
			return false
		}
		l.by[id] = &endpoint{word: w, since: w.At}
		return true
	}
	if w.At.Before(e.word.At) {
		return false
	}
	changed = !w.same(e.word)
	e.word = w
	if changed {
		e.since = w.At
	}
	return changed
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

// endedAge is for how long an endpoint is remembered that names no limit any more: older
// words of other gateways arrive within it.
const endedAge = 10 * time.Second

// Forget drops endpoints that are not listed any more, and limits that ended long ago.
func (l *Limits) Forget(listed func(id string) bool, now time.Time) {
	for id, e := range l.by {
		if !listed(id) || !e.word.Limited && now.Sub(e.word.At) > endedAge {
			delete(l.by, id)
		}
	}
}
