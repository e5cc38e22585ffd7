// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
)

// listen opens a socket and returns it with a channel of the messages that it receives.
func listen(t *testing.T, g *WithT, address string) (s *peers.Socket, received chan peers.Message) {
	s, cleanup, err := peers.Listen(address, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	received = make(chan peers.Message, 16)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return s.Run(ctx, func(_ netip.AddrPort, m peers.Message) { received <- m })
	})
	t.Cleanup(func() {
		cancel()
		cleanup()
		g.Expect(group.Wait()).To(Succeed())
	})
	return s, received
}

// Gateways that start together with a group after an outage admit no requests until they receive
// the load of a rank, so they must not have to wait for its next report.
func TestNewGatewayReceivesLoadImmediately(t *testing.T) {
	g := NewWithT(t)
	own, _ := listen(t, g, "127.0.0.1:0")
	at := freeAddress(g)
	_, received := listen(t, g, at.String())
	s := &Sidecar{
		cfg: Config{Address: "10.0.0.1:80"}, log: zap.NewNop(), socket: own, gateways: newSubscribers("a"), orderTook: estimate.New(answerTimeWeight),
		report: rank.Report{Group: "g", Epoch: 4, Open: true}, reportAt: time.Now(), suspects: suspects.New(zap.NewNop(), metrics.NewRegistry()),
	}
	s.receiveHello(at, peers.Hello{Domain: "b"})
	var m peers.Message
	g.Eventually(received, eventually).Should(Receive(&m))
	g.Expect(m.Load).NotTo(BeNil())
	g.Expect(*m.Load).To(Equal(peers.Load{Address: "10.0.0.1:80", Group: "g", Epoch: 4, GatewayCount: 1}))
	s.receiveHello(at, peers.Hello{Domain: "b"})
	g.Consistently(received, 100*time.Millisecond).ShouldNot(Receive(), "the next load is sent by the regular report")
}

// All gateways may exit at the same time. What they knew of requests during which endpoints ended
// is sent by the sidecars to gateways that restart, even under the same address.
func TestRestartedGatewayReceivesEnds(t *testing.T) {
	g := NewWithT(t)
	own, _ := listen(t, g, "127.0.0.1:0")
	at := freeAddress(g)
	_, received := listen(t, g, at.String())
	s := &Sidecar{log: zap.NewNop(), socket: own, gateways: newSubscribers("a"), suspects: suspects.New(zap.NewNop(), metrics.NewRegistry())}
	key := quarantine.KeyOf("POST", "h", "/p", "c", nil)
	s.receive(at, peers.Message{Hello: &peers.Hello{Domain: "a", Incarnation: 1}, EndBatch: peers.EndBatch{Ends: []peers.End{{Key: key[:], Endpoint: "e"}}}})
	var m peers.Message
	g.Eventually(received, eventually).Should(Receive(&m))
	g.Expect(m.Ends).To(HaveLen(1))
	s.receive(at, peers.Message{Hello: &peers.Hello{Domain: "a", Incarnation: 1}})
	g.Consistently(received, 100*time.Millisecond).ShouldNot(Receive(), "the gateway is known")
	s.receive(at, peers.Message{Hello: &peers.Hello{Domain: "a", Incarnation: 2}})
	g.Eventually(received, eventually).Should(Receive(&m))
	g.Expect(m.Ends).To(HaveLen(1))
	g.Expect(m.Ends[0].Key).To(Equal(key[:]))
}

// freeAddress returns an address on which nothing listens.
func freeAddress(g *WithT) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(freePort(g)))
}

// One report that a group opened or closed is sufficient, so only a few ranks send it immediately.
func TestSomeRanksReportOpenChangeImmediately(t *testing.T) {
	for _, tc := range []struct {
		name     string
		rank     int
		open     bool // The group was closed before.
		reported bool
	}{
		{"it opened", 0, true, true},
		{"it stays closed", 0, false, false},
		{"another rank reports", 3, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &Sidecar{log: zap.NewNop(), openChanged: make(chan struct{}, 1), report: rank.Report{Group: "g", Rank: tc.rank}, reportAt: time.Now()}
			g.Expect(s.recordReport(rank.Report{Group: "g", Rank: tc.rank, Open: tc.open}, nil)).To(BeTrue())
			g.Expect(len(s.openChanged) == 1).To(Equal(tc.reported))
		})
	}
}

