// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

const borrowerAddress = "10.0.0.1:80"

// newLender returns a gateway that has a share of the rate limit of the endpoint "i", beside one
// other gateway.
func newLender(t *testing.T) testPeer {
	n := newTestPeer(t, 1)
	n.withSocket(t)
	n.setAddress(n.socket.Address())
	n.g.setLimitGateways(n.self, []string{borrowerAddress})
	n.g.limits.RecordAnswer("i", throttle.Report{Limited: true, Limit: 1, At: n.g.cfg.Now()})
	return n
}

func TestInvalidMessagesAboutSharesAreIgnored(t *testing.T) {
	valid := peers.ShareMessage{Kind: int(throttle.Borrow), Endpoint: "i", RequestNumber: 1}
	change := func(f func(p *peers.ShareMessage)) peers.Lending {
		p := valid
		f(&p)
		return peers.Lending{Address: borrowerAddress, Shares: []peers.ShareMessage{p}}
	}
	assertLeft := func(t *testing.T, m peers.Lending, lent, bad int64) {
		t.Helper()
		g := NewWithT(t)
		n := newLender(t)
		n.Receive(netip.AddrPort{}, peers.Message{Lending: &m})
		g.Expect(n.g.stats.sharesLent.Count()).To(Equal(lent))
		g.Expect(n.g.stats.sharesInvalid.Count()).To(Equal(bad))
	}
	t.Run("valid", func(t *testing.T) { assertLeft(t, change(func(*peers.ShareMessage) {}), 1, 0) })
	for name, m := range map[string]peers.Lending{
		"kind 0":                change(func(p *peers.ShareMessage) { p.Kind = 0 }),
		"kind 6":                change(func(p *peers.ShareMessage) { p.Kind = 6 }),
		"kind below 0":          change(func(p *peers.ShareMessage) { p.Kind = -1 }),
		"no endpoint":           change(func(p *peers.ShareMessage) { p.Endpoint = "" }),
		"a long endpoint":       change(func(p *peers.ShareMessage) { p.Endpoint = strings.Repeat("i", maxEndpointIDBytes+1) }),
		"number 0":              change(func(p *peers.ShareMessage) { p.RequestNumber = 0 }),
		"tokens below 0":        change(func(p *peers.ShareMessage) { p.Tokens = -1 }),
		"tokens not a number":   change(func(p *peers.ShareMessage) { p.Tokens = math.NaN() }),
		"infinite tokens":       change(func(p *peers.ShareMessage) { p.Tokens = math.Inf(1) }),
		"a time below 0":        change(func(p *peers.ShareMessage) { p.LeaseMs = -1 }),
		"a time that overflows": change(func(p *peers.ShareMessage) { p.LeaseMs = math.MaxInt64 }),
		"an unknown gateway":    {Address: "10.0.0.9:80", Shares: []peers.ShareMessage{valid}},
		"no gateway":            {Shares: []peers.ShareMessage{valid}},
		"too many parts":        {Address: borrowerAddress, Shares: make([]peers.ShareMessage, peers.MaxShares+1)},
	} {
		t.Run(name, func(t *testing.T) { assertLeft(t, m, 0, 1) })
	}
	t.Run("its own address", func(t *testing.T) {
		n := newLender(t)
		n.Receive(netip.AddrPort{}, peers.Message{Lending: &peers.Lending{Address: n.self, Shares: []peers.ShareMessage{valid}}})
		NewWithT(t).Expect(n.g.stats.sharesLent.Count()).To(BeZero())
	})
}

func TestMessageAboutSharesFitsAPacket(t *testing.T) {
	g := NewWithT(t)
	m := peers.Message{Lending: &peers.Lending{Address: "100.100.100.100:10000"}}
	for i := range peers.MaxShares {
		m.Lending.Shares = append(m.Lending.Shares, peers.ShareMessage{Kind: int(throttle.Grant), Endpoint: fmt.Sprintf("%s-%d@1786946211702", strings.Repeat("x", 24), i), RequestNumber: time.Now().UnixNano(), Tokens: 0.123, LeaseMs: 1000})
	}
	expectFitsPacket(g, m)
}

// Callers are asked to retry when the borrowed shares have capacity.
func TestRetryAfterAccountsForBorrowedShares(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, newStreamingEndpoint(0))
	q := &request{g: s.Gateway, service: "s", exclusion: exclusion{rate: 4}}
	s.setLimitGateways("10.0.0.2:80", []string{"10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80"})
	g.Expect(q.exclusionRetry()).To(BeNumerically("~", time.Second, 50*time.Millisecond))
	s.backlogs = map[string]*throttle.Backlog{}
	q.exclusion.localRate = 4
	g.Expect(q.exclusionRetry()).To(BeNumerically("~", 250*time.Millisecond, 50*time.Millisecond))
}
