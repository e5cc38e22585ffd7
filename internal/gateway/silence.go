// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/silence"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// deadlineShare is the part of a request's time after which the caller of an answer in
// one piece counts as leaving: it waits until its deadline, and another try needs the
// rest.
const deadlineShare = 0.9

// watch has a try given up whose answer is silent for too long, if the request can go
// on elsewhere. Without a target nothing says what is too long.
func (q *request) watch(e fleet.Endpoint, x *upstream.Exchange) {
	if q.route.TargetLatency <= 0 || !q.route.MayRepeat() || len(q.tried) >= q.route.MaxAttempts {
		return
	}
	x.Watch(upstream.SilenceWatch{
		Timeout: func() time.Duration { return q.eventDue(e, x) },
		Abandon: func(silent time.Duration) bool { return q.giveUpSilent(e, silent) },
	})
}

// eventDue returns for how long from now an answer may be silent.
func (q *request) eventDue(e fleet.Endpoint, x *upstream.Exchange) time.Duration {
	a := q.answerOf(e)
	if x.Progress() == upstream.Answered && q.lastRun.events > 0 {
		return a.MidStream()
	}
	return max(a.BeforeFirst()-time.Since(q.sentAt), 0)
}

// leavesAfter is after how long without a word the caller leaves.
func (q *request) leavesAfter() time.Duration {
	if q.route.SilenceTimeout > 0 {
		return q.route.SilenceTimeout
	}
	return time.Duration(deadlineShare * float64(q.final.Sub(q.arrived)))
}

// answerOf returns what is known of the answer of the try under way.
func (q *request) answerOf(e fleet.Endpoint) silence.Answer {
	a := silence.Answer{Target: q.route.TargetLatency, CallerTimeout: q.leavesAfter()}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	a.FirstEvent, a.PassTime = q.g.passes.TypicalTimes(e.ID)
	if took := q.g.took[q.service]; took != nil && a.FirstEvent == 0 {
		a.FirstEvent = took.UpperBound()
	}
	return a
}

// giveUpSilent reports whether the request goes on elsewhere since the answer of an
// endpoint is silent, and takes the repeat for it.
func (q *request) giveUpSilent(e fleet.Endpoint, silent time.Duration) bool {
	if q.ctx.Err() != nil || !q.mayGoOn() || !q.mayMove() || !q.takeRepeat() {
		return false
	}
	q.paid = true
	q.g.figures.silent.Inc(1)
	q.bad(e, 1, fmt.Sprintf("silent for %d ms", silent.Milliseconds()))
	return true
}

// mayMove reports whether the try under way could go on at another endpoint. It has its
// place among what is under way and needs no new room: a full group kept such requests at
// a rank whose instance was frozen until their callers left, and it took them as it woke.
func (q *request) mayMove() bool {
	if !q.staysAllowed(q.reply.begun()) {
		return false
	}
	before := q.mayRun
	q.mayRun = true // Of the try under way; whether it was turned away is not known yet.
	defer func() { q.mayRun = before }()
	return q.mayAskAnother()
}

// noteTook takes in how long an answer in one piece took.
func (q *request) noteTook(now time.Time) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.tookOf(q.service).Add(now.Sub(q.sentAt))
}
