// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
	"github.com/canvaspulley/canvaspulley/internal/trace"
)

// below asserts that the first figure is below factor times the second.
func below(t *testing.T, tab Table, figure, method, naive string, factor float64) {
	t.Helper()
	g := gomega.NewWithT(t)
	g.Expect(tab.Row(method).Value(figure)).To(gomega.BeNumerically("<=", factor*tab.Row(naive).Value(figure)),
		"%s: %s against %s", figure, method, naive)
}

func TestOwnershipMovesFewKeys(t *testing.T) {
	tab := Ownership(15, 20000)
	below(t, tab, "share moved", "rendezvous", "modulo", 0.1)
	below(t, tab, "fullest owner to mean", "rendezvous", "modulo", 1.1)
}

func TestAdmissionAgainstFirstComeFirstServed(t *testing.T) {
	tab := Admission(20, 7)
	const naive = "first come, first served"
	below(t, tab, "small customer's wait p99", "canvaspulley", naive, 0.2)
	below(t, tab, "served after the deadline", "canvaspulley", naive, 0)
	g := gomega.NewWithT(t)
	g.Expect(tab.Row("canvaspulley").Value("kiosks served in time")).To(gomega.BeNumerically(">", 0.99))
	g.Expect(tab.Row("canvaspulley").Value("served")).To(gomega.BeNumerically(">=", tab.Row(naive).Value("served")), "no work is lost")
}

func TestRetriesMakeNoStorm(t *testing.T) {
	tab := Retries(60000, 7)
	below(t, tab, "sent to the failing group", "canvaspulley", "three retries", 0.4)
	g := gomega.NewWithT(t)
	g.Expect(tab.Row("canvaspulley").Value("answered otherwise")).To(gomega.BeNumerically(">", 0.999))
}

func TestLimitsAddUp(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		tab := Limits(6, 60, 600, seed)
		g := gomega.NewWithT(t)
		const burst = 0.1 // What may come at once on top.
		g.Expect(tab.Row("canvaspulley").Value("worst second to the limit")).To(gomega.BeNumerically("<=", 1+burst))
		g.Expect(tab.Row("canvaspulley").Value("let in of what was allowed")).To(
			gomega.BeNumerically(">", 1.5*tab.Row("even split").Value("let in of what was allowed")))
	}
}

func TestRoutingAgainstNaive(t *testing.T) {
	cfg := DefaultRouting
	cfg.Steps = 6000
	tab := Routing(cfg)
	for _, naive := range []string{"random", "round robin"} {
		below(t, tab, "first token p95", "canvaspulley", naive, 1)
		below(t, tab, "fullest rank mean", "canvaspulley", naive, 0.95)
		below(t, tab, "step skew mean", "canvaspulley", naive, 1)
	}
	g := gomega.NewWithT(t)
	g.Expect(tab.Row("canvaspulley").Value("prefix hits")).To(gomega.BeNumerically(">", 0.8))
}

// day runs a made trace under a user's prices.
func day(t *testing.T, kind trace.Kind, prices rebalance.Prices) map[string]Run {
	t.Helper()
	tr, err := trace.Generate(trace.Config{Kind: kind, Layers: 2, Experts: 64, Steps: 1440, Seed: 1})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	runs := map[string]Run{}
	for _, r := range Rebalance(RebalanceConfig{Trace: tr, Ranks: 4, Slots: 20, Prices: prices, ReportLag: 1,
		ExpertBytes: 50e6, StoreRate: 1e9, SampleMS: 60000, RepackInterval: 30, Seed: 1}) {
		runs[r.Name] = r
	}
	return runs
}

// The users' prices, as in their published policies.
var (
	archive = rebalance.Prices{Skew: 10, Move: 1}
	refunds = rebalance.Prices{Skew: 1, Move: 10}
)

func TestRebalanceOnTheUsersDay(t *testing.T) {
	g := gomega.NewWithT(t)
	a := day(t, trace.Daily, archive)
	g.Expect(a["canvaspulley"].SkewMean).To(gomega.BeNumerically("<=", 1.05*a["lower bound"].SkewMean))
	g.Expect(a["canvaspulley"].BytesMoved).To(gomega.BeNumerically("<=", a["repack"].BytesMoved/4))
	g.Expect(a["canvaspulley"].StepsLost).To(gomega.BeZero())
	r := day(t, trace.Daily, refunds)
	g.Expect(r["canvaspulley"].BytesMoved).To(gomega.BeNumerically("<=", r["repack"].BytesMoved/10))
	gain := func(name string) float64 { return r["static"].SkewMean - r[name].SkewMean }
	g.Expect(gain("canvaspulley")).To(gomega.BeNumerically(">=", gain("repack")/2))
}

