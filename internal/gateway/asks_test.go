// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/backoff"
	"github.com/canvaspulley/canvaspulley/internal/decide/grouplimit"
	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// excluder makes an endpoint exclude requests by a backoff or rate limit, and uses up what its
// limit allows.
type excluder func(s site, id string)

var excluders = map[string]excluder{
	"rests": func(s site, id string) { s.backoffs.Backoff(backoff.Process{Name: id}, time.Minute, s.cfg.Now()) },
	"is at its limit": func(s site, id string) {
		s.limits.RecordAnswer(id, throttle.Report{Limited: true, At: s.cfg.Now()})
		s.limits.Take(id, s.cfg.Now())
	},
}

// assertServedBy sends requests, each after a new round of load reports.
func assertServedBy(t *testing.T, s site, at *streamingEndpoint, requests int, report func()) {
	t.Helper()
	for i := range requests {
		report()
		s.expectServed(NewWithT(t), fmt.Sprint("r", i), "")
	}
	NewWithT(t).Expect(at.startEvents()).To(HaveLen(requests))
}

func TestRequestsAvoidExcludedEndpoints(t *testing.T) {
	for name, bar := range excluders {
		for _, grouped := range []bool{true, false} {
			t.Run(fmt.Sprintf("a rank %s, another endpoint is in its group: %v", name, grouped), func(t *testing.T) {
				excluded, other := newStreamingEndpoint(0), newStreamingEndpoint(0)
				s := newSite(t, excluded, other)
				bar(s, "0")
				assertServedBy(t, s, other, 5, func() {
					s.reportLoad(0, 0, 1)
					if grouped {
						s.reportLoad(1, 0, 1)
					}
				})
				NewWithT(t).Expect(excluded.startEvents()).To(BeEmpty())
				NewWithT(t).Expect(s.stats.waited.Count()).To(BeZero(), "no request waits for the rank")
			})
		}
	}
}

func TestRequestsAreRefusedAtOnceWhileAllRanksAreExcluded(t *testing.T) {
	for name, bar := range excluders {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ranks := []*streamingEndpoint{newStreamingEndpoint(0), newStreamingEndpoint(0)}
			s := newSite(t, ranks[0], ranks[1])
			for i := range ranks {
				s.reportLoad(i, 0, 1)
				bar(s, fmt.Sprint(i))
			}
			seconds, err := strconv.ParseFloat(s.expectRefused(g, "one", ""), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(And(BeNumerically(">", 0.5), BeNumerically("<=", 60)))
			g.Expect(s.stats.waited.Count()).To(BeZero())
			g.Expect(append(ranks[0].startEvents(), ranks[1].startEvents()...)).To(BeEmpty())
		})
	}
}

// Choosing an endpoint without sending to it uses nothing of its limit.
func TestUnusedPermitIsReturned(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, newStreamingEndpoint(0))
	s.limits.RecordAnswer("0", throttle.Report{Limited: true, Limit: 0, At: s.cfg.Now()})
	q := &request{g: s.Gateway, service: "s", config: s.view.State().Config, route: s.view.State().Config.Route("caller.test", "/")}
	for range 3 {
		_, ok := q.chooseEndpoint(time.Now())
		g.Expect(ok).To(BeTrue(), "the previous choice was not used")
	}
	q.permitEndpoint = "" // As if it were sent.
	_, ok := q.chooseEndpoint(time.Now())
	g.Expect(ok).To(BeFalse())
	g.Expect(q.exclusion.rate).To(BeNumerically(">", 0))
}

// Guards against excluding an endpoint forever because it once requested a very long backoff.
func TestEndpointWithVeryLongBackoffIsTriedAgain(t *testing.T) {
	only := newStreamingEndpoint(0)
	s := newSite(t, only)
	s.backoffs.Backoff(backoff.Process{Name: "0"}, 365*24*time.Hour, s.cfg.Now().Add(-time.Hour))
	assertServedBy(t, s, only, 2, func() { s.reportLoad(0, 0, 1) })
}

// A request asks for capacity in a group once per round of reports.
func TestRequestAsksForCapacityOncePerReportRound(t *testing.T) {
	for _, tc := range []struct {
		name  string
		group string // "" for ranks that have not reported their group.
	}{{"a known group", "g"}, {"ranks that have not reported their group", ""}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gw := newTestPeer(t, 1).g
			tell := func(at time.Time) { gw.passes.Report("a", "g", grouplimit.Shape{}, grouplimit.RankReport{At: at}) }
			tell(time.Unix(1000, 0))
			free, full := grouplimit.Option{Ranks: 1, Limit: 4}, grouplimit.Option{Ranks: 1, Limit: 4, Requests: 4}
			q := &request{g: gw, route: &fleet.Route{}}
			g.Expect(q.takeCapacity(tc.group, full)).To(BeFalse(), "no capacity is free")
			g.Expect(q.takeCapacity(tc.group, free)).To(BeFalse(), "no new report has arrived")
			g.Expect((&request{g: gw, route: q.route}).takeCapacity(tc.group, free)).To(BeTrue(), "the first ask of another request")
			tell(time.Unix(1001, 0))
			g.Expect(q.takeCapacity(tc.group, free)).To(Equal(tc.group == "g"))
		})
	}
}
