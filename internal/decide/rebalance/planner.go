// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

import "math"

// Prices weigh saved step time against bytes transferred. Both are in the same
// arbitrary unit.
type Prices struct {
	Skew float64 // Value of saving one percent of step time for an hour.
	Move float64 // Cost of moving a gigabyte of experts.
}

// Config configures a Planner.
type Config struct {
	Shape       Shape
	Layers      int
	Prices      Prices
	ExpertBytes float64
	StoreRate   float64   // Bytes per second that the group can read from the weight store; 0 for no bound.
	HourlyBytes float64   // Bytes that may be moved per hour; 0 for no bound.
	SampleTime  float64   // Seconds from one report to the next.
	Speed       []float64 // By rank; nil when all ranks have the same speed.
	MaxAge      int       // Age in samples above which the newest report is too old to plan from.
}

// Smoothing of reports, in samples, and limits of planning.
const (
	fastSamples   = 12  // Time constant of the demand that is planned for.
	slowSamples   = 60  // Time constant of the demand against which drift is measured.
	warmupReports = 12  // Reports needed before the first decision, and again after each switch.
	maxHorizon    = 4.0 // Longest time, in hours, for which a gain is counted.
	gigabyte      = 1e9
)

// Planner plans map switches for one group. It is a pure state machine.
type Planner struct {
	cfg          Config
	fast         [][]float64 // Tokens by layer and expert, smoothed over fastSamples.
	slow         [][]float64 // The same, smoothed over slowSamples.
	reports      int         // Number of reports since the start or the last switch.
	newest       int         // Sample number of the newest report; -1 before the first.
	drift        float64     // Fraction of the tokens that change experts per sample.
	budget       float64     // Bytes that may be moved now.
	budgetSample int         // Sample up to which budget has been refilled.
	horizonHours float64     // Hours for which the gain of the current decision is counted.
}

// New returns a planner without reports.
func New(cfg Config) *Planner {
	p := &Planner{cfg: cfg, budget: cfg.HourlyBytes, newest: -1}
	for range cfg.Layers {
		p.fast = append(p.fast, make([]float64, cfg.Shape.Experts))
		p.slow = append(p.slow, make([]float64, cfg.Shape.Experts))
	}
	return p
}

// Observe processes the report of a sample: tokens by layer and expert. Reports
// that are not newer than the newest one are ignored.
func (p *Planner) Observe(sample int, tokens [][]float64) {
	if sample <= p.newest {
		return
	}
	first := p.newest < 0
	gap := float64(sample - p.newest)
	p.newest = sample
	p.reports++
	fastWeight, slowWeight := 1-math.Exp(-gap/fastSamples), 1-math.Exp(-gap/slowSamples)
	if first {
		fastWeight, slowWeight = 1, 1
	}
	moved, total := 0.0, 0.0
	for l := range tokens {
		for x, n := range tokens[l] {
			p.fast[l][x] += fastWeight * (n - p.fast[l][x])
			p.slow[l][x] += slowWeight * (n - p.slow[l][x])
			moved += math.Abs(p.fast[l][x] - p.slow[l][x])
			total += p.slow[l][x]
		}
	}
	if total > 0 {
		// The two means lag behind demand by their time constants, so the distance
		// between them is the drift during the difference of these constants. A token
		// that changes experts counts twice in moved, hence the 2.
		p.drift += slowWeight * (moved/(2*total)/(slowSamples-fastSamples) - p.drift)
	}
}

// MapSwitched records that a new map is active: the planner makes no further
// decision until warmupReports new reports have come.
func (p *Planner) MapSwitched() { p.reports = 0 }

// horizon returns how long, in hours, a gain reached now is expected to last: until
// drift has moved half as large a fraction of the tokens as the skew that the switch
// is to correct. It is at most maxHorizon.
func (p *Planner) horizon(skew float64) float64 {
	if p.drift <= 0 {
		return maxHorizon
	}
	samples := skew / (2 * p.drift)
	return min(maxHorizon, samples*p.cfg.SampleTime/3600)
}

