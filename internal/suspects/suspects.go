// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package suspects keeps what one process knows of requests and parts of prompts during which endpoints ended, and
// selects what to send of it to other processes. Gateways act on it; sidecars only store it, so
// that it survives gateways that end at the same time. Verdicts are up to package quarantine, and
// sending to package peers.
package suspects

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// Subjects are what may cause the end of an endpoint that runs a request: the request as a whole, and each
// part of its prompt that other requests may share. Whole is called only if any ends are known, because
// computing its key hashes the body.
type Subjects struct {
	Whole func() quarantine.Key
	Parts []quarantine.Key
}

// all returns the keys of all subjects, that of the whole request first.
func (c Subjects) all(yield func(k quarantine.Key) bool) {
	if !yield(c.Whole()) {
		return
	}
	for _, k := range c.Parts {
		if !yield(k) {
			return
		}
	}
}

// Known is what was known of the subjects of a request when it was sent. Subjects of which no end was
// known are absent.
type Known map[quarantine.Key]quarantine.Knowledge

// Attempt is an attempt that was not finished when its endpoint ended.
type Attempt struct {
	Whole quarantine.Key
	Parts []quarantine.Key
	Known Known
}

// Set holds what a process knows of requests and parts during which endpoints ended.
type Set struct {
	log       *zap.Logger
	heldGauge metrics.Gauge
	reg       metrics.Registry
	pending   chan struct{} // Holds a value while an end waits to be sent.

	mu      sync.Mutex // Guards the fields below.
	history *quarantine.History
}

// New returns an empty set.
func New(log *zap.Logger, reg metrics.Registry) *Set {
	return &Set{log: log, reg: reg, heldGauge: metrics.GetOrRegisterGauge("quarantine.held", reg), pending: make(chan struct{}, 1), history: quarantine.New()}
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

// NextToSend returns the ends to send to all other processes next, at most peers.MaxEnds, and marks
// them as sent.
func (s *Set) NextToSend(now time.Time) peers.EndBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encode(s.history.TakeNextToSend(peers.MaxEnds, now), now)
}

// ForNewPeer returns the most severe ends, at most peers.MaxEnds, to send to a process that may know
// none yet. It does not mark them as sent.
func (s *Set) ForNewPeer(now time.Time) peers.EndBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encode(s.history.MostSevere(peers.MaxEnds), now)
}

func encode(ends []quarantine.End, now time.Time) (b peers.EndBatch) {
	for _, e := range ends {
		one := peers.End{Key: e.Key[:], Endpoint: e.Endpoint, KnownBefore: int(e.Knowledge), Void: e.Void, AgeMs: now.Sub(e.At).Milliseconds()}
		if e.Part {
			b.PartEnds = append(b.PartEnds, peers.PartEnd{End: one, SoundBefore: e.SoundBefore})
		} else {
			b.Ends = append(b.Ends, one)
		}
	}
	return b
}

// HasUnsent reports whether any end has never been sent.
func (s *Set) HasUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.HasUnsent()
}

// MergeEnds adds the ends that another process sent. It returns the keys of the parts among them that are
// proven sound here, which the sender does not know.
func (s *Set) MergeEnds(b peers.EndBatch, now time.Time) (soundParts [][]byte) {
	if b.Len() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := make([]quarantine.End, 0, b.Len())
	for _, received := range b.Ends {
		ends = s.appendValid(ends, received, quarantine.End{}, now)
	}
	for _, received := range b.PartEnds {
		ends = s.appendValid(ends, received.End, quarantine.End{Part: true, SoundBefore: received.SoundBefore}, now)
	}
	s.add(ends, now, now)
	s.history.Forget(now)
	for _, k := range s.history.ProvenParts(ends) {
		soundParts = append(soundParts, k[:])
	}
	return soundParts
}

// MarkSoundParts records that requests with parts had completed at another process.
func (s *Set) MarkSoundParts(keys [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		if len(k) == len(quarantine.Key{}) && s.history.MarkSound(quarantine.Key(k)) {
			s.log.Info("part of ended requests was sound before, says another process", zap.Binary("key", k))
			s.notifyPending()
		}
	}
}

