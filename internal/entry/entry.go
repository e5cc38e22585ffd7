// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package entry is the entry role: it takes callers, finds out who they are
// and what they may, chooses an endpoint, and brings the answer back whole.
// What may run at all is the agents' word, not the entry's.
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
	"github.com/canvaspulley/canvaspulley/internal/ident"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/policy"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Sizes that no operator needs to set.
const (
	retryBurst  = 20 // Retries that a budget saves up.
	maxDeadline = time.Hour
	maxClass    = 64
)

// Entry serves callers.
type Entry struct {
	node    *node.Node
	kept    *http.Client // For requests that may be repeated.
	single  *http.Client // For those that may not.
	tracker *tracker
	limits  *limits
	now     func() time.Time // Counts suspensions of the machine.
	live    atomic.Int64     // Requests of callers that have not ended.

	mu      sync.Mutex
	budgets map[string]*retry.Budget // By customer, and by group after a slash.
}

// New returns an entry on a node.
func New(n *node.Node) *Entry {
	kept, single := adapter.NewTransport(n.Settings().SourceIP), adapter.NewSingleUseTransport(n.Settings().SourceIP)
	kept.TLSClientConfig = n.Credentials().Client()
	single.TLSClientConfig = n.Credentials().Client()
	e := &Entry{
		node:    n,
		kept:    &http.Client{Transport: kept},
		single:  &http.Client{Transport: single},
		tracker: newTracker(),
		budgets: map[string]*retry.Budget{},
		now:     clock.Now,
		limits:  &limits{node: n, all: map[string]*held{}},
	}
	n.OnDead(e.tracker.gone)
	return e
}

// PeerHandler returns the peer listener's handlers.
func (e *Entry) PeerHandler() http.Handler {
	mux := e.node.PeerMux()
	mux.HandleFunc("POST "+wire.PathBorrow, e.limits.serveBorrow)
	return mux
}

// Run does the entry's duties until ctx ends.
func (e *Entry) Run(ctx context.Context) error { return e.limits.run(ctx) }

// InFlight returns the number of callers' requests that have not ended.
func (e *Entry) InFlight() int { return int(e.live.Load()) }

// Handler returns the callers' listener's handlers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serve(e.chat))
	mux.HandleFunc("POST /v1/keys", e.serve(e.mint))
	mux.HandleFunc("GET /v1/models", e.serve(e.models))
	mux.HandleFunc("/", e.serve(e.forward))
	return mux
}

// request is one caller's request, as far as all kinds share it.
type request struct {
	id         string
	out        *answer
	r          *http.Request
	cfg        *published.Config
	customer   *published.Customer
	policy     *published.Policy
	class      string
	deadline   time.Time // Zero when there is none.
	tries      int
	body       []byte // As it came.
	mayHaveRun bool   // Some attempt may have.

	sameAs  quarantine.Key
	hasKey  bool                 // The key above was worked out.
	sending quarantine.Knowledge // What was known of the request at its last attempt.
	onTrial bool                 // It is sent to see whether it still ends endpoints.
}

// serve wraps a handler: everything that all requests have in common, and the
// answer to those that are refused.
func (e *Entry) serve(handle func(*request) *wire.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.live.Add(1)
		defer e.live.Add(-1)
		id := ident.New()
		w.Header().Set(wire.HeaderRequest, id)
		out := newAnswer(w, r)
		var req *request // Nil until it was admitted.
		var refusal *wire.Refusal
		decided := e.contained(id, func() {
			if req, refusal = e.admit(id, out); refusal == nil {
				refusal = handle(req)
			}
		})
		if !decided {
			refusal = faulty(req)
		}
		e.contained(id, func() { e.endTrial(req) })
		e.contained(id, func() { e.finish(req, out, refusal) })
		out.close()
	}
}

// contained calls do and reports whether it returned: a fault of the entry's own must not
// close the connection without an answer.
func (e *Entry) contained(id string, do func()) (returned bool) {
	return duty.RunRecovered("request", e.node.Log(), e.node.Metrics(), do, zap.String("request", id))
}

// faulty returns the refusal of a request that a fault of the entry's own ended.
func faulty(req *request) *wire.Refusal {
	const cause = "fault of the entry"
	if req == nil {
		return wire.Refuse(http.StatusInternalServerError, 0, cause)
	}
	return wire.Doubt(http.StatusInternalServerError, cause)
}

