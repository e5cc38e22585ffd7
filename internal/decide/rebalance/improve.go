// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

import "slices"

// Bounds limit what one improvement may change.
type Bounds struct {
	PerLayer int // Experts that a rank may take on in a layer, 0 for no bound.
	PerRank  int // Experts that a rank may take on in all layers, 0 for no bound.
}

// Improvement is a changed map. Skews are loads of the slowest rank to the mean,
// as means over the layers.
type Improvement struct {
	Map        Map
	Copies     int // Expert copies to be loaded.
	MaxPerRank int // Of them, those of the rank that loads most.
	Before     float64
	After      float64
}

// Improver edits the layers of a map, starting from the one in force, until the
// next copy does not gain enough or no rank may take on more. It works in small
// steps, so that a small processor can do other things between two of them.
type Improver struct {
	bounds  Bounds
	current Map
	editors []*editor
	means   []float64
	best    []change // By layer; a gain of 0 means that none is left.
	taken   []int    // Copies by rank.
	result  Improvement
}

// NewImprover returns an improver that has changed nothing.
func NewImprover(s Shape, current Map, tokens [][]float64, speed []float64, b Bounds) *Improver {
	i := &Improver{bounds: b, current: current, taken: make([]int, s.Ranks)}
	for l, layer := range current {
		e := newEditor(s, append(Layer(nil), layer...), tokens[l], speed)
		e.spare = b.PerLayer
		e.full = func(r int) bool { return i.bounds.PerRank > 0 && i.taken[r] >= i.bounds.PerRank }
		mean := 0.0
		for _, v := range e.loads {
			mean += v / float64(s.Ranks)
		}
		i.editors = append(i.editors, e)
		i.means = append(i.means, mean)
		i.best = append(i.best, change{})
		i.result.Before += i.skew(l) / float64(len(current))
	}
	for l := range current {
		i.look(l)
	}
	return i
}

// SetPerRank sets how many experts a rank may take on in all layers, 0 for no bound.
func (i *Improver) SetPerRank(perRank int) {
	i.bounds.PerRank = perRank
	for l := range i.best {
		i.look(l)
	}
}

func (i *Improver) skew(l int) float64 {
	if i.means[l] <= 0 {
		return 1
	}
	return i.editors[l].slowest() / i.means[l]
}

// look finds the best change of a layer.
func (i *Improver) look(l int) {
	i.best[l] = change{}
	if i.means[l] <= 0 {
		return
	}
	if c, ok := i.editors[l].best(); ok {
		i.best[l] = c
	}
}

// Step makes the change that gains most a copy; it reports whether there was
// one.
func (i *Improver) Step() bool {
	for {
		l := -1
		for k, c := range i.best {
			if c.gain > 0 && (l < 0 || i.worth(k) > i.worth(l)) {
				l = k
			}
		}
		if l < 0 {
			return false
		}
		if e := i.editors[l]; !e.fits(i.best[l]) {
			i.look(l) // A rank is full since it was found.
			continue
		}
		i.editors[l].apply(i.best[l])
		i.count()
		i.look(l)
		return true
	}
}

// worth is a layer's best gain a copy, as a share of its mean load.
func (i *Improver) worth(l int) float64 {
	c := i.best[l]
	return c.gain / i.means[l] / float64(max(c.cost, 1))
}

// count sums the copies that each rank takes on.
func (i *Improver) count() {
	clear(i.taken)
	for _, e := range i.editors {
		for r, n := range e.fresh {
			i.taken[r] += n
		}
	}
}

// Result returns what has been reached.
func (i *Improver) Result() Improvement {
	r := i.result
	for l, e := range i.editors {
		r.Map = append(r.Map, slices.Clone(e.layer)) // Steps that follow do not change it: rows are replaced.
		r.After += i.skew(l) / float64(len(i.editors))
	}
	r.Copies = Transfers(i.current, r.Map)
	r.MaxPerRank = slices.Max(i.taken)
	return r
}

// Improve makes all steps at once.
func Improve(s Shape, current Map, tokens [][]float64, speed []float64, b Bounds) Improvement {
	i := NewImprover(s, current, tokens, speed, b)
	for i.Step() {
	}
	return i.Result()
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
