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

// silentFirst is an endpoint of which the first request of all gets so many events and
// then nothing until going is closed; the others are streamed whole.
type silentFirst struct {
	*streamer
	runs  *atomic.Int32
	after int
}

func (s silentFirst) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.runs.Add(1) > 1 {
		s.streamer.ServeHTTP(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // Only a body that was read lets the end of the connection show.
	}
	beginStream(w, r)
	for n := range streamEvents {
		if n == s.after {
			select {
			case <-s.going:
			case <-r.Context().Done():
				return
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
		w.(http.Flusher).Flush()
	}
}

// twoSilentFirst returns two endpoints that are silent to the first request of both.
func twoSilentFirst(after int) (one, two silentFirst) {
	runs := &atomic.Int32{}
	return silentFirst{newStreamer(0), runs, after}, silentFirst{newStreamer(0), runs, after}
}

// expectWhole checks that a caller got a whole stream.
func expectWhole(g *WithT, status int, body string, err error) {
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal(wholeStream()), "neither a gap nor a repeat")
}

func TestASilentTryGoesOnElsewhere(t *testing.T) {
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
			g.Expect(append(one.firsts(), two.firsts()...)).To(Equal([]int{tc.from}))
			g.Expect(s.figures.silent.Count()).To(BeEquivalentTo(1))
		})
	}
}

// A request under way has its place: a group that got full meanwhile does not keep it where
// nothing comes. Callers left and their requests reached a frozen rank as it woke
// (GONE, ptmoa-orders-grown, deploy/days/frozen-leader.toml --vary --seed 984424383173).
func TestASilentTryGoesOnThoughItsGroupIsFull(t *testing.T) {
	g := NewWithT(t)
	one, two := twoSilentFirst(0)
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency = 400 * time.Millisecond }, one, two)
	tell := func(running int) {
		s.tell(0, running, 1)
		s.tell(1, running, 1)
	}
	tell(0)
	wait := s.begin(g, "a", "")
	g.Eventually(one.runs.Load, patienceOf).Should(BeEquivalentTo(1))
	tell(50 * slots)
	wait()
	g.Expect(s.figures.silent.Count()).To(BeEquivalentTo(1))
}

// What may run once only, or has no repeat or try left, is waited for.
func TestASilentTryIsWaitedFor(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(r *fleet.Route)
		spare  float64
	}{
		{"it may run once only", func(r *fleet.Route) { r.Resumable = false }, 1000},
		{"no try is left", func(r *fleet.Route) { r.MaxAttempts = 1 }, 1000},
		{"no repeat is left", func(*fleet.Route) {}, 0},
		{"nothing says what is too long", func(r *fleet.Route) { r.TargetLatency = 0 }, 1000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			one, two := twoSilentFirst(0)
			s := newSiteWith(t, func(r *fleet.Route) {
				r.TargetLatency = 20 * time.Millisecond
				tc.change(r)
			}, one, two)
			s.cfg.RetryFloor = tc.spare
			time.AfterFunc(200*time.Millisecond, func() {
				close(one.going)
				close(two.going)
			})
			s.expectServed(g, "a", "")
			g.Expect(one.runs.Load()).To(BeEquivalentTo(1))
		})
	}
}

// A caller that comes for the first time while its group is down is told at once when to
// come back; one that would not come again waits until the group opens.
func TestWhoWouldNotComeAgainWaitsForAGroup(t *testing.T) {
	g := NewWithT(t)
	only := newStreamer(0)
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency, r.SilenceTimeout = time.Second, patienceOf }, only)
	group := func(closed bool) {
		s.ReportLoad(s.addresses[0], balance.Load{Group: "g", Closed: closed, PassTime: 20 * time.Millisecond, At: time.Now()})
	}
	group(true)
	g.Expect(s.expectRefused(g, "first", "30000")).To(Equal("2.5"))
	wait := s.begin(g, "again", "20000")
	g.Eventually(s.figures.held.Count, patienceOf).Should(BeEquivalentTo(1))
	g.Expect(only.firsts()).To(BeEmpty(), "nothing is sent to a group that is down")
	group(false)
	wait()
	g.Expect(only.firsts()).To(Equal([]int{1}))
}

// A caller who leaves before the group opens is not held any longer than that.
func TestAHeldRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	only := newStreamer(0)
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency, r.SilenceTimeout = 100*time.Millisecond, 400*time.Millisecond }, only)
	s.ReportLoad(s.addresses[0], balance.Load{Group: "g", Closed: true, At: time.Now().Add(time.Hour)})
	s.expectRefused(g, "again", "20000")
	g.Expect(only.firsts()).To(BeEmpty(), "it did not run")
}

func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(*fleet.Route) {}, newStreamer(0))
	wait := s.begin(g, "early", "")
	g.Eventually(s.InFlight, patienceOf).Should(Equal(1))
	view.Replace(snap, time.Now(), false)
	wait()
	s, _, _ = newSiteOf(t, func(*fleet.Route) {})
	g.Expect(s.expectRefused(g, "in vain", "90")).To(Equal("2.5"))
}

func TestWhoHasComeBefore(t *testing.T) {
	const timeout = 8 * time.Second
	p := newPatience()
	for n := range enoughSeen {
		surely, perhaps := p.again("r", 5*time.Second, timeout)
		NewWithT(t).Expect(surely).To(BeFalse(), "caller %d", n)
		NewWithT(t).Expect(perhaps).To(BeTrue(), "little is known yet")
	}
	g := NewWithT(t)
	surely, perhaps := p.again("r", 5*time.Second, timeout)
	g.Expect(surely || perhaps).To(BeFalse(), "callers of this route wait for so long")
	surely, _ = p.again("r", 3*time.Second, timeout)
	g.Expect(surely).To(BeTrue())
}

// First tries of callers wait between 6.8 and 8 s; those that come again were refused
// and told to wait for 1.2 s or more.
func TestWhoHasComeBeforeIsToldByItsPatience(t *testing.T) {
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
		{1200 * time.Millisecond, 800 * time.Millisecond, true}, // They wait a third of what they have at most.
	} {
		t.Run(fmt.Sprint(tc.longest, "/", tc.left), func(t *testing.T) {
			g := NewWithT(t)
			p := newPatience()
			for range enoughSeen {
				p.again("r", tc.longest, tc.longest)
			}
			surely, perhaps := p.again("r", tc.left, tc.longest)
			g.Expect(surely).To(Equal(tc.again))
			g.Expect(perhaps).To(Equal(tc.again))
		})
	}
}
