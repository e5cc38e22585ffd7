// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package configadopt decides which published generation of the configuration a process
// adopts. It is a pure state machine: the caller fetches, verifies and parses a
// generation, and passes the result.
package configadopt

import "github.com/canvaspulley/canvaspulley/internal/published"

// Decision is what to do with an announced generation.
type Decision int

// The decisions.
const (
	Ignore Decision = iota // It is older, the same, or was refused before.
	Fetch                  // It is newer: fetch and validate it, then call Adopt or Refuse.
)

// State is the state of the published configuration in one process.
type State struct {
	current  published.Version // Zero before the first adoption.
	refused  map[published.Version]bool
	conflict published.Version // Another valid manifest of the same generation, if one was received.
}

// maxRefused bounds the number of refused generations that are remembered.
const maxRefused = 64

// New returns the state of a process that has no configuration.
func New() *State { return &State{refused: map[published.Version]bool{}} }

// Current returns the generation in effect; the zero Version if there is none.
func (s *State) Current() published.Version { return s.current }

// Conflict returns a second manifest of the current generation, if one was received.
func (s *State) Conflict() (v published.Version, ok bool) {
	return s.conflict, s.conflict.Generation != 0 && s.conflict.Generation == s.current.Generation
}

// Decide returns what to do with a generation announced by a peer or the configuration service. It
// does not change the state.
func (s *State) Decide(v published.Version) Decision {
	if v.Generation == 0 || s.refused[v] || !v.Newer(s.current) {
		return Ignore
	}
	return Fetch
}

// Adopt makes a fetched and valid generation the current one. If v is not newer than the
// current one, because a newer one arrived in the meantime, Adopt keeps that one and
// returns false: the configuration never goes back. A second manifest of the current
// generation is recorded as a conflict in either case.
func (s *State) Adopt(v published.Version) bool {
	s.recordConflict(v)
	if !v.Newer(s.current) {
		return false
	}
	s.current = v
	return true
}

// recordConflict records a conflict if v, a valid manifest, is another one of the current
// generation. It remembers the one of the two that is not newer, and so is not adopted.
func (s *State) recordConflict(v published.Version) {
	if v.Generation != s.current.Generation || v.Hash == s.current.Hash {
		return
	}
	s.conflict = v
	if v.Newer(s.current) {
		s.conflict = s.current
	}
}

// RecordValid records a valid manifest that was not adopted, so that processes with
// the winning manifest detect a conflict, too.
func (s *State) RecordValid(v published.Version) { s.recordConflict(v) }

// Refuse records that a generation is invalid, so that it is not fetched again from
// every peer. If maxRefused generations are remembered already, they are forgotten first.
func (s *State) Refuse(v published.Version) {
	if len(s.refused) >= maxRefused {
		s.refused = map[published.Version]bool{}
	}
	s.refused[v] = true
}
