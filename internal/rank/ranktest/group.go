// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package ranktest is a stand-in of a group of model engines that run passes in
// lock-step and take orders, for tests and the soak. It says when a pass ran on
// two maps. It is not for requests: what they cost is not played.
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

// Shape is the size of a group.
type Shape struct {
	Ranks   int
	Sets    int
	Experts int
}

// Group is a group of engines.
type Group struct {
	mu      sync.Mutex
	shape   Shape
	step    uint64
	engines []engine
	broken  string // Says how a pass ran on two maps.
	lose    int    // Orders whose answer is lost, one in so many; 0 for none.
	orders  int
	hot     int // Place in each set of the expert that gets most.
	changes int // Maps that came into force.
}

// engine is one rank's.
type engine struct {
	State
	report rank.Report // But for what State and the group tell.
	counts []uint64
	maps   map[uint64][][][]int
}

// New returns a group on map 0 that loses the answer of one order in so many, 0
// for none.
func New(s Shape, lose int) *Group {
	g := &Group{shape: s, lose: lose, engines: make([]engine, s.Ranks)}
	for r := range g.engines {
		g.engines[r] = engine{counts: make([]uint64, s.Sets*s.Experts), maps: map[uint64][][][]int{0: dealt(s)}}
		g.engines[r].report = rank.Report{Group: "g", Epoch: 1, Rank: r, Size: s.Ranks, Open: true, Running: 4, Slowdown: 1}
	}
	return g
}

// dealt is map 0: experts in turn over the ranks.
func dealt(s Shape) [][][]int {
	layout := make([][][]int, s.Sets)
	for k := range layout {
		layout[k] = make([][]int, s.Ranks)
		for x := range s.Experts {
			layout[k][x%s.Ranks] = append(layout[k][x%s.Ranks], x)
		}
	}
	return layout
}

// Run makes passes until ctx ends.
func (g *Group) Run(ctx context.Context, pass time.Duration) error {
	return wait.Every(ctx, pass, g.pass)
}

// ShiftDemand makes other experts the ones that get most.
func (g *Group) ShiftDemand(hot int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hot = hot
}

// ResetCounts makes a rank's counts begin anew, as after a restart of its requests.
func (g *Group) ResetCounts(r int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.engines[r].counts)
}

// SetHold sets which pass a rank holds, 0 for none.
func (g *Group) SetHold(r int, step uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[r].HeldPass = step
}

// Step returns the newest pass that began.
func (g *Group) Step() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

func (g *Group) pass() {
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
			g.changes++
		}
		for i := range e.counts { // A few experts of the first rank get nearly all.
			e.counts[i] += 1
			if x := (i + g.hot) % g.shape.Experts; x%g.shape.Ranks == 0 {
				e.counts[i] += uint64(200 / (1 + x))
			}
		}
	}
	for r := range g.engines {
		first, other := &g.engines[0], &g.engines[r]
		if first.Map != other.Map || !equalMaps(first.maps[first.Map], other.maps[other.Map]) {
			g.broken = fmt.Sprintf("pass %d on maps %d and %d", g.step, first.Map, other.Map)
		}
	}
}

// Order gives a rank an order.
func (g *Group) Order(r int, o rank.Order) (rank.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.engines[r]
	result := e.Execute(o, g.step)
	if result == rank.Fenced {
		return result, nil
	}
	if result == rank.Done && o.Op == rank.Prepare {
		e.maps[o.Version] = o.Map
	}
	if g.orders++; g.lose > 0 && g.orders%g.lose == 0 {
		return rank.Lost, errors.New("no answer")
	}
	return result, nil
}

// Engine returns the engine of a rank as a sidecar sees it.
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
			for _, set := range g.engines[r].maps[h.Version] {
				h.ExpertsBySet = append(h.ExpertsBySet, set[r])
			}
			return h, nil
		},
		Order: func(_ context.Context, o rank.Order) (rank.Result, error) { return g.Order(r, o) },
	}
}

// State returns the map in force, which rank holds a pass, if one does, and how
// a pass ran on two maps, if one did.
func (g *Group) State() (version uint64, held, broken string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.engines {
		if g.engines[r].HeldPass != 0 {
			held = fmt.Sprintf("rank %d holds %d", r, g.engines[r].HeldPass)
		}
	}
	return g.engines[0].Map, held, g.broken
}

// MapChanges returns how many maps came into force.
func (g *Group) MapChanges() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

func equalMaps(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool {
		return slices.EqualFunc(x, y, func(p, q []int) bool { return slices.Equal(p, q) })
	})
}
