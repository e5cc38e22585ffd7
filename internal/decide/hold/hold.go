// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package hold decides until when a request is held that nothing can serve yet, instead of being
// rejected: as long as what it waits for is expected so soon that its caller will not have left. It
// handles the load when the whole system starts, as all callers arrive at once at gateways without a
// configuration and at groups of ranks that are still forming. It is pure.
package hold

import "time"

const (
	// maxConfigWait is the longest time for which a gateway that has just started waits for its first
	// configuration: a start takes some hundred milliseconds, and reading the configuration some round
	// trips. If it takes longer, the store is unreachable, which lasts for seconds.
	maxConfigWait = 1500 * time.Millisecond
	// maxConfigWaitShare is the largest share of a caller's timeout that may be spent on this wait: a
	// caller that is rejected after it still has time for one retry.
	maxConfigWaitShare = 1.0 / 3
	// usableSilenceShare is the share of the time after which callers leave that is used; the rest is
	// for the answer to reach the caller.
	usableSilenceShare = 0.95
)

// UntilConfig returns until when a request that arrived at the given time waits for the first
// configuration.
func UntilConfig(arrived time.Time, callerTimeout time.Duration) time.Time {
	return arrived.Add(min(maxConfigWait, time.Duration(maxConfigWaitShare*float64(callerTimeout))))
}

// UntilGroupOpen returns until when a request waits for a group of ranks to open. Its caller last
// received an event at lastEvent and leaves after a silence of silenceTimeout; firstEventTime is the
// time that the group takes to send a first event.
func UntilGroupOpen(lastEvent time.Time, silenceTimeout, firstEventTime time.Duration) time.Time {
	return lastEvent.Add(time.Duration(usableSilenceShare*float64(silenceTimeout)) - firstEventTime)
}
