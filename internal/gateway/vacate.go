// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// movableRequest is the current attempt of a request that may be moved. The fields of request
// belong to its own goroutine, so moveRequests uses these copies, except for what does not change
// during an attempt: configuration, service and customer.
type movableRequest struct {
	conn     *upstream.Conn
	mayRetry bool // It may be sent to one more endpoint.
	route    string
}

// registerMovable records that a request is at an endpoint from which it may be moved. Unregister
// removes the record; it may be called more than once.
func (g *Gateway) registerMovable(id string, q *request, conn *upstream.Conn) (unregister func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.movable[id] == nil {
		g.movable[id] = map[*request]movableRequest{}
	}
	g.movable[id][q] = movableRequest{conn: conn, mayRetry: len(q.attempted) < q.route.MaxAttempts, route: q.route.Name}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if delete(g.movable[id], q); len(g.movable[id]) == 0 {
			delete(g.movable, id)
		}
	}
}

// moveRequests moves this process's requests away from an endpoint, as far as the retry budget
// allows: it interrupts their answers, and each request continues at another rank after the last
// event that has arrived.
func (g *Gateway) moveRequests(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.otherEndpointAccepts(id) {
		return
	}
	for q, attempt := range g.movable[id] {
		if !attempt.mayRetry || q.moved || !q.stillAllowed(true) || !g.endsBeforeStop(attempt.route, 0, q.remaining(), time.Now()) || !g.takeRetry(q.service, retryMoved) {
			continue
		}
		g.stats.moved.Inc(1)
		q.moved, q.retryService = true, q.service
		g.log.Info("request moved", zap.String("id", q.call.ID), zap.String("from", id))
		attempt.conn.Interrupt()
	}
}

// otherEndpointAccepts reports whether another endpoint of the same service accepts new requests.
// The caller holds mu.
func (g *Gateway) otherEndpointAccepts(id string) bool {
	s := g.view.State()
	service := s.Endpoints[id].Service
	for _, e := range s.Endpoints {
		if e.ID != id && e.Service == service && !e.Leaving && !g.backoffs.Leaving(incarnationOf(e)) && !s.Evacuated(e.Domain) {
			return true
		}
	}
	return false
}

// consumeMoved reports whether moveRequests ended the last attempt, and clears that mark.
func (q *request) consumeMoved() bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	moved := q.moved
	q.moved = false
	return moved
}

// noteIfMoved reports whether moveRequests is ending the current attempt, and notes it if so. The
// endpoint is not at fault then.
func (q *request) noteIfMoved(e fleet.Endpoint) bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.moved {
		q.note(e.ID + ": request moved away from a slow rank")
	}
	return q.moved
}
