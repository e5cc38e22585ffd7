// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"time"
)

// result is the result of one attempt.
type result int

// Results of an attempt.
const (
	done      result = iota // The request has its final answer.
	unreached               // Nothing was sent: the endpoint could not be reached or must not be used any more.
	notRun                  // The endpoint did not run it and will not run it.
	unknown                 // It may have run.
)

// maxUnreached is how many endpoints a request may fail to reach and still be sent to another one.
const maxUnreached = 2

// run sends the request to one endpoint after another until it has its final answer, or until it is
// concluded without one. Before each attempt it checks the caller, the deadline, a planned stop, the
// configuration and the quarantine again.
func (q *request) run() {
	defer func() {
		q.g.mu.Lock()
		defer q.g.mu.Unlock()
		q.returnPermit()
		if q.retryTaken {
			now := q.g.cfg.Now()
			q.g.retryBudget(q.retryService, now).Return(now)
		}
	}()
	last := unreached
	for {
		now := time.Now()
		if q.ctx.Err() != nil {
			q.outcome = callerLeft
			return
		}
		if q.remaining() <= 0 {
			q.concludeUnserved(last, true)
			return
		}
		if !q.mayBegin(now) {
			q.concludeUnserved(last, false)
			return
		}
		if cause, ok := q.revalidate(); !ok {
			q.note(cause)
			q.concludeUnserved(last, false)
			return
		}
		if !q.keyFresh() {
			q.note("configuration too old to verify keys")
			q.configTooOld = true
			q.concludeUnserved(last, false)
			return
		}
		if q.checkQuarantined() {
			q.note(q.quarantineCause)
			q.concludeUnserved(last, false)
			return
		}
		e, ok := q.chooseEndpoint(now)
		if !ok && !q.exclusion.nonEmpty() && (q.groupRejected || q.allGroupsDown) {
			e, ok = q.awaitGroupOpen(now)
		}
		if !ok && q.noCapacity && !q.mayHaveRun && q.fallback == nil {
			e, ok = q.awaitCapacity(now)
		}
		if !ok {
			q.concludeUnserved(last, false)
			return
		}
		if len(q.attempted) > 0 && !q.retryTaken && !q.takeRetry(q.retryCause) {
			q.note("retry budget exhausted")
			q.concludeUnserved(last, false)
			return
		}
		isRetry := len(q.attempted) > 0
		q.retryTaken = false
		q.retryCause = retryFailed
		if last = q.attempt(e); last == done {
			return
		}
		// The second is set by abortSilent; a retry that was not sent is kept for the next endpoint.
		q.retryTaken = q.consumeMoved() || q.retryTaken || last == unreached && isRetry
		if last == unknown {
			q.mayHaveRun = true
			if !q.mayResend() {
				q.concludeUnserved(last, false)
				return
			}
		}
	}
}

// mayResend reports whether a request that may have run may be sent again. If the caller has
// received part of a stream, that requires that the stream can be resumed after that part.
func (q *request) mayResend() bool {
	return q.route.MayRepeat() && (!q.reply.begun() || q.cursor.resumable())
}

// concludeUnserved ends a request for which no further attempt is made. Last is the result of its
// last attempt, and late says that its deadline has passed. It sends nothing if the caller has left
// or the answer has begun. Otherwise it sends the first that applies: the error answer that was
// held back, a failure if the request may have run, or a refusal.
func (q *request) concludeUnserved(last result, late bool) {
	switch {
	case q.ctx.Err() != nil:
		q.outcome = callerLeft
	case q.reply.begun():
		q.outcome = cutStream
	case q.fallback != nil:
		q.sendAnswer(q.fallback.from, q.fallback.resp, q.fallback.body)
	case q.mayHaveRun || last == unknown:
		if late {
			q.fail(http.StatusGatewayTimeout, "deadline exceeded")
			return
		}
		q.fail(http.StatusBadGateway, "no answer that can be relayed")
	case late:
		q.refuse("deadline exceeded before any endpoint ran it", fullRetry)
	default:
		q.refuseNotRun()
	}
}

// refuseNotRun refuses a request that no endpoint has run.
func (q *request) refuseNotRun() {
	if !q.exclusion.nonEmpty() {
		q.exclusion = q.exclusionFromAll() // The endpoint that rejected it last may have been the last one not excluded.
	}
	cause := "not run by any endpoint"
	if q.exclusion.nonEmpty() {
		cause = "all endpoints are backing off or at their rate limits"
	}
	q.refuse(cause, q.retryDelay())
}

// retryDelay returns how long the caller should wait before it retries a request that no endpoint
// has run. If several causes apply, the first in this order counts. For a request excluded by rate
// limits it assigns a retry time, see exclusionRetry, so it is called once for each refusal.
func (q *request) retryDelay() time.Duration {
	switch {
	case q.stopsTooSoon:
		return stopRetry
	case q.quarantinedFor > 0:
		return q.quarantinedFor
	case q.exclusion.nonEmpty():
		return q.exclusionRetry()
	case q.groupRejected || q.allGroupsDown:
		return groupDownRetry
	case q.configTooOld && q.g.isolated():
		return isolatedRetry
	case q.configTooOld:
		return storeOutageRetry
	case q.noCapacity:
		return fullRetry + time.Duration(random(int(fullRetryJitter)))
	}
	if len(q.attempted) > 0 { // Endpoints did not run it, for other causes than these.
		return fullRetry
	}
	return noEndpointRetry
}

// takeRetry takes one retry from the service's budget and counts it. It returns false if there is
// none left.
func (q *request) takeRetry(cause retryCause) bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.retryService = q.service
	return q.g.takeRetry(q.service, cause)
}
