// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package demand tracks which experts the requests of a group of ranks choose: it smooths the expert
// counts of the ranks, detects shifts in demand, and estimates how long demand will remain stable. It
// is a pure state machine: time is passed in as an argument, and the caller serialises access. Package
// remap decides how to react to a shift.
package demand

import (
	"math"
	"time"
)

const (
	// shiftRatio is the ratio of the newest counts' distance from the smoothed ones to the typical
	// distance above which demand has shifted. The typical distance is observed, so that few and long
	// prompts, which make counts uneven, are not mistaken for a shift.
	shiftRatio = 1.8
	// typicalWeight is the weight of the newest distance in the typical distance: about ten updates
	// take as long as one request.
	typicalWeight = 0.1
	// initialDistance is the typical distance before any was observed: half of all choices differ.
	initialDistance = 0.5
	// maxPeriods bounds the number of remembered periods between shifts.
	maxPeriods = 8
)

// Config is the shape of the counts and the time over which they are smoothed.
type Config struct {
	Sets    int
	Experts int // Per set.
	Ranks   int
	// SmoothingTime is the time constant of the smoothing: long compared to the time between two
	// prompts, short compared to the duration of a request.
	SmoothingTime time.Duration
}

// minRankShare is the share of the ranks whose counts are needed to detect a shift: ranks differ in
// the topics of their requests.
const minRankShare = 0.7

// Tracker tracks the demand of one group.
type Tracker struct {
	cfg             Config
	smoothed        [][]float64     // Smoothed counts by set and expert; nil before the first update.
	updatedAt       time.Time       // Time of the last update of smoothed.
	stableSince     time.Time       // Time of the last shift, or of the first update.
	typicalDistance float64         // Smoothed distance of the newest counts from smoothed.
	shiftSuspected  bool            // The newest counts lie far off, but those before did not.
	periods         []time.Duration // Durations of the latest periods between shifts, oldest first.
	shifts          int
}

// New returns a tracker without any counts.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, typicalDistance: initialDistance}
}

// Update adds the newest counts, ordered by set and then by expert and summed over the given number of
// ranks. It reports whether they confirm a shift in demand. Counts of no ranks, or of another size
// than configured, are ignored. Counts that suggest a shift are not smoothed in: a second update in a
// row that suggests one confirms it, and its counts replace the smoothed ones.
func (t *Tracker) Update(counts []uint64, ranks int, now time.Time) (shifted bool) {
	if ranks == 0 || len(counts) != t.cfg.Sets*t.cfg.Experts {
		return false
	}
	newest := t.bySet(counts)
	if t.smoothed == nil {
		t.smoothed, t.updatedAt, t.stableSince = newest, now, now
		return false
	}
	d := distance(newest, t.smoothed)
	far := d > shiftRatio*t.typicalDistance && float64(ranks) >= minRankShare*float64(t.cfg.Ranks)
	switch {
	case far && t.shiftSuspected:
		t.shiftSuspected = false
		t.periods = append(t.periods, now.Sub(t.stableSince))
		t.periods = t.periods[max(0, len(t.periods)-maxPeriods):]
		t.smoothed, t.updatedAt, t.stableSince = newest, now, now
		t.shifts++
		return true
	case far:
		// A single long prompt can make one window of counts lie far off, and the first window after a
		// shift holds counts from before it: the next window decides.
		t.shiftSuspected = true
		return false
	}
	t.shiftSuspected = false
	t.typicalDistance += typicalWeight * (d - t.typicalDistance)
	t.smooth(newest, now)
	return false
}

// bySet returns counts by set and expert.
func (t *Tracker) bySet(counts []uint64) [][]float64 {
	list := make([][]float64, t.cfg.Sets)
	for k := range list {
		list[k] = make([]float64, t.cfg.Experts)
		for x := range list[k] {
			list[k][x] = float64(counts[k*t.cfg.Experts+x])
		}
	}
	return list
}

// smooth adds the newest counts to the smoothed ones. Soon after a shift all counts since then have
// equal weights, so that the first ones do not count for more than the rest.
func (t *Tracker) smooth(newest [][]float64, now time.Time) {
	elapsed := now.Sub(t.updatedAt).Seconds()
	weight := 1 - math.Exp(-elapsed/t.cfg.SmoothingTime.Seconds())
	if sinceShift := now.Sub(t.stableSince).Seconds(); sinceShift > 0 {
		weight = max(weight, elapsed/(sinceShift+elapsed))
	}
	t.updatedAt = now
	for k := range t.smoothed {
		for x := range t.smoothed[k] {
			t.smoothed[k][x] += weight * (newest[k][x] - t.smoothed[k][x])
		}
	}
}

// distance returns the share of all choices, averaged over the sets, that would have to change to turn
// one distribution into the other: 0 to 1. A set without any counts in a or b adds no distance.
func distance(a, b [][]float64) (d float64) {
	for k := range a {
		sumA, sumB := total(a[k]), total(b[k])
		if sumA == 0 || sumB == 0 {
			continue
		}
		for x := range a[k] {
			d += math.Abs(a[k][x]/sumA-b[k][x]/sumB) / 2
		}
	}
	return d / float64(max(len(a), 1))
}

func total(list []float64) (sum float64) {
	for _, v := range list {
		sum += v
	}
	return sum
}

// Smoothed returns the smoothed counts by set and expert, nil before the first update. The caller must
// not change them.
func (t *Tracker) Smoothed() [][]float64 { return t.smoothed }

// ShiftSuspected reports whether the newest counts lie so far off that demand may have shifted, which
// the next update confirms or refutes.
func (t *Tracker) ShiftSuspected() bool { return t.shiftSuspected }

// Shifts returns the number of detected shifts.
func (t *Tracker) Shifts() int { return t.shifts }

// ExpectedRemaining returns how much longer demand is expected to remain stable. It considers the
// earlier periods between shifts that lasted longer than the current period has so far, and returns
// the mean of what was left of them at this age. If there are none, the current period is expected to
// last as long again as it has so far.
func (t *Tracker) ExpectedRemaining(now time.Time) time.Duration {
	elapsed := now.Sub(t.stableSince)
	sum, n := time.Duration(0), time.Duration(0)
	for _, period := range t.periods {
		if period > elapsed {
			sum += period - elapsed
			n++
		}
	}
	if n == 0 {
		return elapsed
	}
	return sum / n
}
