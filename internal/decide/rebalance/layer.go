// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

import "slices"

// change is one edit of a layer: expert add gets a replica at rank to, and the
// replica of expert drop at rank from is removed.
type change struct {
	add, to    int     // add is -1 for none.
	drop, from int     // drop is -1 for none.
	cost       int     // Expert copies to be loaded.
	gain       float64 // Decrease of the slowest rank's load.
	swapped    int     // For a swap: the expert that moves to rank from; otherwise -1.
}

// editor improves one layer step by step.
type editor struct {
	shape      Shape
	layer      Layer
	tokens     []float64
	speed      []float64
	loads      []float64
	rows       [][]int          // Experts by rank.
	byLoad     []int            // Ranks in ascending order of load.
	trialLoads []float64        // Loads after the change being evaluated, by rank.
	inTrial    []bool           // Whether the entry of trialLoads is valid, by rank.
	trialRanks []int            // The ranks for which inTrial is true.
	initial    Layer            // The layer before all edits.
	maxAdded   int              // Experts that a rank may gain compared to initial; 0 for no bound.
	added      []int            // Experts gained compared to initial, by rank.
	full       func(r int) bool // Reports whether a rank may gain no more experts; nil for never.
}

// newEditor returns an editor that replaces elements of l, which are lists of ranks, but does not
// modify the lists themselves.
func newEditor(s Shape, l Layer, tokens, speed []float64) *editor {
	e := &editor{shape: s, layer: l, tokens: tokens, speed: speed, trialLoads: make([]float64, s.Ranks), inTrial: make([]bool, s.Ranks)}
	e.loads = l.Loads(tokens, s.Ranks, speed)
	e.initial = slices.Clone(l) // Its lists of ranks are replaced, never modified.
	e.added = make([]int, s.Ranks)
	e.rows = make([][]int, s.Ranks)
	for x, ranks := range l {
		for _, r := range ranks {
			e.rows[r] = append(e.rows[r], x)
		}
	}
	e.byLoad = make([]int, s.Ranks)
	for r := range e.byLoad {
		e.byLoad[r] = r
	}
	e.sort()
	return e
}

// sort orders byLoad by the present loads.
func (e *editor) sort() {
	slices.SortFunc(e.byLoad, func(a, b int) int {
		switch {
		case e.loads[a] < e.loads[b]:
			return -1
		case e.loads[a] > e.loads[b]:
			return 1
		default:
			return a - b
		}
	})
}

// slowest returns the load of the slowest rank.
func (e *editor) slowest() float64 { return e.loads[e.byLoad[len(e.byLoad)-1]] }

// maxTargets is how many of the least loaded ranks are considered as targets of a change.
const maxTargets = 8

// bestChange returns the change with the highest gain per copy that moves load away from the slowest
// rank; ok is false when none gains.
func (e *editor) bestChange() (c change, ok bool) {
	hot := e.byLoad[len(e.byLoad)-1]
	for _, x := range e.rows[hot] {
		for _, to := range e.byLoad[:min(maxTargets, len(e.byLoad)-1)] {
			if to == hot || slices.Contains(e.layer[x], to) {
				continue
			}
			e.consider(&c, change{add: x, to: to, drop: x, from: hot, cost: 1, swapped: -1}) // Move.
			e.consider(&c, change{add: x, to: to, drop: -1, cost: 1, swapped: -1})           // Another replica.
			for _, y := range e.rows[to] {
				if len(e.layer[y]) > 1 { // Replaces a redundant replica.
					e.consider(&c, change{add: x, to: to, drop: y, from: to, cost: 1, swapped: -1})
				}
				if !slices.Contains(e.layer[y], hot) { // Swap.
					e.consider(&c, change{add: x, to: to, drop: x, from: hot, cost: 2, swapped: y})
				}
			}
		}
		if len(e.layer[x]) > 1 { // Removal of a replica, which loads nothing.
			e.consider(&c, change{add: -1, drop: x, from: hot, swapped: -1})
		}
	}
	return c, c.gain > 0
}

// consider stores c in best if it is possible and has a higher gain per copy. A
// removal, which copies nothing, counts as one copy.
func (e *editor) consider(best *change, c change) {
	if !e.fits(c) {
		return
	}
	c.gain = e.slowest() - e.slowestAfter(c)
	if c.gain <= 1e-9*e.slowest() {
		return // No gain but for rounding errors.
	}
	if best.gain == 0 || c.gain*float64(max(1, best.cost)) > best.gain*float64(max(1, c.cost)) {
		*best = c
	}
}

// fits reports whether the ranks that c adds experts to may load them and have slots for them.
func (e *editor) fits(c change) bool {
	if !e.canAdd(c.add, c.to) || !e.canAdd(c.swapped, c.from) {
		return false
	}
	if c.add < 0 || c.swapped >= 0 || c.drop >= 0 && c.from == c.to {
		return true // Rank to holds no more experts than before.
	}
	return len(e.rows[c.to]) < e.shape.Slots
}

