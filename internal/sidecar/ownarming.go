// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// armingState is what this sidecar knows about the arming of its leader's own rank, which it does
// on the leader's behalf: if the leader's instance freezes while a hold is set, this sidecar is the
// next leader and can determine how the switch ends.
type armingState struct {
	epoch     uint64
	requested rank.Arming // The newest requested arming; zero if there is none.
	uncertain bool        // Whether it was executed is unknown: the answer is outstanding or was lost.
	minFence  uint64      // Armings with a lower fence are rejected.
}

// minCertainUptime is how long this process must have run, when the leader was last heard from, to
// be certain that it knows of every arming under a hold that is still set. The hold of an earlier
// arming is released by then: a leader reverts within switchTimeout what is not complete.
const minCertainUptime = 2 * time.Second

// armLeader sends the leader's own rank the order to arm it, on the leader's behalf, and records what
// is then known of the arming. It sends nothing if the order's fence is too low.
func (s *Sidecar) armLeader(ctx context.Context, engine string, o rank.Order) (a orderResponse) {
	arming := rank.Arming{Version: o.Version, Step: o.Step}
	before, ok := s.recordArming(o, arming)
	if !ok {
		return orderResponse{Result: rank.Fenced}
	}
	result, err := s.orderEngineDirectly(ctx, engine, o)
	if a.Result = result; err != nil {
		a.Error = err.Error()
	}
	s.log.Info("order sent on behalf of the leader", zap.String("op", string(o.Op)), zap.Uint64("version", o.Version), zap.Uint64("step", o.Step), zap.String("result", string(result)), zap.String("error", a.Error))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case result == rank.Done:
		s.leaderArming.uncertain = false
	case result != rank.Lost && (before.requested != arming || !before.uncertain):
		s.leaderArming.requested, s.leaderArming.uncertain = rank.Arming{}, false // Rejected, and no earlier attempt can still be executed.
	}
	return a
}

// recordArming records that the leader's own rank is about to be armed, and returns the state
// before. If the order's fence is too low, it records nothing and ok is false.
func (s *Sidecar) recordArming(o rank.Order, arming rank.Arming) (before armingState, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Fence < s.leaderArming.minFence {
		return before, false
	}
	before = s.leaderArming
	s.leaderArming.epoch, s.leaderArming.requested, s.leaderArming.uncertain = o.Epoch, arming, true
	return before, true
}

// fenceAbsent returns what is known about the former leader if its rank is the only one that does not
// answer; otherwise NoAbsence. Only the former leader's holder knows of its arming. The holder also
// rejects armings of it with a lower fence from now on.
func (l *leader) fenceAbsent(own rank.Report) cutover.Absence {
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
	s.leaderArming.minFence = l.fence
	a.ArmingKnown = s.started.Add(minCertainUptime).Before(s.lead.activeAt)
	if s.leaderArming.epoch == own.Epoch {
		a.Armed = s.leaderArming.requested
		a.ArmingKnown = a.ArmingKnown && !s.leaderArming.uncertain
	}
	return a
}
