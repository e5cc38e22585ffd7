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

// endsAllowed is how many endpoints may end under one request before it is held; trials is
// how often it is tried after that within the time that these tests let pass.
const (
	endsAllowed = 3
	trials      = 1
)

// awayTime is after how long the same request comes again: its endpoints are back by then.
const awayTime = 4 * time.Second

// ends is an agent whose endpoint's process ends under each attempt after so many tokens.
func ends(tokens int) script {
	return func(a try) {
		a.tokens(tokens)
		a.frame(a.env.ID, a.env.Offset+tokens, wire.EventProcessEnded, fmt.Sprintf(`{"life":%q}`, a.env.ID))
		a.cut()
	}
}

func endsCall(a try) {
	a.answer(http.StatusBadGateway, wire.Unknown, fmt.Sprintf(`{"outcome":"unknown","status":502,"reason":"x","ended":{"life":%q}}`, a.env.ID))
}

// A request that ends the process of whoever runs it was moved on from one endpoint to the
// next, and anew each time that its caller came again.
func TestARequestThatEndsEndpointsIsHeld(t *testing.T) {
	for _, tc := range []struct {
		name string
		does script
		ask  func(r *rig) got
	}{
		{"stream without a token", ends(0), func(r *rig) got { return r.stream(dialects[0], "", nil) }},
		{"stream after tokens", ends(1), func(r *rig) got { return r.stream(dialects[0], "", nil) }},
		{"answer in one piece", ends(1), func(r *rig) got {
			return r.ask(dialects[0], http.MethodPost, "/v1/chat/completions", r.chat(false), "", nil)
		}},
		{"call of a service", endsCall, func(r *rig) got {
			return r.ask(dialects[0], http.MethodGet, r.layout.Path+"x", "", "", nil)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t)
			r.play(tc.does)
			var last got
			for n := range 2 * endsAllowed {
				last = tc.ask(r)
				if n == 0 {
					g.Expect(r.next.Load()).To(gomega.BeNumerically("<=", endsAllowed), "attempts of one request")
				}
				r.passed.Add(int64(awayTime))
			}
			t.Logf("%d attempts", r.next.Load())
			g.Expect(r.next.Load()).To(gomega.BeNumerically("<=", endsAllowed+trials), "attempts of all")
			g.Expect(last.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(last.outcome()).To(gomega.Equal(wire.NotRun))
			after, err := strconv.Atoi(last.Header.Get("Retry-After"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(after).To(gomega.BeNumerically(">", 10), "seconds: nobody who waits now is served")
			g.Expect(last.body).NotTo(gomega.ContainSubstring("life"), "a matter between processes")
		})
	}
}

// One endpoint that ends under a request is no reason to hold it.
func TestARequestGoesOnAfterOneEnd(t *testing.T) {
	r := newRig(t)
	for range 2 * endsAllowed {
		r.play(ends(2), func(a try) { a.whole(4) })
		expectWhole(t, dialects[0], r.stream(dialects[0], "", nil), 6)
	}
}

// An attempt may have run and the next one did not: the request as a whole may have run.
func TestNotRunIsTrueOfAllAttempts(t *testing.T) {
	r := newRig(t)
	refused := afterTwo[0].next
	for _, tc := range []struct {
		name string
		list []script
		want wire.Outcome
	}{
		{"the first may have run", []script{func(a try) { a.tokens(0); a.cut() }, refused}, wire.Unknown},
		{"the second may have run", []script{refused, func(a try) { a.tokens(0); a.cut() }, refused}, wire.Unknown},
		{"none ran", []script{refused}, wire.NotRun},
	} {
		for kind, ask := range map[string]func() got{
			"stream": func() got { return r.stream(dialects[0], "", nil) },
			"call":   func() got { return r.ask(dialects[0], http.MethodGet, r.layout.Path+tc.name[:3], "", "", nil) },
		} {
			t.Run(kind+", "+tc.name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				r.play(tc.list...)
				a := ask()
				g.Expect(int(r.next.Load())).To(gomega.BeNumerically(">=", min(len(tc.list), 2)), "attempts")
				g.Expect(a.outcome()).To(gomega.Equal(tc.want))
				if tc.want == wire.Unknown {
					g.Expect(a.StatusCode).To(gomega.Equal(http.StatusBadGateway))
					g.Expect(a.Header.Get("Retry-After")).To(gomega.BeEmpty())
				}
			})
		}
	}
}

// Guards against an entry that goes on sending to endpoints which have asked for rest, or that
// tells callers to come back while they still rest.
func TestEndpointsThatAskForRestGetNothingFromEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	const rest = 60 // Seconds.
	r.play(func(a try) {
		a.w.Header().Set(wire.HeaderLoad, wire.EncodeLoad(wire.Load{BackoffMS: rest * 1000}))
		a.answer(http.StatusServiceUnavailable, wire.NotRun, `{"outcome":"not-run","status":503,"reason":"rest","retry_after_ms":60000}`)
	})
	for range 6 {
		a := r.ask(dialects[0], http.MethodPost, "/v1/chat/completions", r.chat(false), "", nil)
		g.Expect(a.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	const ranks = 3
	g.Expect(r.next.Load()).To(gomega.BeNumerically("<=", ranks), "each endpoint is asked once")
	last := r.ask(dialects[0], http.MethodPost, "/v1/chat/completions", r.chat(false), "", nil)
	after, err := strconv.Atoi(last.Header.Get("Retry-After"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after).To(gomega.BeNumerically(">", rest/2))
}

// Guards against a fault of the entry's own that closes a connection under a request.
func TestAPanicIsAnswered(t *testing.T) {
	r := newRig(t)
	r.play(func(a try) { a.whole(3) })
	for _, tc := range []struct {
		name    string
		inject  func()
		outcome wire.Outcome
	}{
		{"as it is passed on", func() { r.faulty.Store(true) }, wire.Unknown},
		{"before it is passed on", func() { r.entry.limits = nil }, wire.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tc.inject()
			a := r.ask(dialects[0], http.MethodPost, "/v1/chat/completions", r.chat(false), "", nil)
			g.Expect(a.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
			g.Expect(a.outcome()).To(gomega.Equal(tc.outcome))
		})
	}
	panics := metrics.GetOrRegisterCounter("process.panics.request", r.entry.node.Metrics())
	gomega.NewWithT(t).Expect(panics.Count()).To(gomega.BeEquivalentTo(2))
}
