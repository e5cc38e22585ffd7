// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
)

// gatewaysIn returns n gateways, distributed over failure domains with long names.
func gatewaysIn(domains, n int) (list []roster.Member) {
	for i := range n {
		list = append(list, roster.Member{
			Gateway: roster.Gateway{Address: fmt.Sprintf("100.100.%d.%d:10000", i/200, i%200), Domain: fmt.Sprintf("domain-name-%04d", i%domains), StoreUnreachable: i%2 == 0, Leaving: i%3 == 0},
			Age:     4 * time.Second,
		})
	}
	return list
}

// expectFitsPacket checks that a message fits into one packet, and returns the decoded message.
func expectFitsPacket(g *WithT, m peers.Message) (decoded peers.Message) {
	g.THelper()
	raw, err := cbor.Marshal(m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(raw)).To(BeNumerically("<", 1400))
	g.Expect(cbor.Unmarshal(raw, &decoded)).To(Succeed())
	return decoded
}

func TestHelloThatListsOthersFitsAPacket(t *testing.T) {
	for _, domains := range []int{1, 21} {
		t.Run(fmt.Sprint(domains), func(t *testing.T) {
			g := NewWithT(t)
			list := gatewaysIn(domains, peers.MaxKnownGateways)
			h := peers.Hello{Name: strings.Repeat("n", 32), Incarnation: time.Now().UnixMilli(), Address: "100.100.100.100:10000", Domain: strings.Repeat("d", 16), GatewayCount: 100_000, IsAnswer: true, KnownGateways: toKnown(list)}
			m := expectFitsPacket(g, peers.Message{Hello: &h})
			heard, err := fromKnown(m.Hello.KnownGateways)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(heard).To(ConsistOf(list))
		})
	}
}

func TestInvalidAddressesAreOmittedFromHellos(t *testing.T) {
	g := NewWithT(t)
	list, err := fromKnown([]peers.DomainGateways{{Domain: "d", Gateways: []peers.KnownGateway{{Address: []byte{1}}, {Address: []byte{10, 0, 0, 1, 80, 0}}}}})
	g.Expect(err).To(HaveOccurred())
	g.Expect(list).To(HaveLen(1))
	g.Expect(toKnown([]roster.Member{{Gateway: roster.Gateway{Address: "name:80"}}})).To(BeEmpty())
}

// A gateway answers a hello with a hello, split into several if many other gateways are asked for.
func TestAHelloIsAnswered(t *testing.T) {
	g := NewWithT(t)
	n := newTestPeer(t, 1)
	n.withSocket(t)
	asker, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(asker.Close()).To(Succeed()) })
	known := gatewaysIn(1, 2*peers.MaxKnownGateways)
	n.roster.MergeMembers(known, time.Now())
	sendHello := func(h peers.Hello) {
		h.Incarnation, h.Address, h.Domain = 1, asker.LocalAddr().String(), "a"
		n.Receive(netip.MustParseAddrPort(h.Address), peers.Message{Hello: &h})
	}

	sendHello(peers.Hello{})
	h := readHello(g, asker)
	g.Expect(h.IsAnswer).To(BeTrue())
	g.Expect(h.KnownGateways).To(BeEmpty())

	sendHello(peers.Hello{IsAnswer: true}) // An answer is not answered.
	sendHello(peers.Hello{QueriedDomain: known[0].Domain})
	listed := 0
	for listed < len(known) {
		h = readHello(g, asker)
		g.Expect(h.IsAnswer).To(BeTrue())
		g.Expect(h.KnownGateways).NotTo(BeEmpty())
		for _, k := range h.KnownGateways {
			listed += len(k.Gateways)
		}
	}
}

func readHello(g *WithT, c *net.UDPConn) *peers.Hello {
	g.THelper()
	g.Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	buf := make([]byte, 8<<10)
	n, _, err := c.ReadFromUDP(buf)
	g.Expect(err).NotTo(HaveOccurred())
	var m peers.Message
	g.Expect(cbor.Unmarshal(buf[:n], &m)).To(Succeed())
	g.Expect(m.Hello).NotTo(BeNil())
	return m.Hello
}

