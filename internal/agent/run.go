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
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/chart"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/admit"
	"github.com/canvaspulley/canvaspulley/internal/decide/dedup"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/requestid"
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

// Final states of the chart "request".
const (
	stateNotRun  chart.State = "not-run"
	stateDone    chart.State = "done"
	stateUnknown chart.State = "unknown"
)

var requestChart = chart.MustLoad("request")

// job is one attempt of a request at the agent.
type job struct {
	agent     *Agent
	env       *wire.Envelope
	body      []byte
	machine   *chart.Machine
	attemptID string // Request id and attempt number; the name in Agent.attempts.
	keyName   string // Name in Agent.keys; "" when the request has no key.
	admitted  bool   // The queue has started the job, which counts against the concurrency limit.
}

// attemptTime returns the time in an attempt id. The request id in it is a UUIDv7.
func attemptTime(attemptID string) (t time.Time, err error) {
	id, _, _ := strings.Cut(attemptID, "~")
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return t, errors.Newf("request id %.80q is not a UUIDv7", id)
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

// serveRun handles a request from an entry. After a panic in the agent, the entry still receives an answer
// with an outcome and the attempt gets a final state, unless the header of the answer has already been sent:
// then the answer is aborted.
func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	out := &headerTracker{ResponseWriter: w}
	var j *job // Nil until the request is accepted.
	complete := true
	returned := a.recoverPanics(func() {
		var refusal *wire.Refusal
		if j, refusal = a.accept(w, r); refusal != nil {
			a.refuse(out, refusal)
			return
		}
		complete = j.run(out, r)
	})
	if !returned {
		complete = !out.headerSent && a.recoverPanics(func() { a.refuse(out, j.endAfterPanic()) })
	}
	if !complete {
		panic(http.ErrAbortHandler) // The entry must see that the answer is truncated.
	}
}

// recoverPanics calls do, recovers from a panic in it, and reports whether it returned normally.
func (a *Agent) recoverPanics(do func()) (returned bool) {
	return duty.RunRecovered("request", a.node.Log(), a.node.Metrics(), do)
}

// headerTracker records whether the header of an answer has been sent.
type headerTracker struct {
	http.ResponseWriter
	headerSent bool
}

