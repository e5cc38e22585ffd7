// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package slotshare shares the free slots of a group of ranks among processes that all see
// the same number of free slots and do not know of each other's requests. Each process
// admits a request with a probability such that all processes together fill the slots
// once: the ratio of free slots to the demand of all processes, which it estimates from
// its own requests and from its part of the requests in flight. Requests of a better class go first, at any process: the number of
// slots that they typically need is reserved for them. It is a pure state machine: time
// and randomness are passed as arguments, and the caller serialises access. Package
// passes determines the number of slots.
package slotshare

import "time"

// Class is the priority of a request for a slot; 0 goes first.
type Class int

// urgencyLevels is the number of distinct urgencies; higher numbers count as the last one.
const urgencyLevels = 3

// classCount is the number of classes.
const classCount = 2 * urgencyLevels

// ClassOf returns the class of a request by its urgency, 0 being the most urgent. A request
// that would be late even if it were admitted now comes after all that can be in time.
// Without this rule, callers that had been rejected before and waited for two seconds asked for
// a slot at each report, new callers asked once or twice and were rejected, and all were late.
func ClassOf(urgency int, late bool) Class {
	c := Class(min(max(urgency, 0), urgencyLevels-1))
	if late {
		c += urgencyLevels
	}
	return c
}

// late reports whether requests of the class would be late even if admitted now.
func (c Class) late() bool { return c >= urgencyLevels }

// urgencyWeights are the relative frequencies of admission by urgency while there is not enough
// capacity for all requests. Strict priority would starve the least urgent requests during that
// time; their callers wait for an answer, too.
var urgencyWeights = [urgencyLevels]float64{4, 2, 1}

// smoothingWeight is the weight of the newest report interval in the smoothed number of requests,
// which thus covers about the last ten reports, or one second.
const smoothingWeight = 0.1

// Share is the view that one process has of the demand for one group.
type Share struct {
	lastReport time.Time           // Time of the newest report of free slots; zero before the first.
	requests   [classCount]float64 // Requests for a slot since that report.
	smoothed   [classCount]float64 // Smoothed number of requests between two reports.
	ownUse     float64             // Smoothed number of requests of this process in flight.
	totalUse   float64             // Smoothed number of requests of all processes in flight.
}

// useSmoothingWeight is the weight of the newest report in the smoothed numbers of requests in flight,
// which thus cover about half a second.
const useSmoothingWeight = 0.2

const (
	// dominance is how many times its even part of the requests in flight a process must have for
	// that part to count as its part of the demand. Below, the demand counts as even: requests in
	// flight vary, and a process must not take more because it has taken more before.
	dominance = 2
	// minUse is the number of requests in flight below which the parts of the processes are unknown.
	minUse = 4
)

// RecordReport records that the number of free slots was reported at the given time: it begins a
// new report interval. Own and total are the numbers of requests of this process and of all processes
// in flight at that time. Reports that are not newer than the newest one are ignored. Requests before
// the first report do not count.
func (s *Share) RecordReport(at time.Time, own, total int) {
	if !at.After(s.lastReport) {
		return
	}
	s.ownUse += useSmoothingWeight * (float64(own) - s.ownUse)
	s.totalUse += useSmoothingWeight * (float64(max(total, own)) - s.totalUse)
	for c := range s.smoothed {
		if !s.lastReport.IsZero() {
			s.smoothed[c] += smoothingWeight * (s.requests[c] - s.smoothed[c])
		}
		s.requests[c] = 0
	}
	s.lastReport = at
}

// LastReport returns the time of the newest report. A request that was not admitted asks for a
// slot again at the next report.
func (s *Share) LastReport() time.Time { return s.lastReport }

// Processes returns the ratio of the demand of all processes to that of this one, where others is the
// number of other processes. It is others+1 if the demand is even. A process to which most callers come
// has most of the requests in flight, since others ask for less than their part.
func (s *Share) Processes(others int) float64 {
	even := float64(others + 1)
	if s.totalUse < minUse || s.ownUse*even < dominance*s.totalUse {
		return even
	}
	return max(s.totalUse/s.ownUse, 1)
}

// Admit counts a request of a class and decides whether it takes one of the free slots. The
// argument others is the number of other processes with requests for these slots. The argument surge
// is set while all processes have requests that waited for the same event, as right after an outage.
// The smoothed numbers are meaningless then, and each of the others is assumed to have as many
// requests as this process. The function random returns a number in [0, 1).
func (s *Share) Admit(c Class, slots float64, others int, surge bool, random func() float64) bool {
	s.requests[c]++
	processes := s.Processes(others)
	if surge {
		processes = float64(others + 1)
	}
	probability := s.admitProbability(c, slots, processes, surge)
	return slots >= 1 && probability > 0 && (probability >= 1 || random() < probability)
}

// admitProbability returns the probability with which a request of a class is admitted, where
// processes is the ratio of the demand of all processes to that of this one.
func (s *Share) admitProbability(c Class, slots, processes float64, surge bool) float64 {
	first := Class(0) // First of the classes that share the slots.
	if c.late() {
		first = urgencyLevels
		for k := range first {
			slots -= s.smoothed[k] * processes // Reserved for requests that can be in time.
		}
	}
	var demand [urgencyLevels]float64
	for u := range demand {
		demand[u] = s.smoothed[first+Class(u)] * processes
	}
	own := int(c - first)
	demand[own] = max(demand[own], s.requests[c]) // If this process suddenly has more requests, the smoothed number is too low.
	if surge {
		demand[own] = max(demand[own], s.requests[c]*processes)
	}
	return fillSlots(demand, slots, own)
}

// fillSlots distributes slots over the demand of the urgencies by their weights, and returns the
// fraction of the demand of urgency own that is admitted. Slots that exceed the demand of an
// urgency go to the others: each round takes out one urgency whose demand is satisfied, until own is
// satisfied or none is. The fraction is negative if slots is.
func fillSlots(demand [urgencyLevels]float64, slots float64, own int) (fraction float64) {
	satisfied := [urgencyLevels]bool{}
	for {
		weightedDemand, next := 0.0, -1
		for u, n := range demand {
			if !satisfied[u] {
				weightedDemand += urgencyWeights[u] * n
			}
		}
		for u := range demand {
			if !satisfied[u] && slots*urgencyWeights[u] >= weightedDemand {
				next = u
			}
		}
		switch {
		case next == own:
			return 1
		case next < 0:
			return slots * urgencyWeights[own] / weightedDemand
		}
		satisfied[next] = true
		slots -= demand[next]
	}
}
