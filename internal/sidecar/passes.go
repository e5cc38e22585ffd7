// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import "time"

const (
	// passWeight is the weight of the newest passes in the smoothed time.
	passWeight = 0.6
	// passesMeasured is how many passes are measured together at least.
	passesMeasured = 2
	// passesForget is how long without a pass makes the measure void: the group
	// is idle.
	passesForget = 2 * time.Second
	// stalledAfter is how long at least a group with requests at work makes no pass
	// when it stands still, and stalledPasses how many of its last passes: an even
	// group makes some passes in this time, and one with a slow rank may take a second
	// for each.
	stalledAfter  = 700 * time.Millisecond
	stalledPasses = 3
)

// passTimer measures how long the passes of a group take.
type passTimer struct {
	step uint64
	at   time.Time     // When step was seen; zero before the first report.
	pass time.Duration // Smoothed; 0 when not known.

	newest uint64    // Pass that began last.
	began  time.Time // When it was first seen.
}

// note takes in the newest pass that began.
func (t *passTimer) note(step uint64, now time.Time) {
	if step != t.newest || t.began.IsZero() {
		t.newest, t.began = step, now
	}
	if t.at.IsZero() || step < t.step || now.Sub(t.at) > passesForget {
		t.step, t.at, t.pass = step, now, 0
		return
	}
	n := step - t.step
	if n < passesMeasured {
		return
	}
	one := now.Sub(t.at) / time.Duration(n)
	if t.pass == 0 {
		t.pass = one
	}
	t.pass += time.Duration(passWeight * float64(one-t.pass))
	t.step, t.at = step, now
}

// stalled reports whether no pass has begun for so long that a group with
// requests at work must stand still.
func (t *passTimer) stalled(now time.Time) bool {
	return !t.began.IsZero() && now.Sub(t.began) > max(stalledAfter, stalledPasses*t.pass)
}
