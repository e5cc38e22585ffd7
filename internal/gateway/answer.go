// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// Times after which a refused caller should retry.
const (
	staleConfigRetry = 1 * time.Second       // The caller may reach another gateway by then.
	stopRetry        = 50 * time.Millisecond // Another gateway is available.
	// noEndpointRetry applies if a service has no endpoint that is listed and usable: processes
	// restart within seconds.
	noEndpointRetry = 2 * time.Second
	// isolatedRetry applies if only this gateway cannot serve the request, as it receives hellos
	// from no other one: the caller then reaches another gateway.
	isolatedRetry = 200 * time.Millisecond
	// storeOutageRetry applies if the configuration is too old to verify keys at all gateways: the
	// store is unreachable for all of them, which lasts seconds.
	storeOutageRetry = 2500 * time.Millisecond
	// groupDownRetry applies if a group is closed: what its ranks wait for takes seconds, and
	// callers wait for at most a third of the time they have left.
	groupDownRetry = 2500 * time.Millisecond
	// fullRetry and fullRetryJitter apply if a group is full: a request takes about a second, and
	// callers refused together must not retry together.
	fullRetry       = 1200 * time.Millisecond
	fullRetryJitter = 900 * time.Millisecond
)

// refuse answers that the request was not run and will not be run. Retry-After is given in seconds,
// rounded up to hundredths.
func (q *request) refuse(cause string, after time.Duration) {
	q.note(cause)
	q.outcome, q.retryAfter = refused, after
	q.reply.setHeader("Retry-After", strconv.FormatFloat(math.Ceil(after.Seconds()*100)/100, 'f', -1, 64))
	q.answer(http.StatusServiceUnavailable)
}

// terminationDrain is how long the rest of a body is read after an answer on termination, since a
// connection reset could overtake the answer. The process exits after 0.3 s.
const terminationDrain = 150 * time.Millisecond

// refuseOnTermination refuses the request because the process terminates.
func (q *request) refuseOnTermination(cause string) {
	q.closeAfterAnswer()
	q.refuse(cause, stopRetry)
	if err := q.reply.setReadDeadline(time.Now().Add(terminationDrain)); err != nil {
		q.note("caller: " + err.Error())
	}
}

// reject answers that the request is invalid or not authorized.
func (q *request) reject(status int, cause string) {
	q.note(cause)
	q.outcome = rejected
	q.answer(status)
}

// fail answers that it is unknown whether the request ran. Status 504 means that its deadline
// passed.
func (q *request) fail(status int, cause string) {
	q.note(cause)
	q.outcome = failed
	if status == http.StatusGatewayTimeout {
		q.outcome = timedOut
	}
	q.answer(status)
}

// answer sends an answer of the gateway itself, without a body.
func (q *request) answer(status int) {
	h := http.Header{}
	q.g.codec.MarkAnswer(h, q.call.ID)
	if err := q.reply.sendComplete(replyHead{status: status, header: h}, nil); err != nil {
		q.note("caller: " + err.Error())
	}
}

// closeAfterAnswer announces to the caller that the connection closes after the answer.
func (q *request) closeAfterAnswer() { q.reply.setHeader("Connection", "close") }

// endLogFields describe the end of an answer that was not simply relayed: whether it is incomplete,
// what the last endpoint sent, how that was framed, and how many events it had.
func (q *request) endLogFields() []zap.Field {
	return []zap.Field{
		zap.Bool("broken-off", q.reply.incomplete()),
		zap.String("last-run", q.lastResponse.endpoint), zap.Int("last-run-status", q.lastResponse.status),
		zap.Bool("last-run-framed", q.lastResponse.framed), zap.Int("last-run-events", q.lastResponse.events),
		zap.Int64("last-event-id", q.cursor.id),
	}
}

// maxLoggedParts limits the ids of prompt parts in one log line.
const maxLoggedParts = 16

// maxNotes limits the notes that are kept of a request for the log.
const maxNotes = 8

// note keeps the result of an attempt, or another cause of the outcome, for the log. Notes beyond
// maxNotes are dropped.
func (q *request) note(text string) {
	if len(q.notes) < maxNotes {
		q.notes = append(q.notes, text)
	}
}

// logAndCount logs the request and counts its outcome. The level is warning unless the request was
// served without any note.
func (q *request) logAndCount() {
	now := time.Now()
	q.g.stats.countOutcome(q.outcome)
	if !q.firstByteAt.IsZero() {
		q.g.stats.observeFirstByte(q.firstByteAt.Sub(q.arrived))
	}
	fields := make([]zap.Field, 0, 17)
	fields = append(fields,
		zap.String("id", q.call.ID), zap.String("caller", q.r.RemoteAddr), zap.String("outcome", string(q.outcome)), zap.Int("status", q.reply.status),
		zap.Int64("ms", now.Sub(q.arrived).Milliseconds()), zap.Int64("age-ms", q.configAge.Milliseconds()))
	if q.config != nil {
		fields = append(fields, zap.Uint64("version", q.config.Version()))
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name), zap.String("service", q.service))
	}
	if q.customer != nil {
		fields = append(fields, zap.String("customer", q.customer.Name))
	}
	if q.servedBy != "" {
		fields = append(fields, zap.String("endpoint", q.servedBy))
	}
	if !q.firstByteAt.IsZero() {
		fields = append(fields, zap.Int64("first-ms", q.firstByteAt.Sub(q.arrived).Milliseconds()))
	}
	if q.refusedBefore {
		fields = append(fields, zap.Bool("again", true), zap.Int64("patience-ms", q.call.CallerTimeout.Milliseconds()))
	}
	if q.waited > 0 {
		fields = append(fields, zap.Int64("waited-ms", q.waited.Milliseconds()))
	}
	if q.events > 0 {
		fields = append(fields, zap.Int("events", q.events), zap.Int64("pause-ms", q.maxEventGap.Milliseconds()))
	}
	if q.reply.incomplete() || len(q.attempted) > 1 {
		fields = append(fields, q.endLogFields()...)
	}
	if len(q.attempted) > 0 && q.outcome != served {
		fields = append(fields, zap.Stringer("key", q.key()), zap.Int("ended-under-it", q.endedEndpoints))
		if parts := q.call.PromptParts; len(parts) > 0 {
			fields = append(fields, zap.Strings("parts", parts[:min(len(parts), maxLoggedParts)]), zap.Int("part-count", len(parts)))
		}
	}
	if q.retryAfter > 0 {
		fields = append(fields, zap.Duration("retry-after", q.retryAfter))
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
