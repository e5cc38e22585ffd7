// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// result says what became of one try.
type result int

// The results.
const (
	over      result = iota // The request has its final answer.
	unreached               // The endpoint could not be reached: nothing was sent.
	notRun                  // The endpoint did not run it and never will.
	unknown                 // It may have run.
)

// maxUnreached bounds the endpoints that are tried in vain before anything is
// sent.
const maxUnreached = 2

// run tries endpoints until the request has its final answer.
func (q *request) run() {
	last := unreached
	for {
		now := time.Now()
		if q.ctx.Err() != nil {
			q.outcome = left
			return
		}
		if !now.Before(q.final) {
			q.giveUp(last, true)
			return
		}
		if cause, ok := q.recheck(); !ok {
			q.note(cause)
			q.giveUp(last, false)
			return
		}
		if !q.keyFresh() {
			q.note("configuration too old for keys")
			q.tooOld = true
			q.giveUp(last, false)
			return
		}
		e, ok := q.choose(now)
		if !ok && q.full && len(q.tried) == 0 {
			e, ok = q.await(now)
		}
		if !ok {
			q.giveUp(last, false)
			return
		}
		if len(q.tried) > 0 && !q.paid && !q.takeRepeat(now) {
			q.note("repeats used up")
			q.giveUp(last, false)
			return
		}
		q.paid = false
		if last = q.try(e); last == over {
			return
		}
		q.paid = q.takeMoved()
		if last == unknown {
			q.mayRun = true
			if !q.mayGoOn() {
				q.giveUp(last, false)
				return
			}
		}
	}
}

// mayGoOn reports whether a request that may have run may be sent again: a stream of
// which the caller has a part only to where it can go on after that.
func (q *request) mayGoOn() bool {
	return q.route.MayRepeat() && (!q.reply.begun() || q.cursor.resumable())
}

// giveUp gives the final answer of a request that nothing more is tried for.
func (q *request) giveUp(last result, late bool) {
	switch {
	case q.ctx.Err() != nil:
		q.outcome = left
	case q.reply.begun():
		q.outcome = cutStream
	case q.kept != nil:
		q.passOn(q.kept.from, q.kept.resp, q.kept.body)
	case q.mayRun || last == unknown:
		if late {
			q.fail(http.StatusGatewayTimeout, "time over")
			return
		}
		q.fail(http.StatusBadGateway, "no answer that can be passed on")
	case late:
		q.refuse("time over before anything ran", fullRetry)
	default:
		q.refuse("not run", q.comeBack())
	}
}

// comeBack says when a request that has not run should be tried again.
func (q *request) comeBack() time.Duration {
	switch {
	case q.groupDown:
		return groupRetry
	case q.tooOld && q.g.alone():
		return aloneRetry
	case q.tooOld:
		return outageRetry
	case q.full:
		return fullRetry + time.Duration(random(int(fullSpread)))
	}
	if len(q.tried) > 0 {
		return fullRetry
	}
	return emptyRetry
}

// takeRepeat spends one repeat of the service's budget.
func (q *request) takeRepeat(now time.Time) bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if !q.g.window(q.service).Take(now) {
		return false
	}
	q.g.figures.repeats.Inc(1)
	return true
}

// onceIdle and repeatIdle are how long a connection may have been idle for a
// request. One that may not run twice gets a new one, since what a kept
// connection swallowed may have run.
const (
	onceIdle   = 0
	repeatIdle = 30 * time.Second
)

func (q *request) maxIdle() time.Duration {
	if q.route.MayRepeat() {
		return repeatIdle
	}
	return onceIdle
}

