// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"math"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// hearLimit takes in what an answer says of its endpoint's rate limit.
func (q *request) hearLimit(e fleet.Endpoint, a fleet.Answer) {
	w := throttle.Report{Limited: a.HasRateLimit, Limit: a.RateLimit, At: q.g.cfg.Now()}
	switch {
	case a.HasRateLimit:
	case a.Signed:
		w.At = q.wentAt // A limit that is named since then still holds.
	default:
		return // Only an answer to a request that ran shows that a limit has ended.
	}
	if q.g.hearRateLimit(e.ID, zap.String("request", q.call.ID), func(l *throttle.Limits) bool { return l.RecordAnswer(e.ID, w) }) {
		q.g.tellLimitsSoon()
	}
}

// hearRateLimit takes in a word of an endpoint's rate limit and logs what it changes. The
// source is the answer or the gateway that it is from.
func (g *Gateway) hearRateLimit(id string, source zap.Field, hear func(l *throttle.Limits) bool) (news bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, since, limited := g.limits.Limited(id)
	if !hear(g.limits) {
		return false
	}
	g.figures.limited.Update(int64(g.limits.Count()))
	fields := []zap.Field{zap.String("endpoint", id), source}
	if limited {
		fields = append(fields, zap.Float64("before-per-second", before), zap.Time("since", since))
	}
	now, _, limited := g.limits.Limited(id)
	if !limited {
		g.log.Info("endpoint names no rate limit any more", fields...)
		return true
	}
	g.log.Info("endpoint names a rate limit", append(fields, zap.Float64("per-second", now), zap.Int("gateways", g.limits.GatewayCount()))...)
	return true
}

// tellLimitsSoon notes that a change of a limit waits to be told.
func (g *Gateway) tellLimitsSoon() {
	select {
	case g.limitNews <- struct{}{}:
	default: // It is noted already.
	}
}

// hearLimits takes in the limits that another gateway tells.
func (g *Gateway) hearLimits(from netip.AddrPort, list []peers.Limit) {
	for _, told := range list {
		if !validLimit(told) {
			g.log.Warn("rate limit of an endpoint left out", zap.Stringer("told-by", from), zap.Float64("per-second", told.PerSecond), zap.Int64("age-ms", told.AgeMs))
			continue
		}
		w := throttle.Report{Limited: told.Limited, Limit: told.PerSecond, At: g.cfg.Now().Add(-told.Age())}
		g.hearRateLimit(told.Endpoint, zap.Stringer("told-by", from), func(l *throttle.Limits) bool { return l.Merge(throttle.Update{Endpoint: told.Endpoint, Report: w}) })
	}
}

// Bounds of what another gateway may tell of a limit.
const (
	longestID     = 255            // Bytes of an endpoint's id.
	oldestMention = 24 * time.Hour // Far above the age of a word that counts.
)

func validLimit(l peers.Limit) bool {
	return l.Endpoint != "" && len(l.Endpoint) <= longestID &&
		l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0) && // No NaN either.
		l.AgeMs >= 0 && l.Age() <= oldestMention
}

// toldLimits returns limits as a message tells them.
func (g *Gateway) toldLimits(pick func(l *throttle.Limits) []throttle.Update) (list []peers.Limit) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range pick(g.limits) {
		list = append(list, peers.Limit{Endpoint: t.Endpoint, Limited: t.Limited, PerSecond: t.Limit, AgeMs: max(now.Sub(t.At).Milliseconds(), 0)})
	}
	return list
}

// untoldLimits reports whether a change of a limit was never told.
func (g *Gateway) untoldLimits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.HasUnsent()
}

// setGateways tells among which gateways, by their peer listeners, limits are shared.
func (g *Gateway) setGateways(self string, others []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.SetGateways(self, append(others, self))
}

// takePermit takes for the request what it may send to the endpoint that it has chosen. The
// caller holds mu.
func (q *request) takePermit(id string) {
	q.g.limits.Take(id, q.g.cfg.Now())
	q.permit = id
}

// returnPermit gives back what was taken for a request that was not sent. The caller holds mu.
func (q *request) returnPermit() {
	if q.permit != "" {
		q.g.limits.GiveBack(q.permit)
		q.permit = ""
	}
}

// throttledRetry returns when there is room under limits for one more of the callers who are
// refused here. They come to any gateway then, and so do those of the others; where parts are
// borrowed, most callers come here. The caller holds mu.
func (q *request) throttledRetry(by barred) time.Duration {
	g := q.g
	b := g.backlogs[q.service]
	if b == nil {
		b = &throttle.Backlog{}
		g.backlogs[q.service] = b
	}
	return b.Next(max(by.rate/float64(g.limits.GatewayCount()), by.held), g.cfg.Now())
}
