// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

const (
	// announceInterval is the least time between two announcements of ends. The attempts at an
	// ending endpoint are cut together; the first is announced at once, and all others in one
	// message. The interval is far below the seconds after which a caller returns or a group of
	// ranks has restarted.
	announceInterval = 10 * time.Millisecond
	// endsFanout is the number of sidecars, drawn at random each time, to which ends are sent at a
	// time: all sidecars know them after a few hello rounds of a few gateways, and the traffic does
	// not grow with the number of sidecars.
	endsFanout = 4
	// soundPartAnswers is the mean number of answers to the end of a part that all gateways but the
	// sender know to be sound.
	soundPartAnswers = 8
	// maxLimitsToNewcomer is the number of rate limits that each gateway sends to a new gateway,
	// which learns the others from its own requests.
	maxLimitsToNewcomer = 4 * peers.MaxLimits
)

// announceChanges announces ends and changed rate limits seen here to all other gateways at once,
// until ctx is done. An end is that of an endpoint's process during a request. Hellos repeat the
// ends, since messages may be lost.
func (n *PeerExchange) announceChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.g.suspects.Pending():
		case <-n.g.limitsChanged:
		}
		for n.g.hasUnsentLimits() {
			n.announceLimits()
		}
		for n.g.suspects.HasUnsent() {
			n.socket.SendAll(addresses(n.liveGateways()), peers.Message{EndBatch: n.g.suspects.NextToSend(n.g.cfg.Now())})
		}
		wait.For(ctx, announceInterval)
	}
}

// receiveEnds records the ends that another process sent. If that is a gateway, and a part among them is
// proven sound here but not at the sender, it answers with that, unless so many gateways are known that
// others will do so. Sidecars only store ends, and repeat them.
func (n *PeerExchange) receiveEnds(from netip.AddrPort, m peers.Message) {
	n.g.suspects.MarkSoundParts(m.SoundParts)
	sound := n.g.suspects.MergeEnds(m.EndBatch, n.g.cfg.Now())
	fromGateway := m.Load == nil && m.Loads == nil
	if fromGateway && len(sound) > 0 && random(len(n.liveGateways())+1) < soundPartAnswers {
		n.socket.Send(from, peers.Message{SoundParts: sound})
	}
}

// announceLimits sends changed rate limits to all other gateways.
func (n *PeerExchange) announceLimits() {
	list := n.g.limitMessages(func(l *throttle.Limits) []throttle.Update { return l.NextUpdates(peers.MaxLimits) })
	if len(list) > 0 {
		n.socket.SendAll(addresses(n.liveGateways()), peers.Message{Limits: list})
	}
}

// sendStateTo sends ends and rate limits to a gateway that has just started or was unreachable.
func (n *PeerExchange) sendStateTo(to netip.AddrPort) {
	limits := n.g.limitMessages(func(l *throttle.Limits) []throttle.Update { return l.ActiveLimits(maxLimitsToNewcomer) })
	for part := range slices.Chunk(limits, peers.MaxLimits) {
		n.socket.Send(to, peers.Message{Limits: part})
	}
	if ends := n.g.suspects.ForNewPeer(n.g.cfg.Now()); ends.Len() > 0 {
		n.socket.Send(to, peers.Message{EndBatch: ends})
	}
}

// sendEndsToSidecars sends ends to some sidecars, which pass them on to gateways that have just
// started.
func (n *PeerExchange) sendEndsToSidecars(sidecars []sidecar) {
	if ends := n.g.suspects.ForNewPeer(n.g.cfg.Now()); ends.Len() > 0 {
		n.socket.SendAll(addressesOf(roster.RandomSubset(sidecars, endsFanout, random)), peers.Message{EndBatch: ends})
	}
}

// ownsKey reports whether this gateway is the one that runs trials of requests with a key, among
// the gateways that it knows.
func (n *PeerExchange) ownsKey(k quarantine.Key) bool {
	return rendezvous.Owner(k.String(), append(n.liveGateways(), n.self)) == n.self
}

// addresses returns the valid addresses of a list.
func addresses(list []string) (parsed []netip.AddrPort) {
	for _, a := range list {
		if ap, err := netip.ParseAddrPort(a); err == nil {
			parsed = append(parsed, ap)
		}
	}
	return parsed
}
