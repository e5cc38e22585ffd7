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
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// maxIdleNonRepeatable and maxIdleRepeatable limit how long a reused connection may have been idle.
// A request that must not run twice gets a new connection, since a request lost on a reused one may
// have run. The last retry of any request gets a new connection, too.
const (
	maxIdleNonRepeatable = 0
	maxIdleRepeatable    = 30 * time.Second
)

// maxIdle returns how long a connection to an endpoint may have been idle to be used for the next
// attempt; 0 stands for a new connection. That also applies to an endpoint that has just closed a
// reused connection.
func (q *request) maxIdle(e fleet.Endpoint) time.Duration {
	lastRepeat := len(q.attempted) > 0 && len(q.attempted)+1 >= q.route.MaxAttempts
	if !q.route.MayRepeat() || lastRepeat || e.ID == q.closedReused {
		return maxIdleNonRepeatable
	}
	return maxIdleRepeatable
}

// attempt sends the request to one endpoint and relays its answer. It returns unreached without
// sending anything if it gets no connection, or if the endpoint must not be sent the request any
// more.
func (q *request) attempt(e fleet.Endpoint) result {
	g := q.g
	duty.Locked(&g.mu, func() {
		if age, ok := g.table.LoadAge(e.ID, time.Now()); ok {
			g.stats.loadAgeMs.Update(age.Milliseconds())
		}
		g.table.Start(e.ID)
		q.recordColdSend(e.ID, time.Now())
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
			q.noteCallerLeft(e, "connecting", began)
		} else {
			q.recordFailure(e, 1, "unreached: "+err.Error())
			duty.Locked(&g.mu, func() { q.recordUnreachable(e.ID, err, time.Now()) })
			if connectionRefused(err) {
				g.recordEndpointEnd(e)
			}
		}
		q.unreachable = append(q.unreachable, e.ID)
		return unreached
	}
	defer q.bindConn(conn)()
	if !q.mayStillSend(e) {
		conn.Close()
		q.unreachable = append(q.unreachable, e.ID)
		return unreached
	}
	return q.exchange(e, conn)
}

// bindConn has the connection closed when the caller leaves or the process terminates. Release ends
// that, since a connection that was returned to the pool may belong to another request. So does the
// function detachConn, which bindConn sets.
func (q *request) bindConn(conn *upstream.Conn) (release func()) {
	detachCaller := context.AfterFunc(q.ctx, conn.Close)
	detachProcess := context.AfterFunc(q.g.processCtx, conn.Close)
	detach := func() bool {
		callerDetached, processDetached := detachCaller(), detachProcess()
		return callerDetached && processDetached
	}
	q.detachConn = detach
	return func() { detach() }
}

// returnToPool returns the connection of an answer that was read to its end to the pool. From then
// on nothing that ends this request may close the connection.
func (q *request) returnToPool(x *upstream.Exchange) {
	q.unregisterMovable()
	if !q.detachConn() {
		x.Abort() // The caller has left, and the connection is being closed.
		return
	}
	x.Done(q.g.pool)
}

// mayStillSend checks again, right before sending, whether the endpoint accepts new requests and
// the configuration is still valid: the process may have been suspended since the last check. The
// checks take effect as in run: revalidate adopts a newer configuration, and checkQuarantined may
// begin a trial.
func (q *request) mayStillSend(e fleet.Endpoint) bool {
	s := q.g.view.State()
	current, ok := s.Endpoints[e.ID]
	if !ok || q.g.isLeaving(current) || current.Address != e.Address {
		q.note(e.ID + " is leaving")
		return false
	}
	if q.g.isBackingOff(e) {
		q.note(e.ID + " is backing off")
		return false
	}
	if s.Evacuated(e.Domain) {
		q.note(e.ID + ": its failure domain is evacuated")
		return false
	}
	if !q.mayBegin(time.Now()) {
		return false // The loop in run repeats the check.
	}
	if _, ok := q.revalidate(); !ok || !q.keyFresh() {
		return false // The loop in run repeats the check and notes the cause.
	}
	if q.checkQuarantined() {
		return false // As above.
	}
	return q.remaining() > 0
}

