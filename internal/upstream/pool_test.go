// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newTestPool returns a pool and a function that gets a connection from it. The endpoint allows
// connections to be idle for an hour.
func newTestPool(t *testing.T) (p *Pool, get func(maxIdle time.Duration) *Conn) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=3600")
		_, _ = io.WriteString(w, "x") // Fails only if the test closes the connection.
	}))
	t.Cleanup(srv.Close)
	p, cleanup := NewPool("", func() {})
	t.Cleanup(cleanup)
	return p, func(maxIdle time.Duration) *Conn {
		c, err := p.Get(context.Background(), "e", srv.Listener.Addr().String(), maxIdle)
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
}

// roundTrip performs a request on a connection, and returns that to the pool.
func roundTrip(t *testing.T, p *Pool, c *Conn) {
	g := NewWithT(t)
	r := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
	x, err := c.Send(r, time.Now().Add(time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = x.Head(r, anyAnswer)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = readBody(x)
	g.Expect(err).NotTo(HaveOccurred())
	x.Done(p)
}

// Guards against using connections that their endpoint is about to close.
func TestTakingAConnectionUnusedKeepsItsIdleTime(t *testing.T) {
	g := NewWithT(t)
	p, get := newTestPool(t)
	c := get(0)
	roundTrip(t, p, c)
	for range 2 {
		c.idleSince = c.idleSince.Add(-40 * time.Minute)
		if again := get(2 * time.Hour); again != c {
			again.Close()
			return
		}
		p.Put(c)
	}
	g.Expect(get(2*time.Hour) == c).To(BeFalse(), "it has been idle for 80 minutes")
}
