// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
)

const (
	streamEvents = 6
	headerID     = "Call"
	headerLast   = "Last"
	// headerCallerTimeout names how long the caller waits, in milliseconds.
	headerCallerTimeout = "Patience"
	slots               = 2
	testTimeout         = 30 * time.Second // Long enough for a loaded machine.
)

// testCodec returns a codec with header names used by these tests only.
func testCodec() Codec {
	return Codec{
		ReadCall: func(h http.Header) fleet.Call {
			ms, err := strconv.Atoi(h.Get(headerCallerTimeout))
			return fleet.Call{ID: h.Get(headerID), CallerTimeout: time.Duration(ms) * time.Millisecond, HasCallerTimeout: err == nil}
		},
		EndpointHeader: func(in http.Header, s fleet.AttemptInfo) http.Header {
			out := in.Clone()
			out.Set(headerLast, s.LastEventID)
			return out
		},
		CallerHeader: func(in http.Header) http.Header { return in },
		ReadAnswer: func(_ int, h http.Header) fleet.Answer {
			return fleet.Answer{ID: h.Get(headerID), Signed: true}
		},
		MarkAnswer:   func(h http.Header, id string) { h.Set(headerID, id) },
		EventWeights: func([]byte) (string, bool) { return "", false },
	}
}

// streamingEndpoint is an endpoint that streams events. A stream that begins with the first event
// stops before the event haltBefore until resume is closed.
type streamingEndpoint struct {
	haltBefore int // 0 for never.
	resume     chan struct{}
	mu         sync.Mutex
	started    []int // First event of each stream.
	halted     chan struct{}
}

func newStreamingEndpoint(halt int) *streamingEndpoint {
	return &streamingEndpoint{haltBefore: halt, resume: make(chan struct{}), halted: make(chan struct{}, 8)}
}

func (s *streamingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get(headerLast)) // No id is the start.
	s.mu.Lock()
	s.started = append(s.started, last+1)
	s.mu.Unlock()
	beginStream(w, r)
	for n := last + 1; n <= streamEvents; n++ {
		if n == s.haltBefore && last == 0 {
			s.halted <- struct{}{}
			select {
			case <-s.resume:
			case <-r.Context().Done():
				return
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		w.(http.Flusher).Flush()
	}
}

func (s *streamingEndpoint) startEvents() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int(nil), s.started...)
}

// site is a gateway in front of a group of endpoints.
type site struct {
	*Gateway
	url       string
	addresses []string // Of the endpoints.
}

func newSite(t *testing.T, endpoints ...http.Handler) site {
	return newSiteWith(t, func(*fleet.Route) {}, endpoints...)
}

// newSiteWith returns a site whose route is modified by change.
func newSiteWith(t *testing.T, change func(r *fleet.Route), endpoints ...http.Handler) site {
	s, view, snap := newSiteOf(t, change, endpoints...)
	view.Replace(snap, time.Now(), false)
	return s
}

// newSiteOf returns a site with an empty view, and the snapshot to publish, in which the route is
// modified by change.
func newSiteOf(t *testing.T, change func(r *fleet.Route), endpoints ...http.Handler) (s site, view *follow.View, snap follow.Snapshot) {
	view = follow.NewView()
	gw, cleanup := New(Config{MaxKeyAge: time.Hour, RetryWindow: time.Minute, RetryShare: 100}, testCodec(), view, zap.NewNop(), metrics.NewRegistry())
	t.Cleanup(cleanup)
	s = site{Gateway: gw}
	route := fleet.Route{
		Name: "r", Host: "caller.test", PathPrefix: "/", Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2,
		Timeout: 30 * time.Second, TargetLatency: 20 * time.Second, MaxPause: 120 * time.Millisecond, Split: []fleet.Share{{Service: "s", Weight: 1}},
	}
	change(&route)
	snap = follow.Snapshot{Config: fleet.NewConfig(1, []fleet.Route{route},
		[]fleet.Service{{Name: "s", Engine: &fleet.Engine{Slots: slots, BaseStepTime: 5 * time.Millisecond, DecodeTimePerRequest: time.Millisecond, StepsPerPass: 4, MeanAnswerTokens: 4 * streamEvents}}},
		nil, fleet.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16}), UpTo: 1}
	for i, h := range endpoints {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		s.addresses = append(s.addresses, strings.TrimPrefix(srv.URL, "http://"))
		snap.Endpoints = append(snap.Endpoints, fleet.Endpoint{ID: fmt.Sprint(i), Service: "s", Address: s.addresses[i], Slots: slots, Revision: 1, CreatedRevision: 1})
	}
	srv := httptest.NewUnstartedServer(gw.Handler())
	gw.CallerConns().Attach(srv.Config)
	srv.Listener = gw.CallerConns().Listener(srv.Listener)
	srv.Start()
	t.Cleanup(srv.Close)
	s.url = srv.URL
	return s, view, snap
}

// reportLoad reports the load of one endpoint.
func (s site) reportLoad(i, running int, pace float64) {
	s.ReportLoad(s.addresses[i], balance.Load{Running: running, Group: "g", PassTime: 20 * time.Millisecond, Slowdown: pace, At: time.Now()})
}

// ask sends a caller's request and returns the answer.
func (s site) ask(id string) (status int, retryAfter, body string, err error) {
	return s.askWith(id, "")
}

