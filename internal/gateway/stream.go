// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// event is one whole event of a stream, with the blank line that ends it.
type event struct {
	raw   []byte
	id    int64
	hasID bool
}

// errPartial means that a stream ended within an event.
var errPartial = errors.New("the stream ended within an event")

// readEvent reads one event into buf, io.EOF when the stream ended before it.
func readEvent(br *bufio.Reader, buf []byte) (ev event, err error) {
	ev.raw = buf[:0]
	for {
		line, err := br.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.raw) < maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
			return ev, errPartial
		}
		if err != nil {
			return ev, err
		}
		if len(ev.raw) > maxEvent {
			return ev, errors.Newf("an event of more than %d bytes", maxEvent)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if ev.id, err = strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err != nil {
				return ev, errors.Wrap(err, "event id")
			}
			ev.hasID = true
		}
	}
}

// relayStream passes events on as they come. Only whole events go out, so that
// another endpoint can go on after the last one.
func (q *request) relayStream(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	br := x.Reader()
	var buf []byte
	for {
		ev, err := readEvent(br, buf)
		buf = ev.raw
		if errors.Is(err, io.EOF) {
			return q.endStream(e, x, resp)
		}
		if err != nil {
			x.Abort()
			return q.brokenStream(e, err)
		}
		if ev.hasID && q.hasID && ev.id <= q.lastID {
			x.Abort()
			q.bad(e, 1, "event id "+strconv.FormatInt(ev.id, 10)+" came again")
			return unknown
		}
		if err := q.sendEvent(e, resp, ev, br.Buffered() == 0); err != nil {
			x.Abort()
			q.note("caller: " + err.Error())
			q.outcome = left
			return over
		}
	}
}

// sendEvent passes one event on; flush is set when no further one is at hand.
func (q *request) sendEvent(e fleet.Endpoint, resp *http.Response, ev event, flush bool) error {
	if !q.begun {
		q.begun = true
		q.endpoint, q.status = e.ID, resp.StatusCode
		q.firstAt = time.Now()
		q.noteHead(e.ID, resp.StatusCode)
		q.copyHead(resp)
		q.w.WriteHeader(resp.StatusCode)
	}
	if _, err := q.w.Write(ev.raw); err != nil {
		return err
	}
	now := time.Now()
	q.noteTime(e, now)
	q.lastAt = now
	q.events++
	q.lastRun.events++
	if ev.hasID {
		q.lastID, q.hasID = ev.id, true
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(q.w).Flush()
}

// noteTime tells what the time of an event says of the passes of its group.
func (q *request) noteTime(e fleet.Endpoint, now time.Time) {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.events == 0 {
		q.g.passes.First(e.ID, now.Sub(q.sentAt))
		return
	}
	q.pause = max(q.pause, now.Sub(q.lastAt))
	q.g.passes.Gap(e.ID, now.Sub(q.lastAt), now)
}

// endStream ends a stream that its endpoint ended as whole.
func (q *request) endStream(e fleet.Endpoint, x *upstream.Exchange, resp *http.Response) result {
	if !q.begun {
		x.Abort()
		q.bad(e, 1, "a stream without events")
		return unknown
	}
	q.g.figures.streamEnd(q.lastRun)
	x.Done(q.g.pool)
	q.good(e)
	q.outcome = served
	return over
}

// brokenStream judges a stream that broke off.
func (q *request) brokenStream(e fleet.Endpoint, err error) result {
	if q.ctx.Err() != nil {
		q.outcome = left
		return over
	}
	if !q.moving(e) {
		q.bad(e, 1, "stream: "+err.Error())
	}
	if q.begun {
		// What came whole is the caller's, whatever becomes of the rest.
		if err := http.NewResponseController(q.w).Flush(); err != nil {
			q.note("caller: " + err.Error())
		}
		q.g.figures.resumed.Inc(1)
	}
	return unknown
}