// Whatever bytes a hello contains, the gateways it lists are passed on with valid addresses, and
// the view stays usable.
func FuzzHello(f *testing.F) {
	for _, h := range []peers.Hello{
		{Name: "g", Incarnation: 1, Address: "10.0.0.1:80", Domain: "a", QueriedDomain: "b"},
		{Address: "10.0.0.1:80", KnownGateways: toKnown(gatewaysIn(3, 5))},
		{Incarnation: -1, KnownGateways: []peers.DomainGateways{{Domain: "a", Gateways: []peers.KnownGateway{{Address: []byte{1, 2, 3}, AgeMs: -1}, {AgeMs: 1 << 62}}}}},
	} {
		raw, err := cbor.Marshal(peers.Message{Hello: &h})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m peers.Message
		if cbor.Unmarshal(raw, &m) != nil || m.Hello == nil {
			return
		}
		g := NewWithT(t)
		now := time.Unix(1_800_000_000, 0)
		seen, _ := fromKnown(m.Hello.KnownGateways) // Invalid gateways are omitted.
		r := roster.New(roster.Gateway{Address: "10.0.0.9:80", Domain: "a"}, nil, now)
		r.MergeMembers(seen, now)
		r.Receive(roster.Gateway{Address: "10.0.0.8:80", Domain: m.Hello.Domain, StartedAt: m.Hello.Incarnation}, now)
		answered := r.AnswerQuery("a", m.Hello.QueriedDomain, now)
		for _, s := range answered {
			_, err := netip.ParseAddrPort(s.Address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Age).To(BeNumerically(">=", 0))
		}
		g.Expect(len(answered)).To(BeNumerically("<=", len(seen)+1))
		g.Expect(len(r.Alive(now))).To(BeNumerically("<=", len(seen)+1))
		r.NextHellos(now, func(n int) int { return n - 1 })
		r.Expire(now.Add(time.Hour))
		g.Expect(r.Alive(now.Add(time.Hour))).To(BeEmpty())
	})
}

// loadsOf returns the loads of ranks, where rank r runs r requests.
func loadsOf(g *WithT, ranks int) (l peers.Loads) {
	l.Group = "g"
	for r := range ranks {
		raw, err := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", r/200, r%200+1)).MarshalBinary()
		g.Expect(err).NotTo(HaveOccurred())
		l.Ranks = append(l.Ranks, peers.RankLoad{Address: raw, Running: r, Slowdown: 1.5})
	}
	return l
}

