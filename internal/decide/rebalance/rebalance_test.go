// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"
)

// skewedTokens draws token counts of which a few are much larger than the others.
func skewedTokens(rnd *rand.Rand, n int) []float64 {
	tokens := make([]float64, n)
	for i := range tokens {
		tokens[i] = math.Ceil(1000 / math.Pow(1+rnd.Float64()*float64(n), 0.8))
	}
	return tokens
}

// converged runs the editor on a layer until no change gains any more, as if moves
// were free.
func converged(s Shape, l Layer, tokens []float64) Layer {
	e := newEditor(s, slices.Clone(l), tokens, nil)
	for {
		c, ok := e.best()
		if !ok {
			return e.layer
		}
		e.apply(c)
	}
}

// optimum returns the lowest load of the slowest rank, by a search of all maps of
// one layer.
func optimum(s Shape, tokens []float64) float64 {
	best := math.Inf(1)
	layer := make(Layer, s.Experts)
	held := make([]int, s.Ranks)
	var place func(x int)
	place = func(x int) {
		if x == s.Experts {
			best = min(best, slices.Max(layer.Loads(tokens, s.Ranks, nil)))
			return
		}
		for set := 1; set < 1<<s.Ranks; set++ {
			layer[x] = nil
			fits := true
			for r := range s.Ranks {
				if set&(1<<r) != 0 {
					layer[x] = append(layer[x], r)
					held[r]++
					fits = fits && held[r] <= s.Slots
				}
			}
			if fits {
				place(x + 1)
			}
			for _, r := range layer[x] {
				held[r]--
			}
		}
	}
	place(0)
	return best
}

func TestAgainstTheOptimumOfTinyLayers(t *testing.T) {
	g := gomega.NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	worst, sum, n := 1.0, 0.0, 0
	for _, s := range []Shape{{2, 4, 3}, {3, 4, 2}, {3, 5, 2}, {3, 5, 3}} {
		for range 25 {
			tokens := skewedTokens(rnd, s.Experts)
			l := converged(s, RoundRobin(s, 1)[0], tokens)
			g.Expect(Map{l}.Valid(s)).To(gomega.BeTrue())
			ratio := slices.Max(l.Loads(tokens, s.Ranks, nil)) / optimum(s, tokens)
			worst, sum, n = max(worst, ratio), sum+ratio, n+1
		}
	}
	t.Logf("slowest rank to the optimum: mean %.3f, worst %.3f over %d layers", sum/float64(n), worst, n)
	g.Expect(sum / float64(n)).To(gomega.BeNumerically("<", 1.08))
	g.Expect(worst).To(gomega.BeNumerically("<", 1.6))
}

func TestEditsReachThePredictedLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	rnd := rand.New(rand.NewPCG(2, 2))
	for _, s := range []Shape{{4, 16, 5}, {8, 8, 2}, {3, 9, 4}} {
		for range 30 {
			tokens := skewedTokens(rnd, s.Experts)
			e := newEditor(s, RoundRobin(s, 1)[0].clone(), tokens, nil)
			for {
				c, ok := e.best()
				if !ok {
					break
				}
				want := e.slowest() - c.gain
				e.apply(c)
				g.Expect(e.slowest()).To(gomega.BeNumerically("~", want, 1e-6*want))
				g.Expect(Map{e.layer}.Valid(s)).To(gomega.BeTrue())
			}
		}
	}
}

func (l Layer) clone() Layer { return Map{l}.Clone()[0] }

func TestEvenMapIsValid(t *testing.T) {
	for _, s := range []Shape{{4, 64, 20}, {4, 64, 16}, {256, 64, 1}, {256, 64, 2}, {32, 64, 3}, {3, 5, 2}} {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			gomega.NewWithT(t).Expect(RoundRobin(s, 2).Valid(s)).To(gomega.BeTrue())
		})
	}
}

var small = Shape{Ranks: 4, Experts: 16, Slots: 5}

// planner returns a planner that has observed a steady, skewed load.
func planner(prices Prices, samples int) (*Planner, [][]float64) {
	p := New(Config{Shape: small, Layers: 1, Prices: prices, ExpertBytes: 50e6, SampleTime: 60, MaxAge: 5})
	tokens := [][]float64{skewedTokens(rand.New(rand.NewPCG(3, 3)), small.Experts)}
	for i := range samples {
		p.Observe(i, tokens)
	}
	return p, tokens
}

func TestDecide(t *testing.T) {
	m := RoundRobin(small, 1)
	check := func(name string, prices Prices, samples, now int, want bool) {
		t.Run(name, func(t *testing.T) {
			p, _ := planner(prices, samples)
			_, ok := p.Decide(now, m)
			gomega.NewWithT(t).Expect(ok).To(gomega.Equal(want))
		})
	}
	check("pays", Prices{Skew: 10, Move: 1}, 30, 30, true)
	check("too expensive", Prices{Skew: 0.0001, Move: 1000}, 30, 30, false)
	check("too few reports", Prices{Skew: 10, Move: 1}, 5, 5, false)
	check("reports too old", Prices{Skew: 10, Move: 1}, 30, 60, false)
}

