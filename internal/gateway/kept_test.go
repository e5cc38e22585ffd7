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

// large answers with more than sockets keep.
func large(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write(make([]byte, maxAnswer-1)) // A gateway that has gone is the test's own doing.
}

func TestACallerWhoDoesNotReadIsLetGo(t *testing.T) {
	g := NewWithT(t)
	s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.Repeatable }, http.HandlerFunc(large))
	s.dial(t).send(t, head("one", int(patienceOf.Milliseconds()), "Content-Length: 2")+"{}")
	g.Eventually(s.kept.n.Load, patienceOf).Should(BeEquivalentTo(maxAnswer - 1 + 2))
	g.Eventually(s.kept.n.Load, patienceOf).Should(BeZero(), "nothing is kept for a caller who does not read")
	g.Eventually(s.InFlight, patienceOf).Should(BeZero())
}

// Callers who send much, or slowly, do not fill the memory together.
func TestBodiesAreRefusedWhenTooMuchIsKept(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, newStreamer(0))
	s.kept.most = 100
	s.kept.add(99)
	s.expectRefused(g, "one", "")
	s.kept.add(-50)
	s.expectServed(g, "two", "")
	g.Eventually(s.kept.n.Load, patienceOf).Should(BeEquivalentTo(49), "what was kept is given back")
}

// Guards against bodies without a length that fill the memory before they are whole.
func TestAChunkedBodyIsRefusedOnceTooMuchIsKept(t *testing.T) {
	const size = 4 * chunkedGuess
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(*fleet.Route) {}, newStreamer(0))
	snap.Config = fleet.NewConfig(2, []fleet.Route{*snap.Config.Route("caller.test", "/")}, []fleet.Service{{Name: "s"}}, nil, fleet.Limits{HeaderBytes: 1 << 16, BodyBytes: size})
	view.Replace(snap, time.Now(), false)
	s.kept.most = size / 2
	c := s.dial(t)
	c.send(t, head("one", int(patienceOf.Milliseconds()), "Transfer-Encoding: chunked")+fmt.Sprintf("%x\r\n%s", size, strings.Repeat("x", size*3/4)))
	resp := c.answer(t)
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(resp.Close).To(BeTrue())
	g.Eventually(s.kept.n.Load, patienceOf).Should(BeZero(), "what was kept is given back")
}

// Guards against answers that fill the memory before they are whole.
func TestAWholeAnswerCountsAsItComes(t *testing.T) {
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
				_, _ = w.Write(make([]byte, size)) // A gateway that has gone is the test's own doing.
				_ = http.NewResponseController(w).Flush()
				<-goOn
				_, _ = w.Write([]byte{0})
			}))
			end := sync.OnceFunc(func() { close(goOn) })
			t.Cleanup(end)
			var caller errgroup.Group
			caller.Go(func() error { s.expectStatus(g, http.StatusOK); return nil })
			g.Eventually(s.kept.n.Load, patienceOf).Should(BeNumerically(">=", size))
			end()
			g.Expect(caller.Wait()).To(Succeed())
			s.kept.most = size
			s.expectStatus(g, http.StatusBadGateway)
			g.Eventually(s.kept.n.Load, patienceOf).Should(BeZero(), "what was kept is given back")
			s.kept.most = 2 * size
			s.expectStatus(g, http.StatusOK)
		})
	}
}

// Guards against a bound of time on a whole answer, however long it is.
func TestACallerWhoReadsSlowlyGetsItsWholeAnswer(t *testing.T) {
	t.Parallel()
	const pieces = 16
	g := NewWithT(t)
	s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.Repeatable }, http.HandlerFunc(large))
	resp, err := s.open("one", "")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(resp.Body.Close()).To(Succeed()) }()
	var got int64
	for err == nil {
		time.Sleep(2 * CallerWriteTimeout / pieces)
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, maxAnswer/pieces)
		got += n
	}
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(got).To(BeEquivalentTo(maxAnswer - 1))
}

// expectStatus checks which answer a request gets.
func (s site) expectStatus(g *WithT, want int) {
	g.THelper()
	status, _, _, err := s.ask("one")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(want))
}

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
	s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.AtMostOnce }, http.HandlerFunc(odd))
	s.expectStatus(NewWithT(t), http.StatusBadGateway)
}

// faultyHistogram is a figure whose next update panics, while the gateway's mutex is locked.
type faultyHistogram struct {
	metrics.Histogram
	fault func()
}

func (h faultyHistogram) Update(int64) { h.fault() }

// Guards against a fault of the gateway's own that closes a connection under a request or
// keeps others waiting.
func TestAPanicIsAnswered(t *testing.T) {
	for _, tc := range []struct {
		name   string
		inject func(s site, fault func())
		status int
	}{
		{"as the request is read", func(s site, fault func()) {
			read := s.codec.ReadCall
			s.codec.ReadCall = func(h http.Header) fleet.Call { fault(); return read(h) }
		}, http.StatusInternalServerError},
		{"as an answer is read", func(s site, fault func()) {
			read := s.codec.ReadAnswer
			s.codec.ReadAnswer = func(status int, h http.Header) fleet.Answer { fault(); return read(status, h) }
		}, http.StatusInternalServerError},
		{"under the mutex", func(s site, fault func()) {
			s.figures.loadAge = faultyHistogram{s.figures.loadAge, fault}
		}, http.StatusInternalServerError},
		{"as the log is told of the answer", func(s site, fault func()) {
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
			s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.AtMostOnce }, newStreamer(0))
			s.tell(0, 0, 1)
			var faulty atomic.Bool
			tc.inject(s, func() {
				if faulty.CompareAndSwap(true, false) {
					panic("a fault")
				}
			})
			faulty.Store(true)
			s.expectStatus(g, tc.status)
			g.Expect(metrics.GetOrRegisterCounter("process.panics.request", s.figures.reg).Count()).To(BeEquivalentTo(1))
			s.expectServed(g, "two", "")
		})
	}
}
