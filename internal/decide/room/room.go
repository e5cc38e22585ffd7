// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package room shares the free places of a group of ranks among processes that all
// see the same number of them and do not know of each other's requests. Each lets
// a request in with the chance that makes all of them together fill the places
// once: as many as there are to as many as want one, by what this process sees of
// its own. Requests of a better class go first, at whatever process: what they usually
// want is left to them. It is a pure state machine: time and chance come in as
// arguments, and the caller serialises access. How many places there are is package
// passes' matter.
package room

import "time"

// Class is the order in which requests get places, the first being 0.
type Class int

// urgencies is how many ranks of urgency are told apart; those after the last are taken
// as the last one.
const urgencies = 3

// classes is how many classes there are.
const classes = 2 * urgencies

// ClassOf returns the class of a request by its urgency, 0 being the most urgent. One that
// is late however soon it is let in comes after all that can be in time: while callers
// that had been refused before waited for two seconds and asked at each report, those who
// came for the first time asked once or twice and were refused, and everybody was late.
func ClassOf(urgency int, late bool) Class {
	c := Class(min(max(urgency, 0), urgencies-1))
	if late {
		c += urgencies
	}
	return c
}

func (c Class) late() bool { return c >= urgencies }

// urgencyWeights is how much more often requests are let in by their urgency while there
// is too little room for all. Strict order would shut out the least urgent for as long
// as that lasts; their callers wait for an answer, too.
var urgencyWeights = [urgencies]float64{4, 2, 1}

// usualWeight is the weight of the requests since the newest report in the usual
// number: the last ten reports or so, a second, tell how many want a place now.
const usualWeight = 0.1

// Share is what one process sees of one group.
type Share struct {
	report time.Time        // The newest one of places; zero before the first.
	wants  [classes]float64 // Requests that wanted a place since it came.
	usual  [classes]float64 // Their smoothed number from one report to the next.
}

// RecordReport notes that places were told anew at a moment.
func (s *Share) RecordReport(at time.Time) {
	if !at.After(s.report) {
		return
	}
	for c := range s.usual {
		if !s.report.IsZero() {
			s.usual[c] += usualWeight * (s.wants[c] - s.usual[c])
		}
		s.wants[c] = 0
	}
	s.report = at
}

// LastReport returns the time of the newest report. A request that was not let in wants
// a place again with the next one.
func (s *Share) LastReport() time.Time { return s.report }

// Admit reports whether a request of a class takes one of so many places that are free,
// for which so many other processes have requests, too. Surge is set while all of them
// have requests that waited for the same, as right after an outage: what is usual tells
// nothing then, and the others want as much as this one. Random returns a number from 0
// up to 1.
func (s *Share) Admit(c Class, places float64, others int, surge bool, random func() float64) bool {
	s.wants[c]++
	chance := s.chance(c, places, float64(others+1), surge)
	return places >= 1 && chance > 0 && (chance >= 1 || random() < chance)
}

// chance returns with which chance a request of a class is let in, where so many processes
// want places.
func (s *Share) chance(c Class, places, processes float64, surge bool) float64 {
	first := Class(0) // Of the classes that share what places there are.
	if c.late() {
		first = urgencies
		for k := range first {
			places -= s.usual[k] * processes
		}
	}
	var want [urgencies]float64
	for u := range want {
		want[u] = s.usual[first+Class(u)] * processes
	}
	own := int(c - first)
	want[own] = max(want[own], s.wants[c]) // In a surge here the usual number tells too little.
	if surge {
		want[own] = max(want[own], s.wants[c]*processes)
	}
	return fill(want, places, own)
}

// fill pours places into the wants of urgencies by their weights, and returns which part
// of those of one is let in. What is more than an urgency wants goes to the others.
func fill(want [urgencies]float64, places float64, own int) (part float64) {
	full := [urgencies]bool{}
	for {
		total, next := 0.0, -1
		for u, n := range want {
			if !full[u] {
				total += urgencyWeights[u] * n
			}
		}
		for u := range want {
			if !full[u] && places*urgencyWeights[u] >= total {
				next = u
			}
		}
		switch {
		case next == own:
			return 1
		case next < 0:
			return places * urgencyWeights[own] / total
		}
		full[next] = true
		places -= want[next]
	}
}
