// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/line"
	"github.com/canvaspulley/canvaspulley/internal/decide/room"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

const (
	// waitPoll is the time between two looks of the request that is next: a part of
	// the shortest pass, so that room is used while it is new.
	waitPoll = 12 * time.Millisecond
)

// await waits for room as long as the request will be served in time, in the line
// of its service. It reports whether there is an endpoint now.
func (q *request) await(now time.Time) (e fleet.Endpoint, ok bool) {
	g := q.g
	until := q.arrived.Add(q.route.TargetLatency - q.turnover.FirstEvent)
	if q.lastTry() {
		until = q.keptUntil(q.turnover.FirstEvent)
	}
	if until.After(q.final) {
		until = q.final
	}
	w := line.Waiter{ID: g.lastWaiter.Add(1), Class: int(q.class()), Deadline: until}
	if q.customer != nil {
		w.Customer = q.customer.Name
	}
	var joined bool
	duty.Locked(&g.mu, func() { joined = g.line(q.service).Join(w, q.turnover.Rate, g.sharers(), q.lastTry(), now) })
	if !joined {
		return e, false
	}
	g.figures.waited.Inc(1)
	q.inLine = true
	defer func() {
		q.inLine = false
		g.mu.Lock()
		defer g.mu.Unlock()
		g.line(q.service).Leave(w.ID, ok, time.Now())
	}()
	for now.Before(until) && q.ctx.Err() == nil && q.g.ended.Err() == nil {
		wait.For(q.ctx, min(waitPoll, until.Sub(now)))
		now = time.Now()
		q.waited = now.Sub(q.arrived)
		var next bool
		duty.Locked(&g.mu, func() { next = g.line(q.service).IsNext(w.ID, now) })
		if !next {
			continue
		}
		if e, ok = q.choose(now); ok || !q.full {
			return e, ok
		}
	}
	return e, false
}

// class returns the request's place in the order in which requests get room. An answer
// to a caller who was refused before is late anyhow.
func (q *request) class() room.Class { return room.ClassOf(q.priority(), q.lastTry()) }

// line returns the line of a service. The caller holds mu.
func (g *Gateway) line(service string) *line.Queue {
	l, ok := g.lines[service]
	if !ok {
		l = &line.Queue{}
		g.lines[service] = l
	}
	return l
}

// queued reports whether others wait for a service already. The caller holds mu.
func (g *Gateway) queued(service string) bool { return g.line(service).Len() > 0 }
