// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/census"
	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
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

// retryBudget is the retry budget of a service at this gateway.
type retryBudget struct {
	*retry.SharedBudget
	deniedAt       time.Time // When a retry was last denied.
	exhaustedSince time.Time // When the first of the recent denials was; zero if there are none.
}

// retryBudget returns the retry budget of a service, at this gateway's current place among all. The
// first call for a service adds one. The caller holds mu.
func (g *Gateway) retryBudget(service string, now time.Time) *retryBudget {
	b, ok := g.retryBudgets[service]
	if !ok {
		b = &retryBudget{SharedBudget: retry.NewSharedBudget(retry.Bound{Share: g.cfg.RetryShare, Slack: g.cfg.RetryFloor, Window: g.cfg.RetryWindow})}
		g.retryBudgets[service] = b
	}
	b.SetPlace(g.census.Place(now), now)
	return b
}

// censusSettleTime is how long this gateway observes no higher number of gateways until it relies on
// that number. Gateways of a failure domain hear each other within two rounds of hellos.
const censusSettleTime = 2500 * time.Millisecond

// rankContactAge is the age up to which a load report counts as contact with its rank.
const rankContactAge = 2 * time.Second

// contact returns what this gateway hears of the rest of the system. The caller holds mu.
func (g *Gateway) contact() census.Contact {
	now := time.Now()
	c := census.Contact{Others: g.otherGateways, Before: g.heardBefore}
	if now.Sub(g.reportedGatewaysAt) <= gatewayCountTTL {
		c.Reported = g.reportedGateways
	}
	s := g.view.State()
	missing := map[string]bool{}
	for _, e := range s.Endpoints {
		if e.Domain != g.cfg.Domain && !g.heardDomains[e.Domain] {
			missing[e.Domain] = true
		}
		if s.Config == nil {
			continue
		}
		if svc := s.Config.Service(e.Service); svc == nil || svc.Engine == nil {
			continue
		}
		c.Ranks++
		if age, ok := g.table.LoadAge(e.ID, now); ok && age <= rankContactAge {
			c.RanksReporting++
		}
	}
	c.MissingDomains = len(missing)
	return c
}

// setHeard sets which other gateways are alive, besides their number. Self is the address of this
// one's peer listener.
func (g *Gateway) setHeard(self string, others []roster.Gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heardBefore, g.heardDomains = 0, map[string]bool{}
	for _, other := range others {
		g.heardDomains[other.Domain] = true
		if other.Address < self {
			g.heardBefore++
		}
	}
}

// tellGateways records how many gateways another one observes.
func (g *Gateway) tellGateways(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.census.Tell(n, g.cfg.Now())
}

// gatewaysObserved returns how many gateways this one observes; 0 if it has no estimate.
func (g *Gateway) gatewaysObserved() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.census.Observed(g.cfg.Now())
}

// takeRetry takes one retry from a service's budget and counts it by its cause. It returns false if
// there is none left. The caller holds mu.
func (g *Gateway) takeRetry(service string, cause retryCause) bool {
	now := g.cfg.Now()
	b := g.retryBudget(service, now)
	if b.Take(now) {
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
	u := b.Usage(now)
	return []zap.Field{
		zap.String("service", service), zap.Int("requests", u.Requests), zap.Int("retries", u.Retries), zap.Int("denied", u.Denied),
		zap.Float64("tokens", u.Tokens), zap.Float64("per-request", u.PerRequest), zap.Float64("per-window", u.PerWindow),
		zap.Int("gateways", u.Gateways), zap.Int("heard", g.otherGateways+1), zap.Duration("process-age", time.Since(g.started)),
	}
}

// RetryReports describes all retry budgets, by service.
func (g *Gateway) RetryReports() (list []retry.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	for service, b := range g.retryBudgets {
		list = append(list, retry.Report{Service: service, Usage: b.Usage(now), AgeS: time.Since(g.started).Seconds(), Exhausted: !b.exhaustedSince.IsZero()})
	}
	slices.SortFunc(list, func(a, b retry.Report) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
