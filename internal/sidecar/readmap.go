// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
)

// readMap ensures that the planner knows the map in force. It returns false if it could not read the
// map or the map does not fit the group. Map 0 is the round-robin layout. Any other map was made by
// this leader or is read from the ranks' engines, one after the other.
func (l *leader) readMap(ctx context.Context) bool {
	p := &l.planner
	version := l.byRank[0].report.Map
	if p.known && p.version == version {
		return true
	}
	ranks := len(l.byRank)
	if version == 0 {
		return l.takeMap(version, roundRobinLayout(l.shape.LayerSets, ranks, l.shape.ExpertsPerSet))
	}
	rows := make([][][]int, ranks)
	for r, m := range l.byRank {
		call, cancel := context.WithTimeout(ctx, engineTimeout)
		h, err := l.s.dial(m.endpoint.Address).HeldExperts(call)
		cancel()
		if err != nil || h.Version != version || len(h.ExpertsBySet) != l.shape.LayerSets {
			return false // The map has just changed or the engine did not answer; the next poll tries again.
		}
		rows[r] = h.ExpertsBySet
	}
	bySet := make(layout, l.shape.LayerSets)
	for k := range bySet {
		bySet[k] = make([][]int, ranks)
		for r := range rows {
			bySet[k][r] = rows[r][k]
		}
	}
	return l.takeMap(version, bySet)
}

// takeMap sets the planner's map in force. It returns false, and sets nothing, if the map does not fit
// the shape of the group.
func (l *leader) takeMap(version uint64, m layout) bool {
	current := make(rebalance.Map, len(m))
	for k, rows := range m {
		layer, ok := rebalance.FromRows(rows, l.shape.ExpertsPerSet)
		if !ok {
			l.s.log.Warn("map in force does not fit the group's shape", zap.Uint64("version", version), zap.Int("set", k))
			return false
		}
		current[k] = layer
	}
	p := &l.planner
	p.current, p.version, p.known = current, version, true
	return true
}
