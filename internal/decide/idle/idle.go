// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package idle decides for how long a connection that is idle between two requests is kept
// open. A caller goes by what it knows, which may be the time that its last answer named or
// the limit of any version of the configuration that may be in force; a connection is kept
// for the longest of them.
package idle

import "time"

// Limit is the idle time that a version of the configuration sets.
type Limit struct {
	Version uint64
	Idle    time.Duration
}

// Limits are those of the versions that callers may go by.
type Limits struct {
	holds time.Duration // For how long callers may go by a version that was replaced.
	now   Limit
	past  []replaced // Oldest first; each is longer than all that came later.
}

type replaced struct {
	Limit
	at time.Time
}

// New returns limits of which a replaced one holds for so long. Unset is in force until one
// is published, and where a version sets none.
func New(unset, holds time.Duration) *Limits {
	return &Limits{holds: holds, now: Limit{Idle: unset}}
}

// Publish puts a limit in force.
func (l *Limits) Publish(next Limit, now time.Time) {
	if next.Version == l.now.Version && next.Idle == l.now.Idle {
		return
	}
	kept := l.past[:0]
	for _, p := range append(l.past, replaced{l.now, now}) {
		// Whatever was idle when p still held has been so for longer than p allows.
		over := now.Sub(p.at) > l.holds+p.Idle
		if p.Idle > next.Idle && !over {
			kept = append(kept, p)
		}
	}
	l.past, l.now = kept, next
}

// InForce returns the limit in force.
func (l *Limits) InForce() Limit { return l.now }

// Longest returns the longest limit by which a caller may go whose connection has been idle
// since a moment.
func (l *Limits) Longest(since time.Time) Limit {
	for _, p := range l.past {
		if !p.at.Add(l.holds).Before(since) {
			return p.Limit
		}
	}
	return l.now
}