func TestOneMessageCarriesTheLoadsOfManyRanks(t *testing.T) {
	g := NewWithT(t)
	l := loadsOf(g, peers.MaxRankLoads)
	m := expectFitsPacket(g, peers.Message{Loads: &l})

	n := newTestPeer(t, 1)
	var list []fleet.Endpoint
	for r := range peers.MaxRankLoads {
		list = append(list, fleet.Endpoint{ID: fmt.Sprint(r), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", r+1), Revision: 1})
	}
	n.publish(1, 1, list...)
	n.Receive(netip.AddrPort{}, m)
	for r := range peers.MaxRankLoads {
		g.Expect(n.g.table.Outstanding(fmt.Sprint(r), time.Now())).To(Equal(r))
	}
}

func TestInvalidLoadIsIgnored(t *testing.T) {
	g := NewWithT(t)
	n := newTestPeer(t, 1)
	l := loadsOf(g, 2)
	l.Ranks[0].Address = []byte{1, 2}
	n.publish(1, 1, fleet.Endpoint{ID: "b", Service: "s", Address: "10.0.0.2:80", Revision: 1})
	n.Receive(netip.AddrPort{}, peers.Message{Loads: &l})
	g.Expect(n.g.table.Outstanding("b", time.Now())).To(Equal(1))
}

// endsOf returns as many ends as one message holds, each of another request and of an endpoint with
// a long id, recorded 10 minutes ago.
func endsOf(now time.Time, s *Gateway) peers.EndBatch {
	for i := range 2 * peers.MaxEnds {
		k := quarantine.KeyOf("POST", "h", "/p", "c", fmt.Append(nil, i))
		attempt := suspects.Attempt{Whole: k, Known: suspects.Known{k: quarantine.OnTrial}}
		s.suspects.RecordEnds(fmt.Sprintf("%s-%d@1786946211702", strings.Repeat("x", 24), i), []suspects.Attempt{attempt}, now.Add(-10*time.Minute))
	}
	return s.suspects.NextToSend(now)
}

func TestAHelloWithEndsFitsAPacket(t *testing.T) {
	for _, parts := range []bool{false, true} {
		t.Run(fmt.Sprintf("of parts: %v", parts), func(t *testing.T) {
			g := NewWithT(t)
			n := newTestPeer(t, 1)
			m := peers.Message{Hello: &peers.Hello{Name: strings.Repeat("n", 32), Incarnation: time.Now().UnixMilli(), Address: "100.100.100.100:10000", Domain: strings.Repeat("d", 16)}}
			m.Hello.QueriedDomain, m.Hello.GatewayCount = m.Hello.Domain, 100_000
			m.EndBatch = endsOf(time.Now(), n.g)
			g.Expect(m.Ends).To(HaveLen(peers.MaxEnds))
			if parts {
				for _, e := range m.Ends {
					m.PartEnds = append(m.PartEnds, peers.PartEnd{End: e, SoundBefore: true})
				}
				m.Ends = nil
			}
			heard := expectFitsPacket(g, m)
			other := newTestPeer(t, 2)
			heard.Hello = nil // A test peer has no socket to answer it.
			other.Receive(netip.AddrPort{}, heard)
			got := other.g.suspects.NextToSend(time.Now())
			g.Expect(got.Len()).To(Equal(peers.MaxEnds))
			g.Expect(got.PartEnds).To(HaveLen(len(m.PartEnds)))
		})
	}
}

// A gateway that restarts under its address is new to the others.
func TestGatewayIsNewAfterEachRestart(t *testing.T) {
	g := NewWithT(t)
	n := newTestPeer(t, 1)
	h := peers.Hello{Name: "g", Incarnation: 7, Address: "10.0.0.1:80", Domain: "a"}
	isNewAfter := func(h peers.Hello, before *peers.PreviousIncarnation) bool {
		isNew, got := n.receiveHello(h)
		g.Expect(got).To(Equal(before))
		return isNew
	}
	g.Expect(isNewAfter(h, nil)).To(BeTrue())
	g.Expect(isNewAfter(h, nil)).To(BeFalse())
	h.Incarnation = 8
	isNew, previous := n.receiveHello(h)
	g.Expect(isNew).To(BeTrue())
	g.Expect(previous.Incarnation).To(BeEquivalentTo(7))
	n.receiveHello(peers.Hello{Name: "other", Incarnation: 1, Address: "10.0.0.2:80", KnownGateways: toKnown([]roster.Member{{Gateway: roster.Gateway{Address: "10.0.0.3:80", Domain: "a"}}})})
	g.Expect(isNewAfter(peers.Hello{Incarnation: 3, Address: "10.0.0.3:80"}, nil)).To(BeTrue(), "it was known from another gateway only")
}

// Trials of a request run at exactly one of the gateways that know each other.
func TestOneGatewayOwnsATrial(t *testing.T) {
	g := NewWithT(t)
	var list []testPeer
	for i := range 5 {
		s := newTestPeer(t, int64(i+1))
		s.setAddress(fmt.Sprintf("10.0.0.%d:80", i+1))
		list = append(list, s)
	}
	for _, s := range list {
		for _, other := range list {
			s.receiveHello(peers.Hello{Incarnation: other.incarnation, Address: other.self, Domain: "a"})
		}
	}
	owned := map[string]int{}
	for i := range 200 {
		k := quarantine.KeyOf("POST", "h", "/p", "c", fmt.Append(nil, i))
		owners := 0
		for _, s := range list {
			if s.g.ownsTrial(k) {
				owners++
				owned[s.self]++
			}
		}
		g.Expect(owners).To(Equal(1))
	}
	g.Expect(owned).To(HaveLen(len(list)), "not all at one gateway")
}
