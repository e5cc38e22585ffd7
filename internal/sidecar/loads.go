// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/passes"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// Each sidecar tells the load of its own engine, the less often the larger the group is.
// The leader of a large group, which has just asked all ranks, tells in their place, all
// loads in one message a failure domain. Should it fail, each tells for itself again: were
// all to go on meanwhile, what gateways hear would grow with all ranks of all groups.

// ledPoll is the time between two looks whether the leader still tells for a sidecar, by
// which it hears again of its own engine: below the time for which a report counts.
const ledPoll = 250 * time.Millisecond

// hearHello takes in a gateway's hello. One that was not known has just started or was
// away, and is told at once: it lets nobody in before it hears of a rank.
func (s *Sidecar) hearHello(from netip.AddrPort, h peers.Hello) {
	now := time.Now()
	fresh, load := s.enroll(from, h, now)
	if !fresh {
		return
	}
	m := peers.Message{Load: load, Ends: s.suspects.ForNewPeer(now)}
	if m.Load != nil || len(m.Ends) > 0 {
		s.socket.Send(from, m)
	}
}

// enroll takes in a gateway's hello, and returns what a fresh one is told.
func (s *Sidecar) enroll(from netip.AddrPort, h peers.Hello, now time.Time) (fresh bool, load *peers.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh = s.gateways.hello(from, h, now)
	s.hearOfGateways(h.KnownGateways, now)
	if fresh && !s.reportAt.IsZero() {
		load = s.load(s.report, false)
	}
	return fresh, load
}

// hearOfGateways takes in the gateways that a hello names. The caller holds mu.
func (s *Sidecar) hearOfGateways(known []peers.DomainGateways, now time.Time) {
	for _, k := range known {
		for _, g := range k.Gateways {
			a, err := g.PeerAddress()
			if err != nil {
				s.log.Warn("gateway left out", zap.String("domain", k.Domain), zap.String("error", err.Error()))
				continue
			}
			age := g.Age()
			if !g.Leaving && age >= 0 && age < subscribed {
				s.gateways.hearOf(a, k.Domain, now.Add(-age))
			}
		}
	}
}

// led reports whether a leader of the group tells the own load. The caller holds mu.
func (s *Sidecar) led(now time.Time) bool {
	return s.lead.heard.SendsLoads && s.lead.heard.Group == s.report.Group && now.Sub(s.lead.at) < leadLapse
}

// reportPause is the time between two reports of a sidecar's own load.
func (s *Sidecar) reportPause(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.led(now) {
		return ledPoll
	}
	return ownPause(s.report.Size)
}

// ownPause is the time between two reports of one's own load in a group of a size
// that no leader tells for.
func ownPause(size int) time.Duration {
	return max(reportEvery, time.Duration(size)*perRank)
}

// Pauses of leaders that tell loads.
const (
	// perServiceRank is what one rank of the service, of whatever group, adds to the time
	// between two messages of a leader: gateways hear of 2,000 ranks a second, and of more
	// only where the time would be longer than the next one.
	perServiceRank = 500 * time.Microsecond
	// longestTell is the longest such time. The last word of a leader that was lost must
	// still count when each rank tells for itself again.
	longestTell = 300 * time.Millisecond
)

// tellPause is the time between two messages of a leader to gateways, where so many ranks of
// the service are told of by it and by the leaders of other groups.
func tellPause(ranks int) time.Duration {
	return min(max(reportEvery, time.Duration(ranks)*perServiceRank), longestTell)
}

// tellLoads tells gateways the loads of all ranks that were heard, where that is
// sooner than each tells its own.
func (l *leader) tellLoads(own rank.Report) {
	now := time.Now()
	if ownPause(own.Size) <= reportEvery || now.Sub(l.toldAt) < tellPause(len(l.all)) {
		return
	}
	l.toldAt = now
	s := l.s
	var told peers.Loads
	var to []netip.AddrPort
	duty.Locked(&s.mu, func() {
		pass := s.passes.pass
		told = peers.Loads{Group: own.Group, Closed: s.still, PassMs: int(pass.Milliseconds()), Forward: true}
		told.Epoch, told.GatewayCount = own.Epoch, s.gateways.gateways()
		told.LimitPerRank = float32(l.limit(pass, now))
		to = s.gateways.onePerDomain(now)
		s.toldAllAt = now
	})
	for part := range slices.Chunk(l.rankLoads(), peers.MaxRankLoads) {
		told.Ranks = part
		s.socket.SendAll(to, peers.Message{Loads: &told})
	}
}

// limit returns how many requests a rank of the group may hold in the mean, 0 when that
// is not known, as right after it opened.
func (l *leader) limit(pass time.Duration, now time.Time) (perRank float64) {
	if l.shape == nil || l.shape.WriterTime <= 0 {
		return 0
	}
	ranks := make([]passes.RankReport, 0, len(l.byRank))
	for _, m := range l.byRank {
		if m != nil {
			ranks = append(ranks, passes.RankReport{Running: m.report.Running, PassTime: pass, Slowdown: m.report.Slowdown, At: now})
		}
	}
	perRank, ok := l.limiter.Next(passes.NewShape(l.shape, l.pauseLimit), ranks, now)
	if !ok {
		return 0
	}
	l.s.figures.limit.Update(perRank)
	return perRank
}

// rankLoads returns the loads of the ranks that answered the newest look.
func (l *leader) rankLoads() (list []peers.RankLoad) {
	for _, m := range l.byRank {
		if m == nil {
			continue
		}
		raw, err := peers.PackAddress(m.endpoint.Address)
		if err != nil {
			l.s.log.Warn("load not told", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
			continue
		}
		list = append(list, peers.RankLoad{Address: raw, Running: m.report.Running, Waiting: m.report.Waiting, Slowdown: float32(m.report.Slowdown)})
	}
	return list
}
