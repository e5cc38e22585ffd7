// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"sync"
	"time"
)

// delayed returns the newest value that was added at least lag ago, and the
// first value as long as there is none.
type delayed[T any] struct {
	lag     time.Duration
	entries []timedValue[T]
}

type timedValue[T any] struct {
	at    time.Time
	value T
}

func (d *delayed[T]) add(now time.Time, v T) {
	d.entries = append(d.entries, timedValue[T]{now, v})
	d.trim(now)
}

func (d *delayed[T]) trim(now time.Time) {
	for len(d.entries) > 1 && now.Sub(d.entries[1].at) >= d.lag {
		d.entries = d.entries[1:]
	}
}

func (d *delayed[T]) get(now time.Time) (v T) {
	d.trim(now)
	if len(d.entries) == 0 {
		return v
	}
	return d.entries[0].value
}

// Store is a stand-in for the weight store. All engines of a site share its rate;
// their loads run one after the other.
type Store struct {
	rate float64 // Bytes per second.

	mu        sync.Mutex
	busyUntil time.Time // When the last load that was requested ends.
	requested float64
}

// NewStore returns a store that delivers rate bytes per second.
func NewStore(rate float64) *Store { return &Store{rate: rate} }

// Load requests weights of the given size and returns the time at which their
// transfer ends.
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

// BytesRequested returns the bytes that were requested so far.
func (s *Store) BytesRequested() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requested
}
