// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A fence that a leader raises to abort must not reach that of a leader that took over at the same time.
func TestFencesOfLeadersDoNotInterleave(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2040, 1, 1, 0, 0, 0, 0, time.UTC)
	first, second := NextFence(0, now, 0), NextFence(0, now, 1)
	g.Expect(second).To(BeNumerically(">", first))
	m := New(searchRanks, 0, NoAbsence, 1, first)
	for m.CanAbort() {
		m.Phase = Arming
		m.Abort()
	}
	g.Expect(m.Fence).To(BeNumerically("<", second))
	g.Expect(NextFence(m.Fence, now, 0)).To(BeNumerically(">", second), "the next turn")
	g.Expect(NextFence(second, now.Add(-time.Hour), 0)).To(BeNumerically(">", second), "the clock is behind")
	g.Expect(second).To(BeNumerically("<", uint64(1)<<54))
}

// A leader that can't raise its fence any more begins no switch that it couldn't abort.
func TestNoSwitchBeginsWithoutAFenceToAbortIt(t *testing.T) {
	g := NewWithT(t)
	m := New(searchRanks, 0, NoAbsence, 1, fencesPerLeader-1)
	m.Phase = Ready
	m.SwitchAt(3)
	g.Expect(m.Phase).To(Equal(Ready))
}
