// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package demand

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	sets           = 2
	experts        = 40
	ranks          = 4
	updateInterval = 80 * time.Millisecond
)

// source generates the expert counts of forward passes.
type source struct {
	random  *rand.Rand
	popular []int // By expert, its place in popularity, 0 for the most popular.
	prompts int   // Per rank and pass; few make counts uneven.
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
			popularity := s.popular[i%experts]
			flat[i] += uint64(1000 / (1 + popularity))
			if (i+topic)%experts < 4 {
				flat[i] += 60 // Experts of this prompt's topic.
			}
		}
	}
	return flat
}

// passOf returns the counts of one pass, summed over n ranks.
func (s *source) passOf(n int) []uint64 {
	sum := make([]uint64, sets*experts)
	for range n {
		for i, c := range s.pass() {
			sum[i] += c
		}
	}
	return sum
}

// feed updates a tracker with the counts of one pass every updateInterval and returns when it detected
// shifts, measured from the start. Demand shifts before the updates listed in shiftAt.
func feed(f *Tracker, s *source, updates int, shiftAt ...int) (detected []time.Duration) {
	start := time.Unix(1000, 0)
	for n := range updates {
		for _, at := range shiftAt {
			if n == at {
				s.shift()
			}
		}
		now := start.Add(time.Duration(n) * updateInterval)
		if f.Update(s.passOf(ranks), ranks, now) {
			detected = append(detected, now.Sub(start))
		}
	}
	return detected
}

func newTracker() *Tracker {
	return New(Config{Sets: sets, Experts: experts, Ranks: ranks, SmoothingTime: 450 * time.Millisecond})
}

func TestShiftsAreNoticedAndNothingElse(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prompts int
	}{{"many prompts", 6}, {"one prompt a pass and rank", 1}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newTracker()
			noticed := feed(f, newSource(tc.prompts), 200, 50, 90, 130)
			g.Expect(noticed).To(Equal([]time.Duration{51 * updateInterval, 91 * updateInterval, 131 * updateInterval}), "the second window after each shift confirms it")
		})
	}
}

func TestOneOutlierIsNoShift(t *testing.T) {
	g := NewWithT(t)
	f, s := newTracker(), newSource(4)
	g.Expect(feed(f, s, 60)).To(BeEmpty())
	now := time.Unix(1000, 0).Add(60 * updateInterval)
	odd := newSource(4)
	odd.shift()
	g.Expect(f.Update(odd.passOf(ranks), ranks, now)).To(BeFalse())
	g.Expect(f.ShiftSuspected()).To(BeTrue())
	g.Expect(f.Update(s.passOf(ranks), ranks, now.Add(updateInterval))).To(BeFalse())
	g.Expect(f.ShiftSuspected()).To(BeFalse())
}

func TestCountsFromBeforeAShiftAreDropped(t *testing.T) {
	g := NewWithT(t)
	f, s := newTracker(), newSource(6)
	feed(f, s, 56, 50)
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

func TestExpectedRemaining(t *testing.T) {
	at := time.Unix(1000, 0)
	f := newTracker()
	f.stableSince = at
	for _, tc := range []struct {
		name    string
		periods []time.Duration
		elapsed time.Duration
		want    time.Duration
	}{
		{"no earlier period: as long again", nil, 2 * time.Second, 2 * time.Second},
		{"mean of what earlier periods had left", []time.Duration{3 * time.Second, 5 * time.Second}, time.Second, 3 * time.Second},
		{"shorter periods do not count", []time.Duration{time.Second, 5 * time.Second}, 2 * time.Second, 3 * time.Second},
		{"longer than all earlier periods", []time.Duration{time.Second}, 4 * time.Second, 4 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f.periods = tc.periods
			NewWithT(t).Expect(f.ExpectedRemaining(at.Add(tc.elapsed))).To(Equal(tc.want))
		})
	}
}

func TestCountsOfAnotherShapeAreIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newTracker()
	g.Expect(f.Update(make([]uint64, 3), ranks, time.Unix(1000, 0))).To(BeFalse())
	g.Expect(f.Smoothed()).To(BeNil())
}

func TestShiftNeedsCountsOfMostRanks(t *testing.T) {
	for _, tc := range []struct {
		name      string
		reporting int
		want      bool
	}{{"one of four", 1, false}, {"two of four", 2, false}, {"three of four", 3, true}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f, s := newTracker(), newSource(4)
			feed(f, s, 60)
			s.shift()
			now := time.Unix(1000, 0).Add(60 * updateInterval)
			g.Expect(f.Update(s.passOf(tc.reporting), tc.reporting, now)).To(BeFalse(), "it may be an outlier")
			g.Expect(f.Update(s.passOf(tc.reporting), tc.reporting, now.Add(updateInterval))).To(Equal(tc.want))
		})
	}
}
