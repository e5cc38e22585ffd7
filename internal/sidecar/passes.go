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
)

// passTimer measures how long the passes of a group take.
type passTimer struct {
	step uint64
	at   time.Time     // When step was seen; zero before the first report.
	pass time.Duration // Smoothed; 0 when not known.
}

// note takes in the newest pass that began.
func (t *passTimer) note(step uint64, now time.Time) {
	if t.at.IsZero() || step < t.step || now.Sub(t.at) > passesForget {
		*t = passTimer{step: step, at: now}
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