// isNew reports whether rank r would have to load expert x.
func (e *editor) isNew(x, r int) bool { return !slices.Contains(e.initial[x], r) }

// canAdd reports whether rank r may still load expert x; a negative x is no expert
// and always fits.
func (e *editor) canAdd(x, r int) bool {
	if x < 0 || e.maxAdded == 0 && e.full == nil || !e.isNew(x, r) {
		return true
	}
	return (e.maxAdded == 0 || e.added[r] < e.maxAdded) && (e.full == nil || !e.full(r))
}

// countAdded counts the experts that each rank has gained compared to initial.
func (e *editor) countAdded() {
	for r, row := range e.rows {
		e.added[r] = 0
		for _, x := range row {
			if e.isNew(x, r) {
				e.added[r]++
			}
		}
	}
}

// addTrialLoad adds work to a rank's trial load.
func (e *editor) addTrialLoad(r int, work float64) {
	if !e.inTrial[r] {
		e.inTrial[r] = true
		e.trialLoads[r] = e.loads[r]
		e.trialRanks = append(e.trialRanks, r)
	}
	e.trialLoads[r] += work / speedOf(e.speed, r)
}

// setTrialReplicas changes the trial loads of the ranks that hold x as if x had the
// given number of replicas.
func (e *editor) setTrialReplicas(x, replicas int) {
	n := len(e.layer[x])
	delta := e.tokens[x]/float64(replicas) - e.tokens[x]/float64(n)
	for _, r := range e.layer[x] {
		e.addTrialLoad(r, delta)
	}
}

// setTrialLoads sets the trial loads to the loads after c.
func (e *editor) setTrialLoads(c change) {
	if c.add >= 0 && c.drop == c.add { // A move, or one half of a swap.
		part := e.tokens[c.add] / float64(len(e.layer[c.add]))
		e.addTrialLoad(c.from, -part)
		e.addTrialLoad(c.to, part)
	} else {
		if c.add >= 0 {
			n := len(e.layer[c.add]) + 1
			e.setTrialReplicas(c.add, n)
			e.addTrialLoad(c.to, e.tokens[c.add]/float64(n))
		}
		if c.drop >= 0 {
			n := len(e.layer[c.drop]) - 1
			e.setTrialReplicas(c.drop, n)
			e.addTrialLoad(c.from, -e.tokens[c.drop]/float64(n))
		}
	}
	if c.swapped >= 0 {
		part := e.tokens[c.swapped] / float64(len(e.layer[c.swapped]))
		e.addTrialLoad(c.to, -part)
		e.addTrialLoad(c.from, part)
	}
}

// replicasAfter returns the experts that c changes, and the ranks of their replicas
// after c.
func (e *editor) replicasAfter(c change) (experts []int, ranks [][]int) {
	if c.add >= 0 {
		after := insert(slices.Clone(e.layer[c.add]), c.to)
		if c.drop == c.add {
			after = remove(after, c.from)
		}
		experts, ranks = append(experts, c.add), append(ranks, after)
	}
	if c.drop >= 0 && c.drop != c.add {
		experts, ranks = append(experts, c.drop), append(ranks, remove(e.layer[c.drop], c.from))
	}
	if c.swapped >= 0 {
		after := insert(remove(e.layer[c.swapped], c.to), c.from)
		experts, ranks = append(experts, c.swapped), append(ranks, after)
	}
	return experts, ranks
}

// slowestAfter returns the load of the slowest rank after c: the highest trial load, or the load of
// the slowest rank that c does not affect.
func (e *editor) slowestAfter(c change) float64 {
	e.setTrialLoads(c)
	slowest := 0.0
	for _, r := range e.trialRanks {
		slowest = max(slowest, e.trialLoads[r])
	}
	for i := len(e.byLoad) - 1; i >= 0; i-- {
		if r := e.byLoad[i]; !e.inTrial[r] {
			slowest = max(slowest, e.loads[r])
			break
		}
	}
	for _, r := range e.trialRanks {
		e.inTrial[r] = false
	}
	e.trialRanks = e.trialRanks[:0]
	return slowest
}

// apply applies c to the layer.
func (e *editor) apply(c change) {
	experts, ranks := e.replicasAfter(c)
	for i, x := range experts {
		for _, r := range e.layer[x] {
			e.rows[r] = slices.DeleteFunc(e.rows[r], func(y int) bool { return y == x })
		}
		e.layer[x] = ranks[i]
		for _, r := range ranks[i] {
			e.rows[r] = append(e.rows[r], x)
		}
	}
	if e.maxAdded > 0 || e.full != nil {
		e.countAdded()
	}
	e.loads = e.layer.Loads(e.tokens, e.shape.Ranks, e.speed)
	e.sort()
}