// exchange sends the request on a connection and relays the answer.
func (q *request) exchange(e fleet.Endpoint, conn *upstream.Conn) result {
	sentAt := time.Now()
	q.sentAt = sentAt
	q.usePermit(e)
	q.recordSending() // After usePermit: a trial's answer counts only if it was sent no earlier than the trial began.
	q.attemptFinished = false
	defer func() {
		// If nothing was sent, connectionFailed has removed the endpoint from attempted.
		if !q.attemptFinished && len(q.attempted) > 0 && q.attempted[len(q.attempted)-1] == e.ID {
			q.noteUnfinished(e)
			q.g.checkEndedLater(e)
		}
	}()
	q.attempted, q.closedReused = append(q.attempted, e.ID), ""
	if q.route.MayRepeat() && q.route.Kind == fleet.Streaming {
		q.unregisterMovable = q.g.registerMovable(e.ID, q, conn)
		defer q.unregisterMovable()
	}
	out := &upstream.Request{Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Body: q.body}
	out.Header = q.g.codec.EndpointHeader(q.r.Header, q.attemptInfo(e))
	x, err := conn.Send(out, q.deadline)
	if err != nil {
		conn.Close()
		return q.connectionFailed(e, x, err)
	}
	q.watchSilence(e, x)
	var answer fleet.Answer
	resp, err := x.Head(out, func(status int, h http.Header) bool {
		answer = q.g.codec.ReadAnswer(status, h)
		return answer.ID == q.call.ID || answer.ID == "" && answer.NotRun
	})
	if err != nil {
		conn.Close()
		if q.takenOver {
			return done
		}
		return q.connectionFailed(e, x, err)
	}
	if !q.reserveHead(x.HeadBytes()) {
		x.Abort()
		q.attemptFinished = true
		q.recordFailure(e, 0, errBufferFull.Error())
		return unknown
	}
	return q.relay(e, x, resp, answer)
}

// relay handles an answer whose head was received. An answer that says that the request was not run
// is recorded, and an answer without the signature of the endpoint or with an encoded body is
// dropped as a failure. Any other answer is passed on to the caller, as a stream or complete.
func (q *request) relay(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response, answer fleet.Answer) result {
	q.applyAnswerHints(e, resp.StatusCode, answer)
	if answer.NotRun {
		q.attemptFinished = true
		q.recordNotRun(e, resp.StatusCode, answer)
		x.Abort()
		return notRun
	}
	if !answer.Signed || answer.Encoded {
		x.Abort()
		q.recordFailure(e, 1, fmt.Sprintf("status %d without signature", resp.StatusCode))
		return unknown
	}
	q.g.suspects.RecordAlive(e.ID, q.sentBoottime)
	q.lastResponse = endpointResponse{endpoint: e.ID, status: resp.StatusCode, framed: x.Framed()}
	if q.reply.begun() {
		if err := q.checkContinuation(resp, answer); err != nil {
			return q.rejectContinuation(e, x, faultWeight(resp.StatusCode), err)
		}
	}
	if q.isStream(resp) {
		if answer.WeightsVersion != "" {
			q.cursor.weights = answer.WeightsVersion
		}
		return q.relayStream(e, x, resp)
	}
	return q.relayComplete(e, x, resp)
}

// attemptInfo returns what is sent to the endpoint in addition to the caller's headers. The weights
// version is given only if a stream is continued, which must come from the same version.
func (q *request) attemptInfo(e fleet.Endpoint) fleet.AttemptInfo {
	s := fleet.AttemptInfo{EndpointName: e.Name(), TimeLeft: q.remaining(), Priority: q.priority()}
	if q.customer != nil {
		s.Customer = q.customer.Name
	}
	s.LastEventID = q.cursor.lastEvent()
	if q.reply.begun() {
		s.WeightsVersion = q.cursor.weights
	}
	return s
}

// faultWeight returns the weight with which the status of an answer counts as a failure of its
// endpoint.
func faultWeight(status int) float64 {
	if status >= http.StatusInternalServerError {
		return 1
	}
	return 0
}

