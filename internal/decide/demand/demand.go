// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package demand follows which experts the requests of a group of ranks choose:
// it smooths the counts of the ranks, notices when demand has shifted, and says
// for how long it may be expected to stay as it is. It is a pure state machine:
// time comes in as an argument, and the caller serialises access. What to do
// about a shift is package remap's matter.
package demand

import (
	"math"
	"time"
)

const (
	// shiftRatio is how far, against the usual distance, the newest counts lie from
	// the smoothed ones when demand has shifted. The usual distance is observed, so
	// that few and long prompts, which make counts uneven, are not taken for a shift.
	shiftRatio = 1.8
	// usualWeight is the weight of one more distance in the usual one: some ten of
	// them are one request's time.
	usualWeight = 0.1
	// noDistance is taken as the usual distance until one was seen: half of all
	// choices are others.
	noDistance = 0.5
	// maxSpans bounds the times between shifts that are remembered.
	maxSpans = 8
)

// Config is the shape of what is counted, and its times.
type Config struct {
	Sets    int
	Experts int // A set.
	Ranks   int
	// SmoothingTime is the time over which counts are smoothed: long against the time
	// between two prompts, short against the time of a request.
	SmoothingTime time.Duration
}

// judged is the part of the ranks whose counts must be there for a shift to be
// judged by them: ranks differ in what their requests are about.
const judged = 0.7

// Tracker follows the demand of one group.
type Tracker struct {
	cfg     Config
	load    [][]float64 // Smoothed counts by set and expert; nil before the first.
	at      time.Time   // When load was last brought up to date.
	since   time.Time   // When demand became as it is.
	usual   float64     // Usual distance of the newest counts to load.
	suspect bool        // The newest counts lie far off, for the first time.
	spans   []time.Duration
	shifts  int
}

// New returns a follower that has heard nothing.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, usual: noDistance}
}

// Update brings the smoothed counts up to date with the newest ones, set by set,
// which are the sum of those of so many ranks. It reports whether demand is now
// known to have shifted. Counts of another size than configured are left out.
func (f *Tracker) Update(counts []uint64, ranks int, now time.Time) (shifted bool) {
	if ranks == 0 || len(counts) != f.cfg.Sets*f.cfg.Experts {
		return false
	}
	newest := f.bySet(counts)
	if f.load == nil {
		f.load, f.at, f.since = newest, now, now
		return false
	}
	d := distance(newest, f.load)
	far := d > shiftRatio*f.usual && float64(ranks) >= judged*float64(f.cfg.Ranks)
	switch {
	case far && f.suspect:
		f.suspect = false
		f.spans = append(f.spans, now.Sub(f.since))
		f.spans = f.spans[max(0, len(f.spans)-maxSpans):]
		f.load, f.at, f.since = newest, now, now
		f.shifts++
		return true
	case far:
		// One window may lie far off by a single long prompt, and the first after a
		// shift holds counts from before it: the next one tells.
		f.suspect = true
		return false
	}
	f.suspect = false
	f.usual += usualWeight * (d - f.usual)
	f.smooth(newest, now)
	return false
}

// bySet returns counts by set and expert.
func (f *Tracker) bySet(counts []uint64) [][]float64 {
	list := make([][]float64, f.cfg.Sets)
	for k := range list {
		list[k] = make([]float64, f.cfg.Experts)
		for x := range list[k] {
			list[k][x] = float64(counts[k*f.cfg.Experts+x])
		}
	}
	return list
}

// smooth mixes the newest counts in. Soon after a shift all counts since weigh
// alike, so that the first ones do not count for more than the rest.
func (f *Tracker) smooth(newest [][]float64, now time.Time) {
	passed := now.Sub(f.at).Seconds()
	weight := 1 - math.Exp(-passed/f.cfg.SmoothingTime.Seconds())
	if all := now.Sub(f.since).Seconds(); all > 0 {
		weight = max(weight, passed/(all+passed))
	}
	f.at = now
	for k := range f.load {
		for x := range f.load[k] {
			f.load[k][x] += weight * (newest[k][x] - f.load[k][x])
		}
	}
}

// distance is the part of all choices, as a mean over the sets, that would have
// to be others for the one to become the other: 0 to 1.
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

// Smoothed returns the smoothed counts by set and expert, nil before the first. The
// caller must not change them.
func (f *Tracker) Smoothed() [][]float64 { return f.load }

// ShiftSuspected reports whether the newest counts lie so far off that a shift may
// have come, which is not yet sure.
func (f *Tracker) ShiftSuspected() bool { return f.suspect }

// Shifts returns how many shifts were noticed.
func (f *Tracker) Shifts() int { return f.shifts }

// ExpectedRemaining says how much longer demand may be expected to stay as it is: what was
// left, in the mean, of the earlier spans between shifts that lasted as long as
// this one has. A span that is longer than all before, or the first one, is
// expected to last as long again as it has.
func (f *Tracker) ExpectedRemaining(now time.Time) time.Duration {
	passed := now.Sub(f.since)
	sum, n := time.Duration(0), time.Duration(0)
	for _, s := range f.spans {
		if s > passed {
			sum += s - passed
			n++
		}
	}
	if n == 0 {
		return passed
	}
	return sum / n
}
