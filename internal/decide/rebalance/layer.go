// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

import "slices"

// change is one edit of a layer: expert add gets a replica at rank to; what is
// given up is the replica of drop at rank from, if drop is an expert.
type change struct {
	add, to    int
	drop, from int // drop is -1 for none.
	cost       int // Expert copies to be loaded.
	gain       float64
	back       int // For a swap: the expert that goes to rank from; else -1.
}

// editor improves one layer step by step.
type editor struct {
	shape  Shape
	layer  Layer
	tokens []float64
	speed  []float64
	loads  []float64
	rows   [][]int          // Experts by rank.
	order  []int            // Ranks by load, the lightest first.
	trial  []float64        // Loads after the change that is being tried.
	tried  []bool           // Which of trial count.
	marked []int            // The ranks of tried.
	first  Layer            // As it was given.
	spare  int              // Experts that a rank may take on that it had not; 0 for no bound.
	fresh  []int            // Those it has taken on, by rank.
	full   func(r int) bool // Reports whether a rank may take on nothing more; nil for never.
}

func newEditor(s Shape, l Layer, tokens, speed []float64) *editor {
	e := &editor{shape: s, layer: l, tokens: tokens, speed: speed, trial: make([]float64, s.Ranks), tried: make([]bool, s.Ranks)}
	e.loads = l.Loads(tokens, s.Ranks, speed)
	e.first = slices.Clone(l) // Rows are replaced, never changed.
	e.fresh = make([]int, s.Ranks)
	e.rows = make([][]int, s.Ranks)
	for x, ranks := range l {
		for _, r := range ranks {
			e.rows[r] = append(e.rows[r], x)
		}
	}
	e.order = make([]int, s.Ranks)
	for r := range e.order {
		e.order[r] = r
	}
	e.sort()
	return e
}

