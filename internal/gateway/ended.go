// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// key returns what names the request and all that are the same.
func (q *request) key() quarantine.Key {
	if q.hasKey {
		return q.sameAs
	}
	customer := ""
	if q.customer != nil {
		customer = q.customer.Name
	}
	q.sameAs, q.hasKey = quarantine.KeyOf(q.r.Method, q.r.Host, q.r.RequestURI, customer, q.body), true
	return q.sameAs
}

// brokeOff looks whether the endpoint of a try that broke off with err has ended.
func (q *request) brokeOff(e fleet.Endpoint, err error) {
	if !closedByPeer(err) || !q.refusesConnections(e) {
		return
	}
	q.endedUnder++
	q.g.figures.ended.Inc(1)
	q.note(e.ID + ": has ended")
}

// closedByPeer reports whether a connection was ended by the other side, as by a process
// that ends. One that only fell silent tells nothing, and its peer may take long to ask.
func closedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, errUnsureEnd, errPartial, unix.ECONNRESET, unix.EPIPE)
}

// refusesConnections reports whether an endpoint's address refuses connections: its
// process has ended. That tells it from an endpoint that broke off one answer, and from a
// rank whose group was cut since another one has ended. The new connection is kept for the
// next request.
func (q *request) refusesConnections(e fleet.Endpoint) bool {
	conn, err := q.g.pool.Get(q.ctx, e.ID, e.Address, onceIdle)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	q.g.pool.Put(conn)
	return false
}
