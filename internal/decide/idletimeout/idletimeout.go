// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package idletimeout decides how long a server keeps a connection that is idle between two requests. A
// caller may go by the timeout that its last answer advertised, or by the limit of any version of the
// configuration that may be in effect. The connection is kept for the longest of these.
package idletimeout

import "time"

// TransitMargin extends the time for which a connection may be idle, because a request that was sent
// at the end of that time may still be in transit.
const TransitMargin = time.Second

// Limit is the idle timeout that a version of the configuration sets.
type Limit struct {
	Version uint64
	Idle    time.Duration
}

// Limits are the limits of all versions that callers may go by.
type Limits struct {
	propagation time.Duration // Longest time for which callers may go by a replaced version.
	current     Limit
	replaced    []replacedLimit // Oldest first; each is longer than all that followed it.
}

type replacedLimit struct {
	Limit
	replacedAt time.Time
}

// New returns the limits of a server to which no version has been published. Until then, initial is in
// effect. Callers may go by a replaced limit for the propagation delay.
func New(initial, propagation time.Duration) *Limits {
	return &Limits{propagation: propagation, current: Limit{Idle: initial}}
}

// Publish puts a limit into effect.
func (l *Limits) Publish(next Limit, now time.Time) {
	if next.Version == l.current.Version && next.Idle == l.current.Idle {
		return
	}
	remaining := l.replaced[:0]
	for _, r := range append(l.replaced, replacedLimit{l.current, now}) {
		// A connection that became idle while r was valid has been kept for as long as r asks.
		expired := now.Sub(r.replacedAt) > l.propagation+r.Idle+TransitMargin
		if r.Idle > next.Idle && !expired {
			remaining = append(remaining, r)
		}
	}
	l.replaced, l.current = remaining, next
}

// Current returns the limit in effect.
func (l *Limits) Current() Limit { return l.current }

// Longest returns the longest limit that the caller of a connection may go by. The connection
// has been idle since the given time.
func (l *Limits) Longest(since time.Time) Limit {
	for _, r := range l.replaced {
		if !r.replacedAt.Add(l.propagation).Before(since) {
			return r.Limit
		}
	}
	return l.current
}
