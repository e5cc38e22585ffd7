// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package demand

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	sets    = 2
	experts = 40
	ranks   = 4
	look    = 80 * time.Millisecond
)

// source makes counts of passes in scripted time.
type source struct {
	random  *rand.Rand
	popular []int // Expert by popularity.
	prompts int   // In one pass of one rank; few make counts uneven.
}

func newSource(prompts int) *source {
	s := &source{random: rand.New(rand.NewPCG(1, 2)), prompts: prompts}
	s.shift()
	return s
}

func (s *source) shift() { s.popular = s.random.Perm(experts) }

// pass returns the counts of one rank in one pass.
func (s *source) pass() []uint64 {
	flat := make([]uint64, sets*experts)
	for range s.prompts {
		topic := s.random.IntN(experts)
		for i := range flat {
			place := s.popular[i%experts]
			flat[i] += uint64(1000 / (1 + place))
			if (i+topic)%experts < 4 {
				flat[i] += 60 // What this prompt is about.
			}
		}
	}
	return flat
}

// passOf returns the sum of the counts of so many ranks in one pass.
func (s *source) passOf(n int) []uint64 {
	sum := make([]uint64, sets*experts)
	for range n {
		for i, c := range s.pass() {
			sum[i] += c
		}
	}
	return sum
}

// script feeds a follower with one pass a look and returns the time of each
// shift that it noticed, from the start.
func script(f *Tracker, s *source, looks int, shiftAt ...int) (noticed []time.Duration) {
	start := time.Unix(1000, 0)
	for n := range looks {
		for _, at := range shiftAt {
			if n == at {
				s.shift()
			}
		}
		now := start.Add(time.Duration(n) * look)
		if f.Update(s.passOf(ranks), ranks, now) {
			noticed = append(noticed, now.Sub(start))
		}
	}
	return noticed
}

func newFollower() *Tracker {
	return New(Config{Sets: sets, Experts: experts, Ranks: ranks, SmoothingTime: 450 * time.Millisecond})
}

func TestShiftsAreNoticedAndNothingElse(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prompts int
	}{{"many prompts", 6}, {"one prompt a pass and rank", 1}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFollower()
			noticed := script(f, newSource(tc.prompts), 200, 50, 90, 130)
			g.Expect(noticed).To(Equal([]time.Duration{51 * look, 91 * look, 131 * look}), "each is confirmed by the second window after it")
		})
	}
}

func TestOneOddWindowIsNoShift(t *testing.T) {
	g := NewWithT(t)
	f, s := newFollower(), newSource(4)
	g.Expect(script(f, s, 60)).To(BeEmpty())
	now := time.Unix(1000, 0).Add(60 * look)
	odd := newSource(4)
	odd.shift()
	g.Expect(f.Update(odd.passOf(ranks), ranks, now)).To(BeFalse())
	g.Expect(f.ShiftSuspected()).To(BeTrue())
	g.Expect(f.Update(s.passOf(ranks), ranks, now.Add(look))).To(BeFalse())
	g.Expect(f.ShiftSuspected()).To(BeFalse())
}

func TestLoadAfterAShiftHoldsNothingFromBefore(t *testing.T) {
	g := NewWithT(t)
	f, s := newFollower(), newSource(6)
	script(f, s, 56, 50)
	fresh := make([][]float64, sets)
	for k := range fresh {
		fresh[k] = make([]float64, experts)
	}
	for range 50 {
		for i, n := range s.pass() {
			fresh[i/experts][i%experts] += float64(n)
		}
	}
	g.Expect(distance(f.Smoothed(), fresh)).To(BeNumerically("<", 0.06))
}

func TestHowLongDemandIsExpectedToStay(t *testing.T) {
	at := time.Unix(1000, 0)
	f := newFollower()
	f.since = at
	for _, tc := range []struct {
		name   string
		spans  []time.Duration
		passed time.Duration
		want   time.Duration
	}{
		{"nothing seen yet: as long again", nil, 2 * time.Second, 2 * time.Second},
		{"what the earlier ones had left", []time.Duration{3 * time.Second, 5 * time.Second}, time.Second, 3 * time.Second},
		{"those that ended sooner do not count", []time.Duration{time.Second, 5 * time.Second}, 2 * time.Second, 3 * time.Second},
		{"longer than all before", []time.Duration{time.Second}, 4 * time.Second, 4 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f.spans = tc.spans
			NewWithT(t).Expect(f.ExpectedRemaining(at.Add(tc.passed))).To(Equal(tc.want))
		})
	}
}

func TestCountsOfAnotherShapeAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	f := newFollower()
	g.Expect(f.Update(make([]uint64, 3), ranks, time.Unix(1000, 0))).To(BeFalse())
	g.Expect(f.Smoothed()).To(BeNil())
}

func TestFewRanksDoNotTellOfAShift(t *testing.T) {
	for _, tc := range []struct {
		name  string
		heard int
		want  bool
	}{{"one of four", 1, false}, {"two of four", 2, false}, {"three of four", 3, true}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f, s := newFollower(), newSource(4)
			script(f, s, 60)
			s.shift()
			now := time.Unix(1000, 0).Add(60 * look)
			g.Expect(f.Update(s.passOf(tc.heard), tc.heard, now)).To(BeFalse(), "it may be one odd window")
			g.Expect(f.Update(s.passOf(tc.heard), tc.heard, now.Add(look))).To(Equal(tc.want))
		})
	}
}
