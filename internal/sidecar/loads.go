// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// Each sidecar tells the load of its own engine, the less often the larger the group
// is. The leader of a large group, which has just asked all ranks, tells in their
// place, all loads in one message a failure domain. Should it fail, what each tells
// for itself is still there.

// ledPause is how many times longer a sidecar waits between two reports of its own
// while its leader tells for it: below the time for which a report counts.
const ledPause = 2

// reportPause is the time between two reports of a sidecar's own load.
func (s *Sidecar) reportPause(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := ownPause(s.report.Size)
	if pause > reportEvery && s.lead.heard.Group == s.report.Group && now.Sub(s.lead.at) < leadLapse {
		return ledPause * pause
	}
	return pause
}

// ownPause is the time between two reports of one's own load in a group of a size
// that no leader tells for.
func ownPause(size int) time.Duration {
	return max(reportEvery, time.Duration(size)*perRank)
}

// tellLoads tells gateways the loads of all ranks that were heard, where that is
// sooner than each tells its own.
func (l *leader) tellLoads(own rank.Report) {
	now := time.Now()
	if ownPause(own.Size) <= reportEvery || now.Sub(l.toldAt) < reportEvery {
		return
	}
	l.toldAt = now
	s := l.s
	s.mu.Lock()
	told := peers.Loads{Group: own.Group, Closed: s.still, PassMs: int(s.passes.pass.Milliseconds()), Onward: true}
	told.Epoch, told.Gateways = own.Epoch, len(s.gateways.list)
	to := s.gateways.onePerDomain(now)
	s.mu.Unlock()
	for part := range slices.Chunk(l.rankLoads(), peers.MostRanks) {
		told.Ranks = part
		s.socket.SendAll(to, peers.Message{Loads: &told})
	}
}

// rankLoads returns the loads of the ranks that answered the newest look.
func (l *leader) rankLoads() (list []peers.RankLoad) {
	for _, m := range l.byRank {
		if m == nil {
			continue
		}
		a, err := netip.ParseAddrPort(m.endpoint.Address)
		if err != nil {
			l.s.log.Warn("load not told", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
			continue
		}
		raw, err := a.MarshalBinary()
		if err != nil {
			l.s.log.Warn("load not told", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
			continue
		}
		list = append(list, peers.RankLoad{Address: raw, Running: m.report.Running, Waiting: m.report.Waiting, Pace: float32(m.report.Pace)})
	}
	return list
}
