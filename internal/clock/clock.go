// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package clock tells a time that goes on while the machine is suspended. The steady clock
// that time.Now carries stands still then, so whatever may be believed for some seconds only
// would be believed for as much longer as the suspension lasted. Times of it may be compared
// with each other; deadlines of connections and contexts, which the steady clock measures,
// are not for it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// source is a clock that counts suspensions, as the time since some moment; ok is false
// where there is none.
type source func() (d time.Duration, ok bool)

// Clock tells the time.
type Clock struct {
	boot  source
	start time.Time     // When the clock was made.
	then  time.Duration // What boot said then.
	works bool          // There is such a clock here.
}

func newClock(boot source) *Clock {
	c := &Clock{boot: boot, start: time.Now()}
	c.then, c.works = boot()
	return c
}

// Now returns the time. Where no clock counts suspensions, it is that of time.Now.
func (c *Clock) Now() time.Time {
	if !c.works {
		return time.Now()
	}
	d, ok := c.boot()
	if !ok {
		return time.Now()
	}
	return c.start.Add(d - c.then)
}

// machine is the clock of this machine.
var machine = newClock(sinceBoot)

// Now returns the time by the clock of this machine.
func Now() time.Time { return machine.Now() }

func sinceBoot() (d time.Duration, ok bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
