// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func gatewayAt(domain, n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:7000", domain, n))
}

// threeDomains are three gateways in each of the domains a, b and c, heard now.
func threeDomains(now time.Time) subscribers {
	s := newSubscribers("a")
	for n := range 3 {
		for d, name := range []string{"a", "b", "c"} {
			s.hello(gatewayAt(d, n), name, 0, now)
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
	s.hello(gatewayAt(1, 2), "b", 0, later)
	near, far := s.next(later)
	g.Expect(near).To(BeEmpty())
	g.Expect(far).To(ConsistOf(gatewayAt(1, 2)))
}

func TestAGatewayThatTellsNoDomainIsToldItself(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSubscribers("a")
	s.hello(gatewayAt(1, 0), "", 0, now)
	s.hello(gatewayAt(1, 1), "", 0, now)
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
