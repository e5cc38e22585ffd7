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

func gatewayAddress(domain, n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:7000", domain, n))
}

// threeDomainSubscribers returns three gateways in each of the domains a, b and c, whose hellos
// arrived now.
func threeDomainSubscribers(now time.Time) subscribers {
	s := newSubscribers("a")
	for n := range 3 {
		for d, name := range []string{"a", "b", "c"} {
			s.recordHello(gatewayAddress(d, n), peers.Hello{Domain: name}, now)
		}
	}
	return s
}

func TestOneGatewayOfEachOtherDomainIsTargeted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := threeDomainSubscribers(now)
	sent := map[netip.AddrPort]int{}
	for range 6 {
		direct, relays := s.nextTargets(now)
		g.Expect(direct).To(ConsistOf(gatewayAddress(0, 0), gatewayAddress(0, 1), gatewayAddress(0, 2)))
		g.Expect(relays).To(HaveLen(2))
		for _, a := range relays {
			sent[a]++
		}
	}
	g.Expect(sent).To(HaveLen(6), "each in turn")
	for a, n := range sent {
		g.Expect(n).To(Equal(2), "%v", a)
	}
}

func TestSubscriptionsOfSilentGatewaysExpire(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := threeDomainSubscribers(now)
	later := now.Add(subscriptionTTL + time.Second)
	s.recordHello(gatewayAddress(1, 2), peers.Hello{Domain: "b"}, later)
	direct, relays := s.nextTargets(later)
	g.Expect(direct).To(BeEmpty())
	g.Expect(relays).To(ConsistOf(gatewayAddress(1, 2)))
}

func TestGatewayWithoutDomainIsTargetedDirectly(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	s.recordHello(gatewayAddress(1, 0), peers.Hello{}, now)
	s.recordHello(gatewayAddress(1, 1), peers.Hello{}, now)
	direct, relays := s.nextTargets(now)
	g.Expect(direct).To(HaveLen(2))
	g.Expect(relays).To(BeEmpty())
}

func TestOneGatewayOfEachDomainReceivesGroupLoads(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := threeDomainSubscribers(now)
	sent := map[netip.AddrPort]int{}
	for range 3 {
		list := s.nextRelays(now)
		g.Expect(list).To(HaveLen(3))
		for _, a := range list {
			sent[a]++
		}
	}
	g.Expect(sent).To(HaveLen(9), "a different gateway each time")
}

// A sidecar does not know all gateways, so one gateway of a domain with many forwards loads to the
// others.
func TestOneGatewayRelaysInALargeOwnDomain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	for n := range maxDirectGateways {
		s.recordHello(gatewayAddress(0, n), peers.Hello{Domain: "a"}, now)
	}
	direct, relays := s.nextTargets(now)
	g.Expect(direct).To(HaveLen(maxDirectGateways))
	g.Expect(relays).To(BeEmpty())
	s.recordHello(gatewayAddress(0, maxDirectGateways), peers.Hello{Domain: "a"}, now)
	direct, relays = s.nextTargets(now)
	g.Expect(direct).To(BeEmpty())
	g.Expect(relays).To(HaveLen(1))
}

func TestGatewaysKnownFromOthersAreTargeted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	s.recordHello(gatewayAddress(0, 0), peers.Hello{Domain: "a", Incarnation: 1, GatewayCount: 500}, now)
	s.addKnown(gatewayAddress(1, 0), "b", now.Add(-subscriptionTTL+time.Second))
	s.addKnown(gatewayAddress(0, 0), "a", now.Add(-subscriptionTTL))
	g.Expect(s.nextRelays(now)).To(ConsistOf(gatewayAddress(0, 0), gatewayAddress(1, 0)))
	g.Expect(s.gatewayCount()).To(Equal(500))
	g.Expect(s.recordHello(gatewayAddress(0, 0), peers.Hello{Domain: "a", Incarnation: 1}, now)).To(BeFalse())
	g.Expect(s.recordHello(gatewayAddress(1, 0), peers.Hello{Domain: "b", Incarnation: 1}, now)).To(BeTrue(), "it was known only from another gateway")
	later := now.Add(2 * time.Second)
	s.recordHello(gatewayAddress(0, 0), peers.Hello{Domain: "a", Incarnation: 1}, later)
	s.addKnown(gatewayAddress(1, 1), "b", later)
	s.recordHello(gatewayAddress(1, 0), peers.Hello{Domain: "b", Incarnation: 1, GatewayCount: 7}, now.Add(-time.Hour))
	g.Expect(s.nextRelays(later)).To(ConsistOf(gatewayAddress(0, 0), gatewayAddress(1, 1)), "an older report expires")
}

// A sidecar whose leader sends its load sends nothing itself and therefore removes no expired
// gateways. A gateway that was disconnected must still receive the load immediately when it
// reconnects.
func TestGatewayIsNewAfterExpiry(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	h := peers.Hello{Domain: "b", Incarnation: 1}
	g.Expect(s.recordHello(gatewayAddress(1, 0), h, now)).To(BeTrue())
	g.Expect(s.recordHello(gatewayAddress(1, 0), h, now.Add(subscriptionTTL))).To(BeFalse())
	g.Expect(s.recordHello(gatewayAddress(1, 0), h, now.Add(2*subscriptionTTL+time.Millisecond))).To(BeTrue())
}
