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
	// otherGroupEvery is the time between two questions to an endpoint of another
	// group of the service: it may have joined the own one.
	otherGroupEvery = 2 * time.Second
	// countsShare is the part of the link that counts of experts may take: the rest is
	// for orders, maps and whatever else the instance sends.
	countsShare = 1.0 / 3
	// awaitingCounts is how many usual looks pass until counts are asked for although
	// something is awaited: copies may take much longer than expected.
	awaitingCounts = 4
)

// inOtherGroup reports whether an endpoint lately said that it is in another group.
func (m *member) inOtherGroup(own rank.Report, now time.Time) bool {
	other := m.report.Group
	return other != "" && other != own.Group && now.Sub(m.seen) < otherGroupEvery
}

// ask asks every rank for its report; it reports whether all answered and the
// group is complete, but perhaps for the rank that led before.
func (l *leader) ask(ctx context.Context, own rank.Report) bool {
	began := time.Now()
	heard, silent := l.toAsk(own, began)
	var g errgroup.Group
	for _, m := range silent {
		g.Go(func() error {
			l.s.contained(func() { l.askSilent(ctx, m) })
			return nil
		})
	}
	l.askHeard(ctx, own, heard)
	_ = g.Wait() // No function returns an error: a rank that is not heard shows below.
	l.s.figures.looks.UpdateSince(began)
	l.s.log.Debug("look", zap.Duration("took", time.Since(began)), zap.Int("asked", len(heard)), zap.Int("silent", len(silent)),
		zap.Int("summed", l.newest.SummedRanks), zap.Int("bytes-of-counts", len(l.newest.Counts)))
	l.place(own)
	return l.complete(own)
}

// toAsk returns the other ranks that are to be asked: those that are asked down the
// tree, and those that did not answer last time, which are asked apart so that none
// below them is missed.
func (l *leader) toAsk(own rank.Report, now time.Time) (heard, silent []*member) {
	for _, m := range l.all {
		switch {
		case m.endpoint.Address == l.s.cfg.Address || m.inOtherGroup(own, now):
		case m.missed:
			silent = append(silent, m)
		default:
			heard = append(heard, m)
		}
	}
	return heard, silent
}

// askHeard puts a question to this rank and, down the tree, to others.
func (l *leader) askHeard(ctx context.Context, own rank.Report, list []*member) {
	q := questionTo(list)
	q.Engines = append([]string{l.s.cfg.Address}, q.Engines...)
	if now := time.Now(); now.Sub(l.countsAt) >= l.untilCounts(now) {
		q.Group, l.countsAt = own.Group, now
	}
	q.Timeout = askTimeout + time.Duration(depth(len(list), q.Fanout))*stepTime
	call, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	a := l.s.askTree(call, q)
	for _, m := range list {
		m.fresh, m.missed = false, true
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
		m.hear(*r.Report, now)
	}
	l.newest = a
	l.s.figures.missed.Inc(int64(len(list) + 1 - len(a.Ranks)))
	l.s.figures.bytes.Update(int64(len(a.Counts)))
	if a.SummedRanks > 0 && l.s.cfg.LinkRate > 0 {
		bytes := float64(min(q.Fanout, len(list)) * len(a.Counts))
		l.countsPause = time.Duration(bytes / (countsShare * l.s.cfg.LinkRate) * float64(time.Second))
	}
}

// untilCounts is the time between two questions for counts. While something is
// awaited that is looked for often, counts would make each look long.
func (l *leader) untilCounts(now time.Time) time.Duration {
	if l.awaits(now) {
		return awaitingCounts * l.lookPause()
	}
	return l.countsPause
}

// hear takes in a rank's word; that of an earlier life than is known of is left out, and
// the rank counts as one that did not answer.
func (m *member) hear(r rank.Report, now time.Time) {
	if fleet.CompareLives(max(m.endpoint.Born, m.report.StartedAt), r.StartedAt) < 0 {
		return
	}
	m.report, m.seen = r, now
	m.fresh, m.missed, m.lost = true, false, false
}

// lives returns the births of the ranks, in their order.
func (l *leader) lives() []int64 {
	list := make([]int64, len(l.byRank))
	for r, m := range l.byRank {
		if m != nil {
			list[r] = m.report.StartedAt
		}
	}
	return list
}