// WriteHeader implements http.ResponseWriter.
func (h *headerTracker) WriteHeader(status int) {
	h.headerSent = true
	h.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (h *headerTracker) Write(p []byte) (n int, err error) {
	h.headerSent = true
	return h.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (h *headerTracker) FlushError() error {
	h.headerSent = true
	return http.NewResponseController(h.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (h *headerTracker) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// run runs an accepted request. It reports false if the answer must be aborted.
func (j *job) run(w http.ResponseWriter, r *http.Request) (complete bool) {
	a := j.agent
	if refusal := j.admit(r.Context()); refusal != nil {
		j.applyFinal(eventRefuse)
		a.refuse(w, refusal)
		return true
	}
	defer j.release()
	if refusal := j.checkBeforeSend(time.Now()); refusal != nil {
		j.applyFinal(eventRefuse)
		a.refuse(w, refusal)
		return true
	}
	j.machine.Apply(eventSend)
	if a.engine != nil {
		return j.stream(w, r)
	}
	j.call(w, r)
	return true
}

// endAfterPanic brings a job into a final state after a panic in the agent, and returns its refusal. The
// job is nil if the request was not accepted.
func (j *job) endAfterPanic() *wire.Refusal {
	const cause = "fault of the agent"
	if j == nil {
		return wire.Refuse(http.StatusInternalServerError, 0, cause)
	}
	j.applyFinal(eventBreak)
	if j.machine.State() == stateNotRun {
		return wire.Refuse(http.StatusInternalServerError, 0, cause)
	}
	return wire.RefuseUnknown(http.StatusInternalServerError, cause)
}

func (a *Agent) refuse(w http.ResponseWriter, refusal *wire.Refusal) {
	a.count("refused." + string(refusal.Outcome))
	w.Header().Set(wire.HeaderLoad, wire.EncodeLoad(a.Load()))
	refusal.Write(w)
}

// accept reads the request and registers it. Unless it is accepted, no record of it stays behind.
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
	j = &job{agent: a, env: env, body: body, machine: requestChart.NewMachine(), attemptID: env.ID}
	return j, j.register(time.Now())
}

// register records the attempt and the idempotency key, before anything is sent to the endpoint. A
// refusal leaves neither recorded by this request.
func (j *job) register(now time.Time) *wire.Refusal {
	a := j.agent
	at, err := attemptTime(j.attemptID)
	if err != nil {
		return wire.Refuse(http.StatusBadRequest, 0, err.Error())
	}
	var key requestid.Key
	if j.env.Key != "" {
		if key, err = requestid.ParseKey(j.env.Key); err != nil {
			return wire.Refuse(http.StatusBadRequest, 0, err.Error())
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stalled {
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "engine group stands still")
	}
	if refusal := a.backoffRefusal(); refusal != nil {
		return refusal
	}
	if v, _ := a.attempts.Begin(j.attemptID, 0, at, now); v != dedup.Run {
		return attemptRefusal(v)
	}
	if j.env.Key == "" {
		return nil
	}
	if key.Owner() != j.env.Endpoint {
		a.attempts.Release(j.attemptID)
		return wire.Refuse(http.StatusMisdirectedRequest, 0, "another endpoint owns the key")
	}
	name := j.env.Customer + "/" + key.String() // Each customer has a key namespace of its own.
	v, answer := a.keys.Begin(name, j.digest(), key.Minted(), now)
	if v != dedup.Run {
		a.attempts.Release(j.attemptID)
		return keyRefusal(v, answer)
	}
	j.keyName = name
	return nil
}

// digest returns a hash of the method, path and body, to detect a key that is reused for another request.
func (j *job) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{j.env.Method, "\x00", j.env.Path, "\x00"} {
		_, _ = d.WriteString(part) // Writes to a Digest never fail.
	}
	_, _ = d.Write(j.body)
	return d.Sum64()
}

// attemptRefusal returns the refusal of a duplicate attempt, or of one too old to be recognized
// as new. The entry sends each attempt once, so that a duplicate is a late or doubled message.
func attemptRefusal(v dedup.Verdict) *wire.Refusal {
	switch v {
	case dedup.Refused:
		return wire.Refuse(http.StatusConflict, 0, "attempt was given up before")
	case dedup.Full:
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "no room to remember the request")
	case dedup.FromFuture:
		return wire.Refuse(http.StatusBadRequest, 0, "request id is from the future")
	default:
		return wire.RefuseUnknown(http.StatusConflict, "attempt was seen before, or may have been")
	}
}

// keyRefusal returns the refusal of a request whose idempotency key does not allow it to start.
// A stored answer is replayed unchanged.
func keyRefusal(v dedup.Verdict, answer *dedup.Answer) *wire.Refusal {
	switch v {
	case dedup.Replay:
		return &wire.Refusal{Outcome: wire.Done, Status: answer.Status, Reason: "answer of the first run",
			Replay: &wire.Replay{ContentType: answer.Type, Body: answer.Body}}
	case dedup.InProgress:
		r := wire.RefuseUnknown(http.StatusConflict, "a request with this key is running")
		r.RetryAfterMS = time.Second.Milliseconds()
		return r
	case dedup.Full:
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "no room to remember the key")
	case dedup.FromFuture:
		return wire.Refuse(http.StatusBadRequest, 0, "idempotency key is from the future")
	case dedup.Mismatch:
		return wire.Refuse(http.StatusUnprocessableEntity, 0, "idempotency key was used for another request")
	default:
		return wire.RefuseUnknown(http.StatusConflict, "a request with this key may have run before")
	}
}

// admit puts the request into the queue and waits for the decision. It returns nil if the job may start.
// It returns at once when the caller disconnects.
func (j *job) admit(ctx context.Context) *wire.Refusal {
	a := j.agent
	req := admit.Request{
		ID: j.attemptID, Customer: j.env.Customer, Weight: j.env.Weight,
		Priority: j.env.Priority, Arrived: time.Now(),
	}
	if d, ok := j.env.Deadline(); ok {
		req.Deadline = d
	}
	c := make(chan decision, 1)
	duty.Locked(&a.mu, func() {
		a.waiting[j.attemptID] = c
		a.notify(a.queue.Offer(req, req.Arrived))
	})
	j.machine.Apply(eventQueue)
	select {
	case decided := <-c:
		if decided.refusal == nil {
			j.admitted = true
			j.machine.Apply(eventStart)
		}
		return decided.refusal
	case <-ctx.Done():
		return j.abandon()
	}
}

// abandon removes the job from the queue after its caller has disconnected.
func (j *job) abandon() *wire.Refusal {
	a := j.agent
	duty.Locked(&a.mu, func() {
		waiting := a.queue.Cancel(j.attemptID)
		delete(a.waiting, j.attemptID)
		if !waiting {
			a.notify(a.queue.Done(j.attemptID, time.Now())) // The queue has just started the job.
		}
	})
	return wire.Refuse(http.StatusServiceUnavailable, 0, "caller has gone")
}

// checkBeforeSend repeats the checks right before the request is sent: the process may have been
// paused since it read the request.
func (j *job) checkBeforeSend(now time.Time) *wire.Refusal {
	j.agent.node.CheckPause(clock.Now())
	if s := j.agent.node.State(); s == node.Doubting {
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "process was paused")
	}
	if d, ok := j.env.Deadline(); ok && !now.Before(d) {
		return wire.Refuse(http.StatusGatewayTimeout, 0, "deadline has passed")
	}
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	return j.agent.backoffRefusal() // The endpoint may have requested it while the job was queued.
}

