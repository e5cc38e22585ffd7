// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"sync"
	"time"
)

// delayed shows what was put in at least a lag ago; before that it shows the first
// value.
type delayed[T any] struct {
	lag     time.Duration
	entries []timedValue[T]
}

type timedValue[T any] struct {
	at    time.Time
	value T
}

func (l *delayed[T]) add(now time.Time, v T) {
	l.entries = append(l.entries, timedValue[T]{now, v})
	l.trim(now)
}

func (l *delayed[T]) trim(now time.Time) {
	for len(l.entries) > 1 && now.Sub(l.entries[1].at) >= l.lag {
		l.entries = l.entries[1:]
	}
}

func (l *delayed[T]) get(now time.Time) (v T) {
	l.trim(now)
	if len(l.entries) == 0 {
		return v
	}
	return l.entries[0].value
}

// Store is the weight store: its rate is shared by all engines of a site, one
// load after the other.
type Store struct {
	rate float64 // Bytes a second.

	mu        sync.Mutex
	busyUntil time.Time // When all that was asked for has been given.
	requested float64
}

// NewStore returns a store of so many bytes a second.
func NewStore(rate float64) *Store { return &Store{rate: rate} }

// Load asks for weights and returns when they will have come.
func (s *Store) Load(bytes float64, now time.Time) (done time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.requested += bytes
	s.busyUntil = s.busyUntil.Add(time.Duration(bytes / s.rate * float64(time.Second)))
	return s.busyUntil
}

// BytesRequested returns the bytes that were asked for so far.
func (s *Store) BytesRequested() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requested
}
