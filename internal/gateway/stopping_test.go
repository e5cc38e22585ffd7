// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

const testGrace = time.Hour // So that no time of a test matters.

// stopWith begins a planned stop of which the given time is left.
func (s site) stopWith(left time.Duration) {
	s.cfg.GracePeriod = testGrace
	began := time.Now().Add(left - testGrace)
	s.stopBegan.Store(&began)
}

func TestRequestEndsBeforeStop(t *testing.T) {
	const grace = 8 * time.Second
	now := time.Now()
	for _, tc := range []struct {
		name                     string
		grace                    time.Duration
		since                    time.Duration // Since the stop began; negative for no stop.
		took                     time.Duration // Of answers so far; 0 for none.
		elapsed, remaining, want time.Duration
		ends                     bool
	}{
		{name: "no stop", grace: grace, since: -1, took: time.Minute, remaining: time.Minute, ends: true},
		{name: "no limit of stops", since: time.Hour, took: time.Minute, remaining: time.Minute, ends: true},
		{name: "usual answers end in time", grace: grace, since: 5 * time.Second, took: 2 * time.Second, remaining: time.Minute, ends: true},
		{name: "usual answers end too late", grace: grace, since: 6500 * time.Millisecond, took: 2 * time.Second, remaining: time.Minute},
		{name: "the deadline is before the end", grace: grace, since: 6500 * time.Millisecond, took: 2 * time.Second, remaining: time.Second, ends: true},
		{name: "the answer is mostly sent", grace: grace, since: 6500 * time.Millisecond, took: 2 * time.Second, elapsed: 1500 * time.Millisecond, remaining: time.Minute, ends: true},
		{name: "no answers so far, early", grace: grace, since: stopAcceptTime, remaining: time.Minute, ends: true},
		{name: "no answers so far, late", grace: grace, since: stopAcceptTime + time.Millisecond, remaining: time.Minute},
		{name: "a short grace", grace: time.Second, since: 0, took: 2 * time.Second, remaining: time.Minute},
		{name: "a long grace", grace: time.Minute, since: 6500 * time.Millisecond, took: 2 * time.Second, remaining: time.Minute, ends: true},
		{name: "after the end", grace: grace, since: 9 * time.Second, took: time.Millisecond, remaining: time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t)
			s.cfg.GracePeriod = tc.grace
			if tc.since >= 0 {
				began := now.Add(-tc.since)
				s.stopBegan.Store(&began)
			}
			if tc.took > 0 {
				s.recordAnswerTime("r", tc.took)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			NewWithT(t).Expect(s.endsBeforeStop("r", tc.elapsed, tc.remaining, now)).To(Equal(tc.ends))
		})
	}
}

// counting counts the requests that reach an endpoint.
func counting(h http.Handler) (counted http.Handler, asked *atomic.Int64) {
	asked = &atomic.Int64{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		h.ServeHTTP(w, r)
	}), asked
}

// A request that began early in a planned stop and was complete late was passed on, and the end of the
// process left it without an answer.
func TestRequestCompleteLateInAStopIsRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		left time.Duration
		want int
	}{{time.Minute, http.StatusOK}, {time.Second, http.StatusServiceUnavailable}} {
		t.Run(tc.left.String(), func(t *testing.T) {
			g := NewWithT(t)
			h, asked := counting(newStreamingEndpoint(0))
			s := newSiteWith(t, func(r *fleet.Route) { r.Kind, r.MaxAttempts = fleet.AtMostOnce, 1 }, h)
			c := s.dial(t)
			c.send(t, head("one", int(testTimeout.Milliseconds()), "Content-Length: 2")+"{")
			g.Eventually(s.InFlight, testTimeout).Should(Equal(1))
			s.recordAnswerTime("r", 2*time.Second)
			s.stopWith(tc.left)
			c.send(t, "}")
			resp := c.answer(t)
			g.Expect(resp.StatusCode).To(Equal(tc.want))
			if tc.want == http.StatusOK {
				return
			}
			g.Expect(asked.Load()).To(BeZero(), "it is not passed on")
			g.Expect(resp.Header.Get("Retry-After")).To(Equal("0.05"))
			g.Expect(resp.Close).To(BeTrue())
		})
	}
}

// A request that failed late in a planned stop was sent again although the process was about to end.
func TestNoRetryThatCannotEndBeforeTheProcess(t *testing.T) {
	g := NewWithT(t)
	var s site
	h, asked := counting(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.recordAnswerTime("r", 2*time.Second)
		s.stopWith(time.Second)
		panic(http.ErrAbortHandler)
	}))
	s = newSiteWith(t, func(r *fleet.Route) { r.Kind, r.MaxAttempts = fleet.Repeatable, 3 }, h, h)
	status, _, _, err := s.ask("one")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusBadGateway), "it may have run")
	g.Expect(asked.Load()).To(BeEquivalentTo(1))
}

// Requests that wait for a place are refused as soon as they could no longer end.
func TestWaitingRequestsAreRefusedInAStop(t *testing.T) {
	g := NewWithT(t)
	only := newStreamingEndpoint(2)
	s := newSite(t, only)
	s.reportLoad(0, 0, 1)
	var waits []func()
	for n := range slots {
		waits = append(waits, s.startStream(g, fmt.Sprint("running", n), ""))
		g.Eventually(only.halted, testTimeout).Should(Receive())
	}
	s.reportLoad(0, slots, 1)
	var waiting errgroup.Group
	waiting.Go(func() error {
		g.Expect(s.expectRefused(g, "waiting", "")).To(Equal("0.05"))
		return nil
	})
	g.Eventually(s.stats.waited.Count, testTimeout).Should(BeEquivalentTo(1))
	s.recordAnswerTime("r", 2*time.Second)
	s.stopWith(time.Second)
	g.Expect(waiting.Wait()).To(Succeed())
	close(only.resume)
	for _, wait := range waits {
		wait()
	}
	g.Expect(only.startEvents()).To(HaveLen(slots), "the waiting request is not passed on")
}

// A running stream is not moved to another endpoint if it could not end there.
func TestNoMoveThatCannotEndBeforeTheProcess(t *testing.T) {
	g := NewWithT(t)
	ranks := []*streamingEndpoint{newStreamingEndpoint(3), newStreamingEndpoint(3)}
	s := newSite(t, ranks[0], ranks[1])
	for i := range ranks {
		s.reportLoad(i, 0, 1)
	}
	wait := s.startStream(g, "one", "")
	from := haltedRank(g, ranks)
	s.recordAnswerTime("r", 2*time.Second)
	s.stopWith(time.Second)
	s.moveRequests(fmt.Sprint(from))
	g.Expect(s.stats.moved.Count()).To(BeZero())
	close(ranks[from].resume)
	wait()
	g.Expect(ranks[1-from].startEvents()).To(BeEmpty())
}
