// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/rank/ranktest"
)

func TestNoPassOnTwoMaps(t *testing.T) {
	g := NewWithT(t)
	seen, violation := scenario{faults: 2, isolations: []isolation{frozen}}.search()
	t.Logf("%d states", seen)
	g.Expect(violation).To(BeEmpty())
	g.Expect(seen).To(BeNumerically(">", 1000))
}

// A rank that restarts under its id leaves the group on one map, in whatever state the group and its
// leaders are and whatever orders are in transit.
func TestNoPassOnTwoMapsWhenARankRestarts(t *testing.T) {
	g := NewWithT(t)
	seen, violation := scenario{faults: 1, isolations: []isolation{frozen}, restart: groupForgets}.search()
	t.Logf("%d states", seen)
	g.Expect(violation).To(BeEmpty())
	g.Expect(seen).To(BeNumerically(">", 10_000))
}

// The search must detect the violation that follows if only the restarted rank forgets its maps and
// armings, and the other ranks do not.
func TestSearchFindsStateLeftByARestart(t *testing.T) {
	g := NewWithT(t)
	seen, violation := scenario{faults: 1, isolations: []isolation{frozen}, restart: groupRemembers}.search()
	t.Logf("after %d states: %.40s", seen, violation)
	g.Expect(violation).To(ContainSubstring("on maps"))
}

// eachOrder turns a fault of a single order into one that affects every order of a phase.
func eachOrder(inject func(m *Machine, o *rank.Order)) func(m *Machine, orders []rank.Order) {
	return func(m *Machine, orders []rank.Order) {
		for r := range orders {
			if orders[r].Op != "" {
				inject(m, &orders[r])
			}
		}
	}
}

// The search must detect faults that are injected into the protocol.
func TestSearchFindsFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		inject func(m *Machine, orders []rank.Order)
	}{
		{"no hold", eachOrder(func(m *Machine, o *rank.Order) {
			if o.Op == rank.Hold {
				o.Step += 100
			}
		})},
		{"released before all are armed", eachOrder(func(m *Machine, o *rank.Order) {
			if m.Phase == Arming && m.confirmed[1] {
				o.Op = rank.Release
			}
		})},
		{"the fence is not raised to abort", eachOrder(func(m *Machine, o *rank.Order) {
			if m.Phase == Undoing || m.Phase == Freeing {
				o.Fence--
			}
		})},
		{"an arming is not undone", eachOrder(func(m *Machine, o *rank.Order) {
			if m.Phase == Undoing {
				o.Version = unusedVersion
			}
		})},
		{"the holder arms the leader's rank although it said that it would not", func(m *Machine, orders []rank.Order) {
			if m.AbsentRank() != NoRank {
				m.absent.ArmingKnown, m.absent.Armed = true, rank.Arming{}
			}
		}},
		{"the leader's own rank is armed first", func(m *Machine, orders []rank.Order) {
			if m.Phase == Arming && !m.confirmed[m.Self] {
				orders[m.Self] = m.order(m.Self)
			}
		}},
		{"an abort takes back the arming of the own rank", func(m *Machine, orders []rank.Order) {
			if m.Phase == Fencing && m.ownRequested {
				orders[m.Self] = rank.Order{Op: rank.Disarm, Fence: m.Fence, Epoch: m.Epoch, Version: m.Version}
			}
		}},
		{"the absent rank is taken as not armed", func(m *Machine, orders []rank.Order) { m.absenceResolved = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			seen, violation := scenario{faults: 2, isolations: []isolation{frozen, cutOff}, inject: tc.inject}.search()
			t.Logf("after %d states: %.40s", seen, violation)
			g.Expect(violation).To(ContainSubstring("on maps"))
		})
	}
}

// The search must detect that a pass is held again although its release may still be in transit.
func TestSearchFindsAReleasedPassThatIsHeldAgain(t *testing.T) {
	g := NewWithT(t)
	inject := func(m *Machine, orders []rank.Order) {
		if m.Phase == Releasing {
			m.Step = 0
		}
	}
	seen, violation := scenario{faults: 2, first: 2, prepared: true, steps: 2, inject: inject}.search()
	t.Logf("after %d states: %.40s", seen, violation)
	g.Expect(violation).To(ContainSubstring("on maps"))
}

