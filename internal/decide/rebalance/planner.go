// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

import "math"

// Prices weigh the two things that users measure against each other.
type Prices struct {
	Skew float64 // Value of one percent of step time, for an hour.
	Move float64 // Price of a gigabyte of moved experts.
}

// Config is the setting of a Planner.
type Config struct {
	Shape       Shape
	Layers      int
	Prices      Prices
	ExpertBytes float64
	StoreRate   float64   // Bytes a second that the weight store gives the group.
	HourlyBytes float64   // Byte budget an hour; 0 means none.
	SampleTime  float64   // Seconds from one report to the next.
	Speed       []float64 // Of the ranks; nil when all are alike.
	MaxAge      int       // Samples after which a report is too old to decide on.
}

// Smoothing of reports, in samples.
const (
	fastSamples = 12  // Of the demand that is planned for.
	slowSamples = 60  // Of the demand against which drift is seen.
	warmup      = 12  // Reports before the first decision, and after a switch.
	maxHorizon  = 4.0 // Hours; no gain is reckoned for longer.
	gigabyte    = 1e9
)

// Planner decides for one group. It is a pure state machine.
type Planner struct {
	cfg    Config
	fast   [][]float64 // Smoothed tokens by layer and expert.
	slow   [][]float64
	seen   int     // Reports since the start or the last switch.
	newest int     // Sample of the newest report.
	drift  float64 // Share of the tokens that change experts, a sample.
	budget float64 // Bytes that may be moved now.
	at     int     // Sample up to which budget is reckoned.
	span   float64 // Hours for which the gain of the present decision is reckoned.
}

// New returns a planner that has heard nothing.
func New(cfg Config) *Planner {
	p := &Planner{cfg: cfg, budget: cfg.HourlyBytes, newest: -1}
	for range cfg.Layers {
		p.fast = append(p.fast, make([]float64, cfg.Shape.Experts))
		p.slow = append(p.slow, make([]float64, cfg.Shape.Experts))
	}
	return p
}

// Observe takes in the report of a sample: tokens by layer and expert. Reports
// that are older than one already heard are left out.
func (p *Planner) Observe(sample int, tokens [][]float64) {
	if sample <= p.newest {
		return
	}
	first := p.newest < 0
	gap := float64(sample - p.newest)
	p.newest = sample
	p.seen++
	fast, slow := 1-math.Exp(-gap/fastSamples), 1-math.Exp(-gap/slowSamples)
	if first {
		fast, slow = 1, 1
	}
	moved, total := 0.0, 0.0
	for l := range tokens {
		for x, n := range tokens[l] {
			p.fast[l][x] += fast * (n - p.fast[l][x])
			p.slow[l][x] += slow * (n - p.slow[l][x])
			moved += math.Abs(p.fast[l][x] - p.slow[l][x])
			total += p.slow[l][x]
		}
	}
	if total > 0 {
		// The two means lag by their times: what lies between them drifted in
		// the difference.
		p.drift += slow * (moved/(2*total)/(slowSamples-fastSamples) - p.drift)
	}
}

// MapSwitched takes note that a new map is in force: what was heard before is not
// decided on again until enough new reports have come.
func (p *Planner) MapSwitched() { p.seen = 0 }

// horizon is how long, in hours, a gain of today is expected to last: until
// drift has moved as much of the tokens as the skew that is to be mended.
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
	Bytes     float64 // Of all of them.
	Gain      float64 // Share of the step time that is expected to be saved.
}

// Decide returns a plan for the map in force, ok false when moving does not pay
// or nothing reliable is known.
func (p *Planner) Decide(sample int, current Map) (plan Plan, ok bool) {
	p.refill(sample)
	if p.seen < warmup || sample-p.newest > p.cfg.MaxAge {
		return plan, false
	}
	slowest, mean := current.StepTime(p.fast, p.cfg.Shape.Ranks, p.cfg.Speed)
	if mean <= 0 || slowest <= mean {
		return plan, false
	}
	p.span = p.horizon(slowest/mean - 1)
	value := p.cfg.Prices.Skew * p.span // Of one percent of step time, for as long as it lasts.
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

// minGain is the least share of the step time for which a switch is made.
const minGain = 0.005

// pays weighs the whole plan. The weights must be there before the gain is
// gone.
func (p *Planner) pays(plan Plan, value float64) bool {
	if p.cfg.HourlyBytes > 0 && plan.Bytes > p.budget {
		return false
	}
	return value*100*plan.Gain*p.lasting(plan) > p.cfg.Prices.Move*plan.Bytes/gigabyte
}

// lasting is the share of the horizon that is left once the store has given
// the weights.
func (p *Planner) lasting(plan Plan) float64 {
	if p.cfg.StoreRate <= 0 {
		return 1
	}
	return max(0, 1-plan.Bytes/p.cfg.StoreRate/3600/p.span)
}

func (p *Planner) refill(sample int) {
	hours := float64(sample-p.at) * p.cfg.SampleTime / 3600
	p.at = sample
	p.budget = min(p.cfg.HourlyBytes, p.budget+hours*p.cfg.HourlyBytes)
}

// improve edits every layer until the next change does not pay for its bytes.
// It returns the copies to be loaded, or -1 when nothing was changed.
func (p *Planner) improve(current Map, slowest, value float64) (next Map, copies int) {
	next = current.Clone()
	copies = -1
	price := p.cfg.Prices.Move * p.cfg.ExpertBytes / gigabyte
	room := math.Inf(1)
	if p.cfg.HourlyBytes > 0 {
		room = p.budget
	}
	for l := range next {
		e := newEditor(p.cfg.Shape, next[l], p.fast[l], p.cfg.Speed)
		for range p.cfg.Shape.Experts * p.cfg.Shape.Slots {
			c, ok := e.best()
			if !ok || value*100*c.gain/slowest <= price*float64(c.cost) {
				break
			}
			if float64(max(copies, 0)+c.cost)*p.cfg.ExpertBytes > room {
				break
			}
			e.apply(c)
			copies = max(copies, 0) + c.cost
		}
	}
	return next, copies
}
