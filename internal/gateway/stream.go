// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// Errors of streams that end before their end.
var (
	errPartial   = errors.New("the stream ended within an event")
	errUnsureEnd = errors.New("the connection ended, and with it perhaps the endpoint's process")
)

// eventStream is the media type of streams.
const eventStream = "text/event-stream"

// isStream reports whether an answer is a stream of events; all else is passed on
// when it is whole.
func (q *request) isStream(resp *http.Response) bool {
	if q.route.Kind != fleet.Streaming || resp.StatusCode != http.StatusOK {
		return false
	}
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && media == eventStream
}

// fits returns why an answer cannot go on with a stream that has begun. Its head
// cannot reach the caller any more, so nothing but a stream of the same weights may
// follow: the body of an endpoint's own failure would end the caller's answer as if
// the stream were whole.
func (q *request) fits(resp *http.Response, a fleet.Answer) error {
	switch {
	case !q.isStream(resp):
		return errors.Newf("status %d where a stream goes on", resp.StatusCode)
	case a.WeightsVersion != "" && q.cursor.weights != "" && a.WeightsVersion != q.cursor.weights:
		return errors.Newf("weights %s where a stream of weights %s goes on", a.WeightsVersion, q.cursor.weights)
	}
	return nil
}

// notJoined drops an answer, or the rest of one, that cannot go on with the stream.
// The endpoint is at fault for a failure of its own and for events out of order, but
// not for a request that it does not take.
func (q *request) notJoined(e fleet.Endpoint, x *upstream.Exchange, weight float64, why error) result {
	x.Abort()
	q.g.figures.notJoined.Inc(1)
	q.bad(e, weight, why.Error())
	return unknown
}

// joinFault is the weight with which events out of order count against an endpoint:
// nothing when all that is known of their order is what the caller claims to have.
func (q *request) joinFault() float64 {
	if q.events == 0 {
		return 0
	}
	return 1
}

// relayStream passes events on as they come. Only whole events go out, so that
// another endpoint can go on after the last one.
func (q *request) relayStream(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	joined := q.events > 0
	br := x.Reader()
	var buf []byte
	for {
		ev, err := q.g.readEvent(br, buf)
		buf = ev.raw
		if errors.Is(err, io.EOF) {
			return q.endStream(e, x, resp)
		}
		if err != nil {
			x.Abort()
			return q.brokenStream(e, err)
		}
		first := q.lastRun.events == 0
		if err := q.cursor.check(ev, joined && first); err != nil {
			return q.notJoined(e, x, q.joinFault(), err)
		}
		if !ev.placed() && !q.stays() {
			x.Abort()
			return unknown
		}
		if err := q.sendEvent(e, resp, ev, br.Buffered() == 0); err != nil {
			x.Abort()
			q.note("caller: " + err.Error())
			q.outcome = left
			return over
		}
		q.cursor.pass(ev, first)
	}
}

// stays keeps the request from being moved, since after an event without an id it
// can go on nowhere else. It reports false if it is being moved already.
func (q *request) stays() bool {
	q.leavePlace()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return !q.moved
}

// sendEvent passes one event on; flush is set when no further one is at hand.
func (q *request) sendEvent(e fleet.Endpoint, resp *http.Response, ev event, flush bool) error {
	var h replyHead
	if !q.reply.begun() {
		h = q.headOf(resp)
		q.endpoint = e.ID
		q.firstAt = time.Now()
	}
	if err := q.reply.sendEvent(h, ev.raw); err != nil {
		return err
	}
	if ev.hasData {
		now := time.Now()
		q.noteTime(e, now)
		q.lastAt = now
		q.events++
		q.lastRun.events++
	}
	if !flush {
		return nil
	}
	return q.reply.flush()
}

// noteTime tells what the time of an event says of the passes of its group.
func (q *request) noteTime(e fleet.Endpoint, now time.Time) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.events == 0 {
		q.g.passes.RecordFirstEvent(e.ID, now.Sub(q.sentAt))
		return
	}
	q.pause = max(q.pause, now.Sub(q.lastAt))
	q.g.passes.RecordGap(e.ID, now.Sub(q.lastAt), now)
}

// endStream ends a stream that its endpoint ended as whole.
func (q *request) endStream(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	if !q.reply.begun() {
		return q.endEmpty(e, x, resp)
	}
	q.handBack(x)
	if !q.sawEnd(e, x) {
		return q.brokenStream(e, errUnsureEnd)
	}
	if err := q.reply.endStream(); err != nil {
		q.note(err.Error())
		q.outcome = cutStream
		return over
	}
	q.g.figures.streamEnd(q.lastRun)
	q.good(e)
	q.ranToEnd()
	q.outcome = served
	return over
}

// endEmpty ends a stream of which no event came. It is whole for a caller that has
// had events before, if its framing says so: it had the last one.
func (q *request) endEmpty(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	if !q.cursor.known || !x.Framed() {
		x.Abort()
		q.bad(e, 1, "a stream without events")
		return unknown
	}
	q.handBack(x)
	q.finished = true // It had run before; that says nothing of what it does to endpoints.
	q.g.figures.streamEnd(q.lastRun)
	q.good(e)
	q.passOn(e, resp, nil)
	return over
}

// brokenStream judges a stream that broke off.
func (q *request) brokenStream(e fleet.Endpoint, err error) result {
	if q.ctx.Err() != nil {
		q.noteLeft(e, "stream not ended", q.sentAt)
		q.outcome = left
		return over
	}
	if !errors.Is(err, upstream.ErrSilent) && !q.moving(e) {
		q.bad(e, 1, "stream: "+err.Error())
		q.brokeOff(e, err)
	}
	q.leaveOff()
	return unknown
}

// leaveOff passes on what came whole of a stream that ends here: it is the caller's,
// whatever becomes of the rest.
func (q *request) leaveOff() {
	if !q.reply.begun() {
		return
	}
	if err := q.reply.flush(); err != nil {
		q.note("caller: " + err.Error())
	}
	q.g.figures.resumed.Inc(1)
}
