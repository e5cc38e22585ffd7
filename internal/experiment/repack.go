// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"slices"
	"sort"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
)

// repackLayer is the naive method: it gives replicas to the hottest experts and then
// places each replica, the heaviest first, on the least loaded rank. It ignores the
// map in effect.
func repackLayer(s rebalance.Shape, tokens []float64) rebalance.Layer {
	count := make([]int, s.Experts)
	for e := range count {
		count[e] = 1
	}
	for range s.Ranks*s.Slots - s.Experts {
		best := -1
		for e := range count {
			if count[e] < s.Ranks && (best < 0 || tokens[e]/float64(count[e]) > tokens[best]/float64(count[best])) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		count[best]++
	}
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		return tokens[a]/float64(count[a]) > tokens[b]/float64(count[b])
	})
	layer := make(rebalance.Layer, s.Experts)
	loads, usedSlots := make([]float64, s.Ranks), make([]int, s.Ranks)
	for _, e := range order {
		for range count[e] {
			r := leastLoadedRank(s, layer[e], loads, usedSlots)
			if r < 0 {
				break
			}
			layer[e] = append(layer[e], r)
			usedSlots[r]++
			loads[r] += tokens[e] / float64(count[e])
		}
		slices.Sort(layer[e])
	}
	return placeMissing(layer)
}

// leastLoadedRank returns the least loaded rank that has a free slot and does not
// hold the expert yet, or -1.
func leastLoadedRank(s rebalance.Shape, holders []int, loads []float64, usedSlots []int) int {
	best := -1
	for r := range loads {
		if usedSlots[r] < s.Slots && !slices.Contains(holders, r) && (best < 0 || loads[r] < loads[best]) {
			best = r
		}
	}
	return best
}

// placeMissing places the experts for which no rank was found, in slots of experts
// that have more than one replica.
func placeMissing(layer rebalance.Layer) rebalance.Layer {
	for e := range layer {
		for len(layer[e]) == 0 {
			for f := range layer {
				if len(layer[f]) > 1 {
					layer[e] = []int{layer[f][0]}
					layer[f] = layer[f][1:]
					break
				}
			}
		}
	}
	return layer
}
