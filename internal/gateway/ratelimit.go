// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// hearAnswer takes in what an answer says of its endpoint.
func (q *request) hearAnswer(e fleet.Endpoint, status int, a fleet.Answer) {
	if status == http.StatusMisdirectedRequest && a.Endpoint != e.Name() {
		return // Another endpoint has this one's address.
	}
	for _, header := range a.Invalid {
		q.note(e.ID + ": header left out, " + header)
		q.g.figures.invalid.Inc(1)
	}
	if !a.Limited && !a.Signed {
		return // Only an answer to a request that ran shows that a limit has ended.
	}
	q.g.hearRateLimit(e.ID, throttle.Word{Limited: a.Limited, Limit: a.Limit, At: q.g.cfg.Now()}, zap.String("request", q.call.ID))
}

// hearRateLimit takes in what is known of an endpoint's rate limit, by the answer or the
// gateway that source names.
func (g *Gateway) hearRateLimit(id string, w throttle.Word, source zap.Field) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit, since, limited := g.limits.Limited(id)
	if !g.limits.Hear(id, w) {
		return
	}
	g.figures.limited.Update(int64(g.limits.Count()))
	fields := []zap.Field{zap.String("endpoint", id), source, zap.Time("answered", w.At)}
	if limited {
		fields = append(fields, zap.Float64("before-per-second", limit), zap.Time("since", since))
	}
	if !w.Limited {
		g.log.Info("endpoint names no rate limit any more", fields...)
		return
	}
	g.log.Info("endpoint names a rate limit", append(fields, zap.Float64("per-second", w.Limit))...)
}
