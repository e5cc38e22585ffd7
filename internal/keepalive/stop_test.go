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
	// stopCallers is how many connections are used in a planned stop.
	stopCallers = 50
)

// stopSite is a server whose answers begin and end when the test says so.
type stopSite struct {
	tracker *keepalive.Tracker
	address string
	begin   chan struct{} // Closed when heads go out.
	end     chan struct{} // Closed when bodies end.
	begun   atomic.Int32  // Requests that were read.
	served  atomic.Int32  // Those that were answered.
}

func newStopSite(t *testing.T, gracePeriod time.Duration) *stopSite {
	g := NewWithT(t)
	s := &stopSite{begin: make(chan struct{}), end: make(chan struct{})}
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

func (s *stopSite) serve(w http.ResponseWriter, r *http.Request) {
	s.begun.Add(1)
	<-s.begin
	s.tracker.Advertise(w, r)
	_, _ = io.WriteString(w, "a") // What callers got of it is what is tested.
	_ = http.NewResponseController(w).Flush()
	<-s.end
	_, _ = io.WriteString(w, "z")
	s.served.Add(1)
}

// stopCaller is a caller that keeps its connection.
type stopCaller struct {
	c  net.Conn
	br *bufio.Reader
}

// ask sends a request on a connection for each caller, which are all read when it returns.
func (s *stopSite) ask(t *testing.T) (callers []stopCaller) {
	g := NewWithT(t)
	for range stopCallers {
		c, err := net.Dial("tcp4", s.address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		g.Expect(c.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		callers = append(callers, stopCaller{c, bufio.NewReader(c)})
	}
	g.Eventually(s.begun.Load).WithTimeout(time.Minute).Should(BeEquivalentTo(stopCallers))
	return callers
}

// answer reads a whole answer.
func (k stopCaller) answer(t *testing.T) (*http.Response, error) {
	resp, err := http.ReadResponse(k.br, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	NewWithT(t).Expect(string(body)).To(Equal("az"))
	return resp, err
}

// Guards against callers that keep a connection by a head that went out after the stop began.
func TestAnAnswerThatBeginsInAPlannedStopTellsItsCallerToLeave(t *testing.T) {
	t.Parallel()
	s := newStopSite(t, time.Minute)
	callers := s.ask(t)
	s.tracker.Stop(time.Now())
	close(s.begin)
	close(s.end)
	for _, k := range callers {
		resp, err := k.answer(t)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(resp.Close).To(BeTrue())
		NewWithT(t).Expect(resp.Header).NotTo(HaveKey("Keep-Alive"))
	}
	NewWithT(t).Eventually(s.tracker.OpenConns).WithTimeout(time.Minute).Should(BeZero())
}

// Guards against requests that are lost since their callers may use a connection beyond the end of
// the process, and were told so before the stop began.
func TestAConnectionThatOutlastsThePlannedStopIsReadUntilItsEnd(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]struct {
		lasts   time.Duration
		sending int // Callers that send another request at once.
	}{
		"the stop outlasts its time": {time.Hour, stopCallers},
		"its time outlasts the stop": {advertisedIdle, stopCallers / 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newStopSite(t, stop.lasts)
			callers := s.ask(t)
			close(s.begin)
			for _, k := range callers {
				_, err := k.br.Peek(1) // The head has gone out.
				g.Expect(err).NotTo(HaveOccurred())
			}
			stopped := time.Now()
			s.tracker.Stop(stopped)
			close(s.end)
			for i, k := range callers {
				resp, err := k.answer(t)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Header.Get("Keep-Alive")).To(Equal("timeout=2"))
				if i >= stop.sending {
					continue
				}
				_, err = fmt.Fprint(k.c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				resp, err = k.answer(t)
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
			g.Expect(s.begun.Load()).To(BeEquivalentTo(stopCallers + stop.sending))
			g.Expect(s.served.Load()).To(Equal(s.begun.Load()))
		})
	}
}
