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
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// gatewaysIn are as many gateways, dealt out to failure domains with long names.
func gatewaysIn(domains, n int) (list []roster.Seen) {
	for i := range n {
		list = append(list, roster.Seen{
			Gateway: roster.Gateway{Address: fmt.Sprintf("100.100.%d.%d:10000", i/200, i%200), Domain: fmt.Sprintf("domain-name-%04d", i%domains), Blind: i%2 == 0, Left: i%3 == 0},
			Age:     4 * time.Second,
		})
	}
	return list
}

func TestAHelloThatNamesOthersFitsAPacket(t *testing.T) {
	for _, domains := range []int{1, 21} {
		t.Run(fmt.Sprint(domains), func(t *testing.T) {
			g := NewWithT(t)
			list := gatewaysIn(domains, peers.MostKnown)
			h := peers.Hello{Name: strings.Repeat("n", 32), Life: time.Now().UnixMilli(), Address: "100.100.100.100:10000", Domain: strings.Repeat("d", 16), Gateways: 100_000, Answer: true, Known: knownOf(list)}
			raw, err := cbor.Marshal(peers.Message{Hello: &h})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(raw)).To(BeNumerically("<", 1400), "within one packet")
			var m peers.Message
			g.Expect(cbor.Unmarshal(raw, &m)).To(Succeed())
			heard, err := seenOf(m.Hello.Known)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(heard).To(ConsistOf(list))
		})
	}
}

func TestWhatCannotBeReadNamesNobody(t *testing.T) {
	g := NewWithT(t)
	list, err := seenOf([]peers.Known{{Domain: "d", Gateways: []peers.KnownGateway{{Address: []byte{1}}, {Address: []byte{10, 0, 0, 1, 80, 0}}}}})
	g.Expect(err).To(HaveOccurred())
	g.Expect(list).To(HaveLen(1))
	g.Expect(knownOf([]roster.Seen{{Gateway: roster.Gateway{Address: "name:80"}}})).To(BeEmpty())
}

// A gateway that is greeted answers with a hello, in parts where it is asked for many others.
func TestAHelloIsAnswered(t *testing.T) {
	g := NewWithT(t)
	n := newStation(t, 1)
	own, closeOwn, err := peers.Listen("127.0.0.1:0", zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeOwn)
	n.socket = own
	asker, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(asker.Close()).To(Succeed()) })
	there := gatewaysIn(1, 2*peers.MostKnown)
	n.roster.HearOf(there, time.Now())
	greet := func(h peers.Hello) {
		h.Life, h.Address, h.Domain = 1, asker.LocalAddr().String(), "a"
		n.Receive(netip.MustParseAddrPort(h.Address), peers.Message{Hello: &h})
	}

	greet(peers.Hello{})
	h := readHello(g, asker)
	g.Expect(h.Answer).To(BeTrue())
	g.Expect(h.Known).To(BeEmpty())

	greet(peers.Hello{Answer: true}) // Is not answered itself.
	greet(peers.Hello{Asks: there[0].Domain})
	told := 0
	for told < len(there) {
		h = readHello(g, asker)
		g.Expect(h.Answer).To(BeTrue())
		g.Expect(h.Known).NotTo(BeEmpty())
		for _, k := range h.Known {
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
		{Name: "g", Life: 1, Address: "10.0.0.1:80", Domain: "a", Asks: "b"},
		{Address: "10.0.0.1:80", Known: knownOf(gatewaysIn(3, 5))},
		{Life: -1, Known: []peers.Known{{Domain: "a", Gateways: []peers.KnownGateway{{Address: []byte{1, 2, 3}, AgeMs: -1}, {AgeMs: 1 << 62}}}}},
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
		seen, _ := seenOf(m.Hello.Known) // What cannot be read is left out.
		r := roster.New(roster.Gateway{Address: "10.0.0.9:80", Domain: "a"}, nil, now)
		r.HearOf(seen, now)
		r.Hear(roster.Gateway{Address: "10.0.0.8:80", Domain: m.Hello.Domain, Life: m.Hello.Life}, now)
		told := r.Answer("a", m.Hello.Asks, now)
		for _, s := range told {
			_, err := netip.ParseAddrPort(s.Address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Age).To(BeNumerically(">=", 0))
		}
		g.Expect(len(told)).To(BeNumerically("<=", len(seen)+1))
		g.Expect(len(r.There(now))).To(BeNumerically("<=", len(seen)+1))
		r.Greet(now, func(n int) int { return n - 1 })
		r.Lapse(now.Add(time.Hour))
		g.Expect(r.There(now.Add(time.Hour))).To(BeEmpty())
	})
}