func TestRebalanceIsNotChased(t *testing.T) {
	for _, prices := range []rebalance.Prices{archive, refunds} {
		runs := day(t, trace.Adversarial, prices)
		gomega.NewWithT(t).Expect(runs["canvaspulley"].SkewMean).To(gomega.BeNumerically("<=", 1.02*runs["static"].SkewMean))
	}
}

func TestLivingProcessesAreNotGivenUp(t *testing.T) {
	for _, one := range []struct {
		loss  float64
		nodes int
	}{{0, 22}, {0.1, 22}, {0.1, 100}} {
		row := Members(GossipConfig{Nodes: one.nodes, Domains: 3, Loss: one.loss, Seconds: 30, Seed: 2}).Rows[0]
		g := gomega.NewWithT(t)
		g.Expect(row.Value("gave it up")).To(gomega.Equal(1.0), "the dead one is given up by all")
		g.Expect(row.Value("false deaths")).To(gomega.BeZero(), "%d nodes, loss %g", one.nodes, one.loss)
	}
}

func TestGenerationIsInForceEverywhereAlsoAfterACut(t *testing.T) {
	for _, cfg := range []GossipConfig{
		{Nodes: 60, Domains: 3, Seconds: 20, Seed: 1},
		{Nodes: 60, Domains: 3, Seconds: 30, Seed: 1, Loss: 0.2},
		{Nodes: 60, Domains: 3, Seconds: 40, Seed: 1, PartitionTime: 8 * time.Second},
	} {
		row := Spread(cfg).Rows[0]
		g := gomega.NewWithT(t)
		g.Expect(row.Value("without it")).To(gomega.BeZero())
		g.Expect(row.Value("in force p99")).To(gomega.BeNumerically("<", 3), "scripted seconds")
	}
}

// TestEditsAgainstRepackOnRandomLayers lets the planner, at the archive's
// prices, and the full re-pack answer the same drifts of load: the planner
// comes close to its balance and moves less.
func TestEditsAgainstRepackOnRandomLayers(t *testing.T) {
	g := gomega.NewWithT(t)
	rnd := rand.New(rand.NewPCG(7, 7))
	shape := rebalance.Shape{Ranks: 4, Experts: 32, Slots: 10}
	var edits, packs, movedByEdits, movedByPacks float64
	draw := func() [][]float64 {
		tokens := make([]float64, shape.Experts)
		for i := range tokens {
			tokens[i] = 1000 / math.Pow(1+rnd.Float64()*float64(shape.Experts), 0.8)
		}
		return [][]float64{tokens}
	}
	const layers = 60
	for range layers {
		tokens := draw()
		current := rebalance.Map{repackLayer(shape, tokens[0])} // Fits an earlier load.
		for e := range tokens[0] {
			tokens[0][e] *= math.Exp(0.3 * rnd.NormFloat64())
		}
		p := rebalance.New(rebalance.Config{Shape: shape, Layers: 1, Prices: archive,
			ExpertBytes: 50e6, SampleTime: 60, MaxAge: 5})
		for sample := range 20 {
			p.Observe(sample, tokens)
		}
		next := current
		if plan, ok := p.Decide(20, current); ok {
			next = plan.Map
		}
		packed := rebalance.Map{repackLayer(shape, tokens[0])}
		mine, mean := next.StepTime(tokens, shape.Ranks, nil)
		theirs, _ := packed.StepTime(tokens, shape.Ranks, nil)
		edits, packs = edits+mine/mean, packs+theirs/mean
		movedByEdits += float64(rebalance.Transfers(current, next))
		movedByPacks += float64(rebalance.Transfers(current, packed))
	}
	t.Logf("skew %.4f by edits, %.4f by re-packing; copies moved %.1f and %.1f a layer",
		edits/layers, packs/layers, movedByEdits/layers, movedByPacks/layers)
	g.Expect(edits).To(gomega.BeNumerically("<=", 1.03*packs))
	g.Expect(movedByEdits).To(gomega.BeNumerically("<=", 0.6*movedByPacks))
}
