// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package ranktest

import "github.com/canvaspulley/canvaspulley/internal/rank"

// State is what orders change at one rank's engine, by the platform's published protocol.
type State struct {
	Fence    uint64
	Map      uint64
	Prepared uint64
	Armed    rank.Arming
	HeldPass uint64
}

// Execute carries an order out; step is the newest pass that began.
func (s *State) Execute(o rank.Order, step uint64) rank.Result {
	if o.Fence < s.Fence {
		return rank.Fenced
	}
	result := s.obey(o, step)
	if result == rank.Done {
		s.Fence = o.Fence // Refused orders leave no fence behind.
	}
	return result
}

func (s *State) obey(o rank.Order, step uint64) rank.Result {
	switch o.Op {
	case rank.Prepare:
		if o.Version <= max(s.Map, s.Prepared, s.Armed.Version) || s.Armed.Version != 0 {
			return rank.Conflict
		}
		s.Prepared = o.Version
	case rank.Arm:
		want := rank.Arming{Version: o.Version, Step: o.Step}
		if s.Armed != want && (s.Prepared != o.Version || step >= o.Step || s.Armed.Version != 0) {
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
		if step >= o.Step || s.HeldPass != 0 && s.HeldPass != o.Step {
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

// Begin begins a pass, and reports whether a map came into force with it.
func (s *State) Begin(step uint64) (changed bool) {
	if s.Armed.Version == 0 || s.Armed.Step != step {
		return false
	}
	s.Map, s.Armed, s.Prepared = s.Armed.Version, rank.Arming{}, 0
	return true
}
