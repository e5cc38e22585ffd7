// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package suspects keeps what one process knows of requests during which endpoints ended, and
// selects what to send of it to other processes. Gateways act on it; sidecars only store it, so
// that it survives gateways that end at the same time. Verdicts are up to package quarantine, and
// sending to package peers.
package suspects

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// Set holds what a process knows of requests during which endpoints ended.
type Set struct {
	log       *zap.Logger
	heldGauge metrics.Gauge
	pending   chan struct{} // Holds a value while an end waits to be sent.

	mu   sync.Mutex // Guards the fields below.
	book *quarantine.History
}

// New returns an empty set.
func New(log *zap.Logger, reg metrics.Registry) *Set {
	return &Set{log: log, heldGauge: metrics.GetOrRegisterGauge("quarantine.held", reg), pending: make(chan struct{}, 1), book: quarantine.New()}
}

// Pending returns a channel that holds a value while something waits to be sent.
func (s *Set) Pending() <-chan struct{} { return s.pending }

// notifyPending puts a value into the channel of Pending.
func (s *Set) notifyPending() {
	select {
	case s.pending <- struct{}{}:
	default: // The channel already holds a value.
	}
}

// NextToSend returns the ends to send to all other processes next.
func (s *Set) NextToSend(now time.Time) []peers.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encode(s.book.TakeNextToSend(peers.MaxEnds, now), now)
}

// ForNewPeer returns the most severe ends, to send to a process that may know none yet.
func (s *Set) ForNewPeer(now time.Time) []peers.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encode(s.book.MostSevere(peers.MaxEnds), now)
}

func encode(ends []quarantine.End, now time.Time) (list []peers.End) {
	for _, e := range ends {
		list = append(list, peers.End{Key: e.Key[:], Endpoint: e.Endpoint, KnownBefore: int(e.Knowledge), Void: e.Void, AgeMs: now.Sub(e.At).Milliseconds()})
	}
	return list
}

// HasUnsent reports whether any end has never been sent.
func (s *Set) HasUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.HasUnsent()
}

// MergeEnds adds the ends that another process sent.
func (s *Set) MergeEnds(list []peers.End, now time.Time) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, received := range list {
		if !valid(received) {
			s.log.Warn("invalid endpoint end ignored", zap.Binary("key", received.Key), zap.Int64("age-ms", received.AgeMs), zap.Int("sending", received.KnownBefore))
			continue
		}
		s.add(quarantine.End{
			Key: quarantine.Key(received.Key), Endpoint: received.Endpoint, Knowledge: quarantine.Knowledge(received.KnownBefore), Void: received.Void,
			At: now.Add(-time.Duration(received.AgeMs) * time.Millisecond),
		}, now, now)
	}
	s.book.Forget(now)
}

// Bounds on ends from other processes.
const (
	maxEndpointIDLen = 255                 // Bytes of an endpoint's id.
	maxAge           = 30 * 24 * time.Hour // Far above the time for which a request is held.
)

// valid reports whether an end from another process is well-formed.
func valid(e peers.End) bool {
	return len(e.Key) == len(quarantine.Key{}) && e.Endpoint != "" && len(e.Endpoint) <= maxEndpointIDLen &&
		e.AgeMs >= 0 && e.AgeMs <= maxAge.Milliseconds() && quarantine.Knowledge(e.KnownBefore).Valid()
}

// RecordEnd records that an endpoint ended during a request of this process.
func (s *Set) RecordEnd(k quarantine.Key, endpoint string, knowledge quarantine.Knowledge, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(quarantine.End{Key: k, Endpoint: endpoint, Knowledge: knowledge, At: now}, time.Time{}, now)
	s.notifyPending()
}

// add adds an end and logs the resulting verdict. The time receivedAt is zero for an end that this
// process observed itself. The caller holds mu.
func (s *Set) add(e quarantine.End, receivedAt, now time.Time) {
	before, _ := s.book.Judge(e.Key, now)
	if !s.book.Add(e, receivedAt) {
		return
	}
	after, left := s.book.Judge(e.Key, now)
	s.heldGauge.Update(int64(s.book.HeldCount(now)))
	fields := []zap.Field{zap.Stringer("key", e.Key), zap.String("endpoint", e.Endpoint), zap.Bool("seen-here", receivedAt.IsZero()), zap.Stringer("sending", e.Knowledge),
		zap.Bool("void", e.Void), zap.Stringer("verdict", after), zap.Duration("held-for", left)}
	if after != before {
		s.log.Warn("endpoint ended during a request", fields...)
		return
	}
	s.log.Info("endpoint ended during a request", fields...)
}

// RecordSuccess records that a request ran to completion.
func (s *Set) RecordSuccess(key func() quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() || !s.book.RecordCompletion(key()) {
		return
	}
	s.log.Info("request completed although endpoints had ended during it", zap.Stringer("key", key()))
	s.notifyPending()
}

// RecordAlive records that an endpoint answered a request that was sent to it at the given time.
func (s *Set) RecordAlive(endpoint string, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() || !s.book.RecordAnswer(endpoint, sentAt) {
		return
	}
	s.log.Info("endpoint is alive although it was recorded as ended", zap.String("endpoint", endpoint))
	s.notifyPending()
}

// KnowledgeAtSend returns what is known of a request that is sent now. It computes the key only if any
// ends are known, because that hashes the body.
func (s *Set) KnowledgeAtSend(key func() quarantine.Key, now time.Time) quarantine.Knowledge {
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

// BeginTrial begins a trial; it reports false while another one is in progress.
func (s *Set) BeginTrial(k quarantine.Key, now, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.BeginTrial(k, now, until)
}

// EndTrial ends a trial without a result.
func (s *Set) EndTrial(k quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.EndTrial(k)
}

// Expire drops expired entries.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Forget(now)
	s.heldGauge.Update(int64(s.book.HeldCount(now)))
}
