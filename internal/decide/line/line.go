// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package line keeps the requests of one process that wait for room at a service,
// for a short time and only as long as they will be served in time. It is a pure
// state machine: time comes in as an argument, and the caller serialises access.
// Whether there is room is package passes' matter.
package line

import (
	"math"
	"slices"
	"time"
)

// Waiter is one request that waits.
type Waiter struct {
	ID    uint64
	Again bool      // The caller was refused before.
	Until time.Time // When it must be served or refused.
}

// meanTime is the time over which the length of a line is smoothed: some times the
// longest that a request waits, a few tenths of a second.
const meanTime = time.Second

// Line is the requests that wait, in their order: callers that come for the first
// time go before those whose answer is late anyhow.
type Line struct {
	waiting []Waiter
	mean    float64   // Smoothed length.
	at      time.Time // Up to when mean counts; zero before the first request.
}

// pass brings the smoothed length up to date.
func (l *Line) pass(now time.Time) {
	if passed := now.Sub(l.at); !l.at.IsZero() && passed > 0 {
		l.mean += (1 - math.Exp(-passed.Seconds()/meanTime.Seconds())) * (float64(len(l.waiting)) - l.mean)
	}
	l.at = now
}

// Join puts a request in its place, if at a rate of so many requests a second it
// is served in time; it reports whether it does. So many other processes have lines
// for the same room, which are taken to be as long as this one is in the mean. While
// the rate is not known, only callers who would not come again wait for it.
func (l *Line) Join(w Waiter, rate float64, others int, now time.Time) bool {
	l.pass(now)
	at := len(l.waiting)
	if !w.Again {
		if i := slices.IndexFunc(l.waiting, func(o Waiter) bool { return o.Again }); i >= 0 {
			at = i
		}
	}
	if rate <= 0 && !w.Again || rate > 0 && (float64(at+1)+float64(others)*l.mean)/rate > w.Until.Sub(now).Seconds() {
		return false
	}
	l.waiting = slices.Insert(l.waiting, at, w)
	return true
}

// First reports whether a request is the next one.
func (l *Line) First(id uint64) bool { return len(l.waiting) > 0 && l.waiting[0].ID == id }

// Leave takes a request out.
func (l *Line) Leave(id uint64, now time.Time) {
	l.pass(now)
	l.waiting = slices.DeleteFunc(l.waiting, func(w Waiter) bool { return w.ID == id })
}

// Len returns how many requests wait.
func (l *Line) Len() int { return len(l.waiting) }
