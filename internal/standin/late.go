// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"sync"
	"time"
)

// late shows what was put in at least a lag ago; before that it shows the first
// value.
type late[T any] struct {
	lag  time.Duration
	past []timed[T]
}

type timed[T any] struct {
	at    time.Time
	value T
}

func (l *late[T]) add(now time.Time, v T) {
	l.past = append(l.past, timed[T]{now, v})
	l.trim(now)
}

func (l *late[T]) trim(now time.Time) {
	for len(l.past) > 1 && now.Sub(l.past[1].at) >= l.lag {
		l.past = l.past[1:]
	}
}

func (l *late[T]) get(now time.Time) (v T) {
	l.trim(now)
	if len(l.past) == 0 {
		return v
	}
	return l.past[0].value
}

// Store is the weight store: its rate is shared by all engines of a site, one
// load after the other.
type Store struct {
	rate float64 // Bytes a second.

	mu    sync.Mutex
	until time.Time // When all that was asked for has been given.
	given float64
}

// NewStore returns a store of so many bytes a second.
func NewStore(rate float64) *Store { return &Store{rate: rate} }

// Load asks for weights and returns when they will have come.
func (s *Store) Load(bytes float64, now time.Time) (done time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until.Before(now) {
		s.until = now
	}
	s.given += bytes
	s.until = s.until.Add(time.Duration(bytes / s.rate * float64(time.Second)))
	return s.until
}

// BytesRequested returns the bytes that were asked for so far.
func (s *Store) BytesRequested() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.given
}
