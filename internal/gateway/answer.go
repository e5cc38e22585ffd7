// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// Times after which a caller that was refused should come back.
const (
	staleRetry = 1 * time.Second       // Another gateway may be asked by then.
	stopRetry  = 50 * time.Millisecond // Another gateway is there.
	// emptyRetry is for a service of which no endpoint is listed, or none that may be
	// used: processes start anew within seconds.
	emptyRetry = 2 * time.Second
	// aloneRetry is for what only this gateway cannot do, as it hears of nobody: the
	// caller reaches another one then.
	aloneRetry = 200 * time.Millisecond
	// outageRetry is for configuration that is too old for keys at all gateways: the
	// store is away for all, which takes seconds.
	outageRetry = 2500 * time.Millisecond
	// groupRetry is for a group that is down: what its ranks wait for takes
	// seconds, and callers wait for at most a third of the time they have left.
	groupRetry = 2500 * time.Millisecond
	// fullRetry and fullSpread are for a group that is full: a request takes
	// about a second, and those refused together must not come back together.
	fullRetry  = 1200 * time.Millisecond
	fullSpread = 900 * time.Millisecond
)

// refuse answers that the request has not run and never will.
func (q *request) refuse(cause string, after time.Duration) {
	q.note(cause)
	q.outcome, q.retryIn = refused, after
	q.reply.setHeader("Retry-After", strconv.FormatFloat(math.Ceil(after.Seconds()*100)/100, 'f', -1, 64))
	q.answer(http.StatusServiceUnavailable)
}

// lastDrain is how long the rest of a body is read behind an answer as the process ends,
// since a reset could overtake the answer. The process is there for 0.3 s.
const lastDrain = 150 * time.Millisecond

// refuseAtEnd is refuse as the process ends.
func (q *request) refuseAtEnd(cause string) {
	q.closeAfter()
	q.refuse(cause, stopRetry)
	if err := q.reply.boundRead(time.Now().Add(lastDrain)); err != nil {
		q.note("caller: " + err.Error())
	}
}

// reject answers that the request is not one that may be served.
func (q *request) reject(status int, cause string) {
	q.note(cause)
	q.outcome = rejected
	q.answer(status)
}

// fail answers that it is not known whether the request ran.
func (q *request) fail(status int, cause string) {
	q.note(cause)
	q.outcome = failed
	if status == http.StatusGatewayTimeout {
		q.outcome = timedOut
	}
	q.answer(status)
}

// answer sends an answer of the gateway's own.
func (q *request) answer(status int) {
	h := http.Header{}
	q.g.codec.MarkAnswer(h, q.call.ID)
	if err := q.reply.sendWhole(replyHead{status: status, header: h}, nil); err != nil {
		q.note("caller: " + err.Error())
	}
}

// closeAfter tells the caller that its connection ends after the answer.
func (q *request) closeAfter() { q.reply.setHeader("Connection", "close") }

// endFields tell what ended an answer that was not simply relayed: whether it was
// left without its end, and what the last endpoint sent, how that was framed and how
// many events came of it.
func (q *request) endFields() []zap.Field {
	return []zap.Field{
		zap.Bool("broken-off", q.reply.brokenOff()),
		zap.String("last-run", q.lastRun.endpoint), zap.Int("last-run-status", q.lastRun.status),
		zap.Bool("last-run-framed", q.lastRun.framed), zap.Int("last-run-events", q.lastRun.events),
		zap.Int64("last-event-id", q.cursor.id),
	}
}

// maxNotes bounds what is kept of a request for the log.
const maxNotes = 8

// note keeps what became of a try.
func (q *request) note(text string) {
	if len(q.notes) < maxNotes {
		q.notes = append(q.notes, text)
	}
}

// finish logs and counts the request.
func (q *request) finish() {
	now := time.Now()
	q.g.figures.outcome(q.outcome)
	if !q.firstAt.IsZero() {
		q.g.figures.firstByte(q.firstAt.Sub(q.arrived))
	}
	fields := make([]zap.Field, 0, 17)
	fields = append(fields,
		zap.String("id", q.call.ID), zap.String("caller", q.r.RemoteAddr), zap.String("outcome", string(q.outcome)), zap.Int("status", q.reply.status),
		zap.Int64("ms", now.Sub(q.arrived).Milliseconds()), zap.Int64("age-ms", q.age.Milliseconds()))
	if q.config != nil {
		fields = append(fields, zap.Uint64("version", q.config.Version()))
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name), zap.String("service", q.service))
	}
	if q.customer != nil {
		fields = append(fields, zap.String("customer", q.customer.Name))
	}
	if q.endpoint != "" {
		fields = append(fields, zap.String("endpoint", q.endpoint))
	}
	if !q.firstAt.IsZero() {
		fields = append(fields, zap.Int64("first-ms", q.firstAt.Sub(q.arrived).Milliseconds()))
	}
	if q.again {
		fields = append(fields, zap.Bool("again", true), zap.Int64("patience-ms", q.call.CallerTimeout.Milliseconds()))
	}
	if q.waited > 0 {
		fields = append(fields, zap.Int64("waited-ms", q.waited.Milliseconds()))
	}
	if q.events > 0 {
		fields = append(fields, zap.Int("events", q.events), zap.Int64("pause-ms", q.pause.Milliseconds()))
	}
	if q.reply.brokenOff() || len(q.tried) > 1 {
		fields = append(fields, q.endFields()...)
	}
	if len(q.tried) > 0 && q.outcome != served {
		fields = append(fields, zap.Stringer("key", q.key()), zap.Int("ended-under-it", q.endedUnder))
	}
	if q.retryIn > 0 {
		fields = append(fields, zap.Duration("retry-after", q.retryIn))
	}
	if len(q.notes) > 0 {
		fields = append(fields, zap.Strings("tries", q.notes))
	}
	if q.outcome == served && len(q.notes) == 0 {
		q.g.log.Info("request", fields...)
		return
	}
	q.g.log.Warn("request", fields...)
}
