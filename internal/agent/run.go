// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/chart"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/admit"
	"github.com/canvaspulley/canvaspulley/internal/decide/once"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/ident"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Events of the chart "request".
const (
	eventQueue  chart.Event = "queue"
	eventStart  chart.Event = "start"
	eventRefuse chart.Event = "refuse"
	eventSend   chart.Event = "send"
	eventFinish chart.Event = "finish"
	eventBreak  chart.Event = "break"
)

// States of the chart "request" that end a life.
const (
	stateNotRun  chart.State = "not-run"
	stateDone    chart.State = "done"
	stateUnknown chart.State = "unknown"
)

var requestChart = chart.MustLoad("request")

// job is one request at the agent.
type job struct {
	agent *Agent
	env   *wire.Envelope
	body  []byte
	life  *chart.Machine
	name  string // Request id and attempt; the name of the mark.
	key   string // Name of the key's mark, "" when there is none.
	held  bool   // The job holds a place at the endpoint.
}

// attemptTime reads the time in an attempt's name: its id is a UUIDv7.
func attemptTime(name string) (t time.Time, err error) {
	id, _, _ := strings.Cut(name, "~")
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return t, errors.Newf("request id %.80q is not a UUIDv7", id)
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

// serveRun takes a request from an entry to its end, also where a fault of the agent's own ends it.
func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	out := &headed{ResponseWriter: w}
	var j *job // Nil until it was accepted.
	whole := true
	returned := a.contained(func() {
		var refusal *wire.Refusal
		if j, refusal = a.accept(w, r); refusal != nil {
			a.refuse(out, refusal)
			return
		}
		whole = j.run(out, r)
	})
	if !returned {
		whole = !out.sent && a.contained(func() { a.refuse(out, j.fault()) })
	}
	if !whole {
		panic(http.ErrAbortHandler) // The entry must see that the answer broke off.
	}
}

// contained calls do and reports whether it returned.
func (a *Agent) contained(do func()) (returned bool) {
	return duty.RunRecovered("request", a.node.Log(), a.node.Metrics(), do)
}

// headed notes whether the head of an answer has gone out.
type headed struct {
	http.ResponseWriter
	sent bool
}

// WriteHeader is part of http.ResponseWriter.
func (h *headed) WriteHeader(status int) {
	h.sent = true
	h.ResponseWriter.WriteHeader(status)
}

// Write is part of http.ResponseWriter.
func (h *headed) Write(p []byte) (n int, err error) {
	h.sent = true
	return h.ResponseWriter.Write(p)
}

// FlushError is for http.ResponseController.
func (h *headed) FlushError() error {
	h.sent = true
	return http.NewResponseController(h.ResponseWriter).Flush()
}

// Unwrap is for http.ResponseController.
func (h *headed) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// run runs an accepted request; it reports false if its answer must be broken off.
func (j *job) run(w http.ResponseWriter, r *http.Request) (whole bool) {
	a := j.agent
	if refusal := j.admit(r.Context()); refusal != nil {
		j.end(eventRefuse)
		a.refuse(w, refusal)
		return true
	}
	defer j.release()
	if refusal := j.lastCheck(time.Now()); refusal != nil {
		j.end(eventRefuse)
		a.refuse(w, refusal)
		return true
	}
	j.life.Apply(eventSend)
	if a.engine != nil {
		return j.stream(w, r)
	}
	j.call(w, r)
	return true
}

// fault ends a job that a fault of the agent's own broke off, and returns its refusal; the job
// is nil where it was not accepted.
func (j *job) fault() *wire.Refusal {
	const cause = "fault of the agent"
	if j == nil {
		return wire.Refuse(http.StatusInternalServerError, 0, cause)
	}
	j.end(eventBreak)
	if j.life.State() == stateNotRun {
		return wire.Refuse(http.StatusInternalServerError, 0, cause)
	}
	return wire.RefuseUnknown(http.StatusInternalServerError, cause)
}

func (a *Agent) refuse(w http.ResponseWriter, refusal *wire.Refusal) {
	a.count("refused." + string(refusal.Outcome))
	w.Header().Set(wire.HeaderLoad, wire.EncodeLoad(a.Load()))
	refusal.Write(w)
}

