// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// Guards against a header that is cut off by the idle timeout, which expires before the header timeout.
func TestAHeaderPipelinedBehindARequestHasItsOwnTimeout(t *testing.T) {
	t.Parallel()
	for name, limit := range map[string]func(s *host){
		"the idle timeout expires": func(*host) {},
		"a planned stop begins":    func(s *host) { s.Stop(time.Now()) },
		"the idle timeout grows":   func(s *host) { s.Publish(1, testTimeout, time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newTestServer(t, defaultConfig())
			c := s.dial(t, "a")
			one, two := c.nextID(), c.nextID()
			first, second := splitRequest(two)
			g.Expect(c.send(requestText(one) + first)).To(Succeed())
			_, err := c.read(one)
			g.Expect(err).NotTo(HaveOccurred())
			limit(s)
			time.Sleep(shortIdle + 2*transitMargin)
			g.Expect(c.send(second)).To(Succeed())
			_, err = c.read(two)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}

// Guards against a first byte that net/http reads to detect whether the caller closes, and that is
// not counted as the beginning of a header.
func TestAHeaderWhoseFirstByteIsReadWithThePreviousRequestHasItsOwnTimeout(t *testing.T) {
	t.Parallel()
	begin := func(t *testing.T, cfg Config) (s *host, c *caller, rest string) {
		g := NewWithT(t)
		var begun chan struct{}
		var release func()
		s = newTestServer(t, cfg, func(s *host) { begun, release = blockFirstRequest(s) })
		c = s.dial(t, "a")
		one, two := c.nextID(), c.nextID()
		g.Expect(c.send(requestText(one))).To(Succeed())
		g.Eventually(begun, testTimeout).Should(BeClosed())
		g.Expect(c.send(requestText(two)[:1])).To(Succeed())
		g.Eventually(s.backgroundByte, testTimeout).Should(BeTrue())
		release()
		_, err := c.read(one)
		g.Expect(err).NotTo(HaveOccurred())
		return s, c, requestText(two)[1:]
	}
	t.Run("longer than the idle timeout", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		_, c, rest := begin(t, defaultConfig())
		time.Sleep(shortIdle + 2*transitMargin)
		g.Expect(c.send(rest)).To(Succeed())
		_, err := c.read(c.lastID())
		g.Expect(err).NotTo(HaveOccurred())
	})
	t.Run("shorter than the idle timeout", func(t *testing.T) {
		t.Parallel()
		s, c, _ := begin(t, shortHeaderConfig())
		c.expectCutOff(t)
		s.expectCauses(t, map[Cause]int{SlowHeader: 1})
	})
}

// backgroundByte reports whether a byte of the next request was read during the previous one.
func (s *host) backgroundByte() bool {
	s.Tracker.mu.Lock()
	defer s.Tracker.mu.Unlock()
	for c := range s.conns {
		if c.backgroundByte.Load() {
			return true
		}
	}
	return false
}

// Guards against an idle deadline that stays set while a request is served whose header was read
// together with the previous one.
func TestAPlannedStopSetsNoDeadlineForAReceivedRequest(t *testing.T) {
	g := NewWithT(t)
	tr, c, client := newPair(t)
	c.onConnState(http.StateActive)
	c.onConnState(http.StateIdle)
	g.Expect(c.SetReadDeadline(time.Time{})).To(Succeed())                              // The server waits for a request and
	g.Expect(c.SetReadDeadline(time.Now().Add(tr.cfg.ReadHeaderTimeout))).To(Succeed()) // finds one in its buffer.
	g.Expect(c.SetReadDeadline(time.Time{})).To(Succeed())                              // Its header is complete.
	tr.Stop(time.Now())
	c.onConnState(http.StateActive)
	var body errgroup.Group
	body.Go(func() error {
		_, err := c.Read(make([]byte, 1))
		return err
	})
	time.Sleep(shortIdle + 2*transitMargin)
	_, err := io.WriteString(client, "x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body.Wait()).To(Succeed())
}

// newPair returns a tracked connection and the client's side of it.
func newPair(t *testing.T) (tr *Tracker, c *Conn, client net.Conn) {
	g := NewWithT(t)
	s := newTestServer(t, defaultConfig())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	client, err = net.Dial("tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	nc, err := s.Listener(l).Accept()
	g.Expect(err).NotTo(HaveOccurred())
	s.accepted++
	t.Cleanup(func() { _, _, _ = nc.Close(), client.Close(), l.Close() })
	return s.Tracker, nc.(*Conn), client
}