// A sidecar sends no load while its leader sends all loads, and only then: a leader may announce
// itself without being able to send them.
func TestSidecarSendsNoLoadWhileLeaderSendsIt(t *testing.T) {
	sendsLoads := peers.Lead{Group: "g", SendsLoads: true}
	for _, tc := range []struct {
		name        string
		size        int
		lead        peers.Lead
		age         time.Duration
		openChanged bool
		engineLost  bool // Its engine.
		interval    time.Duration
		sent        bool
	}{
		{"a small group", 12, peers.Lead{Group: "g"}, 0, false, false, minReportInterval, true},
		{"a large group without a leader", 129, peers.Lead{}, time.Hour, false, false, 129 * reportIntervalPerRank, true},
		{"the leader sends loads", 129, sendsLoads, 0, false, false, ledReportInterval, false},
		{"the leader sends no loads", 129, peers.Lead{Group: "g"}, 0, false, false, 129 * reportIntervalPerRank, true},
		{"the leader has become silent", 129, sendsLoads, leadTimeout, false, false, 129 * reportIntervalPerRank, true},
		{"another group's leader sends loads", 129, peers.Lead{Group: "h", SendsLoads: true}, 0, false, false, 129 * reportIntervalPerRank, true},
		{"the leader sends loads, but the group has just opened", 129, sendsLoads, 0, true, false, ledReportInterval, true},
		{"the leader sends loads, but the engine is lost", 129, sendsLoads, 0, false, true, ledReportInterval, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			own, _ := listen(t, g, "127.0.0.1:0")
			gateway, received := listen(t, g, "127.0.0.1:0")
			report := rank.Report{Group: "g", Size: tc.size, Open: true}
			now := time.Now()
			s := &Sidecar{
				cfg: Config{Address: "10.0.0.1:80"}, log: zap.NewNop(), socket: own, gateways: newSubscribers("a"), openChanged: make(chan struct{}, 1),
				report: report, reportAt: now, lead: leadership{announced: tc.lead, announcedAt: now.Add(-tc.age)},
			}
			s.engine.Report = func(context.Context) (rank.Report, error) {
				if tc.engineLost {
					return rank.Report{}, errors.New("no answer")
				}
				return report, nil
			}
			s.gateways.recordHello(netip.MustParseAddrPort(gateway.Address()), peers.Hello{Domain: "a"}, now)
			g.Expect(s.reportInterval(now)).To(Equal(tc.interval))
			s.reportLoad(context.Background(), tc.openChanged)
			if !tc.sent {
				g.Consistently(received, 50*time.Millisecond).ShouldNot(Receive())
				return
			}
			var m peers.Message
			g.Eventually(received, eventually).Should(Receive(&m))
			g.Expect(m.Load.Closed).To(Equal(tc.engineLost))
		})
	}
}

// A gateway receives the loads of all ranks of a service, so the leaders of many groups send less
// often.
func TestGroupLoadsIntervalGrowsWithServiceRanks(t *testing.T) {
	for ranks, want := range map[int]time.Duration{72: minReportInterval, 129: minReportInterval, 516: 258 * time.Millisecond, 2600: maxGroupLoadsInterval} {
		NewWithT(t).Expect(groupLoadsInterval(ranks)).To(Equal(want), "%d ranks", ranks)
	}
}

// When a leader is lost, its last report of a rank must not expire at a gateway before that rank
// sends its own load again.
func TestOwnLoadsResumeBeforeThoseOfALostLeaderExpire(t *testing.T) {
	const reportAge = 1500 * time.Millisecond // How long a gateway uses a report.
	g := NewWithT(t)
	g.Expect(leadTimeout + ledReportInterval + maxGroupLoadsInterval).To(BeNumerically("<", reportAge))
	g.Expect(sendsLoadsPeriod).To(BeNumerically(">", maxGroupLoadsInterval), "otherwise leaders that send loads would announce that they do not")
}
