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

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Guards against closing a connection that the request being moved has already returned to the
// pool.
func TestMovingARequestThatEndsDoesNotEndOthers(t *testing.T) {
	const callers, each = 20, 30
	g := NewWithT(t)
	ranks := []*streamingEndpoint{newStreamingEndpoint(0), newStreamingEndpoint(0), newStreamingEndpoint(0)}
	s := newSite(t, ranks[0], ranks[1], ranks[2])
	core, lines := observer.New(zap.WarnLevel)
	s.log, s.cfg.RetryShare = zap.New(core), 100
	over := make(chan struct{})
	var moving, asking errgroup.Group
	moving.Go(func() error {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-over:
				return nil
			case <-ticker.C:
				s.reportLoad(i%len(ranks), 0, 1)
				s.moveRequests(fmt.Sprint(i % len(ranks)))
			}
		}
	})
	var whole atomic.Int64
	for i := range callers {
		asking.Go(func() error {
			for j := range each {
				status, _, body, err := s.ask(fmt.Sprint(i, "-", j))
				switch {
				case err != nil:
					return err
				case status == http.StatusOK && body != wholeStream():
					return errors.Newf("an incomplete stream: %q", body)
				case status == http.StatusOK:
					whole.Add(1)
				}
			}
			return nil
		})
	}
	err := asking.Wait()
	close(over)
	g.Expect(moving.Wait()).To(Succeed())
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d of %d streams complete, %d moved", whole.Load(), callers*each, s.stats.moved.Count())
	g.Expect(s.stats.moved.Count()).To(BeNumerically(">", 0))
	g.Expect(whole.Load()).To(BeNumerically(">", callers*each/2))
	for _, e := range lines.FilterMessage("request").All() {
		if text := fmt.Sprint(e.ContextMap()["tries"]); strings.Contains(text, net.ErrClosed.Error()) {
			t.Errorf("sent on a connection that was closed here: %s", text)
		}
	}
}

// Guards against losing events that a slow rank has sent when its stream is moved before the gateway
// reads them: the other rank would generate them again.
func TestAMovedStreamKeepsTheEventsThatHaveArrived(t *testing.T) {
	g := NewWithT(t)
	reading, moved, sent := make(chan struct{}), make(chan struct{}), make(chan int, 1)
	rest := newStreamingEndpoint(0)
	rank := func(i int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(headerLast) != "" {
				rest.ServeHTTP(w, r)
				return
			}
			beginStream(w, r)
			for n := 1; n <= 2; n++ {
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
				w.(http.Flusher).Flush()
				<-reading // The gateway has read the first event only.
			}
			sent <- i
			<-r.Context().Done()
		}
	}
	s := newSite(t, rank(0), rank(1))
	var first, allow sync.Once
	letMove := func() { allow.Do(func() { close(moved) }) }
	t.Cleanup(letMove) // Runs before the servers are closed.
	s.codec.EventWeights = func([]byte) (string, bool) {
		first.Do(func() {
			close(reading)
			<-moved
		})
		return "", false
	}
	s.reportLoad(0, 0, 1)
	s.reportLoad(1, 0, 1)
	wait := s.startStream(g, "one", "")
	var slow int
	g.Eventually(sent, testTimeout).Should(Receive(&slow))
	s.reportLoad(slow, 1, 12)
	g.Expect(s.stats.moved.Count()).To(BeEquivalentTo(1))
	letMove()
	wait()
	g.Expect(rest.startEvents()).To(Equal([]int{3}))
}

// A caller that leaves while its answer is still being written ends no request but its own: the
// connection to the endpoint may serve another request by then.
func TestACallerThatLeavesEndsNoOtherRequest(t *testing.T) {
	const large = 12 << 20 // More than the caller's connection buffers unread.
	g := NewWithT(t)
	begun, going := make(chan struct{}), make(chan struct{})
	var broken, asked atomic.Int32
	endpoint := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		w.Header().Set(headerID, id)
		if id == "large" {
			w.Header().Set("Content-Length", fmt.Sprint(large))
			_, _ = io.WriteString(w, strings.Repeat("x", large))
			return
		}
		if asked.Add(1) == 1 {
			close(begun)
			select {
			case <-going:
			case <-r.Context().Done():
				broken.Add(1)
			}
		}
		_, _ = io.WriteString(w, "mine")
	})
	s := newSite(t, endpoint) // Its load is not reported, so that it is sent both requests.
	c, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() }) // Otherwise the servers wait for it.
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: caller.test\r\n"+headerID+": large\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadFull(c, make([]byte, 1)) // The gateway has read the whole answer by now.
	g.Expect(err).NotTo(HaveOccurred())

	var other errgroup.Group
	other.Go(func() error {
		status, _, body, err := s.ask("other")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(body).To(Equal("mine"))
		return nil
	})
	g.Eventually(begun, testTimeout).Should(BeClosed())
	g.Expect(s.stats.dialed.Count()).To(BeEquivalentTo(1), "they share a connection")
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(s.InFlight, testTimeout).Should(BeNumerically("<=", 1), "the first request has ended")
	close(going)
	g.Expect(other.Wait()).To(Succeed())
	g.Expect(asked.Load()).To(BeEquivalentTo(1), "it was sent once")
	g.Expect(broken.Load()).To(BeZero())
}

