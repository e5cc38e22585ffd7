// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

const (
	// otherGroupPollInterval is the time between two polls of an endpoint that belongs to another
	// group of the service, since it may have joined this one.
	otherGroupPollInterval = 2 * time.Second
	// countsLinkShare is the share of the link's bandwidth that expert counts may use. The rest is
	// for orders, maps and all other traffic of the instance.
	countsLinkShare = 1.0 / 3
	// awaitingPollsPerCounts is how many regular poll intervals lie between two requests for counts
	// while the leader awaits an event. Counts are still requested then because copies may take
	// much longer than expected.
	awaitingPollsPerCounts = 4
)

// inOtherGroup reports whether the endpoint recently reported that it belongs to another group.
func (m *member) inOtherGroup(own rank.Report, now time.Time) bool {
	other := m.report.Group
	return other != "" && other != own.Group && now.Sub(m.lastSeen) < otherGroupPollInterval
}

// pollRanks requests a report from every rank. It returns true if all of them answered and the
// group is complete, except possibly for the rank that led before.
func (l *leader) pollRanks(ctx context.Context, own rank.Report) bool {
	began := time.Now()
	responsive, silent := l.pollTargets(own, began)
	var g errgroup.Group
	for _, m := range silent {
		g.Go(func() error {
			l.s.containPanic(func() { l.pollSilent(ctx, m) })
			return nil
		})
	}
	l.pollResponsive(ctx, own, responsive)
	_ = g.Wait() // No function returns an error; silent ranks are handled below.
	l.s.stats.polls.UpdateSince(began)
	l.s.log.Debug("look", zap.Duration("took", time.Since(began)), zap.Int("asked", len(responsive)), zap.Int("silent", len(silent)),
		zap.Int("summed", l.lastResponse.SummedRanks), zap.Int("bytes-of-counts", len(l.lastResponse.Counts)))
	l.indexByRank(own)
	return l.checkComplete(own)
}

// pollTargets returns the other ranks to poll: responsive ones are polled down the tree; those that
// did not answer the last poll are polled individually, so that no rank below them in the tree is
// missed.
func (l *leader) pollTargets(own rank.Report, now time.Time) (responsive, silent []*member) {
	for _, m := range l.members {
		switch {
		case m.endpoint.Address == l.s.cfg.Address || m.inOtherGroup(own, now):
		case m.sidecarSilent:
			silent = append(silent, m)
		default:
			responsive = append(responsive, m)
		}
	}
	return responsive, silent
}

// pollResponsive polls this rank and, through the tree, the listed ones. It requests counts, too, if
// countsPollInterval has passed. Listed ranks that do not answer are marked as silent.
func (l *leader) pollResponsive(ctx context.Context, own rank.Report, list []*member) {
	q := newQuery(list)
	q.Engines = append([]string{l.s.cfg.Address}, q.Engines...)
	if now := time.Now(); now.Sub(l.countsPolledAt) >= l.countsPollInterval(now) {
		q.Group, l.countsPolledAt = own.Group, now
	}
	q.Timeout = sidecarTimeout + time.Duration(depth(len(list), q.Fanout))*hopTime
	call, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	a := l.s.queryTree(call, q)
	for _, m := range list {
		m.answered, m.sidecarSilent = false, true
	}
	now := time.Now()
	for _, r := range a.Ranks {
		if r.Index < 0 || r.Index > len(list) || r.Report == nil {
			continue
		}
		m := l.self
		if r.Index > 0 {
			m = list[r.Index-1]
		}
		m.acceptReport(*r.Report, now)
	}
	l.lastResponse = a
	l.s.stats.ranksMissed.Inc(int64(len(list) + 1 - len(a.Ranks)))
	l.s.stats.countsBytes.Update(int64(len(a.Counts)))
	if a.SummedRanks > 0 && l.s.cfg.LinkRate > 0 {
		bytes := float64(min(q.Fanout, len(list)) * len(a.Counts))
		l.minCountsInterval = time.Duration(bytes / (countsLinkShare * l.s.cfg.LinkRate) * float64(time.Second))
	}
}

// countsPollInterval returns the time between two requests for counts. While the leader polls often
// for an awaited event, most polls request none, since counts would make each of them slow.
func (l *leader) countsPollInterval(now time.Time) time.Duration {
	if l.awaitsEvent(now) {
		return awaitingPollsPerCounts * l.pollInterval()
	}
	return l.minCountsInterval
}

// acceptReport stores a rank's report. A report of an earlier incarnation than the known one is
// ignored, and the rank counts as not having answered.
func (m *member) acceptReport(r rank.Report, now time.Time) {
	if fleet.CompareIncarnations(max(m.endpoint.StartedAt, m.report.StartedAt), r.StartedAt) < 0 {
		return
	}
	m.report, m.lastSeen = r, now
	m.answered, m.sidecarSilent, m.engineSilent, m.reportDelayed = true, false, false, false
}

// startTimes returns when each rank's engine process started, by rank.
func (l *leader) startTimes() []int64 {
	list := make([]int64, len(l.byRank))
	for r, m := range l.byRank {
		if m != nil {
			list[r] = m.report.StartedAt
		}
	}
	return list
}

