// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package remap decides whether the expert map of a group of ranks is worth
// changing, into which map, and whether a change that is under way is to be
// dropped for a better one. It is pure: what is observed comes in as arguments.
// How a map is improved is package rebalance's matter, how it comes into force
// that of cutover.
package remap

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
)

// Group is what a plan is made for.
type Group struct {
	Shape          rebalance.Shape
	MaxNewPerLayer int       // Experts that a rank may take on in one change, a set.
	ExpertShare    float64   // Part of the work that is done by experts, above 0.
	Speed          []float64 // By rank; nil when all are alike.
}

// Effort is the time that a change takes.
type Effort struct {
	CopyTime time.Duration // Of one expert; a rank copies one after the other.
	Overhead time.Duration // Of all else: noticing, planning, orders.
	// StallTime is how long the group stands still for the switch.
	StallTime time.Duration
	// CurrentPass is how long a pass takes now; 0 when not known.
	CurrentPass time.Duration
}

// Price says what changes are worth, in one unit.
type Price struct {
	PerSecond float64       // Of passes, as far as they are saved.
	PerCopy   float64       // Of one expert.
	Horizon   time.Duration // For which demand is expected to stay as it is.
}

// copyDrag is the part by which passes take longer while experts are copied, as
// the platform's pages give it.
const copyDrag = 0.15

// takes returns how long a change takes in which a rank copies so many experts.
func (e Effort) takes(copies int) time.Duration {
	return time.Duration(copies)*e.CopyTime + e.Overhead
}

// Plan is a map that could take the place of the one in force. Before and After
// are times of a pass, in those under a map that loads all ranks alike.
type Plan struct {
	Map        rebalance.Map
	Copies     int // Of experts, at all ranks together.
	MaxPerRank int // Of them, those of the rank that copies most.
	Before     float64
	After      float64
}

// Gain returns the part of a pass that the plan saves.
func (p Plan) Gain() float64 {
	if p.Before <= 0 {
		return 0
	}
	return (p.Before - p.After) / p.Before
}

// rate is what a plan gains a second of its effort.
func (p Plan) rate(e Effort) float64 {
	return (p.Before - p.After) / e.takes(p.MaxPerRank).Seconds()
}

// passTime turns a skew into a pass's time, in that without any.
func (g Group) passTime(skew float64) float64 { return 1 - g.ExpertShare + g.ExpertShare*skew }

// Make plans a map for a demand. A rank copies one expert more only as long as
// what the plan gains a second rises by it, and what it is worth after its price:
// where copies are slow, two small changes one after the other gain sooner than one
// large; where they are quick, the effort of a change is mostly not in them. Copies
// are judged all together: with many ranks, several are loaded nearly alike, and a
// copy that unloads only one of them gains nothing by itself. Yield is called now
// and then, as planning is long work.
func Make(g Group, current rebalance.Map, demand [][]float64, e Effort, price Price, yield func()) (best Plan) {
	i := rebalance.NewImprover(g.Shape, current, demand, g.Speed, rebalance.Bounds{PerLayer: g.MaxNewPerLayer, PerRank: 1})
	for k := 1; ; k++ {
		i.SetPerRank(k)
		for n := 1; i.Step(); n++ {
			if n%stepsAtOnce == 0 {
				yield()
			}
		}
		r := i.Result()
		p := Plan{Map: r.Map, Copies: r.Copies, MaxPerRank: r.MaxPerRank, Before: g.passTime(r.Before), After: g.passTime(r.After)}
		if k > 1 && (p.rate(e) <= best.rate(e) || p.NetValue(e, price) <= best.NetValue(e, price)) {
			return best
		}
		best = p
		if p.MaxPerRank < k || !mayRise(p, e, k+1) {
			return best
		}
	}
}

// stepsAtOnce is how many steps of planning are made before others run: one
// takes some ten microseconds.
const stepsAtOnce = 8

// mayRise reports whether so many copies a rank could gain more a second than p,
// if they made the load even.
func mayRise(p Plan, e Effort, copies int) bool {
	perfect := Plan{Before: p.Before, After: 1, MaxPerRank: copies}
	return perfect.rate(e) > p.rate(e)
}

// SavedSeconds returns the time of passes, in seconds, that a plan saves until demand
// shifts, less what copying costs meanwhile: below 0 when it does not pay.
func (p Plan) SavedSeconds(e Effort, left time.Duration) float64 {
	drag := copyDrag * (time.Duration(p.MaxPerRank) * e.CopyTime).Seconds()
	return p.Gain()*(left-e.takes(p.MaxPerRank)).Seconds() - drag - e.StallTime.Seconds()
}

// NetValue returns what a plan is worth after the price of its copies.
func (p Plan) NetValue(e Effort, price Price) float64 {
	return price.PerSecond*p.SavedSeconds(e, price.Horizon) - price.PerCopy*float64(p.Copies)
}

// IsWorthwhile reports whether a plan is worth its copies and the time that it takes, and a
// pass is shorter by it than copying makes one longer meanwhile. Streams are late by
// their longest pass, so what is saved later does not make up for one.
func (p Plan) IsWorthwhile(e Effort, price Price) bool {
	return p.Gain() >= p.drag(e) && p.SavedSeconds(e, price.Horizon) > 0 && p.NetValue(e, price) > 0
}

// drag is the part by which copying makes the longest pass longer: a pass that is
// longer than the copying is dragged for a part of it only.
func (p Plan) drag(e Effort) float64 {
	copying := time.Duration(p.MaxPerRank) * e.CopyTime
	if copying >= e.CurrentPass {
		return copyDrag
	}
	return copyDrag * copying.Seconds() / e.CurrentPass.Seconds()
}

// Replaces reports whether a plan, made for what is asked for now, is to take
// the place of one that is under way and needs so much longer. Both come into
// force in the end; what differs is how long passes take until then. Now is the
// time of a pass under the map in force, soon that under the map under way.
func (p Plan) Replaces(e Effort, remaining time.Duration, now, soon float64) bool {
	dropped := remaining.Seconds() * (now - p.After)
	kept := e.takes(p.MaxPerRank).Seconds() * (now - soon)
	return dropped > kept
}

// PassTime returns the time of a pass under a map and a demand, in that under a
// map that loads all ranks alike.
func (g Group) PassTime(m rebalance.Map, demand [][]float64) float64 {
	slowest, mean := m.StepTime(demand, g.Shape.Ranks, g.Speed)
	if mean <= 0 {
		return 1
	}
	return g.passTime(slowest / mean)
}
