// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/decide/passes"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Times of leading.
const (
	// lookEvery is the least time between two looks at the group.
	lookEvery = 70 * time.Millisecond
	// leastPause is the time from the end of a look to the next one at least, so that
	// other duties have their turn.
	leastPause = 10 * time.Millisecond
	// lookPerCall is what each call adds to it, so that the leader is not busy with
	// looking only: a call takes it about 0.2 ms of a core.
	lookPerCall = time.Millisecond
	// askTimeout bounds a call to another sidecar: some round trips between
	// failure domains, and the time that a small processor share may add.
	askTimeout = 250 * time.Millisecond
	// silentTimeout bounds a call to a sidecar that was silent before, and one to the
	// engine beside it: some round trips of a new connection between failure domains,
	// and the time that a small processor share may add. The group may be standing.
	silentTimeout = 120 * time.Millisecond
	// listEvery is the time between two readings of the published list.
	listEvery = 2 * time.Second
	// listTimeout bounds one reading.
	listTimeout = time.Second
	// straightEvery is the least time between two calls to an engine past its
	// sidecar: each is priced, and one to a frozen instance keeps a look waiting.
	straightEvery = 700 * time.Millisecond
	// straightTimeout bounds one order to another rank's engine: some round trips of a
	// new connection between failure domains, and what an engine takes.
	straightTimeout = 30 * time.Millisecond
	// fenceStep is added to a fence that a rank refused.
	fenceStep = 1 << 20
)

// member is one rank of the group as the leader sees it.
type member struct {
	endpoint fleet.Endpoint
	report   rank.Report
	seen     time.Time // Last answer.
	fresh    bool      // It answered the newest look.
	missed   bool      // It did not answer, by way of its sidecar, when it was last asked.
	straight time.Time // Its engine was last asked past its sidecar.
	lost     bool      // It did not answer then either.
}

// leader leads the group while its sidecar is the one that does so. Two at once
// are harmless: every order carries a fence.
type leader struct {
	s       *Sidecar
	shape   *fleet.Engine
	service string
	// pauseLimit is the shortest pause between events that a route of the service
	// allows; 0 when there is none.
	pauseLimit time.Duration
	listed     time.Time
	all        []*member // Every endpoint of the service, those of a failure domain together.
	self       *member   // Of all, the own one.
	byRank     []*member // Of the own group; nil before the first look, and nil for the absent one.
	absent     int       // Rank that led before, if it alone does not answer; cutover.NoRank otherwise.
	machine    *cutover.Machine
	born       []int64 // Of the ranks, when machine was made.
	fence      uint64
	planner    planner
	arming     estimate.Estimator // That the orders of a switch took.
	handing    time.Duration      // Smoothed time by which changes took longer than their copies: to hand out the map, and to see the copies.
	switched   time.Time          // When the last switch was brought about.
	limiter    passes.Limiter
	toldAt     time.Time // When gateways were last told the loads of all ranks.
	whole      mapText   // The map of the change under way.
	changed    mapText   // The same, as a change of the map in force.
	newest     answers   // To the last question down the tree.
	countsAt   time.Time // When counts were last asked for.
	// countsPause is the time between two questions for counts, so that they take
	// countsShare of the link.
	countsPause time.Duration
	epoch       uint64
	openedAt    time.Time // When this epoch was first seen.
}

func newLeader(s *Sidecar) *leader {
	return &leader{s: s, absent: cutover.NoRank, arming: estimate.New(armingWeight)}
}

// run looks at the group until ctx ends.
func (l *leader) run(ctx context.Context) error {
	began := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		wait.For(ctx, max(l.untilLook(now)-now.Sub(began), leastPause))
		began = time.Now()
		l.look(ctx)
	}
	return nil
}

// lookPause is the time from one look to the next while nothing is awaited.
func (l *leader) lookPause() time.Duration {
	return lookEvery + l.calls()*lookPerCall
}

// calls is how many calls a look takes.
func (l *leader) calls() time.Duration {
	others := max(len(l.byRank)-1, 0)
	return time.Duration(min(others, fanFor(others)))
}

// untilLook is the time until the next look.
func (l *leader) untilLook(now time.Time) time.Duration {
	if l.awaits(now) {
		return copiedEvery + l.calls()*lookPerCall/2
	}
	if p := l.planner.pending; p != nil {
		return min(max(p.due.Sub(now), 0), l.lookPause())
	}
	return l.lookPause()
}

// awaits reports whether something is due that is looked for at once and then often:
// copies, or the pass from which on a map is in force.
func (l *leader) awaits(now time.Time) bool {
	if p := l.planner.pending; p != nil && !now.Before(p.due) {
		return true
	}
	return now.Sub(l.switched) < settleTime && l.machine != nil && l.machine.Phase == cutover.Settling
}

