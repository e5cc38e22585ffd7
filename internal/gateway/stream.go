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

// Errors of streams that were cut.
var (
	errPartialEvent = errors.New("the stream ended within an event")
	errAmbiguousEnd = errors.New("the connection ended, possibly together with the endpoint's process")
)

// eventStream is the media type of streams.
const eventStream = "text/event-stream"

// isStream reports whether an answer is a stream of events. All other answers are relayed once they
// are complete.
func (q *request) isStream(resp *http.Response) bool {
	if q.route.Kind != fleet.Streaming || resp.StatusCode != http.StatusOK {
		return false
	}
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && media == eventStream
}

// checkContinuation returns why an answer cannot continue a stream that has begun. Its head can no
// longer reach the caller, so it must be a stream of the same weights version: the body of an error
// answer would end the caller's answer as if the stream were complete.
func (q *request) checkContinuation(resp *http.Response, a fleet.Answer) error {
	switch {
	case !q.isStream(resp):
		return errors.Newf("status %d where a stream is continued", resp.StatusCode)
	case a.WeightsVersion != "" && q.cursor.weights != "" && a.WeightsVersion != q.cursor.weights:
		return errors.Newf("weights %s where a stream of weights %s is continued", a.WeightsVersion, q.cursor.weights)
	}
	return nil
}

// rejectContinuation drops an answer, or the rest of one, that cannot continue the stream. The
// endpoint is at fault for an error of its own and for events out of order, but not for a request
// that it does not accept.
func (q *request) rejectContinuation(e fleet.Endpoint, x *upstream.Exchange, weight float64, why error) result {
	x.Abort()
	q.g.stats.continuationsRejected.Inc(1)
	q.recordFailure(e, weight, why.Error())
	return unknown
}

// continuationFault returns the weight with which events out of order count as a failure of an
// endpoint: zero if their order is known only from what the caller claims to have received.
func (q *request) continuationFault() float64 {
	if q.events == 0 {
		return 0
	}
	return 1
}

// relayStream passes events on as they arrive. Only complete events are sent, so that another
// endpoint can continue after the last one.
func (q *request) relayStream(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	continuing := q.events > 0
	events := &eventReader{br: x.Reader(), weights: q.g.codec.EventWeights, reserve: q.reserveAnswer}
	defer events.release()
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return q.endStream(e, x, resp)
		}
		if err != nil {
			x.Abort()
			if q.takenOver {
				return done
			}
			return q.streamFailed(e, err)
		}
		first := q.lastResponse.events == 0
		if err := q.cursor.check(ev, continuing && first); err != nil {
			return q.rejectContinuation(e, x, q.continuationFault(), err)
		}
		if !ev.marksPosition() && !q.pinToEndpoint() {
			x.Abort()
			return unknown
		}
		q.acceptTakeover(e, x)
		if err := q.sendEvent(e, resp, ev, !events.nextBuffered()); err != nil {
			x.Abort()
			q.note("caller: " + err.Error())
			q.outcome = callerLeft
			return done
		}
		q.cursor.advance(ev, first)
	}
}

// pinToEndpoint excludes the request from being moved, since it cannot be continued elsewhere after
// an event without an id. It returns false if the request is being moved already.
func (q *request) pinToEndpoint() bool {
	q.unregisterMovable()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return !q.moved
}

// sendEvent passes one event on, preceded by the head of resp if the answer has not begun. Flush is
// true if no further complete event is buffered.
func (q *request) sendEvent(e fleet.Endpoint, resp *http.Response, ev event, flush bool) error {
	var h replyHead
	if !q.reply.begun() {
		h = q.callerHead(resp)
		q.servedBy = e.ID
		q.firstByteAt = time.Now()
	}
	if err := q.reply.sendEvent(h, ev.raw); err != nil {
		return err
	}
	if ev.hasData {
		now := time.Now()
		q.recordEventTime(e, now)
		q.lastEventAt = now
		q.events++
		q.lastResponse.events++
	}
	if !flush {
		return nil
	}
	return q.reply.flush()
}

// recordEventTime records the time to the request's first event, or the gap since its last event,
// for the passes of the endpoint's group.
func (q *request) recordEventTime(e fleet.Endpoint, now time.Time) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.events == 0 {
		q.g.passes.RecordFirstEvent(e.ID, now.Sub(q.sentAt))
		return
	}
	q.maxEventGap = max(q.maxEventGap, now.Sub(q.lastEventAt))
	q.g.passes.RecordGap(e.ID, now.Sub(q.lastEventAt), now)
}

// endStream ends a stream whose body was read to its end. The stream counts as cut if its end
// cannot be told from the end of the endpoint's process.
func (q *request) endStream(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	if !q.reply.begun() {
		return q.endEmptyStream(e, x, resp)
	}
	q.acceptTakeover(e, x)
	q.returnToPool(x)
	if !q.confirmEnd(e, x) {
		return q.streamFailed(e, errAmbiguousEnd)
	}
	if err := q.reply.endStream(); err != nil {
		q.note(err.Error())
		q.outcome = cutStream
		return done
	}
	q.g.stats.countStreamEnd(q.lastResponse)
	q.recordSuccess(e)
	q.recordCompletion()
	q.outcome = served
	return done
}

// endEmptyStream ends a stream without any event. It is complete if its framing says so and the
// caller had received events before, by the id that it names: the last of them was the end.
// Otherwise the endpoint has failed.
func (q *request) endEmptyStream(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	if !q.cursor.idKnown || !x.Framed() {
		x.Abort()
		q.recordFailure(e, 1, "a stream without events")
		return unknown
	}
	q.returnToPool(x)
	q.attemptFinished = true // It had run before, so this shows nothing of its effect on endpoints.
	q.g.stats.countStreamEnd(q.lastResponse)
	q.recordSuccess(e)
	q.sendAnswer(e, resp, nil)
	return done
}

// streamFailed handles a stream that was cut. If the caller has left, the request ends. Otherwise
// the failure counts against the endpoint, unless its silence has been recorded already or the
// request is being moved.
func (q *request) streamFailed(e fleet.Endpoint, err error) result {
	if q.ctx.Err() != nil {
		q.noteCallerLeft(e, "stream not ended", q.sentAt)
		q.outcome = callerLeft
		return done
	}
	q.retryCause = retryReset
	switch {
	case errors.Is(err, errBufferFull):
		q.recordFailure(e, 0, "stream: "+err.Error()) // The gateway, not the endpoint, lacks memory.
	case !errors.Is(err, upstream.ErrSilent) && !q.noteIfMoved(e):
		q.recordAnswerFailure(e, 1, errors.Wrap(err, "stream"))
		q.checkEndpointEnded(e, err)
	}
	q.flushPartialStream()
	return unknown
}

// flushPartialStream sends the complete events of a stream that was cut, and counts the stream as
// interrupted. The events reach the caller whether or not the stream is continued.
func (q *request) flushPartialStream() {
	if !q.reply.begun() {
		return
	}
	if err := q.reply.flush(); err != nil {
		q.note("caller: " + err.Error())
	}
	q.g.stats.interruptedStreams.Inc(1)
}
