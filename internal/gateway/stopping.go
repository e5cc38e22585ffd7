// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/duty"
)

// stopTimeLeft returns the time until a planned stop ends. It returns false if none has begun, or if it
// has no limit.
func (g *Gateway) stopTimeLeft(now time.Time) (left time.Duration, stopping bool) {
	began := g.stopBegan.Load()
	if began == nil || g.cfg.GracePeriod <= 0 {
		return 0, false
	}
	return g.cfg.GracePeriod - now.Sub(*began), true
}

// recordAnswerTime records how long a complete answer of a route took since the request was sent.
func (g *Gateway) recordAnswerTime(route string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.answerTimes[route]
	if t == nil {
		estimated := estimate.New(responseTimeWeight)
		t = &estimated
		g.answerTimes[route] = t
	}
	t.Add(took)
}

// endsBeforeStop reports whether a request of a route can be expected to end before the process does, if
// it is sent now. Remaining is the time to its deadline, and elapsed the time since its answer began. It
// goes by the time that nearly all answers of the route take; without any so far, by the time that is left
// once requests are refused. The caller holds mu.
func (g *Gateway) endsBeforeStop(route string, elapsed, remaining time.Duration, now time.Time) bool {
	left, stopping := g.stopTimeLeft(now)
	if !stopping {
		return true
	}
	expected := max(g.cfg.GracePeriod-stopAcceptTime, 0)
	if t := g.answerTimes[route]; t != nil {
		expected = t.UpperBound()
	}
	return min(expected-elapsed, remaining) <= left
}

// mayBegin reports whether another attempt of the request can be expected to end before the process does.
// Otherwise the caller should go elsewhere at once: an attempt that the process ends leaves it without an
// answer, and not knowing whether the request ran.
func (q *request) mayBegin(now time.Time) (ok bool) {
	if _, stopping := q.g.stopTimeLeft(now); !stopping {
		return true
	}
	elapsed := time.Duration(0)
	if q.reply.begun() {
		elapsed = now.Sub(q.firstByteAt)
	}
	remaining := q.remaining()
	duty.Locked(&q.g.mu, func() { ok = q.g.endsBeforeStop(q.route.Name, elapsed, remaining, now) })
	if !ok && !q.stopsTooSoon {
		q.stopsTooSoon = true
		q.closeAfterAnswer()
		q.note("instance stops before the request can be expected to end")
	}
	return ok
}
