// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package backoff tracks which endpoints have asked this gateway to send them no requests: for a
// while, in a rejection, or permanently, because they are leaving. An endpoint that rejects requests
// has little work and looks like the best choice; without backoff it would attract more requests the
// more it rejects. The package is a pure state machine: time is passed in as an argument, and the
// caller serialises access.
package backoff

import "time"

const (
	// maxBackoff is the longest time for which an endpoint gets no request at all because it asked for
	// backoff. If it asked for a longer one, trial requests then check whether it still does.
	maxBackoff = 5 * time.Minute
	// trialInterval is the time between two trial requests while none is answered.
	trialInterval = 10 * time.Second
)

// Process identifies one process of an endpoint; a restarted endpoint is another process of the same
// name.
type Process struct {
	Name  string
	Start int64 // Start time, Unix milliseconds; 0 when unknown.
}

// issued reports whether a statement that the endpoint of this name made at statedAt came from this
// process or a later one, and so still counts. A later process may have answered before it is listed.
// The zero time stands for no statement; any statement counts when the start is unknown.
func (proc Process) issued(statedAt time.Time) bool {
	return !statedAt.IsZero() && (proc.Start == 0 || statedAt.UnixMilli() >= proc.Start)
}

// endpointState is the state kept for the endpoint with one name.
type endpointState struct {
	leavingAt    time.Time // When it last announced that it is leaving; zero if it never has.
	requestedAt  time.Time // When it last asked for backoff; zero if it never has.
	backoffUntil time.Time // End of its backoff.
	// trial is set if a requested backoff was cut to maxBackoff. Once the cut backoff has ended, one
	// request per trialInterval checks whether the endpoint still asks for backoff.
	trial bool
}

// Set holds the state of all endpoints.
type Set struct {
	endpoints map[string]*endpointState // By name.
}

// New returns an empty set.
func New() *Set { return &Set{endpoints: map[string]*endpointState{}} }

func (s *Set) getOrCreate(name string) *endpointState {
	state := s.endpoints[name]
	if state == nil {
		state = &endpointState{}
		s.endpoints[name] = state
	}
	return state
}

// Backoff records that an endpoint asks for backoff for the given time. The backoff is cut to
// maxBackoff, and never ends earlier than one that the same process asked for before. Backoff reports
// false if the endpoint is already backing off.
func (s *Set) Backoff(proc Process, d time.Duration, now time.Time) (changed bool) {
	_, backingOff := s.BackingOff(proc, now)
	state := s.getOrCreate(proc.Name)
	if !proc.issued(state.requestedAt) {
		state.backoffUntil, state.trial = time.Time{}, false // Requested by an earlier process.
	}
	state.requestedAt = now
	state.trial = state.trial || d > maxBackoff
	if until := now.Add(min(d, maxBackoff)); until.After(state.backoffUntil) {
		state.backoffUntil = until
	}
	return !backingOff
}

// MarkLeaving records that an endpoint is leaving. It reports false if that is already known.
func (s *Set) MarkLeaving(proc Process, now time.Time) (changed bool) {
	changed = !s.Leaving(proc)
	s.getOrCreate(proc.Name).leavingAt = now
	return changed
}

// RecordSent records that a request is sent to an endpoint. If the endpoint's backoff was
// cut, this is a trial request, and the backoff ends trialInterval from now.
func (s *Set) RecordSent(proc Process, now time.Time) {
	if state := s.endpoints[proc.Name]; state != nil && state.trial {
		state.backoffUntil = now.Add(trialInterval)
	}
}

// RecordAnswer records an answer that does not ask for backoff, to a request that was sent at sentAt.
// If that was the last trial request or a later one, the trial and the backoff end.
func (s *Set) RecordAnswer(proc Process, sentAt time.Time) {
	// A trial's backoff ends trialInterval after its request was sent.
	if state := s.endpoints[proc.Name]; state != nil && state.trial && !sentAt.Before(state.backoffUntil.Add(-trialInterval)) {
		state.trial, state.backoffUntil = false, sentAt
	}
}

// Leaving reports whether an endpoint has announced that it is leaving.
func (s *Set) Leaving(proc Process) bool {
	state := s.endpoints[proc.Name]
	return state != nil && proc.issued(state.leavingAt)
}

// BackingOff returns the remaining time of an endpoint's backoff; ok is false if there is none.
func (s *Set) BackingOff(proc Process, now time.Time) (remaining time.Duration, ok bool) {
	state := s.endpoints[proc.Name]
	if state == nil || !proc.issued(state.requestedAt) || !now.Before(state.backoffUntil) {
		return 0, false
	}
	return state.backoffUntil.Sub(now), true
}

// Counts returns the number of endpoints that are backing off and the number that are leaving.
func (s *Set) Counts(now time.Time) (backingOff, leaving int) {
	for _, state := range s.endpoints {
		if !state.leavingAt.IsZero() {
			leaving++
		}
		if now.Before(state.backoffUntil) {
			backingOff++
		}
	}
	return backingOff, leaving
}

// Forget removes endpoints whose names are no longer listed, and those whose backoff has ended, unless
// they are leaving or still on trial.
func (s *Set) Forget(listed func(name string) bool, now time.Time) {
	for name, state := range s.endpoints {
		if !listed(name) || state.leavingAt.IsZero() && !state.trial && !now.Before(state.backoffUntil) {
			delete(s.endpoints, name)
		}
	}
}
