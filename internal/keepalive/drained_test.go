// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/keepalive"
)

// Guards against requests that are read after the process has found that it may exit.
func TestADrainedServerReadsNoRequest(t *testing.T) {
	t.Parallel()
	for range 10 {
		g := NewWithT(t)
		s := newGatedServer(t, time.Minute)
		close(s.sendHead)
		close(s.sendTail)
		g.Expect(s.tracker.Drained()).To(BeFalse(), "it listens")
		s.tracker.Stop(time.Now())
		var answered atomic.Int32
		var callers errgroup.Group
		for range stopCallers {
			callers.Go(func() error {
				for s.requestOnNewConn(&answered) {
				}
				return nil
			})
		}
		g.Eventually(answered.Load).WithTimeout(time.Minute).Should(BeNumerically(">=", stopCallers))
		g.Expect(s.tracker.CloseListeners(time.Now())).To(Succeed())
		for deadline := time.Now().Add(time.Minute); !s.tracker.Drained(); {
			g.Expect(time.Now()).To(BeTemporally("<", deadline))
		}
		begun, served := s.received.Load(), s.completed.Load()
		g.Expect(callers.Wait()).To(Succeed())
		g.Expect(served).To(Equal(begun))
		g.Expect(s.received.Load()).To(Equal(begun))
		g.Expect(answered.Load()).To(Equal(served))
	}
}

// requestOnNewConn sends a request on a new connection, and reports whether it could connect.
func (s *gatedServer) requestOnNewConn(answered *atomic.Int32) bool {
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Minute)) // A failure shows in what is read.
	_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return true // The connection was established but not accepted, because the listener closed.
	}
	_ = resp.Body.Close()
	answered.Add(1)
	return true
}

// Guards against a planned stop that waits for a listener that a failed server has already closed.
func TestAClosedListenerIsRemoved(t *testing.T) {
	g := NewWithT(t)
	tracker := keepalive.New(keepalive.Config{Name: "test"}, zap.NewNop(), metrics.NewRegistry())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	tracked := tracker.Listener(l)
	g.Expect(tracker.Drained()).To(BeFalse())
	g.Expect(tracked.Close()).To(Succeed())
	g.Expect(tracker.Drained()).To(BeTrue())
}
