// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// ownArming is what this sidecar knows of the arming of its leader's own rank,
// which it does for the leader: should the leader's instance freeze with a hold
// standing, the next leader, which is this one, can say how the switch ends.
type ownArming struct {
	epoch  uint64
	armed  rank.Arming // The newest that was asked for; zero before.
	lost   bool        // It is not known whether it was done: an answer is awaited or was lost.
	closed uint64      // Fence below which nothing more is armed.
}

// sureAfter is how long this process must have run, when the leader was last
// heard, to be sure that it knows of every arming under a hold that still stands:
// a leader takes back what is not done within armLimit.
const sureAfter = 2 * time.Second

// armFor arms the leader's own rank, on its behalf.
func (s *Sidecar) armFor(ctx context.Context, engine string, o rank.Order) (a answer) {
	arming := rank.Arming{Version: o.Version, Step: o.Step}
	before, ok := s.beginArming(o, arming)
	if !ok {
		return answer{Result: rank.Fenced}
	}
	result, err := s.orderStraight(ctx, engine, o)
	if a.Result = result; err != nil {
		a.Error = err.Error()
	}
	s.log.Info("order for the leader", zap.String("op", string(o.Op)), zap.Uint64("version", o.Version), zap.Uint64("step", o.Step), zap.String("result", string(result)), zap.String("error", a.Error))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case result == rank.Done:
		s.own.lost = false
	case result != rank.Lost && (before.armed != arming || !before.lost):
		s.own.armed, s.own.lost = rank.Arming{}, false // Refused, and no earlier try may still be carried out.
	}
	return a
}

// beginArming notes that the leader's own rank is about to be armed, and returns what was known
// before; ok is false below the fence.
func (s *Sidecar) beginArming(o rank.Order, arming rank.Arming) (before ownArming, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Fence < s.own.closed {
		return before, false
	}
	before = s.own
	s.own.epoch, s.own.armed, s.own.lost = o.Epoch, arming, true
	return before, true
}

// absence says what is known of the leader before, whose rank alone does not
// answer, and arms nothing more for it.
func (l *leader) absence(own rank.Report) cutover.Absence {
	if l.absent == cutover.NoRank {
		return cutover.NoAbsence
	}
	a := cutover.Absence{Rank: l.absent}
	if own.Rank != cutover.Holder(l.absent) {
		return a
	}
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.closed = l.fence
	a.ArmingKnown = s.started.Add(sureAfter).Before(s.lead.ledAt)
	if s.own.epoch == own.Epoch {
		a.Armed = s.own.armed
		a.ArmingKnown = a.ArmingKnown && !s.own.lost
	}
	return a
}