// anyRestarted reports whether a rank has restarted since the cutover machine was created. A
// restarted rank has lost its maps, armings, holds and fences, and the group is a different one
// even if its epoch number is the same.
func anyRestarted(before, now []int64) bool {
	for r := range min(len(before), len(now)) {
		if fleet.CompareIncarnations(before[r], now[r]) != 0 {
			return true
		}
	}
	return false
}

// newQuery returns a query to the listed ranks: through a tree if there are many of them, otherwise
// to all of them directly.
func newQuery(list []*member) treeQuery {
	q := treeQuery{Fanout: fanoutFor(len(list))}
	for _, m := range list {
		q.Engines = append(q.Engines, m.endpoint.Address)
	}
	return q
}

// pollSilent polls a rank whose sidecar did not answer the last poll, and its engine at the same
// time: the group may be stalled until it is known which of the two has failed.
func (l *leader) pollSilent(ctx context.Context, m *member) {
	ctx, cancel := context.WithTimeout(ctx, silentPollTimeout)
	defer cancel()
	var engine *rank.Report
	var g errgroup.Group
	g.Go(func() error {
		l.s.containPanic(func() { engine = l.pollEngineDirectly(ctx, m) })
		return nil
	})
	a, err := l.s.querySidecar(ctx, treeQuery{Engines: []string{m.endpoint.Address}, Fanout: 1, Timeout: silentPollTimeout})
	_ = g.Wait() // The function returns no error; the result stays nil if the engine does not answer.
	m.answered = false
	switch {
	case err == nil && len(a.Ranks) == 1 && a.Ranks[0].Report != nil:
		m.acceptReport(*a.Ranks[0].Report, time.Now())
	case engine != nil && fleet.CompareIncarnations(max(m.endpoint.StartedAt, m.report.StartedAt), engine.StartedAt) >= 0:
		m.report, m.lastSeen, m.answered, m.reportDelayed = *engine, time.Now(), true, true
	case err != nil:
		l.s.log.Debug("sidecar unreachable", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
	}
}

// pollEngineDirectly polls an engine whose sidecar does not answer: the sidecar may have died while
// its engine held the group. It returns nil if the engine was polled too recently or does not
// answer either. Each such call has a cost, so there is at most one per enginePollInterval.
func (l *leader) pollEngineDirectly(ctx context.Context, m *member) *rank.Report {
	if time.Since(m.enginePolledAt) < enginePollInterval {
		return nil
	}
	m.enginePolledAt = time.Now()
	r, err := l.s.dial(m.endpoint.Address).Report(ctx)
	if m.engineSilent = err != nil; m.engineSilent {
		l.s.log.Info("rank unreachable", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
		return nil
	}
	return &r
}

// indexByRank assigns the members that answered the newest poll to their ranks.
func (l *leader) indexByRank(own rank.Report) {
	l.byRank = make([]*member, own.Size)
	for _, m := range l.members {
		r := m.report
		if m.answered && r.Group == own.Group && r.Epoch == own.Epoch && r.Open && r.Rank >= 0 && r.Rank < own.Size {
			l.byRank[r.Rank] = m
		}
	}
}

// checkComplete reports whether every rank of the group answered, except possibly the rank that led
// before, which is then recorded as absent.
func (l *leader) checkComplete(own rank.Report) bool {
	l.absent = cutover.NoRank
	for r, m := range l.byRank {
		if m != nil {
			continue
		}
		if l.absent != cutover.NoRank || !l.wasLeader(r, own) || !l.silentEnginesUnreachable(own) {
			return false
		}
		l.absent = r
	}
	return true
}

// silentEnginesUnreachable reports whether the engine of every silent member that may belong to
// this group failed to answer a direct poll too. If only the sidecar of a member has died, its
// engine is still polled from time to time, and no change may be ended without it.
func (l *leader) silentEnginesUnreachable(own rank.Report) bool {
	for _, m := range l.members {
		mayBeOurs := m.report.Group == own.Group || m.report.Group == ""
		if !m.answered && mayBeOurs && !m.engineSilent {
			return false
		}
	}
	return true
}

// wasLeader reports whether rank r, not this one, is the last known to have led in this epoch.
func (l *leader) wasLeader(r int, own rank.Report) bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	led := l.s.lead.active
	return led.Group == own.Group && led.Epoch == own.Epoch && led.Rank == r && r != own.Rank
}

// reportsMayPrecedeOrders reports whether a rank's report may be older than the last orders: it then
// doesn't show what they changed, or what they kept others from changing.
func (l *leader) reportsMayPrecedeOrders() bool {
	for _, m := range l.byRank {
		if m != nil && m.reportDelayed && m.enginePolledAt.Add(-engineReportDelay).Before(l.ordersEndedAt) {
			return true
		}
	}
	return false
}

// reports returns the newest reports, by rank.
func (l *leader) reports() []rank.Report {
	list := make([]rank.Report, len(l.byRank))
	for r, m := range l.byRank {
		if m != nil {
			list[r] = m.report
		}
	}
	return list
}