func (e *editor) sort() {
	slices.SortFunc(e.order, func(a, b int) int {
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

// slowest returns the slowest rank's load.
func (e *editor) slowest() float64 { return e.loads[e.order[len(e.order)-1]] }

// lightest is how many of the least loaded ranks are looked at as targets.
const lightest = 8

// best returns the change that gains most a copy, ok false when none gains.
func (e *editor) best() (c change, ok bool) {
	hot := e.order[len(e.order)-1]
	for _, x := range e.rows[hot] {
		for _, to := range e.order[:min(lightest, len(e.order)-1)] {
			if to == hot || slices.Contains(e.layer[x], to) {
				continue
			}
			e.consider(&c, change{add: x, to: to, drop: x, from: hot, cost: 1, back: -1}) // Move.
			e.consider(&c, change{add: x, to: to, drop: -1, cost: 1, back: -1})           // Another replica.
			for _, y := range e.rows[to] {
				if len(e.layer[y]) > 1 { // In place of a replica that can be spared.
					e.consider(&c, change{add: x, to: to, drop: y, from: to, cost: 1, back: -1})
				}
				if !slices.Contains(e.layer[y], hot) { // Swap.
					e.consider(&c, change{add: x, to: to, drop: x, from: hot, cost: 2, back: y})
				}
			}
		}
		if len(e.layer[x]) > 1 { // Fewer replicas, where that helps: nothing is loaded.
			e.consider(&c, change{add: -1, drop: x, from: hot, back: -1})
		}
	}
	return c, c.gain > 0
}

// consider keeps c in best if it is possible and gains more a copy.
func (e *editor) consider(best *change, c change) {
	if !e.fits(c) {
		return
	}
	c.gain = e.slowest() - e.after(c)
	if c.gain <= 1e-9*e.slowest() {
		return
	}
	if best.gain == 0 || c.gain*float64(max(1, best.cost)) > best.gain*float64(max(1, c.cost)) {
		*best = c
	}
}

func (e *editor) fits(c change) bool {
	if !e.room(c.add, c.to) || !e.room(c.back, c.from) {
		return false
	}
	if c.add < 0 || c.back >= 0 || c.drop >= 0 && c.from == c.to {
		return true
	}
	return len(e.rows[c.to]) < e.shape.Slots
}

// isNew reports whether rank r would have to load expert x.
func (e *editor) isNew(x, r int) bool { return !slices.Contains(e.first[x], r) }

// room reports whether rank r may still take on expert x, if it is one.
func (e *editor) room(x, r int) bool {
	if x < 0 || e.spare == 0 && e.full == nil || !e.isNew(x, r) {
		return true
	}
	return (e.spare == 0 || e.fresh[r] < e.spare) && (e.full == nil || !e.full(r))
}

// countFresh counts what each rank has taken on.
func (e *editor) countFresh() {
	for r, row := range e.rows {
		e.fresh[r] = 0
		for _, x := range row {
			if e.isNew(x, r) {
				e.fresh[r]++
			}
		}
	}
}

// bump adds work to a rank's trial load.
func (e *editor) bump(r int, work float64) {
	if !e.tried[r] {
		e.tried[r] = true
		e.trial[r] = e.loads[r]
		e.marked = append(e.marked, r)
	}
	e.trial[r] += work / speedOf(e.speed, r)
}

// resize changes the trial loads of the holders of x as if it had so many
// replicas.
func (e *editor) resize(x, replicas int) {
	n := len(e.layer[x])
	delta := e.tokens[x]/float64(replicas) - e.tokens[x]/float64(n)
	for _, r := range e.layer[x] {
		e.bump(r, delta)
	}
}

// try sets the trial loads to those after c.
func (e *editor) try(c change) {
	if c.add >= 0 && c.drop == c.add { // A move, or one half of a swap.
		part := e.tokens[c.add] / float64(len(e.layer[c.add]))
		e.bump(c.from, -part)
		e.bump(c.to, part)
	} else {
		if c.add >= 0 {
			n := len(e.layer[c.add]) + 1
			e.resize(c.add, n)
			e.bump(c.to, e.tokens[c.add]/float64(n))
		}
		if c.drop >= 0 {
			n := len(e.layer[c.drop]) - 1
			e.resize(c.drop, n)
			e.bump(c.from, -e.tokens[c.drop]/float64(n))
		}
	}
	if c.back >= 0 {
		part := e.tokens[c.back] / float64(len(e.layer[c.back]))
		e.bump(c.to, -part)
		e.bump(c.from, part)
	}
}

// edits returns the replicas of the experts that c touches, after it.
func (e *editor) edits(c change) (experts []int, ranks [][]int) {
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
	if c.back >= 0 {
		after := insert(remove(e.layer[c.back], c.to), c.from)
		experts, ranks = append(experts, c.back), append(ranks, after)
	}
	return experts, ranks
}

// after returns the slowest rank's load after c.
func (e *editor) after(c change) float64 {
	e.try(c)
	top := 0.0
	for _, r := range e.marked {
		top = max(top, e.trial[r])
	}
	for i := len(e.order) - 1; i >= 0; i-- {
		if r := e.order[i]; !e.tried[r] {
			top = max(top, e.loads[r])
			break
		}
	}
	for _, r := range e.marked {
		e.tried[r] = false
	}
	e.marked = e.marked[:0]
	return top
}

// apply makes c.
func (e *editor) apply(c change) {
	experts, ranks := e.edits(c)
	for i, x := range experts {
		for _, r := range e.layer[x] {
			e.rows[r] = slices.DeleteFunc(e.rows[r], func(y int) bool { return y == x })
		}
		e.layer[x] = ranks[i]
		for _, r := range ranks[i] {
			e.rows[r] = append(e.rows[r], x)
		}
	}
	if e.spare > 0 || e.full != nil {
		e.countFresh()
	}
	e.loads = e.layer.Loads(e.tokens, e.shape.Ranks, e.speed)
	e.sort()
}
