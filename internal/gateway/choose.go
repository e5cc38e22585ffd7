// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/decide/passes"
	"github.com/canvaspulley/canvaspulley/internal/decide/room"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
)

// againShare is the part of what a group may hold up to which callers are let in
// that were refused before. Their answer is late anyhow; let in alike, they take
// the room of callers who could be served in time, who come again in turn: a
// twentieth more requests than can be served made a third of all come twice.
const againShare = 0.85

// choose picks the next endpoint.
func (q *request) choose(now time.Time) (e fleet.Endpoint, ok bool) {
	q.allDown, q.barred = false, barred{}
	if !q.mayTryOn() {
		return e, false
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.returnPermit() // What was chosen before was not sent to.
	candidates, bars := q.candidates()
	if len(candidates) == 0 && bars.any() {
		q.barred, q.full = bars, false
		return e, false
	}
	list := make([]balance.Candidate, len(candidates))
	shape, ranked := q.g.shape(q.config, q.service)
	for i, e := range candidates {
		list[i] = balance.Candidate{ID: e.ID, SameDomain: e.Domain == q.g.cfg.Domain, Cold: e.ColdLeft > 0, Slots: e.Slots, FixedCost: int(shape.FixedCost)}
	}
	terms := coldTerms(q.config, q.service)
	if ranked && terms.Rate > 0 {
		if list, ok = q.heard(list, now); !ok {
			q.note("no rank is heard yet")
			q.allDown, q.opens = true, now.Add(wordTime)
			return e, false
		}
	}
	q.markCold(list, terms, now)
	if ranked {
		if q.g.table.AllClosed(list, now) {
			if q.waited == 0 { // Else it was said before.
				q.note("all ranks that are heard say that they serve nothing")
			}
			q.allDown = true // It would be turned away, or wait in vain.
			q.opens = q.g.table.ExpectedOpen(list, now)
			return e, false
		}
		q.full = false
		list, ok = q.chooseGroup(list, now)
		if ok && !q.inLine && len(q.tried) == 0 && q.g.queued(q.service) {
			ok = false // Others came before.
		}
		if !ok {
			q.full = true
			return e, false
		}
	}
	i, ok := q.g.table.Pick(list, random, now)
	if !ok {
		if allSpent(list) {
			q.full = true
			q.paceTurnover(len(list), terms)
		}
		return e, false
	}
	q.toCold = list[i].ColdLimited
	q.takePermit(list[i].ID)
	at := slices.IndexFunc(candidates, func(e fleet.Endpoint) bool { return e.ID == list[i].ID })
	return candidates[at], true
}

// mayTryOn reports whether the request may be sent to one more endpoint.
func (q *request) mayTryOn() bool {
	return len(q.tried) < q.route.MaxAttempts && len(q.unsent) <= maxUnreached
}

// candidates returns the endpoints of the service that may be tried, and what keeps the request
// from others for now. Where there is no other, an endpoint that closed a kept connection under the
// request may be tried once more. The caller holds mu.
func (q *request) candidates() (list []fleet.Endpoint, bars barred) {
	var again []fleet.Endpoint
	s := q.g.view.State()
	now := q.g.cfg.Now()
	for _, e := range s.ByService[q.service] {
		if !q.g.staysIn(s, e) || q.g.bars(&bars, e, now) || slices.Contains(q.unsent, e.ID) {
			continue
		}
		if q.groupDown && q.g.passes.GroupOf(e.ID) == q.downGroup {
			continue // All ranks of a group stand and fall together.
		}
		if !slices.Contains(q.tried, e.ID) {
			list = append(list, e)
		} else if e.ID == q.closedUnder {
			again = append(again, e)
		}
	}
	if len(list) == 0 {
		list = again
	}
	return list, bars
}

// staysIn reports whether an endpoint of a state may get anything new. The caller holds mu.
func (g *Gateway) staysIn(s *follow.State, e fleet.Endpoint) bool {
	_, missing := s.Missing[e.ID]
	return !missing && !e.Leaving && !g.backoffs.Leaving(life(e)) && !s.Evacuated(e.Domain)
}

// chooseGroup draws one of the groups that the ranks in list are in, by the room
// that they have, and returns its ranks. A request that was sent before goes on
// wherever it can: it has its place among those under way. The caller holds mu.
func (q *request) chooseGroup(list []balance.Candidate, now time.Time) (chosen []balance.Candidate, ok bool) {
	names, members := q.byGroup(list)
	offers := make([]passes.Option, 0, len(names))
	open := make([]string, 0, len(names))
	limited := false // Something is known of the passes of some group.
	q.turnover = passes.Turnover{}
	for _, name := range names {
		ranks := members[name]
		if q.g.table.AllClosed(ranks, now) {
			continue
		}
		o, known := q.offer(name, ranks, now)
		if o.Limit <= 0 {
			return list, true // Nothing is known that limits it.
		}
		limited = limited || known
		o.LastReport = q.g.table.LastReport(ranks)
		offers, open = append(offers, o), append(open, name)
	}
	passes.MarkSilent(offers, now)
	i, ok := passes.Choose(offers, random)
	switch {
	case ok && q.takes(open[i], offers[i]):
		return members[open[i]], true
	case q.reply.begun() || q.mayRun || !limited:
		return ranksOf(offers, open, members, list), true
	}
	for k, o := range offers {
		if q.waited > 0 {
			break // Said before.
		}
		q.note(fmt.Sprintf("group %s full: %d requests at %d ranks, %.1f let in at each", open[k], o.Requests, o.Ranks, o.Limit))
	}
	return nil, false
}

// ranksOf returns the ranks of the groups that are not silent, or list when there are
// none.
func ranksOf(offers []passes.Option, names []string, members map[string][]balance.Candidate, list []balance.Candidate) (ranks []balance.Candidate) {
	for i, o := range offers {
		if !o.Silent {
			ranks = append(ranks, members[names[i]]...)
		}
	}
	if len(ranks) == 0 {
		return list
	}
	return ranks
}

// takes reports whether the request takes one of the free places of a group, for
// which other gateways have requests, too. The caller holds mu.
func (q *request) takes(group string, o passes.Option) bool {
	s := q.g.shares[group]
	if s == nil {
		s = &room.Share{}
		q.g.shares[group] = s
	}
	s.RecordReport(q.g.passes.LastRound(group))
	if last := q.asked; last != nil && last.group == group && !s.LastReport().After(last.at) {
		return false // It was not let in by what is known.
	}
	q.asked = &lastAsked{group: group, at: s.LastReport()}
	return s.Admit(q.class(), o.FreeCapacity(), q.g.sharers(), q.g.table.JustOpened(group, time.Now()), rand.Float64)
}

// byGroup returns the groups that the ranks in list are in, in the order of their
// names, and the ranks of each. The caller holds mu.
func (q *request) byGroup(list []balance.Candidate) (names []string, members map[string][]balance.Candidate) {
	members = map[string][]balance.Candidate{}
	sole := q.soleGroup(list)
	for _, c := range list {
		name := q.g.passes.GroupOf(c.ID)
		if name == "" {
			name = sole
		}
		if _, known := members[name]; !known {
			names = append(names, name)
		}
		members[name] = append(members[name], c)
	}
	slices.Sort(names)
	return names, members
}

// soleGroup returns the only group that any of the ranks in list is known to be in, ""
// when there is none or more than one. Where ranks may be overrun that are cold, those
// that have not told their group yet are taken to be in it: were they a group of their
// own, nothing would be known of its room. The caller holds mu.
func (q *request) soleGroup(list []balance.Candidate) (sole string) {
	if coldTerms(q.config, q.service).Rate <= 0 {
		return ""
	}
	for _, c := range list {
		name := q.g.passes.GroupOf(c.ID)
		if sole != "" && name != "" && name != sole {
			return ""
		}
		sole = cmp.Or(sole, name)
	}
	return sole
}

// offer says how many requests a group holds and may hold, and adds its turnover to
// the request's. Known is false when nothing is known of its passes, as when it has
// just opened: until then a pass is given as much work as it makes without any
// request. The caller holds mu.
func (q *request) offer(name string, ranks []balance.Candidate, now time.Time) (o passes.Option, known bool) {
	o.Ranks = len(ranks)
	if o.Limit, known = q.g.passes.Limit(name, now); !known {
		o.Limit = min(float64(ranks[0].Slots), float64(ranks[0].FixedCost))
	}
	if v, ok := q.g.passes.Turnover(name, o.Limit, now); ok {
		q.turnover.Rate += v.Rate * float64(o.Ranks)
		q.turnover.FirstEvent = max(q.turnover.FirstEvent, v.FirstEvent)
	}
	if q.again {
		o.Limit *= againShare
	}
	for _, c := range ranks {
		o.Requests += q.g.table.Outstanding(c.ID, now)
		if c.SameDomain {
			o.SameDomain++
		}
	}
	return o, known
}

// shape returns the engines of a service as their passes are judged; ok is
// false for a plain service.
func (g *Gateway) shape(c *fleet.Config, service string) (s passes.Shape, ok bool) {
	svc := c.Service(service)
	if svc == nil || svc.Engine == nil || svc.Engine.DecodeTimePerRequest <= 0 {
		return s, false
	}
	g.shapesMu.Lock()
	defer g.shapesMu.Unlock()
	if g.shapesOf != c {
		g.shapesOf, g.shapes = c, map[string]passes.Shape{}
	}
	if s, ok = g.shapes[service]; !ok {
		s = passes.NewShape(svc.Engine, c.MaxPause(service))
		g.shapes[service] = s
	}
	return s, true
}
