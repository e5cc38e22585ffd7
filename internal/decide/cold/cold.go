// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package cold paces what one gateway sends to endpoints that are cold. For some
// seconds after a start under load an endpoint bears few requests a second, and falls
// over well above that; as a rank it takes its whole group with it, which then starts
// cold again. The load that this answers is that of the first seconds after an outage,
// when the callers of all gateways come back at once.
//
// Gateways do not ask each other. Each keeps to an equal part of what an endpoint
// bears, counted from a moment of its own, so that those that start together do not
// send together. The package is a pure state machine: time and chance come in as
// arguments, and the caller serialises access. Which endpoint a request goes to is
// package balance's matter.
package cold

import "time"

// Params is what is published of the cold endpoints of a service.
type Params struct {
	Period time.Duration // For which one is cold after a start.
	Rate   float64       // Requests a second that it bears meanwhile, from all gateways; 0 for no bound.
}

// fewestSenders is among how many gateways the rate is shared at least: one that has
// just started has not heard of the others yet.
const fewestSenders = 8

// Pacer follows which endpoints are cold and what was sent to them.
type Pacer struct {
	until   map[string]time.Time // Until when an endpoint or a group is cold.
	parts   map[string]*part     // By endpoint; of those that are cold.
	epochs  map[string]uint64    // Newest by group.
	senders int                  // Gateways that send to the same endpoints, this one among them.
}

// part is what this gateway may still send to one cold endpoint.
type part struct {
	tokens float64 // Requests; at most one, and less than none after several at once.
	at     time.Time
}

// New returns a pacer that takes every endpoint as warm.
func New() *Pacer {
	return &Pacer{until: map[string]time.Time{}, parts: map[string]*part{}, epochs: map[string]uint64{}, senders: fewestSenders}
}

// SetSenders tells among how many gateways, this one among them, endpoints share.
func (p *Pacer) SetSenders(n int) { p.senders = max(n, fewestSenders) }

// MarkCold takes in that an endpoint said it stays cold for so long.
func (p *Pacer) MarkCold(id string, left time.Duration, now time.Time) {
	if until := now.Add(left); left > 0 && until.After(p.until[id]) {
		p.until[id] = until
	}
}

// Started takes in that an endpoint, or each rank of a group, may have started just now:
// it is taken as cold for as long as a start makes it.
func (p *Pacer) Started(name string, t Params, now time.Time) { p.MarkCold(name, t.Period, now) }

// RecordGroupOpen takes in the epoch that a group says it is open in. In another one than before
// the group has formed anew, which follows from the start of at least one of its ranks.
func (p *Pacer) RecordGroupOpen(group string, epoch uint64, t Params, now time.Time) {
	if group == "" || t.Rate <= 0 {
		return
	}
	if had, ok := p.epochs[group]; !ok || had != epoch {
		p.epochs[group] = epoch
		p.Started(group, t, now)
	}
}

// Cold reports whether an endpoint of a group, "" for none, is to be taken as cold.
func (p *Pacer) Cold(id, group string, now time.Time) bool {
	return now.Before(p.until[id]) || group != "" && now.Before(p.until[group])
}

// MaySend reports whether this gateway may send one more request to a cold endpoint.
// Random returns a number from 0 up to 1.
func (p *Pacer) MaySend(id string, t Params, random func() float64, now time.Time) bool {
	return t.Rate <= 0 || p.part(id, t, random, now).tokens >= 1
}

// RecordSent notes that a request goes to a cold endpoint.
func (p *Pacer) RecordSent(id string, t Params, random func() float64, now time.Time) {
	if t.Rate > 0 {
		p.part(id, t, random, now).tokens--
	}
}

// paceShare is the part of what a cold endpoint bears that all gateways together send
// it: their parts fall due by chance, and of 150 that all send as much as they may, up
// to twice the mean fall due in one second.
const paceShare = 0.8

// Rate returns how many requests a second this gateway may send to a cold endpoint.
func (p *Pacer) Rate(t Params) float64 { return paceShare * t.Rate / float64(p.senders) }

// part brings what may be sent to an endpoint up to date. It begins with a part of a
// request that chance gives: with whole ones, as many requests as there are gateways
// would come at once, which is more than an endpoint bears in a second.
func (p *Pacer) part(id string, t Params, random func() float64, now time.Time) *part {
	at, ok := p.parts[id]
	if !ok {
		at = &part{tokens: random(), at: now}
		p.parts[id] = at
		return at
	}
	if passed := now.Sub(at.at); passed > 0 {
		at.tokens = min(at.tokens+p.Rate(t)*passed.Seconds(), 1)
		at.at = now
	}
	return at
}

// Forget drops what has passed.
func (p *Pacer) Forget(now time.Time) {
	for name, until := range p.until {
		if !now.Before(until) {
			delete(p.until, name)
		}
	}
	for id, at := range p.parts {
		if now.Sub(at.at) > forgetAfter {
			delete(p.parts, id)
		}
	}
}

// forgetAfter is how long after the last request an endpoint is forgotten: some times as
// long as one is cold.
const forgetAfter = 10 * time.Second
