// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package entry implements the entry role: it accepts callers' requests, authenticates
// and authorizes them, chooses an endpoint, and returns complete answers. Whether a
// request may run at all is decided by the agents, not by the entry.
package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/policy"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/requestid"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Limits that operators do not need to configure.
const (
	retryBurst    = 20 // Retries that a budget can accumulate.
	maxDeadline   = time.Hour
	maxClassBytes = 64
)

// Entry authenticates callers and forwards their requests to the agents of endpoints.
type Entry struct {
	node      *node.Node
	pooled    *http.Client // Reuses connections; for requests that may be sent more than once.
	singleUse *http.Client // Opens a connection per request; for requests that must be sent only once.
	tracker   *tracker
	limits    *limits
	now       func() time.Time // Includes the time for which the machine was suspended.
	inFlight  atomic.Int64     // Callers' requests that have not ended.

	mu      sync.Mutex
	budgets map[string]*retry.Budget // Key: "customer", or "customer/service" for the budget of one group.
}

// New returns an entry that uses the membership, configuration and credentials of n.
func New(n *node.Node) *Entry {
	pooled, singleUse := adapter.NewTransport(n.Settings().SourceIP), adapter.NewSingleUseTransport(n.Settings().SourceIP)
	pooled.TLSClientConfig = n.Credentials().Client()
	singleUse.TLSClientConfig = n.Credentials().Client()
	e := &Entry{
		node:      n,
		pooled:    httphead.NewClient(pooled),
		singleUse: httphead.NewClient(singleUse),
		tracker:   newTracker(),
		budgets:   map[string]*retry.Budget{},
		now:       clock.Now,
		limits:    &limits{node: n, byCustomer: map[string]*customerLimit{}},
	}
	n.OnDead(e.tracker.cancelRequests)
	return e
}

// PeerHandler returns the handler of the peer listener.
func (e *Entry) PeerHandler() http.Handler {
	mux := e.node.PeerMux()
	mux.HandleFunc("POST "+wire.PathBorrow, e.limits.serveBorrow)
	return mux
}

// Run performs the entry's background work, the borrowing of rate limits, until ctx ends.
func (e *Entry) Run(ctx context.Context) error { return e.limits.run(ctx) }

// InFlight returns the number of callers' requests that have not ended.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Handler returns the handler of the listener for callers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serve(e.chat))
	mux.HandleFunc("POST /v1/keys", e.serve(e.mintKey))
	mux.HandleFunc("GET /v1/models", e.serve(e.models))
	mux.HandleFunc("/", e.serve(e.forward))
	return mux
}

// request is the state of one caller's request that all kinds of requests share.
type request struct {
	id         string
	out        *answerWriter
	r          *http.Request
	cfg        *published.Config
	customer   *published.Customer
	policy     *published.Policy
	class      string
	deadline   time.Time // Zero when the caller set none.
	attempts   int
	body       []byte // As received.
	mayHaveRun bool   // At least one attempt may have run at an endpoint.

	cachedKey   quarantine.Key
	keyComputed bool             // cachedKey is valid.
	parts       []quarantine.Key // Of the parts of its prompt that other requests may share.
	known       suspects.Known   // What was known of the request when its last attempt was sent.
	trialKeys   []quarantine.Key // Sent to find out whether these still end endpoints' processes.
}

// serve wraps a handler with what all requests have in common: the request id, admission,
// recovery from panics, metrics, and the answer to requests that are refused.
func (e *Entry) serve(handle func(*request) *wire.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		id := requestid.New()
		w.Header().Set(wire.HeaderRequest, id)
		out := newAnswerWriter(w, r)
		var req *request // Nil until the request is admitted.
		var refusal *wire.Refusal
		returned := e.recoverPanics(id, func() {
			if req, refusal = e.admit(id, out); refusal == nil {
				refusal = handle(req)
			}
		})
		if !returned {
			refusal = panicRefusal(req)
		}
		e.recoverPanics(id, func() { e.endTrial(req) })
		e.recoverPanics(id, func() { e.finish(req, out, refusal) })
		out.close()
	}
}

// recoverPanics calls do and reports whether it returned without a panic. A bug in the entry
// must not close the caller's connection without an answer.
func (e *Entry) recoverPanics(id string, do func()) (returned bool) {
	return duty.RunRecovered("request", e.node.Log(), e.node.Metrics(), do, zap.String("request", id))
}

// panicRefusal returns the refusal of a request whose handler panicked.
func panicRefusal(req *request) *wire.Refusal {
	const cause = "fault of the entry"
	if req == nil {
		return wire.Refuse(http.StatusInternalServerError, 0, cause)
	}
	return wire.RefuseUnknown(http.StatusInternalServerError, cause)
}

// finish sends the refusal, if there is one, to the caller and counts the outcome of the request.
func (e *Entry) finish(req *request, out *answerWriter, refusal *wire.Refusal) {
	if refusal == nil {
		e.count("callers.answered")
		return
	}
	refusal = req.overallRefusal(refusal)
	e.count("callers." + string(refusal.Outcome))
	out.writeRefusal(refusal)
}

// overallRefusal returns the final refusal of a request, given that of its last attempt. If the last
// attempt was not run but an earlier one may have been, the outcome is unknown. The request is nil if
// it was not admitted.
func (req *request) overallRefusal(last *wire.Refusal) *wire.Refusal {
	if req == nil || !req.mayHaveRun || last.Outcome != wire.NotRun {
		return last
	}
	return wire.RefuseUnknown(http.StatusBadGateway, "an attempt may have run; after it: "+last.Reason)
}

