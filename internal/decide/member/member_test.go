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

func init() { _ = flag.Set("rapid.seed", "1") } // The same verdict every time.

var (
	start = time.Unix(1_800_000_000, 0)
	times = Config{ProbeInterval: time.Second, SuspicionTimeout: 3 * time.Second, ForgetAfter: time.Hour, MaxUpdates: 8, IndirectProbes: 2}
)

func row(name string) Member {
	return Member{Name: name, Address: name, StartedAt: 1}
}

func anyRow(t *rapid.T) Member {
	return Member{
		Name: fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "name")), Address: "a",
		StartedAt:   int64(rapid.IntRange(0, 2).Draw(t, "life")),
		Incarnation: uint32(rapid.IntRange(0, 2).Draw(t, "incarnation")),
		State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
	}
}

// TestNewsMergesInAnyOrder gives the same news in two orders, some of it twice.
func TestNewsMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOfN(rapid.Custom(anyRow), 1, 12).Draw(t, "news")
		other := rapid.Permutation(news).Draw(t, "other order")
		a, b := New(times, row("self")), New(times, row("self"))
		a.Merge(news, start)
		b.Merge(other, start)
		b.Merge(news[:1], start)
		all := func(Member) bool { return true }
		x, y := fmt.Sprint(a.Members(all)), fmt.Sprint(b.Members(all))
		if x != y {
			t.Fatalf("views differ:\n%s\n%s", x, y)
		}
	})
}

func TestLeavingIsNeverTakenBackWithinALife(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(times, row("self"))
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
	g.Expect(got.Leaving).To(gomega.BeFalse(), "a new life begins anew")
}

func TestDeadIsDenied(t *testing.T) {
	g := gomega.NewWithT(t)
	self := New(times, row("self"))
	peer := New(times, row("peer"))
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

func TestLaterLifeSupersedes(t *testing.T) {
	g := gomega.NewWithT(t)
	self := New(times, row("self"))
	later := row("self")
	later.StartedAt = 9
	g.Expect(self.Superseded([]Member{later})).To(gomega.BeTrue())
	g.Expect(self.Superseded([]Member{row("self")})).To(gomega.BeFalse())

	mine := row("old-vm")
	mine.Endpoint = "rank-0"
	old := New(times, mine)
	heir := row("new-vm")
	heir.Endpoint, heir.StartedAt = "rank-0", 5
	g.Expect(old.Superseded([]Member{heir})).To(gomega.BeTrue(), "another instance fills the slot")
	heir.State = Dead
	g.Expect(old.Superseded([]Member{heir})).To(gomega.BeFalse(), "one that has died does not")
	heir.State, heir.StartedAt = Alive, 0
	g.Expect(old.Superseded([]Member{heir})).To(gomega.BeFalse(), "nor one that only the list names")
}

func TestPauseIsNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(times, row("self"))
	g.Expect(v.DetectPause(start)).To(gomega.BeFalse())
	g.Expect(v.DetectPause(start.Add(1100 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(v.TickOverdue(start.Add(10 * time.Second))).To(gomega.BeTrue())
	g.Expect(v.DetectPause(start.Add(10 * time.Second))).To(gomega.BeTrue())
	g.Expect(v.Self().Incarnation).To(gomega.BeEquivalentTo(1))
}

func TestRoundProbesEachMemberOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(times, row("self"))
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
	v := New(times, row("self"))
	for i := range 1000 {
		v.Merge([]Member{row(fmt.Sprint("m", i))}, start)
	}
	g.Expect(len(v.Outgoing())).To(gomega.BeNumerically("<=", times.MaxUpdates+1))
}

func TestListIsSlowTruth(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(times, row("self"))
	v.Merge([]Member{row("a")}, start)
	v.ProbeUnanswered("a", start)
	_, _, _ = v.Tick(start.Add(4*time.Second), 1)
	listed := row("a")
	listed.StartedAt = 0
	v.MergePlatformList([]Member{listed}, start)
	got, _ := v.Get("a")
	g.Expect(got.State).To(gomega.Equal(Dead), "the list revives nobody")
	listed.Leaving = true
	v.MergePlatformList([]Member{listed}, start)
	got, _ = v.Get("a")
	g.Expect(got.Leaving).To(gomega.BeTrue())
	mine := row("self")
	mine.Leaving = true
	v.MergePlatformList([]Member{mine}, start)
	g.Expect(v.Self().Leaving).To(gomega.BeTrue())
}

func TestSuspectIsToldAndAskedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(times, row("self"))
	for i := range 30 {
		v.Merge([]Member{row(fmt.Sprint("m", i))}, start)
	}
	v.ProbeUnanswered("m7", start)
	p, _, _ := v.Tick(start.Add(time.Second), 5)
	g.Expect(p.Target.Name).To(gomega.Equal("m7"), "whoever doubts asks again")
	told := false
	for range 40 {
		for _, m := range v.OutgoingTo("m7") {
			told = m.Name == "m7" && m.State == Suspect
		}
	}
	g.Expect(told).To(gomega.BeTrue(), "also when the news has been sent often enough")
}

func TestPatienceGrowsWithTheFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	v := New(times, row("self"))
	g.Expect(v.patience()).To(gomega.Equal(times.SuspicionTimeout))
	for i := range 3000 {
		v.Merge([]Member{row(fmt.Sprint("m", i))}, start)
	}
	g.Expect(v.patience()).To(gomega.BeNumerically("~", 3*times.SuspicionTimeout, times.SuspicionTimeout/2))
}
