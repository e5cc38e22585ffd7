// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package ranktest

import (
	"fmt"
	"hash/fnv"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// State is the state of one rank's engine that orders change, according to the platform's published
// protocol.
type State struct {
	Fence       uint64
	Map         uint64
	Content     uint64 // Fingerprint of the map in force; 0 for map 0.
	Had         uint64 // Highest version of a Prepare that was accepted.
	NextContent uint64 // Fingerprint of that map.
	Copying     bool   // The experts of that map are being copied. CompleteCopy ends this.
	Prepared    uint64
	Armed       rank.Arming
	HeldPass    uint64
}

// CompleteCopy ends the copying that a Prepare began: the map is prepared from now on.
func (s *State) CompleteCopy() {
	if s.Copying {
		s.Copying, s.Prepared = false, s.Had
	}
}

// fingerprint identifies the content of a map.
func fingerprint(layout [][][]int) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, layout) // Never fails.
	return h.Sum64()
}

// Execute executes an order; newestPass is the newest pass that has begun.
func (s *State) Execute(o rank.Order, newestPass uint64) rank.Result {
	if o.Fence < s.Fence {
		return rank.Fenced
	}
	result := s.apply(o, newestPass)
	if result.Outcome() == rank.Done {
		s.Fence = o.Fence // A rejected order does not raise the fence.
	}
	return result
}

func (s *State) apply(o rank.Order, newestPass uint64) rank.Result {
	switch o.Op {
	case rank.Prepare:
		if o.Version <= max(s.Map, s.Prepared, s.Had) || s.Armed.Version != 0 {
			return rank.Conflict
		}
		s.Had, s.NextContent, s.Copying, s.Prepared = o.Version, fingerprint(o.Map), true, 0
		return rank.Begun
	case rank.Arm:
		want := rank.Arming{Version: o.Version, Step: o.Step}
		if s.Armed != want && (s.Prepared != o.Version || newestPass >= o.Step || s.Armed.Version != 0) {
			return rank.Conflict
		}
		s.Armed = want
	case rank.Disarm:
		if s.Map == o.Version {
			return rank.Conflict
		}
		if s.Armed.Version == o.Version {
			s.Armed = rank.Arming{}
		}
	case rank.Hold:
		if newestPass >= o.Step || s.HeldPass != 0 && s.HeldPass != o.Step {
			return rank.Conflict
		}
		s.HeldPass = o.Step
	case rank.Release:
		if s.HeldPass == o.Step {
			s.HeldPass = 0
		}
	}
	return rank.Done
}

// Begin begins a pass and reports whether a map came into force with it.
func (s *State) Begin(step uint64) (changed bool) {
	if s.Armed.Version == 0 || s.Armed.Step != step {
		return false
	}
	s.Map, s.Content, s.Armed, s.Prepared = s.Armed.Version, s.NextContent, rank.Arming{}, 0
	return true
}
