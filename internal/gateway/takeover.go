// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// takeoverPollInterval is how often an attempt that is to take a stream over checks whether the silent
// endpoint sends again.
const takeoverPollInterval = 20 * time.Millisecond

// takeover is the state of a stream whose endpoint is silent while another one is tried. The silent
// attempt is given up only when the other one has produced its first event: a rank that rejects the
// request must not end a stream that the silent one may continue.
type takeover struct{ silent *upstream.Exchange }

// takeOver tries other endpoints for a stream that has begun at e and is silent. It returns true if the
// silent attempt is to be given up: the request has its final answer from another endpoint, or has
// received events from one that failed then. The first retry is already taken.
func (q *request) takeOver(e fleet.Endpoint, x *upstream.Exchange) bool {
	if !q.pinToEndpoint() {
		return false // It is being moved, which ends the read.
	}
	q.noteUnfinished(e)
	q.g.checkEndedLater(e)
	silent := q.attemptState
	for {
		next, ok := q.chooseEndpoint(time.Now())
		if !ok {
			break
		}
		q.takeover = &takeover{silent: x}
		last := q.attempt(next)
		accepted := q.takeover == nil
		q.takeover = nil
		if last == done || accepted {
			q.takenOver = last == done
			return true
		}
		moved := q.consumeMoved() // A move has taken the next retry.
		if x.Arrived() || q.ctx.Err() != nil || q.remaining() <= 0 || !q.mayMoveElsewhere() || !moved && !q.takeRetry(retryTakeover) {
			break
		}
	}
	q.attemptState = silent
	q.note(e.ID + ": kept, no other endpoint has taken the stream over")
	return false
}

// acceptTakeover gives up the silent attempt, if any, because the current one has produced an event or
// its end.
func (q *request) acceptTakeover(e fleet.Endpoint, x *upstream.Exchange) {
	if q.takeover == nil {
		return
	}
	q.takeover.silent.Abort()
	q.takeover = nil
	x.Unwatch()
	q.watchSilence(e, x)
}

// watchTakeover has the current attempt given up when the silent one sends again, or when the current
// one is silent for too long, too, and a third endpoint may be tried.
func (q *request) watchTakeover(e fleet.Endpoint, x *upstream.Exchange) {
	silent := q.takeover.silent
	x.Watch(upstream.SilenceWatch{
		Timeout: func() time.Duration { return takeoverPollInterval },
		Abandon: func(time.Duration) bool {
			mayTryThird := len(q.attempted) < q.route.MaxAttempts
			return silent.Arrived() || mayTryThird && time.Since(q.sentAt) > q.answerTiming(e).BeforeFirst()
		},
		Repeat: true,
	})
}
