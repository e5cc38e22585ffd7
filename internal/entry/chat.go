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
	"github.com/canvaspulley/canvaspulley/internal/ident"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Bounds of what a caller may ask of a model.
const (
	defaultTokens = 256
	maxTokens     = 1 << 17
	prefixBytes   = 256 // Prompt bytes that decide which endpoint is preferred.
)

// chatRequest is the part of an OpenAI-style request that matters here.
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

// prompt returns the text that the engine gets.
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

// parseChat reads and checks the body of a chat request.
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
		c.MaxTokens = defaultTokens
	}
	return c, nil
}

// models lists what the customer may ask for.
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
	return req.out.json(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

// chat takes a request to a model.
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
	s := &stream{entry: e, req: req, chat: body, groups: groups}
	if refusal := s.prepare(); refusal != nil {
		return refusal
	}
	return s.run()
}

// stream is one request to a model on its way through attempts.
type stream struct {
	entry  *Entry
	req    *request
	chat   chatRequest
	groups []*published.Service
	env    wire.Envelope
	body   []byte
	prefix string
	out    writer
	next   int // Next token that the caller is owed.
}

// prepare reads what decides how the request may be treated.
func (s *stream) prepare() *wire.Refusal {
	key := s.req.r.Header.Get(wire.HeaderKey)
	if key != "" {
		if _, err := ident.ParseKey(key); err != nil {
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
		s.next = id.Offset + 1
	}
	s.env = s.entry.envelope(s.req, wire.KindStream, s.req.facts(s.chat.Model, key == ""))
	s.env.Key = key
	s.env.NoRetry = key != ""
	text := prompt(s.chat.Messages)
	s.prefix = strconv.FormatUint(xxhash.Sum64String(text[:min(len(text), prefixBytes)]), 36)
	body, err := json.Marshal(adapter.Generate{Prompt: text, MaxTokens: s.chat.MaxTokens})
	if err != nil {
		return wire.Refuse(http.StatusBadRequest, 0, err.Error())
	}
	s.body = body
	if s.chat.Stream {
		s.out = newSSEWriter(s.req, s.chat.Model)
	} else {
		s.out = &wholeWriter{req: s.req, model: s.chat.Model}
	}
	return nil
}

// run makes attempts until the answer is whole or is given up.
func (s *stream) run() *wire.Refusal {
	avoid := map[string]bool{}
	for {
		c, refusal := s.target(avoid)
		if refusal != nil {
			return s.giveUp(refusal) // Nobody is left to ask.
		}
		if refusal = s.entry.held(s.req); refusal != nil {
			return s.giveUp(refusal)
		}
		refusal = s.attempt(c)
		s.entry.noteAttempt(s.req, refusal)
		if refusal == nil {
			s.entry.succeeded(s.req, s.chat.Model)
			return s.out.end()
		}
		avoid[c.Endpoint] = true
		if !s.goOn(c, refusal) {
			return s.giveUp(refusal)
		}
	}
}

// giveUp returns the final answer.
func (s *stream) giveUp(refusal *wire.Refusal) *wire.Refusal {
	if s.next > 0 && refusal.Outcome == wire.NotRun {
		refusal.Outcome = wire.Unknown // Tokens were given: the request as a whole did run.
	}
	return refusal
}

// target chooses the endpoint for the next attempt. When all others were
// tried, those that only refused may be tried again.
func (s *stream) target(avoid map[string]bool) (c candidate, refusal *wire.Refusal) {
	if s.env.Key != "" {
		return s.owner()
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

func (s *stream) owner() (c candidate, refusal *wire.Refusal) {
	for _, g := range s.groups {
		c, refusal = s.entry.target(s.req, g, &s.env, nil)
		if refusal == nil {
			return c, nil
		}
	}
	return c, refusal
}

// goOn says whether another attempt may be made, and waits for it. Once tokens
// have been given, it is a move, for which the policy is asked.
func (s *stream) goOn(c candidate, refusal *wire.Refusal) bool {
	begun := s.next > 0 && refusal.Outcome == wire.Unknown
	if !begun || s.env.NoRetry {
		return s.entry.again(s.req, s.chat.Model, &s.env, refusal)
	}
	if !s.mayMove(refusal.Reason) || s.req.tries >= maxMoves || s.req.r.Context().Err() != nil {
		return false
	}
	s.entry.node.Trail().Add(audit.StreamMoved, s.req.id, "from "+c.Endpoint+" at token "+strconv.Itoa(s.next)+": "+refusal.Reason)
	s.entry.count("streams.moved")
	return true
}

// maxMoves bounds the attempts of one stream.
const maxMoves = 8

// attempt runs one attempt. It returns nil when the answer is whole.
func (s *stream) attempt(c candidate) *wire.Refusal {
	s.req.nextAttempt(&s.env)
	s.env.Endpoint, s.env.Offset = c.Endpoint, s.next
	ctx, cancel := s.req.context()
	defer cancel()
	defer s.entry.tracker.begin(c.Endpoint, cancel)()
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

// relay brings tokens to the caller. Only the next token of this very attempt
// is let through; anything late, doubled or foreign is dropped and audited.
func (s *stream) relay(c candidate, resp *http.Response, cancel context.CancelFunc) *wire.Refusal {
	silence := s.entry.node.Settings().StallAfter
	dog := time.AfterFunc(silence, cancel)
	defer dog.Stop()
	frames := wire.NewFrameReader(resp.Body)
	for {
		f, err := frames.Next()
		if err != nil {
			return s.broken()
		}
		dog.Reset(silence)
		if f.Event == wire.EventAlive {
			continue
		}
		id, err := wire.ParseEventID(f.ID)
		if err != nil || id.Request != s.env.ID || id.Offset != s.next {
			s.entry.node.Trail().Add(audit.StrayAnswer, s.env.ID, c.Endpoint+" sent "+f.ID)
			s.entry.count("answers.stray")
			continue
		}
		if f.Event == wire.EventLeaving {
			if s.movesOff(c) {
				return wire.Doubt(http.StatusBadGateway, reasonLeaving)
			}
			continue
		}
		if f.Event == wire.EventProcessEnded {
			return endedRefusal(f.Data)
		}
		if f.Event == wire.EventEnd { // In its place: every token before it was given.
			if l, ok := wire.ParseLoad(string(f.Data)); ok {
				s.entry.tracker.report(c.Endpoint, l)
			}
			return nil
		}
		if f.Event != "" || !isText(f.Data) {
			// Counted as a token, an endpoint's failure would be a part of a whole answer.
			return wire.Doubt(http.StatusBadGateway, "endpoint sent something other than a token")
		}
		if err := s.out.token(wire.EventID{Request: s.req.id, Endpoint: c.Endpoint, Offset: s.next}, f.Data); err != nil {
			return wire.Doubt(http.StatusBadGateway, "caller has gone")
		}
		s.next++
	}
}

// endedRefusal is the outcome of an attempt whose engine's process ended.
func endedRefusal(data []byte) *wire.Refusal {
	r := wire.Doubt(http.StatusBadGateway, "engine has ended")
	ended := &wire.Ended{}
	if json.Unmarshal(data, ended) == nil && ended.Incarnation != "" {
		r.Ended = ended
	}
	return r
}

// isText reports whether a token's data is a text in JSON.
func isText(data []byte) bool { return len(data) > 0 && data[0] == '"' && json.Valid(data) }

// reasonLeaving is what policies see when work may move off a leaving endpoint.
const reasonLeaving = "endpoint is leaving"

// movesOff reports whether the stream goes on elsewhere while its endpoint's
// planned stop waits for it, and if so where its KV cache is to be had.
func (s *stream) movesOff(c candidate) bool {
	others := s.entry.candidates(s.groups, map[string]bool{c.Endpoint: true})
	if s.next == 0 || s.env.NoRetry || len(others) == 0 || !s.mayMove(reasonLeaving) {
		return false
	}
	s.env.CacheAddress, s.env.CacheAttemptID = c.member.Address, s.env.ID
	return true
}

// mayMove asks the policy whether the running stream may go on elsewhere.
func (s *stream) mayMove(reason string) bool {
	facts := s.req.facts(s.chat.Model, true)
	facts.Reason, facts.Tokens = reason, int64(s.next)
	ok, err := s.req.policy.Programs.Move(facts)
	s.entry.auditPolicy(s.req, err)
	return ok
}

// broken says why an attempt ended without its last event.
func (s *stream) broken() *wire.Refusal {
	switch {
	case !s.req.deadline.IsZero() && !time.Now().Before(s.req.deadline):
		return wire.Doubt(http.StatusGatewayTimeout, "deadline has passed")
	case s.req.r.Context().Err() != nil:
		return wire.Doubt(http.StatusBadGateway, "caller has gone")
	default:
		return wire.Doubt(http.StatusBadGateway, "endpoint fell silent")
	}
}
