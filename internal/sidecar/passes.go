// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import "time"

const (
	// passWeight is the weight of the newest measurement in the smoothed pass time.
	passWeight = 0.6
	// minPassesMeasured is the minimum number of passes that are measured together.
	minPassesMeasured = 2
	// passIdleTimeout is how long without a pass invalidates the measurement, since the group is
	// idle.
	passIdleTimeout = 2 * time.Second
	// A group with requests is considered stalled when it makes no pass for minStallTime and for
	// the duration of minStallPasses average passes: a healthy group makes several passes in
	// minStallTime, and one with a slow rank may take a second for each.
	minStallTime   = 700 * time.Millisecond
	minStallPasses = 3
)

// passTimer measures how long the passes of a group take.
type passTimer struct {
	step   uint64        // Pass at which the current measurement began.
	stepAt time.Time     // When step was seen; zero before the first report.
	mean   time.Duration // Smoothed pass time; 0 if unknown.

	newest   uint64    // Newest pass that has begun.
	newestAt time.Time // When it was first seen.
}

// observe records the newest pass that has begun. The mean is updated once minPassesMeasured passes
// have begun since the last measurement. It is dropped if passes are numbered anew or the last
// measurement is older than passIdleTimeout.
func (t *passTimer) observe(step uint64, now time.Time) {
	if step != t.newest || t.newestAt.IsZero() {
		t.newest, t.newestAt = step, now
	}
	if t.stepAt.IsZero() || step < t.step || now.Sub(t.stepAt) > passIdleTimeout {
		t.step, t.stepAt, t.mean = step, now, 0
		return
	}
	n := step - t.step
	if n < minPassesMeasured {
		return
	}
	passTime := now.Sub(t.stepAt) / time.Duration(n)
	if t.mean == 0 {
		t.mean = passTime
	}
	t.mean += time.Duration(passWeight * float64(passTime-t.mean))
	t.step, t.stepAt = step, now
}

// stalled reports whether no pass has begun for so long that the group must be stalled, if it has
// requests.
func (t *passTimer) stalled(now time.Time) bool {
	return !t.newestAt.IsZero() && now.Sub(t.newestAt) > max(minStallTime, minStallPasses*t.mean)
}
