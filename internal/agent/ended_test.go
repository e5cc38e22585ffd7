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

// breaker is an endpoint that breaks every answer off, and whose process ends with it if
// it is to.
func breaker(t *testing.T, ends bool, head string) (base string) {
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return // A question for its state.
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

// endedIn returns what an answer says of the endpoint's process.
func endedIn(a answer) (life string) {
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

func TestAnEndpointThatEndedIsToldFromAnAnswerThatBrokeOff(t *testing.T) {
	generate, err := json.Marshal(adapter.Generate{Prompt: "x", MaxTokens: 3})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, tc := range []struct {
		name   string
		engine bool
		head   string
	}{
		{"stream", true, streamHead},
		{"stream without a head", true, ""},
		{"call", false, ""},
	} {
		for _, ends := range []bool{true, false} {
			name := tc.name + " that broke off"
			if ends {
				name = tc.name + " whose endpoint ended"
			}
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				base := breaker(t, ends, tc.head)
				var a answer
				if tc.engine {
					b := newBench(t, nil, adapter.NewEngine(base, &http.Client{Transport: adapter.NewSingleUseTransport("")}), nil)
					a = b.send(wire.Envelope{Kind: wire.KindStream, Customer: "c"}, string(generate))
				} else {
					once := &http.Client{Transport: adapter.NewSingleUseTransport("")}
					b := newBench(t, nil, nil, adapter.NewService(base, once, once))
					a = b.send(call(""), "x")
				}
				g.Expect(endedIn(a) != "").To(gomega.Equal(ends), a.body)
			})
		}
	}
}

// tired is an endpoint that turns all requests away and asks for rest.
type tired struct {
	after string // Retry-After, in seconds.
	got   atomic.Int32
}

func (e *tired) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/generate" && r.URL.Path != call("").Path {
		_, _ = io.WriteString(w, "{}") // The engine's reports.
		return
	}
	e.got.Add(1)
	w.Header().Set("Retry-After", e.after)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// beside starts an agent beside an engine or a service that is tired; ask sends it a request.
func beside(t *testing.T, kind wire.Kind, e *tired) (ask func() answer) {
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	if kind == wire.KindStream {
		b := newBench(t, nil, adapter.NewEngine(srv.URL, srv.Client()), nil)
		return func() answer {
			return b.send(wire.Envelope{Kind: kind, Customer: "c"}, `{"prompt":"x","max_tokens":2}`)
		}
	}
	b := newBench(t, nil, nil, adapter.NewService(srv.URL, srv.Client(), srv.Client()))
	return func() answer { return b.send(call(""), "x") }
}

// Guards against an agent that goes on sending to its endpoint after that has asked for rest.
func TestAnEndpointThatAsksForRestGetsNothingFromItsAgent(t *testing.T) {
	for _, kind := range []wire.Kind{wire.KindStream, wire.KindCall} {
		t.Run(string(kind), func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := &tired{after: "3600"}
			ask := beside(t, kind, e)
			g.Expect(ask().status).To(gomega.Equal(http.StatusServiceUnavailable))
			for range 5 {
				a := ask()
				g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
				g.Expect(a.outcome).To(gomega.Equal(wire.NotRun))
				var refusal wire.Refusal
				g.Expect(json.Unmarshal([]byte(a.body), &refusal)).To(gomega.Succeed())
				g.Expect(refusal.RetryAfterMS).To(gomega.BeNumerically(">", 60_000), "what is left")
			}
			g.Expect(e.got.Load()).To(gomega.BeEquivalentTo(1))
		})
		t.Run(string(kind)+", the rest ends", func(t *testing.T) {
			e := &tired{after: "0.05"}
			ask := beside(t, kind, e)
			gomega.NewWithT(t).Eventually(func() int32 {
				ask()
				return e.got.Load()
			}, "20s").Should(gomega.BeNumerically(">=", 3))
		})
	}
}
