// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/requestid"
	"github.com/canvaspulley/canvaspulley/internal/wait"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// callMargin is how much longer than the service's own timeout the entry waits
// for the agent's answer.
const callMargin = 2 * time.Second

// mintRequest is the body of a request for an idempotency key, for the path of a service or for a model.
type mintRequest struct {
	Path  string `json:"path"`
	Model string `json:"model"`
}

// mintKey creates a key that is owned by an endpoint of the service: one that is alive now, and in
// the entry's failure domain if there is one.
func (e *Entry) mintKey(req *request) *wire.Refusal {
	var m mintRequest
	raw, refusal := readBody(req)
	if refusal != nil {
		return refusal
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return wire.Refuse(http.StatusBadRequest, 0, "body: "+err.Error())
	}
	services := req.cfg.Groups(m.Model)
	// The path of a service takes precedence over a model.
	if s, ok := req.cfg.ServiceByPath(m.Path); ok && m.Path != "" {
		services = []*published.Service{s}
	}
	if len(services) == 0 {
		return wire.Refuse(http.StatusNotFound, 0, "no service has this path or model")
	}
	c, ok := choose(e.candidates(services, nil), "")
	if !ok {
		return e.noEndpoint(services)
	}
	return req.out.writeJSON(struct {
		Key string `json:"key"`
	}{requestid.NewKey(c.Endpoint).String()})
}

// readBody reads the body of a request and keeps it in the request, for the quarantine key.
func readBody(req *request) (raw []byte, refusal *wire.Refusal) {
	raw, err := io.ReadAll(http.MaxBytesReader(req.out.w, req.r.Body, wire.MaxBodyBytes))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, wire.Refuse(http.StatusRequestTimeout, 0, "body was not read in time")
	case err != nil:
		return nil, wire.Refuse(http.StatusRequestEntityTooLarge, 0,
			"body was not read whole; the limit is "+strconv.Itoa(wire.MaxBodyBytes)+" bytes")
	}
	req.body = raw
	return raw, nil
}

// forward handles a call to a plain service.
func (e *Entry) forward(req *request) *wire.Refusal {
	s, ok := req.cfg.ServiceByPath(req.r.URL.Path)
	if !ok {
		return wire.Refuse(http.StatusNotFound, 0, "no service has this path")
	}
	if !req.customer.MayCall(s.Name) {
		return wire.Refuse(http.StatusForbidden, 0, "the customer may not call "+s.Name)
	}
	body, refusal := readBody(req)
	if refusal != nil {
		return refusal
	}
	repeatable := s.Repeatable(req.r.Method)
	env := e.envelope(req, wire.KindCall, req.policyInput(s.Name, repeatable))
	env.Method = req.r.Method
	env.Path = req.r.URL.RequestURI()
	env.ContentType = req.r.Header.Get("Content-Type")
	env.Key = req.r.Header.Get(wire.HeaderKey)
	env.NoRetry = !repeatable || env.Key != ""
	return e.call(req, s, &env, body)
}

// call makes attempts until an endpoint answers or no further attempt is allowed.
func (e *Entry) call(req *request, s *published.Service, env *wire.Envelope, body []byte) *wire.Refusal {
	avoid := map[string]bool{}
	var last *wire.Refusal // Refusal of the previous attempt.
	for {
		c, refusal := e.chooseTarget(req, s, env, avoid)
		if refusal != nil {
			return cmp.Or(last, refusal) // No endpoint is left to try: answer without delay.
		}
		if refusal := e.checkQuarantine(req); refusal != nil {
			return cmp.Or(last, refusal)
		}
		last = e.callOnce(req, s, c, env, body)
		e.recordAttempt(req, last)
		if last == nil {
			e.creditSuccess(req, s.Name)
			return nil
		}
		if !e.waitForRetry(req, s.Name, env, last) {
			return last
		}
		avoid[c.Endpoint] = true
	}
}

// chooseTarget returns the endpoint that owns the idempotency key or, when there is no key, the one that choose picks.
func (e *Entry) chooseTarget(req *request, s *published.Service, env *wire.Envelope, avoid map[string]bool) (c candidate, refusal *wire.Refusal) {
	unavailable := e.noEndpoint([]*published.Service{s})
	if env.Key == "" {
		c, ok := choose(e.candidates([]*published.Service{s}, avoid), "")
		if !ok {
			return c, unavailable
		}
		return c, nil
	}
	k, err := requestid.ParseKey(env.Key)
	if err != nil {
		return c, wire.Refuse(http.StatusBadRequest, 0, err.Error())
	}
	for _, one := range e.candidates([]*published.Service{s}, nil) {
		if one.Endpoint == k.Owner() {
			return one, nil
		}
	}
	// Only the owner knows whether the key was used before: this request was not run, but an
	// earlier one with the key may have been.
	unavailable.Reason = "the key's owner " + k.Owner() + " is not there; this request was not run, an earlier one with the key may have been"
	return c, unavailable
}

// waitForRetry reports whether another attempt may be made. If so, it first waits for the retry delay;
// it reports false if the caller disconnects during the wait. The policy's retry program is asked only
// if the failed attempt may have run and the request may be repeated.
func (e *Entry) waitForRetry(req *request, service string, env *wire.Envelope, refusal *wire.Refusal) bool {
	if refusal.Status < http.StatusInternalServerError || refusal.Status == http.StatusGatewayTimeout {
		return false // The request itself is invalid, or its deadline has passed.
	}
	a := retry.Attempt{Number: max(1, req.attempts), NotRun: refusal.Outcome == wire.NotRun, Repeatable: !env.NoRetry}
	if !a.NotRun && a.Repeatable {
		input := req.policyInput(service, true)
		input.Reason = refusal.Reason
		ok, err := req.policy.Programs.Retry(input)
		e.auditPolicyError(req, err)
		a.PolicyAllows = ok
	}
	delay, ok := e.takeRetry(req, service, a)
	return ok && wait.For(req.r.Context(), delay)
}

// callOnce makes one attempt. It sends the endpoint's answer to the caller and returns nil if the answer
// is complete; otherwise it sends nothing and returns a refusal.
func (e *Entry) callOnce(req *request, s *published.Service, c candidate, env *wire.Envelope, body []byte) *wire.Refusal {
	req.nextAttempt(env)
	env.Endpoint = c.Endpoint
	ctx, cancel := req.attemptContext()
	defer cancel()
	timer := time.AfterFunc(s.Timeout+callMargin, cancel)
	defer timer.Stop()
	defer e.tracker.beginRequest(c.Endpoint, cancel)()
	resp, refusal := e.send(ctx, c, env, body)
	if refusal != nil {
		return refusal
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(wire.HeaderOutcome) != string(wire.Done) {
		return readRefusal(resp)
	}
	raw, err := adapter.ReadWhole(resp, wire.MaxBodyBytes)
	if err != nil {
		return wire.RefuseUnknown(http.StatusBadGateway, "answer came only in part")
	}
	req.out.writeComplete(resp.StatusCode, resp.Header.Get("Content-Type"), raw)
	return nil
}

// attemptContext returns a context that ends with the caller's connection or at the deadline,
// whichever comes first.
func (req *request) attemptContext() (ctx context.Context, cancel context.CancelFunc) {
	if req.deadline.IsZero() {
		return context.WithCancel(req.r.Context())
	}
	return context.WithDeadline(req.r.Context(), req.deadline)
}