func TestHigherMovePricesMoveLess(t *testing.T) {
	g := gomega.NewWithT(t)
	last := math.MaxInt
	for _, price := range []float64{0.1, 10, 100, 1000} {
		p, _ := planner(Prices{Skew: 1, Move: price}, 30)
		plan, _ := p.Decide(30, RoundRobin(small, 1))
		g.Expect(plan.Transfers).To(gomega.BeNumerically("<=", last))
		last = plan.Transfers
	}
	g.Expect(last).To(gomega.BeNumerically("<", 3))
}

func TestNothingIsPlannedFromReportsBeforeASwitch(t *testing.T) {
	g := gomega.NewWithT(t)
	p, _ := planner(Prices{Skew: 10, Move: 1}, 30)
	_, ok := p.Decide(30, RoundRobin(small, 1))
	g.Expect(ok).To(gomega.BeTrue())
	p.MapSwitched()
	_, ok = p.Decide(31, RoundRobin(small, 1))
	g.Expect(ok).To(gomega.BeFalse())
}

func TestNoPlanWhenTheWeightStoreIsTooSlow(t *testing.T) {
	decide := func(rate float64) bool {
		p := New(Config{Shape: small, Layers: 1, Prices: Prices{Skew: 10, Move: 1}, ExpertBytes: 50e6,
			StoreRate: rate, SampleTime: 60, MaxAge: 5})
		tokens := [][]float64{skewedTokens(rand.New(rand.NewPCG(3, 3)), small.Experts)}
		for i := range 30 {
			p.Observe(i, tokens)
		}
		_, ok := p.Decide(30, RoundRobin(small, 1))
		return ok
	}
	g := gomega.NewWithT(t)
	g.Expect(decide(1e9)).To(gomega.BeTrue())
	g.Expect(decide(1e3)).To(gomega.BeFalse(), "the gain has ended before the weights are loaded")
}

func TestSlowRankGetsLessWork(t *testing.T) {
	g := gomega.NewWithT(t)
	tokens := skewedTokens(rand.New(rand.NewPCG(4, 4)), small.Experts)
	speed := []float64{1, 1, 1, 0.5}
	e := newEditor(small, RoundRobin(small, 1)[0], tokens, speed)
	before := e.slowest()
	for {
		c, ok := e.best()
		if !ok {
			break
		}
		e.apply(c)
	}
	g.Expect(e.slowest()).To(gomega.BeNumerically("<", 0.8*before))
	work := e.layer.Loads(tokens, small.Ranks, nil)
	g.Expect(work[3]).To(gomega.BeNumerically("<", 0.7*work[0]))
}

func TestBudgetBoundsWhatIsMoved(t *testing.T) {
	g := gomega.NewWithT(t)
	p := New(Config{Shape: small, Layers: 1, Prices: Prices{Skew: 100, Move: 0.001}, ExpertBytes: 50e6,
		HourlyBytes: 100e6, SampleTime: 60, MaxAge: 5})
	rnd := rand.New(rand.NewPCG(5, 5))
	m, moved := RoundRobin(small, 1), 0.0
	for i := range 240 {
		p.Observe(i, [][]float64{skewedTokens(rnd, small.Experts)})
		if plan, ok := p.Decide(i, m); ok {
			m, moved = plan.Map, moved+plan.Bytes
			p.MapSwitched()
		}
	}
	g.Expect(moved).To(gomega.BeNumerically(">", 0))
	g.Expect(moved).To(gomega.BeNumerically("<=", 500e6), "four hours and the initial budget")
}

// BenchmarkPlan plans for a group of the design size after a shift of its load;
// the sub-benchmarks show how the time scales with ranks, experts, slots and layers.
func BenchmarkPlan(b *testing.B) {
	for _, one := range []struct{ ranks, experts, slots, layers int }{
		{256, 64, 1, 60}, {256, 64, 2, 60}, {128, 64, 2, 60}, {64, 64, 2, 60},
		{256, 128, 2, 60}, {256, 64, 2, 30}, {256, 64, 2, 15},
	} {
		s := Shape{one.ranks, one.experts, one.slots}
		b.Run(fmt.Sprintf("ranks=%d/experts=%d/slots=%d/layers=%d", one.ranks, one.experts, one.slots, one.layers), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(6, 6))
			m := RoundRobin(s, one.layers)
			before, now := make([][]float64, one.layers), make([][]float64, one.layers)
			for l := range before {
				before[l] = skewedTokens(rnd, one.experts)
				now[l] = slices.Clone(before[l])
				for range 4 { // A few experts swap their popularity.
					i, j := rnd.IntN(one.experts), rnd.IntN(one.experts)
					now[l][i], now[l][j] = now[l][j], now[l][i]
				}
				m[l] = converged(s, m[l], before[l])
			}
			for b.Loop() {
				p := New(Config{Shape: s, Layers: one.layers, Prices: Prices{Skew: 10, Move: 1}, ExpertBytes: 50e6, SampleTime: 60, MaxAge: 5})
				for i := range warmupReports {
					p.Observe(i, now)
				}
				if _, ok := p.Decide(warmupReports, m); !ok {
					b.Fatal("no plan")
				}
			}
		})
	}
}