// accept reads the request and marks it. Until a job is returned nothing is
// marked that stays.
func (a *Agent) accept(w http.ResponseWriter, r *http.Request) (j *job, refusal *wire.Refusal) {
	if refusal := a.node.Refusal(); refusal != nil {
		return nil, refusal
	}
	env, err := wire.ParseEnvelope(r.Header.Get(wire.HeaderEnvelope))
	if err != nil {
		return nil, wire.Refuse(http.StatusBadRequest, 0, err.Error())
	}
	if env.Endpoint != a.node.Settings().Endpoint {
		return nil, wire.Refuse(http.StatusMisdirectedRequest, 0, "another endpoint is meant")
	}
	if (env.Kind == wire.KindStream) != (a.engine != nil) {
		return nil, wire.Refuse(http.StatusMisdirectedRequest, 0, "the endpoint does not serve this kind")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		return nil, wire.Refuse(http.StatusBadRequest, 0, "body: "+err.Error())
	}
	j = &job{agent: a, env: env, body: body, life: requestChart.NewMachine(), name: env.ID}
	return j, j.mark(time.Now())
}

// mark enters the attempt and the key, before anything is sent on.
func (j *job) mark(now time.Time) *wire.Refusal {
	a := j.agent
	at, err := attemptTime(j.name)
	if err != nil {
		return wire.Refuse(http.StatusBadRequest, 0, err.Error())
	}
	var key ident.Key
	if j.env.Key != "" {
		if key, err = ident.ParseKey(j.env.Key); err != nil {
			return wire.Refuse(http.StatusBadRequest, 0, err.Error())
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stalled {
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "engine group stands still")
	}
	if refusal := a.refuseInRest(); refusal != nil {
		return refusal
	}
	if v, _ := a.ids.Begin(j.name, 0, at, now); v != once.Run {
		return refusalOfAttempt(v)
	}
	if j.env.Key == "" {
		return nil
	}
	if key.Owner() != j.env.Endpoint {
		a.ids.Release(j.name)
		return wire.Refuse(http.StatusMisdirectedRequest, 0, "another endpoint owns the key")
	}
	name := j.env.Customer + "/" + key.String() // A customer's keys are its own.
	v, answer := a.keys.Begin(name, j.digest(), key.Minted(), now)
	if v != once.Run {
		a.ids.Release(j.name)
		return refusalOfKey(v, answer)
	}
	j.key = name
	return nil
}

// digest tells whether two requests are the same.
func (j *job) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{j.env.Method, "\x00", j.env.Path, "\x00"} {
		_, _ = d.WriteString(part) // A Digest never fails.
	}
	_, _ = d.Write(j.body)
	return d.Sum64()
}

// refusalOfAttempt answers a copy of an attempt, or one too old to judge. The
// entry sends each attempt once, so that a copy is a late or doubled message.
func refusalOfAttempt(v once.Verdict) *wire.Refusal {
	switch v {
	case once.Refused:
		return wire.Refuse(http.StatusConflict, 0, "attempt was given up before")
	case once.Full:
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "no room to remember the request")
	case once.FromFuture:
		return wire.Refuse(http.StatusBadRequest, 0, "request id is from the future")
	default:
		return wire.RefuseUnknown(http.StatusConflict, "attempt was seen before, or may have been")
	}
}

// refusalOfKey answers a key that may not start. A kept answer is given again
// as it was.
func refusalOfKey(v once.Verdict, answer *once.Answer) *wire.Refusal {
	switch v {
	case once.Replay:
		return &wire.Refusal{Outcome: wire.Done, Status: answer.Status, Reason: "answer of the first run",
			Replay: &wire.Replay{ContentType: answer.Type, Body: answer.Body}}
	case once.InProgress:
		r := wire.RefuseUnknown(http.StatusConflict, "a request with this key is running")
		r.RetryAfterMS = time.Second.Milliseconds()
		return r
	case once.Full:
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "no room to remember the key")
	case once.FromFuture:
		return wire.Refuse(http.StatusBadRequest, 0, "idempotency key is from the future")
	case once.Mismatch:
		return wire.Refuse(http.StatusUnprocessableEntity, 0, "idempotency key was used for another request")
	default:
		return wire.RefuseUnknown(http.StatusConflict, "a request with this key may have run before")
	}
}

// admit waits for the queue's word. It returns at once when the caller goes.
func (j *job) admit(ctx context.Context) *wire.Refusal {
	a := j.agent
	req := admit.Request{
		ID: j.name, Customer: j.env.Customer, Weight: j.env.Weight,
		Priority: j.env.Priority, Arrived: time.Now(),
	}
	if d, ok := j.env.Deadline(); ok {
		req.Deadline = d
	}
	c := make(chan ticket, 1)
	duty.Locked(&a.mu, func() {
		a.waiting[j.name] = c
		a.tell(a.queue.Offer(req, req.Arrived))
	})
	j.life.Apply(eventQueue)
	select {
	case t := <-c:
		if t.refusal == nil {
			j.held = true
			j.life.Apply(eventStart)
		}
		return t.refusal
	case <-ctx.Done():
		return j.abandon()
	}
}

