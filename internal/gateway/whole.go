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

// maxAnswer bounds an answer that is not a stream.
const maxAnswer = 16 << 20

// relayWhole reads an answer to its end and only then passes it on, so that
// nothing goes out of one that is not whole.
func (q *request) relayWhole(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	body, err := q.readWhole(x, resp)
	if err != nil {
		x.Abort()
		if q.ctx.Err() != nil {
			q.noteLeft(e, "answer not whole", q.sentAt)
			q.outcome = left
			return over
		}
		switch {
		case errors.Is(err, errTooMuch):
			q.finished = true
			q.bad(e, 0, err.Error()) // The lack is the gateway's own.
		case !errors.Is(err, upstream.ErrSilent):
			q.bad(e, 1, err.Error())
			q.brokeOff(e, err)
		}
		return unknown
	}
	q.handBack(x)
	q.noteTook(time.Now())
	if !q.sawEnd(e, x) {
		q.bad(e, 1, errUnsureEnd.Error())
		q.brokeOff(e, errUnsureEnd)
		return unknown
	}
	q.ranToEnd()
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

// readWhole reads an answer's body, which counts as kept as it comes; one that fails does not
// count any more.
func (q *request) readWhole(x *upstream.Exchange, resp *http.Response) (body []byte, err error) {
	before := q.keeps
	defer func() { q.keep(len(body) - int(q.keeps-before)) }()
	announced := resp.ContentLength
	if resp.Body == http.NoBody || announced > maxAnswer { // None, or one that is not read.
		announced = 0
	}
	announced = max(announced, 0)
	if !q.reserve(announced) {
		return nil, errTooMuch
	}
	resp.Body = &keeping{resp.Body, q, announced}
	return x.ReadWhole(maxAnswer)
}

// endpointRun is what an endpoint sent in answer to a request, for the log.
type endpointRun struct {
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

// leaves reports whether an endpoint is known to end soon, or is not listed any more.
func (q *request) leaves(e fleet.Endpoint) bool {
	s := q.g.view.State()
	_, missing := s.Missing[e.ID]
	now, listed := s.Endpoints[e.ID]
	return missing || !listed || q.g.leaves(now)
}

// mayAskAnother reports whether the request could be sent to a further
// endpoint.
func (q *request) mayAskAnother() bool {
	if !q.route.MayRepeat() || len(q.tried) >= q.route.MaxAttempts {
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

// sawEnd reports whether the end of a body that was read is the end of the answer. A
// body without framing ends with its connection, which a process that ends closes in
// order as well. It counts if the endpoint still takes connections, and for a stream,
// which a process may end in the middle of, if it brought an event and its endpoint
// is not leaving and still takes them a while later. The new connection is kept for
// the next request.
func (q *request) sawEnd(e fleet.Endpoint, x *upstream.Exchange) bool {
	if x.Framed() {
		return true
	}
	if q.reply.begun() { // A stream; other answers are sent on later.
		if q.lastRun.events == 0 || q.leaves(e) {
			return false
		}
		wait.For(q.ctx, q.g.cfg.EndCheckDelay)
	}
	conn, err := q.g.pool.Get(q.ctx, e.ID, e.Address, onceIdle)
	if err != nil {
		q.note(e.ID + ": after an answer without a length: " + err.Error())
		return false
	}
	if !q.route.MayRepeat() {
		conn.Close() // No request of this kind would use it.
		return true
	}
	q.g.pool.Put(conn)
	return true
}
