// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/hold"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// groupOpenPoll is the interval between checks whether a group of ranks has opened: ranks report
// ten times a second.
const groupOpenPoll = 25 * time.Millisecond

// awaitConfig waits for the first configuration, but no longer than is useful before the caller is
// asked to retry. It returns the state of the view, which may have no configuration.
func (q *request) awaitConfig() *follow.State {
	callerTimeout := defaultCallerTimeout
	if q.call.HasCallerTimeout {
		callerTimeout = q.call.CallerTimeout
	}
	timer := time.NewTimer(time.Until(hold.UntilConfig(q.arrived, callerTimeout)))
	defer timer.Stop()
	for {
		updated := q.g.view.Updated()
		if s := q.g.view.State(); s.Config != nil {
			return s
		}
		select {
		case <-updated:
		case <-timer.C:
			return q.g.view.State()
		case <-q.ctx.Done():
			return q.g.view.State()
		case <-q.g.processCtx.Done():
			return q.g.view.State()
		}
	}
}

// awaitGroupOpen waits for a group of ranks to open while all are closed. It waits only for a
// caller that would not retry, and would still be connected when a group is expected to open: that
// caller is served late, or not at all. It does not wait if no further attempt is allowed, or if an
// error answer is held back that can be sent instead. It reports whether an endpoint is available
// now.
func (q *request) awaitGroupOpen(now time.Time) (e fleet.Endpoint, ok bool) {
	if !q.wontReturn() || !q.mayAttemptMore() || q.fallback != nil {
		return e, false
	}
	until := q.holdUntil(max(q.turnover.FirstEvent, q.route.TargetLatency/2))
	if q.allGroupsDown && q.groupOpensAt.After(until) {
		return e, false // The caller would have left by then.
	}
	q.g.stats.heldForGroup.Inc(1)
	for now.Before(until) && q.ctx.Err() == nil && q.g.processCtx.Err() == nil && q.mayBegin(now) {
		wait.For(q.ctx, min(groupOpenPoll, until.Sub(now)))
		now = time.Now()
		q.waited = now.Sub(q.arrived)
		q.clearGroupRejection(now)
		if e, ok = q.chooseEndpoint(now); ok && q.endpointOpen(e, now) {
			return e, true
		}
	}
	return e, false
}

// wontReturn reports whether the caller is taken not to retry if it were refused: it has, or may
// have, been refused before, or it has received a part of its answer.
func (q *request) wontReturn() bool { return q.reply.begun() || q.refusedBefore || q.maybeRefused }

// holdUntil returns until when a caller that would not retry can be kept waiting, if a first event
// takes the given time. It is no later than the request's deadline.
func (q *request) holdUntil(firstEventTime time.Duration) time.Time {
	until := hold.UntilGroupOpen(q.lastOutputAt(), q.callerLeavesAfter(), firstEventTime)
	if until.After(q.deadline) {
		return q.deadline
	}
	return until
}

// lastOutputAt returns when the last event was sent to the caller, or when the request arrived if
// none was.
func (q *request) lastOutputAt() time.Time {
	if q.lastEventAt.After(q.arrived) {
		return q.lastEventAt
	}
	return q.arrived
}

// clearGroupRejection clears the rejection by a group once the group has reported, after it
// rejected the request, that it is open.
func (q *request) clearGroupRejection(now time.Time) {
	if !q.groupRejected {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.groupRejected = !q.g.table.OpenSince(q.rejectingGroup, q.groupRejectedAt, now)
}

// endpointOpen reports whether an endpoint is known to be open now.
func (q *request) endpointOpen(e fleet.Endpoint, now time.Time) bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.g.table.Open(e.ID, now)
}