// askWith is ask for a caller that sends how long it waits, in milliseconds.
func (s site) askWith(id, callerTimeout string) (status int, retryAfter, body string, err error) {
	resp, err := s.open(id, callerTimeout)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After"), string(raw), err
}

// open sends a caller's request and returns the answer with its body unread.
func (s site) open(id, callerTimeout string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, s.url+"/", strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	r.Host = "caller.test"
	r.Header.Set(headerID, id)
	r.Header.Set(headerCallerTimeout, callerTimeout)
	return http.DefaultClient.Do(r)
}

// expectServed checks that a request is answered with a complete stream.
func (s site) expectServed(g *WithT, id, callerTimeout string) {
	g.THelper()
	status, _, body, err := s.askWith(id, callerTimeout)
	expectWholeStream(g, status, body, err)
}

// expectRefused checks that a request is refused as not run, with a Retry-After.
func (s site) expectRefused(g *WithT, id, callerTimeout string) (retryAfter string) {
	g.THelper()
	status, retryAfter, _, err := s.askWith(id, callerTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(retryAfter).NotTo(BeEmpty())
	return retryAfter
}

// startStream has a caller request a stream, which must be complete. The returned function waits
// for it.
func (s site) startStream(g *WithT, id, callerTimeout string) (wait func()) {
	var caller errgroup.Group
	caller.Go(func() error {
		s.expectServed(g, id, callerTimeout)
		return nil
	})
	return func() { g.Expect(caller.Wait()).To(Succeed()) }
}

// beginStream sends the head of a stream.
func beginStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set("Content-Type", "text/event-stream")
}

// wholeStream returns the body of a complete answer.
func wholeStream() (s string) {
	for n := 1; n <= streamEvents; n++ {
		s += fmt.Sprintf("id: %d\ndata: x\n\n", n)
	}
	return s
}

// haltedRank waits until a rank has stopped within a stream, and returns its index.
func haltedRank(g *WithT, ranks []*streamingEndpoint) (which int) {
	which = -1
	g.Eventually(func() int {
		for i, r := range ranks {
			if len(r.halted) > 0 {
				which = i
			}
		}
		return which
	}, testTimeout).Should(BeNumerically(">=", 0))
	return which
}

func TestStreamOnSlowRankContinuesAtAnother(t *testing.T) {
	g := NewWithT(t)
	ranks := []*streamingEndpoint{newStreamingEndpoint(3), newStreamingEndpoint(3)}
	s := newSite(t, ranks[0], ranks[1])
	s.reportLoad(0, 0, 1)
	s.reportLoad(1, 0, 1)
	wait := s.startStream(g, "one", "")
	slow := haltedRank(g, ranks)
	other := ranks[1-slow]
	s.reportLoad(slow, 1, 2)
	g.Expect(s.stats.moved.Count()).To(BeZero(), "a rank that is a little slow keeps its stream")
	s.reportLoad(slow, 1, 12)
	wait()
	g.Expect(ranks[slow].startEvents()).To(Equal([]int{1}))
	g.Expect(other.startEvents()).To(Equal([]int{3}), "it continued after the last event that the caller had received")
	g.Expect(s.stats.moved.Count()).To(BeEquivalentTo(1))
}

func TestRequestWaitsForCapacityAvailableInTime(t *testing.T) {
	g := NewWithT(t)
	only := newStreamingEndpoint(2)
	s := newSite(t, only)
	s.reportLoad(0, 0, 1)
	full := func() { s.reportLoad(0, slots, 1) }
	full()
	s.expectRefused(g, "too early, since nothing is known of how soon room comes", "")
	g.Expect(only.startEvents()).To(BeEmpty(), "the refused request did not run")

	s.reportLoad(0, 0, 1)
	first := s.startStream(g, "first", "")
	g.Eventually(only.halted, testTimeout).Should(Receive())
	g.Eventually(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, known := s.passes.Turnover("g", slots, time.Now())
		return known
	}, testTimeout).Should(BeTrue(), "its first event shows how soon one arrives")
	full()
	second := s.startStream(g, "second", "")
	g.Eventually(s.stats.waited.Count, testTimeout).Should(BeEquivalentTo(1))
	g.Expect(only.startEvents()).To(HaveLen(1))
	s.reportLoad(0, 0, 1)
	g.Eventually(only.halted, testTimeout).Should(Receive())
	close(only.resume)
	first()
	second()
	g.Expect(only.startEvents()).To(Equal([]int{1, 1}))
}

// Guards against callers that keep a connection open because the head of their answer was sent
// after the planned stop began.
func TestStreamBegunDuringPlannedStopClosesItsConnection(t *testing.T) {
	g := NewWithT(t)
	only := newStreamingEndpoint(1)
	s := newSite(t, only)
	s.reportLoad(0, 0, 1)
	var caller errgroup.Group
	caller.Go(func() error {
		resp, err := s.open("one", "")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		g.Expect(string(body)).To(Equal(wholeStream()))
		g.Expect(resp.Close).To(BeTrue())
		g.Expect(resp.Header).NotTo(HaveKey("Keep-Alive"))
		return err
	})
	g.Eventually(only.halted, testTimeout).Should(Receive())
	s.Stop()
	close(only.resume)
	g.Expect(caller.Wait()).To(Succeed())
}
