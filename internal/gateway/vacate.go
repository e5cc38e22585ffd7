// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// place is where a request is that may be moved. The request's own fields are its
// goroutine's, so what vacate needs of them is kept here, but for what a request does not
// change while it is at an endpoint: its configuration, service and customer.
type place struct {
	conn     *upstream.Conn
	mayRetry bool // It may be sent to one more endpoint.
}

// enter notes that a request is at an endpoint, from which it may be moved. The
// function takes it out again.
func (g *Gateway) enter(id string, q *request, conn *upstream.Conn) (leave func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.at[id] == nil {
		g.at[id] = map[*request]place{}
	}
	g.at[id][q] = place{conn: conn, mayRetry: len(q.tried) < q.route.MaxAttempts}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if delete(g.at[id], q); len(g.at[id]) == 0 {
			delete(g.at, id)
		}
	}
}

// vacate moves the requests of this process away from an endpoint, as far as the
// budget of repeats allows: their connections end, and each goes on at another
// rank after the last event that its caller got.
func (g *Gateway) vacate(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.othersTake(id) {
		return
	}
	for q, at := range g.at[id] {
		if !at.mayRetry || q.moved || !q.staysAllowed(true) || !g.window(q.service).Take(g.cfg.Now(), rand.Float64) {
			continue
		}
		g.figures.moved.Inc(1)
		q.moved = true
		g.log.Info("request moved", zap.String("id", q.call.ID), zap.String("from", id))
		at.conn.Close()
	}
}

// othersTake reports whether another endpoint of the same service takes anything new. The
// caller holds mu.
func (g *Gateway) othersTake(id string) bool {
	s := g.view.State()
	service := s.Endpoints[id].Service
	for _, e := range s.Endpoints {
		if e.ID != id && e.Service == service && !e.Leaving && !g.backoffs.Leaving(life(e)) && !s.Evacuated(e.Domain) {
			return true
		}
	}
	return false
}

// takeMoved reports whether the try that has just ended was ended by vacate, and
// forgets it.
func (q *request) takeMoved() bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	moved := q.moved
	q.moved = false
	return moved
}

// moving reports whether the try under way is being ended by vacate, which is no
// fault of its endpoint.
func (q *request) moving(e fleet.Endpoint) bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.moved {
		q.note(e.ID + ": moved away, it is slow")
	}
	return q.moved
}
