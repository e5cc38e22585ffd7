// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/decide/coldstart"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
)

// gatewayCountTTL is how long a sidecar's count of gateways is valid: a few times as long as it
// takes all sidecars to report.
const gatewayCountTTL = 2 * time.Second

// coldTerms returns the published limits for cold endpoints of a service.
func coldTerms(c *fleet.Config, service string) (t coldstart.Params) {
	if svc := c.Service(service); svc != nil {
		t = coldstart.Params{Period: svc.ColdDuration, Rate: svc.ColdRate}
	}
	return t
}

// recordGatewayCount records how many gateways a sidecar knows. That many share the capacity of the
// endpoint beside the sidecar, including those from which this gateway has not received a hello. A
// lower count than the recorded one is ignored until the recorded one is older than
// gatewayCountTTL.
func (g *Gateway) recordGatewayCount(n int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n >= g.reportedGateways || now.Sub(g.reportedGatewaysAt) > gatewayCountTTL {
		g.reportedGateways, g.reportedGatewaysAt = n, now
	}
	g.cold.SetSenders(g.competitors() + 1)
}

// competitors returns how many other gateways compete for the capacity of the same endpoints. A
// gateway that has just started may not know them yet, but sidecars do. The caller holds mu.
func (g *Gateway) competitors() int { return max(g.otherGateways, g.reportedGateways-1) }

// updateColdAndEvacuated applies changes of the view to the state of cold endpoints and evacuated
// failure domains.
func (g *Gateway) updateColdAndEvacuated(s *follow.State, now time.Time) {
	if s.Config == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	began, ended := g.evacuated.update(s)
	for _, domain := range began {
		g.log.Info("failure domain evacuated", zap.String("domain", domain))
	}
	for _, domain := range ended {
		g.log.Info("evacuation of a failure domain is over", zap.String("domain", domain))
	}
	g.stats.evacuatedDomains.Update(int64(len(g.evacuated)))
	for id, e := range s.Endpoints {
		if e.ColdLeft > 0 && g.coldRevisions[id] != e.Revision {
			g.coldRevisions[id] = e.Revision
			g.cold.MarkCold(id, e.ColdLeft, now)
		}
		for _, domain := range ended {
			if e.Domain == domain {
				g.cold.Started(id, coldTerms(s.Config, e.Service), now) // It may have become cold meanwhile.
			}
		}
	}
}

// forgetCold removes the state of endpoints that are no longer listed, and cold times that have
// passed. The caller holds mu.
func (g *Gateway) forgetCold(listed func(id string) bool, now time.Time) {
	g.cold.Forget(now)
	for id := range g.coldRevisions {
		if !listed(id) {
			delete(g.coldRevisions, id)
		}
	}
}

// evacuatedDomains are the failure domains whose endpoints are sent no new requests.
type evacuatedDomains map[string]bool

// update applies a state of the view, and returns the domains whose evacuation has begun and those
// whose evacuation has ended since the last update.
func (d evacuatedDomains) update(s *follow.State) (began, ended []string) {
	for _, e := range s.Evacuations() {
		switch {
		case !e.Over && !d[e.Domain]:
			d[e.Domain] = true
			began = append(began, e.Domain)
		case e.Over && d[e.Domain]:
			delete(d, e.Domain)
			ended = append(ended, e.Domain)
		}
	}
	return began, ended
}

// reportingRanks returns the ranks of a list that may be tried by the reports of their group. If no
// group reports that it is open, it returns all ranks: the groups are known to be closed, or
// nothing is known at all. Ok is false while reports are still to be waited for. The caller holds
// mu.
func (q *request) reportingRanks(list []balance.Candidate, now time.Time) (ranks []balance.Candidate, ok bool) {
	serving, known := q.g.table.Serving(list, now)
	switch {
	case len(serving) > 0:
		return serving, true
	case known:
		return list, true
	}
	return list, !q.g.awaitingReports(now)
}

// markCold marks the candidates that are cold, and those among them to which this gateway has sent
// all that it may for now. It marks none if the service has no rate limit for cold endpoints. The
// caller holds mu.
func (q *request) markCold(list []balance.Candidate, t coldstart.Params, now time.Time) {
	if t.Rate <= 0 {
		return
	}
	sole := q.onlyGroup(list)
	for i, c := range list {
		group := cmp.Or(q.g.passes.GroupOf(c.ID), sole)
		if !q.g.cold.Cold(c.ID, group, now) {
			continue
		}
		list[i].ColdLimited = true
		list[i].BudgetSpent = !q.g.cold.MaySend(c.ID, t, rand.Float64, now)
	}
}

// allBudgetsSpent reports whether there are candidates and this gateway has sent to each of them
// all that it may send to a cold endpoint for now.
func allBudgetsSpent(list []balance.Candidate) bool {
	return len(list) > 0 && !slices.ContainsFunc(list, func(c balance.Candidate) bool { return !c.BudgetSpent })
}

// setColdTurnover sets the turnover for a request that waits for one of the given number of cold
// endpoints: the rate at which all gateways together may send to them. Each gateway has its own
// share of that rate, but the queue expects the rate of capacity that all gateways share. The
// caller holds mu.
func (q *request) setColdTurnover(endpoints int, t coldstart.Params) {
	q.turnover.Rate = q.g.cold.Rate(t) * float64(endpoints*(q.g.competitors()+1))
}

const (
	// rankReportWait is how long it takes to receive reports of ranks: the sidecars of a large
	// group report a few times a second.
	rankReportWait = 300 * time.Millisecond
	// noReportsTimeout is how long no rank must have reported before requests are sent to ranks
	// regardless: a few times as long as it takes until all sidecars know a gateway.
	noReportsTimeout = 3 * time.Second
)

// awaitingReports reports whether the lack of reports from ranks is explained by a recent start or
// suspension of this process. Ranks may be forming their group then, and requests sent to them
// would be rejected and overload them. The caller holds mu.
func (g *Gateway) awaitingReports(now time.Time) bool {
	since := g.started
	if at := g.table.LastReportOfAny(); at.After(since) {
		since = at
	}
	return now.Sub(since) < noReportsTimeout
}

// hasRecentRankReports reports whether any rank reported within half of noReportsTimeout.
func (g *Gateway) hasRecentRankReports(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.table.LastReportOfAny()) < noReportsTimeout/2
}

// recordUnreachable records that an endpoint could not be reached with err. An endpoint that
// refuses connections has ended, and will be cold after its restart. Other errors are ignored. The
// caller holds mu.
func (q *request) recordUnreachable(id string, err error, now time.Time) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		q.g.cold.Started(id, coldTerms(q.config, q.service), now)
	}
}

// recordColdSend counts the request against the rate of its endpoint if that is cold. The caller
// holds mu.
func (q *request) recordColdSend(id string, now time.Time) {
	if q.chosenCold {
		q.g.cold.RecordSent(id, coldTerms(q.config, q.service), rand.Float64, now)
		q.g.stats.sentToCold.Inc(1)
	}
}
