// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// hearAnswer takes in what an answer says of its endpoint besides its load: what gateways
// are to send it from now on.
func (q *request) hearAnswer(e fleet.Endpoint, status int, a fleet.Answer) {
	if status == http.StatusMisdirectedRequest && a.Endpoint != e.Name() {
		return // Another endpoint has this one's address.
	}
	for _, header := range a.Invalid {
		q.note(e.ID + ": header left out, " + header)
		q.g.figures.invalid.Inc(1)
	}
	q.hearLimit(e, a)
	q.hearBackoff(e, a)
}

// hearBackoff takes in that an endpoint wants nothing for a while, or nothing more at all.
func (q *request) hearBackoff(e fleet.Endpoint, a fleet.Answer) {
	if a.Rest == 0 && !a.Leaving {
		return
	}
	g, now := q.g, q.g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Rest > 0 && g.backoffs.Rest(e.ID, a.Rest, now) {
		g.log.Info("endpoint asks for rest", zap.String("endpoint", e.ID), zap.String("request", q.call.ID), zap.Duration("for", a.Rest))
	}
	if a.Leaving && g.backoffs.Leave(e.ID) {
		g.log.Info("endpoint says that it leaves", zap.String("endpoint", e.ID), zap.String("request", q.call.ID))
	}
	g.figures.countBackoffs(g.backoffs.Counts(now))
}

// countSend counts a request that is sent to an endpoint which has asked for less. The caller
// holds mu.
func (q *request) countSend(id string) {
	if _, _, limited := q.g.limits.Limited(id); limited {
		q.g.figures.toLimited.Inc(1)
	}
	if _, resting := q.g.backoffs.Resting(id, q.g.cfg.Now()); resting {
		q.g.figures.toResting.Inc(1)
	}
	if q.g.backoffs.Leaving(id) {
		q.g.figures.toLeaving.Inc(1)
	}
}
