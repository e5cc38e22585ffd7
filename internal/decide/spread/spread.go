// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package spread decides which published generation a process adopts. It is a
// pure state machine: fetching, checking signatures and parsing are done by
// the caller, who tells the result.
package spread

import "github.com/canvaspulley/canvaspulley/internal/published"

// Decision is what to do with a generation that was heard of.
type Decision int

// The decisions.
const (
	Ignore Decision = iota // Older, the same, or refused before.
	Fetch                  // Newer: fetch and judge it, then call Adopt or Refuse.
)

// State is what a process holds of the published configuration.
type State struct {
	current published.Version // Zero when nothing was adopted yet.
	refused map[published.Version]bool
	clash   published.Version // The other manifest of the same generation, if one was seen.
}

// maxRefused bounds the memory of refused generations.
const maxRefused = 64

// New returns the state of a process that has no configuration.
func New() *State { return &State{refused: map[published.Version]bool{}} }

// Current returns the generation in force; the zero Version when there is none.
func (s *State) Current() published.Version { return s.current }

// Conflict returns a second manifest of the present generation, if one was seen.
func (s *State) Conflict() (v published.Version, ok bool) {
	return s.clash, s.clash.Generation != 0 && s.clash.Generation == s.current.Generation
}

// Receive takes in a generation named by a peer or the configuration service.
func (s *State) Receive(v published.Version) Decision {
	if v.Generation == 0 || s.refused[v] || !v.Newer(s.current) {
		return Ignore
	}
	return Fetch
}

// Adopt puts a fetched and judged generation in force. It reports false, and
// changes nothing, when a newer one came in meanwhile: configuration never
// gets older. A second manifest of one generation is noted as a clash.
func (s *State) Adopt(v published.Version) bool {
	s.note(v)
	if !v.Newer(s.current) {
		return false
	}
	s.current = v
	return true
}

// note remembers two valid manifests of one generation.
func (s *State) note(v published.Version) {
	if v.Generation != s.current.Generation || v.Hash == s.current.Hash {
		return
	}
	s.clash = v
	if v.Newer(s.current) {
		s.clash = s.current
	}
}

// RecordValid takes in a valid manifest that was not adopted, so that a clash is
// noticed also by those who hold the manifest that wins.
func (s *State) RecordValid(v published.Version) { s.note(v) }

// Refuse remembers that a generation is faulty, so that it is not fetched from
// every peer again.
func (s *State) Refuse(v published.Version) {
	if len(s.refused) >= maxRefused {
		s.refused = map[published.Version]bool{}
	}
	s.refused[v] = true
}
