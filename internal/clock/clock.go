// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package clock provides a time that advances while the machine is suspended. The monotonic
// clock reading of time.Now stops during a suspension, so information that is valid for a few
// seconds only would stay valid for longer by the duration of the suspension. Times of this
// package may be compared with each other. They must not be used for deadlines of connections
// and contexts, which are measured with the monotonic clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since a fixed point in time, including the time during which the
// machine was suspended; ok is false where no such clock is available.
type bootClock func() (d time.Duration, ok bool)

// Clock provides a time that includes suspensions of the machine.
type Clock struct {
	boot        bootClock
	start       time.Time     // Time of creation.
	bootAtStart time.Duration // Reading of boot at start.
	available   bool          // Reports whether boot works on this machine.
}

func newClock(boot bootClock) *Clock {
	c := &Clock{boot: boot, start: time.Now()}
	c.bootAtStart, c.available = boot()
	return c
}

// Now returns the time. Without a clock that includes suspensions, it returns time.Now.
func (c *Clock) Now() time.Time {
	if !c.available {
		return time.Now()
	}
	d, ok := c.boot()
	if !ok {
		return time.Now()
	}
	return c.start.Add(d - c.bootAtStart)
}

// systemClock is the Clock of this machine.
var systemClock = newClock(sinceBoot)

// Now returns the time of this machine's Clock.
func Now() time.Time { return systemClock.Now() }

func sinceBoot() (d time.Duration, ok bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
