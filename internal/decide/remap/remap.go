// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package remap decides whether it is worthwhile to change the expert map of a
// group of ranks, to which map, and whether a change in progress is to be
// cancelled for a better one. It is pure: observations are passed as arguments.
// Package rebalance improves a map, and package cutover activates it.
package remap

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
)

// Group describes the group of ranks for which a plan is made.
type Group struct {
	Shape          rebalance.Shape
	MaxNewPerLayer int       // New experts that a rank may load in one change, per set of layers.
	ExpertShare    float64   // Fraction of the work that is done by experts, above 0.
	Speed          []float64 // Relative speed by rank; nil if all ranks have the same speed.
}

// Effort is the time that a change takes.
type Effort struct {
	CopyTime time.Duration // Time to copy one expert; a rank copies sequentially.
	Overhead time.Duration // Time for all other work: detection, planning, orders.
	// StallTime is how long the group stalls for the switch.
	StallTime time.Duration
	// CurrentPass is the present duration of a pass; 0 if unknown.
	CurrentPass time.Duration
}

// Price weighs saved time against copies, in one arbitrary unit.
type Price struct {
	PerSecond float64       // Value of a saved second of passes.
	PerCopy   float64       // Cost of copying one expert.
	Horizon   time.Duration // Time for which demand is expected to remain unchanged.
}

// copySlowdown is the fraction by which passes take longer while experts are copied,
// according to the platform's documentation.
const copySlowdown = 0.15

// duration returns the duration of a change in which one rank copies the given number
// of experts.
func (e Effort) duration(copies int) time.Duration {
	return time.Duration(copies)*e.CopyTime + e.Overhead
}

// Plan is a map that could replace the active one. Before and After are durations of
// a pass, relative to a pass under a map that loads all ranks equally.
type Plan struct {
	Map        rebalance.Map
	Copies     int // Expert copies at all ranks together.
	MaxPerRank int // Copies at the rank that copies the most.
	Before     float64
	After      float64
}

// Gain returns the time that the plan saves, as a fraction of the present pass.
func (p Plan) Gain() float64 {
	if p.Before <= 0 {
		return 0
	}
	return (p.Before - p.After) / p.Before
}

// gainPerSecond returns the difference of Before and After per second of the duration
// of the change.
func (p Plan) gainPerSecond(e Effort) float64 {
	return (p.Before - p.After) / e.duration(p.MaxPerRank).Seconds()
}

// passTimeAt returns the duration of a pass at a skew, relative to a pass without skew.
func (g Group) passTimeAt(skew float64) float64 { return 1 - g.ExpertShare + g.ExpertShare*skew }

// Make plans a map for a demand. The number of copies per rank grows only as long as
// both the gain per second of the change and its net value rise: with slow copies, two
// small changes in sequence gain sooner than one large change; with fast copies, most
// of the effort of a change is its overhead. All copies are evaluated together: among
// many ranks, several have nearly the same load, and a copy that unloads only one of
// them gains nothing by itself. The function yield is called from time to time, as
// planning takes long.
func Make(g Group, current rebalance.Map, demand [][]float64, e Effort, price Price, yield func()) (best Plan) {
	i := rebalance.NewImprover(g.Shape, current, demand, g.Speed, rebalance.Bounds{PerLayer: g.MaxNewPerLayer, PerRank: 1})
	for k := 1; ; k++ {
		i.SetPerRank(k)
		for n := 1; i.Step(); n++ {
			if n%stepsPerYield == 0 {
				yield()
			}
		}
		r := i.Result()
		p := Plan{Map: r.Map, Copies: r.Copies, MaxPerRank: r.MaxPerRank, Before: g.passTimeAt(r.Before), After: g.passTimeAt(r.After)}
		if k > 1 && (p.gainPerSecond(e) <= best.gainPerSecond(e) || p.NetValue(e, price) <= best.NetValue(e, price)) {
			return best
		}
		best = p
		if p.MaxPerRank < k || !canGainMore(p, e, k+1) {
			return best
		}
	}
}

// stepsPerYield is the number of planning steps between two calls of yield: a step
// takes some ten microseconds.
const stepsPerYield = 8

// canGainMore reports whether the given number of copies per rank could gain more per
// second than p, if they made the load perfectly even, that is, After were 1.
func canGainMore(p Plan, e Effort, copies int) bool {
	perfect := Plan{Before: p.Before, After: 1, MaxPerRank: copies}
	return perfect.gainPerSecond(e) > p.gainPerSecond(e)
}

// SavedSeconds returns the time, in seconds of passes, that a plan saves until demand
// shifts, minus the slowdown by copying and the stall for the switch; negative if the
// plan costs more than it saves.
func (p Plan) SavedSeconds(e Effort, horizon time.Duration) float64 {
	slowdown := copySlowdown * (time.Duration(p.MaxPerRank) * e.CopyTime).Seconds()
	return p.Gain()*(horizon-e.duration(p.MaxPerRank)).Seconds() - slowdown - e.StallTime.Seconds()
}

// NetValue returns the value of a plan minus the price of its copies.
func (p Plan) NetValue(e Effort, price Price) float64 {
	return price.PerSecond*p.SavedSeconds(e, price.Horizon) - price.PerCopy*float64(p.Copies)
}

// IsWorthwhile reports whether a plan saves more time than the change itself costs, and
// this saving is worth more than the copies. The plan must also shorten a pass by at least
// as much as copying lengthens one in the meantime: a stream is late by its longest pass,
// so later savings do not compensate for a longer pass.
func (p Plan) IsWorthwhile(e Effort, price Price) bool {
	return p.Gain() >= p.slowdown(e) && p.SavedSeconds(e, price.Horizon) > 0 && p.NetValue(e, price) > 0
}

// slowdown returns the fraction by which copying lengthens the longest pass: a pass that
// lasts longer than the copying is slowed down for a part of its time only. If the
// duration of a pass is unknown, it counts as shorter than the copying.
func (p Plan) slowdown(e Effort) float64 {
	copying := time.Duration(p.MaxPerRank) * e.CopyTime
	if copying >= e.CurrentPass {
		return copySlowdown
	}
	return copySlowdown * copying.Seconds() / e.CurrentPass.Seconds()
}

// Replaces reports whether a plan for the present demand is to replace a change in
// progress that needs the time remaining. In both cases the map of the plan is active
// in the end; what differs is the duration of passes until then. If it replaces the
// change, its map is active earlier, by the time remaining. If not, the map of the
// change in progress is active while the plan is carried out.
//
// The argument current is the duration of a pass under the active map, and next that
// under the map of the change in progress, both relative as in Plan.
func (p Plan) Replaces(e Effort, remaining time.Duration, current, next float64) bool {
	gainIfReplaced := remaining.Seconds() * (current - p.After)
	gainIfKept := e.duration(p.MaxPerRank).Seconds() * (current - next)
	return gainIfReplaced > gainIfKept
}

// PassTime returns the duration of a pass under a map and a demand, relative to a
// pass under a map that loads all ranks equally; 1 if there is no demand.
func (g Group) PassTime(m rebalance.Map, demand [][]float64) float64 {
	slowest, mean := m.StepTime(demand, g.Shape.Ranks, g.Speed)
	if mean <= 0 {
		return 1
	}
	return g.passTimeAt(slowest / mean)
}
