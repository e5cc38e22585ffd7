// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// silentFirst is one of several endpoints. The first request to any of them gets a number of events
// and then nothing until resume is closed; all others get a complete stream.
type silentFirst struct {
	*streamingEndpoint
	runs  *atomic.Int32
	after int
}

func (s silentFirst) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.runs.Add(1) > 1 {
		s.streamingEndpoint.ServeHTTP(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The end of the connection is detected only after the body has been read.
	}
	beginStream(w, r)
	for n := range streamEvents {
		if n == s.after {
			select {
			case <-s.resume:
			case <-r.Context().Done():
				return
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
		w.(http.Flusher).Flush()
	}
}

// twoSilentFirst returns two such endpoints that share the count of requests.
func twoSilentFirst(after int) (one, two silentFirst) {
	runs := &atomic.Int32{}
	return silentFirst{newStreamingEndpoint(0), runs, after}, silentFirst{newStreamingEndpoint(0), runs, after}
}

// expectWholeStream checks that a caller received a complete stream.
func expectWholeStream(g *WithT, status int, body string, err error) {
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal(wholeStream()), "no event is missing or repeated")
}

func TestSilentAttemptContinuesElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after int
		from  int // Event at which the other endpoint begins.
	}{{"before the first event", 0, 1}, {"midway", 2, 3}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			one, two := twoSilentFirst(tc.after)
			s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency = 50 * time.Millisecond }, one, two)
			s.expectServed(g, "a", "")
			g.Expect(append(one.startEvents(), two.startEvents()...)).To(Equal([]int{tc.from}))
			g.Expect(s.stats.silentAttempts.Count()).To(BeEquivalentTo(1))
		})
	}
}

// A request in flight already counts in its group: a group that became full meanwhile must not keep
// the request at a silent endpoint. Callers left, and their requests reached a frozen rank when it
// resumed (GONE, ptmoa-orders-grown, deploy/days/frozen-leader.toml --vary --seed 984424383173).
func TestSilentAttemptContinuesElsewhereInAFullGroup(t *testing.T) {
	g := NewWithT(t)
	one, two := twoSilentFirst(0)
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency = 400 * time.Millisecond }, one, two)
	tell := func(running int) {
		s.reportLoad(0, running, 1)
		s.reportLoad(1, running, 1)
	}
	tell(0)
	wait := s.startStream(g, "a", "")
	g.Eventually(one.runs.Load, testTimeout).Should(BeEquivalentTo(1))
	tell(50 * slots)
	wait()
	g.Expect(s.stats.silentAttempts.Count()).To(BeEquivalentTo(1))
}

// A request that may run only once, or has no retry or attempt left, waits for its endpoint.
func TestSilentAttemptIsNotAborted(t *testing.T) {
	for _, tc := range []struct {
		name       string
		change     func(r *fleet.Route)
		retryShare float64
	}{
		{"it may run once only", func(r *fleet.Route) { r.Resumable = false }, 100},
		{"no attempt is left", func(r *fleet.Route) { r.MaxAttempts = 1 }, 100},
		{"no retry is left", func(*fleet.Route) {}, 0},
		{"there is no measure of too long", func(r *fleet.Route) { r.TargetLatency = 0 }, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			one, two := twoSilentFirst(0)
			s := newSiteWith(t, func(r *fleet.Route) {
				r.TargetLatency = 20 * time.Millisecond
				tc.change(r)
			}, one, two)
			s.cfg.RetryShare = tc.retryShare
			time.AfterFunc(200*time.Millisecond, func() {
				close(one.resume)
				close(two.resume)
			})
			s.expectServed(g, "a", "")
			g.Expect(one.runs.Load()).To(BeEquivalentTo(1))
		})
	}
}

// A caller at its first request while its group is closed is asked at once to retry later. One that
// would not retry waits until the group opens.
func TestCallerThatWouldNotRetryWaitsForGroup(t *testing.T) {
	g := NewWithT(t)
	only := newStreamingEndpoint(0)
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency, r.SilenceTimeout = time.Second, testTimeout }, only)
	group := func(closed bool) {
		s.ReportLoad(s.addresses[0], balance.Load{Group: "g", Closed: closed, PassTime: 20 * time.Millisecond, At: time.Now()})
	}
	group(true)
	g.Expect(s.expectRefused(g, "first", "30000")).To(Equal("2.5"))
	wait := s.startStream(g, "again", "20000")
	g.Eventually(s.stats.heldForGroup.Count, testTimeout).Should(BeEquivalentTo(1))
	g.Expect(only.startEvents()).To(BeEmpty(), "nothing is sent to a closed group")
	group(false)
	wait()
	g.Expect(only.startEvents()).To(Equal([]int{1}))
}

// A request whose caller leaves before the group opens is refused before the caller leaves.
func TestAHeldRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	only := newStreamingEndpoint(0)
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency, r.SilenceTimeout = 100*time.Millisecond, 400*time.Millisecond }, only)
	s.ReportLoad(s.addresses[0], balance.Load{Group: "g", Closed: true, At: time.Now().Add(time.Hour)})
	s.expectRefused(g, "again", "20000")
	g.Expect(only.startEvents()).To(BeEmpty(), "it did not run")
}

func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(*fleet.Route) {}, newStreamingEndpoint(0))
	wait := s.startStream(g, "early", "")
	g.Eventually(s.InFlight, testTimeout).Should(Equal(1))
	view.Replace(snap, time.Now(), false)
	wait()
	s, _, _ = newSiteOf(t, func(*fleet.Route) {})
	g.Expect(s.expectRefused(g, "in vain", "90")).To(Equal("2.5"))
}

func TestRefusedCallersAreRecognized(t *testing.T) {
	const timeout = 8 * time.Second
	p := newCallerTimeouts()
	for n := range minCallersSeen {
		surely, perhaps := p.classify("r", 5*time.Second, timeout)
		NewWithT(t).Expect(surely).To(BeFalse(), "caller %d", n)
		NewWithT(t).Expect(perhaps).To(BeTrue(), "few callers were seen yet")
	}
	g := NewWithT(t)
	surely, perhaps := p.classify("r", 5*time.Second, timeout)
	g.Expect(surely || perhaps).To(BeFalse(), "callers of this route wait this long")
	surely, _ = p.classify("r", 3*time.Second, timeout)
	g.Expect(surely).To(BeTrue())
}

// First requests of callers wait between 6.8 and 8 s. Callers that retry were refused with a
// Retry-After of 1.2 s or more.
func TestRefusedCallersAreRecognizedByTheirTimeout(t *testing.T) {
	for _, tc := range []struct {
		longest, left time.Duration
		again         bool
	}{
		{8 * time.Second, 8 * time.Second, false},
		{8 * time.Second, 7200 * time.Millisecond, false},
		{8 * time.Second, 6900 * time.Millisecond, false},
		{8 * time.Second, 6790 * time.Millisecond, true},
		{8 * time.Second, 5 * time.Second, true},
		{1200 * time.Millisecond, 1050 * time.Millisecond, false},
		{1200 * time.Millisecond, 800 * time.Millisecond, true}, // They wait for at most a third of their remaining time.
	} {
		t.Run(fmt.Sprint(tc.longest, "/", tc.left), func(t *testing.T) {
			g := NewWithT(t)
			p := newCallerTimeouts()
			for range minCallersSeen {
				p.classify("r", tc.longest, tc.longest)
			}
			surely, perhaps := p.classify("r", tc.left, tc.longest)
			g.Expect(surely).To(Equal(tc.again))
			g.Expect(perhaps).To(Equal(tc.again))
		})
	}
}
