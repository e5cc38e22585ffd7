// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// loadsOf are the loads of so many ranks: rank r runs r requests.
func loadsOf(g *WithT, ranks int) (l peers.Loads) {
	l.Group = "g"
	for r := range ranks {
		raw, err := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", r/200, r%200+1)).MarshalBinary()
		g.Expect(err).NotTo(HaveOccurred())
		l.Ranks = append(l.Ranks, peers.RankLoad{Address: raw, Running: r, Pace: 1.5})
	}
	return l
}

func TestOneMessageTellsTheLoadsOfManyRanks(t *testing.T) {
	g := NewWithT(t)
	l := loadsOf(g, peers.MostRanks)
	raw, err := cbor.Marshal(peers.Message{Loads: &l})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(raw)).To(BeNumerically("<", 1400), "within one packet")
	var m peers.Message
	g.Expect(cbor.Unmarshal(raw, &m)).To(Succeed())

	n := newStation(t, 1)
	var list []fleet.Endpoint
	for r := range peers.MostRanks {
		list = append(list, fleet.Endpoint{ID: fmt.Sprint(r), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", r+1), Revision: 1})
	}
	n.view.Replace(follow.Snapshot{Config: configOf(1), Endpoints: list, At: 1}, time.Now(), false)
	n.Receive(netip.AddrPort{}, m)
	for r := range peers.MostRanks {
		g.Expect(n.g.table.Busy(fmt.Sprint(r), time.Now())).To(Equal(r))
	}
}

func TestALoadThatCannotBeReadIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	n := newStation(t, 1)
	l := loadsOf(g, 2)
	l.Ranks[0].Address = []byte{1, 2}
	n.view.Replace(follow.Snapshot{Config: configOf(1), Endpoints: []fleet.Endpoint{{ID: "b", Service: "s", Address: "10.0.0.2:80", Revision: 1}}, At: 1}, time.Now(), false)
	n.Receive(netip.AddrPort{}, peers.Message{Loads: &l})
	g.Expect(n.g.table.Busy("b", time.Now())).To(Equal(1))
}
