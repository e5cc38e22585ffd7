// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package grouplimit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	at    = time.Unix(1000, 0)
	shape = Shape{FixedCost: 5, Slots: 12, EmptyPass: 18 * time.Millisecond, MaxPause: 120 * time.Millisecond, PassesPerAnswer: 24}
)

const (
	ranks = 4
	ms    = time.Millisecond
)

func id(group string, r int) string { return fmt.Sprintf("%s-%d", group, r) }

// reportAll records the same report for all ranks of a group.
func reportAll(t *Tracker, group string, r RankReport) {
	if r.At.IsZero() {
		r.At = at
	}
	for k := range ranks {
		t.Report(id(group, k), group, shape, r)
	}
}

func TestLimit(t *testing.T) {
	for _, tc := range []struct {
		name string
		rank RankReport
		want float64
	}{
		{"passes half as long as allowed", RankReport{Running: 5, PassTime: 51 * ms}, 12},
		{"as long as allowed", RankReport{Running: 5, PassTime: 102 * ms}, 5},
		{"too long", RankReport{Running: 9, PassTime: 140 * ms}, 5.2},
		{"far too long", RankReport{Running: 5, PassTime: 400 * ms}, minEstimate},
		{"no answer is in time", RankReport{Running: 5, PassTime: 400 * ms, Slowdown: 10}, 12},
		{"a slow rank without requests", RankReport{Running: 0, PassTime: 60 * ms, Slowdown: 10}, 3.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			p := New()
			reportAll(p, "g", tc.rank)
			limit, ok := p.Limit("g", at)
			g.Expect(ok).To(BeTrue())
			g.Expect(limit).To(BeNumerically("~", max(tc.want, minEstimate), 0.2))
		})
	}
}

func TestGroupsAreLimitedIndependently(t *testing.T) {
	g := NewWithT(t)
	p := New()
	reportAll(p, "fast", RankReport{Running: 5, PassTime: 51 * ms})
	reportAll(p, "slow", RankReport{Running: 5, PassTime: 200 * ms})
	fast, _ := p.Limit("fast", at)
	slow, _ := p.Limit("slow", at)
	g.Expect(fast).To(BeNumerically(">", 2*slow))
	_, ok := p.Limit("unheard", at)
	g.Expect(ok).To(BeFalse())
	_, ok = p.Limit("fast", at.Add(2*maxReportAge))
	g.Expect(ok).To(BeFalse(), "the reports are too old")
}

func TestObservedGapsTakePrecedenceOverRankReports(t *testing.T) {
	g := NewWithT(t)
	p := New()
	reportAll(p, "g", RankReport{Running: 5, PassTime: 51 * ms})
	for range 6 {
		p.RecordGap(id("g", 1), 102*ms, at)
	}
	limit, _ := p.Limit("g", at)
	g.Expect(limit).To(BeNumerically("~", 5, 0.2))
	reportAll(p, "g", RankReport{Running: 5, PassTime: 51 * ms, At: at.Add(time.Second)})
	limit, _ = p.Limit("g", at.Add(time.Second))
	g.Expect(limit).To(BeNumerically("~", 12, 0.2), "this process has no stream")
}

func TestARankThatChangesItsGroupIsRemovedFromTheOldOne(t *testing.T) {
	g := NewWithT(t)
	p := New()
	reportAll(p, "old", RankReport{Running: 5, PassTime: 51 * ms})
	for r := range ranks {
		p.Report(id("old", r), "new", shape, RankReport{Running: 5, PassTime: 51 * ms, At: at})
	}
	g.Expect(p.GroupOf(id("old", 0))).To(Equal("new"))
	_, ok := p.Limit("old", at)
	g.Expect(ok).To(BeFalse())
	p.Forget(func(string) bool { return false })
	_, ok = p.Limit("new", at)
	g.Expect(ok).To(BeFalse())
}

func TestRequestsAreMovedOffSlowRanksIfTheOthersHaveCapacity(t *testing.T) {
	for _, tc := range []struct {
		name     string
		slowdown float64
		running  int
		want     bool
	}{
		{"a little slow", 2, 3, false},
		{"very slow", 8, 3, true},
		{"the others are full", 8, 12, false},
		{"not slow", 1, 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			p := New()
			reportAll(p, "g", RankReport{Running: tc.running, PassTime: 300 * ms, Slowdown: 1})
			p.Report(id("g", 2), "g", shape, RankReport{Running: tc.running, PassTime: 300 * ms, Slowdown: tc.slowdown, At: at})
			g.Expect(p.ShouldMoveRequests(id("g", 2), at)).To(Equal(tc.want))
			g.Expect(p.ShouldMoveRequests(id("g", 1), at)).To(BeFalse())
		})
	}
}

