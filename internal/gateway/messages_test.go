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
)

// gatewaysIn are as many gateways, dealt out to failure domains with long names.
func gatewaysIn(domains, n int) (list []roster.Member) {
	for i := range n {
		list = append(list, roster.Member{
			Gateway: roster.Gateway{Address: fmt.Sprintf("100.100.%d.%d:10000", i/200, i%200), Domain: fmt.Sprintf("domain-name-%04d", i%domains), StoreUnreachable: i%2 == 0, Stopping: i%3 == 0},
			Age:     4 * time.Second,
		})
	}
	return list
}

// inOnePacket checks that a message fits a packet, and returns it as it comes.
func inOnePacket(g *WithT, m peers.Message) (heard peers.Message) {
	g.THelper()
	raw, err := cbor.Marshal(m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(raw)).To(BeNumerically("<", 1400))
	g.Expect(cbor.Unmarshal(raw, &heard)).To(Succeed())
	return heard
}

func TestAHelloThatNamesOthersFitsAPacket(t *testing.T) {
	for _, domains := range []int{1, 21} {
		t.Run(fmt.Sprint(domains), func(t *testing.T) {
			g := NewWithT(t)
			list := gatewaysIn(domains, peers.MaxKnownGateways)
			h := peers.Hello{Name: strings.Repeat("n", 32), Incarnation: time.Now().UnixMilli(), Address: "100.100.100.100:10000", Domain: strings.Repeat("d", 16), GatewayCount: 100_000, IsAnswer: true, KnownGateways: knownOf(list)}
			m := inOnePacket(g, peers.Message{Hello: &h})
			heard, err := seenOf(m.Hello.KnownGateways)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(heard).To(ConsistOf(list))
		})
	}
}

func TestWhatCannotBeReadNamesNobody(t *testing.T) {
	g := NewWithT(t)
	list, err := seenOf([]peers.DomainGateways{{Domain: "d", Gateways: []peers.KnownGateway{{Address: []byte{1}}, {Address: []byte{10, 0, 0, 1, 80, 0}}}}})
	g.Expect(err).To(HaveOccurred())
	g.Expect(list).To(HaveLen(1))
	g.Expect(knownOf([]roster.Member{{Gateway: roster.Gateway{Address: "name:80"}}})).To(BeEmpty())
}

