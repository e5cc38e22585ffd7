// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// receiveLoad records the load of one engine. If asked to, it forwards the load, and its recipients
// do not forward it again.
func (n *PeerExchange) receiveLoad(l peers.Load) {
	if l.Forward {
		l.Forward = false
		n.forward(peers.Message{Load: &l})
	}
	n.g.recordGatewayCount(l.GatewayCount, time.Now())
	n.g.ReportLoad(l.Address, balance.Load{
		StartedAt: l.StartedAt, Running: l.Running, Waiting: l.Waiting, Group: l.Group, Epoch: l.Epoch, Closed: l.Closed, Slowdown: l.Slowdown, PassTime: time.Duration(l.PassMs) * time.Millisecond, At: time.Now(),
	})
}

// receiveLoads records the loads of ranks of a group, and the limit that the group's leader
// announced. If asked to, it forwards them, and their recipients do not forward them again.
func (n *PeerExchange) receiveLoads(l peers.Loads) {
	if l.Forward {
		l.Forward = false
		n.forward(peers.Message{Loads: &l})
	}
	now := time.Now()
	n.g.recordGatewayCount(l.GatewayCount, now)
	n.g.setGroupLimit(l.Group, float64(l.LimitPerRank), now)
	for _, r := range l.Ranks {
		a, err := r.EngineAddress()
		if err != nil {
			n.log.Warn("ignored the load of a rank with an invalid address", zap.String("group", l.Group), zap.String("error", err.Error()))
			continue
		}
		n.g.ReportLoad(a.String(), balance.Load{
			Running: r.Running, Waiting: r.Waiting, Group: l.Group, Epoch: l.Epoch, Closed: l.Closed, Slowdown: float64(r.Slowdown), PassTime: time.Duration(l.PassMs) * time.Millisecond, At: now,
		})
	}
}

// forward sends a message with loads to the other live gateways of the own failure domain.
func (n *PeerExchange) forward(m peers.Message) {
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
