// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"math/rand/v2"

	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/rank/ranktest"
)

// firstWorld returns the world in which a search begins.
func (sc *scenario) firstWorld() *world {
	first := &world{scenario: sc, ranks: make([]ranktest.State, searchRanks), epoch: 1, restart: sc.restart, isolated: NoRank, topFence: 1}
	first.leaders = []*Machine{New(searchRanks, sc.first, NoAbsence, 1, 1)}
	for h := range first.own {
		first.own[h].ObserveRank(0, rank.Arming{})
	}
	for sc.prepared && first.leaders[0].Phase != Holding {
		first = first.leaderSteps(0)[0] // Without faults.
		for r := range first.ranks {
			first.ranks[r].CompleteCopy()
		}
	}
	first.faultsLeft = sc.faults
	return first
}

// withDefaults returns sc with defaults in place of zero values.
func (sc scenario) withDefaults() scenario {
	if sc.leaders == 0 {
		sc.leaders = 2
	}
	if sc.successors == nil {
		sc.successors = []int{successorRank}
	}
	if sc.steps == 0 {
		sc.steps = maxStep
	}
	if sc.passes == 0 {
		sc.passes = maxStep
	}
	if sc.switches == 0 {
		sc.switches = maxSwitches
	}
	return sc
}

// walk follows a random path from the first world until nothing more can happen, or for maxWalk worlds,
// and returns the violation that it meets. It reaches combinations of faults that are too many for a
// search.
func (sc scenario) walk(seed uint64) (violation string) {
	const (
		maxWalk  = 600
		rareStep = 4 // One in this many faults and passes that are drawn occurs.
	)
	sc = sc.withDefaults()
	random := rand.New(rand.NewPCG(seed, 0))
	w := sc.firstWorld()
	for range maxWalk {
		next := w.successors()
		if len(next) == 0 {
			break
		}
		n := next[random.IntN(len(next))]
		if (n.faultsLeft < w.faultsLeft || n.step > w.step) && random.IntN(rareStep) > 0 {
			continue // Otherwise all faults and passes occur before a switch has begun.
		}
		if w = n; w.violation != "" {
			return w.violation + "\n" + w.trace()
		}
	}
	return ""
}

// search visits every reachable world and returns the first violation.
func (sc scenario) search() (seen int, violation string) {
	sc = sc.withDefaults()
	first := sc.firstWorld()
	visited := map[worldKey]struct{}{first.key(): {}}
	queue := []*world{first}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if len(visited) > maxStates {
			return len(visited), "too many states"
		}
		if sc.visit != nil {
			sc.visit(w)
		}
		for _, n := range w.successors() {
			if n.violation != "" {
				return len(visited), n.violation + "\n" + n.trace()
			}
			if k := n.key(); !exists(visited, k) {
				visited[k] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return len(visited), ""
}

func exists[K comparable, V any](m map[K]V, k K) bool {
	_, ok := m[k]
	return ok
}