// A gateway that is greeted answers with a hello, in parts where it is asked for many others.
func TestAHelloIsAnswered(t *testing.T) {
	g := NewWithT(t)
	n := newStation(t, 1)
	n.withSocket(t)
	asker, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(asker.Close()).To(Succeed()) })
	there := gatewaysIn(1, 2*peers.MaxKnownGateways)
	n.roster.MergeMembers(there, time.Now())
	greet := func(h peers.Hello) {
		h.Incarnation, h.Address, h.Domain = 1, asker.LocalAddr().String(), "a"
		n.Receive(netip.MustParseAddrPort(h.Address), peers.Message{Hello: &h})
	}

	greet(peers.Hello{})
	h := readHello(g, asker)
	g.Expect(h.IsAnswer).To(BeTrue())
	g.Expect(h.KnownGateways).To(BeEmpty())

	greet(peers.Hello{IsAnswer: true}) // Is not answered itself.
	greet(peers.Hello{QueriedDomain: there[0].Domain})
	told := 0
	for told < len(there) {
		h = readHello(g, asker)
		g.Expect(h.IsAnswer).To(BeTrue())
		g.Expect(h.KnownGateways).NotTo(BeEmpty())
		for _, k := range h.KnownGateways {
			told += len(k.Gateways)
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

// Whatever bytes come as a hello, those that it names are told on as gateways with an address,
// and the view goes on.
func FuzzHello(f *testing.F) {
	for _, h := range []peers.Hello{
		{Name: "g", Incarnation: 1, Address: "10.0.0.1:80", Domain: "a", QueriedDomain: "b"},
		{Address: "10.0.0.1:80", KnownGateways: knownOf(gatewaysIn(3, 5))},
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
		seen, _ := seenOf(m.Hello.KnownGateways) // What cannot be read is left out.
		r := roster.New(roster.Gateway{Address: "10.0.0.9:80", Domain: "a"}, nil, now)
		r.MergeMembers(seen, now)
		r.Receive(roster.Gateway{Address: "10.0.0.8:80", Domain: m.Hello.Domain, StartedAt: m.Hello.Incarnation}, now)
		told := r.AnswerQuery("a", m.Hello.QueriedDomain, now)
		for _, s := range told {
			_, err := netip.ParseAddrPort(s.Address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Age).To(BeNumerically(">=", 0))
		}
		g.Expect(len(told)).To(BeNumerically("<=", len(seen)+1))
		g.Expect(len(r.Alive(now))).To(BeNumerically("<=", len(seen)+1))
		r.NextHellos(now, func(n int) int { return n - 1 })
		r.Expire(now.Add(time.Hour))
		g.Expect(r.Alive(now.Add(time.Hour))).To(BeEmpty())
	})
}

// loadsOf are the loads of so many ranks: rank r runs r requests.
func loadsOf(g *WithT, ranks int) (l peers.Loads) {
	l.Group = "g"
	for r := range ranks {
		raw, err := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", r/200, r%200+1)).MarshalBinary()
		g.Expect(err).NotTo(HaveOccurred())
		l.Ranks = append(l.Ranks, peers.RankLoad{Address: raw, Running: r, Slowdown: 1.5})
	}
	return l
}

func TestOneMessageTellsTheLoadsOfManyRanks(t *testing.T) {
	g := NewWithT(t)
	l := loadsOf(g, peers.MaxRankLoads)
	m := inOnePacket(g, peers.Message{Loads: &l})

	n := newStation(t, 1)
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

func TestALoadThatCannotBeReadIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	n := newStation(t, 1)
	l := loadsOf(g, 2)
	l.Ranks[0].Address = []byte{1, 2}
	n.publish(1, 1, fleet.Endpoint{ID: "b", Service: "s", Address: "10.0.0.2:80", Revision: 1})
	n.Receive(netip.AddrPort{}, peers.Message{Loads: &l})
	g.Expect(n.g.table.Outstanding("b", time.Now())).To(Equal(1))
}

// endsOf are as many ends as one message names, each of another request and of an endpoint
// with a long id, some minutes ago.
func endsOf(now time.Time, s *Gateway) []peers.End {
	for i := range 2 * peers.MaxEnds {
		k := quarantine.KeyOf("POST", "h", "/p", "c", fmt.Append(nil, i))
		s.suspects.RecordEnd(k, fmt.Sprintf("%s-%d@1786946211702", strings.Repeat("x", 24), i), quarantine.OnTrial, now.Add(-10*time.Minute))
	}
	return s.suspects.NextToSend(now)
}

func TestAHelloWithEndsFitsAPacket(t *testing.T) {
	g := NewWithT(t)
	n := newStation(t, 1)
	m := peers.Message{Hello: &peers.Hello{Name: strings.Repeat("n", 32), Incarnation: time.Now().UnixMilli(), Address: "100.100.100.100:10000", Domain: strings.Repeat("d", 16)}}
	m.Hello.QueriedDomain, m.Hello.GatewayCount = m.Hello.Domain, 100_000
	m.Ends = endsOf(time.Now(), n.g)
	g.Expect(m.Ends).To(HaveLen(peers.MaxEnds))
	heard := inOnePacket(g, m)
	other := newStation(t, 2)
	heard.Hello = nil // A station has no socket to answer it.
	other.Receive(netip.AddrPort{}, heard)
	g.Expect(other.g.suspects.NextToSend(time.Now())).To(HaveLen(peers.MaxEnds))
}

// A gateway that starts anew under its address is new to the others.
func TestAGatewayIsNewWithEachLife(t *testing.T) {
	g := NewWithT(t)
	n := newStation(t, 1)
	h := peers.Hello{Name: "g", Incarnation: 7, Address: "10.0.0.1:80", Domain: "a"}
	hears := func(h peers.Hello, before *peers.PreviousIncarnation) bool {
		fresh, was := n.hear(h)
		g.Expect(was).To(Equal(before))
		return fresh
	}
	g.Expect(hears(h, nil)).To(BeTrue())
	g.Expect(hears(h, nil)).To(BeFalse())
	h.Incarnation = 8
	fresh, before := n.hear(h)
	g.Expect(fresh).To(BeTrue())
	g.Expect(before.Incarnation).To(BeEquivalentTo(7))
	n.hear(peers.Hello{Name: "other", Incarnation: 1, Address: "10.0.0.2:80", KnownGateways: knownOf([]roster.Member{{Gateway: roster.Gateway{Address: "10.0.0.3:80", Domain: "a"}}})})
	g.Expect(hears(peers.Hello{Incarnation: 3, Address: "10.0.0.3:80"}, nil)).To(BeTrue(), "it was known by hearsay only")
}

// A request that is to be tried at one place is tried at exactly one of the gateways that
// hear each other.
func TestOneGatewayOwnsATrial(t *testing.T) {
	g := NewWithT(t)
	var list []station
	for i := range 5 {
		s := newStation(t, int64(i+1))
		s.moveTo(fmt.Sprintf("10.0.0.%d:80", i+1))
		list = append(list, s)
	}
	for _, s := range list {
		for _, other := range list {
			s.hear(peers.Hello{Incarnation: other.life, Address: other.self, Domain: "a"})
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
	g.Expect(owned).To(HaveLen(len(list)), "not all at one")
}
