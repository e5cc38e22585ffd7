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
	"github.com/canvaspulley/canvaspulley/internal/decide/cold"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
)

// sendersAge is how long a sidecar's word on how many gateways it hears counts: some
// times as long as it takes them all to tell.
const sendersAge = 2 * time.Second

// coldTerms returns what is published of the cold endpoints of a service.
func coldTerms(c *fleet.Config, service string) (t cold.Params) {
	if svc := c.Service(service); svc != nil {
		t = cold.Params{Period: svc.ColdDuration, Rate: svc.ColdRate}
	}
	return t
}

// hearSenders takes in how many gateways a sidecar hears: as many share what the endpoint
// beside it bears, also those that this gateway has not heard of itself.
func (g *Gateway) hearSenders(n int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n >= g.toldSenders || now.Sub(g.toldSendersAt) > sendersAge {
		g.toldSenders, g.toldSendersAt = n, now
	}
	g.cold.SetSenders(g.sharers() + 1)
}

// sharers returns how many other gateways want room at the same endpoints. One that has
// just started has not heard of them yet, but sidecars have. The caller holds mu.
func (g *Gateway) sharers() int { return max(g.others, g.toldSenders-1) }

// noteCold takes in what changed in the view about cold endpoints and evacuated failure
// domains.
func (g *Gateway) noteCold(s *follow.State, now time.Time) {
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
	g.figures.evacuated.Update(int64(len(g.evacuated)))
	for id, e := range s.Endpoints {
		if e.ColdLeft > 0 && g.coldTold[id] != e.Revision {
			g.coldTold[id] = e.Revision
			g.cold.MarkCold(id, e.ColdLeft, now)
		}
		for _, domain := range ended {
			if e.Domain == domain {
				g.cold.Started(id, coldTerms(s.Config, e.Service), now) // It may have got cold meanwhile.
			}
		}
	}
}

// forgetCold drops what is known of endpoints that are not listed any more, and of cold
// times that have passed. The caller holds mu.
func (g *Gateway) forgetCold(listed func(id string) bool, now time.Time) {
	g.cold.Forget(now)
	for id := range g.coldTold {
		if !listed(id) {
			delete(g.coldTold, id)
		}
	}
}

// evacuatedDomains are the failure domains to whose endpoints nothing new goes.
type evacuatedDomains map[string]bool

// update takes in a state of the view and returns what is new in it.
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

// heard returns those of a list of ranks that may be tried by what is heard of their
// group: all of them while it is not heard to serve, since then it is known to be down or
// nothing is heard at all. Ok is false while a word is still to be waited for. The caller
// holds mu.
func (q *request) heard(list []balance.Candidate, now time.Time) (ranks []balance.Candidate, ok bool) {
	serving, known := q.g.table.Serving(list, now)
	switch {
	case len(serving) > 0:
		return serving, true
	case known:
		return list, true
	}
	return list, !q.g.listensStill(now)
}

// markCold notes on the candidates which of them are cold, and which of those have got
// all that this gateway may send them for now. The caller holds mu.
func (q *request) markCold(list []balance.Candidate, t cold.Params, now time.Time) {
	if t.Rate <= 0 {
		return
	}
	sole := q.soleGroup(list)
	for i, c := range list {
		group := cmp.Or(q.g.passes.GroupOf(c.ID), sole)
		if !q.g.cold.Cold(c.ID, group, now) {
			continue
		}
		list[i].ColdLimited = true
		list[i].BudgetSpent = !q.g.cold.MaySend(c.ID, t, rand.Float64, now)
	}
}

// allSpent reports whether nothing but the pace of cold endpoints keeps a request from
// them.
func allSpent(list []balance.Candidate) bool {
	return len(list) > 0 && !slices.ContainsFunc(list, func(c balance.Candidate) bool { return !c.BudgetSpent })
}

// paceTurnover has the request wait for one of so many cold endpoints as for room that
// is taken by turns: each gateway has its own part of it. The caller holds mu.
func (q *request) paceTurnover(endpoints int, t cold.Params) {
	q.turnover.Rate = q.g.cold.Rate(t) * float64(endpoints*(q.g.sharers()+1))
}

const (
	// wordTime is how long it takes to hear of ranks: the sidecars of a large group tell
	// a few times a second.
	wordTime = 300 * time.Millisecond
	// blindAfter is how long nothing must have been heard of any rank until requests go
	// to them all the same: some times as long as a gateway needs to be known by all
	// sidecars.
	blindAfter = 3 * time.Second
)

// listensStill reports whether this process heard nothing of any rank only since it has
// just started, or was stopped for a while. Ranks may be forming their group then, and
// what is sent to them is turned away and overruns them. The caller holds mu.
func (g *Gateway) listensStill(now time.Time) bool {
	since := g.started
	if at := g.table.LastReportOfAny(); at.After(since) {
		since = at
	}
	return now.Sub(since) < blindAfter
}

// hearsRanks reports whether any rank was heard lately.
func (g *Gateway) hearsRanks(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.table.LastReportOfAny()) < blindAfter/2
}

// noteUnreached takes in that an endpoint could not be reached: one that refuses a
// connection has ended, and is cold when it is back. The caller holds mu.
func (q *request) noteUnreached(id string, err error, now time.Time) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		q.g.cold.Started(id, coldTerms(q.config, q.service), now)
	}
}

// sendsTo notes that the request goes to an endpoint, which counts if that is cold. The
// caller holds mu.
func (q *request) sendsTo(id string, now time.Time) {
	if q.toCold {
		q.g.cold.RecordSent(id, coldTerms(q.config, q.service), rand.Float64, now)
		q.g.figures.toCold.Inc(1)
	}
}
