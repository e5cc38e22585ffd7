// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/backoff"
	"github.com/canvaspulley/canvaspulley/internal/decide/passes"
	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// bar has an endpoint ask for what keeps requests from it, and uses up what its limit leaves.
type bar func(s site, id string)

var bars = map[string]bar{
	"rests": func(s site, id string) { s.backoffs.Backoff(backoff.Process{Name: id}, time.Minute, s.cfg.Now()) },
	"is at its limit": func(s site, id string) {
		s.limits.RecordAnswer(id, throttle.Report{Limited: true, At: s.cfg.Now()})
		s.limits.Take(id, s.cfg.Now())
	},
}

// assertServedBy sends requests, each after a new round of reports.
func assertServedBy(t *testing.T, s site, at *streamer, requests int, report func()) {
	t.Helper()
	for i := range requests {
		report()
		s.expectServed(NewWithT(t), fmt.Sprint("r", i), "")
	}
	NewWithT(t).Expect(at.firsts()).To(HaveLen(requests))
}

func TestRequestsGoPastEndpointsThatAskForLess(t *testing.T) {
	for name, bar := range bars {
		for _, grouped := range []bool{true, false} {
			t.Run(fmt.Sprintf("a rank %s, another endpoint is of its group: %v", name, grouped), func(t *testing.T) {
				barred, other := newStreamer(0), newStreamer(0)
				s := newSite(t, barred, other)
				bar(s, "0")
				assertServedBy(t, s, other, 5, func() {
					s.tell(0, 0, 1)
					if grouped {
						s.tell(1, 0, 1)
					}
				})
				NewWithT(t).Expect(barred.firsts()).To(BeEmpty())
				NewWithT(t).Expect(s.figures.waited.Count()).To(BeZero(), "nobody waits for the rank")
			})
		}
	}
}

func TestRequestsAreRefusedAtOnceWhileAllRanksAskForLess(t *testing.T) {
	for name, bar := range bars {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ranks := []*streamer{newStreamer(0), newStreamer(0)}
			s := newSite(t, ranks[0], ranks[1])
			for i := range ranks {
				s.tell(i, 0, 1)
				bar(s, fmt.Sprint(i))
			}
			seconds, err := strconv.ParseFloat(s.expectRefused(g, "one", ""), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(And(BeNumerically(">", 0.5), BeNumerically("<=", 60)))
			g.Expect(s.figures.waited.Count()).To(BeZero())
			g.Expect(append(ranks[0].firsts(), ranks[1].firsts()...)).To(BeEmpty())
		})
	}
}

// A choice that nothing was sent by takes nothing of a limit.
func TestAPermitThatIsNotUsedIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, newStreamer(0))
	s.limits.RecordAnswer("0", throttle.Report{Limited: true, Limit: 0, At: s.cfg.Now()})
	q := &request{g: s.Gateway, service: "s", config: s.view.State().Config, route: s.view.State().Config.Route("caller.test", "/")}
	for range 3 {
		_, ok := q.choose(time.Now())
		g.Expect(ok).To(BeTrue(), "the choice before was not used")
	}
	q.permit = "" // It is sent.
	_, ok := q.choose(time.Now())
	g.Expect(ok).To(BeFalse())
	g.Expect(q.barred.rate).To(BeNumerically(">", 0))
}

// Guards against an endpoint that is out for good since it once asked for a very long rest.
func TestAVeryLongRestIsTried(t *testing.T) {
	only := newStreamer(0)
	s := newSite(t, only)
	s.backoffs.Backoff(backoff.Process{Name: "0"}, 365*24*time.Hour, s.cfg.Now().Add(-time.Hour))
	assertServedBy(t, s, only, 2, func() { s.tell(0, 0, 1) })
}

// A request asks for a place in a group once by each round of reports.
func TestARequestAsksForAPlaceOnceARound(t *testing.T) {
	for _, tc := range []struct {
		name  string
		group string // Of ranks that have not told yet, "".
	}{{"a group that is known", "g"}, {"ranks that have not told their group", ""}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gw := newStation(t, 1).g
			tell := func(at time.Time) { gw.passes.Report("a", "g", passes.Shape{}, passes.RankReport{At: at}) }
			tell(time.Unix(1000, 0))
			free, full := passes.Option{Ranks: 1, Limit: 4}, passes.Option{Ranks: 1, Limit: 4, Requests: 4}
			q := &request{g: gw, route: &fleet.Route{}}
			g.Expect(q.takes(tc.group, full)).To(BeFalse(), "no place is free")
			g.Expect(q.takes(tc.group, free)).To(BeFalse(), "nothing new was told since")
			g.Expect((&request{g: gw, route: q.route}).takes(tc.group, free)).To(BeTrue(), "another request's first question")
			tell(time.Unix(1001, 0))
			g.Expect(q.takes(tc.group, free)).To(Equal(tc.group == "g"))
		})
	}
}
