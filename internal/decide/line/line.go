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
	ID       uint64
	Class    int       // Those of a lower one go first.
	Customer string    // Whose request it is; "" for nobody's.
	Deadline time.Time // When it must be served or refused.
}

// meanTime is the time over which the length of a line is smoothed: some times the
// longest that a request waits, a few tenths of a second.
const meanTime = time.Second

// shareTime is the time constant with which it is forgotten what a customer got from
// the line: a burst lasts some seconds.
const shareTime = 4 * time.Second

// Queue is the requests that wait. They go by their class; within one the customer that
// lately got the least goes first, so that a customer's burst is paid by that customer;
// then who came first.
type Queue struct {
	waiting []Waiter            // In the order in which they came.
	mean    float64             // Smoothed length.
	at      time.Time           // Up to when mean counts; zero before the first request.
	got     map[string]received // By customer; of those that got anything lately.
}

// received is what a customer got from the line, halved and halved again.
type received struct {
	n  float64
	at time.Time
}

func (r received) now(now time.Time) float64 {
	return r.n * math.Exp(-max(now.Sub(r.at), 0).Seconds()/shareTime.Seconds())
}

// pass brings the smoothed length up to date.
func (l *Queue) pass(now time.Time) {
	if passed := now.Sub(l.at); !l.at.IsZero() && passed > 0 {
		l.mean += (1 - math.Exp(-passed.Seconds()/meanTime.Seconds())) * (float64(len(l.waiting)) - l.mean)
	}
	l.at = now
}

// Join takes a request in, if at a rate of so many requests a second it is served in
// time; it reports whether it does. So many other processes have lines for the same
// room, which are taken to be as long as this one is in the mean. While the rate is not
// known, only those wait for it who would not come again: anyway is set.
func (l *Queue) Join(w Waiter, rate float64, others int, anyway bool, now time.Time) bool {
	l.pass(now)
	before := 0
	for _, o := range l.waiting {
		if o.Class <= w.Class {
			before++
		}
	}
	if rate <= 0 && !anyway || rate > 0 && (float64(before+1)+float64(others)*l.mean)/rate > w.Deadline.Sub(now).Seconds() {
		return false
	}
	l.waiting = append(l.waiting, w)
	return true
}

// IsNext reports whether a request is the next one.
func (l *Queue) IsNext(id uint64, now time.Time) bool {
	if len(l.waiting) == 0 {
		return false
	}
	best := l.waiting[0]
	for _, w := range l.waiting[1:] {
		if w.Class < best.Class || w.Class == best.Class && l.got[w.Customer].now(now) < l.got[best.Customer].now(now) {
			best = w
		}
	}
	return best.ID == id
}

// Leave takes a request out; served is set when it has got its room.
func (l *Queue) Leave(id uint64, served bool, now time.Time) {
	l.pass(now)
	i := slices.IndexFunc(l.waiting, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return
	}
	if served {
		l.note(l.waiting[i].Customer, now)
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
}

// note takes in that a customer got room, and forgets those to whom that was long ago.
func (l *Queue) note(customer string, now time.Time) {
	if l.got == nil {
		l.got = map[string]received{}
	}
	for c, r := range l.got {
		if now.Sub(r.at) > forgetAfter {
			delete(l.got, c)
		}
	}
	l.got[customer] = received{n: l.got[customer].now(now) + 1, at: now}
}

// forgetAfter is when next to nothing is left of what a customer got.
const forgetAfter = 5 * shareTime

// Len returns how many requests wait.
func (l *Queue) Len() int { return len(l.waiting) }
