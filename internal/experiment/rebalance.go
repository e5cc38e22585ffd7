// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
	"github.com/canvaspulley/canvaspulley/internal/trace"
)

// RebalanceConfig is the setting of the rebalancing experiment.
type RebalanceConfig struct {
	Trace          trace.Trace
	Ranks          int
	Slots          int
	Prices         rebalance.Prices
	ReportLag      int     // Samples until a report is heard.
	ReportLoss     float64 // Share of reports that are lost.
	ExpertBytes    float64
	StoreRate      float64 // Bytes a second.
	SampleMS       float64
	RepackInterval int // Samples between two full re-packs of the naive version.
	Seed           uint64
}

// Run is one method's figures over a trace.
type Run struct {
	Name           string  `json:"name"`
	SkewMean       float64 `json:"skew_mean"`
	SkewP99        float64 `json:"skew_p99"`
	BytesMoved     float64 `json:"bytes_moved"`
	Switches       int     `json:"switches"`
	StepsLost      float64 `json:"steps_lost"` // Samples during which the group stood still.
	TwoMapsSeconds float64 `json:"two_maps_s"` // Seconds with two versions in memory.
	PlanMS         float64 `json:"plan_ms_p99"`

	Skews           []float64 `json:"-"` // By sample.
	CumulativeBytes []float64 `json:"-"` // Moved up to each sample.
}

// method decides on a map at a sample; ok is false when it stays.
type method struct {
	name    string
	stops   bool // The group stands still during the transfer.
	observe func(sample int, tokens [][]float64)
	decide  func(sample int, current rebalance.Map) (next rebalance.Map, ok bool)
	done    func()
}

// Rebalance runs a trace through static, repack, canvaspulley and the lower
// bound.
func Rebalance(cfg RebalanceConfig) []Run {
	shape := rebalance.Shape{Ranks: cfg.Ranks, Experts: cfg.Trace.Experts(), Slots: cfg.Slots}
	planner := rebalance.New(rebalance.Config{
		Shape: shape, Layers: cfg.Trace.Layers(), Prices: cfg.Prices, ExpertBytes: cfg.ExpertBytes,
		StoreRate: cfg.StoreRate, SampleTime: cfg.SampleMS / 1000, MaxAge: cfg.ReportLag + 5,
	})
	never := func(int, rebalance.Map) (rebalance.Map, bool) { return nil, false }
	return []Run{
		cfg.run(shape, method{name: "static", observe: func(int, [][]float64) {}, decide: never, done: func() {}}),
		cfg.run(shape, cfg.repack(shape)),
		cfg.run(shape, method{
			name:    "canvaspulley",
			observe: planner.Observe,
			decide: func(sample int, current rebalance.Map) (rebalance.Map, bool) {
				p, ok := planner.Decide(sample, current)
				return p.Map, ok
			},
			done: planner.MapSwitched,
		}),
		cfg.bound(),
	}
}

// repack packs anew every interval from the mean of the interval's reports.
func (cfg RebalanceConfig) repack(s rebalance.Shape) method {
	var heard [][][]float64
	return method{
		name: "repack", stops: true, done: func() {},
		observe: func(_ int, tokens [][]float64) { heard = append(heard, tokens) },
		decide: func(sample int, _ rebalance.Map) (rebalance.Map, bool) {
			if sample == 0 || sample%cfg.RepackInterval != 0 || len(heard) == 0 {
				return nil, false
			}
			next := make(rebalance.Map, cfg.Trace.Layers())
			for l := range next {
				sum := make([]float64, s.Experts)
				for _, h := range heard {
					for e, n := range h[l] {
						sum[e] += n
					}
				}
				next[l] = repackLayer(s, sum)
			}
			heard = nil
			return next, true
		},
	}
}

// run drives one method: it hears late and gappy reports, and a new map is in
// force when its weights have come from the store.
func (cfg RebalanceConfig) run(s rebalance.Shape, m method) (r Run) {
	r.Name = m.name
	rnd := rand.New(rand.NewPCG(cfg.Seed, 5))
	current := rebalance.Even(s, cfg.Trace.Layers())
	var pending rebalance.Map
	due := 0
	var plans []float64
	moved := 0.0
	for sample, tokens := range cfg.Trace {
		if pending != nil && sample >= due {
			current, pending = pending, nil
			m.done()
		}
		slowest, mean := current.StepTime(tokens, s.Ranks, nil)
		r.Skews = append(r.Skews, slowest/mean)
		if heard := sample - cfg.ReportLag; heard >= 0 && rnd.Float64() >= cfg.ReportLoss {
			m.observe(heard, cfg.Trace[heard])
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
				if m.stops {
					r.StepsLost += seconds * 1000 / cfg.SampleMS
				}
				pending, due = next, sample+1+int(math.Ceil(seconds*1000/cfg.SampleMS))
			}
		}
		r.CumulativeBytes = append(r.CumulativeBytes, moved)
	}
	r.BytesMoved, r.PlanMS = moved, quantile(plans, 0.99)
	return r.finish()
}

func (r Run) finish() Run {
	r.SkewMean = mean(r.Skews)
	r.SkewP99 = quantile(append([]float64(nil), r.Skews...), 0.99)
	return r
}

// bound is what no map can beat: the mean, or the hottest expert spread over
// all ranks.
func (cfg RebalanceConfig) bound() (r Run) {
	r.Name = "lower bound"
	for _, layers := range cfg.Trace {
		slowest, total := 0.0, 0.0
		for _, experts := range layers {
			sum, top := 0.0, 0.0
			for _, n := range experts {
				sum += n
				top = math.Max(top, n)
			}
			mean := sum / float64(cfg.Ranks)
			slowest += math.Max(mean, top/float64(cfg.Ranks))
			total += mean
		}
		r.Skews = append(r.Skews, slowest/total)
		r.CumulativeBytes = append(r.CumulativeBytes, 0)
	}
	return r.finish()
}

// RebalanceTable puts runs in the form of the other experiments.
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
