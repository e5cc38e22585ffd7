// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// dropAll is an endpoint that closes each connection without an answer.
func dropAll(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// retrySite returns a site with two endpoints that drop all requests, and its log.
func retrySite(t *testing.T, share float64) (site, *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.Repeatable }, http.HandlerFunc(dropAll), http.HandlerFunc(dropAll))
	s.log, s.cfg.RetryShare = zap.New(core), share
	return s, lines
}

func TestAnExhaustedRetryBudgetIsReported(t *testing.T) {
	const requests = 5
	g := NewWithT(t)
	s, lines := retrySite(t, 0)
	for i := range requests {
		_, _, _, err := s.ask(fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	exhausted := lines.FilterMessage("retry budget exhausted").All()
	g.Expect(exhausted).To(HaveLen(1))
	g.Expect(exhausted[0].ContextMap()).To(And(HaveKeyWithValue("service", "s"), HaveKeyWithValue("gateways", BeEquivalentTo(0)), HaveKeyWithValue("heard", BeEquivalentTo(1))))
	reports := s.RetryReports()
	g.Expect(reports).To(HaveLen(1))
	g.Expect(reports[0].Requests).To(Equal(requests))
	g.Expect(reports[0].Denied).To(Equal(int(s.stats.retriesDenied.Count())))
	g.Expect(reports[0].Denied).To(BeNumerically(">", 0))
	g.Expect(reports[0].Exhausted).To(BeTrue())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportRetryBudgets(s.cfg.Now().Add(exhaustedFor))
	g.Expect(lines.FilterMessage("retry budget available again").Len()).To(Equal(1))
	g.Expect(s.stats.exhaustedBudgets.Value()).To(BeZero())
}

func TestRetriesAreCountedByCause(t *testing.T) {
	g := NewWithT(t)
	s, _ := retrySite(t, 100)
	_, _, _, err := s.ask("a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.stats.retries.Count()).To(BeEquivalentTo(1))
	g.Expect(s.stats.reg.Get("gateway.repeats." + string(retryReset))).NotTo(BeNil())
}

// A request counts where it arrives, however its attempts end.
func TestARequestCountsOnceForTheRetryBudget(t *testing.T) {
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(r *fleet.Route) { r.Kind = fleet.Repeatable }, http.HandlerFunc(dropAll), http.HandlerFunc(dropAll))
	snap.Endpoints[0].Address, snap.Endpoints[1].Address = "127.0.0.1:1", "127.0.0.1:2" // Nothing listens there.
	view.Replace(snap, time.Now(), false)
	_, _, _, err := s.ask("a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.RetryReports()[0].Requests).To(Equal(1))
	g.Expect(s.stats.retries.Count()).To(BeZero(), "nothing was sent")
}

func TestTheNumberOfGatewaysNeedsContactWithAllDomains(t *testing.T) {
	for _, tc := range []struct {
		name    string
		domains []string // Of the other gateways.
		want    int
	}{
		{"all domains are heard", []string{"", "b"}, 3},
		{"one is missing", []string{"", ""}, 0},
		{"alone", nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s, view, snap := newSiteOf(t, func(*fleet.Route) {}, newStreamingEndpoint(0), newStreamingEndpoint(0))
			snap.Endpoints[1].Domain = "b"
			view.Replace(snap, time.Now(), false)
			s.reportLoad(0, 0, 1)
			s.reportLoad(1, 0, 1)
			now := time.Now()
			s.cfg.Now = func() time.Time { return now }
			var others []roster.Gateway
			for i, d := range tc.domains {
				others = append(others, roster.Gateway{Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: d})
			}
			s.setHeard("10.0.0.9:1", others)
			s.SetOtherGateways(len(others), now)
			g.Expect(s.gatewaysObserved()).To(BeZero(), "a new process waits for more gateways")
			now = now.Add(censusSettleTime)
			g.Expect(s.gatewaysObserved()).To(Equal(tc.want))
		})
	}
}