// connectionFailed handles a connection that failed before the head of an answer was received. The
// result is done if the caller has left, unreached if the request was not sent, and unknown
// otherwise.
func (q *request) connectionFailed(e fleet.Endpoint, x *upstream.Exchange, err error) result {
	if q.ctx.Err() != nil {
		q.noteCallerLeft(e, "no answer yet", q.sentAt)
		q.outcome = callerLeft
		return done
	}
	if x.Progress() == upstream.Unsent {
		q.attempted = q.attempted[:len(q.attempted)-1]
		q.unreachable = append(q.unreachable, e.ID)
		if !q.noteIfMoved(e) {
			q.recordFailure(e, 1, "unsent: "+err.Error())
		}
		return unreached
	}
	if errors.Is(err, upstream.ErrSilent) || q.noteIfMoved(e) {
		return unknown // The failure is recorded already, or the endpoint is not at fault.
	}
	q.retryCause = retryReset
	weight, reused := 1.0, x.Conn().Reused()
	if reused && !errors.IsAny(err, upstream.ErrTooLong, httphead.ErrMalformed) {
		weight = 0.5 // It may just have closed an idle connection.
	}
	q.recordAnswerFailure(e, weight, err)
	if ended := q.checkEndpointEnded(e, err); reused && !ended && closedByPeer(err) {
		q.closedReused = e.ID
	}
	return unknown
}

// recordNotRun records an answer saying that the request was not run. If another endpoint has
// answered at the address of e, e is marked as misplaced; an endpoint may give the same status
// because of the weights version, which does not count. If the answer blames an endpoint, the whole
// group of e rejects the request.
func (q *request) recordNotRun(e fleet.Endpoint, status int, a fleet.Answer) {
	q.retryCause = retryNotRun
	q.recordFailure(e, 0, fmt.Sprintf("rejected without running it: %d %s", status, a.BlamedEndpoint)) // Being full is no fault.
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if status == http.StatusMisdirectedRequest && a.Endpoint != e.Name() && !q.pinsWeights() {
		q.g.table.MarkMisplaced(e.ID, time.Now())
	}
	if a.BlamedEndpoint != "" {
		q.rejectingGroup, q.groupRejected, q.groupRejectedAt = q.g.passes.GroupOf(e.ID), true, time.Now()
	}
}

// pinsWeights reports whether the endpoint may reject the request because of its weights version:
// the caller asked for a version, or a stream is continued under one.
func (q *request) pinsWeights() bool {
	return q.call.WeightsVersion != "" || q.reply.begun() && q.cursor.weights != ""
}

// noteCallerLeft notes how far the attempt was, and its duration, when the caller left. Such an
// attempt has no result of its own.
func (q *request) noteCallerLeft(e fleet.Endpoint, progress string, since time.Time) {
	q.note(fmt.Sprintf("%s: %s after %d ms, as the caller left", e.ID, progress, time.Since(since).Milliseconds()))
}

// recordFailure notes a failure and counts it against the endpoint with the given weight, which may
// eject the endpoint. A weight of 0 only notes it: the endpoint is not at fault.
func (q *request) recordFailure(e fleet.Endpoint, weight float64, text string) {
	q.note(e.ID + ": " + text)
	if weight == 0 {
		return
	}
	var ejection time.Duration
	var ejected bool
	duty.Locked(&q.g.mu, func() { ejection, ejected = q.g.table.RecordFailure(e.ID, weight, time.Now()) })
	if ejected {
		q.g.log.Warn("endpoint ejected", zap.String("endpoint", e.ID), zap.String("cause", text), zap.Duration("for", ejection))
	}
}

// recordAnswerFailure records a failure because an answer could not be read, and counts malformed ones.
func (q *request) recordAnswerFailure(e fleet.Endpoint, weight float64, err error) {
	if errors.Is(err, httphead.ErrMalformed) {
		q.g.stats.malformedHeads.Inc(1)
	}
	q.recordFailure(e, weight, err.Error())
}

// recordSuccess records that an endpoint has answered completely and without an error of its own.
func (q *request) recordSuccess(e fleet.Endpoint) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.table.RecordSuccess(e.ID, time.Now())
}
