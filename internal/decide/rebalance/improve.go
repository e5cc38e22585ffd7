// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

// Bounds limit what one improvement of a layer may change.
type Bounds struct {
	Spare int     // Experts that a rank may take on, 0 for no bound.
	Least float64 // Share of the layer's mean load that one copy must gain at least.
}

// Improvement is a changed layer.
type Improvement struct {
	Layer  Layer
	Copies int     // Expert copies to be loaded.
	Before float64 // Load of the slowest rank to the mean.
	After  float64
}

// Improve edits one layer, starting from the one in force, until the next copy
// does not gain enough. It is one bounded piece of work, so that a planner on
// a small processor can do other things between two layers.
func Improve(s Shape, current Layer, tokens, speed []float64, b Bounds) (i Improvement) {
	e := newEditor(s, append(Layer(nil), current...), tokens, speed)
	e.spare = b.Spare
	mean := 0.0
	for _, v := range e.loads {
		mean += v / float64(s.Ranks)
	}
	if mean <= 0 {
		return Improvement{Layer: current, Before: 1, After: 1}
	}
	i.Before = e.slowest() / mean
	for range s.Experts * s.Slots {
		c, ok := e.best()
		if !ok || c.gain < b.Least*mean*float64(c.cost) {
			break
		}
		e.apply(c)
	}
	i.Layer = e.layer
	i.After = e.slowest() / mean
	i.Copies = Transfers(Map{current}, Map{e.layer})
	return i
}

// Rows returns the experts of each rank, in ascending order.
func (l Layer) Rows(ranks int) [][]int {
	rows := make([][]int, ranks)
	for r := range rows {
		rows[r] = []int{} // A rank without experts is told so, not left out.
	}
	for x, holders := range l {
		for _, r := range holders {
			rows[r] = append(rows[r], x)
		}
	}
	return rows
}

// FromRows makes a layer of the experts of each rank; ok is false when an
// expert is nowhere, or unknown.
func FromRows(rows [][]int, experts int) (l Layer, ok bool) {
	l = make(Layer, experts)
	for r, row := range rows {
		for _, x := range row {
			if x < 0 || x >= experts {
				return nil, false
			}
			l[x] = insert(l[x], r)
		}
	}
	for _, holders := range l {
		if len(holders) == 0 {
			return nil, false
		}
	}
	return l, true
}
