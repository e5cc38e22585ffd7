// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// leadEvery and leadLapse are the times of leadership: a leader tells of itself
// several times before the others take it as gone.
const (
	leadEvery = 200 * time.Millisecond
	leadLapse = 900 * time.Millisecond
	// tellsFor is how long after it told the loads of all ranks a leader says that it tells
	// them: a look at a group with a silent rank takes half of it.
	tellsFor = 600 * time.Millisecond
	// leadStagger keeps the next ranks from taking over at once together.
	leadStagger = 120 * time.Millisecond
)

// leadership is what a sidecar heard of its group's leader.
type leadership struct {
	heard peers.Lead
	from  netip.Addr // Of the instance that it came from.
	at    time.Time
	led   peers.Lead // The last one that had taken the lead: its fence is told.
	ledAt time.Time  // When that was last heard.
}

// hearLead takes in that a sidecar on an instance leads.
func (s *Sidecar) hearLead(from netip.Addr, l peers.Lead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Group != s.report.Group {
		return
	}
	s.lead.heard, s.lead.at, s.lead.from = l, time.Now(), from
	if l.Fence != 0 {
		s.lead.led, s.lead.ledAt = l, s.lead.at
	}
}

// resign drops what belongs to leading.
func (l *leader) resign(cause string) {
	if l.machine != nil {
		l.s.log.Info("leads no more", zap.String("cause", cause), zap.Uint64("epoch", l.epoch))
	}
	l.machine, l.byRank = nil, nil
	l.planner = planner{}
	l.s.setLeading(nil, peers.Lead{})
}

// leads reports whether this sidecar is to lead: it does already and hears of
// no lower rank, or it has heard of no leader for long enough and of no lower
// rank that is about to lead.
func (l *leader) leads(own rank.Report) bool {
	var lead leadership
	duty.Locked(&l.s.mu, func() { lead = l.s.lead })
	now := time.Now()
	recent := func(o peers.Lead, at time.Time) bool {
		return o.Epoch == own.Epoch && o.Rank != own.Rank && now.Sub(at) < leadLapse
	}
	lower := recent(lead.heard, lead.at) && lead.heard.Rank < own.Rank
	if l.machine != nil {
		return !lower
	}
	if lower || recent(lead.led, lead.ledAt) {
		return false
	}
	since := l.openedAt
	if own.Rank > 0 {
		since = since.Add(leadLapse) // The lowest rank is given time to begin.
	}
	if lead.led.Epoch == own.Epoch && lead.ledAt.Add(leadLapse).After(since) {
		since = lead.ledAt.Add(leadLapse)
	}
	return now.Sub(since) >= time.Duration(own.Rank)*leadStagger
}

// passOver marks the rank that led before as one that is silent: it is not asked to
// ask others, who would be missed with it.
func (l *leader) passOver(now time.Time) {
	var lead leadership
	duty.Locked(&l.s.mu, func() { lead = l.s.lead })
	if now.Sub(lead.at) < leadLapse {
		return
	}
	for _, m := range l.all {
		if a, err := netip.ParseAddrPort(m.endpoint.Address); err == nil && a.Addr() == lead.from.Unmap() {
			m.missed = m.missed || m.seen.Before(lead.at.Add(leadLapse))
		}
	}
}

// outbid drops the machine when a higher rank has led with a higher fence in the
// meantime: its orders would be refused, and it will stand back.
func (l *leader) outbid(own rank.Report) {
	var heard peers.Lead
	duty.Locked(&l.s.mu, func() { heard = l.s.lead.heard })
	if l.machine == nil || heard.Epoch != own.Epoch || heard.Rank <= own.Rank || heard.Fence < l.fence {
		return
	}
	l.s.log.Info("fence raised", zap.Uint64("fence", l.fence), zap.Uint64("heard", heard.Fence), zap.Int("from-rank", heard.Rank))
	l.fence = heard.Fence + fencesPerMilli
	l.machine = nil
}

// setLeading tells the duty that announces the leader whom to tell what; it is
// apart, since a round of orders may take longer than a leader may be silent. Ranks that are
// known to be in another group are not told: leaders of many groups would each tell all
// ranks of the service.
func (s *Sidecar) setLeading(all []*member, lead peers.Lead) {
	now := time.Now()
	to := make([]netip.AddrPort, 0, len(all))
	for _, m := range all {
		if m.inOtherGroup(rank.Report{Group: lead.Group}, now) {
			continue
		}
		a, err := peers.SidecarAddress(m.endpoint.Address, s.cfg.PeersPort)
		if err != nil {
			s.log.Warn("rank not told of its leader", zap.String("error", err.Error()))
			continue
		}
		if m.endpoint.Address != s.cfg.Address {
			to = append(to, a)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading, s.tellTo = lead, to
}

// tellLead announces the leader, if it is this one.
func (s *Sidecar) tellLead(context.Context) {
	var lead peers.Lead
	var to []netip.AddrPort
	duty.Locked(&s.mu, func() {
		lead, to = s.leading, s.tellTo
		lead.SendsLoads = time.Since(s.toldAllAt) < tellsFor
	})
	for _, a := range to {
		s.socket.Send(a, peers.Message{Lead: &lead})
	}
}

// deposed reacts to a higher fence: in the first orders it may be an earlier
// leader's, whose clock ran ahead; later it is a new leader's.
func (l *leader) deposed() {
	l.s.log.Warn("fence refused", zap.Uint64("fence", l.fence), zap.Int("gained", l.machine.Completed))
	l.fence += fenceStep
	l.resign("a higher fence")                 // Refused once: the same fence is not used again.
	l.openedAt = time.Now().Add(2 * leadEvery) // Whoever leads is heard until then.
}
