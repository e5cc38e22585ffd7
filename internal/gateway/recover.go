// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/hold"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// openPoll is the time between two looks whether a group of ranks has opened: ranks tell
// of themselves ten times a second.
const openPoll = 25 * time.Millisecond

// awaitConfig returns the state of the view as soon as there is a configuration, or when
// the caller is better told to come back.
func (q *request) awaitConfig() *follow.State {
	patience := defaultPatience
	if q.call.HasCallerTimeout {
		patience = q.call.CallerTimeout
	}
	timer := time.NewTimer(time.Until(hold.UntilConfig(q.arrived, patience)))
	defer timer.Stop()
	for {
		moved := q.g.view.Updated()
		if s := q.g.view.State(); s.Config != nil {
			return s
		}
		select {
		case <-moved:
		case <-timer.C:
			return q.g.view.State()
		case <-q.ctx.Done():
			return q.g.view.State()
		case <-q.g.ended.Done():
			return q.g.view.State()
		}
	}
}

// awaitOpen waits for a group of ranks to open, while all are down, for a caller who
// would not come again and who is there by the time at which that is expected: it is
// served late, or not at all. It reports whether there is an endpoint now.
func (q *request) awaitOpen(now time.Time) (e fleet.Endpoint, ok bool) {
	if !q.lastTry() || !q.mayTryOn() || q.kept != nil {
		return e, false
	}
	until := q.keptUntil(max(q.turnover.FirstEvent, q.route.TargetLatency/2))
	if q.allDown && q.opens.After(until) {
		return e, false // It would wait in vain.
	}
	q.g.figures.held.Inc(1)
	for now.Before(until) && q.ctx.Err() == nil && q.g.ended.Err() == nil {
		wait.For(q.ctx, min(openPoll, until.Sub(now)))
		now = time.Now()
		q.waited = now.Sub(q.arrived)
		q.forgetDown(now)
		if e, ok = q.choose(now); ok && q.open(e, now) {
			return e, true
		}
	}
	return e, false
}

// lastTry reports whether the caller would not come again if it were refused: it has
// come before, or has a part of its answer.
func (q *request) lastTry() bool { return q.reply.begun() || q.again || q.mayHaveTried }

// keptUntil is until when a caller who would not come again can be kept, where a first event
// takes so long.
func (q *request) keptUntil(first time.Duration) time.Time {
	until := hold.UntilGroupOpen(q.heardLast(), q.leavesAfter(), first)
	if until.After(q.final) {
		return q.final
	}
	return until
}

// heardLast is when the caller last heard something.
func (q *request) heardLast() time.Time {
	if q.lastAt.After(q.arrived) {
		return q.lastAt
	}
	return q.arrived
}

// forgetDown forgets that a group turned the request away, once the group says that it
// is open.
func (q *request) forgetDown(now time.Time) {
	if !q.groupDown {
		return
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.groupDown = !q.g.table.OpenSince(q.downGroup, q.downAt, now)
}

// open reports whether an endpoint is known to serve now.
func (q *request) open(e fleet.Endpoint, now time.Time) bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.g.table.Open(e.ID, now)
}
