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

// hearAnswer takes in what an answer says of its endpoint besides its load: what gateways
// are to send it from now on.
func (q *request) hearAnswer(e fleet.Endpoint, status int, a fleet.Answer) {
	if status == http.StatusMisdirectedRequest && a.Endpoint != e.Name() {
		return // Another endpoint has this one's address.
	}
	for _, header := range a.InvalidHeaders {
		q.note(e.ID + ": header left out, " + header)
		q.g.figures.invalid.Inc(1)
	}
	q.hearLimit(e, a)
	q.hearBackoff(e, a)
}

// life names the life of an endpoint as its wishes are kept.
func life(e fleet.Endpoint) backoff.Process {
	return backoff.Process{Name: e.Name(), Start: e.StartedAt}
}

// hearBackoff takes in that an endpoint wants nothing for a while, or nothing more at all.
func (q *request) hearBackoff(e fleet.Endpoint, a fleet.Answer) {
	g, now := q.g, q.g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Backoff == 0 {
		g.backoffs.RecordAnswer(life(e), q.wentAt)
	}
	if a.Backoff == 0 && !a.Leaving {
		return
	}
	if a.Backoff > 0 && g.backoffs.Backoff(life(e), a.Backoff, now) {
		g.log.Info("endpoint asks for rest", zap.String("endpoint", e.ID), zap.String("request", q.call.ID), zap.Duration("for", a.Backoff))
	}
	if a.Leaving && g.backoffs.MarkLeaving(life(e), now) {
		g.log.Info("endpoint says that it leaves", zap.String("endpoint", e.ID), zap.String("request", q.call.ID))
	}
	g.figures.countBackoffs(g.backoffs.Counts(now))
}

// usePermit notes that the request is sent now, and counts it if its endpoint has asked for
// less.
func (q *request) usePermit(e fleet.Endpoint) {
	g, now := q.g, q.g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q.permit = ""
	if _, _, limited := g.limits.Limited(e.ID); limited {
		g.figures.toLimited.Inc(1)
	}
	if _, resting := g.backoffs.BackingOff(life(e), now); resting {
		g.figures.toResting.Inc(1)
	}
	if g.backoffs.Leaving(life(e)) {
		g.figures.toLeaving.Inc(1)
	}
	g.backoffs.RecordSent(life(e), now)
}

// leaves reports whether an endpoint is to get nothing new, by its entry or by its answers.
func (g *Gateway) leaves(e fleet.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.Leaving || g.backoffs.Leaving(life(e))
}

// rests reports whether an endpoint has asked this gateway for rest.
func (g *Gateway) rests(e fleet.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, resting := g.backoffs.BackingOff(life(e), g.cfg.Now())
	return resting
}

// barred is what keeps a request from endpoints that it could be sent to: each rests or is at
// its rate limit.
type barred struct {
	rate float64       // Requests a second that the limits leave to all gateways; 0 where none is limited.
	held float64       // Requests a second that the parts of these limits allow that are here.
	rest time.Duration // Until the first rest ends; 0 where none rests.
}

func (b barred) any() bool { return b.rate > 0 || b.rest > 0 }

// bars reports whether what an endpoint asks for keeps requests from it now, and adds that to
// b. The caller holds mu.
func (g *Gateway) bars(b *barred, e fleet.Endpoint, now time.Time) bool {
	if left, resting := g.backoffs.BackingOff(life(e), now); resting {
		if b.rest == 0 || left < b.rest {
			b.rest = left
		}
		return true
	}
	if g.limits.MaySend(e.ID, now) {
		return false
	}
	perSecond, _, _ := g.limits.Limited(e.ID)
	b.rate += throttle.TotalRate(perSecond)
	b.held += g.limits.AvailableRate(e.ID, now)
	g.wantParts()
	return true
}

// barredFromAll returns what keeps requests from all endpoints of the service, also from those
// that the request was sent to already; none where any of them may get one now.
func (q *request) barredFromAll() (b barred) {
	s, now := q.g.view.State(), q.g.cfg.Now()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	for _, e := range s.ByService[q.service] {
		if q.g.staysIn(s, e) && !q.g.bars(&b, e, now) {
			return barred{}
		}
	}
	return b
}

// barredRetry returns when the request could be sent to an endpoint.
func (q *request) barredRetry() (after time.Duration) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	after = q.barred.rest
	if q.barred.rate > 0 {
		q.g.figures.throttled.Inc(1)
		if room := q.throttledRetry(q.barred); after == 0 || room < after {
			after = room
		}
	}
	return after
}
