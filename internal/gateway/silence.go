// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/eventtimeout"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// deadlineShare is the portion of a request's time after which the caller counts as leaving if the
// answer is not a stream: the caller waits until its deadline, and another attempt needs the rest
// of the time.
const deadlineShare = 0.9

// watchSilence has an attempt aborted if its answer is silent for too long and the request can be
// continued elsewhere. Without a target latency there is no measure of too long.
func (q *request) watchSilence(e fleet.Endpoint, x *upstream.Exchange) {
	if q.takeover != nil {
		q.watchTakeover(e, x)
		return
	}
	if q.route.TargetLatency <= 0 || !q.route.MayRepeat() || len(q.attempted) >= q.route.MaxAttempts {
		return
	}
	x.Watch(upstream.SilenceWatch{
		Timeout: func() time.Duration { return q.silenceLimit(e, x) },
		Abandon: func(silent time.Duration) bool { return q.abortSilent(e, x, silent) },
	})
}

// silenceLimit returns for how long from now the answer may be silent. Until the first event, that
// is what is left of a time that began when the request was sent.
func (q *request) silenceLimit(e fleet.Endpoint, x *upstream.Exchange) time.Duration {
	a := q.answerTiming(e)
	if x.Progress() == upstream.Answered && q.lastResponse.events > 0 {
		return a.MidStream()
	}
	return max(a.BeforeFirst()-time.Since(q.sentAt), 0)
}

// callerLeavesAfter returns how long the caller waits without receiving anything: the published
// time, or deadlineShare of the request's time if none is published.
func (q *request) callerLeavesAfter() time.Duration {
	if q.route.SilenceTimeout > 0 {
		return q.route.SilenceTimeout
	}
	return time.Duration(deadlineShare * float64(q.deadline.Sub(q.arrived)))
}

// answerTiming returns what is known of the timing of the current attempt's answer.
func (q *request) answerTiming(e fleet.Endpoint) eventtimeout.Answer {
	a := eventtimeout.Answer{Target: q.route.TargetLatency, CallerTimeout: q.callerLeavesAfter()}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	a.FirstEvent, a.PassTime = q.g.passes.TypicalTimes(e.ID)
	if took := q.g.responseTimes[q.service]; took != nil && a.FirstEvent == 0 {
		a.FirstEvent = took.UpperBound()
	}
	return a
}

// abortSilent decides whether the attempt is aborted because its answer is silent, so that the
// request continues elsewhere. If so, it takes the retry for that and records a failure of the
// endpoint. A stream that has begun is continued elsewhere first, see takeOver.
func (q *request) abortSilent(e fleet.Endpoint, x *upstream.Exchange, silent time.Duration) bool {
	if q.ctx.Err() != nil || !q.mayResend() || !q.mayMoveElsewhere() || !q.takeRetry(retrySilent) {
		return false
	}
	q.g.stats.silentAttempts.Inc(1)
	q.recordFailure(e, 1, fmt.Sprintf("silent for %d ms", silent.Milliseconds()))
	if q.reply.begun() {
		return q.takeOver(e, x)
	}
	q.retryTaken = true
	return true
}

// mayMoveElsewhere reports whether the current attempt could be continued at another endpoint. The
// request already counts as in flight and needs no additional capacity: otherwise a full group
// keeps such requests at a rank on a frozen instance until their callers leave, and the rank still
// accepts them when it resumes.
func (q *request) mayMoveElsewhere() bool {
	if !q.stillAllowed(q.reply.begun()) {
		return false
	}
	previous := q.mayHaveRun
	q.mayHaveRun = true // Assumed of the current attempt; whether it was rejected is not known yet.
	defer func() { q.mayHaveRun = previous }()
	return q.mayTryAnother()
}

// recordResponseTime records the duration of an answer that is not a stream.
func (q *request) recordResponseTime(now time.Time) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.responseEstimator(q.service).Add(now.Sub(q.sentAt))
}
