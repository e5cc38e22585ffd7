// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package rebalance decides which experts of a group should move between ranks,
// and when a move is worth its cost. It starts from the active map and makes the
// changes that save the most step time per byte transferred, until the next one
// costs more than it saves. It is pure: reports, time and prices are passed as
// arguments. Package mapswitch decides how a new map is activated.
package rebalance

import "slices"

// Layer is the placement of the experts of one layer: by expert, the ranks of its
// replicas in ascending order, at least one each.
type Layer [][]int

// Map is an expert map, by layer. The tokens of an expert are split evenly over
// its replicas.
type Map []Layer

// Clone returns a deep copy.
func (m Map) Clone() Map {
	c := make(Map, len(m))
	for l, layer := range m {
		c[l] = make(Layer, len(layer))
		for e, ranks := range layer {
			c[l][e] = slices.Clone(ranks)
		}
	}
	return c
}

// Shape is the size of a group.
type Shape struct {
	Ranks   int
	Experts int // Per layer.
	Slots   int // Experts that a rank can hold per layer; Ranks*Slots >= Experts.
}

// RoundRobin returns the map that a group starts with: experts are placed round-robin
// over the ranks, and further replicas round-robin in the remaining slots. A slot may
// stay empty.
func RoundRobin(s Shape, layers int) Map {
	m := make(Map, layers)
	for l := range m {
		m[l] = make(Layer, s.Experts)
		for i := range s.Ranks * s.Slots {
			e, r := i%s.Experts, i%s.Ranks
			if i >= s.Experts { // Further replicas are shifted to ranks that lack the expert.
				r = (i + i/s.Experts) % s.Ranks
			}
			if i >= s.Experts && (slices.Contains(m[l][e], r) || m[l].expertCount(r) >= s.Slots) {
				continue
			}
			m[l][e] = insert(m[l][e], r)
		}
	}
	return m
}

// expertCount returns the number of experts that a rank holds.
func (l Layer) expertCount(rank int) (n int) {
	for _, ranks := range l {
		if slices.Contains(ranks, rank) {
			n++
		}
	}
	return n
}

// insert adds r to a sorted list of ranks, which may be changed in place.
func insert(ranks []int, r int) []int {
	at, _ := slices.BinarySearch(ranks, r)
	return slices.Insert(ranks, at, r)
}

// remove returns a sorted list of ranks without r; the list itself is not changed.
func remove(ranks []int, r int) []int {
	at, ok := slices.BinarySearch(ranks, r)
	if !ok {
		return ranks
	}
	return slices.Delete(slices.Clone(ranks), at, at+1)
}

// Loads returns the load of each rank in one layer: the tokens of its experts divided
// by its speed. The tokens of an expert are split evenly among its replicas. The argument
// ranks is the number of ranks. A nil speed means that all ranks have the same speed.
func (l Layer) Loads(tokens []float64, ranks int, speed []float64) []float64 {
	loads := make([]float64, ranks)
	for e, holders := range l {
		part := tokens[e] / float64(len(holders))
		for _, r := range holders {
			loads[r] += part / speedOf(speed, r)
		}
	}
	return loads
}

func speedOf(speed []float64, r int) float64 {
	if speed == nil {
		return 1
	}
	return speed[r]
}

// Transfers returns the number of expert copies that must be loaded to change from
// one map to the other.
func Transfers(from, to Map) (n int) {
	for l := range to {
		for e, ranks := range to[l] {
			for _, r := range ranks {
				if !slices.Contains(from[l][e], r) {
					n++
				}
			}
		}
	}
	return n
}

// StepTime returns the duration of a step, and the duration that it would have if all
// ranks had the mean load, for the given tokens by layer and expert. Both are sums over
// the layers, in the unit of Loads: of the slowest rank's load, and of the mean load.
func (m Map) StepTime(tokens [][]float64, ranks int, speed []float64) (slowest, mean float64) {
	for l, layer := range m {
		loads := layer.Loads(tokens[l], ranks, speed)
		total := 0.0
		for _, v := range loads {
			total += v
		}
		slowest += slices.Max(loads)
		mean += total / float64(ranks)
	}
	return slowest, mean
}

// Valid reports whether m fits the shape: each expert has a replica, none has two
// on the same rank, and no rank holds more experts than it has slots.
func (m Map) Valid(s Shape) bool {
	for _, layer := range m {
		held := make([]int, s.Ranks)
		for _, ranks := range layer {
			if len(ranks) == 0 || !slices.IsSorted(ranks) {
				return false
			}
			for i, r := range ranks {
				if r < 0 || r >= s.Ranks || i > 0 && ranks[i-1] == r {
					return false
				}
				held[r]++
			}
		}
		if slices.Max(held) > s.Slots {
			return false
		}
	}
	return true
}
