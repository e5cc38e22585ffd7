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
	MediaType string // Content-Type of Body.
	Key       string // Idempotency key; "" for none.
	Body      []byte
	SendOnce  bool // The call must not be sent twice, not even by the transport.
}

// Reply is the complete answer of a plain service.
type Reply struct {
	Status    int
	MediaType string // Content-Type of Body.
	Body      []byte
	Backoff   time.Duration // Time for which the service wants no more calls; 0 for none.
}

// Service is the adapter to one plain service.
type Service struct {
	// Do makes one call. An error for which NotSent returns true proves that the
	// service received nothing; after any other error the call may have run.
	Do func(ctx context.Context, call Call) (r Reply, err error)
	// Ended reports whether the service's process has ended; nil if that cannot be determined.
	Ended func(ctx context.Context) bool
}

// NewService returns the adapter to the service at the base URL. Calls with
// SendOnce go through the client singleUse, which must not reuse connections.
func NewService(base string, pooled, singleUse *http.Client) *Service {
	return &Service{
		Do: func(ctx context.Context, call Call) (r Reply, err error) {
			c := pooled
			if call.SendOnce {
				c = singleUse
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
		return r, markIfNotSent(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := ReadWhole(resp, maxAnswerBytes)
	if err != nil {
		return r, err
	}
	return Reply{Status: resp.StatusCode, MediaType: resp.Header.Get("Content-Type"), Body: raw, Backoff: readBackoff(resp)}, nil
}