// Once faults are over, no hold is left behind: the group continues.
func TestLeftHoldsAreReleased(t *testing.T) {
	g := NewWithT(t)
	m := New(searchRanks, 1, NoAbsence, 1, 20)
	w := &world{scenario: &scenario{passes: maxStep}, ranks: make([]ranktest.State, searchRanks), epoch: 1, leaders: []*Machine{m}, isolated: NoRank}
	w.ranks[0].HeldPass = 3 // Left by a failed leader, after two of three ranks were armed.
	w.ranks[0].Prepared, w.ranks[1].Prepared, w.ranks[2].Prepared = 7, 7, 7
	w.ranks[0].Armed = rank.Arming{Version: 7, Step: 3}
	w.ranks[1].Armed = rank.Arming{Version: 7, Step: 3}
	w.step = 2
	for range 50 {
		if m.Phase == Settling {
			m.Observe(w.reports())
		}
		for r, o := range m.Next() {
			if o.Op != "" {
				m.Handle(r, w.execute(r, o))
			}
		}
	}
	g.Expect(m.Phase).To(Equal(Ready))
	g.Expect(w.canPass()).To(BeTrue())
	w.pass()
	g.Expect(w.violation).To(BeEmpty())
	g.Expect(w.ranks[2].Map).To(BeZero())
}

// A hold of a leader whose instance froze does not block the group, unless the leader's own rank may
// be armed.
func TestHoldOfAFrozenLeaderIsReleased(t *testing.T) {
	const version = 2 * versionStride // Made by the frozen leader.
	for _, tc := range []struct {
		name    string
		armed   []int // Ranks that the frozen leader, rank 0, has armed.
		absent  Absence
		resumes bool
		wantMap uint64
	}{
		{"none is armed", nil, Absence{}, true, 0},
		{"one of the others is armed", []int{1}, Absence{}, true, 0},
		{"all others are armed, and the last may be", []int{1, 2}, Absence{}, false, 0},
		{"all others are armed, and the last is certainly not", []int{1, 2}, Absence{ArmingKnown: true}, true, 0},
		{"all are armed", []int{0, 1, 2}, Absence{ArmingKnown: true, Armed: rank.Arming{Version: version, Step: 3}}, true, version},
		{"the last was armed for an earlier pass", []int{1, 2}, Absence{ArmingKnown: true, Armed: rank.Arming{Version: version - versionStride, Step: 2}}, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			m := New(searchRanks, successorRank, tc.absent, 1, 20)
			w := &world{scenario: &scenario{passes: maxStep}, ranks: make([]ranktest.State, searchRanks), epoch: 1, leaders: []*Machine{m}, step: 2, isolated: 0, isolation: frozen}
			w.ranks[Holder(0)].HeldPass = 3
			for r := range w.ranks {
				w.ranks[r].Prepared = version
			}
			for _, r := range tc.armed {
				w.ranks[r].Armed = rank.Arming{Version: version, Step: 3}
			}
			for range 20 {
				m.Observe(w.reports())
				for r, o := range m.Next() {
					g.Expect(o.Op == "" || r != 0).To(BeTrue(), "the frozen rank gets no orders")
					if o.Op != "" {
						m.Handle(r, w.execute(r, o))
					}
				}
			}
			g.Expect(w.canPass()).To(Equal(tc.resumes))
			g.Expect(m.Phase).To(Equal(Settling), "no new switch begins without the absent rank")
			if tc.resumes {
				w.pass()
				g.Expect(w.violation).To(BeEmpty())
				g.Expect(w.ranks[0].Map).To(Equal(tc.wantMap))
			}
		})
	}
}

