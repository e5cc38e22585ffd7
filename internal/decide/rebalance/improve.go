// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package rebalance

import "slices"

// Bounds limit what one improvement may change.
type Bounds struct {
	PerLayer int // New experts that a rank may load in one layer; 0 for no bound.
	PerRank  int // New experts that a rank may load in all layers together; 0 for no bound.
}

// Improvement is a changed map. Before and After are the skew of the maps: the
// load of the slowest rank divided by the mean load, averaged over the layers.
type Improvement struct {
	Map        Map
	Copies     int // Expert copies to be loaded.
	MaxPerRank int // Copies to be loaded by the rank that loads the most.
	Before     float64
	After      float64
}

// Improver edits the layers of a map, starting from the active one, until no
// change gains or no rank may load more experts. It works in small steps,
// so that a small processor can do other work between them.
type Improver struct {
	bounds      Bounds
	current     Map
	editors     []*editor   // By layer.
	meanLoads   []float64   // Mean load of a rank, by layer.
	bestByLayer []change    // Best change by layer; a gain of 0 means that none is left.
	loaded      []int       // Copies to be loaded, by rank.
	result      Improvement // Only Before is set; Result sets the other fields.
}

// NewImprover returns an improver that starts from the map current, which it does not
// change. The tokens are by layer and expert, and the speed by rank.
func NewImprover(s Shape, current Map, tokens [][]float64, speed []float64, b Bounds) *Improver {
	i := &Improver{bounds: b, current: current, loaded: make([]int, s.Ranks)}
	for l, layer := range current {
		e := newEditor(s, append(Layer(nil), layer...), tokens[l], speed)
		e.maxAdded = b.PerLayer
		e.full = func(r int) bool { return i.bounds.PerRank > 0 && i.loaded[r] >= i.bounds.PerRank }
		mean := 0.0
		for _, v := range e.loads {
			mean += v / float64(s.Ranks)
		}
		i.editors = append(i.editors, e)
		i.meanLoads = append(i.meanLoads, mean)
		i.bestByLayer = append(i.bestByLayer, change{})
		i.result.Before += i.skew(l) / float64(len(current))
	}
	for l := range current {
		i.findBest(l)
	}
	return i
}

// SetPerRank sets how many new experts a rank may load in all layers together, 0 for no bound. It
// searches all layers again, since changes may have become possible.
func (i *Improver) SetPerRank(perRank int) {
	i.bounds.PerRank = perRank
	for l := range i.bestByLayer {
		i.findBest(l)
	}
}

// skew returns the skew of layer l as edited so far; 1 if the layer has no load.
func (i *Improver) skew(l int) float64 {
	if i.meanLoads[l] <= 0 {
		return 1
	}
	return i.editors[l].slowest() / i.meanLoads[l]
}

// findBest finds the best change of layer l and keeps it in bestByLayer; the zero change if none gains.
func (i *Improver) findBest(l int) {
	i.bestByLayer[l] = change{}
	if i.meanLoads[l] <= 0 {
		return
	}
	if c, ok := i.editors[l].bestChange(); ok {
		i.bestByLayer[l] = c
	}
}

// Step applies the change with the highest gain per copy, of all layers, and
// reports whether there was one.
func (i *Improver) Step() bool {
	for {
		l := -1
		for k, c := range i.bestByLayer {
			if c.gain > 0 && (l < 0 || i.gainPerCopy(k) > i.gainPerCopy(l)) {
				l = k
			}
		}
		if l < 0 {
			return false
		}
		if e := i.editors[l]; !e.fits(i.bestByLayer[l]) {
			i.findBest(l) // A rank has become full since the change was found.
			continue
		}
		i.editors[l].apply(i.bestByLayer[l])
		i.countLoaded()
		i.findBest(l)
		return true
	}
}

// gainPerCopy returns the gain per copy of a layer's best change, as a fraction
// of the layer's mean load.
func (i *Improver) gainPerCopy(l int) float64 {
	c := i.bestByLayer[l]
	return c.gain / i.meanLoads[l] / float64(max(c.cost, 1))
}

// countLoaded sums the copies that each rank has to load over all layers.
func (i *Improver) countLoaded() {
	clear(i.loaded)
	for _, e := range i.editors {
		for r, n := range e.added {
			i.loaded[r] += n
		}
	}
}

// Result returns the improvement that the steps so far have reached.
func (i *Improver) Result() Improvement {
	r := i.result
	for l, e := range i.editors {
		r.Map = append(r.Map, slices.Clone(e.layer)) // A shallow clone is enough: steps replace the list of an expert's holders and never modify it.
		r.After += i.skew(l) / float64(len(i.editors))
	}
	r.Copies = Transfers(i.current, r.Map)
	r.MaxPerRank = slices.Max(i.loaded)
	return r
}

// Improve runs all steps of an Improver.
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
		rows[r] = []int{} // A rank without experts has an empty row, not a nil one.
	}
	for x, holders := range l {
		for _, r := range holders {
			rows[r] = append(rows[r], x)
		}
	}
	return rows
}

// FromRows returns the layer for the experts of each rank; ok is false when an
// expert has no replica or is unknown.
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
