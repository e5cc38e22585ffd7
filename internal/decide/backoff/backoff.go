// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package backoff keeps which endpoints have asked this gateway to send them nothing: for a
// while, with a refusal, or for good, as they leave. An endpoint that turns requests away has
// little at work and looks like the best choice; without this it draws more the more it
// refuses. The package is a pure state machine: time comes in as an argument, and the caller
// serialises access.
package backoff

import "time"

const (
	// longestRest is for how long an endpoint rests at most without a request that shows
	// whether it still wants to.
	longestRest = 5 * time.Minute
	// trialTime is the time between two such requests while none is answered.
	trialTime = 10 * time.Second
)

// pause is what is known of one endpoint.
type pause struct {
	leaving bool
	until   time.Time // End of its rest.
	// trial is set where a rest was cut to longestRest: one request at a time shows whether
	// it is over.
	trial bool
}

// Set holds what is known of all endpoints.
type Set struct {
	by map[string]*pause
}

// New returns a set that knows of no wish.
func New() *Set { return &Set{by: map[string]*pause{}} }

func (s *Set) of(id string) *pause {
	p := s.by[id]
	if p == nil {
		p = &pause{}
		s.by[id] = p
	}
	return p
}

// Rest takes in that an endpoint wants nothing for so long. It reports false where it rests
// already.
func (s *Set) Rest(id string, d time.Duration, now time.Time) (news bool) {
	p := s.of(id)
	news = !now.Before(p.until)
	p.trial = p.trial || d > longestRest
	if until := now.Add(min(d, longestRest)); until.After(p.until) {
		p.until = until
	}
	return news
}

// Leave takes in that an endpoint leaves. It reports false where that is known.
func (s *Set) Leave(id string) (news bool) {
	p := s.of(id)
	news = !p.leaving
	p.leaving = true
	return news
}

// Sent notes that a request goes to an endpoint.
func (s *Set) Sent(id string, now time.Time) {
	if p := s.by[id]; p != nil && p.trial {
		p.until = now.Add(trialTime)
	}
}

// Answered takes in an answer that asks for no rest, to a request that was sent at a moment.
func (s *Set) Answered(id string, sentAt time.Time) {
	// A trial ends trialTime after it was sent.
	if p := s.by[id]; p != nil && p.trial && !sentAt.Before(p.until.Add(-trialTime)) {
		p.trial, p.until = false, sentAt
	}
}

// Leaving reports whether an endpoint has said that it leaves.
func (s *Set) Leaving(id string) bool {
	p := s.by[id]
	return p != nil && p.leaving
}

// Resting returns how much is left of an endpoint's rest; ok is false when it rests no more.
func (s *Set) Resting(id string, now time.Time) (left time.Duration, ok bool) {
	p := s.by[id]
	if p == nil || !now.Before(p.until) {
		return 0, false
	}
	return p.until.Sub(now), true
}

// Counts returns how many endpoints rest and how many leave.
func (s *Set) Counts(now time.Time) (resting, leaving int) {
	for id, p := range s.by {
		if p.leaving {
			leaving++
		}
		if _, ok := s.Resting(id, now); ok {
			resting++
		}
	}
	return resting, leaving
}

// Forget drops endpoints that are not listed any more, and rests that have ended.
func (s *Set) Forget(listed func(id string) bool, now time.Time) {
	for id, p := range s.by {
		if !listed(id) || !p.leaving && !p.trial && !now.Before(p.until) {
			delete(s.by, id)
		}
	}
}
