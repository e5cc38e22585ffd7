// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package room shares the free places of a group of ranks among processes that all
// see the same number of them and do not know of each other's requests. Each lets
// a request in with the chance that makes all of them together fill the places
// once: as many as there are to as many as want one, by what this process sees of
// its own. It is a pure state machine: time and chance come in as arguments, and
// the caller serialises access. How many places there are is package passes'
// matter.
package room

import "time"

// usualWeight is the weight of the requests since the newest report in the usual
// number: the last ten reports or so, a second, tell how many want a place now.
const usualWeight = 0.1

// Share is what one process sees of one group.
type Share struct {
	report time.Time // The newest one of places; zero before the first.
	wants  float64   // Requests that wanted a place since it came.
	usual  float64   // Their smoothed number from one report to the next.
}

// Report notes that places were told anew at a moment.
func (s *Share) Report(at time.Time) {
	if !at.After(s.report) {
		return
	}
	if !s.report.IsZero() {
		s.usual += usualWeight * (s.wants - s.usual)
	}
	s.report, s.wants = at, 0
}

// Newest returns the time of the newest report. A request that was not let in wants
// a place again with the next one.
func (s *Share) Newest() time.Time { return s.report }

// Take reports whether a request takes one of so many places that are free, for
// which so many other processes have requests, too. Random returns a number from 0
// up to 1.
func (s *Share) Take(places float64, others int, random func() float64) bool {
	s.wants++
	if places < 1 {
		return false
	}
	want := max(s.usual*float64(others+1), s.wants) // In a surge the usual number tells too little.
	return places >= want || random()*want < places
}
