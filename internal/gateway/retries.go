// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
)

// retryCause is why a request is sent to a further endpoint.
type retryCause string

// Causes of retries.
const (
	retryReset    retryCause = "reset"      // The connection to the endpoint failed.
	retryNotRun   retryCause = "not-run"    // The endpoint rejected the request.
	retryFailed   retryCause = "failed"     // The endpoint gave an error or an answer that cannot be relayed.
	retrySilent   retryCause = "silent"     // The endpoint sent nothing for too long.
	retryMoved    retryCause = "moved"      // The endpoint is a slow rank.
	retryTakeover retryCause = "taken-over" // A further endpoint is tried for a silent stream.
)

// Portions of the published retry budget that gateways use. Only the portion retryFloorUsed of the
// floor is used, since gateways may not know of each other. It is divided among at least
// minGateways.
const (
	retryFloorUsed = 0.35
	minGateways    = 8
	// retryShareUsed is the portion of the published retry share that is used. The retry windows of
	// gateways are not aligned, and a restarted gateway has lost the count of its retries.
	retryShareUsed = 0.8
)

// retryFloor returns how many retries per retry window this gateway may send for a service without
// any request. The caller holds mu.
func (g *Gateway) retryFloor() float64 {
	return retryFloorUsed * g.cfg.RetryFloor / float64(max(g.otherGateways+1, minGateways))
}

// retryBudget is the retry budget of a service at this gateway.
type retryBudget struct {
	window         *retry.Window
	deniedAt       time.Time // When a retry was last denied.
	exhaustedSince time.Time // When the first of the recent denials was; zero if there are none.
}

// retryBudget returns the retry budget of a service. The first call for a service adds one. The
// caller holds mu.
func (g *Gateway) retryBudget(service string) *retryBudget {
	b, ok := g.retryBudgets[service]
	if !ok {
		b = &retryBudget{window: retry.NewWindow(g.cfg.RetryWindow, retryShareUsed*g.cfg.RetryShare, g.retryFloor())}
		g.retryBudgets[service] = b
	}
	return b
}

// takeRetry takes one retry from a service's budget and counts it by its cause. It returns false if
// there is none left. The caller holds mu.
func (g *Gateway) takeRetry(service string, cause retryCause) bool {
	now := g.cfg.Now()
	b := g.retryBudget(service)
	if b.window.Take(now, rand.Float64) {
		g.stats.retries.Inc(1)
		metrics.GetOrRegisterCounter("gateway.repeats."+string(cause), g.stats.reg).Inc(1)
		return true
	}
	g.stats.retriesDenied.Inc(1)
	b.deniedAt = now
	if b.exhaustedSince.IsZero() {
		b.exhaustedSince = now
		g.log.Warn("retry budget exhausted", g.retryFields(service, b, now)...)
	}
	return false
}

// exhaustedFor is how long after the last denied retry a budget counts as exhausted. It bounds the
// log lines of a budget that is exhausted again and again.
const exhaustedFor = 2 * time.Second

// reportRetryBudgets logs which budgets are no longer exhausted, and updates the gauges. The caller
// holds mu.
func (g *Gateway) reportRetryBudgets(now time.Time) {
	exhausted := 0
	for service, b := range g.retryBudgets {
		switch {
		case b.exhaustedSince.IsZero():
		case now.Sub(b.deniedAt) < exhaustedFor:
			exhausted++
		default:
			g.log.Info("retry budget available again", append(g.retryFields(service, b, now), zap.Duration("exhausted-for", b.deniedAt.Sub(b.exhaustedSince)))...)
			b.exhaustedSince = time.Time{}
		}
	}
	g.stats.exhaustedBudgets.Update(int64(exhausted))
}

// retryFields returns what determines how many retries are allowed.
func (g *Gateway) retryFields(service string, b *retryBudget, now time.Time) []zap.Field {
	u := b.window.Usage(now)
	return []zap.Field{
		zap.String("service", service), zap.Int("requests", u.Requests), zap.Int("retries", u.Retries), zap.Int("denied", u.Denied),
		zap.Float64("allowed", u.Allowed), zap.Float64("floor", u.Floor),
		zap.Int("gateways", g.otherGateways+1), zap.Duration("process-age", time.Since(g.started)),
	}
}

// RetryReports describes all retry budgets, by service.
func (g *Gateway) RetryReports() (list []retry.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	for service, b := range g.retryBudgets {
		list = append(list, retry.Report{
			Service: service, Usage: b.window.Usage(now), Gateways: g.otherGateways + 1,
			AgeS: time.Since(g.started).Seconds(), Exhausted: !b.exhaustedSince.IsZero(),
		})
	}
	slices.SortFunc(list, func(a, b retry.Report) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
