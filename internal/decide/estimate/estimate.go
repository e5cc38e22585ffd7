// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package estimate estimates the duration of an operation from earlier ones: the mean, and an upper
// bound for nearly all. It is pure, and the caller serialises access.
package estimate

import "time"

// deviationFactor is the number of deviations above the mean below which nearly all durations lie,
// similar to the usual estimate of round-trip times.
const deviationFactor = 2

// Estimator holds a smoothed duration and its smoothed mean deviation. Use New to make one.
type Estimator struct {
	weight    float64 // Weight of the newest duration.
	known     bool
	mean      time.Duration
	deviation time.Duration
}

// New returns an estimator without samples, in which the newest duration has the given weight, above 0
// and at most 1.
func New(weight float64) Estimator { return Estimator{weight: weight} }

// Add adds a measured duration.
func (t *Estimator) Add(d time.Duration) {
	if !t.known {
		t.known, t.mean = true, d
		return
	}
	off := d - t.mean
	t.mean += time.Duration(t.weight * float64(off))
	t.deviation += time.Duration(t.weight * float64(off.Abs()-t.deviation))
}

// Known reports whether any duration was added.
func (t *Estimator) Known() bool { return t.known }

// Mean returns the smoothed duration, 0 if none was added.
func (t *Estimator) Mean() time.Duration { return t.mean }

// UpperBound returns the duration below which nearly all lie.
func (t *Estimator) UpperBound() time.Duration { return t.mean + deviationFactor*t.deviation }
