// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package passes

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

// tell has all ranks of a group tell the same.
func tell(t *Tracker, group string, r RankReport) {
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
		{"passes half as long as they may be", RankReport{Running: 5, PassTime: 51 * ms}, 12},
		{"as long as they may be", RankReport{Running: 5, PassTime: 102 * ms}, 5},
		{"too long", RankReport{Running: 9, PassTime: 140 * ms}, 5.2},
		{"far too long", RankReport{Running: 5, PassTime: 400 * ms}, leastLet},
		{"nothing in time any more", RankReport{Running: 5, PassTime: 400 * ms, Slowdown: 10}, 12},
		{"a slow rank that holds nothing", RankReport{Running: 0, PassTime: 60 * ms, Slowdown: 10}, 3.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			p := New()
			tell(p, "g", tc.rank)
			limit, ok := p.Limit("g", at)
			g.Expect(ok).To(BeTrue())
			g.Expect(limit).To(BeNumerically("~", max(tc.want, leastLet), 0.2))
		})
	}
}

func TestGroupsAreJudgedApart(t *testing.T) {
	g := NewWithT(t)
	p := New()
	tell(p, "fast", RankReport{Running: 5, PassTime: 51 * ms})
	tell(p, "slow", RankReport{Running: 5, PassTime: 200 * ms})
	fast, _ := p.Limit("fast", at)
	slow, _ := p.Limit("slow", at)
	g.Expect(fast).To(BeNumerically(">", 2*slow))
	_, ok := p.Limit("unheard", at)
	g.Expect(ok).To(BeFalse())
	_, ok = p.Limit("fast", at.Add(2*rankAge))
	g.Expect(ok).To(BeFalse(), "what was told is old")
}

func TestPausesThatAreSeenGoBeforeWhatRanksTold(t *testing.T) {
	g := NewWithT(t)
	p := New()
	tell(p, "g", RankReport{Running: 5, PassTime: 51 * ms})
	for range 6 {
		p.RecordGap(id("g", 1), 102*ms, at)
	}
	limit, _ := p.Limit("g", at)
	g.Expect(limit).To(BeNumerically("~", 5, 0.2))
	tell(p, "g", RankReport{Running: 5, PassTime: 51 * ms, At: at.Add(time.Second)})
	limit, _ = p.Limit("g", at.Add(time.Second))
	g.Expect(limit).To(BeNumerically("~", 12, 0.2), "no stream is under way here")
}

func TestARankThatChangesItsGroupIsForgottenInTheOldOne(t *testing.T) {
	g := NewWithT(t)
	p := New()
	tell(p, "old", RankReport{Running: 5, PassTime: 51 * ms})
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

func TestSlowRanksAreVacatedWhereTheOthersHaveRoom(t *testing.T) {
	for _, tc := range []struct {
		name    string
		pace    float64
		running int
		want    bool
	}{
		{"a little slow", 2, 3, false},
		{"very slow", 8, 3, true},
		{"the others are full", 8, 12, false},
		{"not slow", 1, 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			p := New()
			tell(p, "g", RankReport{Running: tc.running, PassTime: 300 * ms, Slowdown: 1})
			p.Report(id("g", 2), "g", shape, RankReport{Running: tc.running, PassTime: 300 * ms, Slowdown: tc.pace, At: at})
			g.Expect(p.ShouldMoveRequests(id("g", 2), at)).To(Equal(tc.want))
			g.Expect(p.ShouldMoveRequests(id("g", 1), at)).To(BeFalse())
		})
	}
}

func TestTurnover(t *testing.T) {
	g := NewWithT(t)
	p := New()
	tell(p, "g", RankReport{Running: 5, PassTime: 50 * ms})
	_, ok := p.Turnover("g", 5, at)
	g.Expect(ok).To(BeFalse(), "no first event was seen")
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
		share  float64 // Of the last one.
		ok     bool
	}{
		{"none has room", []Option{full, full}, 0, false},
		{"one has room", []Option{full, half}, 1, true},
		{"near before far", []Option{half, near}, 2.0 / 3, true},
		{"by room", []Option{{Ranks: 4, Requests: 30, Limit: 10}, half}, 2.0 / 3, true},
		{"no groups", nil, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			drawn, last := 0, 0
			for n := range 3000 {
				i, ok := Choose(tc.offers, func(sum int) int { return n * 7919 % sum })
				g.Expect(ok).To(Equal(tc.ok))
				if !ok {
					return
				}
				drawn++
				if i == len(tc.offers)-1 {
					last++
				}
			}
			g.Expect(float64(last) / float64(drawn)).To(BeNumerically("~", tc.share, 0.02))
		})
	}
}

func TestARoundIsOverWhenAllRanksHaveTold(t *testing.T) {
	g := NewWithT(t)
	tr := New()
	g.Expect(tr.LastRound("g")).To(BeZero())
	rounds := map[time.Time]bool{}
	for n := range 10 {
		for i, id := range []string{"a", "b", "c"} {
			at := time.Unix(1000, 0).Add(time.Duration(10*n+i) * time.Millisecond)
			tr.Report(id, "g", Shape{}, RankReport{At: at})
			g.Expect(tr.LastRound("g")).To(BeTemporally("<=", at))
			if n > 0 { // All three are known.
				rounds[tr.LastRound("g")] = true
			}
		}
	}
	g.Expect(rounds).To(HaveLen(9))
}

// A group that is cut off is passed over at once, and not when the process itself is.
func TestLeaveSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) Option { return Option{Ranks: 4, Limit: 4, LastReport: now.Add(-d)} }
	for _, tc := range []struct {
		name   string
		offers []Option
		silent []bool
	}{
		{"all are heard", []Option{ago(0), ago(silentAfter)}, []bool{false, false}},
		{"one is cut off", []Option{ago(0), ago(2 * silentAfter)}, []bool{false, true}},
		{"the process is cut off", []Option{ago(2 * silentAfter), ago(3 * silentAfter)}, []bool{false, false}},
		{"one was never heard", []Option{ago(0), {Ranks: 4, Limit: 4}}, []bool{false, false}},
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
