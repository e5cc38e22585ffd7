// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package adapter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/decide/mapswitch"
)

// Generate is a request to a model engine.
type Generate struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	From      int    `json:"from"` // Offset of the first token to send; earlier ones are recomputed or imported.
}

// EngineState is an engine's report on its load; it lags behind the actual state.
type EngineState struct {
	Step    uint64  `json:"step"`
	StepMS  float64 `json:"step_ms"`
	Running int     `json:"running"`
}

// MapOrder is a fenced order about the expert map. With Prepare, Experts is the
// new map: by layer and expert, the ranks that hold the expert.
type MapOrder struct {
	mapswitch.Order
	Experts [][][]int `json:"experts,omitempty"`
}

// MapContent is an expert map as an engine reports it.
type MapContent struct {
	Version uint64    `json:"version"`
	Experts [][][]int `json:"experts,omitempty"`
}

// ExpertLoad is the number of tokens routed to each expert, by layer and expert, in one sample.
type ExpertLoad struct {
	Sample int         `json:"sample"`
	Tokens [][]float64 `json:"tokens"`
}

// Engine is the adapter to one model engine.
type Engine struct {
	// Generate starts a request. The stream consists of server-sent events, one per
	// token, and an event "end" when it is complete. Closing it cancels the request.
	Generate func(ctx context.Context, g Generate) (stream io.ReadCloser, err error)
	// State reads the engine's report.
	State func(ctx context.Context) (s EngineState, err error)
	// Export reads the KV cache of a request.
	Export func(ctx context.Context, id string) (cache []byte, err error)
	// Import loads a KV cache into the engine for a request that is sent afterwards.
	Import func(ctx context.Context, id string, cache []byte) (err error)
	// Order sends a fenced order about the expert map to the engine's rank.
	Order func(ctx context.Context, o MapOrder) (r mapswitch.Reply, err error)
	// Map reads the active map: its version and, by layer and expert, the ranks that
	// hold the expert. Before the first switch there is none.
	Map func(ctx context.Context) (m MapContent, err error)
	// Experts reads the newest report on the load of experts. Reports lag, and samples
	// may be missing. Every rank reports for its entire group.
	Experts func(ctx context.Context) (l ExpertLoad, err error)
	// Ended reports whether the engine's process has ended; nil if that cannot be determined.
	Ended func(ctx context.Context) bool
}

// NewEngine returns the adapter to the engine at the base URL.
func NewEngine(base string, c *http.Client) *Engine {
	return &Engine{
		Generate: func(ctx context.Context, g Generate) (stream io.ReadCloser, err error) {
			return postStream(ctx, c, base+"/v1/generate", g)
		},
		State: func(ctx context.Context) (s EngineState, err error) {
			err = getJSON(ctx, c, base+"/v1/state", &s)
			return s, errors.Wrap(err, "engine state")
		},
		Export: func(ctx context.Context, id string) (cache []byte, err error) {
			cache, err = get(ctx, c, base+"/v1/kv/"+url.PathEscape(id))
			return cache, errors.Wrap(err, "engine export")
		},
		Import: func(ctx context.Context, id string, cache []byte) (err error) {
			var done struct{}
			err = postJSON(ctx, c, base+"/v1/kv/"+url.PathEscape(id), json.RawMessage(cache), &done)
			return errors.Wrap(err, "engine import")
		},
		Order: func(ctx context.Context, o MapOrder) (r mapswitch.Reply, err error) {
			err = postJSON(ctx, c, base+"/v1/order", o, &r)
			return r, errors.Wrap(err, "engine order")
		},
		Map: func(ctx context.Context) (m MapContent, err error) {
			err = getJSON(ctx, c, base+"/v1/map", &m)
			return m, errors.Wrap(err, "engine map")
		},
		Experts: func(ctx context.Context) (l ExpertLoad, err error) {
			err = getJSON(ctx, c, base+"/v1/experts", &l)
			return l, errors.Wrap(err, "engine experts")
		},
		Ended: refusesConnections(base),
	}
}

// postJSON posts v, which must be harmless to repeat, and decodes the answer into reply.
func postJSON(ctx context.Context, c *http.Client, url string, v, reply any) (err error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return markIfNotSent(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readOK(resp)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, reply)
}

func postStream(ctx context.Context, c *http.Client, url string, v any) (stream io.ReadCloser, err error) {
	defer func() { err = errors.Wrap(err, "engine generate") }()
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // Without GetBody the transport cannot send the body a second time.
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return nil, markIfNotSent(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxQuotedBytes))
		return nil, &statusError{resp.StatusCode, string(text), readBackoff(resp)}
	}
	return resp.Body, nil
}
