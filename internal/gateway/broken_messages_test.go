// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// Guards against messages that crash the process or leave its mutex locked.
func TestMessages(t *testing.T) {
	g := NewWithT(t)
	socket, closeSocket, err := peers.Listen("127.0.0.1:0", zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeSocket)
	reg := metrics.NewRegistry()
	gw, cleanup := New(Config{}, Codec{}, follow.NewView(), zap.NewNop(), reg)
	t.Cleanup(cleanup)
	n, closeNeighbours := NewPeerExchange(PeerExchangeConfig{Name: "g", Domain: "a", Address: "127.0.0.1:1"}, gw, socket, zap.NewNop())
	t.Cleanup(closeNeighbours)
	from := netip.MustParseAddrPort(socket.Address())
	panics := metrics.GetOrRegisterCounter("process.panics.message", reg)
	address, err := peers.PackAddress("127.0.0.1:2")
	g.Expect(err).NotTo(HaveOccurred())
	valid := []peers.Message{
		{Hello: &peers.Hello{Name: "b", Address: "127.0.0.1:2", Domain: "b", QueriedDomain: "a", KnownGateways: []peers.DomainGateways{{Domain: "b", Gateways: []peers.KnownGateway{{Address: address, AgeMs: 5}}}}}},
		{Load: &peers.Load{Address: "127.0.0.1:3", Group: "g"}},
		{Loads: &peers.Loads{Group: "g", Ranks: []peers.RankLoad{{Address: address, Running: 1}}}},
		{EndBatch: peers.EndBatch{Ends: []peers.End{{Key: make([]byte, 16), Endpoint: "e", KnownBefore: 1}}}},
		{EndBatch: peers.EndBatch{PartEnds: []peers.PartEnd{{End: peers.End{Key: make([]byte, 16), Endpoint: "e", KnownBefore: 1}, SoundBefore: true}}}},
		{SoundParts: [][]byte{make([]byte, 16)}},
		{Limits: []peers.Limit{{Endpoint: "e", Limited: true, PerSecond: 1}}},
		{Lending: &peers.Lending{Address: "127.0.0.1:2", Shares: []peers.ShareMessage{{Kind: 1, Endpoint: "e", RequestNumber: 1, Tokens: 1, LeaseMs: 9}}}},
	}
	t.Run("invalid messages cause no panic", func(t *testing.T) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(1, 2))
		taken := 0
		for range 4000 {
			raw, err := cbor.Marshal(valid[random.IntN(len(valid))])
			g.Expect(err).NotTo(HaveOccurred())
			for range 1 + random.IntN(3) {
				raw[random.IntN(len(raw))] = byte(random.IntN(256))
			}
			var m peers.Message
			if cbor.Unmarshal(raw, &m) == nil {
				n.Receive(from, m)
				taken++
			}
		}
		g.Expect(taken).To(BeNumerically(">", 500))
		g.Expect(panics.Count()).To(BeZero())
	})
	t.Run("a panic is contained", func(t *testing.T) {
		g := NewWithT(t)
		n.roster = nil
		n.Receive(from, valid[0])
		g.Expect(panics.Count()).To(BeEquivalentTo(1))
		g.Expect(n.mu.TryLock()).To(BeTrue())
		n.mu.Unlock()
	})
}

// Guards against process ends for which no log shows whether they were planned.
func TestPeersReportHowThePreviousIncarnationEnded(t *testing.T) {
	for name, planned := range map[string]bool{"without a planned stop": false, "in a planned stop": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			core, lines := observer.New(zap.InfoLevel)
			socket, closeSocket, err := peers.Listen("127.0.0.1:0", zap.NewNop())
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(closeSocket)
			gw, cleanup := New(Config{}, Codec{}, follow.NewView(), zap.NewNop(), metrics.NewRegistry())
			t.Cleanup(cleanup)
			n, closeNeighbours := NewPeerExchange(PeerExchangeConfig{Name: "a", Domain: "a", Address: "127.0.0.1:1"}, gw, socket, zap.New(core))
			t.Cleanup(closeNeighbours)
			newcomer, closeNewcomer, err := peers.Listen("127.0.0.1:0", zap.NewNop())
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(closeNewcomer)
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				return newcomer.Run(ctx, func(from netip.AddrPort, m peers.Message) {
					if m.Hello != nil && m.Hello.Previous != nil {
						n.Receive(from, m) // As the newcomer itself would handle it.
						cancel()
					}
				})
			})
			from := netip.MustParseAddrPort(newcomer.Address())
			n.Receive(from, peers.Message{Hello: &peers.Hello{Name: "b", Incarnation: 1, Address: "127.0.0.1:2", Leaving: planned}})
			if planned { // Others may receive hellos of the new process first.
				n.mu.Lock()
				n.roster.MergeMembers([]roster.Member{{Gateway: roster.Gateway{Address: "127.0.0.1:2"}}}, time.Now())
				n.mu.Unlock()
			}
			n.Receive(from, peers.Message{Hello: &peers.Hello{Name: "b", Incarnation: 2, Address: "127.0.0.1:2"}})
			g.Expect(group.Wait()).To(Succeed())
			g.Expect(lines.FilterMessage("peer ended without a planned stop").Len() == 0).To(Equal(planned))
			earlier := lines.FilterMessage("an earlier incarnation of this process ended")
			g.Expect(earlier.All()).To(HaveLen(1))
			g.Expect(earlier.All()[0].ContextMap()).To(And(HaveKeyWithValue("planned", planned), HaveKeyWithValue("life", int64(1))))
		})
	}
}