// recordAttempt records how a failed attempt ended. It does nothing for a nil refusal, which means
// success.
func (e *Entry) recordAttempt(req *request, refusal *wire.Refusal) {
	if refusal == nil {
		return
	}
	req.mayHaveRun = req.mayHaveRun || refusal.Outcome == wire.Unknown
	e.recordProcessEnd(req, refusal)
}

// admit authenticates the caller, checks the request's headers and takes the request from the
// customer's rate limit. While the node refuses new requests, the answer also closes the caller's
// connection.
func (e *Entry) admit(id string, out *answerWriter) (req *request, refusal *wire.Refusal) {
	if refusal := e.node.Refusal(); refusal != nil {
		out.w.Header().Set("Connection", "close")
		return nil, refusal
	}
	cfg, ok := e.node.Config()
	if !ok {
		return nil, wire.Refuse(http.StatusServiceUnavailable, time.Second, "no configuration yet")
	}
	token, ok := strings.CutPrefix(out.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, wire.Refuse(http.StatusUnauthorized, 0, "Authorization: Bearer KEY is missing")
	}
	sum := sha256.Sum256([]byte(token))
	cust, ok := cfg.CustomerByHash(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, wire.Refuse(http.StatusUnauthorized, 0, "key is not known")
	}
	req = &request{id: id, out: out, r: out.r, cfg: cfg, customer: cust, policy: cfg.Policy(cust.Policy)}
	if refusal := req.readHeaders(time.Now()); refusal != nil {
		return nil, refusal
	}
	if retryAfter, ok := e.limits.take(cfg, cust, clock.Now()); !ok {
		return nil, wire.Refuse(http.StatusTooManyRequests, retryAfter, "the customer's limit is reached")
	}
	return req, nil
}

// readHeaders reads the class and the deadline of the request, which are both optional.
func (req *request) readHeaders(now time.Time) *wire.Refusal {
	req.class = req.r.Header.Get(wire.HeaderClass)
	if len(req.class) > maxClassBytes {
		return wire.Refuse(http.StatusBadRequest, 0, wire.HeaderClass+" is longer than "+strconv.Itoa(maxClassBytes)+" bytes")
	}
	text := req.r.Header.Get(wire.HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 || ms > int(maxDeadline.Milliseconds()) {
		return wire.Refuse(http.StatusBadRequest, 0, wire.HeaderDeadline+" is not a number of milliseconds up to an hour")
	}
	req.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// budget returns the retry budget with the given name after setting it to the given share. It creates
// the budget if there is none. e.mu must be held.
func (e *Entry) budget(name string, share float64) *retry.Budget {
	b, ok := e.budgets[name]
	if !ok {
		b = retry.NewBudget(share, retryBurst)
		e.budgets[name] = b
	}
	b.SetShare(share)
	return b
}

// takeRetry reports whether the retry policy, the customer's budget and the group's budget all allow
// another attempt, and after which delay. It takes the attempt from the customer's budget, then from the
// group's; one that the group's budget denies remains taken from the customer's.
func (e *Entry) takeRetry(req *request, service string, a retry.Attempt) (delay time.Duration, allowed bool) {
	a.Deadline = req.deadline
	a.Random = rand.Float64()
	delay, allowed = retry.Next(a, time.Now())
	if !allowed {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	share := req.policy.RetryShare
	customerBudget, serviceBudget := e.budget(req.customer.Name, share), e.budget(req.customer.Name+"/"+service, share)
	if !customerBudget.Take() || !serviceBudget.Take() {
		e.count("retries.denied")
		return 0, false
	}
	e.count("retries")
	return delay, true
}

// creditSuccess records that an attempt succeeded: for the quarantine, and in the retry budgets of the
// customer and of the group.
func (e *Entry) creditSuccess(req *request, service string) {
	e.recordSuccess(req)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(req.customer.Name, req.policy.RetryShare).RecordSuccess()
	e.budget(req.customer.Name+"/"+service, req.policy.RetryShare).RecordSuccess()
}

// policyInput returns the request's attributes that policy programs can read.
func (req *request) policyInput(service string, repeatable bool) policy.Request {
	f := policy.Request{
		Customer: req.customer.Name, Service: service, Class: req.class,
		Method: req.r.Method, Path: req.r.URL.Path, Repeatable: repeatable,
		Attempt: int64(req.attempts),
	}
	if !req.deadline.IsZero() {
		f.DeadlineMS = time.Until(req.deadline).Milliseconds()
	}
	return f
}

// priority evaluates the policy's priority program. If the program fails, the error is audited and the
// program's default is returned.
func (e *Entry) priority(req *request, input policy.Request) int {
	n, err := req.policy.Programs.Priority(input)
	e.auditPolicyError(req, err)
	return n
}

func (e *Entry) auditPolicyError(req *request, err error) {
	if err != nil {
		e.node.Trail().Add(audit.PolicyFailed, req.policy.Name, err.Error())
	}
}

// envelope returns the part of the envelope that all attempts of a request share.
func (e *Entry) envelope(req *request, kind wire.Kind, input policy.Request) wire.Envelope {
	env := wire.Envelope{
		Kind: kind, Customer: req.customer.Name, Weight: req.customer.Weight,
		Class: req.class, Priority: e.priority(req, input),
	}
	if !req.deadline.IsZero() {
		env.DeadlineMS = req.deadline.UnixMilli()
	}
	return env
}

func (e *Entry) count(name string) {
	metrics.GetOrRegisterCounter(name, e.node.Metrics()).Inc(1)
}
