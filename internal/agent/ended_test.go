// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// abortingEndpoint starts an endpoint that sends head as its answer and then closes the connection,
// and also its listener if ends is set, as at the end of its process.
func abortingEndpoint(t *testing.T, ends bool, head string) (base string) {
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return // A query for its state.
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = io.WriteString(c, head)
		if ends {
			_ = srv.Listener.Close()
		}
		_ = c.Close()
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// reportedEnd returns the ended process that an answer names, or "".
func reportedEnd(a answer) (incarnation string) {
	if _, data, ok := strings.Cut(a.body, "event: "+wire.EventProcessEnded+"\ndata: "); ok {
		var e wire.Ended
		if json.Unmarshal([]byte(data[:strings.Index(data, "\n")]), &e) == nil {
			return e.Incarnation
		}
	}
	var r wire.Refusal
	if json.Unmarshal([]byte(a.body), &r) == nil && r.Ended != nil {
		return r.Ended.Incarnation
	}
	return ""
}

func TestProcessEndIsDistinguishedFromAbortedAnswer(t *testing.T) {
	generate, err := json.Marshal(adapter.Generate{Prompt: "x", MaxTokens: 3})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, tc := range []struct {
		name   string
		engine bool
		head   string
	}{
		{"stream", true, streamHead},
		{"stream without a header", true, ""},
		{"call", false, ""},
	} {
		for _, ends := range []bool{true, false} {
			name := tc.name + " that was aborted"
			if ends {
				name = tc.name + " whose endpoint's process ended"
			}
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				base := abortingEndpoint(t, ends, tc.head)
				var a answer
				if tc.engine {
					b := newHarness(t, nil, adapter.NewEngine(base, &http.Client{Transport: adapter.NewSingleUseTransport("")}), nil)
					a = b.send(wire.Envelope{Kind: wire.KindStream, Customer: "c"}, string(generate))
				} else {
					once := &http.Client{Transport: adapter.NewSingleUseTransport("")}
					b := newHarness(t, nil, nil, adapter.NewService(base, once, once))
					a = b.send(call(""), "x")
				}
				g.Expect(reportedEnd(a) != "").To(gomega.Equal(ends), a.body)
			})
		}
	}
}

// backingOffEndpoint is an endpoint that rejects all requests and requests backoff.
type backingOffEndpoint struct {
	retryAfter string // Retry-After, in seconds.
	requests   atomic.Int32
}

func (e *backingOffEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/generate" && r.URL.Path != call("").Path {
		_, _ = io.WriteString(w, "{}") // Queries for the engine's state.
		return
	}
	e.requests.Add(1)
	w.Header().Set("Retry-After", e.retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// startBeside starts an agent for e as an engine or a service; sendRequest sends the agent a request.
func startBeside(t *testing.T, kind wire.Kind, e *backingOffEndpoint) (sendRequest func() answer) {
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	if kind == wire.KindStream {
		b := newHarness(t, nil, adapter.NewEngine(srv.URL, srv.Client()), nil)
		return func() answer {
			return b.send(wire.Envelope{Kind: kind, Customer: "c"}, `{"prompt":"x","max_tokens":2}`)
		}
	}
	b := newHarness(t, nil, nil, adapter.NewService(srv.URL, srv.Client(), srv.Client()))
	return func() answer { return b.send(call(""), "x") }
}

// Guards against an agent that continues to send to its endpoint after the endpoint requested backoff.
func TestAgentSendsNothingDuringBackoff(t *testing.T) {
	for _, kind := range []wire.Kind{wire.KindStream, wire.KindCall} {
		t.Run(string(kind), func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := &backingOffEndpoint{retryAfter: "3600"}
			sendRequest := startBeside(t, kind, e)
			g.Expect(sendRequest().status).To(gomega.Equal(http.StatusServiceUnavailable))
			for range 5 {
				a := sendRequest()
				g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
				g.Expect(a.outcome).To(gomega.Equal(wire.NotRun))
				var refusal wire.Refusal
				g.Expect(json.Unmarshal([]byte(a.body), &refusal)).To(gomega.Succeed())
				g.Expect(refusal.RetryAfterMS).To(gomega.BeNumerically(">", 60_000), "the rest of the backoff time")
			}
			g.Expect(e.requests.Load()).To(gomega.BeEquivalentTo(1))
		})
		t.Run(string(kind)+", the backoff ends", func(t *testing.T) {
			e := &backingOffEndpoint{retryAfter: "0.05"}
			sendRequest := startBeside(t, kind, e)
			gomega.NewWithT(t).Eventually(func() int32 {
				sendRequest()
				return e.requests.Load()
			}, "20s").Should(gomega.BeNumerically(">=", 3))
		})
	}
}
