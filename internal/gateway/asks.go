// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/backoff"
	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// applyAnswerHints applies what an answer says about its endpoint apart from its load: what
// gateways may send to the endpoint from now on.
func (q *request) applyAnswerHints(e fleet.Endpoint, status int, a fleet.Answer) {
	if status == http.StatusMisdirectedRequest && a.Endpoint != e.Name() {
		return // Another endpoint now has this address.
	}
	for _, header := range a.InvalidHeaders {
		q.note(e.ID + ": invalid header ignored, " + header)
		q.g.stats.invalidHeaders.Inc(1)
	}
	q.applyLimit(e, a)
	q.applyBackoff(e, a)
}

// incarnationOf identifies the process of an endpoint for which backoffs are kept.
func incarnationOf(e fleet.Endpoint) backoff.Process {
	return backoff.Process{Name: e.Name(), Start: e.StartedAt}
}

// applyBackoff records what an answer says about the endpoint's backoff: that it wants no requests
// for a while, that it no longer asks for that, or that it is leaving and wants none at all any
// more.
func (q *request) applyBackoff(e fleet.Endpoint, a fleet.Answer) {
	g, now := q.g, q.g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Backoff == 0 {
		g.backoffs.RecordAnswer(incarnationOf(e), q.sentBoottime)
	}
	if a.Backoff == 0 && !a.Leaving {
		return
	}
	if a.Backoff > 0 && g.backoffs.Backoff(incarnationOf(e), a.Backoff, now) {
		g.log.Info("endpoint requests backoff", zap.String("endpoint", e.ID), zap.String("request", q.call.ID), zap.Duration("for", a.Backoff))
	}
	if a.Leaving && g.backoffs.MarkLeaving(incarnationOf(e), now) {
		g.log.Info("endpoint announces that it is leaving", zap.String("endpoint", e.ID), zap.String("request", q.call.ID))
	}
	g.stats.setBackoffs(g.backoffs.Counts(now))
}

// usePermit records that the request is being sent, so that the charge to the endpoint's rate limit
// is not returned any more. It counts the request if the endpoint has announced a rate limit, has
// requested backoff or is leaving.
func (q *request) usePermit(e fleet.Endpoint) {
	g, now := q.g, q.g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q.permitEndpoint = ""
	if _, _, limited := g.limits.Limited(e.ID); limited {
		g.stats.sentToLimited.Inc(1)
	}
	if _, backingOff := g.backoffs.BackingOff(incarnationOf(e), now); backingOff {
		g.stats.sentToBackingOff.Inc(1)
	}
	if g.backoffs.Leaving(incarnationOf(e)) {
		g.stats.sentToLeaving.Inc(1)
	}
	g.backoffs.RecordSent(incarnationOf(e), now)
}

// isLeaving reports whether an endpoint must not be sent new requests, by its entry or its answers.
func (g *Gateway) isLeaving(e fleet.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.Leaving || g.backoffs.Leaving(incarnationOf(e))
}

// isBackingOff reports whether an endpoint has requested backoff from this gateway.
func (g *Gateway) isBackingOff(e fleet.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, backingOff := g.backoffs.BackingOff(incarnationOf(e), g.cfg.Now())
	return backingOff
}

// exclusion is what excludes endpoints that the request could otherwise be sent to: each is backing
// off or at its rate limit.
type exclusion struct {
	rate      float64       // Requests per second that the limits allow all gateways; 0 if none is limited.
	localRate float64       // Requests per second that the shares of these limits held here allow.
	backoff   time.Duration // Until the first backoff ends; 0 if none is backing off.
}

func (b exclusion) nonEmpty() bool { return b.rate > 0 || b.backoff > 0 }

// addIfExcluded reports whether an endpoint is excluded now by its backoff or rate limit, and adds
// the cause to total. For a rate limit it also signals that shares of limits are wanted from other
// gateways. The caller holds mu.
func (g *Gateway) addIfExcluded(total *exclusion, e fleet.Endpoint, now time.Time) bool {
	if remaining, backingOff := g.backoffs.BackingOff(incarnationOf(e), now); backingOff {
		if total.backoff == 0 || remaining < total.backoff {
			total.backoff = remaining
		}
		return true
	}
	if g.limits.MaySend(e.ID, now) {
		return false
	}
	perSecond, _, _ := g.limits.Limited(e.ID)
	total.rate += throttle.TotalRate(perSecond)
	total.localRate += g.limits.AvailableRate(e.ID, now)
	g.signalSharesWanted()
	return true
}

// exclusionFromAll returns what excludes all endpoints of the service, including those that the
// request was sent to already. It is empty if any endpoint may be sent a request now.
func (q *request) exclusionFromAll() (b exclusion) {
	s, now := q.g.view.State(), q.g.cfg.Now()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	for _, e := range s.ByService[q.service] {
		if q.g.acceptsNew(s, e) && !q.g.addIfExcluded(&b, e, now) {
			return exclusion{}
		}
	}
	return b
}

// exclusionRetry returns how long it is until one of the endpoints that are excluded could be sent
// the request: until the first backoff ends or the rate limits allow it, whichever is sooner. A
// request excluded by rate limits is counted as throttled, and a retry time is assigned to it.
func (q *request) exclusionRetry() (after time.Duration) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	after = q.exclusion.backoff
	if q.exclusion.rate > 0 {
		q.g.stats.throttled.Inc(1)
		if limitRetry := q.assignThrottledRetry(q.exclusion); after == 0 || limitRetry < after {
			after = limitRetry
		}
	}
	return after
}