// finish gives a request its refusal, if there is one, and counts how it ended.
func (e *Entry) finish(req *request, out *answer, refusal *wire.Refusal) {
	if refusal == nil {
		e.count("callers.answered")
		return
	}
	refusal = req.wholeTruth(refusal)
	e.count("callers." + string(refusal.Outcome))
	out.refuse(refusal)
}

// wholeTruth returns the final refusal of a request. That its last attempt was not run
// says nothing of those before.
func (req *request) wholeTruth(last *wire.Refusal) *wire.Refusal {
	if req == nil || !req.mayHaveRun || last.Outcome != wire.NotRun {
		return last
	}
	return wire.Doubt(http.StatusBadGateway, "an attempt may have run; after it: "+last.Reason)
}

// noteAttempt takes in how an attempt ended.
func (e *Entry) noteAttempt(req *request, refusal *wire.Refusal) {
	if refusal == nil {
		return
	}
	req.mayHaveRun = req.mayHaveRun || refusal.Outcome == wire.Unknown
	e.noteEnd(req, refusal)
}

// admit finds out who calls and whether the limits allow it.
func (e *Entry) admit(id string, out *answer) (req *request, refusal *wire.Refusal) {
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
	if after, ok := e.limits.allow(cfg, cust, clock.Now()); !ok {
		return nil, wire.Refuse(http.StatusTooManyRequests, after, "the customer's limit is reached")
	}
	return req, nil
}

func (req *request) readHeaders(now time.Time) *wire.Refusal {
	req.class = req.r.Header.Get(wire.HeaderClass)
	if len(req.class) > maxClass {
		return wire.Refuse(http.StatusBadRequest, 0, wire.HeaderClass+" is longer than "+strconv.Itoa(maxClass)+" bytes")
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

// budget returns the retry budget under a name.
func (e *Entry) budget(name string, share float64) *retry.Budget {
	b, ok := e.budgets[name]
	if !ok {
		b = retry.NewBudget(share, retryBurst)
		e.budgets[name] = b
	}
	b.SetShare(share)
	return b
}

// mayRetry asks the decision, the customer's budget and the group's budget.
func (e *Entry) mayRetry(req *request, service string, a retry.Attempt) (delay time.Duration, again bool) {
	a.Deadline = req.deadline
	a.Random = rand.Float64()
	delay, again = retry.Next(a, time.Now())
	if !again {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	share := req.policy.RetryShare
	own, group := e.budget(req.customer.Name, share), e.budget(req.customer.Name+"/"+service, share)
	if !own.Take() || !group.Take() {
		e.count("retries.denied")
		return 0, false
	}
	e.count("retries")
	return delay, true
}

func (e *Entry) succeeded(req *request, service string) {
	e.ranToEnd(req)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(req.customer.Name, req.policy.RetryShare).Success()
	e.budget(req.customer.Name+"/"+service, req.policy.RetryShare).Success()
}

// facts returns what the policy's programs see of the request.
func (req *request) facts(service string, repeatable bool) policy.Request {
	f := policy.Request{
		Customer: req.customer.Name, Service: service, Class: req.class,
		Method: req.r.Method, Path: req.r.URL.Path, Repeatable: repeatable,
		Attempt: int64(req.tries),
	}
	if !req.deadline.IsZero() {
		f.DeadlineMS = time.Until(req.deadline).Milliseconds()
	}
	return f
}

// priority asks the policy; a failing program is audited and its default used.
func (e *Entry) priority(req *request, facts policy.Request) int {
	n, err := req.policy.Programs.Priority(facts)
	e.auditPolicy(req, err)
	return n
}

func (e *Entry) auditPolicy(req *request, err error) {
	if err != nil {
		e.node.Trail().Add(audit.PolicyFailed, req.policy.Name, err.Error())
	}
}

// envelope returns what all attempts of a request share.
func (e *Entry) envelope(req *request, kind wire.Kind, facts policy.Request) wire.Envelope {
	env := wire.Envelope{
		Kind: kind, Customer: req.customer.Name, Weight: req.customer.Weight,
		Class: req.class, Priority: e.priority(req, facts),
	}
	if !req.deadline.IsZero() {
		env.DeadlineMS = req.deadline.UnixMilli()
	}
	return env
}

func (e *Entry) count(name string) {
	metrics.GetOrRegisterCounter(name, e.node.Metrics()).Inc(1)
}