// begunAnew reports whether a rank is in a later life than when the machine was made:
// it forgot maps, armings, holds and fences, and the group is another one however its
// epochs are counted.
func begunAnew(before, now []int64) bool {
	for r := range min(len(before), len(now)) {
		if fleet.CompareLives(before[r], now[r]) != 0 {
			return true
		}
	}
	return false
}

// questionTo returns a question to ranks: down a tree where they are many, and to
// all at once where they are not.
func questionTo(list []*member) question {
	q := question{Fanout: fanFor(len(list))}
	for _, m := range list {
		q.Engines = append(q.Engines, m.endpoint.Address)
	}
	return q
}

// askSilent asks a rank that was not heard last time, and its engine at the same
// time: the group may be standing until it is known which of the two is gone.
func (l *leader) askSilent(ctx context.Context, m *member) {
	ctx, cancel := context.WithTimeout(ctx, silentTimeout)
	defer cancel()
	var engine *rank.Report
	var g errgroup.Group
	g.Go(func() error {
		l.s.contained(func() { engine = l.askStraight(ctx, m) })
		return nil
	})
	a, err := l.s.below(ctx, question{Engines: []string{m.endpoint.Address}, Fanout: 1, Timeout: silentTimeout})
	_ = g.Wait() // The function returns no error: nothing is known of an engine that is not heard.
	m.fresh = false
	switch {
	case err == nil && len(a.Ranks) == 1 && a.Ranks[0].Report != nil:
		m.hear(*a.Ranks[0].Report, time.Now())
	case engine != nil && fleet.CompareLives(max(m.endpoint.Born, m.report.StartedAt), engine.StartedAt) >= 0:
		m.report, m.seen, m.fresh = *engine, time.Now(), true
	case err != nil:
		l.s.log.Debug("sidecar not heard", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
	}
}

// askStraight asks an engine whose sidecar does not answer, nil when it is not to be
// asked now or does not answer either: the sidecar may have died while its engine
// held the group. Such calls are priced, so they are few.
func (l *leader) askStraight(ctx context.Context, m *member) *rank.Report {
	if time.Since(m.straight) < straightEvery {
		return nil
	}
	m.straight = time.Now()
	r, err := l.s.dial(m.endpoint.Address).Report(ctx)
	if m.lost = err != nil; m.lost {
		l.s.log.Info("rank not heard", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
		return nil
	}
	return &r
}

// place puts the members that were heard in their places.
func (l *leader) place(own rank.Report) {
	l.byRank = make([]*member, own.Size)
	for _, m := range l.all {
		r := m.report
		if m.fresh && r.Group == own.Group && r.Epoch == own.Epoch && r.Open && r.Rank >= 0 && r.Rank < own.Size {
			l.byRank[r.Rank] = m
		}
	}
}

// complete reports whether all ranks are in their places, but perhaps for the one
// that led before, which is then the absent one.
func (l *leader) complete(own rank.Report) bool {
	l.absent = cutover.NoRank
	for r, m := range l.byRank {
		if m != nil {
			continue
		}
		if l.absent != cutover.NoRank || !l.ledBefore(r, own) || !l.engineLost(own) {
			return false
		}
		l.absent = r
	}
	return true
}

// engineLost reports whether whoever is silent of the own group did not answer past
// its sidecar either: where only the sidecar has died, its engine is asked now and
// then, and nothing is to be ended without it.
func (l *leader) engineLost(own rank.Report) bool {
	for _, m := range l.all {
		mayBeOurs := m.report.Group == own.Group || m.report.Group == ""
		if !m.fresh && mayBeOurs && !m.lost {
			return false
		}
	}
	return true
}

// ledBefore reports whether a rank is the last other one that is known to have led
// in this epoch.
func (l *leader) ledBefore(r int, own rank.Report) bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	led := l.s.lead.led
	return led.Group == own.Group && led.Epoch == own.Epoch && led.Rank == r && r != own.Rank
}

// reports returns the newest reports by rank.
func (l *leader) reports() []rank.Report {
	list := make([]rank.Report, len(l.byRank))
	for r, m := range l.byRank {
		if m != nil {
			list[r] = m.report
		}
	}
	return list
}
