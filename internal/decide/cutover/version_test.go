// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/rank/ranktest"
)

// readyMachine returns a machine in the phase Ready for a group on map 0 whose ranks report nothing else.
func readyMachine(g *WithT, w *world, self int, fence uint64) *Machine {
	m := New(searchRanks, self, NoAbsence, 1, fence)
	w.follow(m, 4)
	g.Expect(m.Phase).To(Equal(Ready))
	return m
}

func newGroup() *world {
	return &world{scenario: &scenario{copies: true, passes: maxStep}, ranks: make([]ranktest.State, searchRanks), epoch: 1, isolated: NoRank}
}

// prepare has m give a map to all ranks but one, which answers nothing.
func (w *world) prepare(m *Machine, layout [][][]int, now time.Time, except int) {
	m.StartPreparing(now, layout)
	for range 4 {
		for r, o := range m.Next() {
			if o.Op == rank.Prepare && r != except {
				m.Handle(r, w.execute(r, o))
			}
		}
	}
}

// A restarted leader gave another map the version of one that ranks were still copying, and took their
// refusals for confirmations.
func TestRestartedLeaderGivesAnotherVersion(t *testing.T) {
	for _, tc := range []struct {
		name string
		now  time.Time
	}{{"the clock is right", time.Unix(1_800_000_000, 0)}, {"the clock shows nothing", time.Time{}}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newGroup()
			first := readyMachine(g, w, 0, 10)
			w.prepare(first, [][][]int{{{1}}}, tc.now, 2)
			g.Expect(first.Phase).To(Equal(Preparing))

			second, attempts := readyMachine(g, w, 0, 20), 0
			for second.Version = 0; second.Version == 0 && attempts < 3; attempts++ {
				w.prepare(second, [][][]int{{{2}}}, tc.now.Add(time.Second), NoRank)
				w.follow(second, 1)
			}
			g.Expect(second.Version).To(BeNumerically(">", first.Version))
			for r := range w.ranks {
				w.ranks[r].CompleteCopy()
			}
			g.Expect(second.AllPrepared(w.reports())).To(BeTrue())
			for _, e := range w.ranks {
				g.Expect(e.NextContent).To(Equal(w.ranks[2].NextContent), "all ranks have the second map")
			}
			if !tc.now.IsZero() {
				g.Expect(attempts).To(Equal(1), "no time is lost")
			}
		})
	}
}

// A version whose acceptance is not certain is never given to other ranks.
func TestUncertainVersionIsNotGivenToOthers(t *testing.T) {
	for _, result := range []rank.Result{rank.Lost, rank.Done, rank.Conflict} {
		t.Run(string(result), func(t *testing.T) {
			g := NewWithT(t)
			m := readyMachine(g, newGroup(), 1, 10)
			m.StartPreparing(time.Unix(1_800_000_000, 0), nil)
			version := m.Version
			for r, o := range m.Next() {
				g.Expect(o.Op == "" || r == 1).To(BeTrue(), "only the own rank gets an order")
			}
			m.Handle(1, result)
			g.Expect(m.Phase).NotTo(Equal(Preparing))
			g.Expect(m.Version).NotTo(Equal(version))
		})
	}
}

// The version of a leader whose clock was ahead is passed after a few refusals, whether the own rank or
// another one had it.
func TestHigherVersionIsPassedSoon(t *testing.T) {
	const ahead = 10 * time.Minute
	now := time.Unix(1_800_000_000, 0)
	for _, had := range []int{0, 2} {
		g := NewWithT(t)
		w := newGroup()
		w.ranks[had].Had = clockVersion(now.Add(ahead))
		m, attempts := readyMachine(g, w, 0, 10), 0
		for !m.AllPrepared(w.reports()) && attempts < 10 {
			attempts++
			w.prepare(m, [][][]int{{{1}}}, now, NoRank)
			for r := range w.ranks {
				w.ranks[r].CompleteCopy()
			}
			w.follow(m, 1)
			if !m.AllPrepared(w.reports()) && m.Version != 0 {
				g.Expect(m.Refused(w.reports())).To(Equal(had))
			}
		}
		g.Expect(attempts).To(BeNumerically("<=", 5), "rank %d had it", had)
	}
}

// Over a year with a switch each second, under leaders that take turns, versions rise and stay below the
// version of orders that only raise a fence.
func TestVersionsRiseForAYear(t *testing.T) {
	const switches = 366 * 24 * 3600
	now := time.Unix(1_800_000_000, 0)
	machines := []*Machine{{Self: 0, Ranks: 1, Phase: Ready}, {Self: versionStride - 1, Ranks: 1, Phase: Ready}}
	last := uint64(0)
	for i := range switches {
		m := machines[i%len(machines)]
		m.HighestVersion = last
		m.HighestVersion = max(m.HighestVersion, clockVersion(now))
		m.claimNext()
		if m.Version <= last || m.Version >= unusedVersion || versionLeader(m.Version) != m.Self {
			t.Fatalf("switch %d: version %d after %d", i, m.Version, last)
		}
		last = m.Version
		now = now.Add(time.Second)
	}
}

// Whatever clocks show and ranks report, no map gets the version of orders that only raise a fence, or
// one above it.
func TestNoVersionIsLeft(t *testing.T) {
	g := NewWithT(t)
	for _, highest := range []uint64{unusedVersion - versionStride, unusedVersion, 1<<64 - 1} {
		m := &Machine{Self: 3, Ranks: 4, Phase: Ready, HighestVersion: highest, absent: NoAbsence}
		m.StartPreparing(time.Unix(1<<40, 0), nil)
		g.Expect(m.Version).To(BeZero())
		g.Expect(m.Phase).To(Equal(Settling))
	}
	m := &Machine{Self: 3, Ranks: 4, Phase: Ready, absent: NoAbsence}
	m.StartPreparing(time.Unix(1<<40, 0), nil)
	g.Expect(m.Version).To(And(BeNumerically(">", 0), BeNumerically("<", unusedVersion/2)), "a clock that is far ahead")
}
