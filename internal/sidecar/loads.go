// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/grouplimit"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// Each sidecar sends the load of its own engine, less often the larger the group is. The leader of
// a large group, which polls all ranks anyway, sends the loads in their place, in one message per
// failure domain. If it fails, each sidecar sends its own again. If all continued to send
// meanwhile, the messages that gateways receive would grow with the ranks of all groups.

// ledReportInterval is the time between two checks whether the leader still sends this sidecar's
// load. Each check also polls the engine, so the interval is shorter than the time for which a
// report counts.
const ledReportInterval = 250 * time.Millisecond

// receiveHello handles a gateway's hello. A gateway that was not known has just started or was
// disconnected. It receives the load and the known ends of processes immediately: it admits no
// requests until it has the load of a rank.
func (s *Sidecar) receiveHello(from netip.AddrPort, h peers.Hello) {
	now := time.Now()
	isNew, load := s.registerGateway(from, h, now)
	if !isNew {
		return
	}
	m := peers.Message{Load: load, EndBatch: s.suspects.ForNewPeer(now)}
	if m.Load != nil || len(m.Ends) > 0 {
		s.socket.Send(from, m)
	}
}

// registerGateway records a gateway's hello, and the gateways that it lists. It returns the load to
// send if the gateway is new; nil if it is not, or while the engine does not answer.
func (s *Sidecar) registerGateway(from netip.AddrPort, h peers.Hello, now time.Time) (isNew bool, load *peers.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew = s.gateways.recordHello(from, h, now)
	s.addKnownGateways(h.KnownGateways, now)
	if isNew && !s.reportAt.IsZero() {
		load = s.makeLoad(s.report, false)
	}
	return isNew, load
}

// addKnownGateways records the gateways that a hello lists, except for those that are leaving or not
// heard from for subscriptionTTL. The caller holds mu.
func (s *Sidecar) addKnownGateways(known []peers.DomainGateways, now time.Time) {
	for _, k := range known {
		for _, g := range k.Gateways {
			a, err := g.PeerAddress()
			if err != nil {
				s.log.Warn("gateway with invalid address ignored", zap.String("domain", k.Domain), zap.String("error", err.Error()))
				continue
			}
			age := g.Age()
			if !g.Leaving && age >= 0 && age < subscriptionTTL {
				s.gateways.addKnown(a, k.Domain, now.Add(-age))
			}
		}
	}
}

// leaderSendsLoads reports whether a leader of the group sends this sidecar's load. The caller
// holds mu.
func (s *Sidecar) leaderSendsLoads(now time.Time) bool {
	return s.lead.announced.SendsLoads && s.lead.announced.Group == s.report.Group && now.Sub(s.lead.announcedAt) < leadTimeout
}

// reportInterval returns the time between two reports of this sidecar's own load.
func (s *Sidecar) reportInterval(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderSendsLoads(now) {
		return ledReportInterval
	}
	return ownReportInterval(s.report.Size)
}

// ownReportInterval returns the time between two reports of a sidecar's own load in a group of the
// given size whose leader does not send the loads.
func ownReportInterval(size int) time.Duration {
	return max(minReportInterval, time.Duration(size)*reportIntervalPerRank)
}

// Intervals of leaders that send loads.
const (
	// groupLoadsIntervalPerRank is what each rank of the service, in any group, adds to the time
	// between two messages of a leader: gateways receive the loads of 2,000 ranks a second, and
	// more only where that would exceed maxGroupLoadsInterval.
	groupLoadsIntervalPerRank = 500 * time.Microsecond
	// maxGroupLoadsInterval is the longest such time. The last message of a lost leader must still
	// count when each rank sends its own load again.
	maxGroupLoadsInterval = 300 * time.Millisecond
)

// groupLoadsInterval returns the time between two messages of a leader to gateways, for a service
// with the given number of ranks in all groups.
func groupLoadsInterval(ranks int) time.Duration {
	return min(max(minReportInterval, time.Duration(ranks)*groupLoadsIntervalPerRank), maxGroupLoadsInterval)
}

// sendGroupLoads sends gateways the loads of all ranks that answered, if that is more frequent than
// each rank sending its own. One gateway of each failure domain receives them and forwards them.
func (l *leader) sendGroupLoads(own rank.Report) {
	now := time.Now()
	if ownReportInterval(own.Size) <= minReportInterval || now.Sub(l.loadsSentAt) < groupLoadsInterval(len(l.members)) {
		return
	}
	l.loadsSentAt = now
	s := l.s
	var loads peers.Loads
	var to []netip.AddrPort
	duty.Locked(&s.mu, func() {
		pass := s.passes.mean
		loads = peers.Loads{Group: own.Group, Closed: s.groupStalled, PassMs: int(pass.Milliseconds()), Forward: true}
		loads.Epoch, loads.GatewayCount = own.Epoch, s.gateways.gatewayCount()
		loads.LimitPerRank = float32(l.updateLimit(pass, now))
		to = s.gateways.nextRelays(now)
		s.groupLoadsSentAt = now
	})
	for part := range slices.Chunk(l.rankLoads(), peers.MaxRankLoads) {
		loads.Ranks = part
		s.socket.SendAll(to, peers.Message{Loads: &loads})
	}
}

// updateLimit updates the limiter and returns how many requests a rank of the group may hold on
// average, or 0 if that is unknown, as right after the group opened.
func (l *leader) updateLimit(pass time.Duration, now time.Time) (limit float64) {
	if l.shape == nil || l.shape.DecodeTimePerRequest <= 0 {
		return 0
	}
	ranks := make([]grouplimit.RankReport, 0, len(l.byRank))
	for _, m := range l.byRank {
		if m != nil {
			ranks = append(ranks, grouplimit.RankReport{Running: m.report.Running, PassTime: pass, Slowdown: m.report.Slowdown, At: now})
		}
	}
	limit, ok := l.limiter.UpdateLimit(grouplimit.NewShape(l.shape, l.pauseLimit), ranks, now)
	if !ok {
		return 0
	}
	l.s.stats.limitPerRank.Update(limit)
	return limit
}

// rankLoads returns the loads of the ranks that answered the newest poll.
func (l *leader) rankLoads() (list []peers.RankLoad) {
	for _, m := range l.byRank {
		if m == nil {
			continue
		}
		raw, err := peers.PackAddress(m.endpoint.Address)
		if err != nil {
			l.s.log.Warn("load with invalid engine address not sent", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
			continue
		}
		list = append(list, peers.RankLoad{Address: raw, Running: m.report.Running, Waiting: m.report.Waiting, Slowdown: float32(m.report.Slowdown)})
	}
	return list
}