// try sends the request to one endpoint and relays its answer.
func (q *request) try(e fleet.Endpoint) result {
	g := q.g
	g.mu.Lock()
	if age, ok := g.table.Age(e.ID, time.Now()); ok {
		g.figures.loadAge.Update(age.Milliseconds())
	}
	g.table.Start(e.ID)
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.table.End(e.ID)
		g.mu.Unlock()
	}()
	conn, err := g.pool.Get(q.ctx, e.ID, e.Address, q.maxIdle())
	if err != nil {
		if q.ctx.Err() == nil {
			q.bad(e, 1, "unreached: "+err.Error())
		}
		q.unsent = append(q.unsent, e.ID)
		return unreached
	}
	stop := context.AfterFunc(q.ctx, conn.Close)
	defer stop()
	if !q.mayStillSend(e) {
		conn.Close()
		q.unsent = append(q.unsent, e.ID)
		return unreached
	}
	if len(q.tried) == 0 {
		g.mu.Lock()
		g.window(q.service).Request(time.Now())
		g.mu.Unlock()
	}
	return q.exchange(e, conn)
}

// mayStillSend looks once more, right before the send, whether the endpoint
// takes anything new and the configuration still counts: the process may have
// been stopped since.
func (q *request) mayStillSend(e fleet.Endpoint) bool {
	now, ok := q.g.view.State().Endpoints[e.ID]
	if !ok || now.Leaving || now.Address != e.Address {
		q.note(e.ID + " leaves")
		return false
	}
	if _, ok := q.recheck(); !ok || !q.keyFresh() {
		return false // The loop looks again and says why.
	}
	return time.Now().Before(q.final)
}

// exchange sends the request on a connection and relays the answer.
func (q *request) exchange(e fleet.Endpoint, conn *upstream.Conn) result {
	sentAt := time.Now()
	q.sentAt = sentAt
	q.tried = append(q.tried, e.ID)
	if q.route.MayRepeat() && q.route.Kind == fleet.Streaming {
		defer q.g.enter(e.ID, q, conn)()
	}
	out := &upstream.Request{Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Body: q.body}
	out.Header = q.g.codec.EndpointHeader(q.r.Header, q.stamp(e, sentAt))
	x, err := conn.Send(out, q.final)
	if err != nil {
		conn.Close()
		return q.broken(e, x, err)
	}
	var answer fleet.Answer
	resp, err := x.Head(out, func(status int, h http.Header) bool {
		answer = q.g.codec.ReadAnswer(status, h)
		return answer.ID == q.call.ID || answer.ID == "" && answer.NotRun
	})
	if err != nil {
		conn.Close()
		return q.broken(e, x, err)
	}
	if answer.NotRun {
		q.turnedAway(e, resp.StatusCode, answer)
		x.Abort()
		return notRun
	}
	if !answer.Signed || answer.Encoded {
		x.Abort()
		q.bad(e, 1, fmt.Sprintf("status %d without signature", resp.StatusCode))
		return unknown
	}
	q.lastRun = run{endpoint: e.ID, status: resp.StatusCode, framed: x.Framed()}
	if q.reply.begun() {
		if err := q.fits(resp, answer); err != nil {
			return q.notJoined(e, x, fault(resp.StatusCode), err)
		}
	}
	if q.isStream(resp) {
		if answer.Weights != "" {
			q.cursor.weights = answer.Weights
		}
		return q.relayStream(e, x, resp)
	}
	return q.relayWhole(e, x, resp)
}

// stamp is what the endpoint is told besides the caller's headers.
func (q *request) stamp(e fleet.Endpoint, now time.Time) fleet.Stamp {
	s := fleet.Stamp{EndpointID: e.ID, Left: q.final.Sub(now), Priority: q.priority()}
	if q.customer != nil {
		s.Customer = q.customer.Name
	}
	s.LastEvent = q.cursor.lastEvent()
	if q.reply.begun() {
		s.Weights = q.cursor.weights
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
		q.outcome = left
		return over
	}
	if x.Progress() == upstream.Unsent {
		q.tried = q.tried[:len(q.tried)-1]
		q.unsent = append(q.unsent, e.ID)
		q.bad(e, 1, "unsent: "+err.Error())
		return unreached
	}
	if q.moving(e) {
		return unknown
	}
	weight := 1.0
	if x.Conn().Reused() {
		weight = 0.5 // It may just have closed an idle connection.
	}
	q.bad(e, weight, err.Error())
	return unknown
}

