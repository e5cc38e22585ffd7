// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package adapter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Call is a request to a plain service.
type Call struct {
	Method    string
	Path      string
	MediaType string // Content type of Body.
	Key       string // Idempotency key, "" when there is none.
	Body      []byte
	SendOnce  bool // Whether the call may not be repeated, not even by the transport.
}

// Reply is the whole answer of a plain service.
type Reply struct {
	Status    int
	MediaType string
	Body      []byte
	Backoff   time.Duration // For which the service wants nothing more; 0 when it did not say so.
}

// Service is the adapter to one plain service.
type Service struct {
	// Do makes one call. An error for which NotSent holds proves that the
	// service got nothing; after any other it may have run.
	Do func(ctx context.Context, call Call) (r Reply, err error)
	// Ended reports whether the service's process has ended; nil where that cannot be told.
	Ended func(ctx context.Context) bool
}

// NewService returns the adapter to the service at the base URL. Calls that
// may not be repeated go through the client single, which must not keep
// connections.
func NewService(base string, kept, single *http.Client) *Service {
	return &Service{
		Do: func(ctx context.Context, call Call) (r Reply, err error) {
			c := kept
			if call.SendOnce {
				c = single
			}
			return do(ctx, c, base, call)
		},
		Ended: refusesConnections(base),
	}
}

func do(ctx context.Context, c *http.Client, base string, call Call) (r Reply, err error) {
	defer func() { err = errors.Wrapf(err, "service call %s %s", call.Method, call.Path) }()
	var body io.Reader
	if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, body)
	if err != nil {
		return r, notSentError{err}
	}
	if call.MediaType != "" {
		req.Header.Set("Content-Type", call.MediaType)
	}
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := c.Do(req)
	if err != nil {
		return r, classify(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := ReadWhole(resp, maxAnswer)
	if err != nil {
		return r, err
	}
	return Reply{Status: resp.StatusCode, MediaType: resp.Header.Get("Content-Type"), Body: raw, Backoff: restOf(resp)}, nil
}
