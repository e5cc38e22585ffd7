// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package silence says for how long an answer may be silent until its request is
// better sent elsewhere: a connection behind a cut says nothing, and so does an endpoint
// that lost an answer. It is pure. Whether the request may be sent again, and whether
// the budget allows it, is the caller's matter.
package silence

import "time"

const (
	// targetShare is the part of the target for which every first event is waited for:
	// a second try may still be in time after it where groups are quick.
	targetShare = 0.8
	// longer is how many times the usual longest time until a first event an answer is
	// waited for: a group whose first events take long is busy, and not silent.
	longer = 1.5
	// leaveShare is the part of the time after which callers leave a silent answer that
	// is waited for at most: the rest is for the try elsewhere.
	leaveShare = 0.55
	// passesMissed is how many passes must be missed in the midst of a stream.
	passesMissed = 8
)

// Answer is what is known of an answer and its caller.
type Answer struct {
	Target        time.Duration // Until the answer or its first event, to be in time.
	CallerTimeout time.Duration // Callers leave an answer that is silent for so long.
	FirstEvent    time.Duration // Until nearly all first events of the group or service come; 0 when not known.
	PassTime      time.Duration // Usual time between two events; 0 when not known.
}

// BeforeFirst returns for how long after the request was sent nothing may come.
func (a Answer) BeforeFirst() time.Duration {
	wait := max(time.Duration(targetShare*float64(a.Target)), time.Duration(longer*float64(a.FirstEvent)))
	return a.atMost(wait)
}

// MidStream returns for how long nothing may come after an event: at least as long as
// before the first one, since a rank that fails holds up its group for a time and the
// stream then ends by itself.
func (a Answer) MidStream() time.Duration {
	return a.atMost(max(a.Target, passesMissed*a.PassTime))
}

func (a Answer) atMost(wait time.Duration) time.Duration {
	if a.CallerTimeout <= 0 {
		return wait
	}
	return min(wait, time.Duration(leaveShare*float64(a.CallerTimeout)))
}
