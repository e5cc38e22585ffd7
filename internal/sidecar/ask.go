// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// otherGroupEvery is the time between two questions to an endpoint of another group
// of the service: it may have joined the own one.
const otherGroupEvery = 2 * time.Second

// inOtherGroup reports whether an endpoint lately said that it is in another group.
func (m *member) inOtherGroup(own rank.Report, now time.Time) bool {
	other := m.state.Report.Group
	return other != "" && other != own.Group && now.Sub(m.seen) < otherGroupEvery
}

// ask asks every rank for its state; it reports whether all answered and the
// group is complete, but perhaps for the rank that led before.
func (l *leader) ask(ctx context.Context, own rank.Report) bool {
	var g errgroup.Group
	asked := l.askedForWork()
	for i, m := range l.all {
		if m.inOtherGroup(own, time.Now()) {
			continue
		}
		g.Go(func() error {
			call, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			after := uint64(noWork)
			if asked(i) {
				after = m.state.Window
			}
			st, err := l.s.calls.rank(call, m.endpoint.Address, after)
			if m.fresh = err == nil; m.fresh {
				m.state, m.seen, m.lost = st, time.Now(), false
				return nil
			}
			l.s.log.Debug("sidecar not heard", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
			l.askStraight(ctx, m)
			return nil
		})
	}
	_ = g.Wait() // No function returns an error: a rank that is not heard shows below.
	l.byRank = make([]*member, own.Size)
	for _, m := range l.all {
		r := m.state.Report
		if m.fresh && r.Group == own.Group && r.Epoch == own.Epoch && r.Open && r.Rank >= 0 && r.Rank < own.Size {
			l.byRank[r.Rank] = m
		}
	}
	l.absent = cutover.None
	for r, m := range l.byRank {
		if m != nil {
			continue
		}
		if l.absent != cutover.None || !l.ledBefore(r, own) || !l.engineLost(own) {
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
		mayBeOurs := m.state.Report.Group == own.Group || m.state.Report.Group == ""
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

// askedForWork returns which places in all are asked for their counts in this
// look.
func (l *leader) askedForWork() func(place int) bool {
	n := len(l.all)
	part := n
	if n > wholeLook {
		part = max(n/partLook, wholeLook)
	}
	first := l.turn
	l.turn = (first + part) % max(n, 1)
	return func(place int) bool { return (place-first+n)%n < part }
}

// askStraight asks an engine whose sidecar does not answer: it may have died
// while its engine held the group. Such calls are priced, so they are few.
func (l *leader) askStraight(ctx context.Context, m *member) {
	if time.Since(m.straight) < straightEvery {
		return
	}
	m.straight = time.Now()
	call, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	r, err := l.s.dial(m.endpoint.Address).Report(call)
	if m.lost = err != nil; m.lost {
		l.s.log.Info("rank not heard", zap.String("endpoint", m.endpoint.ID), zap.String("error", err.Error()))
		return
	}
	m.state.Report, m.seen, m.fresh = r, time.Now(), true
}

// reports returns the newest reports by rank.
func (l *leader) reports() []rank.Report {
	list := make([]rank.Report, len(l.byRank))
	for r, m := range l.byRank {
		if m != nil {
			list[r] = m.state.Report
		}
	}
	return list
}