// Whatever is cut off or frozen, and whoever takes over, no pass begins on two maps.
func TestNoPassOnTwoMapsWhenAnInstanceIsIsolated(t *testing.T) {
	both := []isolation{frozen, cutOff}
	for _, tc := range []struct {
		name string
		scenario
	}{
		{"the leader is cut off", scenario{faults: 2, isolations: []isolation{cutOff}}},
		{"ranks carry out orders in any sequence", scenario{faults: 2, isolations: []isolation{cutOff}, anyOrder: true, steps: 2}},
		{"the leader is not the first rank", scenario{faults: 2, first: 2, successors: []int{0}, isolations: []isolation{cutOff}}},
		{"the holder does not take over", scenario{faults: 2, successors: []int{2}, isolations: both, steps: 3}},
		{"three leaders", scenario{faults: 2, leaders: 3, successors: []int{1, 2}, isolations: []isolation{cutOff}, prepared: true, steps: 2, switches: 1}},
		{"three leaders, the first one is the last rank", scenario{faults: 2, leaders: 3, first: 2, successors: []int{0, 1}, isolations: []isolation{cutOff}, prepared: true, steps: 2, switches: 1}},
		{"three leaders, one of them frozen", scenario{faults: 2, leaders: 3, first: 2, successors: []int{0, 1}, isolations: []isolation{frozen}, prepared: true, steps: 2, switches: 1}},
		{"a later switch", scenario{faults: 1, leaders: 3, successors: []int{0, 1, 2}, isolations: both, steps: 4}},
		{"the holder's sidecar restarts", scenario{faults: 2, holderRestarts: true, isolations: []isolation{cutOff}, steps: 3}},
		{"the holder's sidecar restarts, and a released hold is set again", scenario{faults: 3, prepared: true, holderRestarts: true, isolations: both, steps: 2, switches: 1, passes: 3}},
		{"a rank restarts", scenario{faults: 1, isolations: both, restart: groupForgets}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			seen, violation := tc.search()
			t.Logf("%d states", seen)
			if violation != "" {
				t.Fatal(violation)
			}
			NewWithT(t).Expect(seen).To(BeNumerically(">", 10_000))
		})
	}
}

// The hold of a switch that another leader may have begun is left until the absent rank answers: it may
// be armed although others are not.
func TestHoldOfAnotherLeaderWaitsForTheAbsentRank(t *testing.T) {
	const version = versionStride + 2 // Made by rank 2.
	g := NewWithT(t)
	m := New(searchRanks, 2, Absence{Rank: 1}, 1, 20)
	w := &world{scenario: &scenario{passes: maxStep}, ranks: make([]ranktest.State, searchRanks), epoch: 1, leaders: []*Machine{m}, step: 2, isolated: 1, isolation: cutOff}
	w.ranks[Holder(1)].HeldPass = 3
	for r := range w.ranks {
		w.ranks[r].Prepared = version
	}
	w.ranks[1].Armed = rank.Arming{Version: version, Step: 3}
	w.follow(m, 20)
	g.Expect(w.canPass()).To(BeFalse())
	again := New(searchRanks, 2, NoAbsence, 1, 30)
	w.follow(again, 20)
	g.Expect(again.Phase).To(Equal(Ready))
	g.Expect(w.canPass()).To(BeTrue())
}

// Once all ranks answer again, the next leader ends what was begun, from whatever state.
func TestGroupGoesOnOnceAllRanksAnswer(t *testing.T) {
	const stride = 50 // Every so many states are tried.
	g := NewWithT(t)
	states, tried := 0, 0
	sc := scenario{faults: 2, successors: []int{1, 2}, isolations: []isolation{frozen, cutOff}, prepared: true, steps: 2}
	sc.visit = func(w *world) {
		if states++; states%stride != 0 {
			return
		}
		tried++
		c := w.after("reached again")
		c.isolated, c.isolation = NoRank, 0
		m := c.newMachine(searchRanks - 1)
		for range 6 {
			c.follow(m, 4)
			if !c.held() {
				c.pass()
			}
		}
		if m.Phase != Ready || c.violation != "" {
			t.Fatalf("%v, %s\n%s", m.Phase, c.violation, c.trace())
		}
	}
	_, violation := sc.search()
	g.Expect(violation).To(BeEmpty())
	g.Expect(tried).To(BeNumerically(">", 1000))
}