// turnedAway notes an answer that says that the request was not run.
func (q *request) turnedAway(e fleet.Endpoint, status int, a fleet.Answer) {
	q.bad(e, 0, fmt.Sprintf("turned away: %d %s", status, a.AtFault)) // Being full is no fault.
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if status == http.StatusMisdirectedRequest && !q.reply.begun() { // Else it may have other weights.
		q.g.table.Misplaced(e.ID, time.Now())
	}
	if a.AtFault != "" {
		q.downGroup, q.groupDown = q.g.passes.Group(e.ID), true
	}
}

// bad notes a failure of an endpoint.
func (q *request) bad(e fleet.Endpoint, weight float64, text string) {
	q.note(e.ID + ": " + text)
	if weight == 0 {
		return
	}
	q.g.mu.Lock()
	out, ok := q.g.table.Bad(e.ID, weight, time.Now())
	q.g.mu.Unlock()
	if ok {
		q.g.log.Warn("endpoint taken out", zap.String("endpoint", e.ID), zap.String("cause", text), zap.Duration("for", out))
	}
}

func (q *request) good(e fleet.Endpoint) {
	q.g.mu.Lock()
	q.g.table.Good(e.ID, time.Now())
	q.g.mu.Unlock()
}

// maxAnswer bounds an answer that is not a stream.
const maxAnswer = 16 << 20

// relayWhole reads an answer to its end and only then passes it on, so that
// nothing goes out of one that is not whole.
func (q *request) relayWhole(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	body, err := x.ReadWhole(maxAnswer)
	if err != nil {
		x.Abort()
		if q.ctx.Err() != nil {
			q.outcome = left
			return over
		}
		q.bad(e, 1, err.Error())
		return unknown
	}
	x.Done(q.g.pool)
	if !q.sawEnd(e, x) {
		q.bad(e, 1, errUnsureEnd.Error())
		return unknown
	}
	if resp.StatusCode >= 500 {
		q.bad(e, 1, fmt.Sprintf("status %d", resp.StatusCode))
		if q.mayAskAnother() {
			q.kept = &keptAnswer{e, resp, body}
			return unknown
		}
	} else {
		q.good(e)
	}
	q.passOn(e, resp, body)
	return over
}

// run is what an endpoint sent in answer to a request, for the log.
type run struct {
	endpoint string
	status   int
	framed   bool // Its answer told where it ends.
	events   int  // That went to the caller.
}

// keptAnswer is an endpoint's own failure, which is passed on when no other
// endpoint does better.
type keptAnswer struct {
	from fleet.Endpoint
	resp *http.Response
	body []byte
}

// mayAskAnother reports whether the request could be sent to a further
// endpoint.
func (q *request) mayAskAnother() bool {
	if !q.route.MayRepeat() || len(q.tried) >= q.route.Attempts {
		return false
	}
	now := time.Now()
	if _, ok := q.choose(now); !ok {
		return false
	}
	return now.Before(q.final)
}

// passOn sends a whole answer to the caller.
func (q *request) passOn(e fleet.Endpoint, resp *http.Response, body []byte) {
	q.endpoint, q.outcome = e.ID, served
	q.firstAt = time.Now()
	if err := q.reply.sendWhole(q.headOf(resp), body); err != nil {
		q.note("caller: " + err.Error())
		q.outcome = left
	}
}

// headOf returns the head of an endpoint's answer as the caller gets it.
func (q *request) headOf(resp *http.Response) replyHead {
	h := q.g.codec.CallerHeader(resp.Header)
	if begun, _ := q.g.leaving(time.Now()); begun {
		h.Set("Connection", "close")
	}
	return replyHead{status: resp.StatusCode, header: h}
}
