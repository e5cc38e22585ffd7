// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// largeAnswer answers with more bytes than sockets buffer.
func largeAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write(make([]byte, maxAnswerBytes-1)) // An error here means that the test has closed the gateway.
}

func TestCallerThatDoesNotReadIsDropped(t *testing.T) {
	g := NewWithT(t)
	s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.Repeatable }, http.HandlerFunc(largeAnswer))
	s.dial(t).send(t, head("one", int(testTimeout.Milliseconds()), "Content-Length: 2")+"{}")
	g.Eventually(s.bufferedTotal.n.Load, testTimeout).Should(BeEquivalentTo(maxAnswerBytes - 1 + 2))
	g.Eventually(s.bufferedTotal.n.Load, testTimeout).Should(BeZero(), "nothing is buffered for a caller that does not read")
	g.Eventually(s.InFlight, testTimeout).Should(BeZero())
}

// Guards against callers that fill the memory together by sending much, or slowly.
func TestBodiesAreRefusedWhenTooMuchIsBuffered(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, newStreamingEndpoint(0))
	s.bufferedTotal.limit = 100
	s.bufferedTotal.add(99)
	s.expectRefused(g, "one", "")
	s.bufferedTotal.add(-50)
	s.expectServed(g, "two", "")
	g.Eventually(s.bufferedTotal.n.Load, testTimeout).Should(BeEquivalentTo(49), "buffered bytes are released")
}

// Guards against bodies of unknown length that fill the memory before they are complete.
func TestChunkedBodyIsRefusedOnceTooMuchIsBuffered(t *testing.T) {
	const size = 4 * unknownLengthReserve
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(*fleet.Route) {}, newStreamingEndpoint(0))
	snap.Config = fleet.NewConfig(2, []fleet.Route{*snap.Config.Route("caller.test", "/")}, []fleet.Service{{Name: "s"}}, nil, fleet.Limits{HeaderBytes: 1 << 16, BodyBytes: size})
	view.Replace(snap, time.Now(), false)
	s.bufferedTotal.limit = size / 2
	c := s.dial(t)
	c.send(t, head("one", int(testTimeout.Milliseconds()), "Transfer-Encoding: chunked")+fmt.Sprintf("%x\r\n%s", size, strings.Repeat("x", size*3/4)))
	resp := c.answer(t)
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(resp.Close).To(BeTrue())
	g.Eventually(s.bufferedTotal.n.Load, testTimeout).Should(BeZero(), "buffered bytes are released")
}

// Guards against answers that fill the memory before they are complete.
func TestAnswerCountsAsBufferedWhileItArrives(t *testing.T) {
	const size = 1 << 20
	for _, length := range []string{"", fmt.Sprint(size + 1)} {
		t.Run("length "+length, func(t *testing.T) {
			g := NewWithT(t)
			goOn := make(chan struct{})
			s := newSiteWith(t, func(r *fleet.Route) { r.Kind, r.MaxAttempts = fleet.AtMostOnce, 1 }, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerID, r.Header.Get(headerID))
				w.Header().Set("Content-Type", "text/plain")
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = w.Write(make([]byte, size)) // An error here means that the test has closed the gateway.
				_ = http.NewResponseController(w).Flush()
				<-goOn
				_, _ = w.Write([]byte{0})
			}))
			end := sync.OnceFunc(func() { close(goOn) })
			t.Cleanup(end)
			var caller errgroup.Group
			caller.Go(func() error { s.expectStatus(g, http.StatusOK); return nil })
			g.Eventually(s.bufferedTotal.n.Load, testTimeout).Should(BeNumerically(">=", size))
			end()
			g.Expect(caller.Wait()).To(Succeed())
			s.bufferedTotal.limit = size
			s.expectStatus(g, http.StatusBadGateway)
			g.Eventually(s.bufferedTotal.n.Load, testTimeout).Should(BeZero(), "buffered bytes are released")
			s.bufferedTotal.limit = 2 * size
			s.expectStatus(g, http.StatusOK)
		})
	}
}

// Guards against a time limit on a whole answer that ignores its length.
func TestCallerThatReadsSlowlyGetsItsWholeAnswer(t *testing.T) {
	t.Parallel()
	const pieces = 16
	g := NewWithT(t)
	s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.Repeatable }, http.HandlerFunc(largeAnswer))
	resp, err := s.open("one", "")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(resp.Body.Close()).To(Succeed()) }()
	var got int64
	for err == nil {
		time.Sleep(2 * CallerWriteTimeout / pieces)
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, maxAnswerBytes/pieces)
		got += n
	}
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(got).To(BeEquivalentTo(maxAnswerBytes - 1))
}

// expectStatus checks the status of a request's answer.
func (s site) expectStatus(g *WithT, want int) {
	g.THelper()
	status, _, _, err := s.ask("one")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(want))
}

// invalidStatus answers with a status that no server of net/http can send.
func invalidStatus(w http.ResponseWriter, r *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(conn, "HTTP/1.1 042 Odd\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, r.Header.Get(headerID))
	_ = conn.(*net.TCPConn).CloseWrite() // The gateway closes the other direction.
}

// Guards against leaving a caller without an answer if its endpoint violates the protocol.
func TestInvalidStatusIsAnswered(t *testing.T) {
	s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.AtMostOnce }, http.HandlerFunc(invalidStatus))
	s.expectStatus(NewWithT(t), http.StatusBadGateway)
}

// faultyHistogram is a histogram whose next update panics while the gateway's mutex is locked.
type faultyHistogram struct {
	metrics.Histogram
	fault func()
}

func (h faultyHistogram) Update(int64) { h.fault() }

// Guards against a panic in the gateway that closes a connection under a request or blocks other
// requests.
func TestAPanicIsAnswered(t *testing.T) {
	for _, tc := range []struct {
		name   string
		inject func(s site, fault func())
		status int
	}{
		{"while the request is read", func(s site, fault func()) {
			read := s.codec.ReadCall
			s.codec.ReadCall = func(h http.Header) fleet.Call { fault(); return read(h) }
		}, http.StatusInternalServerError},
		{"while an answer is read", func(s site, fault func()) {
			read := s.codec.ReadAnswer
			s.codec.ReadAnswer = func(status int, h http.Header) fleet.Answer { fault(); return read(status, h) }
		}, http.StatusInternalServerError},
		{"while the mutex is locked", func(s site, fault func()) {
			s.stats.loadAgeMs = faultyHistogram{s.stats.loadAgeMs, fault}
		}, http.StatusInternalServerError},
		{"while the answer is logged", func(s site, fault func()) {
			core, _ := observer.New(zap.InfoLevel)
			s.log = zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
				if e.Message == "request" {
					fault()
				}
				return nil
			}))
		}, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.AtMostOnce }, newStreamingEndpoint(0))
			s.reportLoad(0, 0, 1)
			var faulty atomic.Bool
			tc.inject(s, func() {
				if faulty.CompareAndSwap(true, false) {
					panic("a fault")
				}
			})
			faulty.Store(true)
			s.expectStatus(g, tc.status)
			g.Expect(metrics.GetOrRegisterCounter("process.panics.request", s.stats.reg).Count()).To(BeEquivalentTo(1))
			s.expectServed(g, "two", "")
		})
	}
}
