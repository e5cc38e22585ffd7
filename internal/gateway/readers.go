// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/follow"
)

// Few gateways of a failure domain read the store. The others wait for news from one of
// them, or, where there are many, from another one that waits itself: each has few
// listeners, so that what is published goes over no link more than some times. Nothing
// depends on their agreeing: a gateway listens to those before it in the order of addresses
// only, and whoever does not hear of anything new enough reads the store itself.
const (
	// readersPerDomain is how many gateways of a domain read the store: with two,
	// the loss of one leaves another that is up to date.
	readersPerDomain = 2
	// mostListeners is how many listeners a gateway has at most: few enough for a whole
	// configuration to reach all of them, over the narrowest link, well within the time for
	// which they wait. Listeners that wait in vain would all read the store at once.
	mostListeners = 8
)

// ReadsStore reports whether this gateway is one of the few of its domain that read
// the store.
func (n *PeerExchange) ReadsStore(able bool) bool {
	duty.Locked(&n.mu, func() { n.blind = !able })
	leaving, _ := n.g.leaving(time.Now())
	if leaving {
		return len(n.readers()) == 0
	}
	if n.settling(time.Now()) {
		return false
	}
	readers, seeing := n.readersThat(able)
	if !able && seeing {
		return false
	}
	before, _ := slices.BinarySearch(readers, n.self)
	return before < readersPerDomain
}

// settling reports whether this gateway has started so lately that it has not
// heard of all others yet. It listens to its seeds then: were it to go by whom it
// has heard of, nearly all gateways would take themselves for one of the few at a
// start of the whole system. Seeds read, and so does whoever hears nothing from
// them.
func (n *PeerExchange) settling(now time.Time) bool {
	return now.Sub(n.started) < heardFor && len(n.seeds) > 0 && !slices.Contains(n.seeds, n.self)
}

// readers returns the other gateways of the domain that read the store, in the
// order in which they do.
func (n *PeerExchange) readers() []string {
	list, _ := n.readersThat(true)
	return list
}

// readersThat returns the other gateways of the domain that can read the store;
// when there are none and this one cannot either, those that try to. Seeing is
// false then.
func (n *PeerExchange) readersThat(able bool) (list []string, seeing bool) {
	var blind []string
	var near []roster.Gateway
	duty.Locked(&n.mu, func() { near = n.roster.SameDomain(time.Now()) })
	for _, g := range near {
		if g.StoreUnreachable {
			blind = append(blind, g.Address)
		} else {
			list = append(list, g.Address)
		}
	}
	seeing = len(list) > 0
	if !seeing && !able {
		list = blind
	}
	return list, seeing
}

// before returns this gateway's place in the order of its failure domain, and those that it
// may listen to: the one that it is a listener of, and those that read the store.
func (n *PeerExchange) before() (list []string, place int) {
	all, _ := n.readersThat(false)
	place, _ = slices.BinarySearch(all, n.self)
	readers := first(readersPerDomain, all)
	if place < readersPerDomain {
		return readers, place
	}
	parent := all[listensTo(place)]
	return append([]string{parent}, keep(readers, func(a string) bool { return a != parent })...), place
}

// listensTo returns the place, in the order of addresses, of the gateway to which the one at a
// place listens that is not among the readers.
func listensTo(place int) int {
	listener := place - readersPerDomain
	if listener < readersPerDomain*mostListeners {
		return listener % readersPerDomain
	}
	return listener / mostListeners
}

// turnMargin is what a gateway's turn to read the store itself keeps from the time
// in which a configuration must be in force: that after which it notices that it
// hears nothing new, and that of reading.
const turnMargin = listenTimeout + 300*time.Millisecond

// PeerSource returns what makes a follower listen to these neighbours.
func (n *PeerExchange) PeerSource() follow.PeerSource {
	return follow.PeerSource{ReadsSource: n.ReadsStore, Fetch: n.FollowPeers, Turn: n.turn, Spread: n.spread}
}

// turn returns this gateway's place among those of its domain, in the order in which
// they read the store: 0 for the first.
func (n *PeerExchange) turn() float64 {
	list, _ := n.readersThat(true)
	before, _ := slices.BinarySearch(list, n.self)
	return float64(before) / float64(len(list)+1)
}
