// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
	"github.com/canvaspulley/canvaspulley/internal/trace"
)

// RebalanceConfig configures the rebalancing experiment.
type RebalanceConfig struct {
	Trace          trace.Trace
	Ranks          int
	Slots          int
	Prices         rebalance.Prices
	ReportLag      int     // Samples until a report arrives.
	ReportLoss     float64 // Share of reports that are lost.
	ExpertBytes    float64 // Size of one expert of one layer.
	StoreRate      float64 // Bytes per second.
	SampleMS       float64 // Duration of a sample.
	RepackInterval int     // Samples between two full repacks of the naive method.
	Seed           uint64
}

// Run holds the figures of one method over a trace.
type Run struct {
	Name           string  `json:"name"`
	SkewMean       float64 `json:"skew_mean"`
	SkewP99        float64 `json:"skew_p99"`
	BytesMoved     float64 `json:"bytes_moved"`
	Switches       int     `json:"switches"`
	StepsLost      float64 `json:"steps_lost"` // Time that the group stalled for transfers, in samples.
	TwoMapsSeconds float64 `json:"two_maps_s"` // Time with two map versions in memory.
	PlanMS         float64 `json:"plan_ms_p99"`

	Skews           []float64 `json:"-"` // Skew of each sample.
	CumulativeBytes []float64 `json:"-"` // Bytes moved up to each sample.
}

// method is one method of rebalancing. decide returns the next map at a sample; ok
// is false to keep the current one.
type method struct {
	name    string
	stalls  bool // The group stalls during the transfer.
	observe func(sample int, tokens [][]float64)
	decide  func(sample int, current rebalance.Map) (next rebalance.Map, ok bool)
	done    func()
}

// Rebalance simulates a static map, full repacks and the planner of canvaspulley over
// a trace, and adds the lower bound.
func Rebalance(cfg RebalanceConfig) []Run {
	shape := rebalance.Shape{Ranks: cfg.Ranks, Experts: cfg.Trace.Experts(), Slots: cfg.Slots}
	planner := rebalance.New(rebalance.Config{
		Shape: shape, Layers: cfg.Trace.Layers(), Prices: cfg.Prices, ExpertBytes: cfg.ExpertBytes,
		StoreRate: cfg.StoreRate, SampleTime: cfg.SampleMS / 1000, MaxAge: cfg.ReportLag + 5,
	})
	never := func(int, rebalance.Map) (rebalance.Map, bool) { return nil, false }
	return []Run{
		cfg.simulate(shape, method{name: "static", observe: func(int, [][]float64) {}, decide: never, done: func() {}}),
		cfg.simulate(shape, cfg.repack(shape)),
		cfg.simulate(shape, method{
			name:    "canvaspulley",
			observe: planner.Observe,
			decide: func(sample int, current rebalance.Map) (rebalance.Map, bool) {
				p, ok := planner.Decide(sample, current)
				return p.Map, ok
			},
			done: planner.MapSwitched,
		}),
		cfg.lowerBound(),
	}
}

// repack returns the naive method: every RepackInterval it packs a new map for the
// mean load of the reports since the last one.
func (cfg RebalanceConfig) repack(s rebalance.Shape) method {
	var reports [][][]float64
	return method{
		name: "repack", stalls: true, done: func() {},
		observe: func(_ int, tokens [][]float64) { reports = append(reports, tokens) },
		decide: func(sample int, _ rebalance.Map) (rebalance.Map, bool) {
			if sample == 0 || sample%cfg.RepackInterval != 0 || len(reports) == 0 {
				return nil, false
			}
			next := make(rebalance.Map, cfg.Trace.Layers())
			for l := range next {
				sum := make([]float64, s.Experts)
				for _, h := range reports {
					for e, n := range h[l] {
						sum[e] += n
					}
				}
				next[l] = repackLayer(s, sum)
			}
			reports = nil
			return next, true
		},
	}
}

// simulate drives one method over the trace. Reports arrive late or are lost, and a
// new map takes effect when its weights have arrived from the store.
func (cfg RebalanceConfig) simulate(s rebalance.Shape, m method) (r Run) {
	r.Name = m.name
	rnd := rand.New(rand.NewPCG(cfg.Seed, 5))
	current := rebalance.RoundRobin(s, cfg.Trace.Layers())
	var pending rebalance.Map
	switchSample := 0
	var plans []float64
	moved := 0.0
	for sample, tokens := range cfg.Trace {
		if pending != nil && sample >= switchSample {
			current, pending = pending, nil
			m.done()
		}
		slowest, mean := current.StepTime(tokens, s.Ranks, nil)
		r.Skews = append(r.Skews, slowest/mean)
		if reported := sample - cfg.ReportLag; reported >= 0 && rnd.Float64() >= cfg.ReportLoss {
			m.observe(reported, cfg.Trace[reported])
		}
		if pending == nil {
			start := time.Now()
			next, ok := m.decide(sample, current)
			plans = append(plans, float64(time.Since(start))/float64(time.Millisecond))
			if ok {
				bytes := float64(rebalance.Transfers(current, next)) * cfg.ExpertBytes
				seconds := bytes / cfg.StoreRate
				moved += bytes
				r.Switches++
				r.TwoMapsSeconds += seconds
				if m.stalls {
					r.StepsLost += seconds * 1000 / cfg.SampleMS
				}
				pending, switchSample = next, sample+1+int(math.Ceil(seconds*1000/cfg.SampleMS))
			}
		}
		r.CumulativeBytes = append(r.CumulativeBytes, moved)
	}
	r.BytesMoved, r.PlanMS = moved, quantile(plans, 0.99)
	return r.summarize()
}

func (r Run) summarize() Run {
	r.SkewMean = mean(r.Skews)
	r.SkewP99 = quantile(append([]float64(nil), r.Skews...), 0.99)
	return r
}

// lowerBound returns the skew that no map can beat: of each layer, the mean load of
// the ranks, or the load of the hottest expert spread over all ranks if that is more.
func (cfg RebalanceConfig) lowerBound() (r Run) {
	r.Name = "lower bound"
	for _, layers := range cfg.Trace {
		slowest, total := 0.0, 0.0
		for _, experts := range layers {
			sum, hottest := 0.0, 0.0
			for _, n := range experts {
				sum += n
				hottest = math.Max(hottest, n)
			}
			mean := sum / float64(cfg.Ranks)
			slowest += math.Max(mean, hottest/float64(cfg.Ranks))
			total += mean
		}
		r.Skews = append(r.Skews, slowest/total)
		r.CumulativeBytes = append(r.CumulativeBytes, 0)
	}
	return r.summarize()
}

// RebalanceTable returns the runs as a table like those of the other experiments.
func RebalanceTable(title string, runs []Run) Table {
	t := Table{Title: title}
	for _, r := range runs {
		t.Rows = append(t.Rows, Row{r.Name, []Cell{
			{"skew mean", "", r.SkewMean},
			{"skew p99", "", r.SkewP99},
			{"moved", "GB", r.BytesMoved / 1e9},
			{"switches", "", float64(r.Switches)},
			{"steps lost", "samples", r.StepsLost},
			{"two maps in memory", "s", r.TwoMapsSeconds},
			{"planning p99", "ms", r.PlanMS},
		}})
	}
	return t
}
