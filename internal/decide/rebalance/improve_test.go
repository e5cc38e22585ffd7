// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// zipfTokens returns token counts that follow a power law over the experts in random order.
func zipfTokens(r *rand.Rand, experts int) []float64 {
	tokens := make([]float64, experts)
	for i, x := range r.Perm(experts) {
		tokens[x] = 1000 / math.Pow(float64(i+1), 1.1)
	}
	return tokens
}

// roundRobin returns the layer in which experts are placed round-robin over the ranks.
func roundRobin(s Shape) Layer {
	l := make(Layer, s.Experts)
	for x := range l {
		l[x] = []int{x % s.Ranks}
	}
	return l
}

func TestImproveKeepsToTheBoundPerLayer(t *testing.T) {
	for _, tc := range []struct {
		name     string
		shape    Shape
		perLayer int
		maxSkew  float64 // Skew after three improvements in a row.
	}{
		{"twelve ranks", Shape{Ranks: 12, Experts: 72, Slots: 8}, 3, 1.15},
		{"63 ranks", Shape{Ranks: 63, Experts: 252, Slots: 5}, 3, 1.65},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			r := rand.New(rand.NewPCG(1, 2))
			tokens := zipfTokens(r, tc.shape.Experts)
			layer := roundRobin(tc.shape)
			after := 0.0
			for range 3 {
				i := Improve(tc.shape, Map{layer}, [][]float64{tokens}, nil, Bounds{PerLayer: tc.perLayer})
				assertAdded(g, layer, i.Map[0], tc.shape, tc.perLayer)
				g.Expect(i.Map.Valid(tc.shape)).To(BeTrue())
				g.Expect(i.After).To(BeNumerically("<=", i.Before))
				t.Logf("skew %.3f to %.3f with %d copies", i.Before, i.After, i.Copies)
				layer, after = i.Map[0], i.After
			}
			g.Expect(after).To(BeNumerically("<", tc.maxSkew))
		})
	}
}

// assertAdded checks that no rank gains more than maxAdded experts.
func assertAdded(g *WithT, from, to Layer, s Shape, maxAdded int) {
	for r, row := range to.Rows(s.Ranks) {
		added := 0
		for _, x := range row {
			if !contains(from[x], r) {
				added++
			}
		}
		g.Expect(added).To(BeNumerically("<=", maxAdded))
	}
}

func contains(ranks []int, r int) bool {
	for _, v := range ranks {
		if v == r {
			return true
		}
	}
	return false
}

func TestImproveSharesARanksCopiesAmongLayers(t *testing.T) {
	g := NewWithT(t)
	shape := Shape{Ranks: 12, Experts: 72, Slots: 8}
	r := rand.New(rand.NewPCG(3, 4))
	var current Map
	var tokens [][]float64
	for range 4 {
		current = append(current, roundRobin(shape))
		tokens = append(tokens, zipfTokens(r, shape.Experts))
	}
	all := Improve(shape, current, tokens, nil, Bounds{PerLayer: 3})
	few := Improve(shape, current, tokens, nil, Bounds{PerLayer: 3, PerRank: 2})
	t.Logf("skew %.3f to %.3f with %d copies, %d at most a rank; at most 2 a rank: %.3f with %d", all.Before, all.After, all.Copies, all.MaxPerRank, few.After, few.Copies)
	g.Expect(few.MaxPerRank).To(BeNumerically("<=", 2))
	g.Expect(few.Copies).To(BeNumerically("<=", 24))
	g.Expect(few.After).To(BeNumerically("<", (few.Before+all.After)/2), "the copies with the highest gain come first")
}

func TestRowsAndBack(t *testing.T) {
	g := NewWithT(t)
	s := Shape{Ranks: 12, Experts: 72, Slots: 8}
	l := RoundRobin(s, 1)[0]
	back, ok := FromRows(l.Rows(s.Ranks), s.Experts)
	g.Expect(ok).To(BeTrue())
	g.Expect(back).To(Equal(l))
	_, ok = FromRows([][]int{{0}, {2}}, 3)
	g.Expect(ok).To(BeFalse(), "expert 1 has no replica")
}

func BenchmarkImprove(b *testing.B) {
	for _, tc := range []struct {
		name  string
		shape Shape
	}{
		{"12x72", Shape{Ranks: 12, Experts: 72, Slots: 8}},
		{"63x252", Shape{Ranks: 63, Experts: 252, Slots: 5}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			tokens := zipfTokens(rand.New(rand.NewPCG(1, 2)), tc.shape.Experts)
			layer := roundRobin(tc.shape)
			for b.Loop() {
				Improve(tc.shape, Map{layer}, [][]float64{tokens}, nil, Bounds{PerLayer: 3})
			}
		})
	}
}
