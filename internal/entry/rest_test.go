// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Guards against an entry that goes on sending to endpoints which have asked for rest, or that
// tells callers to come back while they still rest.
func TestEndpointsThatAskForRestGetNothingFromEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	const rest = 60 // Seconds.
	r.play(func(a try) {
		a.w.Header().Set(wire.HeaderLoad, wire.EncodeLoad(wire.Load{RestMS: rest * 1000}))
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
