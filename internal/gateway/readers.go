// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/follow"
)

// Few gateways of a failure domain read the store. The others receive changes by long polls of one
// of them or, if there are many gateways, of another gateway that polls as well. Each gateway has
// few followers, so that the published state crosses a link only a few times. The gateways need not
// agree on this order: a gateway follows only those with lower addresses, and any gateway that
// does not receive recent enough state reads the store itself.
const (
	// readersPerDomain is the number of gateways of a domain that read the store: with two, another
	// up-to-date one remains if one is lost.
	readersPerDomain = 2
	// maxFollowers is the most followers that a gateway has: few enough for a whole configuration
	// to reach all of them, over the slowest link, well within the timeout of their long polls.
	// Followers whose polls time out would all read the store at once.
	maxFollowers = 8
)

// ReadsStore reports whether this gateway is one of the few of its domain that read the store. It
// also records storeReachable, whether this gateway gets answers from the store, for its hellos.
//
// The first of these cases applies:
//   - During a planned stop, it reads the store only if no other gateway of the domain can.
//   - While it is warming up, it does not read the store.
//   - If the store is reachable for other gateways only, it does not read the store.
//   - Otherwise it reads the store if it is among the first readersPerDomain candidates.
func (n *PeerExchange) ReadsStore(storeReachable bool) bool {
	duty.Locked(&n.mu, func() { n.storeUnreachable = !storeReachable })
	leaving, _ := n.g.stopState(time.Now())
	if leaving {
		return len(n.neighboursWithStore()) == 0
	}
	if n.warmingUp(time.Now()) {
		return false
	}
	readers, anyReachable := n.readerCandidates(storeReachable)
	if !storeReachable && anyReachable {
		return false
	}
	place, _ := slices.BinarySearch(readers, n.self)
	return place < readersPerDomain
}

// warmingUp reports whether this gateway started so recently that it may not know all others yet.
// It follows its seeds then: if it went by the gateways known so far, nearly all gateways would
// consider themselves one of the few readers when the whole system starts. Seeds read the store,
// and so does any gateway that receives nothing from them.
func (n *PeerExchange) warmingUp(now time.Time) bool {
	return now.Sub(n.started) < gatewayTTL && len(n.seeds) > 0 && !slices.Contains(n.seeds, n.self)
}

// neighboursWithStore returns the other gateways of the domain that can read the store, whether or
// not they are readers, in the order in which they are chosen as readers.
func (n *PeerExchange) neighboursWithStore() []string {
	list, _ := n.readerCandidates(true)
	return list
}

// readerCandidates returns the other gateways of the domain that can read the store, in the order
// of their addresses. If there are none and this one cannot read it either, by storeReachable, it
// returns those that cannot, the first of which keep trying. AnyReachable reports whether any other
// gateway can read the store.
func (n *PeerExchange) readerCandidates(storeReachable bool) (list []string, anyReachable bool) {
	var unreachable []string
	var near []roster.Gateway
	duty.Locked(&n.mu, func() { near = n.roster.SameDomain(time.Now()) })
	for _, g := range near {
		if g.StoreUnreachable {
			unreachable = append(unreachable, g.Address)
		} else {
			list = append(list, g.Address)
		}
	}
	anyReachable = len(list) > 0
	if !anyReachable && !storeReachable {
		list = unreachable
	}
	return list, anyReachable
}

// followTargets returns the gateways of the failure domain that this one may follow, in the order
// in which to try them, and its place among the gateways of the domain by address. A reader of the
// store may follow the first readersPerDomain other gateways; any other gateway may follow its
// parent, then the readers.
func (n *PeerExchange) followTargets() (list []string, place int) {
	neighbours, _ := n.readerCandidates(false)
	place, _ = slices.BinarySearch(neighbours, n.self)
	readers := firstN(readersPerDomain, neighbours)
	if place < readersPerDomain {
		return readers, place
	}
	parent := neighbours[parentPlace(place)]
	return append([]string{parent}, filter(readers, func(a string) bool { return a != parent })...), place
}

// parentPlace returns the place of the parent of the gateway at a place, which must not be one of
// the readers. Places are those in the order of addresses. The first gateways after the readers are
// divided among the readers in turn, maxFollowers for each. Each further maxFollowers gateways have
// the next gateway as their parent, beginning with the first after the readers.
func parentPlace(place int) int {
	follower := place - readersPerDomain
	if follower < readersPerDomain*maxFollowers {
		return follower % readersPerDomain
	}
	return follower / maxFollowers
}

// turnMargin is subtracted from the time within which a configuration must take effect, to get the
// time over which gateways take turns in reading the store. It covers the time until a gateway
// notices that it receives nothing new, and that of the read.
const turnMargin = longPollTimeout + 300*time.Millisecond

// PeerSource returns the source by which the view follows other gateways.
func (n *PeerExchange) PeerSource() follow.PeerSource {
	return follow.PeerSource{ReadsSource: n.ReadsStore, Fetch: n.FollowPeers, Turn: n.turn, Spread: n.readSpread}
}

// turn returns the place of this gateway, as a fraction in [0, 1), in the order in which the
// gateways of its domain that can read the store take turns.
func (n *PeerExchange) turn() float64 {
	list, _ := n.readerCandidates(true)
	place, _ := slices.BinarySearch(list, n.self)
	return float64(place) / float64(len(list)+1)
}
