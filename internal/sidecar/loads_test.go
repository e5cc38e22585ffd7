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

// listen opens a socket and returns its address and what it receives.
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

// Gateways that start with a group after an outage let nobody in before they hear of a
// rank, so they do not wait for its next report.
func TestAGatewayThatWasNotKnownIsToldAtOnce(t *testing.T) {
	g := NewWithT(t)
	own, _ := listen(t, g, "127.0.0.1:0")
	at := freeAddress(g)
	_, received := listen(t, g, at.String())
	s := &Sidecar{
		cfg: Config{Address: "10.0.0.1:80"}, log: zap.NewNop(), socket: own, gateways: newSubscribers("a"), orderTook: estimate.New(answerWeight),
		report: rank.Report{Group: "g", Epoch: 4, Open: true}, reportAt: time.Now(), suspects: suspects.New(zap.NewNop(), metrics.NewRegistry()),
	}
	s.hearHello(at, peers.Hello{Domain: "b"})
	var m peers.Message
	g.Eventually(received, eventually).Should(Receive(&m))
	g.Expect(m.Load).NotTo(BeNil())
	g.Expect(*m.Load).To(Equal(peers.Load{Address: "10.0.0.1:80", Group: "g", Epoch: 4, GatewayCount: 1}))
	s.hearHello(at, peers.Hello{Domain: "b"})
	g.Consistently(received, 100*time.Millisecond).ShouldNot(Receive(), "the next report comes by itself")
}

// All gateways may end at once; what they knew of requests under which endpoints end is told
// by the sidecars to those that start anew, also under the addresses of before.
func TestAGatewayThatStartsAnewIsToldOfEnds(t *testing.T) {
	g := NewWithT(t)
	own, _ := listen(t, g, "127.0.0.1:0")
	at := freeAddress(g)
	_, received := listen(t, g, at.String())
	s := &Sidecar{log: zap.NewNop(), socket: own, gateways: newSubscribers("a"), suspects: suspects.New(zap.NewNop(), metrics.NewRegistry())}
	key := quarantine.KeyOf("POST", "h", "/p", "c", nil)
	s.receive(at, peers.Message{Hello: &peers.Hello{Domain: "a", Incarnation: 1}, Ends: []peers.End{{Key: key[:], Endpoint: "e"}}})
	var m peers.Message
	g.Eventually(received, eventually).Should(Receive(&m))
	g.Expect(m.Ends).To(HaveLen(1))
	s.receive(at, peers.Message{Hello: &peers.Hello{Domain: "a", Incarnation: 1}})
	g.Consistently(received, 100*time.Millisecond).ShouldNot(Receive(), "it is not new")
	s.receive(at, peers.Message{Hello: &peers.Hello{Domain: "a", Incarnation: 2}})
	g.Eventually(received, eventually).Should(Receive(&m))
	g.Expect(m.Ends).To(HaveLen(1))
	g.Expect(m.Ends[0].Key).To(Equal(key[:]))
}

// freeAddress returns an address that nobody listens at.
func freeAddress(g *WithT) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(freePort(g)))
}

// One word that a group opened or closed is enough, so few ranks tell it at once.
func TestSomeRanksTellAtOnceThatTheirGroupOpened(t *testing.T) {
	for _, tc := range []struct {
		name string
		rank int
		open bool // Before, it was closed.
		told bool
	}{
		{"it opened", 0, true, true},
		{"it stays closed", 0, false, false},
		{"another rank tells", 3, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &Sidecar{log: zap.NewNop(), turned: make(chan struct{}, 1), report: rank.Report{Group: "g", Rank: tc.rank}, reportAt: time.Now()}
			g.Expect(s.noteReport(rank.Report{Group: "g", Rank: tc.rank, Open: tc.open}, nil)).To(BeTrue())
			g.Expect(len(s.turned) == 1).To(Equal(tc.told))
		})
	}
}

// A sidecar is silent while its leader tells all loads, and only then: a leader may be heard
// that cannot tell.
func TestASidecarIsSilentWhileItsLeaderTellsForIt(t *testing.T) {
	tells := peers.Lead{Group: "g", SendsLoads: true}
	for _, tc := range []struct {
		name   string
		size   int
		lead   peers.Lead
		age    time.Duration
		turned bool
		lost   bool // Its engine.
		pause  time.Duration
		told   bool
	}{
		{"a small group", 12, peers.Lead{Group: "g"}, 0, false, false, reportEvery, true},
		{"a large one that nobody leads", 129, peers.Lead{}, time.Hour, false, false, 129 * perRank, true},
		{"the leader tells", 129, tells, 0, false, false, ledPoll, false},
		{"the leader does not tell", 129, peers.Lead{Group: "g"}, 0, false, false, 129 * perRank, true},
		{"the leader has fallen silent", 129, tells, leadLapse, false, false, 129 * perRank, true},
		{"another group's leader tells", 129, peers.Lead{Group: "h", SendsLoads: true}, 0, false, false, 129 * perRank, true},
		{"the leader tells, but the group has just opened", 129, tells, 0, true, false, ledPoll, true},
		{"the leader tells, but the engine is lost", 129, tells, 0, false, true, ledPoll, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			own, _ := listen(t, g, "127.0.0.1:0")
			gateway, received := listen(t, g, "127.0.0.1:0")
			report := rank.Report{Group: "g", Size: tc.size, Open: true}
			now := time.Now()
			s := &Sidecar{
				cfg: Config{Address: "10.0.0.1:80"}, log: zap.NewNop(), socket: own, gateways: newSubscribers("a"), turned: make(chan struct{}, 1),
				report: report, reportAt: now, lead: leadership{heard: tc.lead, at: now.Add(-tc.age)},
			}
			s.engine.Report = func(context.Context) (rank.Report, error) {
				if tc.lost {
					return rank.Report{}, errors.New("no answer")
				}
				return report, nil
			}
			s.gateways.hello(netip.MustParseAddrPort(gateway.Address()), peers.Hello{Domain: "a"}, now)
			g.Expect(s.reportPause(now)).To(Equal(tc.pause))
			s.readReport(context.Background(), tc.turned)
			if !tc.told {
				g.Consistently(received, 50*time.Millisecond).ShouldNot(Receive())
				return
			}
			var m peers.Message
			g.Eventually(received, eventually).Should(Receive(&m))
			g.Expect(m.Load.Closed).To(Equal(tc.lost))
		})
	}
}

// A gateway hears of all ranks of a service, so that leaders of many groups tell the less often.
func TestLeadersOfManyGroupsTellTheLessOften(t *testing.T) {
	for ranks, want := range map[int]time.Duration{72: reportEvery, 129: reportEvery, 516: 258 * time.Millisecond, 2600: longestTell} {
		NewWithT(t).Expect(tellPause(ranks)).To(Equal(want), "%d ranks", ranks)
	}
}

// The pauses must leave no gap in which a gateway's last word on a rank is too old: it ends when
// its leader has gone.
func TestOwnLoadsAreToldBeforeThoseOfALostLeaderLapse(t *testing.T) {
	const reportAge = 1500 * time.Millisecond // For which a gateway goes by a report.
	g := NewWithT(t)
	g.Expect(leadLapse + ledPoll + longestTell).To(BeNumerically("<", reportAge))
	g.Expect(tellsFor).To(BeNumerically(">", longestTell), "or leaders that tell would say that they do not")
}
