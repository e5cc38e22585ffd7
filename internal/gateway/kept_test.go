// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// large answers with more than sockets keep.
func large(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write(make([]byte, maxAnswer-1)) // A gateway that has gone is the test's own doing.
}

func TestACallerWhoDoesNotReadIsLetGo(t *testing.T) {
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(r *fleet.Route) { r.Kind = fleet.Repeatable }, http.HandlerFunc(large))
	view.Replace(snap, time.Now(), false)
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(conn.Close()).To(Succeed()) }()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: caller.test\r\n%s: one\r\nContent-Length: 2\r\n\r\n{}", headerID)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.kept.n.Load, patienceOf).Should(BeEquivalentTo(maxAnswer - 1 + 2))
	g.Eventually(s.kept.n.Load, patienceOf).Should(BeZero(), "nothing is kept for a caller who does not read")
	g.Eventually(s.Busy, patienceOf).Should(BeZero())
}

// Callers who send much, or slowly, do not fill the memory together.
func TestBodiesAreRefusedWhenTooMuchIsKept(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, newStreamer(0))
	s.kept.most = 100
	s.kept.add(99)
	status, retryAfter, _, err := s.ask("one")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(retryAfter).NotTo(BeEmpty())
	s.kept.add(-50)
	status, _, _, err = s.ask("two")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Eventually(s.kept.n.Load, patienceOf).Should(BeEquivalentTo(49), "what was kept is given back")
}