// Plan is a map that is worth switching to.
type Plan struct {
	Map       Map
	Transfers int     // Expert copies to be loaded.
	Bytes     float64 // Size of these copies.
	Gain      float64 // Expected fraction of the step time saved.
}

// Decide returns a plan that replaces the active map, and takes its bytes from the
// budget. The result ok is false when no switch is worth its cost or within the
// budget, or when there are too few or too old reports.
func (p *Planner) Decide(sample int, current Map) (plan Plan, ok bool) {
	p.refillBudget(sample)
	if p.reports < warmupReports || sample-p.newest > p.cfg.MaxAge {
		return plan, false
	}
	slowest, mean := current.StepTime(p.fast, p.cfg.Shape.Ranks, p.cfg.Speed)
	if mean <= 0 || slowest <= mean {
		return plan, false
	}
	p.horizonHours = p.horizon(slowest/mean - 1)
	value := p.cfg.Prices.Skew * p.horizonHours // Value of saving one percent of step time over the horizon.
	next, copies := p.improve(current, slowest, value)
	if copies < 0 {
		return plan, false
	}
	after, _ := next.StepTime(p.fast, p.cfg.Shape.Ranks, p.cfg.Speed)
	plan = Plan{Map: next, Transfers: Transfers(current, next), Gain: (slowest - after) / slowest}
	plan.Bytes = float64(plan.Transfers) * p.cfg.ExpertBytes
	if plan.Gain < minGain || !p.pays(plan, value) {
		return plan, false
	}
	p.budget -= plan.Bytes
	return plan, true
}

// minGain is the minimum fraction of step time saved for which a switch is made.
const minGain = 0.005

// pays reports whether a plan is within the byte budget and worth its cost. Only the
// part of the horizon after the weights have been loaded counts.
func (p *Planner) pays(plan Plan, value float64) bool {
	if p.cfg.HourlyBytes > 0 && plan.Bytes > p.budget {
		return false
	}
	return value*100*plan.Gain*p.remainingHorizon(plan) > p.cfg.Prices.Move*plan.Bytes/gigabyte
}

// remainingHorizon returns the fraction of the horizon that remains once the weights
// have been read from the store.
func (p *Planner) remainingHorizon(plan Plan) float64 {
	if p.cfg.StoreRate <= 0 {
		return 1
	}
	return max(0, 1-plan.Bytes/p.cfg.StoreRate/3600/p.horizonHours)
}

// refillBudget adds the bytes allowed for the time since the last refill to the budget,
// which holds at most those of one hour.
func (p *Planner) refillBudget(sample int) {
	hours := float64(sample-p.budgetSample) * p.cfg.SampleTime / 3600
	p.budgetSample = sample
	p.budget = min(p.cfg.HourlyBytes, p.budget+hours*p.cfg.HourlyBytes)
}

// improve edits every layer until the next change is not worth its transfer or exceeds
// the budget. The argument slowest is the step time under the current map, and value
// that of saving one percent of it. It returns the number of copies to be loaded, or
// -1 when nothing was changed.
func (p *Planner) improve(current Map, slowest, value float64) (next Map, copies int) {
	next = current.Clone()
	copies = -1
	price := p.cfg.Prices.Move * p.cfg.ExpertBytes / gigabyte
	available := math.Inf(1)
	if p.cfg.HourlyBytes > 0 {
		available = p.budget
	}
	for l := range next {
		e := newEditor(p.cfg.Shape, next[l], p.fast[l], p.cfg.Speed)
		for range p.cfg.Shape.Experts * p.cfg.Shape.Slots {
			c, ok := e.bestChange()
			if !ok || value*100*c.gain/slowest <= price*float64(c.cost) {
				break
			}
			if float64(max(copies, 0)+c.cost)*p.cfg.ExpertBytes > available {
				break
			}
			e.apply(c)
			copies = max(copies, 0) + c.cost
		}
	}
	return next, copies
}
