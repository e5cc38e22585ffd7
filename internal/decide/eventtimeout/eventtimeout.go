// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package eventtimeout computes how long to wait for the next event of an answer before its
// request is better sent to another endpoint: nothing arrives on a partitioned connection,
// or from an endpoint that lost the answer. It is pure. The caller decides whether the
// request may be retried, and whether the retry budget allows it.
package eventtimeout

import "time"

const (
	// targetFraction is the fraction of the target for which every first event is awaited: a
	// second attempt after it may still be in time if the group is fast.
	targetFraction = 0.8
	// firstEventFactor is the multiple of FirstEvent for which the first event is awaited: a
	// group whose first events take long is busy, not silent.
	firstEventFactor = 1.5
	// callerTimeoutFraction is the maximum wait as a fraction of the time after which callers
	// abandon a silent answer: the remainder is for the attempt at another endpoint.
	callerTimeoutFraction = 0.55
	// missedPasses is the number of passes without an event that end the wait in a stream.
	missedPasses = 8
)

// Answer holds the expected times of an answer, and the timeout of its caller.
type Answer struct {
	Target        time.Duration // Time until the answer or its first event for it to be in time.
	CallerTimeout time.Duration // Time without an event after which callers abandon an answer; 0 if they never do.
	FirstEvent    time.Duration // Time within which nearly all first events of the group or service arrive; 0 if unknown.
	PassTime      time.Duration // Typical time between two events; 0 if unknown.
}

// BeforeFirst returns how long to wait for the first event after the request was sent:
// targetFraction of the target, or firstEventFactor times FirstEvent if that is longer. The
// caller's timeout limits the wait, see limited.
func (a Answer) BeforeFirst() time.Duration {
	wait := max(time.Duration(targetFraction*float64(a.Target)), time.Duration(firstEventFactor*float64(a.FirstEvent)))
	return a.limited(wait)
}

// MidStream returns how long to wait for the next event after an event: missedPasses
// passes, but at least the target, since a failing rank stalls its group for some time
// and the stream then ends by itself. The caller's timeout limits the wait, see limited.
func (a Answer) MidStream() time.Duration {
	return a.limited(max(a.Target, missedPasses*a.PassTime))
}

// limited returns wait, but at most callerTimeoutFraction of the caller's timeout if the
// caller has one.
func (a Answer) limited(wait time.Duration) time.Duration {
	if a.CallerTimeout <= 0 {
		return wait
	}
	return min(wait, time.Duration(callerTimeoutFraction*float64(a.CallerTimeout)))
}
