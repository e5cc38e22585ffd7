// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// leadInterval and leadTimeout are the times of leadership: a leader announces itself several times
// before the other ranks consider it lost.
const (
	leadInterval = 200 * time.Millisecond
	leadTimeout  = 900 * time.Millisecond
	// sendsLoadsPeriod is how long after sending the loads of all ranks a leader announces that it
	// sends them. A poll of a group with a silent rank takes half of it.
	sendsLoadsPeriod = 600 * time.Millisecond
	// leadStagger is how much longer each rank waits than the next lower one before it takes over,
	// so that they do not do so at the same time.
	leadStagger = 120 * time.Millisecond
)

// leadership is what a sidecar knows of its group's leader.
type leadership struct {
	announced   peers.Lead
	from        netip.Addr // Address of the announcing instance.
	announcedAt time.Time
	active      peers.Lead // Last announcement with a fence, that is of a leader that had started leading.
	activeAt    time.Time  // When that was last received.
}

// receiveLead records the announcement that a sidecar on another instance leads.
func (s *Sidecar) receiveLead(from netip.Addr, l peers.Lead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Group != s.report.Group {
		return
	}
	s.lead.announced, s.lead.announcedAt, s.lead.from = l, time.Now(), from
	if l.Fence != 0 {
		s.lead.active, s.lead.activeAt = l, s.lead.announcedAt
	}
}

// resign drops the state of leading.
func (l *leader) resign(cause string) {
	if l.machine != nil {
		l.s.log.Info("leadership ended", zap.String("cause", cause), zap.Uint64("epoch", l.epoch))
	}
	l.machine, l.byRank = nil, nil
	l.planner = planner{}
	l.s.setAnnouncement(nil, peers.Lead{})
}

// shouldLead reports whether this sidecar is to lead. A sidecar that leads continues until a lower
// rank announces itself. Any other sidecar does not begin while a lower rank, or a rank that has
// started leading, announces itself. It waits until the group has opened and leadTimeout has passed
// since the last announcement of a rank that had started leading; unless it is the lowest rank,
// leadTimeout must have passed since the group opened, too. Then it waits leadStagger for each lower
// rank.
func (l *leader) shouldLead(own rank.Report) bool {
	var lead leadership
	duty.Locked(&l.s.mu, func() { lead = l.s.lead })
	now := time.Now()
	recent := func(o peers.Lead, at time.Time) bool {
		return o.Epoch == own.Epoch && o.Rank != own.Rank && now.Sub(at) < leadTimeout
	}
	lowerLeads := recent(lead.announced, lead.announcedAt) && lead.announced.Rank < own.Rank
	if l.machine != nil {
		return !lowerLeads
	}
	if lowerLeads || recent(lead.active, lead.activeAt) {
		return false
	}
	since := l.openedAt
	if own.Rank > 0 {
		since = since.Add(leadTimeout) // The lowest rank gets time to start leading.
	}
	if lead.active.Epoch == own.Epoch && lead.activeAt.Add(leadTimeout).After(since) {
		since = lead.activeAt.Add(leadTimeout)
	}
	return now.Sub(since) >= time.Duration(own.Rank)*leadStagger
}

// markSilentLeader marks the rank that announced itself last as silent if its announcements have
// stopped and it has not answered a poll since. Queries are then not relayed through it: the ranks
// below it in the tree would be missed along with it.
func (l *leader) markSilentLeader(now time.Time) {
	var lead leadership
	duty.Locked(&l.s.mu, func() { lead = l.s.lead })
	if now.Sub(lead.announcedAt) < leadTimeout {
		return
	}
	for _, m := range l.members {
		if a, err := netip.ParseAddrPort(m.endpoint.Address); err == nil && a.Addr() == lead.from.Unmap() {
			m.sidecarSilent = m.sidecarSilent || m.lastSeen.Before(lead.announcedAt.Add(leadTimeout))
		}
	}
}

// raiseFence raises the fence and drops the cutover machine if a higher rank has led with at least
// this leader's fence in the meantime. Ranks that have seen a higher fence reject this leader's
// orders. The higher rank will resign, since this rank is lower.
func (l *leader) raiseFence(own rank.Report) {
	var announced peers.Lead
	duty.Locked(&l.s.mu, func() { announced = l.s.lead.announced })
	if l.machine == nil || announced.Epoch != own.Epoch || announced.Rank <= own.Rank || announced.Fence < l.fence {
		return
	}
	l.s.log.Info("fence raised", zap.Uint64("fence", l.fence), zap.Uint64("heard", announced.Fence), zap.Int("from-rank", announced.Rank))
	l.fence = cutover.NextFence(announced.Fence, time.Now(), own.Rank)
	l.machine = nil
}

// setAnnouncement sets what the announcement task sends and to whom. Announcing is a separate task
// because a round of orders may take longer than a leader may be silent. Ranks known to be in
// another group are left out; otherwise the leaders of many groups would each send to all ranks of
// the service.
func (s *Sidecar) setAnnouncement(all []*member, lead peers.Lead) {
	now := time.Now()
	to := make([]netip.AddrPort, 0, len(all))
	for _, m := range all {
		if m.inOtherGroup(rank.Report{Group: lead.Group}, now) {
			continue
		}
		a, err := peers.SidecarAddress(m.endpoint.Address, s.cfg.PeersPort)
		if err != nil {
			s.log.Warn("leader announcement not sent to rank", zap.String("error", err.Error()))
			continue
		}
		if m.endpoint.Address != s.cfg.Address {
			to = append(to, a)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcement, s.announceTo = lead, to
}

// announceLead sends the announcement, if this sidecar leads.
func (s *Sidecar) announceLead(context.Context) {
	var lead peers.Lead
	var to []netip.AddrPort
	duty.Locked(&s.mu, func() {
		lead, to = s.announcement, s.announceTo
		lead.SendsLoads = time.Since(s.groupLoadsSentAt) < sendsLoadsPeriod
	})
	for _, a := range to {
		s.socket.Send(a, peers.Message{Lead: &lead})
	}
}

// deposed resigns after a rank rejected this leader's fence as too low. If that rank rejects the first
// orders, the higher fence may come from an earlier leader whose clock was ahead. If it rejects later
// ones, the higher fence comes from a new leader.
func (l *leader) deposed() {
	l.s.log.Warn("fence rejected", zap.Uint64("fence", l.fence), zap.Int("gained", l.machine.Completed))
	l.fence += fenceIncrement
	l.resign("a higher fence")                    // A rejected fence is not used again.
	l.openedAt = time.Now().Add(2 * leadInterval) // Any other leader will have announced itself by then.
}
