// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

func first(int) int { return 0 }

func candidates(ids ...string) (list []Candidate) {
	for _, id := range ids {
		list = append(list, Candidate{ID: id})
	}
	return list
}

func picked(g *WithT, t *Table, list []Candidate, now time.Time) string {
	i, ok := t.Pick(list, first, now)
	g.Expect(ok).To(BeTrue())
	return list[i].ID
}

func TestPickTakesTheLeastBusy(t *testing.T) {
	g := NewWithT(t)
	table := New()
	list := candidates("a", "b")
	table.Start("a")
	g.Expect(picked(g, table, list, start)).To(Equal("b"))
	table.Report("b", Load{Running: 3, At: start})
	g.Expect(picked(g, table, list, start)).To(Equal("a"))
	g.Expect(picked(g, table, list, start.Add(time.Minute))).To(Equal("b"), "the report is old")
}

func TestOwnRequestsCorrectAReport(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.Start("a")
	table.Report("a", Load{Running: 5, At: start})
	g.Expect(table.Outstanding("a", start)).To(Equal(5))
	table.Start("a")
	g.Expect(table.Outstanding("a", start)).To(Equal(6))
	table.End("a")
	table.End("a")
	g.Expect(table.Outstanding("a", start)).To(Equal(4))
}

func TestFailuresTakeAnEndpointOutAndATrialBringsItBack(t *testing.T) {
	g := NewWithT(t)
	table := New()
	list := candidates("a", "b", "c")
	table.Start("b")
	table.Start("c")
	for range failLimit - 1 {
		_, out := table.RecordFailure("a", 1, start)
		g.Expect(out).To(BeFalse())
	}
	d, out := table.RecordFailure("a", 1, start)
	g.Expect(out).To(BeTrue())
	g.Expect(picked(g, table, list, start)).NotTo(Equal("a"))
	back := start.Add(d + time.Millisecond)
	g.Expect(picked(g, table, list, back)).To(Equal("a"))
	table.Start("a")
	g.Expect(picked(g, table, list, back)).NotTo(Equal("a"), "one trial at a time")
	longer, out := table.RecordFailure("a", 1, back)
	g.Expect(out).To(BeTrue(), "the trial failed")
	g.Expect(longer).To(BeNumerically(">", d))
}

func TestFewAreOutAtOnce(t *testing.T) {
	g := NewWithT(t)
	table := New()
	list := candidates("a", "b")
	for _, id := range []string{"a", "b"} {
		for range failLimit {
			table.RecordFailure(id, 1, start)
		}
	}
	_, ok := table.Pick(list, first, start)
	g.Expect(ok).To(BeTrue(), "when all fail, all are tried")
}

func TestMisplacedEndpointsAreNeverTried(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.MarkMisplaced("a", start)
	_, ok := table.Pick(candidates("a"), first, start)
	g.Expect(ok).To(BeFalse())
}

func TestAGroupThatIsDownIsAskedWhereItIsHeard(t *testing.T) {
	g := NewWithT(t)
	table := New()
	list := candidates("heard", "silent")
	table.Report("silent", Load{Group: "g", At: start.Add(-time.Minute)})
	table.Report("heard", Load{Group: "g", Closed: true, At: start})
	g.Expect(picked(g, table, list, start)).To(Equal("heard"))
}

func TestASlowRankGetsNothingWhileOthersAreThere(t *testing.T) {
	g := NewWithT(t)
	table := New()
	list := []Candidate{{ID: "slow", Slots: 12, FixedCost: 5}, {ID: "a", Slots: 12, FixedCost: 5}, {ID: "b", Slots: 12, FixedCost: 5}}
	table.Report("slow", Load{Slowdown: 5, At: start})
	table.Report("a", Load{Running: 12, Waiting: 8, At: start})
	table.Report("b", Load{Running: 12, Waiting: 8, At: start})
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		i, ok := table.Pick(list, r.IntN, start)
		g.Expect(ok).To(BeTrue())
		g.Expect(list[i].ID).NotTo(Equal("slow"))
	}
}

// Gateways that see the same old loads must not all take the same rank.
func TestRanksAreFilledEvenly(t *testing.T) {
	g := NewWithT(t)
	table := New()
	var list []Candidate
	loads := []int{2, 6, 6, 7, 7, 8, 5, 6, 6, 7, 6, 6}
	for i, n := range loads {
		id := string(rune('a' + i))
		list = append(list, Candidate{ID: id, Slots: 12, FixedCost: 5})
		table.Report(id, Load{Running: n, At: start})
	}
	r := rand.New(rand.NewPCG(1, 1))
	got := make([]int, len(loads))
	const arriving = 18 // A quarter of what runs.
	for range arriving * 100 {
		i, _ := table.Pick(list, r.IntN, start)
		got[i]++
	}
	g.Expect(got[0]/100+loads[0]).To(BeNumerically("~", 7, 2), "the emptiest rank is filled to the others' level")
	g.Expect(got[5]).To(BeNumerically("<", got[0]/3))
}

func TestWaterLevel(t *testing.T) {
	for _, tc := range []struct {
		name    string
		columns []int
		amount  int
		level   int
	}{
		{"one", []int{3}, 4, 7},
		{"even", []int{2, 2}, 4, 4},
		{"the lowest only", []int{0, 10}, 4, 4},
		{"over the highest", []int{0, 4}, 8, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(waterLevel(tc.columns, tc.amount)).To(Equal(tc.level))
		})
	}
}

func TestDownIsSaidOnlyByThoseThatAreHeard(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	for _, tc := range []struct {
		name  string
		loads map[string]Load
		want  bool
	}{
		{"none heard", nil, false},
		{"one open", map[string]Load{"a": {Closed: true, At: now}, "b": {At: now}}, false},
		{"those heard are closed", map[string]Load{"a": {Closed: true, At: now}, "b": {Closed: true, At: now}}, true},
		{"closed long ago", map[string]Load{"a": {Closed: true, At: now.Add(-2 * reportAge)}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := New()
			for id, l := range tc.loads {
				b.Report(id, l)
			}
			NewWithT(t).Expect(b.AllClosed(list, now)).To(Equal(tc.want))
		})
	}
}

// What an endpoint's earlier life was taken out for does not count against the later
// one, and its load is not the later one's.
func TestASecondLifeIsJudgedAnew(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New()
	for range 5 {
		table.RecordFailure("one", 1, now)
	}
	list := []Candidate{{ID: "one"}, {ID: "two"}, {ID: "three"}}
	table.Report("one", Load{StartedAt: 5, At: now})
	table.Report("two", Load{Running: 1, At: now})
	table.Report("three", Load{Running: 1, At: now})
	i, ok := table.Pick(list, func(int) int { return 0 }, now)
	g.Expect(ok).To(BeTrue())
	g.Expect(list[i].ID).NotTo(Equal("one"), "it is out")
	g.Expect(table.Report("one", Load{StartedAt: 7, At: now})).To(BeTrue())
	i, _ = table.Pick(list, func(int) int { return 0 }, now)
	g.Expect(list[i].ID).To(Equal("one"))
	g.Expect(table.Report("one", Load{StartedAt: 5, Running: 99, At: now.Add(time.Second)})).To(BeFalse())
	g.Expect(table.Outstanding("one", now)).To(BeZero())
}
