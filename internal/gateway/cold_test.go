// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
)

// longCallerTimeout is testTimeout as sent by callers.
const longCallerTimeout = "30000"

// coldSite returns a site of endpoints in the failure domains d0, d1 and so on, whose service
// accepts the given number of requests per second while it is cold.
func coldSite(t *testing.T, n int, rate float64) (s site, view *follow.View, list []*streamingEndpoint) {
	var handlers []http.Handler
	for range n {
		c := newStreamingEndpoint(0)
		list, handlers = append(list, c), append(handlers, c)
	}
	s, view, snap := newSiteOf(t, func(*fleet.Route) {}, handlers...)
	for i := range snap.Endpoints {
		snap.Endpoints[i].Domain = fmt.Sprint("d", i)
	}
	svc := snap.Config.Service("s")
	svc.ColdDuration, svc.ColdRate = time.Hour, rate
	view.Replace(snap, time.Now(), false)
	s.ViewChanged()
	return s, view, list
}

// evacuate publishes the start or end of the evacuation of a failure domain.
func evacuate(s site, view *follow.View, domain string, revision uint64, over bool) {
	view.Apply(follow.Changes{Evacuations: []follow.Evacuation{{Domain: domain, Revision: revision, Over: over}}, UpTo: revision}, time.Now(), false)
	s.ViewChanged()
}

func TestNoNewRequestsAreSentToAnEvacuatedDomain(t *testing.T) {
	g := NewWithT(t)
	s, view, list := coldSite(t, 2, 0)
	evacuate(s, view, "d0", 5, false)
	for i := range 6 {
		s.expectServed(g, fmt.Sprint(i), longCallerTimeout)
	}
	g.Expect(list[0].startEvents()).To(BeEmpty())

	evacuate(s, view, "d1", 6, false)
	s.expectRefused(g, "none", longCallerTimeout)
	g.Expect(list[1].startEvents()).To(HaveLen(6))

	evacuate(s, view, "d1", 7, true)
	s.expectServed(g, "back", longCallerTimeout)
	g.Expect(list[0].startEvents()).To(BeEmpty())
}

// A request may have waited for a connection between the choice of the endpoint and the send.
func TestRequestIsNotSentAfterAnEvacuationHasBegun(t *testing.T) {
	g := NewWithT(t)
	s, view, _ := coldSite(t, 1, 0)
	q := &request{g: s.Gateway, config: view.State().Config, route: view.State().Config.Route("caller.test", "/x"), service: "s", deadline: time.Now().Add(time.Hour)}
	q.r, _ = http.NewRequest(http.MethodPost, "http://caller.test/x", nil) // The URL is constant and valid.
	e := view.State().Endpoints["0"]
	g.Expect(q.mayStillSend(e)).To(BeTrue())
	evacuate(s, view, "d0", 5, false)
	g.Expect(q.mayStillSend(e)).To(BeFalse())
}

// After an outage the ranks of a group form it again. Requests sent before the ranks report are
// rejected and overload them. The report of one rank is valid for all.
func TestRanksAreNotTriedBeforeTheirGroupReports(t *testing.T) {
	g := NewWithT(t)
	s, _, list := coldSite(t, 3, 1e6)
	s.expectRefused(g, "early", longCallerTimeout)
	s.ReportLoad(s.addresses[1], balance.Load{Group: "g", Epoch: 2, PassTime: 20 * time.Millisecond, At: time.Now()})
	for i := range 60 {
		s.ReportLoad(s.addresses[1], balance.Load{Group: "g", Epoch: 2, PassTime: 20 * time.Millisecond, At: time.Now()})
		s.expectServed(g, fmt.Sprint(i), longCallerTimeout)
	}
	for _, c := range list {
		g.Expect(c.startEvents()).NotTo(BeEmpty(), "all ranks get requests, not only the one that reports")
	}
}

// A group that has formed again is cold: if its service accepts little while cold, each rank gets
// no more than this gateway's share.
func TestColdRanksAreRateLimited(t *testing.T) {
	g := NewWithT(t)
	s, _, list := coldSite(t, 2, 0.001)
	tell := func() {
		for _, a := range s.addresses {
			s.ReportLoad(a, balance.Load{Group: "g", Epoch: 2, PassTime: 20 * time.Millisecond, At: time.Now()})
		}
	}
	for i := range 4 {
		tell()
		s.expectRefused(g, fmt.Sprint(i), "300")
	}
	g.Expect(len(list[0].startEvents()) + len(list[1].startEvents())).To(BeZero())
}

// received returns how many datagrams a socket receives until none arrives for 300 ms.
func received(g *WithT, conn *net.UDPConn) (n int) {
	buf := make([]byte, 2048)
	for {
		g.Expect(conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
		if _, _, err := conn.ReadFromUDP(buf); err != nil {
			return n
		}
		n++
	}
}

// After an outage, sidecars that were not up yet have missed the hello of a gateway, which admits
// no requests before a rank reports.
func TestHellosAreRepeatedWhileNoSidecarReports(t *testing.T) {
	g := NewWithT(t)
	sidecar, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(sidecar.Close()).To(Succeed()) }()
	s := newTestPeer(t, 1)
	s.withSocket(t)
	s.sidecarPort = sidecar.LocalAddr().(*net.UDPAddr).Port
	snap := follow.Snapshot{Config: fleet.NewConfig(1, nil, []fleet.Service{{Name: "s", Engine: &fleet.Engine{}}}, nil, fleet.Limits{}), UpTo: 1}
	for i := range 3 * noReportsHelloFanout {
		snap.Endpoints = append(snap.Endpoints, fleet.Endpoint{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint("127.0.0.1:", i+1), Revision: 1})
	}
	s.view.Replace(snap, time.Now(), false)
	s.helloSidecarsIfNoReports()
	g.Expect(received(g, sidecar)).To(Equal(noReportsHelloFanout), "the report of one is enough for all")
	s.g.ReportLoad("127.0.0.1:1", balance.Load{Group: "g", At: time.Now()})
	s.helloSidecarsIfNoReports()
	g.Expect(received(g, sidecar)).To(BeZero())
}