// look leads for one round, where this sidecar is the leader.
func (l *leader) look(ctx context.Context) {
	own, ok := l.s.Report()
	if !l.s.cfg.Fences {
		return // Without fences an order that is carried out late cannot be shut out.
	}
	if !ok || !own.Open || own.Size < 2 {
		l.resign("group not open")
		return
	}
	if own.Epoch != l.epoch {
		l.resign("new epoch")
		l.epoch, l.openedAt = own.Epoch, time.Now()
	}
	if !l.leads(own) {
		l.resign("another rank leads")
		return
	}
	l.outbid(own)
	l.refresh(ctx)
	if l.machine == nil {
		l.passOver(time.Now())
	}
	l.s.setLeading(l.all, peers.Lead{Group: own.Group, Epoch: own.Epoch, Rank: own.Rank, Fence: l.fence})
	if l.self == nil {
		return // The list does not name the own endpoint, or was not read yet.
	}
	complete := l.ask(ctx, own)
	l.tellLoads(own)
	l.learn()
	if !complete {
		return
	}
	if !l.leads(own) { // Asking takes long when a rank is silent; a lower one may have begun.
		l.resign("another rank leads")
		return
	}
	l.work(ctx, own)
}

// refresh reads the published list now and then. A stale answer does: ranks
// tell themselves who they are.
func (l *leader) refresh(ctx context.Context) {
	if time.Since(l.listed) < listEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l.listed = time.Now()
	snap, err := l.s.source.Snapshot(ctx, true)
	if err != nil {
		l.s.log.Debug("list not read", zap.String("error", err.Error()))
		return
	}
	for _, e := range snap.Endpoints {
		if e.Address == l.s.cfg.Address {
			l.service = e.Service
		}
	}
	if shape := engineOf(snap.Config, l.service); shape != nil {
		l.shape, l.pauseLimit = shape, snap.Config.PauseLimit(l.service)
	}
	known := map[string]*member{}
	for _, m := range l.all {
		known[m.endpoint.ID] = m
	}
	l.all, l.self = l.all[:0:0], nil
	for _, e := range snap.Endpoints {
		if e.Service != l.service {
			continue
		}
		m := known[e.ID]
		if m == nil {
			m = &member{}
		}
		m.endpoint = e
		l.all = append(l.all, m)
		if e.Address == l.s.cfg.Address {
			l.self = m
		}
	}
	slices.SortFunc(l.all, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.endpoint.Domain, b.endpoint.Domain), cmp.Compare(a.endpoint.Address, b.endpoint.Address))
	})
}

// work drives the machine one round.
func (l *leader) work(ctx context.Context, own rank.Report) {
	if l.machine != nil && begunAnew(l.born, l.lives()) {
		l.resign("a rank has begun a new life")
		return // The next look asks all ranks again.
	}
	if l.machine == nil || l.machine.AbsentRank() != l.absent {
		l.fence = max(l.fence+1, uint64(time.Now().UnixMilli())*fencesPerMilli)
		l.machine = cutover.New(own.Size, own.Rank, l.absence(own), own.Epoch, l.fence)
		l.planner.pending = nil
		l.born = l.lives()
		l.s.log.Info("leads", zap.Int("absent", l.absent), zap.String("group", own.Group), zap.Uint64("epoch", own.Epoch), zap.Int("rank", own.Rank), zap.Uint64("fence", l.fence))
	}
	m := l.machine
	if !m.Observe(l.reports()) {
		return
	}
	if l.absent != cutover.NoRank {
		l.drive(ctx, recoverLimit)
		return
	}
	switch {
	case m.Phase != cutover.Ready:
		l.drive(ctx, recoverLimit)
	case l.planner.pending != nil:
		l.proceed(ctx)
	default:
		l.change(ctx)
	}
}

// fencesPerMilli leaves room for fences that are raised in a leadership.
const fencesPerMilli = 8

// Limits of driving.
const (
	// recoverLimit bounds one round of cleaning up; the next look goes on.
	recoverLimit = 400 * time.Millisecond
	// prepareTries is how often the orders to copy experts are given at most: all of
	// them are lost a few times.
	prepareTries = 2
	// overdue is how much later than twice the expected time copies may be: as long
	// as the looks for them may take.
	overdue = 2 * askTimeout
	// armLimit bounds how long the group may stand for a switch.
	armLimit = 350 * time.Millisecond
	// settleTime is how long after a switch the pass that it waits for is looked for
	// often: some passes.
	settleTime = 500 * time.Millisecond
	// copiedEvery is the time between two looks whether the copies are there.
	copiedEvery = 25 * time.Millisecond
)

// drive sends the machine's orders until its phase needs none, or the time is
// over.
func (l *leader) drive(ctx context.Context, limit time.Duration) {
	began := time.Now()
	m := l.machine
	if m == nil {
		return // A higher fence was met before.
	}
	for ctx.Err() == nil && time.Since(began) < limit {
		switch m.Phase {
		case cutover.Settling, cutover.Ready:
			return
		case cutover.Deposed:
			l.deposed()
			return
		}
		l.round(ctx)
	}
}
