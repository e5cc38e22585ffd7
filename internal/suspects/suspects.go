// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package suspects keeps what one process knows of requests under which endpoints ended, and
// what of it is to be told to others. Gateways act by it; sidecars only keep it, so that it
// outlives gateways that end together. It is not for deciding (package quarantine) or for
// Sending (package peers).
package suspects

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// Set is what a process knows of requests under which endpoints ended.
type Set struct {
	log  *zap.Logger
	held metrics.Gauge
	news chan struct{} // Holds a value while an end waits to be told.

	mu   sync.Mutex // Guards what follows.
	book *quarantine.History
}

// New returns an empty set.
func New(log *zap.Logger, reg metrics.Registry) *Set {
	return &Set{log: log, held: metrics.GetOrRegisterGauge("quarantine.held", reg), news: make(chan struct{}, 1), book: quarantine.New()}
}

// Pending returns a channel that holds a value while something waits to be told.
func (s *Set) Pending() <-chan struct{} { return s.news }

// tellSoon notes that something waits to be told.
func (s *Set) tellSoon() {
	select {
	case s.news <- struct{}{}:
	default: // It is noted already.
	}
}

// NextToSend returns what to tell all other processes next.
func (s *Set) NextToSend(now time.Time) []peers.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encode(s.book.NextToSend(peers.MaxEnds, now), now)
}

// ForNewPeer returns what to tell one process that may know nothing.
func (s *Set) ForNewPeer(now time.Time) []peers.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encode(s.book.MostSevere(peers.MaxEnds), now)
}

func encode(ends []quarantine.End, now time.Time) (list []peers.End) {
	for _, e := range ends {
		list = append(list, peers.End{Key: e.Key[:], Endpoint: e.Endpoint, Sending: int(e.Knowledge), Void: e.Void, AgeMs: now.Sub(e.At).Milliseconds()})
	}
	return list
}

// HasUnsent reports whether something waits that was never told.
func (s *Set) HasUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.HasUnsent()
}

// MergeEnds takes in what another process told.
func (s *Set) MergeEnds(list []peers.End, now time.Time) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, told := range list {
		if !valid(told) {
			s.log.Warn("end of an endpoint left out", zap.Binary("key", told.Key), zap.Int64("age-ms", told.AgeMs), zap.Int("sending", told.Sending))
			continue
		}
		s.add(quarantine.End{
			Key: quarantine.Key(told.Key), Endpoint: told.Endpoint, Knowledge: quarantine.Knowledge(told.Sending), Void: told.Void,
			At: now.Add(-time.Duration(told.AgeMs) * time.Millisecond),
		}, now, now)
	}
	s.book.Forget(now)
}

// Bounds of what another process may tell.
const (
	longestName = 255                 // Bytes of an endpoint's id.
	oldest      = 30 * 24 * time.Hour // Far above the time for which anything is held.
)

// valid reports whether an end that another process tells can be one.
func valid(e peers.End) bool {
	return len(e.Key) == len(quarantine.Key{}) && e.Endpoint != "" && len(e.Endpoint) <= longestName &&
		e.AgeMs >= 0 && e.AgeMs <= oldest.Milliseconds() && quarantine.Knowledge(e.Sending).Valid()
}

// RecordEnd takes in that an endpoint ended under a request of this process.
func (s *Set) RecordEnd(k quarantine.Key, endpoint string, sending quarantine.Knowledge, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(quarantine.End{Key: k, Endpoint: endpoint, Knowledge: sending, At: now}, time.Time{}, now)
	s.tellSoon()
}

// add takes in an end and logs what follows from it. The caller holds mu.
func (s *Set) add(e quarantine.End, told, now time.Time) {
	before, _ := s.book.Judge(e.Key, now)
	if !s.book.Add(e, told) {
		return
	}
	after, left := s.book.Judge(e.Key, now)
	s.held.Update(int64(s.book.Held(now)))
	fields := []zap.Field{zap.Stringer("key", e.Key), zap.String("endpoint", e.Endpoint), zap.Bool("seen-here", told.IsZero()), zap.Stringer("sending", e.Knowledge),
		zap.Bool("void", e.Void), zap.Stringer("verdict", after), zap.Duration("held-for", left)}
	if after != before {
		s.log.Warn("endpoint ended under a request", fields...)
		return
	}
	s.log.Info("endpoint ended under a request", fields...)
}

// RecordSuccess takes in that a request ran to its end.
func (s *Set) RecordSuccess(key func() quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() || !s.book.RecordCompletion(key()) {
		return
	}
	s.log.Info("request is sound although endpoints ended under it", zap.Stringer("key", key()))
	s.tellSoon()
}

// RecordAlive takes in that an endpoint answered what was sent to it at a moment.
func (s *Set) RecordAlive(endpoint string, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() || !s.book.RecordAnswer(endpoint, sentAt) {
		return
	}
	s.log.Info("endpoint lives on although it was taken to have ended", zap.String("endpoint", endpoint))
	s.tellSoon()
}

// SendingState returns what is known of a request that is sent now. The key is worked out only
// where any is known, as it costs a hash of the body.
func (s *Set) SendingState(key func() quarantine.Key, now time.Time) quarantine.Knowledge {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() {
		return quarantine.NoKnownEnd
	}
	return s.book.KnowledgeOf(key(), now)
}

// Judge returns whether a request may be sent, and for how long it is still held.
func (s *Set) Judge(key func() quarantine.Key, now time.Time) (v quarantine.Verdict, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() {
		return quarantine.Free, 0
	}
	return s.book.Judge(key(), now)
}

// BeginTrial begins a trial; it reports false while another one is under way.
func (s *Set) BeginTrial(k quarantine.Key, now, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.BeginTrial(k, now, until)
}

// EndTrial ends a trial that showed nothing.
func (s *Set) EndTrial(k quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.EndTrial(k)
}

// Expire drops what has lapsed.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Forget(now)
	s.held.Update(int64(s.book.Held(now)))
}
