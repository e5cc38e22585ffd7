// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// onceIdle and repeatIdle are how long a connection may have been idle for a
// request. One that may not run twice gets a new one, since what a kept
// connection swallowed may have run, and so does the last repeat of any.
const (
	onceIdle   = 0
	repeatIdle = 30 * time.Second
)

func (q *request) maxIdle(e fleet.Endpoint) time.Duration {
	lastRepeat := len(q.tried) > 0 && len(q.tried)+1 >= q.route.MaxAttempts
	if !q.route.MayRepeat() || lastRepeat || e.ID == q.closedUnder {
		return onceIdle
	}
	return repeatIdle
}

// try sends the request to one endpoint and relays its answer.
func (q *request) try(e fleet.Endpoint) result {
	g := q.g
	duty.Locked(&g.mu, func() {
		if age, ok := g.table.LoadAge(e.ID, time.Now()); ok {
			g.figures.loadAge.Update(age.Milliseconds())
		}
		g.table.Start(e.ID)
		q.sendsTo(e.ID, time.Now())
	})
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.table.End(e.ID)
	}()
	began := time.Now()
	conn, err := g.pool.Get(q.ctx, e.ID, e.Address, q.maxIdle(e))
	if err != nil {
		if q.ctx.Err() != nil {
			q.noteLeft(e, "connecting", began)
		} else {
			q.bad(e, 1, "unreached: "+err.Error())
			duty.Locked(&g.mu, func() { q.noteUnreached(e.ID, err, time.Now()) })
			if connectionRefused(err) {
				g.endpointEnded(e)
			}
		}
		q.unsent = append(q.unsent, e.ID)
		return unreached
	}
	defer q.hold(conn)()
	if !q.mayStillSend(e) {
		conn.Close()
		q.unsent = append(q.unsent, e.ID)
		return unreached
	}
	if len(q.tried) == 0 {
		duty.Locked(&g.mu, func() { g.window(q.service).RecordRequest(g.cfg.Now()) })
	}
	return q.exchange(e, conn)
}

// hold ends the connection with the caller or the process, for as long as the request uses it. The
// function ends that; a connection that is handed back is another request's.
func (q *request) hold(conn *upstream.Conn) (release func()) {
	left := context.AfterFunc(q.ctx, conn.Close)
	ended := context.AfterFunc(q.g.ended, conn.Close)
	unhold := func() bool {
		there, goesOn := left(), ended()
		return there && goesOn
	}
	q.unhold = unhold
	return func() { unhold() }
}

// handBack gives the connection of an answer that was read to its end to the pool.
// Nothing that ends this request's connection may then find it any more.
func (q *request) handBack(x *upstream.Exchange) {
	q.leavePlace()
	if !q.unhold() {
		x.Abort() // The caller has left, and the connection is being closed.
		return
	}
	x.Done(q.g.pool)
}

// mayStillSend looks once more, right before the send, whether the endpoint
// takes anything new and the configuration still counts: the process may have
// been stopped since.
func (q *request) mayStillSend(e fleet.Endpoint) bool {
	s := q.g.view.State()
	now, ok := s.Endpoints[e.ID]
	if !ok || q.g.leaves(now) || now.Address != e.Address {
		q.note(e.ID + " leaves")
		return false
	}
	if q.g.rests(e) {
		q.note(e.ID + " has asked for rest")
		return false
	}
	if s.Evacuated(e.Domain) {
		q.note(e.ID + ": its failure domain is evacuated")
		return false
	}
	if _, ok := q.recheck(); !ok || !q.keyFresh() {
		return false // The loop looks again and says why.
	}
	if q.quarantined() {
		return false // As above.
	}
	return q.left() > 0
}

// exchange sends the request on a connection and relays the answer.
func (q *request) exchange(e fleet.Endpoint, conn *upstream.Conn) result {
	sentAt := time.Now()
	q.sentAt = sentAt
	q.usePermit(e)
	q.noteSending() // After that: a trial's answer counts if it was sent no earlier than the trial.
	q.finished = false
	defer func() {
		if !q.finished && len(q.tried) > 0 && q.tried[len(q.tried)-1] == e.ID {
			q.noteUnfinished(e)
			q.g.lookLater(e)
		}
	}()
	q.tried, q.closedUnder = append(q.tried, e.ID), ""
	if q.route.MayRepeat() && q.route.Kind == fleet.Streaming {
		q.leavePlace = q.g.enter(e.ID, q, conn)
		defer q.leavePlace()
	}
	out := &upstream.Request{Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Body: q.body}
	out.Header = q.g.codec.EndpointHeader(q.r.Header, q.stamp(e))
	x, err := conn.Send(out, q.final)
	if err != nil {
		conn.Close()
		return q.broken(e, x, err)
	}
	q.watch(e, x)
	var answer fleet.Answer
	resp, err := x.Head(out, func(status int, h http.Header) bool {
		answer = q.g.codec.ReadAnswer(status, h)
		return answer.ID == q.call.ID || answer.ID == "" && answer.NotRun
	})
	if err != nil {
		conn.Close()
		return q.broken(e, x, err)
	}
	return q.relay(e, x, resp, answer)
}

