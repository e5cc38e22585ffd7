// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package estimate says how long something takes, by how long it took: in the mean,
// and for nearly all. It is pure, and the caller serialises access.
package estimate

import "time"

// offs is how many deviations above the mean nearly all lie, as in the usual
// estimate of round trips.
const offs = 2

// Estimator is a smoothed time and its smoothed deviation. The zero value is of no use;
// New makes one.
type Estimator struct {
	weight float64 // Of the newest one.
	known  bool
	mean   time.Duration
	off    time.Duration
}

// New returns an estimate that knows nothing yet, in which the newest time has a
// weight above 0 and up to 1.
func New(weight float64) Estimator { return Estimator{weight: weight} }

// Add takes in one more time.
func (t *Estimator) Add(d time.Duration) {
	if !t.known {
		t.known, t.mean = true, d
		return
	}
	off := d - t.mean
	t.mean += time.Duration(t.weight * float64(off))
	t.off += time.Duration(t.weight * float64(off.Abs()-t.off))
}

// Known reports whether any time was taken in.
func (t *Estimator) Known() bool { return t.known }

// Mean returns the smoothed time, 0 when nothing is known.
func (t *Estimator) Mean() time.Duration { return t.mean }

// UpperBound returns the time within which nearly all lie.
func (t *Estimator) UpperBound() time.Duration { return t.mean + offs*t.off }
