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
	From      int    `json:"from"` // First token wanted; earlier ones are recomputed or imported.
}

// EngineState is an engine's report about itself; it lags.
type EngineState struct {
	Step    uint64  `json:"step"`
	StepMS  float64 `json:"step_ms"`
	Running int     `json:"running"`
}

// MapOrder is a fenced order about the expert map. Experts comes with Prepare
// and says what the new map is, by layer and expert the ranks that hold it.
type MapOrder struct {
	mapswitch.Order
	Experts [][][]int `json:"experts,omitempty"`
}

// MapContent is an expert map as an engine knows it.
type MapContent struct {
	Version uint64    `json:"version"`
	Experts [][][]int `json:"experts,omitempty"`
}

// ExpertLoad is the tokens that each expert of each layer got in one sample.
type ExpertLoad struct {
	Sample int         `json:"sample"`
	Tokens [][]float64 `json:"tokens"`
}

// Engine is the adapter to one model engine.
type Engine struct {
	// Generate starts a request; the stream is server-sent events, one a
	// token, with an event "end" when it is whole. Closing it cancels.
	Generate func(ctx context.Context, g Generate) (stream io.ReadCloser, err error)
	// State reads the engine's report.
	State func(ctx context.Context) (s EngineState, err error)
	// Export reads the KV cache of a request.
	Export func(ctx context.Context, id string) (cache []byte, err error)
	// Import gives the engine a KV cache for a request that follows.
	Import func(ctx context.Context, id string, cache []byte) (err error)
	// Order gives a fenced order about the expert map to the engine's rank.
	Order func(ctx context.Context, o MapOrder) (r mapswitch.Reply, err error)
	// Map reads the content of the map in force: its version, and by layer and
	// expert the ranks that hold it. Before the first switch there is none.
	Map func(ctx context.Context) (m MapContent, err error)
	// Experts reads the newest report on the load of experts; it lags and has
	// gaps. Every rank reports for its whole group.
	Experts func(ctx context.Context) (l ExpertLoad, err error)
	// Ended reports whether the engine's process has ended; nil where that cannot be told.
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

// postJSON posts a message that is harmless to repeat and decodes the answer.
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
		return classify(err)
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
	req.GetBody = nil // A body that cannot be read again is never sent again.
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, statusText))
		return nil, &statusError{resp.StatusCode, string(text), restOf(resp)}
	}
	return resp.Body, nil
}
