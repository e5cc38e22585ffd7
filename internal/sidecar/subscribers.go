// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/peers"
)

const (
	// subscriptionTTL is how long a gateway is sent loads after its last hello.
	subscriptionTTL = 4 * time.Second
	// maxDirectGateways is how many gateways of its own failure domain a sidecar sends loads to
	// directly. If there are more, one of them forwards the loads to the rest, as in other domains,
	// so that a sidecar's traffic does not grow with the number of gateways.
	maxDirectGateways = 8
)

// subscriber is a gateway that receives loads.
type subscriber struct {
	address       netip.AddrPort
	domain        string
	incarnation   int64     // Start time of its process, as it reports it; 0 while it is known only from other gateways.
	lastHello     time.Time // Time of its last hello, to this sidecar or to a gateway that listed it.
	gatewaysKnown int       // Number of gateways that it knows, itself included; 0 if not reported.
}

// subscribers are the gateways that receive loads: those that sent this sidecar a hello and those
// that they listed. One gateway of each failure domain is sent the loads and forwards them to the
// rest of the domain, because bandwidth between domains is expensive, and the domain may have more
// gateways than this sidecar knows. The gateway changes each time: if one has failed, the others
// miss one load per rotation until its subscription expires. In a small own domain, all gateways
// are sent loads directly.
type subscribers struct {
	domain   string
	list     []subscriber // Invariant: ordered by domain, then by address.
	rotation int          // Increases with each call of eachDomain; selects the relay of each domain.
}

func newSubscribers(domain string) subscribers { return subscribers{domain: domain} }

// recordHello records a gateway's hello. It returns true if the gateway's process was unknown or its
// subscription had expired.
func (s *subscribers) recordHello(from netip.AddrPort, h peers.Hello, now time.Time) (isNew bool) {
	g, known := s.getOrAdd(from, h.Domain)
	isNew = !known || g.incarnation != h.Incarnation || now.Sub(g.lastHello) > subscriptionTTL
	g.incarnation, g.lastHello, g.gatewaysKnown = h.Incarnation, now, h.GatewayCount
	return isNew
}

// addKnown records that another gateway last received a hello from the gateway at the given time.
func (s *subscribers) addKnown(address netip.AddrPort, domain string, at time.Time) {
	if g, _ := s.getOrAdd(address, domain); at.After(g.lastHello) {
		g.lastHello = at
	}
}

// getOrAdd returns the gateway at an address and adds it if it was unknown. The pointer is valid until
// the list changes.
func (s *subscribers) getOrAdd(address netip.AddrPort, domain string) (g *subscriber, known bool) {
	i, known := slices.BinarySearchFunc(s.list, subscriber{address: address, domain: domain}, func(a, b subscriber) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), a.address.Compare(b.address))
	})
	if !known {
		s.list = slices.Insert(s.list, i, subscriber{address: address, domain: domain})
	}
	return &s.list[i], known
}

// gatewayCount returns the number of gateways, as far as the known ones report it.
func (s *subscribers) gatewayCount() (n int) {
	n = len(s.list)
	for _, g := range s.list {
		n = max(n, g.gatewaysKnown)
	}
	return n
}

// nextTargets returns the gateways to send a load to now: those that need not forward it, and those
// that relay it to their domain. Relays change with each call. Gateways without a domain are all
// sent the load directly.
func (s *subscribers) nextTargets(now time.Time) (direct, relays []netip.AddrPort) {
	s.eachDomain(now, func(domain string, members []subscriber) {
		if domain != "" && (domain != s.domain || len(members) > maxDirectGateways) {
			relays = append(relays, members[s.rotation%len(members)].address)
			return
		}
		for _, g := range members {
			direct = append(direct, g.address)
		}
	})
	return direct, relays
}

// nextRelays returns one gateway of each failure domain, which forwards what it receives. Relays
// change with each call.
func (s *subscribers) nextRelays(now time.Time) (list []netip.AddrPort) {
	s.eachDomain(now, func(_ string, members []subscriber) {
		list = append(list, members[s.rotation%len(members)].address)
	})
	return list
}

// eachDomain removes the gateways whose subscription has expired, advances the rotation, and calls do
// once for each domain with the remaining ones.
func (s *subscribers) eachDomain(now time.Time, do func(domain string, members []subscriber)) {
	s.list = slices.DeleteFunc(s.list, func(g subscriber) bool { return now.Sub(g.lastHello) > subscriptionTTL })
	s.rotation++
	for first := 0; first < len(s.list); {
		end := first
		for end < len(s.list) && s.list[end].domain == s.list[first].domain {
			end++
		}
		do(s.list[first].domain, s.list[first:end])
		first = end
	}
}
