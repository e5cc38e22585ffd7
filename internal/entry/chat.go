// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/requestid"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Limits and defaults of requests to a model.
const (
	defaultMaxTokens    = 256
	maxTokens           = 1 << 17
	affinityPrefixBytes = 256 // Bytes at the start of a prompt that select the preferred endpoint.
)

// chatRequest holds the fields of an OpenAI-style request that the entry uses.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt returns the messages as the text that is sent to the engine.
func prompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// parseChat decodes and validates the body of a chat request.
func parseChat(raw []byte) (c chatRequest, refusal *wire.Refusal) {
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, wire.Refuse(http.StatusBadRequest, 0, "body: "+err.Error())
	}
	switch {
	case c.Model == "":
		return c, wire.Refuse(http.StatusBadRequest, 0, "body: model is missing")
	case len(c.Messages) == 0:
		return c, wire.Refuse(http.StatusBadRequest, 0, "body: messages is empty")
	case c.MaxTokens < 0 || c.MaxTokens > maxTokens:
		return c, wire.Refuse(http.StatusBadRequest, 0, "body: max_tokens is not between 1 and "+strconv.Itoa(maxTokens))
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	return c, nil
}

// models lists the models that the customer may use.
func (e *Entry) models(req *request) *wire.Refusal {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []model{}
	seen := map[string]bool{}
	for _, s := range req.cfg.Services() {
		if s.IsGroup() && !seen[s.Model] && req.customer.MayCall(s.Model) {
			seen[s.Model] = true
			list = append(list, model{s.Model, "model"})
		}
	}
	return req.out.writeJSON(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

// chat handles a request to a model.
func (e *Entry) chat(req *request) *wire.Refusal {
	raw, refusal := readBody(req)
	if refusal != nil {
		return refusal
	}
	body, refusal := parseChat(raw)
	if refusal != nil {
		return refusal
	}
	groups := req.cfg.Groups(body.Model)
	if len(groups) == 0 {
		return wire.Refuse(http.StatusNotFound, 0, "model "+strconv.Quote(body.Model)+" is not served")
	}
	if !req.customer.MayCall(body.Model) {
		return wire.Refuse(http.StatusForbidden, 0, "the customer may not call "+body.Model)
	}
	req.setParts(body.Model, body.Messages)
	s := &stream{entry: e, req: req, chat: body, groups: groups}
	if refusal := s.prepare(); refusal != nil {
		return refusal
	}
	return s.run()
}

// stream is the state of one request to a model across its attempts.
type stream struct {
	entry     *Entry
	req       *request
	chat      chatRequest
	groups    []*published.Service
	env       wire.Envelope
	body      []byte
	prefix    string
	out       tokenWriter
	nextToken int // Offset of the next token to send to the caller.
}

// prepare validates the idempotency key and the resume header, and builds the envelope, the body for the
// engine and the writer of the answer.
func (s *stream) prepare() *wire.Refusal {
	key := s.req.r.Header.Get(wire.HeaderKey)
	if key != "" {
		if _, err := requestid.ParseKey(key); err != nil {
			return wire.Refuse(http.StatusBadRequest, 0, err.Error())
		}
	}
	if last := s.req.r.Header.Get(wire.HeaderResume); last != "" {
		id, err := wire.ParseEventID(last)
		if err != nil {
			return wire.Refuse(http.StatusBadRequest, 0, wire.HeaderResume+": "+err.Error())
		}
		if id.Offset >= s.chat.MaxTokens {
			return wire.Refuse(http.StatusBadRequest, 0, wire.HeaderResume+": is after the end of the answer")
		}
		s.nextToken = id.Offset + 1
	}
	s.env = s.entry.envelope(s.req, wire.KindStream, s.req.policyInput(s.chat.Model, key == ""))
	s.env.Key = key
	s.env.NoRetry = key != ""
	text := prompt(s.chat.Messages)
	s.prefix = strconv.FormatUint(xxhash.Sum64String(text[:min(len(text), affinityPrefixBytes)]), 36)
	body, err := json.Marshal(adapter.Generate{Prompt: text, MaxTokens: s.chat.MaxTokens})
	if err != nil {
		return wire.Refuse(http.StatusBadRequest, 0, err.Error())
	}
	s.body = body
	if s.chat.Stream {
		s.out = newSSEWriter(s.req, s.chat.Model)
	} else {
		s.out = &bufferedWriter{req: s.req, model: s.chat.Model}
	}
	return nil
}

// run makes attempts until the answer is complete or no further attempt is allowed.
func (s *stream) run() *wire.Refusal {
	avoid := map[string]bool{}
	for {
		c, refusal := s.chooseTarget(avoid)
		if refusal != nil {
			return s.finalRefusal(refusal) // No endpoint is left to try.
		}
		if refusal = s.entry.checkQuarantine(s.req); refusal != nil {
			return s.finalRefusal(refusal)
		}
		refusal = s.attempt(c)
		s.entry.recordAttempt(s.req, refusal)
		if refusal == nil {
			s.entry.creditSuccess(s.req, s.chat.Model)
			return s.out.finish()
		}
		avoid[c.Endpoint] = true
		if !s.retryOrMove(c, refusal) {
			return s.finalRefusal(refusal)
		}
	}
}

// finalRefusal turns the refusal of the last attempt into that of the request as a whole, in place.
func (s *stream) finalRefusal(refusal *wire.Refusal) *wire.Refusal {
	if s.nextToken > 0 && refusal.Outcome == wire.NotRun {
		refusal.Outcome = wire.Unknown // Tokens were sent to the caller, so the request did run.
	}
	return refusal
}

// chooseTarget chooses the endpoint for the next attempt: the key's owner when there is a key. Once all
// endpoints were tried, those that are still candidates, since they only refused, may be tried again.
func (s *stream) chooseTarget(avoid map[string]bool) (c candidate, refusal *wire.Refusal) {
	if s.env.Key != "" {
		return s.chooseKeyOwner()
	}
	list := s.entry.candidates(s.groups, avoid)
	if len(list) == 0 {
		list = s.entry.candidates(s.groups, nil)
	}
	c, ok := choose(list, s.prefix)
	if !ok {
		return c, s.entry.noEndpoint(s.groups)
	}
	return c, nil
}

// chooseKeyOwner returns the endpoint that owns the idempotency key, or the refusal for the last group if
// no group has that endpoint as a candidate.
func (s *stream) chooseKeyOwner() (c candidate, refusal *wire.Refusal) {
	for _, g := range s.groups {
		c, refusal = s.entry.chooseTarget(s.req, g, &s.env, nil)
		if refusal == nil {
			return c, nil
		}
	}
	return c, refusal
}

// retryOrMove reports whether another attempt may be made. If the last one was interrupted once tokens
// had been sent, the next one moves the stream: the policy must allow it, there is no delay, and
// maxStreamAttempts bounds the attempts. In all other cases, and with an idempotency key, waitForRetry
// decides, which first waits for the retry delay.
func (s *stream) retryOrMove(c candidate, refusal *wire.Refusal) bool {
	interrupted := s.nextToken > 0 && refusal.Outcome == wire.Unknown
	if !interrupted || s.env.NoRetry {
		return s.entry.waitForRetry(s.req, s.chat.Model, &s.env, refusal)
	}
	if !s.mayMove(refusal.Reason) || s.req.attempts >= maxStreamAttempts || s.req.r.Context().Err() != nil {
		return false
	}
	s.entry.node.Trail().Add(audit.StreamMoved, s.req.id, "from "+c.Endpoint+" at token "+strconv.Itoa(s.nextToken)+": "+refusal.Reason)
	s.entry.count("streams.moved")
	return true
}

// maxStreamAttempts bounds the attempts of one stream.
const maxStreamAttempts = 8

// attempt makes one attempt at endpoint c. It returns nil when the answer is complete.
func (s *stream) attempt(c candidate) *wire.Refusal {
	s.req.nextAttempt(&s.env)
	s.env.Endpoint, s.env.Offset = c.Endpoint, s.nextToken
	ctx, cancel := s.req.attemptContext()
	defer cancel()
	defer s.entry.tracker.beginRequest(c.Endpoint, cancel)()
	resp, refusal := s.entry.send(ctx, c, &s.env, s.body)
	if refusal != nil {
		return refusal
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "text/event-stream" {
		return readRefusal(resp)
	}
	return s.relay(c, resp, cancel)
}

// relay forwards tokens to the caller, and returns nil at the end event. Only the next token of the
// current attempt is forwarded; events that are late, duplicated or of another attempt are dropped and
// audited. It calls cancel, which ends the attempt, if nothing arrives for StallAfter.
func (s *stream) relay(c candidate, resp *http.Response, cancel context.CancelFunc) *wire.Refusal {
	stallTimeout := s.entry.node.Settings().StallAfter
	watchdog := time.AfterFunc(stallTimeout, cancel)
	defer watchdog.Stop()
	frames := wire.NewFrameReader(resp.Body)
	for {
		f, err := frames.Next()
		if err != nil {
			return s.interruptionRefusal()
		}
		watchdog.Reset(stallTimeout)
		if f.Event == wire.EventAlive {
			continue
		}
		id, err := wire.ParseEventID(f.ID)
		if err != nil || id.Request != s.env.ID || id.Offset != s.nextToken {
			s.entry.node.Trail().Add(audit.StrayAnswer, s.env.ID, c.Endpoint+" sent "+f.ID)
			s.entry.count("answers.stray")
			continue
		}
		if f.Event == wire.EventLeaving {
			if s.moveOffLeaving(c) {
				return wire.RefuseUnknown(http.StatusBadGateway, reasonLeaving)
			}
			continue
		}
		if f.Event == wire.EventProcessEnded {
			return processEndedRefusal(f.Data)
		}
		if f.Event == wire.EventEnd { // Its offset is the next one: every token before it was forwarded.
			if l, ok := wire.ParseLoad(string(f.Data)); ok {
				s.entry.tracker.recordLoad(c.Endpoint, l)
			}
			return nil
		}
		if f.Event != "" || !isJSONString(f.Data) {
			// Relayed as a token, an endpoint's error would become part of a complete answer.
			return wire.RefuseUnknown(http.StatusBadGateway, "endpoint sent something other than a token")
		}
		if err := s.out.writeToken(wire.EventID{Request: s.req.id, Endpoint: c.Endpoint, Offset: s.nextToken}, f.Data); err != nil {
			return wire.RefuseUnknown(http.StatusBadGateway, "caller has gone")
		}
		s.nextToken++
	}
}

// processEndedRefusal returns the refusal of an attempt during which the engine's process ended.
func processEndedRefusal(data []byte) *wire.Refusal {
	r := wire.RefuseUnknown(http.StatusBadGateway, "engine has ended")
	ended := &wire.Ended{}
	if json.Unmarshal(data, ended) == nil && ended.Incarnation != "" {
		r.Ended = ended
	}
	return r
}

// isJSONString reports whether a token's data is a JSON string.
func isJSONString(data []byte) bool { return len(data) > 0 && data[0] == '"' && json.Valid(data) }

// reasonLeaving is the reason given to the policy when a stream may move off a leaving endpoint.
const reasonLeaving = "endpoint is leaving"

// moveOffLeaving reports whether the stream moves to another endpoint while the planned stop of its own
// endpoint c waits for it. If so, it records in the envelope where the KV cache can be fetched.
func (s *stream) moveOffLeaving(c candidate) bool {
	others := s.entry.candidates(s.groups, map[string]bool{c.Endpoint: true})
	if s.nextToken == 0 || s.env.NoRetry || len(others) == 0 || !s.mayMove(reasonLeaving) {
		return false
	}
	s.env.CacheAddress, s.env.CacheAttemptID = c.member.Address, s.env.ID
	return true
}

// mayMove reports whether the policy allows the running stream to continue at another endpoint.
func (s *stream) mayMove(reason string) bool {
	input := s.req.policyInput(s.chat.Model, true)
	input.Reason, input.Tokens = reason, int64(s.nextToken)
	ok, err := s.req.policy.Programs.Move(input)
	s.entry.auditPolicyError(s.req, err)
	return ok
}

// interruptionRefusal returns a refusal that says why an attempt ended without its end event.
func (s *stream) interruptionRefusal() *wire.Refusal {
	switch {
	case !s.req.deadline.IsZero() && !time.Now().Before(s.req.deadline):
		return wire.RefuseUnknown(http.StatusGatewayTimeout, "deadline has passed")
	case s.req.r.Context().Err() != nil:
		return wire.RefuseUnknown(http.StatusBadGateway, "caller has gone")
	default:
		return wire.RefuseUnknown(http.StatusBadGateway, "endpoint fell silent")
	}
}
