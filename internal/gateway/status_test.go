// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// odd answers with a status that no server of net/http can pass on.
func odd(w http.ResponseWriter, r *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(conn, "HTTP/1.1 042 Odd\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, r.Header.Get(headerID))
	_ = conn.(*net.TCPConn).CloseWrite() // The gateway closes the rest.
}

// Guards against a caller without an answer where its endpoint answers out of the protocol.
func TestAStatusThatCannotBePassedOnIsAnswered(t *testing.T) {
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(r *fleet.Route) { r.Kind = fleet.Once }, http.HandlerFunc(odd))
	view.Replace(snap, time.Now(), false)
	status, _, _, err := s.ask("one")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusBadGateway))
}
