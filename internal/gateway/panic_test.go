// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Guards against a fault of the gateway's own that closes a connection under a request.
func TestAPanicIsAnswered(t *testing.T) {
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(r *fleet.Route) { r.Kind = fleet.Once }, newStreamer(0))
	s.codec.ReadAnswer = func(int, http.Header) fleet.Answer { panic("a fault") }
	view.Replace(snap, time.Now(), false)
	status, _, _, err := s.ask("one")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusInternalServerError))
}
