// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// splitForHello splits a list into parts that fit into one hello each. It returns at least one
// part.
func splitForHello(list []roster.Member) (parts [][]roster.Member) {
	parts = slices.Collect(slices.Chunk(list, peers.MaxKnownGateways))
	if len(parts) == 0 {
		return [][]roster.Member{nil}
	}
	return parts
}

// toKnown converts gateways to the form of a hello. Gateways whose address is not an IP address and
// port are omitted.
func toKnown(list []roster.Member) (known []peers.DomainGateways) {
	at := map[string]int{} // Indexes in known, by failure domain.
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
		known[i].Gateways = append(known[i].Gateways, peers.KnownGateway{Address: raw, AgeMs: s.Age.Milliseconds(), StoreUnreachable: s.StoreUnreachable, Leaving: s.Leaving})
	}
	return known
}

// fromKnown returns the gateways that a hello lists. Invalid ones are omitted; the error is that of
// the last of them.
func fromKnown(known []peers.DomainGateways) (list []roster.Member, err error) {
	for _, k := range known {
		for _, g := range k.Gateways {
			a, invalid := g.PeerAddress()
			if invalid != nil {
				err = errors.Wrap(invalid, k.Domain)
				continue
			}
			s := roster.Member{Age: g.Age()}
			s.Address, s.Domain, s.StoreUnreachable, s.Leaving = a.String(), k.Domain, g.StoreUnreachable, g.Leaving
			list = append(list, s)
		}
	}
	return list, err
}
