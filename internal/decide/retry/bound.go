// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import (
	"slices"
	"time"
)

// Bound is the published limit on the retries for a service by all gateways together. In each span
// of length Window, at most Slack retries and Share for each request are allowed. The requests are
// those of the span, of the one before it or of the one half a span before it, whichever are most.
type Bound struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// Span is a span of length Bound.Window and what was sent in it.
type Span struct {
	From     time.Time
	Retries  int
	Requests int
	Allowed  float64
}

// Use returns the retries as a portion of what is allowed. It is above 1 if retries were sent
// although none are allowed.
func (s Span) Use() float64 {
	if s.Allowed == 0 {
		return float64(2 * min(s.Retries, 1))
	}
	return float64(s.Retries) / s.Allowed
}

// Worst returns the span with the highest use, given when requests and retries were sent. It is
// zero if there are no retries.
func (b Bound) Worst(requests, retries []time.Time) (worst Span) {
	requests, retries = sorted(requests), sorted(retries)
	for i, from := range retries {
		to := from.Add(b.Window)
		s := Span{From: from, Retries: indexAfter(retries, to) - i}
		for _, earlier := range []time.Duration{0, b.Window / 2, b.Window} {
			s.Requests = max(s.Requests, indexAfter(requests, to.Add(-earlier))-indexAt(requests, from.Add(-earlier)))
		}
		s.Allowed = b.Share*float64(s.Requests) + b.Slack
		if s.Use() > worst.Use() {
			worst = s
		}
	}
	return worst
}

func sorted(times []time.Time) []time.Time {
	return slices.SortedFunc(slices.Values(times), time.Time.Compare)
}

// indexAt returns the number of times before at.
func indexAt(times []time.Time, at time.Time) int {
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	return i
}

// indexAfter returns the number of times up to and including at.
func indexAfter(times []time.Time, at time.Time) int { return indexAt(times, at.Add(1)) }
