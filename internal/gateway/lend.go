// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

const (
	// lendEvery is the time between two looks at what is to be asked for or given back, while
	// there may be any.
	lendEvery = 25 * time.Millisecond
	// badPartsEvery is the least time between two lines on messages that are left out.
	badPartsEvery = 10 * time.Second
	// longestLent is far above the lease of a part.
	longestLent = time.Hour
)

// wantParts notes that a request found no token of a limit.
func (g *Gateway) wantParts() {
	select {
	case g.partWants <- struct{}{}:
	default: // It is noted already.
	}
}

// lend asks other gateways for parts of limits and gives them back, until ctx ends.
func (n *PeerExchange) lend(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.g.partWants:
		}
		for n.sendParts() && ctx.Err() == nil {
			wait.For(ctx, lendEvery)
		}
	}
}

// sendParts sends what is due; it reports whether more may fall due without another request.
func (n *PeerExchange) sendParts() (more bool) {
	now := n.g.cfg.Now()
	var letters []throttle.Outgoing
	duty.Locked(&n.g.mu, func() {
		letters = n.g.limits.OutgoingMessages(now)
		more = n.g.limits.HasOpenLoans(now)
	})
	by := map[string][]peers.ShareMessage{}
	for _, l := range letters {
		if l.Kind == throttle.Borrow {
			n.g.figures.asked.Inc(1)
		}
		by[l.To] = append(by[l.To], partOf(l.ShareMessage))
	}
	for to, parts := range by {
		n.tellParts(to, parts)
	}
	return more
}

func (n *PeerExchange) tellParts(to string, parts []peers.ShareMessage) {
	for list := range slices.Chunk(parts, peers.MaxShares) {
		n.socket.SendAll(addresses([]string{to}), peers.Message{Lending: &peers.Lending{Address: n.self, Shares: list}})
	}
}

// hearParts takes in what another gateway says of parts, and answers it.
func (n *PeerExchange) hearParts(from netip.AddrPort, m peers.Lending) {
	if bad := n.g.badParts(m); bad != "" {
		n.g.leaveOut(from, bad)
		return
	}
	n.tellParts(m.Address, n.g.takeParts(m))
}

// takeParts takes in parts and returns what is answered.
func (g *Gateway) takeParts(m peers.Lending) (answers []peers.ShareMessage) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range m.Shares {
		part := throttle.ShareMessage{Kind: throttle.Kind(p.Kind), Endpoint: p.Endpoint, RequestNumber: p.RequestNumber, Tokens: p.Tokens, LeaseTime: p.LeaseTime()}
		answer, ok := g.limits.ReceiveMessage(m.Address, part, now)
		if ok {
			answers = append(answers, partOf(answer))
		}
		if answer.Kind == throttle.Grant {
			g.figures.lent.Inc(1)
		}
		if part.Kind == throttle.Grant {
			g.figures.borrowed.Inc(1)
		}
	}
	return answers
}

func partOf(p throttle.ShareMessage) peers.ShareMessage {
	return peers.ShareMessage{Kind: int(p.Kind), Endpoint: p.Endpoint, RequestNumber: p.RequestNumber, Tokens: p.Tokens, LeaseMs: p.LeaseTime.Milliseconds()}
}

// badParts says what is not valid in a message, "" where all is.
func (g *Gateway) badParts(m peers.Lending) string {
	if len(m.Shares) > peers.MaxShares {
		return "too many parts"
	}
	var known bool
	duty.Locked(&g.mu, func() { known = g.limits.HasPeer(m.Address) })
	if !known {
		return "of a gateway that is not heard"
	}
	for _, p := range m.Shares {
		if !validPart(p) {
			return "a part with a value that it cannot have"
		}
	}
	return ""
}

func validPart(p peers.ShareMessage) bool {
	return p.Kind >= int(throttle.Borrow) && p.Kind <= int(throttle.Return) &&
		p.Endpoint != "" && len(p.Endpoint) <= longestID && p.RequestNumber > 0 &&
		p.Tokens >= 0 && !math.IsInf(p.Tokens, 0) && // No NaN either.
		p.LeaseMs >= 0 && p.LeaseMs <= longestLent.Milliseconds()
}

// leaveOut counts a message that is left out, and logs some.
func (g *Gateway) leaveOut(from netip.AddrPort, cause string) {
	g.figures.badParts.Inc(1)
	now := g.cfg.Now()
	var said bool
	duty.Locked(&g.mu, func() {
		said = now.Sub(g.badPartsAt) < badPartsEvery
		if !said {
			g.badPartsAt = now
		}
	})
	if !said {
		g.log.Warn("parts of rate limits left out", zap.Stringer("told-by", from), zap.String("cause", cause))
	}
}