// abandon takes the job out of the queue after its caller has gone.
func (j *job) abandon() *wire.Refusal {
	a := j.agent
	duty.Locked(&a.mu, func() {
		waiting := a.queue.Cancel(j.name)
		delete(a.waiting, j.name)
		if !waiting {
			a.tell(a.queue.Done(j.name, time.Now())) // It was just let in.
		}
	})
	return wire.Refuse(http.StatusServiceUnavailable, 0, "caller has gone")
}

// lastCheck judges once more right before the send: the process may have been
// paused since it read the request.
func (j *job) lastCheck(now time.Time) *wire.Refusal {
	j.agent.node.CheckPause(clock.Now())
	if s := j.agent.node.State(); s == node.Doubting {
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "process was paused")
	}
	if d, ok := j.env.Deadline(); ok && !now.Before(d) {
		return wire.Refuse(http.StatusGatewayTimeout, 0, "deadline has passed")
	}
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	return j.agent.refuseInRest() // It may have asked while the request waited.
}

// end applies the last event and settles the marks by where it led.
func (j *job) end(e chart.Event) {
	j.life.Apply(e)
	a := j.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	switch j.life.State() {
	case stateNotRun:
		a.ids.Deny(j.name)
		a.keys.Release(j.key)
	case stateDone:
		a.ids.SetOutcomeUnknown(j.name)
		a.keys.SetOutcomeUnknown(j.key) // Unless its answer was kept.
	case stateUnknown:
		a.ids.SetOutcomeUnknown(j.name)
		a.keys.SetOutcomeUnknown(j.key)
	}
}

// release gives the place at the endpoint back.
func (j *job) release() {
	if !j.held {
		return
	}
	a := j.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tell(a.queue.Done(j.name, time.Now()))
}

// call runs the request at a plain service. It goes on when the entry has
// gone, so that the outcome of what cannot be repeated is known.
func (j *job) call(w http.ResponseWriter, r *http.Request) {
	a := j.agent
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), j.timeout())
	defer cancel()
	reply, err := a.service.Do(ctx, adapter.Call{
		Method: j.env.Method, Path: j.env.Path, MediaType: j.env.ContentType, Key: j.env.Key,
		Body: j.body, SendOnce: j.env.NoRetry,
	})
	switch {
	case adapter.NotSent(err):
		j.end(eventRefuse)
		a.refuse(w, wire.Refuse(http.StatusServiceUnavailable, time.Second, "service cannot be reached"))
		return
	case err != nil:
		j.end(eventBreak)
		doubt := wire.RefuseUnknown(http.StatusBadGateway, "service gave no whole answer")
		doubt.Ended = a.ended()
		a.refuse(w, doubt)
		return
	}
	a.rest(reply.Backoff)
	j.finishKey(once.Answer{Status: reply.Status, Type: reply.MediaType, Body: reply.Body})
	j.end(eventFinish)
	a.count("calls.done")
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(wire.Done))
	h.Set(wire.HeaderRequest, j.name)
	h.Set(wire.HeaderLoad, wire.EncodeLoad(a.Load()))
	h.Set("Content-Type", reply.MediaType)
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // The entry may be gone; the outcome is kept.
}

func (j *job) finishKey(answer once.Answer) {
	a := j.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keys.Finish(j.key, answer)
}

func (j *job) timeout() time.Duration {
	if c, ok := j.agent.node.Config(); ok {
		if s, ok := c.ServiceOf(j.env.Endpoint); ok {
			return s.Timeout
		}
	}
	return 30 * time.Second
}

// serveOutcome answers an entry that lost the link after a send.
func (a *Agent) serveOutcome(w http.ResponseWriter, r *http.Request) {
	var q wire.OutcomeRequest
	if !node.ReadJSON(w, r, &q) {
		return
	}
	at, err := attemptTime(q.ID)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var s once.State
	duty.Locked(&a.mu, func() { s = a.ids.Tombstone(q.ID, at, time.Now()) })
	reply := wire.OutcomeReply{Outcome: wire.Unknown}
	if s == once.Tombstoned {
		reply.Outcome = wire.NotRun
	}
	httpjson.Reply(w, reply)
}
