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
	// subscribed is how long a gateway gets loads after its last hello.
	subscribed = 4 * time.Second
	// mostDirect is how many gateways of the own failure domain are told one by one. Where
	// there are more, one of them tells the rest, as in other domains: what a sidecar sends
	// does not grow with the gateways.
	mostDirect = 8
)

// subscriber is a gateway that wants loads.
type subscriber struct {
	address netip.AddrPort
	domain  string
	life    int64     // Start of its process, as it tells; 0 while it is known by hearsay only.
	at      time.Time // Of its last hello.
	knows   int       // Gateways that it knows of, itself included; 0 when it does not tell.
}

// subscribers are gateways that want loads: those that greeted this sidecar and those that
// they named. Of each failure domain one is told, which tells the rest there: bytes
// between domains are dear, and there may be more gateways than are known here. It is
// another one each time: when one is gone, the others miss one load in so many, until its
// hellos have lapsed. The few of a small own domain are told one by one.
type subscribers struct {
	domain string
	list   []subscriber // Invariant: ordered by domain, then by address.
	turn   int
}

func newSubscribers(domain string) subscribers { return subscribers{domain: domain} }

// hello takes in a gateway's hello; it reports whether its process was not known, or not heard
// for so long that it gets no loads any more.
func (s *subscribers) hello(from netip.AddrPort, h peers.Hello, now time.Time) (fresh bool) {
	g, known := s.of(from, h.Domain)
	fresh = !known || g.life != h.Incarnation || now.Sub(g.at) > subscribed
	g.life, g.at, g.knows = h.Incarnation, now, h.GatewayCount
	return fresh
}

// hearOf takes in that a gateway was heard by another one at a moment.
func (s *subscribers) hearOf(address netip.AddrPort, domain string, at time.Time) {
	if g, _ := s.of(address, domain); at.After(g.at) {
		g.at = at
	}
}

// of returns the gateway at an address, which is added where it was not known.
func (s *subscribers) of(address netip.AddrPort, domain string) (g *subscriber, known bool) {
	i, known := slices.BinarySearchFunc(s.list, subscriber{address: address, domain: domain}, func(a, b subscriber) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), a.address.Compare(b.address))
	})
	if !known {
		s.list = slices.Insert(s.list, i, subscriber{address: address, domain: domain})
	}
	return &s.list[i], known
}

// gateways returns how many gateways there are, by what those known here tell.
func (s *subscribers) gateways() (n int) {
	n = len(s.list)
	for _, g := range s.list {
		n = max(n, g.knows)
	}
	return n
}

// next returns whom to tell now: gateways that need not pass it on, and those that
// do.
func (s *subscribers) next(now time.Time) (near, far []netip.AddrPort) {
	s.eachDomain(now, func(domain string, members []subscriber) {
		if domain != "" && (domain != s.domain || len(members) > mostDirect) {
			far = append(far, members[s.turn%len(members)].address)
			return
		}
		for _, g := range members {
			near = append(near, g.address)
		}
	})
	return near, far
}

// onePerDomain returns a gateway of each failure domain, which passes on what it is
// told.
func (s *subscribers) onePerDomain(now time.Time) (list []netip.AddrPort) {
	s.eachDomain(now, func(_ string, members []subscriber) {
		list = append(list, members[s.turn%len(members)].address)
	})
	return list
}

// eachDomain forgets who fell silent and hands over the others, domain by domain.
func (s *subscribers) eachDomain(now time.Time, do func(domain string, members []subscriber)) {
	s.list = slices.DeleteFunc(s.list, func(g subscriber) bool { return now.Sub(g.at) > subscribed })
	s.turn++
	for first := 0; first < len(s.list); {
		end := first
		for end < len(s.list) && s.list[end].domain == s.list[first].domain {
			end++
		}
		do(s.list[first].domain, s.list[first:end])
		first = end
	}
}
