// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/decide/grouplimit"
	"github.com/canvaspulley/canvaspulley/internal/decide/slotshare"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
)

// refusedBeforeShare is the portion of a group's limit up to which callers are admitted that were
// refused before. Their answer is late anyway. If they were admitted like others, they would take
// the capacity of callers who could be served in time. These would be refused and come again: with
// 5% more requests than can be served, a third of all callers had to come twice.
const refusedBeforeShare = 0.85

// chooseEndpoint picks the endpoint for the next attempt and charges its rate limit. It first
// returns the charge for an earlier choice that was not sent to. If ok is false, the reason may be
// in exclusion, in allGroupsDown with groupOpensAt, or in noCapacity. The last of them may also be
// left from an earlier choice.
func (q *request) chooseEndpoint(now time.Time) (e fleet.Endpoint, ok bool) {
	q.allGroupsDown, q.exclusion = false, exclusion{}
	if !q.mayAttemptMore() {
		return e, false
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.returnPermit() // The previously chosen endpoint was not sent to.
	candidates, exclusions := q.candidates()
	if len(candidates) == 0 && exclusions.nonEmpty() {
		q.exclusion, q.noCapacity = exclusions, false
		return e, false
	}
	list := make([]balance.Candidate, len(candidates))
	shape, ranked := q.g.shape(q.config, q.service)
	for i, e := range candidates {
		list[i] = balance.Candidate{ID: e.ID, SameDomain: e.Domain == q.g.cfg.Domain, Cold: e.ColdLeft > 0, Slots: e.Slots, FixedCost: int(shape.FixedCost)}
	}
	terms := coldTerms(q.config, q.service)
	if ranked && terms.Rate > 0 {
		if list, ok = q.reportingRanks(list, now); !ok {
			q.note("no rank has reported its load yet")
			q.allGroupsDown, q.groupOpensAt = true, now.Add(rankReportWait)
			return e, false
		}
	}
	q.markCold(list, terms, now)
	if ranked {
		if q.g.table.AllClosed(list, now) {
			if q.waited == 0 { // Otherwise it was noted before.
				q.note("all ranks that report their load are closed")
			}
			q.allGroupsDown = true // The request would be rejected, or wait in vain.
			q.groupOpensAt = q.g.table.ExpectedOpen(list, now)
			return e, false
		}
		q.noCapacity = false
		list, ok = q.chooseGroup(list, now)
		if ok && !q.inQueue && len(q.attempted) == 0 && q.g.anyQueued(q.service) {
			ok = false // Others have queued before it.
		}
		if !ok {
			q.noCapacity = true
			return e, false
		}
	}
	list = q.onlyOneIfSuspected(list)
	i, ok := q.g.table.Pick(list, random, now)
	if !ok {
		if allBudgetsSpent(list) {
			q.noCapacity = true
			q.setColdTurnover(len(list), terms)
		}
		return e, false
	}
	q.chosenCold = list[i].ColdLimited
	q.takePermit(list[i].ID)
	index := slices.IndexFunc(candidates, func(e fleet.Endpoint) bool { return e.ID == list[i].ID })
	return candidates[index], true
}

// mayAttemptMore reports whether the request may be sent to one more endpoint: neither the attempts
// of its route are used up, nor were too many endpoints unreachable.
func (q *request) mayAttemptMore() bool {
	return len(q.attempted) < q.route.MaxAttempts && len(q.unreachable) <= maxUnreached
}

// candidates returns the endpoints of the service that may be tried, and the backoffs and rate
// limits that exclude others for now. An endpoint that was sent the request already is no
// candidate. The only exception is the one that closed a reused connection during the last attempt:
// it may be tried once more if there is no other candidate. The caller holds mu.
func (q *request) candidates() (list []fleet.Endpoint, exclusions exclusion) {
	var retryable []fleet.Endpoint
	s := q.g.view.State()
	now := q.g.cfg.Now()
	for _, e := range s.ByService[q.service] {
		if !q.g.acceptsNew(s, e) || q.g.addIfExcluded(&exclusions, e, now) || slices.Contains(q.unreachable, e.ID) {
			continue
		}
		if q.groupRejected && q.g.passes.GroupOf(e.ID) == q.rejectingGroup {
			continue // All ranks of a group open and close together.
		}
		if !slices.Contains(q.attempted, e.ID) {
			list = append(list, e)
		} else if e.ID == q.closedReused {
			retryable = append(retryable, e)
		}
	}
	if len(list) == 0 {
		list = retryable
	}
	return list, exclusions
}

// acceptsNew reports whether an endpoint of the view's state s may be sent new requests: it is not
// missing, leaving by its entry or an answer, or in an evacuated failure domain. The caller holds
// mu.
func (g *Gateway) acceptsNew(s *follow.State, e fleet.Endpoint) bool {
	_, missing := s.Missing[e.ID]
	return !missing && !e.Leaving && !g.backoffs.Leaving(incarnationOf(e)) && !s.Evacuated(e.Domain)
}

// chooseGroup draws one of the open groups of the ranks in list by their free capacity, and returns
// the ranks of that group. Ok is false if the request has to wait for capacity.
//
// In these cases no group is drawn:
//   - An open group has no limit. All ranks in list are returned.
//   - The request gets no capacity, but its answer has begun or it may have run. It already counts
//     as in flight and is admitted anyway, to the ranks of all groups that are not silent.
//   - The request gets no capacity, but no group's limit is known from its passes. It is admitted
//     in the same way.
//
// The caller holds mu.
func (q *request) chooseGroup(list []balance.Candidate, now time.Time) (chosen []balance.Candidate, ok bool) {
	names, members := q.ranksByGroup(list)
	options := make([]grouplimit.Option, 0, len(names))
	optionNames := make([]string, 0, len(names))
	q.otherDemand = float64(q.g.competitors())
	anyLimitKnown := false // The limit of at least one group is known from its passes.
	q.turnover = grouplimit.Turnover{}
	for _, name := range names {
		ranks := members[name]
		if q.g.table.AllClosed(ranks, now) {
			continue
		}
		o, known := q.groupOption(name, ranks, now)
		if o.Limit <= 0 {
			return list, true // No known limit applies.
		}
		anyLimitKnown = anyLimitKnown || known
		o.LastReport = q.g.table.LastReport(ranks)
		options, optionNames = append(options, o), append(optionNames, name)
	}
	grouplimit.MarkSilent(options, now)
	i, ok := grouplimit.Choose(options, random)
	switch {
	case ok && q.takeCapacity(optionNames[i], options[i]):
		return members[optionNames[i]], true
	case q.reply.begun() || q.mayHaveRun || !anyLimitKnown:
		return nonSilentRanks(options, optionNames, members, list), true
	}
	for k, o := range options {
		if q.waited > 0 {
			break // Noted before.
		}
		q.note(fmt.Sprintf("group %s full: %d requests at %d ranks, %.1f admitted at each", optionNames[k], o.Requests, o.Ranks, o.Limit))
	}
	return nil, false
}

// nonSilentRanks returns the ranks of the groups that are not silent, or list if there are none.
// Names[i] is the group of options[i].
func nonSilentRanks(options []grouplimit.Option, names []string, members map[string][]balance.Candidate, list []balance.Candidate) (ranks []balance.Candidate) {
	for i, o := range options {
		if !o.Silent {
			ranks = append(ranks, members[names[i]]...)
		}
	}
	if len(ranks) == 0 {
		return list
	}
	return ranks
}

// takeCapacity asks for capacity for the request in a group, for whose free capacity other gateways
// compete, and reports whether the request gets it. A request asks the same group again only after
// a newer report of the group's load. The caller holds mu.
func (q *request) takeCapacity(group string, o grouplimit.Option) bool {
	s := q.g.capacityShares[group]
	if s == nil {
		s = &slotshare.Share{}
		q.g.capacityShares[group] = s
	}
	s.RecordReport(q.g.passes.LastRound(group), o.OwnRequests, o.Requests)
	q.otherDemand = s.Processes(q.g.competitors()) - 1
	if last := q.lastAsk; last != nil && last.group == group && !s.LastReport().After(last.reportAt) {
		return false // It was not admitted by the newest report already.
	}
	q.lastAsk = &capacityAsk{group: group, reportAt: s.LastReport()}
	if s.Admit(q.class(), o.FreeCapacity(), q.g.competitors(), q.g.table.JustOpened(group, time.Now()), rand.Float64) {
		return true
	}
	if q.waited == 0 {
		q.note(fmt.Sprintf("group %s: no slot for this request, %.1f free for %.1f times the demand here", group, o.FreeCapacity(), q.otherDemand+1))
	}
	return false
}

// ranksByGroup returns the groups of the ranks in list, sorted by name, and the ranks of each
// group. The caller holds mu.
func (q *request) ranksByGroup(list []balance.Candidate) (names []string, members map[string][]balance.Candidate) {
	members = map[string][]balance.Candidate{}
	sole := q.onlyGroup(list)
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

// onlyGroup returns the group of the ranks in list if exactly one group is known among them, and ""
// otherwise. Ranks that have not reported their group yet count as members of that group: as a
// group of their own they would have no known limit. This applies only to services that limit the
// rate of cold ranks; for others it returns "". The caller holds mu.
func (q *request) onlyGroup(list []balance.Candidate) (sole string) {
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

// groupOption returns how many requests a group holds and may hold, and adds the group's turnover
// to that of the request.
//
// Known is false if no limit is known from the group's passes, for example when it has just opened.
// Each rank may then hold as many requests as cost as much as a pass without any request, but no
// more than its slots. The limit is lower for a caller that was refused before. The caller holds
// mu.
func (q *request) groupOption(name string, ranks []balance.Candidate, now time.Time) (o grouplimit.Option, known bool) {
	o.Ranks = len(ranks)
	if o.Limit, known = q.g.passes.Limit(name, now); !known {
		o.Limit = min(float64(ranks[0].Slots), float64(ranks[0].FixedCost))
	}
	if v, ok := q.g.passes.Turnover(name, o.Limit, now); ok {
		q.turnover.Rate += v.Rate * float64(o.Ranks)
		q.turnover.FirstEvent = max(q.turnover.FirstEvent, v.FirstEvent)
	}
	if q.refusedBefore {
		o.Limit *= refusedBeforeShare
	}
	for _, c := range ranks {
		o.Requests += q.g.table.Outstanding(c.ID, now)
		o.OwnRequests += q.g.table.InFlight(c.ID)
		if c.SameDomain {
			o.SameDomain++
		}
	}
	return o, known
}

// shape returns how the passes of a service's engines are modeled. Ok is false for a service
// without engines, or whose configuration states no decode time. The shapes of the last used
// configuration are cached.
func (g *Gateway) shape(c *fleet.Config, service string) (s grouplimit.Shape, ok bool) {
	svc := c.Service(service)
	if svc == nil || svc.Engine == nil || svc.Engine.DecodeTimePerRequest <= 0 {
		return s, false
	}
	g.shapesMu.Lock()
	defer g.shapesMu.Unlock()
	if g.shapesConfig != c {
		g.shapesConfig, g.shapes = c, map[string]grouplimit.Shape{}
	}
	if s, ok = g.shapes[service]; !ok {
		s = grouplimit.NewShape(svc.Engine, c.MaxPause(service))
		g.shapes[service] = s
	}
	return s, true
}
