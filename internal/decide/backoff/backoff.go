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

// Process is one run of an endpoint's process.
type Process struct {
	Name  string
	Start int64 // Unix milliseconds; 0 when not told.
}

// said reports whether what the endpoint of the life's name said at a moment was said by that
// life or a later one. An answer may come of a life that is not listed yet.
func (l Process) said(at time.Time) bool {
	return !at.IsZero() && (l.Start == 0 || at.UnixMilli() >= l.Start)
}

// pause is what is known of the endpoint of one name.
type pause struct {
	leftAt   time.Time // When it said that it leaves; zero when it has not.
	restedAt time.Time // When it last asked for rest.
	until    time.Time // End of its rest.
	// trial is set where a rest was cut to longestRest: one request at a time shows whether
	// it is over.
	trial bool
}

// Set holds what is known of all endpoints.
type Set struct {
	by map[string]*pause // By name.
}

// New returns a set that knows of no wish.
func New() *Set { return &Set{by: map[string]*pause{}} }

func (s *Set) of(name string) *pause {
	p := s.by[name]
	if p == nil {
		p = &pause{}
		s.by[name] = p
	}
	return p
}

// Backoff takes in that an endpoint wants nothing for so long. It reports false where it rests
// already.
func (s *Set) Backoff(l Process, d time.Duration, now time.Time) (news bool) {
	_, resting := s.BackingOff(l, now)
	p := s.of(l.Name)
	if !l.said(p.restedAt) {
		p.until, p.trial = time.Time{}, false // Of an earlier life.
	}
	p.restedAt = now
	p.trial = p.trial || d > longestRest
	if until := now.Add(min(d, longestRest)); until.After(p.until) {
		p.until = until
	}
	return !resting
}

// MarkLeaving takes in that an endpoint leaves. It reports false where that is known.
func (s *Set) MarkLeaving(l Process, now time.Time) (news bool) {
	news = !s.Leaving(l)
	s.of(l.Name).leftAt = now
	return news
}

// RecordSent notes that a request goes to an endpoint.
func (s *Set) RecordSent(l Process, now time.Time) {
	if p := s.by[l.Name]; p != nil && p.trial {
		p.until = now.Add(trialTime)
	}
}

// RecordAnswer takes in an answer that asks for no rest, to a request that was sent at a moment.
func (s *Set) RecordAnswer(l Process, sentAt time.Time) {
	// A trial ends trialTime after it was sent.
	if p := s.by[l.Name]; p != nil && p.trial && !sentAt.Before(p.until.Add(-trialTime)) {
		p.trial, p.until = false, sentAt
	}
}

// Leaving reports whether an endpoint has said that it leaves.
func (s *Set) Leaving(l Process) bool {
	p := s.by[l.Name]
	return p != nil && l.said(p.leftAt)
}

// BackingOff returns how much is left of an endpoint's rest; ok is false when it rests no more.
func (s *Set) BackingOff(l Process, now time.Time) (left time.Duration, ok bool) {
	p := s.by[l.Name]
	if p == nil || !l.said(p.restedAt) || !now.Before(p.until) {
		return 0, false
	}
	return p.until.Sub(now), true
}

// Counts returns how many endpoints rest and how many leave.
func (s *Set) Counts(now time.Time) (resting, leaving int) {
	for _, p := range s.by {
		if !p.leftAt.IsZero() {
			leaving++
		}
		if now.Before(p.until) {
			resting++
		}
	}
	return resting, leaving
}

// Forget drops endpoints whose names are not listed any more, and rests that have ended.
func (s *Set) Forget(listed func(name string) bool, now time.Time) {
	for name, p := range s.by {
		if !listed(name) || p.leftAt.IsZero() && !p.trial && !now.Before(p.until) {
			delete(s.by, name)
		}
	}
}
