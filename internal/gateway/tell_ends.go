// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/own"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

const (
	// gatherTime is the least time between two messages that tell of ends: the tries at an
	// endpoint that ends break off together, and the first is told at once, all others in
	// one message. It is far below the seconds after which a caller or a group of ranks is
	// there again.
	gatherTime = 10 * time.Millisecond
	// entrusted is how many sidecars are told of ends at a time, drawn anew each time: all
	// know within some hellos of some gateways, and the bytes do not grow with their number.
	entrusted = 4
	// mostNamed is how many rate limits a newcomer is told by each gateway: it hears of the
	// others by its own requests.
	mostNamed = 4 * peers.MaxLimits
)

// tellNews tells all other gateways at once of ends that were seen here, until ctx ends.
// Hellos repeat them, as messages may be lost.
func (n *PeerExchange) tellNews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.g.suspects.Pending():
		case <-n.g.limitNews:
		}
		for n.g.untoldLimits() {
			n.tellLimits()
		}
		for n.g.suspects.HasUnsent() {
			n.socket.SendAll(addresses(n.others()), peers.Message{Ends: n.g.suspects.NextToSend(n.g.cfg.Now())})
		}
		wait.For(ctx, gatherTime)
	}
}

// tellLimits tells all other gateways of rate limits that have changed.
func (n *PeerExchange) tellLimits() {
	list := n.g.toldLimits(func(l *throttle.Limits) []throttle.Update { return l.NextUpdates(peers.MaxLimits) })
	if len(list) > 0 {
		n.socket.SendAll(addresses(n.others()), peers.Message{Limits: list})
	}
}

// tellNewcomer tells a gateway that has just started, or was away, of ends and rate limits.
func (n *PeerExchange) tellNewcomer(to netip.AddrPort) {
	limits := n.g.toldLimits(func(l *throttle.Limits) []throttle.Update { return l.ActiveLimits(mostNamed) })
	for part := range slices.Chunk(limits, peers.MaxLimits) {
		n.socket.Send(to, peers.Message{Limits: part})
	}
	if list := n.g.suspects.ForNewPeer(n.g.cfg.Now()); len(list) > 0 {
		n.socket.Send(to, peers.Message{Ends: list})
	}
}

// entrust tells some sidecars of ends: they tell gateways that have just started.
func (n *PeerExchange) entrust(sidecars []sidecar) {
	if list := n.g.suspects.ForNewPeer(n.g.cfg.Now()); len(list) > 0 {
		n.socket.SendAll(addressesOf(roster.RandomSubset(sidecars, entrusted, random)), peers.Message{Ends: list})
	}
}

// owns reports whether this gateway is the one that tries a request of a key, by the
// gateways that it knows.
func (n *PeerExchange) owns(k quarantine.Key) bool {
	return own.Owner(k.String(), append(n.others(), n.self)) == n.self
}

// addresses returns those of a list that can be read.
func addresses(list []string) (parsed []netip.AddrPort) {
	for _, a := range list {
		if ap, err := netip.ParseAddrPort(a); err == nil {
			parsed = append(parsed, ap)
		}
	}
	return parsed
}