// A leader that is cut off as its own rank is armed must not take that back: its successor already
// counts on it.
func TestCutOffLeaderKeepsItsOwnRankArmed(t *testing.T) {
	g := NewWithT(t)
	sc := scenario{prepared: true, steps: 2, switches: 1, leaders: 2, first: 0}
	w := sc.firstWorld()
	lead := w.leaders[0]
	for lead.Phase == Holding || lead.Phase == Arming && !lead.confirmed[1] || lead.Phase == Arming && !lead.confirmed[2] {
		w.follow(lead, 1)
	}
	g.Expect(lead.Phase).To(Equal(Arming))
	own := lead.Next()[0]
	g.Expect(w.deliver(0, own, true)).To(Equal(rank.Done), "the answer reaches the holder, but not the leader")
	w.isolated, w.isolation = 0, cutOff
	lead.Abort()
	for range 3 {
		if o := lead.Next()[0]; o.Op != "" {
			lead.Handle(0, w.execute(0, o))
		}
	}
	next := w.newMachine(successorRank)
	w.follow(next, 10)
	g.Expect(w.held()).To(BeFalse())
	w.pass()
	w.pass()
	g.Expect(w.violation).To(BeEmpty())
	g.Expect(w.ranks[0].Map).To(Equal(lead.Version))
}

// A leader that restarts while ranks copy a map must not give that map's version to another one.
func TestNoPassOnTwoMapsWhenTheLeaderRestarts(t *testing.T) {
	prepares := []rank.Op{rank.Prepare}
	for _, tc := range []struct {
		name string
		scenario
	}{
		{"a rank doesn't answer", scenario{faults: 2, successors: []int{0}}},
		{"several answers are lost", scenario{faults: 3, successors: []int{0}, orders: prepares, steps: 2, passes: 3}},
		{"ranks carry out orders in any sequence", scenario{faults: 3, successors: []int{0}, anyOrder: true, orders: prepares, steps: 2, passes: 3}},
		{"twice", scenario{faults: 3, leaders: 3, successors: []int{0}, orders: prepares, steps: 2, switches: 3, passes: 3}},
		{"another leader in between", scenario{faults: 2, leaders: 3, successors: []int{0, 1}, orders: prepares, steps: 2, switches: 3, passes: 3}},
		{"the leader is the last rank", scenario{faults: 3, first: 2, successors: []int{2, 0}, orders: prepares, steps: 2, passes: 3}},
		{"holders restart, too, and instances are isolated", scenario{faults: 2, successors: []int{0, 1}, holderRestarts: true, isolations: []isolation{frozen, cutOff}, steps: 2, passes: 3}},
		{"leaders act on old reports", scenario{faults: 2, successors: []int{0, 1}, oldReports: true, orders: prepares, steps: 2, passes: 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			sc := tc.scenario
			sc.leaderRestarts, sc.copies = true, true
			seen, violation := sc.search()
			t.Logf("%d states", seen)
			if violation != "" {
				t.Fatal(violation)
			}
			NewWithT(t).Expect(seen).To(BeNumerically(">", 10_000))
		})
	}
}

// Combinations of faults that are too many for a search: leaders and holders that restart several times,
// leaders in between, instances that are isolated, lost orders and answers, and old reports.
func TestNoPassOnTwoMapsOnRandomPaths(t *testing.T) {
	const paths = 4000
	both := []isolation{frozen, cutOff}
	for _, tc := range []struct {
		name string
		scenario
	}{
		{"one leader restarts", scenario{successors: []int{0}}},
		{"several leaders restart", scenario{successors: []int{0, 1, 2}}},
		{"the leader is the last rank", scenario{first: 2, successors: []int{2, 0}}},
		{"old reports", scenario{successors: []int{0, 1}, oldReports: true}},
		{"holders restart, and instances are isolated", scenario{successors: []int{0, 1, 2}, holderRestarts: true, isolations: both}},
		{"the same with a prepared map and old reports", scenario{successors: []int{0, 1}, holderRestarts: true, isolations: both, prepared: true, oldReports: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			sc := tc.scenario
			sc.faults, sc.leaders, sc.switches, sc.passes = 7, 5, 5, maxStep
			sc.leaderRestarts, sc.copies, sc.anyOrder = true, true, true
			for seed := range uint64(paths) {
				if violation := sc.walk(seed); violation != "" {
					t.Fatalf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}
