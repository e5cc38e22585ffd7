// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package hold says until when a request is kept that nothing can serve yet, in place of
// a refusal: while what it waits for is expected so soon that its caller is still there.
// It answers the load of a start of the whole system, when all callers come at once to
// gateways that know nothing and to groups of ranks that form. It is pure.
package hold

import "time"

const (
	// startTime is for how long a gateway that has just started waits for the first
	// configuration: a start takes some hundred milliseconds, and reading it some round
	// trips. After that the store is away, and that takes seconds.
	startTime = 1500 * time.Millisecond
	// startShare is the part of a caller's patience that goes to it at most: a caller
	// that is refused after it still has the time to come back once.
	startShare = 1.0 / 3
	// silentShare is the part of the time after which callers leave that is used: the
	// rest is for the way back.
	silentShare = 0.95
)

// UntilConfig returns until when a request that came at a moment waits for the first
// configuration.
func UntilConfig(arrived time.Time, patience time.Duration) time.Time {
	return arrived.Add(min(startTime, time.Duration(startShare*float64(patience))))
}

// UntilGroupOpen returns until when a request waits for a group of ranks to open, whose caller
// last heard something at a moment and leaves after so long a silence; first is how long
// a first event takes.
func UntilGroupOpen(heard time.Time, leaves, first time.Duration) time.Time {
	return heard.Add(time.Duration(silentShare*float64(leaves)) - first)
}
