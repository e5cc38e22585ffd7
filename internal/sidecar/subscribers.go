// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// subscribed is how long a gateway gets loads after its last hello.
const subscribed = 4 * time.Second

// subscriber is a gateway that wants loads.
type subscriber struct {
	address netip.AddrPort
	domain  string
	life    int64     // Start of its process, as it tells.
	at      time.Time // Of its last hello.
}

// subscribers are the gateways that want loads. Those of the own failure domain are
// all told; of each other domain one is, which tells the rest there, as bytes
// between domains are dear. It is another one each time: when one is gone, the
// others miss one load in so many, until its hellos have lapsed.
type subscribers struct {
	domain string
	list   []subscriber // Invariant: ordered by domain, then by address.
	turn   int
}

func newSubscribers(domain string) subscribers { return subscribers{domain: domain} }

// hello takes in a gateway's hello; it reports whether its process was not known.
func (s *subscribers) hello(from netip.AddrPort, domain string, life int64, now time.Time) (fresh bool) {
	i, ok := slices.BinarySearchFunc(s.list, subscriber{address: from, domain: domain}, func(a, b subscriber) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), a.address.Compare(b.address))
	})
	if !ok {
		s.list = slices.Insert(s.list, i, subscriber{address: from, domain: domain})
	}
	fresh = !ok || s.list[i].life != life
	s.list[i].life, s.list[i].at = life, now
	return fresh
}

// next returns whom to tell now: gateways that need not pass it on, and those that
// do.
func (s *subscribers) next(now time.Time) (near, far []netip.AddrPort) {
	s.eachDomain(now, func(domain string, members []subscriber) {
		if domain != s.domain && domain != "" {
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