// applyFinal applies the last event and updates the records of the attempt and the key to the final state.
// An attempt that was done is recorded like one that may have run, because no duplicate of either may run.
func (j *job) applyFinal(e chart.Event) {
	j.machine.Apply(e)
	a := j.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	switch j.machine.State() {
	case stateNotRun:
		a.attempts.Deny(j.attemptID)
		a.keys.Release(j.keyName)
	case stateDone:
		a.attempts.SetOutcomeUnknown(j.attemptID)
		a.keys.SetOutcomeUnknown(j.keyName) // No effect if the answer was stored.
	case stateUnknown:
		a.attempts.SetOutcomeUnknown(j.attemptID)
		a.keys.SetOutcomeUnknown(j.keyName)
	}
}

// release reports to the queue that the job no longer runs, so that another one may start.
func (j *job) release() {
	if !j.admitted {
		return
	}
	a := j.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify(a.queue.Done(j.attemptID, time.Now()))
}

// call runs the request at a plain service. It continues after the entry has disconnected, so
// that the outcome of a request that must not be retried is known.
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
		j.applyFinal(eventRefuse)
		a.refuse(w, wire.Refuse(http.StatusServiceUnavailable, time.Second, "service cannot be reached"))
		return
	case err != nil:
		j.applyFinal(eventBreak)
		a.count("calls.broken")
		a.node.Log().Warn("service gave no whole answer", zap.String("request", j.attemptID), zap.Error(err))
		refusal := wire.RefuseUnknown(http.StatusBadGateway, "service gave no whole answer")
		refusal.Ended = a.detectEnd()
		a.refuse(w, refusal)
		return
	}
	a.recordBackoff(reply.Backoff)
	j.storeAnswer(dedup.Answer{Status: reply.Status, Type: reply.MediaType, Body: reply.Body})
	j.applyFinal(eventFinish)
	a.count("calls.done")
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(wire.Done))
	h.Set(wire.HeaderRequest, j.attemptID)
	h.Set(wire.HeaderLoad, wire.EncodeLoad(a.Load()))
	h.Set("Content-Type", reply.MediaType)
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // The entry may have disconnected; the outcome is stored.
}

// storeAnswer stores the answer under the idempotency key, if the request has one, for replay.
func (j *job) storeAnswer(answer dedup.Answer) {
	a := j.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keys.Finish(j.keyName, answer)
}

// timeout returns the published timeout of the endpoint's service, 30 s if it is not published.
func (j *job) timeout() time.Duration {
	if c, ok := j.agent.node.Config(); ok {
		if s, ok := c.ServiceOf(j.env.Endpoint); ok {
			return s.Timeout
		}
	}
	return 30 * time.Second
}

// serveOutcome handles the query for the outcome of an attempt whose connection the entry lost after
// sending it.
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
	var s dedup.State
	duty.Locked(&a.mu, func() { s = a.attempts.Tombstone(q.ID, at, time.Now()) })
	reply := wire.OutcomeReply{Outcome: wire.Unknown}
	if s == dedup.Tombstoned {
		reply.Outcome = wire.NotRun
	}
	httpjson.Reply(w, reply)
}
