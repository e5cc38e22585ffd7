// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// countedConn counts open connections.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

type countingListener struct {
	net.Listener
	open *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: c, open: l.open}, nil
}

// Guards against callers who wait for a full gateway until their time is over, instead of trying another.
func TestAFullListenerClosesNewConnectionsUnread(t *testing.T) {
	g := NewWithT(t)
	const maxOpen, testTimeout = 2, 20 * time.Second
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var open atomic.Int64
	l := newLimitedListener(countingListener{inner, &open}, maxOpen, limitGrace, func() int { return int(open.Load()) }, zap.NewNop())
	accepted := make(chan net.Conn, 10)
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The listener is closed.
			}
			accepted <- c
		}
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", inner.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		g.Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
		return c
	}
	dial()
	dial()
	first, second := <-accepted, <-accepted
	for range 3 {
		_, err = dial().Read(make([]byte, 1))
		g.Expect(err).To(MatchError(io.EOF))
	}
	g.Expect(accepted).To(BeEmpty())
	g.Expect(first.Close()).To(Succeed())
	dial()
	g.Eventually(accepted, testTimeout).Should(Receive())
	g.Expect(second.Close()).To(Succeed())
	g.Expect(l.Close()).To(Succeed())
	g.Expect(group.Wait()).To(Succeed())
}

func TestACrowdedGatewayHasCallersCloseTheirConnections(t *testing.T) {
	for _, tc := range []struct {
		open int
		want string
	}{{4, ""}, {5, "close"}, {10, "close"}} {
		w := httptest.NewRecorder()
		h := closeWhenCrowded(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), 10, func() int { return tc.open })
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		NewWithT(t).Expect(w.Header().Get("Connection")).To(Equal(tc.want))
	}
}
