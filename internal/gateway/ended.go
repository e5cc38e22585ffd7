// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// suspicion is what is known of a request as one that may end endpoints.
type suspicion struct {
	sameAs     quarantine.Key
	hasKey     bool                 // The key above was worked out.
	sending    quarantine.Knowledge // What was known of the request when it was last sent.
	wentAt     time.Time            // When that was, by the clock that counts suspensions.
	finished   bool                 // The try under way came to its end, or was turned away.
	endedUnder int                  // Endpoints that ended under its tries.
	onTrial    bool                 // It is sent to see whether it still ends endpoints.
	heldFor    time.Duration        // It may not be sent for so long; 0 when it may.
}

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

// noteUnfinished remembers that a try at an endpoint did not come to its end.
func (q *request) noteUnfinished(e fleet.Endpoint) {
	q.g.unfinished.note(e.ID, unfinished{key: q.key(), sending: q.sending, at: time.Now()})
}

// ranToEnd takes in that an endpoint ran the request and lives on.
func (q *request) ranToEnd() {
	q.finished = true
	q.g.suspects.RecordSuccess(q.key)
}

// brokeOff looks whether the endpoint of a try that broke off with err has ended.
func (q *request) brokeOff(e fleet.Endpoint, err error) (ended bool) {
	if !closedByPeer(err) || !q.g.refusesConnections(q.ctx, e, onceIdle) {
		return false
	}
	q.endedUnder++
	q.g.figures.ended.Inc(1)
	q.note(e.ID + ": has ended")
	q.noteUnfinished(e)
	q.g.endpointEnded(e)
	return true
}

// lookLater looks a while later whether an endpoint has ended at which a try did not come to
// its end: it may have given the answer up before it closed its listener, or the try may have
// been given up here before that. One look does for all tries of that while.
func (g *Gateway) lookLater(e fleet.Endpoint) {
	if !g.unfinished.beginLook(e.ID) {
		return
	}
	g.lookers.Go(func() error {
		wait.For(context.Background(), g.cfg.EndCheckDelay)
		g.unfinished.endLook(e.ID)
		duty.Contain("look", g.log, g.figures.reg, func() {
			if g.refusesConnections(context.Background(), e, repeatIdle) {
				g.endpointEnded(e)
			}
		})
		return nil // What was found is told to endpointEnded.
	})
}

// endpointEnded puts the end of an endpoint's process down to the tries that did not come
// to their end there, unless it was planned.
func (g *Gateway) endpointEnded(e fleet.Endpoint) {
	list := g.unfinished.take(e.ID, time.Now())
	if listed, ok := g.view.State().Endpoints[e.ID]; ok && g.leaves(listed) {
		return
	}
	for _, u := range list {
		g.suspects.RecordEnd(u.key, e.ID, u.sending, g.cfg.Now())
	}
}

// trialRetry is for a request that another gateway is trying: a run takes about a second.
const trialRetry = time.Second

// quarantined reports whether the request may not be sent, as endpoints ended under it or
// under others that are the same, here or at other gateways. Without it each try, each
// gateway and each time that its caller came again cost one more endpoint, and its group
// some five seconds: three in five seconds of a day.
func (q *request) quarantined() bool {
	now := q.g.cfg.Now()
	v, left := q.g.suspects.Judge(q.key, now)
	q.heldFor = 0
	switch {
	case v == quarantine.Free, v == quarantine.Trial && q.onTrial:
		return false
	case v == quarantine.Trial && q.g.ownsTrial(q.key()) && q.g.suspects.BeginTrial(q.key(), now, now.Add(q.left())):
		q.onTrial = true
		return false
	case v == quarantine.Trial:
		left = trialRetry
	}
	q.heldFor = left
	return true
}

// noteSending notes what is known of the request as it is sent.
func (q *request) noteSending() {
	q.wentAt = q.g.cfg.Now()
	q.sending = q.g.suspects.SendingState(q.key, q.wentAt)
	if q.onTrial {
		q.sending = quarantine.OnTrial
	}
}

// ownsTrial reports whether a request that is to be tried at one place only is tried here.
func (g *Gateway) ownsTrial(k quarantine.Key) bool {
	var owner func(quarantine.Key) bool
	duty.Locked(&g.mu, func() { owner = g.ownerOf })
	return owner == nil || owner(k)
}

// closedByPeer reports whether a connection was ended by the other side, as by a process
// that ends. One that only fell silent tells nothing, and its peer may take long to ask.
func closedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, errUnsureEnd, errPartial, unix.ECONNRESET, unix.EPIPE)
}

// refusesConnections reports whether an endpoint's address refuses connections: its
// process has ended. That tells it from an endpoint that broke off one answer, and from a
// rank whose group was cut since another one has ended. A connection that was idle for less
// than maxIdle and is sound does for a new one; it is kept for the next request.
func (g *Gateway) refusesConnections(ctx context.Context, e fleet.Endpoint, maxIdle time.Duration) bool {
	conn, err := g.pool.Get(ctx, e.ID, e.Address, maxIdle)
	if err != nil {
		return connectionRefused(err)
	}
	g.pool.Put(conn)
	return false
}

// connectionRefused reports whether a connection was refused.
func connectionRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }
