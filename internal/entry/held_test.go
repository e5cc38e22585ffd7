// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Expected attempts of a request that ends endpoints' processes.
const (
	maxProcessEnds = 3 // Endpoints that may end during one request before it is quarantined.
	expectedTrials = 1 // Trials of a quarantined request within the time that the tests let pass.
)

// restartTime is the time after which a caller retries; by then the endpoints have restarted.
const restartTime = 4 * time.Second

// endsProcess returns an agent whose endpoint's process ends during each attempt, after so many tokens.
func endsProcess(tokens int) agentScript {
	return func(a scriptedAttempt) {
		a.tokens(tokens)
		a.frame(a.env.ID, a.env.Offset+tokens, wire.EventProcessEnded, fmt.Sprintf(`{"life":%q}`, a.env.ID))
		a.abort()
	}
}

func endsProcessOnCall(a scriptedAttempt) {
	a.respond(http.StatusBadGateway, wire.Unknown, fmt.Sprintf(`{"outcome":"unknown","status":502,"reason":"x","ended":{"life":%q}}`, a.env.ID))
}

// Guards against a request that ends the process of each endpoint that runs it: it was moved from
// endpoint to endpoint, and again with each retry of its caller.
func TestRequestThatEndsEndpointsIsQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name  string
		agent agentScript
		ask   func(h *harness) reply
	}{
		{"stream without a token", endsProcess(0), func(h *harness) reply { return h.stream(variants[0], "", nil) }},
		{"stream after tokens", endsProcess(1), func(h *harness) reply { return h.stream(variants[0], "", nil) }},
		{"answer that is not streamed", endsProcess(1), func(h *harness) reply {
			return h.send(variants[0], http.MethodPost, "/v1/chat/completions", h.chatBody(false), "", nil)
		}},
		{"call of a service", endsProcessOnCall, func(h *harness) reply {
			return h.send(variants[0], http.MethodGet, h.layout.Path+"x", "", "", nil)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t)
			h.setScripts(tc.agent)
			var last reply
			for n := range 2 * maxProcessEnds {
				last = tc.ask(h)
				if n == 0 {
					g.Expect(h.attempts.Load()).To(gomega.BeNumerically("<=", maxProcessEnds), "attempts of one request")
				}
				h.clockOffset.Add(int64(restartTime))
			}
			t.Logf("%d attempts", h.attempts.Load())
			g.Expect(h.attempts.Load()).To(gomega.BeNumerically("<=", maxProcessEnds+expectedTrials), "attempts of all")
			g.Expect(last.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(last.outcome()).To(gomega.Equal(wire.NotRun))
			after, err := strconv.Atoi(last.Header.Get("Retry-After"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(after).To(gomega.BeNumerically(">", 10), "seconds: the request is not served soon")
			g.Expect(last.body).NotTo(gomega.ContainSubstring("life"), "internal to the processes")
		})
	}
}

// A request is not quarantined for one endpoint that ends during it.
func TestRequestIsRetriedAfterOneProcessEnd(t *testing.T) {
	h := newHarness(t)
	for range 2 * maxProcessEnds {
		h.setScripts(endsProcess(2), func(a scriptedAttempt) { a.complete(4) })
		expectComplete(t, variants[0], h.stream(variants[0], "", nil), 6)
	}
}

// When one attempt may have run and the next one did not, the request as a whole may have run.
func TestNotRunIsTrueOfAllAttempts(t *testing.T) {
	h := newHarness(t)
	refused := afterTwoTokens[0].next
	for _, tc := range []struct {
		name string
		list []agentScript
		want wire.Outcome
	}{
		{"the first may have run", []agentScript{func(a scriptedAttempt) { a.tokens(0); a.abort() }, refused}, wire.Unknown},
		{"the second may have run", []agentScript{refused, func(a scriptedAttempt) { a.tokens(0); a.abort() }, refused}, wire.Unknown},
		{"none ran", []agentScript{refused}, wire.NotRun},
	} {
		for kind, ask := range map[string]func() reply{
			"stream": func() reply { return h.stream(variants[0], "", nil) },
			"call":   func() reply { return h.send(variants[0], http.MethodGet, h.layout.Path+tc.name[:3], "", "", nil) },
		} {
			t.Run(kind+", "+tc.name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				h.setScripts(tc.list...)
				a := ask()
				g.Expect(int(h.attempts.Load())).To(gomega.BeNumerically(">=", min(len(tc.list), 2)), "attempts")
				g.Expect(a.outcome()).To(gomega.Equal(tc.want))
				if tc.want == wire.Unknown {
					g.Expect(a.StatusCode).To(gomega.Equal(http.StatusBadGateway))
					g.Expect(a.Header.Get("Retry-After")).To(gomega.BeEmpty())
				}
			})
		}
	}
}

// Guards against an entry that still sends requests to endpoints which requested backoff, or that
// has callers retry before the backoff ends.
func TestEntriesSendNothingToEndpointsInBackoff(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t)
	const backoffSeconds = 60 // Seconds.
	h.setScripts(func(a scriptedAttempt) {
		a.w.Header().Set(wire.HeaderLoad, wire.EncodeLoad(wire.Load{BackoffMS: backoffSeconds * 1000}))
		a.respond(http.StatusServiceUnavailable, wire.NotRun, `{"outcome":"not-run","status":503,"reason":"rest","retry_after_ms":60000}`)
	})
	for range 6 {
		a := h.send(variants[0], http.MethodPost, "/v1/chat/completions", h.chatBody(false), "", nil)
		g.Expect(a.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	const ranks = 3
	g.Expect(h.attempts.Load()).To(gomega.BeNumerically("<=", ranks), "each endpoint gets one attempt")
	last := h.send(variants[0], http.MethodPost, "/v1/chat/completions", h.chatBody(false), "", nil)
	after, err := strconv.Atoi(last.Header.Get("Retry-After"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after).To(gomega.BeNumerically(">", backoffSeconds/2))
}

// Guards against a panic in the entry that closes the connection during a request.
func TestPanicIsAnswered(t *testing.T) {
	h := newHarness(t)
	h.setScripts(func(a scriptedAttempt) { a.complete(3) })
	for _, tc := range []struct {
		name    string
		inject  func()
		outcome wire.Outcome
	}{
		{"while it is forwarded", func() { h.clockPanics.Store(true) }, wire.Unknown},
		{"before it is forwarded", func() { h.entry.limits = nil }, wire.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tc.inject()
			a := h.send(variants[0], http.MethodPost, "/v1/chat/completions", h.chatBody(false), "", nil)
			g.Expect(a.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
			g.Expect(a.outcome()).To(gomega.Equal(tc.outcome))
		})
	}
	panics := metrics.GetOrRegisterCounter("process.panics.request", h.entry.node.Metrics())
	gomega.NewWithT(t).Expect(panics.Count()).To(gomega.BeEquivalentTo(2))
}

// Guards against a message that ends the process of each endpoint that runs a conversation with it, however
// the conversations go on.
func TestConversationsWithAMessageThatEndsEndpointsAreQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t)
	ask := func(history string, n int) reply {
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":6,"messages":[{"role":"system","content":"all"},{"role":"user","content":%q},{"role":"user","content":"%d"}]}`, h.layout.Model, history, n)
		return h.send(variants[0], http.MethodPost, "/v1/chat/completions", body, "", nil)
	}
	n := 0
	sound := func() {
		n++
		h.setScripts(func(a scriptedAttempt) { a.complete(6) })
		g.Expect(ask("sound", n).StatusCode).To(gomega.Equal(http.StatusOK))
	}
	sound()
	ended := int64(0)
	for range 3 * maxProcessEnds {
		n++
		h.setScripts(endsProcess(0))
		before := h.attempts.Load()
		ask("bad", n)
		ended += int64(h.attempts.Load() - before)
		h.clockOffset.Add(int64(restartTime))
		sound()
	}
	t.Logf("%d attempts of conversations with the message", ended)
	g.Expect(ended).To(gomega.BeNumerically("<=", maxProcessEnds+expectedTrials))
}
