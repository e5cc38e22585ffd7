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
	// lendInterval is the time between two checks for shares to request or to return, while there
	// may be any.
	lendInterval = 25 * time.Millisecond
	// invalidSharesLogInterval is the least time between two log lines about ignored messages.
	invalidSharesLogInterval = 10 * time.Second
	// maxShareLifetime is the longest lifetime accepted for a share; leases are far shorter.
	maxShareLifetime = time.Hour
)

// signalSharesWanted signals that a request found no token of a rate limit.
func (g *Gateway) signalSharesWanted() {
	select {
	case g.sharesWanted <- struct{}{}:
	default: // The signal is pending already.
	}
}

// lend borrows shares of rate limits from other gateways and gives them back, until ctx is done.
// Another gateway lends its share of an endpoint's rate limit, with its tokens, for a limited time.
func (n *PeerExchange) lend(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.g.sharesWanted:
		}
		for n.sendDueShares() && ctx.Err() == nil {
			wait.For(ctx, lendInterval)
		}
	}
}

// sendDueShares sends the messages about shares that are due: requests to borrow and returns. It
// reports whether more may become due without another signal of sharesWanted.
func (n *PeerExchange) sendDueShares() (more bool) {
	now := n.g.cfg.Now()
	var messages []throttle.Outgoing
	duty.Locked(&n.g.mu, func() {
		messages = n.g.limits.OutgoingMessages(now)
		more = n.g.limits.HasOpenLoans(now)
	})
	byGateway := map[string][]peers.ShareMessage{}
	for _, l := range messages {
		if l.Kind == throttle.Borrow {
			n.g.stats.sharesAsked.Inc(1)
		}
		byGateway[l.To] = append(byGateway[l.To], toShareMessage(l.ShareMessage))
	}
	for to, shares := range byGateway {
		n.sendSharesTo(to, shares)
	}
	return more
}

func (n *PeerExchange) sendSharesTo(to string, shares []peers.ShareMessage) {
	for list := range slices.Chunk(shares, peers.MaxShares) {
		n.socket.SendAll(addresses([]string{to}), peers.Message{Lending: &peers.Lending{Address: n.self, Shares: list}})
	}
}

// receiveShares handles another gateway's message about shares, and answers it.
func (n *PeerExchange) receiveShares(from netip.AddrPort, m peers.Lending) {
	if cause := n.g.invalidCause(m); cause != "" {
		n.g.recordInvalidShares(from, cause)
		return
	}
	n.sendSharesTo(m.Address, n.g.applyShares(m))
}

// applyShares applies the received messages about shares, and returns the answers to those that
// have one.
func (g *Gateway) applyShares(m peers.Lending) (answers []peers.ShareMessage) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range m.Shares {
		share := throttle.ShareMessage{Kind: throttle.Kind(p.Kind), Endpoint: p.Endpoint, RequestNumber: p.RequestNumber, Tokens: p.Tokens, LeaseTime: p.LeaseTime()}
		answer, ok := g.limits.ReceiveMessage(m.Address, share, now)
		if ok {
			answers = append(answers, toShareMessage(answer))
		}
		if answer.Kind == throttle.Grant {
			g.stats.sharesLent.Inc(1)
		}
		if share.Kind == throttle.Grant {
			g.stats.sharesBorrowed.Inc(1)
		}
	}
	return answers
}

func toShareMessage(p throttle.ShareMessage) peers.ShareMessage {
	return peers.ShareMessage{Kind: int(p.Kind), Endpoint: p.Endpoint, RequestNumber: p.RequestNumber, Tokens: p.Tokens, LeaseMs: p.LeaseTime.Milliseconds()}
}

// invalidCause returns why a message is invalid, or "" if it is valid.
func (g *Gateway) invalidCause(m peers.Lending) string {
	if len(m.Shares) > peers.MaxShares {
		return "too many parts"
	}
	var known bool
	duty.Locked(&g.mu, func() { known = g.limits.HasPeer(m.Address) })
	if !known {
		return "from a gateway that is not known"
	}
	for _, p := range m.Shares {
		if !validShare(p) {
			return "a part with an invalid value"
		}
	}
	return ""
}

func validShare(p peers.ShareMessage) bool {
	return p.Kind >= int(throttle.Borrow) && p.Kind <= int(throttle.Return) &&
		p.Endpoint != "" && len(p.Endpoint) <= maxEndpointIDBytes && p.RequestNumber > 0 &&
		p.Tokens >= 0 && !math.IsInf(p.Tokens, 0) && // False for NaN, too.
		p.LeaseMs >= 0 && p.LeaseMs <= maxShareLifetime.Milliseconds()
}

// recordInvalidShares counts an ignored message and logs it, at most once per
// invalidSharesLogInterval.
func (g *Gateway) recordInvalidShares(from netip.AddrPort, cause string) {
	g.stats.sharesInvalid.Inc(1)
	now := g.cfg.Now()
	var loggedLately bool
	duty.Locked(&g.mu, func() {
		loggedLately = now.Sub(g.invalidSharesLoggedAt) < invalidSharesLogInterval
		if !loggedLately {
			g.invalidSharesLoggedAt = now
		}
	})
	if !loggedLately {
		g.log.Warn("ignored invalid message about parts of rate limits", zap.Stringer("told-by", from), zap.String("cause", cause))
	}
}
