// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive_test

import (
	"bufio"
	"fmt"
	"io"
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

const (
	// advertisedIdle is the keep-alive timeout that answers advertise.
	advertisedIdle = 2 * time.Second
	// stopCallers is the number of connections that are used in a planned stop.
	stopCallers = 50
)

// gatedServer is a server whose answers begin and end when the test allows it.
type gatedServer struct {
	tracker   *keepalive.Tracker
	address   string
	sendHead  chan struct{} // Closed to let the heads of answers be sent.
	sendTail  chan struct{} // Closed to let the bodies end.
	received  atomic.Int32  // Requests that were read.
	completed atomic.Int32  // Requests that were answered.
}

func newGatedServer(t *testing.T, gracePeriod time.Duration) *gatedServer {
	g := NewWithT(t)
	s := &gatedServer{sendHead: make(chan struct{}), sendTail: make(chan struct{})}
	s.tracker = keepalive.New(keepalive.Config{
		Name: "test", IdleTimeout: time.Minute, MaxAdvertised: advertisedIdle, ReadHeaderTimeout: time.Minute, GracePeriod: gracePeriod,
	}, zap.NewNop(), metrics.NewRegistry())
	srv := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.tracker.Attach(srv)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	var all errgroup.Group
	tracked := s.tracker.Listener(l)
	all.Go(func() error { return srv.Serve(tracked) })
	t.Cleanup(func() {
		g.Expect(srv.Close()).To(Succeed())
		g.Expect(all.Wait()).To(Or(MatchError(http.ErrServerClosed), MatchError(net.ErrClosed)))
	})
	return s
}

func (s *gatedServer) serve(w http.ResponseWriter, r *http.Request) {
	s.received.Add(1)
	<-s.sendHead
	s.tracker.Advertise(w, r)
	_, _ = io.WriteString(w, "a") // The test checks what callers receive.
	_ = http.NewResponseController(w).Flush()
	<-s.sendTail
	_, _ = io.WriteString(w, "z")
	s.completed.Add(1)
}

// keptConn is the client's side of a connection that is kept for further requests.
type keptConn struct {
	c  net.Conn
	br *bufio.Reader
}

// sendRequests opens stopCallers connections and sends a request on each. When it returns, the
// server has read all of them.
func (s *gatedServer) sendRequests(t *testing.T) (callers []keptConn) {
	g := NewWithT(t)
	for range stopCallers {
		c, err := net.Dial("tcp4", s.address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		g.Expect(c.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		callers = append(callers, keptConn{c, bufio.NewReader(c)})
	}
	g.Eventually(s.received.Load).WithTimeout(time.Minute).Should(BeEquivalentTo(stopCallers))
	return callers
}

// readAnswer reads a complete answer.
func (k keptConn) readAnswer(t *testing.T) (*http.Response, error) {
	resp, err := http.ReadResponse(k.br, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	NewWithT(t).Expect(string(body)).To(Equal("az"))
	return resp, err
}

// Guards against callers that keep a connection because of a head that was sent after the stop began.
func TestAnAnswerThatBeginsInAPlannedStopAsksItsCallerToClose(t *testing.T) {
	t.Parallel()
	s := newGatedServer(t, time.Minute)
	callers := s.sendRequests(t)
	s.tracker.Stop(time.Now())
	close(s.sendHead)
	close(s.sendTail)
	for _, k := range callers {
		resp, err := k.readAnswer(t)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(resp.Close).To(BeTrue())
		NewWithT(t).Expect(resp.Header).NotTo(HaveKey("Keep-Alive"))
	}
	NewWithT(t).Eventually(s.tracker.OpenConns).WithTimeout(time.Minute).Should(BeZero())
}

// Guards against requests that are lost because an answer's head, sent before the stop began, allowed
// callers to use the connection beyond the end of the process.
func TestAConnectionThatOutlastsThePlannedStopIsReadUntilItsEnd(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]struct {
		lasts   time.Duration
		sending int // Callers that immediately send another request.
	}{
		"the stop outlasts the advertised timeout": {time.Hour, stopCallers},
		"the advertised timeout outlasts the stop": {advertisedIdle, stopCallers / 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newGatedServer(t, stop.lasts)
			callers := s.sendRequests(t)
			close(s.sendHead)
			for _, k := range callers {
				_, err := k.br.Peek(1) // The head has gone out.
				g.Expect(err).NotTo(HaveOccurred())
			}
			stopped := time.Now()
			s.tracker.Stop(stopped)
			close(s.sendTail)
			for i, k := range callers {
				resp, err := k.readAnswer(t)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Header.Get("Keep-Alive")).To(Equal("timeout=2"))
				if i >= stop.sending {
					continue
				}
				_, err = fmt.Fprint(k.c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				resp, err = k.readAnswer(t)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Close).To(BeTrue())
			}
			for i, k := range callers {
				_, err := k.br.ReadByte()
				g.Expect(err).To(MatchError(io.EOF))
				if i >= stop.sending {
					g.Expect(time.Now()).To(BeTemporally(">=", stopped.Add(stop.lasts)), "not before the end")
				}
			}
			g.Expect(s.received.Load()).To(BeEquivalentTo(stopCallers + stop.sending))
			g.Expect(s.completed.Load()).To(Equal(s.received.Load()))
		})
	}
}
