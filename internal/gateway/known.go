// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// inPackets splits a list so that each part fits into one hello; it returns one part at
// least.
func inPackets(list []roster.Member) (parts [][]roster.Member) {
	parts = slices.Collect(slices.Chunk(list, peers.MaxKnownGateways))
	if len(parts) == 0 {
		return [][]roster.Member{nil}
	}
	return parts
}

// knownOf returns gateways as a hello names them. One whose address is no IP number and port
// cannot be named.
func knownOf(list []roster.Member) (known []peers.DomainGateways) {
	at := map[string]int{} // Places in known, by failure domain.
	for _, s := range list {
		raw, err := peers.PackAddress(s.Address)
		if err != nil {
			continue
		}
		i, ok := at[s.Domain]
		if !ok {
			i = len(known)
			at[s.Domain] = i
			known = append(known, peers.DomainGateways{Domain: s.Domain})
		}
		known[i].Gateways = append(known[i].Gateways, peers.KnownGateway{Address: raw, AgeMs: s.Age.Milliseconds(), StoreUnreachable: s.StoreUnreachable, Leaving: s.Stopping})
	}
	return known
}

// seenOf returns the gateways that a hello names. Those that cannot be read are left out; the
// error tells of the last one.
func seenOf(known []peers.DomainGateways) (list []roster.Member, err error) {
	for _, k := range known {
		for _, g := range k.Gateways {
			a, bad := g.PeerAddress()
			if bad != nil {
				err = errors.Wrap(bad, k.Domain)
				continue
			}
			s := roster.Member{Age: g.Age()}
			s.Address, s.Domain, s.StoreUnreachable, s.Stopping = a.String(), k.Domain, g.StoreUnreachable, g.Leaving
			list = append(list, s)
		}
	}
	return list, err
}
