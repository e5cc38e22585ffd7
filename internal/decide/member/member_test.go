// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package member

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") } // Makes runs reproducible.

var (
	start      = time.Unix(1_800_000_000, 0)
	testConfig = Config{ProbeInterval: time.Second, SuspicionTimeout: 3 * time.Second, ForgetAfter: time.Hour, MaxUpdates: 8, IndirectProbes: 2}
)

func row(name string) Member {
	return Member{Name: name, Address: name, StartedAt: 1}
}

func randomRow(t *rapid.T) Member {
	return Member{
		Name: fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "name")), Address: "a",
		StartedAt:   int64(rapid.IntRange(0, 2).Draw(t, "life")),
		Incarnation: uint32(rapid.IntRange(0, 2).Draw(t, "incarnation")),
		State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
	}
}

// TestMergeIsIndependentOfOrder merges the same updates in two orders, some of them twice.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(randomRow), 1, 12).Draw(t, "news")
		other := rapid.Permutation(updates).Draw(t, "other order")
		a, b := New(testConfig, row("self")), New(testConfig, row("self"))
		a.Merge(updates, start)
		b.Merge(other, start)
		b.Merge(updates[:1], start)
		all := func(Member) bool { return true }
		x, y := fmt.Sprint(a.Members(all)), fmt.Sprint(b.Members(all))
		if x != y {
			t.Fatalf("views differ:\n%s\n%s", x, y)
		}
	})
}

func TestLeavingIsNeverRevokedForOneProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(testConfig, row("self"))
	m := row("a")
	m.Leaving = true
	v.Merge([]Member{m}, start)
	newer := row("a")
	newer.Incarnation = 5
	v.Merge([]Member{newer}, start)
	got, _ := v.Get("a")
	g.Expect(got.Leaving).To(gomega.BeTrue())
	newer.StartedAt = 2
	v.Merge([]Member{newer}, start)
	got, _ = v.Get("a")
	g.Expect(got.Leaving).To(gomega.BeFalse(), "a later process starts without the mark")
}

func TestDeathIsRefuted(t *testing.T) {
	g := gomega.NewWithT(t)
	self := New(testConfig, row("self"))
	peer := New(testConfig, row("peer"))
	peer.Merge(self.Outgoing(), start)
	peer.ProbeUnanswered("self", start)
	_, _, _ = peer.Tick(start.Add(4*time.Second), 1)
	got, _ := peer.Get("self")
	g.Expect(got.State).To(gomega.Equal(Dead))
	self.Merge(peer.Outgoing(), start)
	peer.Merge(self.Outgoing(), start)
	got, _ = peer.Get("self")
	g.Expect(got.State).To(gomega.Equal(Alive))
	g.Expect(got.Incarnation).To(gomega.BeEquivalentTo(1))
}

func TestLaterProcessSupersedes(t *testing.T) {
	g := gomega.NewWithT(t)
	self := New(testConfig, row("self"))
	later := row("self")
	later.StartedAt = 9
	g.Expect(self.Superseded([]Member{later})).To(gomega.BeTrue())
	g.Expect(self.Superseded([]Member{row("self")})).To(gomega.BeFalse())

	mine := row("old-vm")
	mine.Endpoint = "rank-0"
	old := New(testConfig, mine)
	successor := row("new-vm")
	successor.Endpoint, successor.StartedAt = "rank-0", 5
	g.Expect(old.Superseded([]Member{successor})).To(gomega.BeTrue(), "another instance has taken over the slot")
	successor.State = Dead
	g.Expect(old.Superseded([]Member{successor})).To(gomega.BeFalse(), "a dead one has not")
	successor.State, successor.StartedAt = Alive, 0
	g.Expect(old.Superseded([]Member{successor})).To(gomega.BeFalse(), "nor has one that only the platform's list names")
}

func TestPauseIsDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(testConfig, row("self"))
	g.Expect(v.DetectPause(start)).To(gomega.BeFalse())
	g.Expect(v.DetectPause(start.Add(1100 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(v.TickOverdue(start.Add(10 * time.Second))).To(gomega.BeTrue())
	g.Expect(v.DetectPause(start.Add(10 * time.Second))).To(gomega.BeTrue())
	g.Expect(v.Self().Incarnation).To(gomega.BeEquivalentTo(1))
}

func TestRoundProbesEachMemberOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(testConfig, row("self"))
	for i := range 20 {
		v.Merge([]Member{row(fmt.Sprint("m", i))}, start)
	}
	seen := map[string]int{}
	for i := range 20 {
		p, _, ok := v.Tick(start, uint64(i))
		g.Expect(ok).To(gomega.BeTrue())
		seen[p.Target.Name]++
	}
	g.Expect(seen).To(gomega.HaveLen(20))
}

func TestMessagesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(testConfig, row("self"))
	for i := range 1000 {
		v.Merge([]Member{row(fmt.Sprint("m", i))}, start)
	}
	g.Expect(len(v.Outgoing())).To(gomega.BeNumerically("<=", testConfig.MaxUpdates+1))
}

func TestPlatformListNeverRevivesButMarksLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(testConfig, row("self"))
	v.Merge([]Member{row("a")}, start)
	v.ProbeUnanswered("a", start)
	_, _, _ = v.Tick(start.Add(4*time.Second), 1)
	listed := row("a")
	listed.StartedAt = 0
	v.MergePlatformList([]Member{listed}, start)
	got, _ := v.Get("a")
	g.Expect(got.State).To(gomega.Equal(Dead), "the list does not revive a dead member")
	listed.Leaving = true
	v.MergePlatformList([]Member{listed}, start)
	got, _ = v.Get("a")
	g.Expect(got.Leaving).To(gomega.BeTrue())
	mine := row("self")
	mine.Leaving = true
	v.MergePlatformList([]Member{mine}, start)
	g.Expect(v.Self().Leaving).To(gomega.BeTrue())
}

func TestSuspectIsInformedAndProbedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(testConfig, row("self"))
	for i := range 30 {
		v.Merge([]Member{row(fmt.Sprint("m", i))}, start)
	}
	v.ProbeUnanswered("m7", start)
	p, _, _ := v.Tick(start.Add(time.Second), 5)
	g.Expect(p.Target.Name).To(gomega.Equal("m7"), "the process that suspects a member probes it again")
	informed := false
	for range 40 {
		for _, m := range v.OutgoingTo("m7") {
			informed = m.Name == "m7" && m.State == Suspect
		}
	}
	g.Expect(informed).To(gomega.BeTrue(), "even when the update has reached its transmit limit")
}

func TestSuspicionTimeoutGrowsWithTheFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(testConfig, row("self"))
	g.Expect(v.suspicionTimeout()).To(gomega.Equal(testConfig.SuspicionTimeout))
	for i := range 3000 {
		v.Merge([]Member{row(fmt.Sprint("m", i))}, start)
	}
	g.Expect(v.suspicionTimeout()).To(gomega.BeNumerically("~", 3*testConfig.SuspicionTimeout, testConfig.SuspicionTimeout/2))
}
