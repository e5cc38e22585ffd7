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

// applyLimit applies what an answer says about its endpoint's rate limit. A change is signaled, so
// that it is announced to other gateways.
func (q *request) applyLimit(e fleet.Endpoint, a fleet.Answer) {
	report := throttle.Report{Limited: a.HasRateLimit, Limit: a.RateLimit, At: q.g.cfg.Now()}
	switch {
	case a.HasRateLimit:
	case a.Signed:
		report.At = q.sentBoottime // A limit announced since the request was sent remains in effect.
	default:
		return // Only the answer to a request that ran shows that a limit has ended.
	}
	if q.g.applyRateLimit(e.ID, zap.String("request", q.call.ID), func(l *throttle.Limits) bool { return l.RecordAnswer(e.ID, report) }) {
		q.g.signalLimitsChanged()
	}
}

// applyRateLimit applies a report on an endpoint's rate limit by update, and logs the change. The
// source field names the answer or the gateway that the report is from.
func (g *Gateway) applyRateLimit(id string, source zap.Field, update func(l *throttle.Limits) bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous, since, limited := g.limits.Limited(id)
	if !update(g.limits) {
		return false
	}
	g.stats.limited.Update(int64(g.limits.Count()))
	fields := []zap.Field{zap.String("endpoint", id), source}
	if limited {
		fields = append(fields, zap.Float64("before-per-second", previous), zap.Time("since", since))
	}
	current, _, limited := g.limits.Limited(id)
	if !limited {
		g.log.Info("endpoint names no rate limit any more", fields...)
		return true
	}
	g.log.Info("endpoint names a rate limit", append(fields, zap.Float64("per-second", current), zap.Int("gateways", g.limits.GatewayCount()))...)
	return true
}

// signalLimitsChanged signals that a changed limit waits to be announced.
func (g *Gateway) signalLimitsChanged() {
	select {
	case g.limitsChanged <- struct{}{}:
	default: // The signal is pending already.
	}
}

// receiveLimits applies the limits announced by another gateway.
func (g *Gateway) receiveLimits(from netip.AddrPort, list []peers.Limit) {
	for _, limit := range list {
		if !validLimit(limit) {
			g.log.Warn("ignored invalid rate limit of an endpoint", zap.Stringer("told-by", from), zap.Float64("per-second", limit.PerSecond), zap.Int64("age-ms", limit.AgeMs))
			continue
		}
		w := throttle.Report{Limited: limit.Limited, Limit: limit.PerSecond, At: g.cfg.Now().Add(-limit.Age())}
		g.applyRateLimit(limit.Endpoint, zap.Stringer("told-by", from), func(l *throttle.Limits) bool { return l.Merge(throttle.Update{Endpoint: limit.Endpoint, Report: w}) })
	}
}

// Limits on what another gateway may announce about a rate limit.
const (
	maxEndpointIDBytes = 255            // Longest id of an endpoint.
	maxLimitAge        = 24 * time.Hour // Far above the age up to which a report is valid.
)

func validLimit(l peers.Limit) bool {
	return l.Endpoint != "" && len(l.Endpoint) <= maxEndpointIDBytes &&
		l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0) && // False for NaN, too.
		l.AgeMs >= 0 && l.Age() <= maxLimitAge
}

// limitMessages returns the picked limits in the form of a message.
func (g *Gateway) limitMessages(pick func(l *throttle.Limits) []throttle.Update) (list []peers.Limit) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range pick(g.limits) {
		list = append(list, peers.Limit{Endpoint: t.Endpoint, Limited: t.Limited, PerSecond: t.Limit, AgeMs: max(now.Sub(t.At).Milliseconds(), 0)})
	}
	return list
}

// hasUnsentLimits reports whether a changed limit has never been announced.
func (g *Gateway) hasUnsentLimits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.HasUnsent()
}

// setLimitGateways sets the gateways, by their peer listeners, among which limits are shared.
func (g *Gateway) setLimitGateways(self string, others []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.SetGateways(self, append(others, self))
}

// takePermit charges the request to the limit of the chosen endpoint. The caller holds mu.
func (q *request) takePermit(id string) {
	q.g.limits.Take(id, q.g.cfg.Now())
	q.permitEndpoint = id
}

// returnPermit undoes the charge for a request that was not sent. The caller holds mu.
func (q *request) returnPermit() {
	if q.permitEndpoint != "" {
		q.g.limits.GiveBack(q.permitEndpoint)
		q.permitEndpoint = ""
	}
}

// assignThrottledRetry assigns a retry time to one more of the callers refused here, and returns
// the time until then, when the rate limits by which it was excluded have capacity for it. Callers
// return to any gateway, as do those refused by the others, so the rate of all gateways counts,
// divided by their number. If this gateway borrows shares, most callers come here, and the rate of
// the shares that it holds counts if it is higher. The caller holds mu.
func (q *request) assignThrottledRetry(by exclusion) time.Duration {
	g := q.g
	b := g.backlogs[q.service]
	if b == nil {
		b = &throttle.Backlog{}
		g.backlogs[q.service] = b
	}
	return b.Next(max(by.rate/float64(g.limits.GatewayCount()), by.localRate), g.cfg.Now())
}
