// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestClockIncludesSuspendedTime(t *testing.T) {
	g := NewWithT(t)
	boot := 100 * time.Second
	c := newClock(func() (time.Duration, bool) { return boot, true })
	before := c.Now()
	boot += 6 * time.Second // The machine was suspended: no other clock advanced.
	g.Expect(c.Now().Sub(before)).To(Equal(6 * time.Second))
}

func TestClockFallsBackToTimeNow(t *testing.T) {
	g := NewWithT(t)
	for _, works := range []bool{false, true} { // At the clock's creation; it fails later in both cases.
		first := works
		c := newClock(func() (time.Duration, bool) {
			ok := first
			first = false
			return 0, ok
		})
		before := time.Now()
		g.Expect(c.Now()).To(BeTemporally(">=", before))
	}
}

func TestSystemClockAdvances(t *testing.T) {
	g := NewWithT(t)
	before := Now()
	g.Eventually(Now).Should(BeTemporally(">", before))
}
