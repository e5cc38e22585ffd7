// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// armLeader sends the leader's own rank the order to arm it, on the leader's behalf, and records what
// is then known of the arming. It sends nothing if the request has arrived late, or if this sidecar's
// own engine does not accept the order's fence.
func (s *Sidecar) armLeader(ctx context.Context, engine string, o rank.Order) (a orderResponse) {
	s.armMu.Lock()
	defer s.armMu.Unlock()
	var isNew bool
	duty.Locked(&s.mu, func() { isNew = s.ownArming.IsNewFence(o.Fence) })
	if isNew {
		if a = s.executeOrder(ctx, cutover.FenceOrder(o.Fence, o.Epoch)); a.Result != rank.Done {
			s.log.Info("leader not armed: own engine did not accept the fence", zap.Uint64("fence", o.Fence), zap.String("result", string(a.Result)), zap.String("error", a.Error))
			return a
		}
	}
	var previous cutover.OwnArming
	var ok bool
	duty.Locked(&s.mu, func() { previous, ok = s.ownArming.Begin(o) })
	if !ok {
		s.log.Info("leader not armed: request of an earlier switch or leader", zap.Uint64("fence", o.Fence), zap.Uint64("version", o.Version), zap.Uint64("step", o.Step))
		return orderResponse{Result: rank.Fenced}
	}
	result, err := s.orderEngineDirectly(ctx, engine, o)
	if a.Result, a.Error = result, ""; err != nil {
		a.Error = err.Error()
	}
	duty.Locked(&s.mu, func() { s.ownArming.End(previous, result) })
	s.log.Info("order sent on behalf of the leader", zap.String("op", string(o.Op)), zap.Uint64("version", o.Version), zap.Uint64("step", o.Step), zap.String("result", string(result)), zap.String("error", a.Error))
	return a
}

// fenceAbsent returns what is known about the former leader if its rank is the only one that does not
// answer; otherwise NoAbsence. Only the former leader's holder knows of its arming. The holder also
// rejects armings of it with a lower fence from now on.
func (l *leader) fenceAbsent(own rank.Report) cutover.Absence {
	if l.absent == cutover.NoRank {
		return cutover.NoAbsence
	}
	if own.Rank != cutover.Holder(l.absent) {
		return cutover.Absence{Rank: l.absent}
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return l.s.ownArming.TakeOver(l.absent, own.Epoch, l.fence)
}
