// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package remap

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
)

const (
	ranks   = 6
	experts = 24
	sets    = 4
)

func testGroup() Group {
	return Group{Shape: rebalance.Shape{Ranks: ranks, Experts: experts, Slots: 6}, Spare: 2, ExpertShare: 0.85}
}

// dealt deals experts out in turn.
func dealt() rebalance.Map {
	m := make(rebalance.Map, sets)
	for k := range m {
		m[k] = make(rebalance.Layer, experts)
		for x := range m[k] {
			m[k][x] = []int{x % ranks}
		}
	}
	return m
}

// steep is a demand in which a few experts of each set get most, at different
// ranks in different sets.
func steep() [][]float64 {
	d := make([][]float64, sets)
	for k := range d {
		d[k] = make([]float64, experts)
		for x := range d[k] {
			d[k][x] = 1000 / float64(1+(x+k*5)%experts)
		}
	}
	return d
}

func plan(e Effort) Plan { return Make(testGroup(), dealt(), steep(), e, 0, func() {}) }

func TestSlowCopiesMakeSmallChanges(t *testing.T) {
	g := NewWithT(t)
	slow := plan(Effort{Copy: 400 * time.Millisecond, Rest: 150 * time.Millisecond})
	quick := plan(Effort{Copy: 20 * time.Millisecond, Rest: 150 * time.Millisecond})
	g.Expect(slow.Most).To(Equal(1))
	g.Expect(quick.Most).To(BeNumerically(">", 1))
	g.Expect(quick.After).To(BeNumerically("<", slow.After))
	for _, p := range []Plan{slow, quick} {
		g.Expect(p.Map.Valid(testGroup().Shape)).To(BeTrue())
		g.Expect(p.After).To(BeNumerically("<", p.Before))
		g.Expect(p.Copies).To(Equal(rebalance.Transfers(dealt(), p.Map)))
		g.Expect(testGroup().PassTime(p.Map, steep())).To(BeNumerically("~", 0.15+0.85*skewOf(p.Map), 1e-9))
	}
}

// skewOf is the slowest rank's load to the mean, over all sets.
func skewOf(m rebalance.Map) float64 {
	slowest, mean := m.StepTime(steep(), ranks, nil)
	return slowest / mean
}

func TestAPlanSavesNothingThatIsOutOfDateBeforeItIsInForce(t *testing.T) {
	e := Effort{Copy: 400 * time.Millisecond, Rest: 100 * time.Millisecond}
	p := Plan{Before: 1.5, After: 1.2, Most: 1} // Saves a fifth.
	for _, tc := range []struct {
		name  string
		still time.Duration
		left  time.Duration
		pays  bool
	}{
		{"demand stays for seconds", 0, 3 * time.Second, true},
		{"it will have shifted", 0, 400 * time.Millisecond, false},
		{"the copying costs more than is saved afterwards", 0, 700 * time.Millisecond, false},
		{"the group would stand still for it", 600 * time.Millisecond, 3 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e.Still = tc.still
			NewWithT(t).Expect(p.Pays(e, tc.left)).To(Equal(tc.pays))
		})
	}
}

func TestASmallGainIsNotWorthTheLongerPassesWhileCopying(t *testing.T) {
	g := NewWithT(t)
	e := Effort{Copy: 400 * time.Millisecond}
	p := Plan{Before: 1.2, After: 1.08, Most: 1}
	g.Expect(p.Saves(e, time.Minute)).To(BeNumerically(">", 0))
	g.Expect(p.Pays(e, time.Minute)).To(BeFalse())
}

func TestAChangeUnderWayIsDroppedOnlyForWhatIsInForceSoonerOrGainsMore(t *testing.T) {
	e := Effort{Copy: 400 * time.Millisecond, Rest: 100 * time.Millisecond}
	p := Plan{Before: 2.5, After: 1.3, Most: 1}
	for _, tc := range []struct {
		name      string
		remaining time.Duration
		soon      float64 // Pass under the map under way.
		replaces  bool
	}{
		{"what is under way does not help any more", 300 * time.Millisecond, 2.5, true},
		{"it helps nearly as much", 300 * time.Millisecond, 1.4, false},
		{"it is nearly there and helps a little", 20 * time.Millisecond, 2.2, false},
		{"it is nearly there but makes things worse", 20 * time.Millisecond, 2.7, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(p.Replaces(e, tc.remaining, p.Before, tc.soon)).To(Equal(tc.replaces))
		})
	}
}

func TestAnEvenLoadNeedsNoChange(t *testing.T) {
	g := NewWithT(t)
	even := make([][]float64, sets)
	for k := range even {
		even[k] = make([]float64, experts)
		for x := range even[k] {
			even[k][x] = 1
		}
	}
	p := Make(testGroup(), dealt(), even, Effort{Copy: time.Second}, 0, func() {})
	g.Expect(p.Copies).To(BeZero())
	g.Expect(p.Gain()).To(BeNumerically("~", 0, 1e-9))
}
