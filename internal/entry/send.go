// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/decide/route"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// askTimeout bounds the question whether an attempt was run.
const askTimeout = time.Second

// choose picks the endpoint for the next attempt.
func choose(list []candidate, prefix string) (c candidate, ok bool) {
	plain := make([]route.Candidate, 0, len(list))
	for _, one := range list {
		plain = append(plain, one.Candidate)
	}
	i := route.Pick(plain, route.Request{Prefix: prefix, Random: rand.Uint64()})
	if i < 0 {
		return c, false
	}
	return list[i], true
}

// nextAttempt numbers the attempt, so that each has a name of its own.
func (req *request) nextAttempt(env *wire.Envelope) {
	req.tries++
	env.ID = req.id + "~" + strconv.Itoa(req.tries)
}

// send posts an attempt to an agent. The answer is a response whose status is
// the agent's own, or a refusal that says what is known of the attempt.
func (e *Entry) send(ctx context.Context, c candidate, env *wire.Envelope, body []byte) (resp *http.Response, refusal *wire.Refusal) {
	text, err := json.Marshal(env)
	if err != nil {
		return nil, wire.Refuse(http.StatusInternalServerError, 0, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		e.node.PeerURL(c.member.Address, wire.PathRun), bytes.NewReader(body))
	if err != nil {
		return nil, wire.Refuse(http.StatusInternalServerError, 0, err.Error())
	}
	req.GetBody = nil // A body that cannot be read again is never sent again by the transport.
	req.Header.Set(wire.HeaderEnvelope, string(text))
	client := e.kept
	if env.NoRetry {
		client = e.single
	}
	resp, err = client.Do(req)
	if err != nil {
		return nil, e.lost(c, env, err)
	}
	if l, ok := wire.ParseLoad(resp.Header.Get(wire.HeaderLoad)); ok {
		e.tracker.report(c.Endpoint, l)
	}
	return resp, nil
}

// lost judges an attempt that got no answer. What was never sent was not run;
// of the rest the agent is asked, and forbidden to run it later.
func (e *Entry) lost(c candidate, env *wire.Envelope, cause error) *wire.Refusal {
	if adapter.FailedDial(cause) {
		e.tracker.block(c.Endpoint, blockUnreachable)
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "endpoint cannot be reached")
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var reply wire.OutcomeReply
	err := e.node.Call(ctx, c.member.Address, wire.PathOutcome, wire.OutcomeRequest{ID: env.ID}, &reply)
	if err == nil && reply.Outcome == wire.NotRun {
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "lost on the way; the endpoint has not run it and will not")
	}
	if err != nil {
		e.tracker.block(c.Endpoint, blockUnreachable)
	}
	return wire.Doubt(http.StatusBadGateway, "link to the endpoint was lost")
}

// readRefusal turns an agent's refusal into the entry's own. An answer without
// an outcome proves nothing.
func readRefusal(resp *http.Response) *wire.Refusal {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, wire.MaxEnvelopeBytes)) // Half a refusal is judged by its header.
	r := &wire.Refusal{}
	if json.Unmarshal(raw, r) != nil || !isFailure(r.Status) {
		r = wire.Doubt(http.StatusBadGateway, "endpoint answered "+resp.Status)
	}
	if resp.Header.Get(wire.HeaderOutcome) != string(wire.NotRun) {
		r.Outcome = wire.Unknown
	}
	if r.Status == http.StatusMisdirectedRequest {
		r.Status = http.StatusServiceUnavailable // A matter between entry and agent.
	}
	return r
}

// isFailure reports whether a status may be a refusal's. With another one the
// refusal would look like an answer to its caller, or be none.
func isFailure(status int) bool {
	return status >= http.StatusBadRequest && status < 600
}