// appendValid appends an end that another process sent, with the fields of base that only ends of parts
// have. An invalid one is ignored. The caller holds mu.
func (s *Set) appendValid(ends []quarantine.End, received peers.End, base quarantine.End, now time.Time) []quarantine.End {
	if !valid(received) {
		s.log.Warn("invalid endpoint end ignored", zap.Binary("key", received.Key), zap.Int64("age-ms", received.AgeMs), zap.Int("sending", received.KnownBefore))
		return ends
	}
	base.Key, base.Endpoint, base.Knowledge = quarantine.Key(received.Key), received.Endpoint, quarantine.Knowledge(received.KnownBefore)
	base.Void, base.At = received.Void, now.Add(-time.Duration(received.AgeMs)*time.Millisecond)
	return append(ends, base)
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

// maxSubjectsPerEnd bounds the subjects that are recorded for one end, and with it the messages.
const maxSubjectsPerEnd = 128

// RecordEnds records that an endpoint ended during attempts of this process. If there are more than
// maxSubjectsPerEnd subjects, those are recorded of which ends are known, then those that are not proven
// sound.
func (s *Set) RecordEnds(endpoint string, attempts []Attempt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	subjects := map[quarantine.Key]quarantine.End{}
	for _, a := range attempts {
		Subjects{Whole: func() quarantine.Key { return a.Whole }, Parts: a.Parts}.all(func(k quarantine.Key) bool {
			end, ok := subjects[k]
			if !ok {
				end = quarantine.End{Key: k, Part: k != a.Whole, Endpoint: endpoint, At: now}
			}
			end.Knowledge = max(end.Knowledge, a.Known[k])
			subjects[k] = end
			return true
		})
	}
	list := slices.Collect(maps.Values(subjects))
	if len(list) > maxSubjectsPerEnd {
		slices.SortFunc(list, func(x, y quarantine.End) int {
			return cmp.Compare(s.history.Suspicion(y.Key), s.history.Suspicion(x.Key))
		})
		list = list[:maxSubjectsPerEnd]
	}
	s.add(list, time.Time{}, now)
	s.notifyPending()
}

// add adds ends and logs the resulting verdicts, as warnings for those that have changed. It does
// nothing for ends that the history does not take. The time receivedAt is zero for ends that
// this process observed itself. The caller holds mu.
func (s *Set) add(ends []quarantine.End, receivedAt, now time.Time) {
	before := make([]quarantine.Verdict, len(ends))
	for i, e := range ends {
		before[i], _ = s.history.Judge(e.Key, now)
	}
	taken := make([]bool, len(ends))
	for i, e := range ends {
		taken[i] = s.history.Add(e, receivedAt)
	}
	for i, e := range ends {
		if !taken[i] {
			continue
		}
		after, remaining := s.history.Judge(e.Key, now)
		fields := []zap.Field{zap.Stringer("key", e.Key), zap.Bool("part", e.Part), zap.Bool("sound-before", e.SoundBefore), zap.Int("counted", s.history.CountedEnds(e.Key)),
			zap.String("endpoint", e.Endpoint), zap.Bool("seen-here", receivedAt.IsZero()), zap.Stringer("sending", e.Knowledge),
			zap.Bool("void", e.Void), zap.Stringer("verdict", after), zap.Duration("held-for", remaining)}
		logLine := s.log.Info
		if after != before[i] {
			logLine = s.log.Warn
		}
		logLine("endpoint ended during a request", fields...)
	}
	if slices.Contains(taken, true) {
		s.heldGauge.Update(int64(s.history.HeldCount(now)))
	}
}

// RecordSuccess records that a request ran to completion, which clears all its subjects.
func (s *Set) RecordSuccess(c Subjects, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range c.Parts {
		s.history.RecordSound(k, now)
	}
	if s.history.Empty() {
		return
	}
	for k := range c.all {
		if s.history.RecordCompletion(k) {
			s.log.Info("request completed although endpoints had ended during it", zap.Stringer("key", k), zap.Bool("part", k != c.Whole()))
			s.notifyPending()
		}
	}
}

// RecordAlive records that an endpoint answered a request that was sent to it at the given time.
func (s *Set) RecordAlive(endpoint string, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Empty() || !s.history.RecordAnswer(endpoint, sentAt) {
		return
	}
	s.log.Info("endpoint is alive although it was recorded as ended", zap.String("endpoint", endpoint))
	s.notifyPending()
}

// KnownAtSend returns what is known of a request that is sent now, as a trial of the given keys.
func (s *Set) KnownAtSend(c Subjects, trialKeys []quarantine.Key, now time.Time) Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Empty() {
		return nil
	}
	known := Known{}
	for k := range c.all {
		if v := s.history.KnowledgeOf(k, now); v != quarantine.NoKnownEnd {
			known[k] = v
		}
	}
	for _, k := range trialKeys {
		known[k] = quarantine.OnTrial
	}
	return known
}

// Judge returns the verdict on a request.
func (s *Set) Judge(c Subjects, now time.Time) (j quarantine.Judgement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Empty() {
		return j
	}
	j = s.history.JudgeRequest(c.all, now)
	if j.Verdict != quarantine.Free {
		metrics.GetOrRegisterCounter("quarantine.judged."+j.Verdict.String(), s.reg).Inc(1)
	}
	return j
}

// Suspected returns the first part of a request that is to be sent to one endpoint only for now, since an
// endpoint ended during an earlier request with it and none has completed; see quarantine.History.
func (s *Set) Suspected(c Subjects, now time.Time) (part quarantine.Key, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Empty() {
		return part, false
	}
	for _, k := range c.Parts {
		if s.history.Suspected(k, now) {
			return k, true
		}
	}
	return part, false
}

// BeginTrial begins a trial of all the given keys, which expires at the time until. It reports whether it
// did: it does not while another trial of one of them is in progress, or if no end of it is known.
func (s *Set) BeginTrial(keys []quarantine.Key, now, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, k := range keys {
		if !s.history.BeginTrial(k, now, until) {
			s.endTrial(keys[:i])
			return false
		}
	}
	return true
}

// EndTrial ends a trial without a result.
func (s *Set) EndTrial(keys []quarantine.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTrial(keys)
}

func (s *Set) endTrial(keys []quarantine.Key) {
	for _, k := range keys {
		s.history.EndTrial(k)
	}
}

// Expire drops expired entries and updates the metric of held requests and parts.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Forget(now)
	s.heldGauge.Update(int64(s.history.HeldCount(now)))
}