func TestTurnover(t *testing.T) {
	g := NewWithT(t)
	p := New()
	reportAll(p, "g", RankReport{Running: 5, PassTime: 50 * ms})
	_, ok := p.Turnover("g", 5, at)
	g.Expect(ok).To(BeFalse(), "no first event was recorded")
	for range 50 {
		p.RecordFirstEvent(id("g", 0), 150*ms)
	}
	v, ok := p.Turnover("g", 5, at)
	g.Expect(ok).To(BeTrue())
	g.Expect(v.Rate).To(BeNumerically("~", 5/(24*0.05), 0.01), "five requests, each of 24 passes of 50 ms")
	g.Expect(v.FirstEvent).To(BeNumerically("~", 150*ms, 5*ms))
}

func TestChoose(t *testing.T) {
	full := Option{Ranks: 4, Requests: 40, Limit: 10}
	half := Option{Ranks: 4, Requests: 20, Limit: 10}
	near := Option{Ranks: 4, Requests: 20, Limit: 10, SameDomain: 4}
	for _, tc := range []struct {
		name   string
		offers []Option
		share  float64 // Fraction of choices of the last option.
		ok     bool
	}{
		{"none has capacity", []Option{full, full}, 0, false},
		{"one has capacity", []Option{full, half}, 1, true},
		{"same domain before others", []Option{half, near}, 2.0 / 3, true},
		{"by free capacity", []Option{{Ranks: 4, Requests: 30, Limit: 10}, half}, 2.0 / 3, true},
		{"no groups", nil, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			chosen, last := 0, 0
			for n := range 3000 {
				i, ok := Choose(tc.offers, func(sum int) int { return n * 7919 % sum })
				g.Expect(ok).To(Equal(tc.ok))
				if !ok {
					return
				}
				chosen++
				if i == len(tc.offers)-1 {
					last++
				}
			}
			g.Expect(float64(last) / float64(chosen)).To(BeNumerically("~", tc.share, 0.02))
		})
	}
}

func TestARoundEndsWhenAllRanksHaveReported(t *testing.T) {
	g := NewWithT(t)
	tr := New()
	g.Expect(tr.LastRound("g")).To(BeZero())
	rounds := map[time.Time]bool{}
	for n := range 10 {
		for i, id := range []string{"a", "b", "c"} {
			at := time.Unix(1000, 0).Add(time.Duration(10*n+i) * time.Millisecond)
			tr.Report(id, "g", Shape{}, RankReport{At: at})
			g.Expect(tr.LastRound("g")).To(BeTemporally("<=", at))
			if n > 0 { // All three ranks are known.
				rounds[tr.LastRound("g")] = true
			}
		}
	}
	g.Expect(rounds).To(HaveLen(9))
}

// A group that is partitioned off is skipped at once, unless the process itself is partitioned off.
func TestMarkSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) Option { return Option{Ranks: 4, Limit: 4, LastReport: now.Add(-d)} }
	for _, tc := range []struct {
		name   string
		offers []Option
		silent []bool
	}{
		{"all groups report", []Option{ago(0), ago(silentAfter)}, []bool{false, false}},
		{"one group is partitioned off", []Option{ago(0), ago(2 * silentAfter)}, []bool{false, true}},
		{"the process is partitioned off", []Option{ago(2 * silentAfter), ago(3 * silentAfter)}, []bool{false, false}},
		{"one group never reported", []Option{ago(0), {Ranks: 4, Limit: 4}}, []bool{false, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			MarkSilent(tc.offers, now)
			for i, o := range tc.offers {
				g.Expect(o.Silent).To(Equal(tc.silent[i]))
			}
			for n := range 64 {
				i, ok := Choose(tc.offers, func(most int) int { return n % most })
				g.Expect(ok).To(BeTrue())
				g.Expect(tc.silent[i]).To(BeFalse())
			}
		})
	}
}
