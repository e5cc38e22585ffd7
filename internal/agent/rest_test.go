// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

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
