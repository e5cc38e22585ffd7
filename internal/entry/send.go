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

// outcomeQueryTimeout bounds the query to an agent whether an attempt was run.
const outcomeQueryTimeout = time.Second

// choose picks the endpoint for the next attempt; ok is false when all candidates are stalled or there is none.
func choose(list []candidate, prefix string) (c candidate, ok bool) {
	routeCandidates := make([]route.Candidate, 0, len(list))
	for _, one := range list {
		routeCandidates = append(routeCandidates, one.Candidate)
	}
	i := route.Pick(routeCandidates, route.Request{Prefix: prefix, Random: rand.Uint64()})
	if i < 0 {
		return c, false
	}
	return list[i], true
}

// nextAttempt counts an attempt and gives it a unique id.
func (req *request) nextAttempt(env *wire.Envelope) {
	req.attempts++
	env.ID = req.id + "~" + strconv.Itoa(req.attempts)
}

// send posts an attempt to an agent. It returns the agent's response, whatever its status, or a refusal
// that says what is known of the attempt.
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
	req.GetBody = nil // Without GetBody the transport cannot send the body a second time.
	req.Header.Set(wire.HeaderEnvelope, string(text))
	client := e.pooled
	if env.NoRetry {
		client = e.singleUse
	}
	resp, err = client.Do(req)
	if err != nil {
		return nil, e.refusalAfterSendError(c, env, err)
	}
	if l, ok := wire.ParseLoad(resp.Header.Get(wire.HeaderLoad)); ok {
		e.tracker.recordLoad(c.Endpoint, l)
	}
	return resp, nil
}

// refusalAfterSendError returns the refusal for an attempt that got no answer. An attempt that was never
// sent was not run. For any other, it asks the agent whether the attempt ran; if it did not, the agent
// then never runs it later. The endpoint of an agent that cannot be reached or does not reply is blocked
// for blockUnreachable.
func (e *Entry) refusalAfterSendError(c candidate, env *wire.Envelope, cause error) *wire.Refusal {
	if adapter.FailedDial(cause) {
		e.tracker.block(c.Endpoint, blockUnreachable)
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "endpoint cannot be reached")
	}
	ctx, cancel := context.WithTimeout(context.Background(), outcomeQueryTimeout)
	defer cancel()
	var reply wire.OutcomeReply
	err := e.node.Call(ctx, c.member.Address, wire.PathOutcome, wire.OutcomeRequest{ID: env.ID}, &reply)
	if err == nil && reply.Outcome == wire.NotRun {
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "lost on the way; the endpoint has not run it and will not")
	}
	if err != nil {
		e.tracker.block(c.Endpoint, blockUnreachable)
	}
	return wire.RefuseUnknown(http.StatusBadGateway, "link to the endpoint was lost")
}

// readRefusal converts an agent's refusal into the entry's. An answer without an outcome
// header does not prove that the attempt was not run.
func readRefusal(resp *http.Response) *wire.Refusal {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, wire.MaxEnvelopeBytes)) // The outcome of a partial refusal is taken from its header.
	r := &wire.Refusal{}
	if json.Unmarshal(raw, r) != nil || !isFailureStatus(r.Status) {
		r = wire.RefuseUnknown(http.StatusBadGateway, "endpoint answered "+resp.Status)
	}
	if resp.Header.Get(wire.HeaderOutcome) != string(wire.NotRun) {
		r.Outcome = wire.Unknown
	}
	if r.Status == http.StatusMisdirectedRequest {
		r.Status = http.StatusServiceUnavailable // Internal to entry and agent; the caller may retry.
	}
	return r
}

// isFailureStatus reports whether a refusal may have this status. With any other, the refusal would look
// like a success to the caller or would not be a final answer at all.
func isFailureStatus(status int) bool {
	return status >= http.StatusBadRequest && status < 600
}
