// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package coldstart limits the rate at which one gateway sends requests to cold endpoints. For some seconds
// after a start under load, an endpoint can take only a few requests per second and fails well above
// that; if it is a rank, it takes its whole group down with it, which then starts cold again. This
// matters in the first seconds after an outage, when the callers of all gateways return at once.
//
// Gateways do not coordinate. Each sends an equal share of what an endpoint can take, starting at a
// random point in time, so that gateways that start together do not send at the same times. The
// package is a pure state machine: time and randomness are passed in as arguments, and the caller
// serialises access. Package balance picks the endpoint of a request.
package coldstart

import "time"

// Params holds the published parameters of the cold endpoints of a service.
type Params struct {
	Period time.Duration // Time for which an endpoint is cold after a start.
	Rate   float64       // Requests per second that it can take meanwhile, from all gateways together; 0 for no limit.
}

// minSenders is the least number of gateways assumed to share the rate: a gateway that has just
// started does not know the others yet.
const minSenders = 8

// Pacer tracks which endpoints are cold and how many requests were sent to them.
type Pacer struct {
	coldUntil map[string]time.Time // By endpoint or group, until when it is cold.
	budgets   map[string]*budget   // By cold endpoint.
	epochs    map[string]uint64    // Newest epoch by group.
	senders   int                  // Number of gateways that send to the same endpoints, including this one.
}

// budget is the token bucket of this gateway for one cold endpoint.
type budget struct {
	tokens    float64 // In requests: at most 1, and negative after several requests at once.
	updatedAt time.Time
}

// New returns a pacer for which every endpoint is warm.
func New() *Pacer {
	return &Pacer{coldUntil: map[string]time.Time{}, budgets: map[string]*budget{}, epochs: map[string]uint64{}, senders: minSenders}
}

// SetSenders sets the number of gateways, including this one, that share endpoints.
func (p *Pacer) SetSenders(n int) { p.senders = max(n, minSenders) }

// MarkCold records an endpoint's report that it remains cold for the given time. It never shortens
// the time that the endpoint is taken to be cold.
func (p *Pacer) MarkCold(id string, remaining time.Duration, now time.Time) {
	if until := now.Add(remaining); remaining > 0 && until.After(p.coldUntil[id]) {
		p.coldUntil[id] = until
	}
}

// Started records that an endpoint, or each rank of a group, may have just started: it is taken to be
// cold for the period after a start.
func (p *Pacer) Started(name string, t Params, now time.Time) { p.MarkCold(name, t.Period, now) }

// RecordGroupOpen records the epoch in which a group reports to be open. A new epoch means that the
// group has formed anew, and therefore that at least one of its ranks has started: the whole group is
// taken to be cold. Nothing is recorded without a group, or for endpoints without a limit when cold.
func (p *Pacer) RecordGroupOpen(group string, epoch uint64, t Params, now time.Time) {
	if group == "" || t.Rate <= 0 {
		return
	}
	if known, ok := p.epochs[group]; !ok || known != epoch {
		p.epochs[group] = epoch
		p.Started(group, t, now)
	}
}

// Cold reports whether an endpoint of a group, "" for none, is taken to be cold.
func (p *Pacer) Cold(id, group string, now time.Time) bool {
	return now.Before(p.coldUntil[id]) || group != "" && now.Before(p.coldUntil[group])
}

// MaySend reports whether this gateway may send one more request to a cold endpoint; it takes nothing
// from the budget. random returns a number in [0, 1).
func (p *Pacer) MaySend(id string, t Params, random func() float64, now time.Time) bool {
	return t.Rate <= 0 || p.updatedBudget(id, t, random, now).tokens >= 1
}

// RecordSent takes a request that is sent to a cold endpoint from its budget, below 0 if necessary.
func (p *Pacer) RecordSent(id string, t Params, random func() float64, now time.Time) {
	if t.Rate > 0 {
		p.updatedBudget(id, t, random, now).tokens--
	}
}

// targetRateShare is the share of a cold endpoint's rate that all gateways together send. The budgets
// of the gateways refill at random times: of 150 gateways that all send as much as they may, up to
// twice as many as on average send within the same second.
const targetRateShare = 0.8

// Rate returns the requests per second that this gateway may send to a cold endpoint.
func (p *Pacer) Rate(t Params) float64 { return targetRateShare * t.Rate / float64(p.senders) }

// updatedBudget returns the up-to-date budget for an endpoint. A new budget starts with a random
// fraction of a request: if all gateways started with a whole one, as many requests as there are
// gateways would arrive at once, which is more than an endpoint can take in a second.
func (p *Pacer) updatedBudget(id string, t Params, random func() float64, now time.Time) *budget {
	b, ok := p.budgets[id]
	if !ok {
		b = &budget{tokens: random(), updatedAt: now}
		p.budgets[id] = b
		return b
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.tokens+p.Rate(t)*elapsed.Seconds(), 1)
		b.updatedAt = now
	}
	return b
}

// Forget removes endpoints and groups that are no longer cold, and budgets that were last updated more
// than budgetRetention ago.
func (p *Pacer) Forget(now time.Time) {
	for name, until := range p.coldUntil {
		if !now.Before(until) {
			delete(p.coldUntil, name)
		}
	}
	for id, b := range p.budgets {
		if now.Sub(b.updatedAt) > budgetRetention {
			delete(p.budgets, id)
		}
	}
}

// budgetRetention is the time after its last update for which a budget is kept: a few times as long as
// an endpoint is cold.
const budgetRetention = 10 * time.Second
