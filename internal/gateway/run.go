// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// result says what became of one try.
type result int

// The results.
const (
	over      result = iota // The request has its final answer.
	unreached               // The endpoint could not be reached: nothing was sent.
	notRun                  // The endpoint did not run it and never will.
	unknown                 // It may have run.
)

// maxUnreached bounds the endpoints that are tried in vain before anything is
// sent.
const maxUnreached = 2

// run tries endpoints until the request has its final answer.
func (q *request) run() {
	defer func() {
		q.g.mu.Lock()
		defer q.g.mu.Unlock()
		q.returnPermit()
	}()
	last := unreached
	for {
		now := time.Now()
		if q.ctx.Err() != nil {
			q.outcome = left
			return
		}
		if q.left() <= 0 {
			q.giveUp(last, true)
			return
		}
		if cause, ok := q.recheck(); !ok {
			q.note(cause)
			q.giveUp(last, false)
			return
		}
		if !q.keyFresh() {
			q.note("configuration too old for keys")
			q.tooOld = true
			q.giveUp(last, false)
			return
		}
		if q.quarantined() {
			q.note("endpoints ended under it")
			q.giveUp(last, false)
			return
		}
		e, ok := q.choose(now)
		if !ok && !q.barred.any() && (q.groupDown || q.allDown) {
			e, ok = q.awaitOpen(now)
		}
		if !ok && q.full && !q.mayRun && q.kept == nil {
			e, ok = q.await(now)
		}
		if !ok {
			q.giveUp(last, false)
			return
		}
		if len(q.tried) > 0 && !q.paid && !q.takeRepeat() {
			q.note("repeats used up")
			q.giveUp(last, false)
			return
		}
		q.paid = false
		if last = q.try(e); last == over {
			return
		}
		q.paid = q.takeMoved() || q.paid
		if last == unknown {
			q.mayRun = true
			if !q.mayGoOn() {
				q.giveUp(last, false)
				return
			}
		}
	}
}

// mayGoOn reports whether a request that may have run may be sent again: a stream of
// which the caller has a part only to where it can go on after that.
func (q *request) mayGoOn() bool {
	return q.route.MayRepeat() && (!q.reply.begun() || q.cursor.resumable())
}

// giveUp gives the final answer of a request that nothing more is tried for.
func (q *request) giveUp(last result, late bool) {
	switch {
	case q.ctx.Err() != nil:
		q.outcome = left
	case q.reply.begun():
		q.outcome = cutStream
	case q.kept != nil:
		q.passOn(q.kept.from, q.kept.resp, q.kept.body)
	case q.mayRun || last == unknown:
		if late {
			q.fail(http.StatusGatewayTimeout, "time over")
			return
		}
		q.fail(http.StatusBadGateway, "no answer that can be passed on")
	case late:
		q.refuse("time over before anything ran", fullRetry)
	default:
		q.refuseNotRun()
	}
}

// refuseNotRun refuses a request that no endpoint could be found for.
func (q *request) refuseNotRun() {
	if !q.barred.any() {
		q.barred = q.barredFromAll() // The last endpoint that turned it away may have been the last to ask.
	}
	cause := "not run"
	if q.barred.any() {
		cause = "all endpoints have asked for rest, or are at the rate limits that they name"
	}
	q.refuse(cause, q.comeBack())
}

// comeBack says when a request that has not run should be tried again.
func (q *request) comeBack() time.Duration {
	switch {
	case q.heldFor > 0:
		return q.heldFor
	case q.barred.any():
		return q.barredRetry()
	case q.groupDown || q.allDown:
		return groupRetry
	case q.tooOld && q.g.alone():
		return aloneRetry
	case q.tooOld:
		return outageRetry
	case q.full:
		return fullRetry + time.Duration(random(int(fullSpread)))
	}
	if len(q.tried) > 0 {
		return fullRetry
	}
	return emptyRetry
}

// takeRepeat spends one repeat of the service's budget.
func (q *request) takeRepeat() bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if !q.g.window(q.service).Take(q.g.cfg.Now(), rand.Float64) {
		return false
	}
	q.g.figures.repeats.Inc(1)
	return true
}
