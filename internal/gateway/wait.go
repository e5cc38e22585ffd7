// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/slotshare"
	"github.com/canvaspulley/canvaspulley/internal/decide/waitqueue"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

const (
	// queuePoll is the interval between checks by the request at the head of the queue: a fraction
	// of the shortest pass, so that new capacity is used promptly.
	queuePoll = 12 * time.Millisecond
)

// awaitCapacity waits in the queue of the request's service for capacity, as long as the request
// can still be served in time. A caller that would not retry waits for as long as holdUntil allows.
// The request does not wait at all if the queue expects that its turn comes too late. It reports
// whether an endpoint is available now.
func (q *request) awaitCapacity(now time.Time) (e fleet.Endpoint, ok bool) {
	g := q.g
	until := q.arrived.Add(q.route.TargetLatency - q.turnover.FirstEvent)
	if q.wontReturn() {
		until = q.holdUntil(q.turnover.FirstEvent)
	}
	if until.After(q.deadline) {
		until = q.deadline
	}
	w := waitqueue.Waiter{ID: g.lastWaiterID.Add(1), Class: int(q.class()), Deadline: until}
	if q.customer != nil {
		w.Customer = q.customer.Name
	}
	var joined bool
	var ahead int
	duty.Locked(&g.mu, func() {
		ahead = g.queue(q.service).Len()
		joined = g.queue(q.service).Join(w, q.turnover.Rate, q.otherDemand, q.wontReturn(), now)
	})
	if !joined {
		q.note(fmt.Sprintf("not queued: its turn would come too late, %d waiting here, %.1f times as many elsewhere, %.1f requests/s", ahead, q.otherDemand, q.turnover.Rate))
		return e, false
	}
	g.stats.waited.Inc(1)
	q.inQueue = true
	defer func() {
		q.inQueue = false
		g.mu.Lock()
		defer g.mu.Unlock()
		g.queue(q.service).Leave(w.ID, ok, time.Now())
	}()
	for now.Before(until) && q.ctx.Err() == nil && q.g.processCtx.Err() == nil && q.mayBegin(now) {
		wait.For(q.ctx, min(queuePoll, until.Sub(now)))
		now = time.Now()
		q.waited = now.Sub(q.arrived)
		var next bool
		duty.Locked(&g.mu, func() { next = g.queue(q.service).IsNext(w.ID, now) })
		if !next {
			continue
		}
		if e, ok = q.chooseEndpoint(now); ok || !q.noCapacity {
			return e, ok
		}
	}
	q.note("no capacity while it was queued")
	return e, false
}

// class returns the request's class in the order of admission. A caller that would not retry counts
// as late: the answer to one that was refused before is late anyway.
func (q *request) class() slotshare.Class { return slotshare.ClassOf(q.priority(), q.wontReturn()) }

// queue returns the queue of a service. The caller holds mu.
func (g *Gateway) queue(service string) *waitqueue.Queue {
	l, ok := g.queues[service]
	if !ok {
		l = &waitqueue.Queue{}
		g.queues[service] = l
	}
	return l
}

// anyQueued reports whether requests are already waiting for a service. The caller holds mu.
func (g *Gateway) anyQueued(service string) bool { return g.queue(service).Len() > 0 }
