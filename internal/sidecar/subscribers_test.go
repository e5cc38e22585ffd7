// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/peers"
)

func gatewayAt(domain, n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:7000", domain, n))
}

// threeDomains are three gateways in each of the domains a, b and c, heard now.
func threeDomains(now time.Time) subscribers {
	s := newSubscribers("a")
	for n := range 3 {
		for d, name := range []string{"a", "b", "c"} {
			s.hello(gatewayAt(d, n), peers.Hello{Domain: name}, now)
		}
	}
	return s
}

func TestOneGatewayOfEachOtherDomainIsTold(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := threeDomains(now)
	told := map[netip.AddrPort]int{}
	for range 6 {
		near, far := s.next(now)
		g.Expect(near).To(ConsistOf(gatewayAt(0, 0), gatewayAt(0, 1), gatewayAt(0, 2)))
		g.Expect(far).To(HaveLen(2))
		for _, a := range far {
			told[a]++
		}
	}
	g.Expect(told).To(HaveLen(6), "each in turn")
	for a, n := range told {
		g.Expect(n).To(Equal(2), "%v", a)
	}
}

func TestGatewaysThatFellSilentAreNotTold(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := threeDomains(now)
	later := now.Add(subscribed + time.Second)
	s.hello(gatewayAt(1, 2), peers.Hello{Domain: "b"}, later)
	near, far := s.next(later)
	g.Expect(near).To(BeEmpty())
	g.Expect(far).To(ConsistOf(gatewayAt(1, 2)))
}

func TestAGatewayThatTellsNoDomainIsToldItself(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	s.hello(gatewayAt(1, 0), peers.Hello{}, now)
	s.hello(gatewayAt(1, 1), peers.Hello{}, now)
	near, far := s.next(now)
	g.Expect(near).To(HaveLen(2))
	g.Expect(far).To(BeEmpty())
}

func TestOneGatewayOfEveryDomainIsToldOfAllLoads(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := threeDomains(now)
	told := map[netip.AddrPort]int{}
	for range 3 {
		list := s.onePerDomain(now)
		g.Expect(list).To(HaveLen(3))
		for _, a := range list {
			told[a]++
		}
	}
	g.Expect(told).To(HaveLen(9), "another one each time")
}

// A sidecar does not hear of all gateways, so one of a domain with many tells the others there.
func TestOneOfManyGatewaysOfTheOwnDomainIsTold(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	for n := range mostDirect {
		s.hello(gatewayAt(0, n), peers.Hello{Domain: "a"}, now)
	}
	near, far := s.next(now)
	g.Expect(near).To(HaveLen(mostDirect))
	g.Expect(far).To(BeEmpty())
	s.hello(gatewayAt(0, mostDirect), peers.Hello{Domain: "a"}, now)
	near, far = s.next(now)
	g.Expect(near).To(BeEmpty())
	g.Expect(far).To(HaveLen(1))
}

func TestGatewaysThatOthersNameAreTold(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	s.hello(gatewayAt(0, 0), peers.Hello{Domain: "a", Incarnation: 1, GatewayCount: 500}, now)
	s.hearOf(gatewayAt(1, 0), "b", now.Add(-subscribed+time.Second))
	s.hearOf(gatewayAt(0, 0), "a", now.Add(-subscribed))
	g.Expect(s.onePerDomain(now)).To(ConsistOf(gatewayAt(0, 0), gatewayAt(1, 0)))
	g.Expect(s.gateways()).To(Equal(500))
	g.Expect(s.hello(gatewayAt(0, 0), peers.Hello{Domain: "a", Incarnation: 1}, now)).To(BeFalse())
	g.Expect(s.hello(gatewayAt(1, 0), peers.Hello{Domain: "b", Incarnation: 1}, now)).To(BeTrue(), "it was known by hearsay only")
	later := now.Add(2 * time.Second)
	s.hello(gatewayAt(0, 0), peers.Hello{Domain: "a", Incarnation: 1}, later)
	s.hearOf(gatewayAt(1, 1), "b", later)
	s.hello(gatewayAt(1, 0), peers.Hello{Domain: "b", Incarnation: 1, GatewayCount: 7}, now.Add(-time.Hour))
	g.Expect(s.onePerDomain(later)).To(ConsistOf(gatewayAt(0, 0), gatewayAt(1, 1)), "an older word lapses")
}

// A sidecar whose leader tells for it tells nobody, so it forgets nobody either; one that was
// cut off is still to be told at once when it is back.
func TestAGatewayThatWasAwayIsFresh(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	h := peers.Hello{Domain: "b", Incarnation: 1}
	g.Expect(s.hello(gatewayAt(1, 0), h, now)).To(BeTrue())
	g.Expect(s.hello(gatewayAt(1, 0), h, now.Add(subscribed))).To(BeFalse())
	g.Expect(s.hello(gatewayAt(1, 0), h, now.Add(2*subscribed+time.Millisecond))).To(BeTrue())
}
