// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// maxAnswerBytes limits the size of an answer that is not a stream.
const maxAnswerBytes = 16 << 20

// relayComplete reads an answer to its end before passing it on, so that no incomplete answer is
// sent. An error answer of the endpoint is held back as fallback if another endpoint can be tried.
func (q *request) relayComplete(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	body, err := q.readCompleteBody(x)
	if err != nil {
		x.Abort()
		if q.ctx.Err() != nil {
			q.noteCallerLeft(e, "answer incomplete", q.sentAt)
			q.outcome = callerLeft
			return done
		}
		switch {
		case errors.Is(err, errBufferFull):
			q.attemptFinished = true
			q.recordFailure(e, 0, err.Error()) // The gateway, not the endpoint, lacks memory.
		case !errors.Is(err, upstream.ErrSilent):
			q.recordAnswerFailure(e, 1, err)
			q.checkEndpointEnded(e, err)
		}
		return unknown
	}
	q.returnToPool(x)
	q.recordResponseTime(time.Now())
	if !q.confirmEnd(e, x) {
		q.recordFailure(e, 1, errAmbiguousEnd.Error())
		q.checkEndpointEnded(e, errAmbiguousEnd)
		return unknown
	}
	q.recordCompletion()
	if resp.StatusCode >= 500 {
		q.recordFailure(e, 1, fmt.Sprintf("status %d", resp.StatusCode))
		if q.mayTryAnother() {
			q.fallback = &fallbackAnswer{e, resp, body}
			return unknown
		}
	} else {
		q.recordSuccess(e)
	}
	q.sendAnswer(e, resp, body)
	return done
}

// readCompleteBody reads the body of an answer. Its memory counts as buffered; if reading fails, it no
// longer does.
func (q *request) readCompleteBody(x *upstream.Exchange) (body [][]byte, err error) {
	before := q.buffered
	body, err = x.ReadWhole(maxAnswerBytes, q.reserveAnswer)
	length := 0
	for _, piece := range body {
		length += len(piece)
	}
	q.addBuffered(length - int(q.buffered-before))
	return body, err
}

// endpointResponse is what an endpoint sent in answer to a request, for the log.
type endpointResponse struct {
	endpoint string
	status   int
	framed   bool // The answer marked its own end.
	events   int  // Number of events sent to the caller.
}

// fallbackAnswer is the error answer of an endpoint, which is passed on if no other endpoint gives
// a better one.
type fallbackAnswer struct {
	from fleet.Endpoint
	resp *http.Response
	body [][]byte
}

// endpointLeaving reports whether an endpoint is leaving or no longer listed.
func (q *request) endpointLeaving(e fleet.Endpoint) bool {
	s := q.g.view.State()
	_, missing := s.Missing[e.ID]
	current, listed := s.Endpoints[e.ID]
	return missing || !listed || q.g.isLeaving(current)
}

// mayTryAnother reports whether the request could be sent to another endpoint. It chooses one, with
// all effects of chooseEndpoint; the next choice or the end of run returns the charge for it.
func (q *request) mayTryAnother() bool {
	if !q.route.MayRepeat() || len(q.attempted) >= q.route.MaxAttempts {
		return false
	}
	now := time.Now()
	if !q.mayBegin(now) {
		return false
	}
	if _, ok := q.chooseEndpoint(now); !ok {
		return false
	}
	return now.Before(q.deadline)
}

// sendAnswer sends a complete answer to the caller, and sets the outcome.
func (q *request) sendAnswer(e fleet.Endpoint, resp *http.Response, body [][]byte) {
	q.servedBy, q.outcome = e.ID, served
	q.firstByteAt = time.Now()
	if err := q.reply.sendComplete(q.callerHead(resp), body...); err != nil {
		q.note("caller: " + err.Error())
		q.outcome = callerLeft
	}
}

// callerHead returns the head of an endpoint's answer for the caller.
func (q *request) callerHead(resp *http.Response) replyHead {
	h := q.g.codec.CallerHeader(resp.Header)
	if begun, _ := q.g.stopState(time.Now()); begun {
		h.Set("Connection", "close")
	}
	return replyHead{status: resp.StatusCode, header: h}
}

// confirmEnd reports whether the end of a body that was read is the end of the answer. An unframed
// body ends with its connection, but a process that ends closes the connection properly, too, perhaps
// before its listener. The end counts if the endpoint still accepts connections a while later. A
// process may end in the middle of a stream, so the end of a stream counts only if the stream had an
// event and the endpoint is not leaving, too. The new connection is kept for the next request.
func (q *request) confirmEnd(e fleet.Endpoint, x *upstream.Exchange) bool {
	if x.Framed() {
		return true
	}
	if q.reply.begun() && (q.lastResponse.events == 0 || q.endpointLeaving(e)) {
		return false
	}
	wait.For(q.ctx, q.g.cfg.EndCheckDelay)
	conn, err := q.g.pool.Get(q.ctx, e.ID, e.Address, maxIdleNonRepeatable)
	if err != nil {
		q.note(e.ID + ": after an answer without a length: " + err.Error())
		return false
	}
	if !q.route.MayRepeat() {
		conn.Close() // Requests of this kind do not reuse connections.
		return true
	}
	q.g.pool.Put(conn)
	return true
}
