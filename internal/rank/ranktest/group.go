// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package ranktest simulates a group of model engines that run passes in lock-step and execute
// orders, for tests and the soak. It reports when a pass ran with two different maps. It does not
// simulate requests or their cost.
package ranktest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Shape is the size of a group: its ranks, the sets of experts, and the experts of each set.
type Shape struct {
	Ranks   int
	Sets    int
	Experts int
}

// Group is a simulated group of engines.
type Group struct {
	mu         sync.Mutex
	shape      Shape
	step       uint64
	engines    []engine
	violation  string // Describes a pass that ran with two different maps; "" if there was none.
	lossStride int    // One in this many orders loses its answer; 0 for none.
	orderCount int
	hotOffset  int // Index offset that determines which experts of each set are chosen most.
	mapChanges int // Number of maps that came into force.
}

// engine is the engine of one rank.
type engine struct {
	State
	report  rank.Report // The engine's report, except for the fields that State and the group provide.
	counts  []uint64
	layouts map[uint64][][][]int
}

// New returns a group on map 0 that loses the answer of one in lossStride orders; 0 loses none.
func New(s Shape, lossStride int) *Group {
	g := &Group{shape: s, lossStride: lossStride, engines: make([]engine, s.Ranks)}
	for r := range g.engines {
		g.engines[r] = engine{counts: make([]uint64, s.Sets*s.Experts), layouts: map[uint64][][][]int{0: roundRobinLayout(s)}}
		g.engines[r].report = rank.Report{Group: "g", Epoch: 1, Rank: r, Size: s.Ranks, Open: true, Running: 4, Slowdown: 1}
	}
	return g
}

// roundRobinLayout returns map 0: experts are assigned to ranks in turn.
func roundRobinLayout(s Shape) [][][]int {
	layout := make([][][]int, s.Sets)
	for k := range layout {
		layout[k] = make([][]int, s.Ranks)
		for x := range s.Experts {
			layout[k][x%s.Ranks] = append(layout[k][x%s.Ranks], x)
		}
	}
	return layout
}

// Run runs passes until ctx ends.
func (g *Group) Run(ctx context.Context, pass time.Duration) error {
	return wait.Every(ctx, pass, g.runPass)
}

// ShiftDemand changes which experts are chosen most.
func (g *Group) ShiftDemand(offset int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hotOffset = offset
}

// ResetCounts sets a rank's counts to zero, as after a restart of its requests.
func (g *Group) ResetCounts(r int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.engines[r].counts)
}

// SetHold sets the pass that a rank holds; 0 for none.
func (g *Group) SetHold(r int, step uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[r].HeldPass = step
}

// Step returns the newest pass that has begun.
func (g *Group) Step() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

func (g *Group) runPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.engines {
		if g.engines[r].HeldPass == g.step+1 {
			return
		}
	}
	g.step++
	for r := range g.engines {
		e := &g.engines[r]
		if e.Begin(g.step) && r == 0 {
			g.mapChanges++
		}
		for i := range e.counts { // A few experts of the first rank are chosen most.
			e.counts[i] += 1
			if x := (i + g.hotOffset) % g.shape.Experts; x%g.shape.Ranks == 0 {
				e.counts[i] += uint64(200 / (1 + x))
			}
		}
	}
	for r := range g.engines {
		first, other := &g.engines[0], &g.engines[r]
		if first.Map != other.Map || !equalMaps(first.layouts[first.Map], other.layouts[other.Map]) {
			g.violation = fmt.Sprintf("pass %d on maps %d and %d", g.step, first.Map, other.Map)
		}
	}
}

// Order sends an order to a rank.
func (g *Group) Order(r int, o rank.Order) (rank.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.engines[r]
	result := e.Execute(o, g.step)
	if result == rank.Fenced {
		return result, nil
	}
	if result == rank.Begun {
		e.layouts[o.Version] = o.Map
		e.CompleteCopy()
	}
	if g.orderCount++; g.lossStride > 0 && g.orderCount%g.lossStride == 0 {
		return rank.Lost, errors.New("no answer")
	}
	return result, nil
}

// Engine returns the engine of a rank as a sidecar uses it.
func (g *Group) Engine(r int) rank.Engine {
	return rank.Engine{
		Report: func(context.Context) (rank.Report, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			e := &g.engines[r]
			rep := e.report
			rep.Step, rep.Map, rep.Prepared, rep.Armed, rep.HeldPass = g.step, e.Map, e.Prepared, e.Armed, e.HeldPass
			return rep, nil
		},
		Counts: func(context.Context) (rank.Counts, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return rank.Counts{Epoch: 1, Step: g.step, Flat: append([]uint64(nil), g.engines[r].counts...)}, nil
		},
		HeldExperts: func(context.Context) (rank.HeldExperts, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			h := rank.HeldExperts{Epoch: 1, Version: g.engines[r].Map}
			for _, set := range g.engines[r].layouts[h.Version] {
				h.ExpertsBySet = append(h.ExpertsBySet, set[r])
			}
			return h, nil
		},
		Order: func(_ context.Context, o rank.Order) (rank.Result, error) { return g.Order(r, o) },
	}
}

// Status returns the version of the map in force at rank 0, a description of the pass that a rank is
// held from beginning, and a description of a pass that ran with two different maps. A description
// is "" if there is nothing to describe. If several ranks are held, heldPass describes the last one.
func (g *Group) Status() (version uint64, heldPass, violation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.engines {
		if g.engines[r].HeldPass != 0 {
			heldPass = fmt.Sprintf("rank %d holds %d", r, g.engines[r].HeldPass)
		}
	}
	return g.engines[0].Map, heldPass, g.violation
}

// MapChanges returns how many maps came into force.
func (g *Group) MapChanges() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mapChanges
}

func equalMaps(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool {
		return slices.EqualFunc(x, y, func(p, q []int) bool { return slices.Equal(p, q) })
	})
}
