// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// takeLoad takes in the load of one engine, and passes it on if asked to.
func (n *PeerExchange) takeLoad(l peers.Load) {
	if l.Forward {
		l.Forward = false
		n.passOn(peers.Message{Load: &l})
	}
	n.g.hearSenders(l.GatewayCount, time.Now())
	n.g.ReportLoad(l.Address, balance.Load{
		StartedAt: l.StartedAt, Running: l.Running, Waiting: l.Waiting, Group: l.Group, Epoch: l.Epoch, Closed: l.Closed, Slowdown: l.Slowdown, PassTime: time.Duration(l.PassMs) * time.Millisecond, At: time.Now(),
	})
}

// takeLoads takes in the loads of ranks of a group, and passes them on if asked to.
func (n *PeerExchange) takeLoads(l peers.Loads) {
	if l.Forward {
		l.Forward = false
		n.passOn(peers.Message{Loads: &l})
	}
	now := time.Now()
	n.g.hearSenders(l.GatewayCount, now)
	n.g.hearLimit(l.Group, float64(l.LimitPerRank), now)
	for _, r := range l.Ranks {
		a, err := r.EngineAddress()
		if err != nil {
			n.log.Warn("load left out", zap.String("group", l.Group), zap.String("error", err.Error()))
			continue
		}
		n.g.ReportLoad(a.String(), balance.Load{
			Running: r.Running, Waiting: r.Waiting, Group: l.Group, Epoch: l.Epoch, Closed: l.Closed, Slowdown: float64(r.Slowdown), PassTime: time.Duration(l.PassMs) * time.Millisecond, At: now,
		})
	}
}

// passOn tells loads to the other gateways of the own failure domain.
func (n *PeerExchange) passOn(m peers.Message) {
	var to []string
	duty.Locked(&n.mu, func() {
		for _, g := range n.roster.Alive(time.Now()) {
			if g.Domain == n.domain {
				to = append(to, g.Address)
			}
		}
	})
	n.socket.SendAll(addresses(to), m)
}