// relay judges an answer, whose head has come, by what it says of itself, and passes
// on what is the caller's.
func (q *request) relay(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response, answer fleet.Answer) result {
	q.hearAnswer(e, resp.StatusCode, answer)
	if answer.NotRun {
		q.finished = true
		q.turnedAway(e, resp.StatusCode, answer)
		x.Abort()
		return notRun
	}
	if !answer.Signed || answer.Encoded {
		x.Abort()
		q.bad(e, 1, fmt.Sprintf("status %d without signature", resp.StatusCode))
		return unknown
	}
	q.g.suspects.RecordAlive(e.ID, q.wentAt)
	q.lastRun = endpointRun{endpoint: e.ID, status: resp.StatusCode, framed: x.Framed()}
	if q.reply.begun() {
		if err := q.fits(resp, answer); err != nil {
			return q.notJoined(e, x, fault(resp.StatusCode), err)
		}
	}
	if q.isStream(resp) {
		if answer.WeightsVersion != "" {
			q.cursor.weights = answer.WeightsVersion
		}
		return q.relayStream(e, x, resp)
	}
	return q.relayWhole(e, x, resp)
}

// stamp is what the endpoint is told besides the caller's headers.
func (q *request) stamp(e fleet.Endpoint) fleet.AttemptInfo {
	s := fleet.AttemptInfo{EndpointName: e.Name(), TimeLeft: q.left(), Priority: q.priority()}
	if q.customer != nil {
		s.Customer = q.customer.Name
	}
	s.LastEventID = q.cursor.lastEvent()
	if q.reply.begun() {
		s.WeightsVersion = q.cursor.weights
	}
	return s
}

// fault is the weight with which an answer's status counts against its endpoint.
func fault(status int) float64 {
	if status >= http.StatusInternalServerError {
		return 1
	}
	return 0
}

// broken judges a connection that failed before the head of an answer.
func (q *request) broken(e fleet.Endpoint, x *upstream.Exchange, err error) result {
	if q.ctx.Err() != nil {
		q.noteLeft(e, "no answer yet", q.sentAt)
		q.outcome = left
		return over
	}
	if x.Progress() == upstream.Unsent {
		q.tried = q.tried[:len(q.tried)-1]
		q.unsent = append(q.unsent, e.ID)
		if !q.moving(e) {
			q.bad(e, 1, "unsent: "+err.Error())
		}
		return unreached
	}
	if errors.Is(err, upstream.ErrSilent) || q.moving(e) {
		return unknown // Judged already, or no fault.
	}
	weight, reused := 1.0, x.Conn().Reused()
	if reused {
		weight = 0.5 // It may just have closed an idle connection.
	}
	q.bad(e, weight, err.Error())
	if ended := q.brokeOff(e, err); reused && !ended && closedByPeer(err) {
		q.closedUnder = e.ID
	}
	return unknown
}

// turnedAway notes an answer that says that the request was not run.
func (q *request) turnedAway(e fleet.Endpoint, status int, a fleet.Answer) {
	q.bad(e, 0, fmt.Sprintf("turned away: %d %s", status, a.BlamedEndpoint)) // Being full is no fault.
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if status == http.StatusMisdirectedRequest && a.Endpoint != e.Name() && !q.asksForWeights() {
		q.g.table.MarkMisplaced(e.ID, time.Now())
	}
	if a.BlamedEndpoint != "" {
		q.downGroup, q.groupDown, q.downAt = q.g.passes.GroupOf(e.ID), true, time.Now()
	}
}

// asksForWeights reports whether the request may be turned away because of the
// endpoint's weights, by its caller's wish or since a stream goes on under them.
func (q *request) asksForWeights() bool {
	return q.call.WeightsVersion != "" || q.reply.begun() && q.cursor.weights != ""
}

// noteLeft notes the try that was under way as the caller left: it has no end of its own.
func (q *request) noteLeft(e fleet.Endpoint, where string, since time.Time) {
	q.note(fmt.Sprintf("%s: %s after %d ms, as the caller left", e.ID, where, time.Since(since).Milliseconds()))
}

// bad notes a failure of an endpoint.
func (q *request) bad(e fleet.Endpoint, weight float64, text string) {
	q.note(e.ID + ": " + text)
	if weight == 0 {
		return
	}
	var out time.Duration
	var ok bool
	duty.Locked(&q.g.mu, func() { out, ok = q.g.table.RecordFailure(e.ID, weight, time.Now()) })
	if ok {
		q.g.log.Warn("endpoint taken out", zap.String("endpoint", e.ID), zap.String("cause", text), zap.Duration("for", out))
	}
}

func (q *request) good(e fleet.Endpoint) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.table.RecordSuccess(e.ID, time.Now())
}
