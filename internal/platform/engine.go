// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Generate is a request to a model engine.
type Generate struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	From      int    `json:"from"` // First token wanted; earlier ones are recomputed or imported.
}

// Fence orders the givers of orders: an engine obeys none that is lower than
// the highest it has seen.
type Fence struct {
	Generation  uint64 `json:"generation"`
	Incarnation uint64 `json:"incarnation"`
	Ballot      uint64 `json:"ballot"`
}

// Less reports whether f is lower than g.
func (f Fence) Less(g Fence) bool {
	if f.Generation != g.Generation {
		return f.Generation < g.Generation
	}
	if f.Incarnation != g.Incarnation {
		return f.Incarnation < g.Incarnation
	}
	return f.Ballot < g.Ballot
}

// EngineState is an engine's report about itself; it lags.
type EngineState struct {
	Step    uint64  `json:"step"`
	StepMS  float64 `json:"step_ms"`
	Running int     `json:"running"`
	KV      int     `json:"kv_tokens"`
	Map     uint64  `json:"map"` // Version of the expert map in force.
	Fence   Fence   `json:"fence"`
}

// Engine is the adapter to one model engine.
type Engine struct {
	// Generate starts a request; the stream is server-sent events, one a
	// token, with an event "end" when it is whole. Closing it cancels.
	Generate func(ctx context.Context, g Generate) (stream io.ReadCloser, err error)
	// State reads the engine's report.
	State func(ctx context.Context) (s EngineState, err error)
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
	}
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
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		return nil, &statusError{resp.StatusCode, string(text)}
	}
	return resp.Body, nil
}