// Guards against cutting streams to continue them elsewhere when no endpoint may accept them any
// more.
func TestStreamThatMayNotContinueElsewhereIsNotMoved(t *testing.T) {
	t.Parallel()
	const silent = 2500 * time.Millisecond // More than the silence after which a stream continues elsewhere.
	elsewhere := fleet.Route{Name: "r", Host: "caller.test", PathPrefix: "/", Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2,
		Timeout: 30 * time.Second, TargetLatency: 20 * time.Second, Split: []fleet.Share{{Service: "other", Weight: 1}}}
	for name, routes := range map[string][]fleet.Route{"route moved": {elsewhere}, "route dropped": nil} {
		for _, slow := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", slow", false: ", silent"}[slow], func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				ranks := []*streamingEndpoint{newStreamingEndpoint(3), newStreamingEndpoint(3)}
				s, view, snap := newSiteOf(t, func(r *fleet.Route) { r.SilenceTimeout = time.Second }, ranks[0], ranks[1])
				view.Replace(snap, time.Now(), false)
				s.reportLoad(0, 0, 1)
				s.reportLoad(1, 0, 1)
				wait := s.startStream(g, "one", "")
				at := haltedRank(g, ranks)
				next := snap
				next.Config, next.UpTo = fleet.NewConfig(2, routes, []fleet.Service{*snap.Config.Service("s"), {Name: "other"}}, nil, snap.Config.Limits()), 2
				view.Replace(next, time.Now(), false)
				if slow {
					s.reportLoad(at, 1, 12)
				} else {
					time.Sleep(silent)
				}
				close(ranks[at].resume)
				wait()
				g.Expect(s.stats.moved.Count() + s.stats.silentAttempts.Count()).To(BeZero())
			})
		}
	}
}

// A stream whose events have no ids cannot be continued elsewhere, so it stays at its rank, however
// slow that is.
func TestStreamWithoutEventIDsIsNotMoved(t *testing.T) {
	const unnamed = "data: x\n\n"
	g := NewWithT(t)
	halted, going := make(chan int, 8), make(chan struct{})
	rank := func(i int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			beginStream(w, r)
			fmt.Fprint(w, unnamed)
			w.(http.Flusher).Flush()
			halted <- i
			select {
			case <-going:
			case <-r.Context().Done():
				return
			}
			fmt.Fprint(w, unnamed)
		})
	}
	s := newSite(t, rank(0), rank(1))
	s.reportLoad(0, 0, 1)
	s.reportLoad(1, 0, 1)
	resp, err := s.open("one", "")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, len(unnamed)))
	g.Expect(err).NotTo(HaveOccurred(), "the caller has the first event")
	slow := <-halted
	s.reportLoad(slow, 1, 12)
	s.reportLoad(slow, 1, 12)
	close(going)
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred(), "it was cut")
	g.Expect(string(body)).To(Equal(unnamed))
	g.Expect(s.stats.moved.Count()).To(BeZero())
}

// Guards against a log line that lacks the attempt in flight when the caller left.
func TestLogNamesTheAttemptInFlightWhenTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	arrived := make(chan struct{}, 2)
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			arrived <- struct{}{}
			<-r.Context().Done()
		}
	})
	s, view, snap := newSiteOf(t, func(r *fleet.Route) { r.Kind, r.TargetLatency = fleet.Repeatable, 20*time.Millisecond }, silent, silent)
	core, logs := observer.New(zap.WarnLevel)
	s.log = zap.New(core)
	view.Replace(snap, time.Now(), false)
	c, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: caller.test\r\n"+headerID+": a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	for range 2 {
		g.Eventually(arrived, testTimeout).Should(Receive(), "the silent attempt is followed by another one")
	}
	g.Expect(c.Close()).To(Succeed())
	lines := func() []observer.LoggedEntry { return logs.FilterMessage("request").All() }
	g.Eventually(lines, testTimeout).Should(HaveLen(1))
	g.Expect(lines()[0].ContextMap()).To(HaveKeyWithValue("tries", ConsistOf(
		ContainSubstring("silent for"), ContainSubstring("no answer yet"))))
}

// Guards against failing a request because its only endpoint closed a reused connection during it.
func TestTheOnlyEndpointIsTriedAgainOnANewConnection(t *testing.T) {
	for _, tc := range []struct {
		name         string
		change       func(r *fleet.Route)
		retryShare   float64
		status, runs int // Of the second request.
	}{
		{"a second attempt", func(*fleet.Route) {}, 100, http.StatusOK, 2},
		{"no attempt is left", func(r *fleet.Route) { r.MaxAttempts = 1 }, 100, http.StatusBadGateway, 1},
		{"no retry is left", func(*fleet.Route) {}, 0, http.StatusBadGateway, 1},
		{"it may run once only", func(r *fleet.Route) { r.Kind = fleet.AtMostOnce }, 100, http.StatusOK, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var used sync.Map // Remote addresses of connections that have served a request.
			var runs atomic.Int32
			endpoint := func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				if _, again := used.LoadOrStore(r.RemoteAddr, true); again {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(headerID, r.Header.Get(headerID))
			}
			s, view, snap := newSiteOf(t, func(r *fleet.Route) {
				r.Kind = fleet.Repeatable
				tc.change(r)
			}, http.HandlerFunc(endpoint))
			s.cfg.RetryShare = tc.retryShare
			view.Replace(snap, time.Now(), false)
			for n, want := range []int{http.StatusOK, tc.status} {
				runs.Store(0)
				status, _, _, err := s.ask(fmt.Sprint(n))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(status).To(Equal(want))
			}
			g.Expect(runs.Load()).To(BeEquivalentTo(tc.runs))
		})
	}
}
