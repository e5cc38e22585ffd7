// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/decide/demand"
	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
	"github.com/canvaspulley/canvaspulley/internal/decide/remap"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// planner follows the demand for experts and makes maps for it.
type planner struct {
	follower *demand.Tracker // Nil until the group's shape is known.
	taken    uint64          // Number of the own window when counts were last taken in.
	current  rebalance.Map
	version  uint64 // Of current; meaningful only when known is set.
	known    bool
	pass     time.Duration // Smoothed time of a pass; 0 when not known.
	pending  *pending      // The change under way; nil for none.
}

// pending is a change whose experts are being copied.
type pending struct {
	plan    remap.Plan
	version uint64
	began   time.Time
	due     time.Time // When the copies should be there.
	shifts  int       // That were noticed when it was last judged.
	speeds  []float64 // Of the ranks then; nil when all were alike.
}

// Weights of planning.
const (
	// memoryShare is the part of an answer's unhurried time over which counts are
	// smoothed: what streams that end and begin are about changes by chance within
	// a few prompts, and a change of demand is to be seen before most of them end.
	memoryShare = 0.45
	// usualMemory smooths the counts where answers' usual length is not published.
	usualMemory = 450 * time.Millisecond
	// noticeLooks is how many looks a shift takes to be seen and confirmed.
	noticeLooks = 2
	// firstChanges is for how many changes' time demand is expected to stay before any
	// shift of it was seen.
	firstChanges = 4
	// paysTimes is how many times its price a change must be worth, since what it
	// gains is an estimate.
	paysTimes = 1.5
	// expertWork is the part of a pass that experts make when none is told.
	expertWork = 0.85
	gigabyte   = 1e9
	// versionsPerRank spreads the versions of different leaders.
	versionsPerRank = 1024
)

// Passes and what they mean for callers: an event of a stream comes with each
// pass, and its pause is a pass, longer by what is read of new prompts. Both are
// parts of the shortest pause that a route of the service allows.
const (
	// easyPass is so short that a shorter one serves nobody better.
	easyPass = 0.43
	// hardPass is so long that pauses go over the limit as soon as prompts are read.
	hardPass = 0.79
	// leastPressure is the part of the full value that a shorter pass always has in a
	// group whose slots are all taken, since load may rise.
	leastPressure = 0.05
)

// pressure is the part of the full value that a shorter pass has now. Where passes are
// easy, that goes with the requests that are at work: in a fleet of groups with little to
// do, copies cost more than what is served. At 3,000 endpoints under the load of 300 it
// leaves 0.314 of what is served to be paid for, copies and all else, in place of 0.499.
func (l *leader) pressure() float64 {
	if l.pauseLimit <= 0 {
		return 1
	}
	part := (l.planner.pass.Seconds()/l.pauseLimit.Seconds() - easyPass) / (hardPass - easyPass)
	return min(max(part, leastPressure*l.taken()), 1)
}

// taken is the part of the group's slots that requests take.
func (l *leader) taken() float64 {
	at := 0
	for _, n := range l.running() {
		at += n
	}
	slots := max(l.shape.Slots*len(l.byRank), 1)
	return min(float64(at)/float64(slots), 1)
}

// learn takes in the counts of the newest look, if passes were made since the last
// ones.
func (l *leader) learn() {
	p := &l.planner
	duty.Locked(&l.s.mu, func() { p.pass = l.s.passes.pass })
	if l.shape == nil || l.shape.Sets == 0 || l.newest.SummedRanks == 0 || l.newest.Epoch != l.epoch || l.newest.Window == p.taken {
		return
	}
	if p.follower == nil {
		p.follower = demand.New(l.demandConfig())
	}
	p.taken = l.newest.Window
	now := time.Now()
	flat, err := unpackCounts(l.newest.Counts)
	if err != nil || len(flat) != l.shape.Sets*l.shape.Experts {
		l.s.log.Warn("counts left out", zap.Int("ranks", l.newest.SummedRanks), zap.Int("numbers", len(flat)), zap.Error(err))
		return
	}
	if p.follower.Update(flat, l.newest.SummedRanks, now) {
		l.s.log.Info("demand has shifted", zap.Int("shifts", p.follower.Shifts()), zap.Duration("expected-for", p.follower.ExpectedRemaining(now)))
	}
}

func (l *leader) demandConfig() demand.Config {
	e := l.shape
	memory := usualMemory
	if e.UsualAnswer > 0 && e.StepTime > 0 {
		step := e.StepTime + time.Duration(e.Slots)*e.WriterTime/2
		memory = time.Duration(memoryShare * e.UsualAnswer * float64(step))
	}
	return demand.Config{Sets: e.Sets, Experts: e.Experts, Ranks: len(l.byRank), SmoothingTime: memory}
}

// group returns the group as package remap sees it.
func (l *leader) group() remap.Group {
	share := l.shape.ExpertShare
	if share <= 0 {
		share = expertWork
	}
	return remap.Group{
		Shape:          rebalance.Shape{Ranks: len(l.byRank), Experts: l.shape.Experts, Slots: l.shape.Places},
		MaxNewPerLayer: l.shape.Spare,
		ExpertShare:    share,
		Speed:          l.speeds(),
	}
}

// effort returns the time that changes take here.
func (l *leader) effort() remap.Effort {
	return remap.Effort{
		CopyTime:    l.copyTime(1),
		Overhead:    noticeLooks*l.lookPause() + l.handing + l.arming.Mean(),
		StallTime:   max(l.arming.UpperBound()-mostAhead*l.planner.pass, 0),
		CurrentPass: l.planner.pass,
	}
}

// change begins a new map, if that pays.
func (l *leader) change(ctx context.Context) {
	p := &l.planner
	if p.follower == nil || p.follower.Smoothed() == nil || p.follower.ShiftSuspected() || !l.readMap(ctx) {
		return
	}
	price := l.price(l.left(time.Now()))
	plan := l.plan(price)
	if !plan.IsWorthwhile(l.effort(), price) {
		return
	}
	l.begin(ctx, plan)
}

// left is how much longer demand is expected to stay as it is. Before a shift was
// seen, it is expected to stay for as long as some changes take: the first map,
// dealt out in turn, is so uneven that one is worth its copies even if it helps
// for no longer.
func (l *leader) left(now time.Time) time.Duration {
	f := l.planner.follower
	if f.Shifts() > 0 {
		return f.ExpectedRemaining(now)
	}
	e := l.effort()
	return max(f.ExpectedRemaining(now), firstChanges*(e.CopyTime+e.Overhead))
}

// price says what changes are worth while demand stays for so long.
func (l *leader) price(left time.Duration) remap.Price {
	return remap.Price{
		PerSecond: l.s.cfg.SkewPrice * l.pressure(),
		PerCopy:   paysTimes * l.shape.ExpertBytes / gigabyte * l.s.cfg.CopyPrice,
		Horizon:   left,
	}
}

// plan makes a map for what is asked for now.
func (l *leader) plan(price remap.Price) remap.Plan {
	return remap.Make(l.group(), l.planner.current, l.planner.follower.Smoothed(), l.effort(), price, pause)
}

// begin has the ranks copy the experts of a plan.
func (l *leader) begin(ctx context.Context, plan remap.Plan) {
	p, m := &l.planner, l.machine
	version := (m.HighestVersion/versionsPerRank+1)*versionsPerRank + uint64(m.Self)
	layout := rows(plan.Map, len(l.byRank))
	now := time.Now()
	p.pending = &pending{plan: plan, version: version, began: now, due: now.Add(l.copyTime(plan.MaxPerRank)), shifts: p.follower.Shifts(), speeds: l.speeds()}
	m.StartPreparing(version, layout)
	l.writeMap(layout)
	l.drive(ctx, prepareTries*l.orderLimit(&l.whole, len(l.byRank)-1))
	l.countsAt = time.Now() // The copies are looked for first.
	if m.Phase == cutover.Preparing {
		l.abandon("orders not answered")
	}
}

// rows returns a map as ranks are told it.
func rows(m rebalance.Map, ranks int) (all layout) {
	for _, layer := range m {
		all = append(all, layer.Rows(ranks))
	}
	return all
}

// writeMap writes the map of a change that begins.
func (l *leader) writeMap(next layout) {
	base := rows(l.planner.current, len(l.byRank))
	experts := l.shape.Experts
	l.whole = mapText{Experts: experts, Data: packMap(next)}
	l.changed = mapText{Base: fingerprint(base), Experts: experts, Data: packChange(base, next)}
	l.s.maps.put(next) // Its own orders do not come as text.
	l.s.log.Debug("map written", zap.Int("whole", len(l.whole.Data)), zap.Int("change", len(l.changed.Data)))
}

// abandon drops the change that is under way.
func (l *leader) abandon(cause string) {
	p := &l.planner
	l.s.figures.gaveUp.Inc(1)
	l.s.log.Warn("map given up", zap.String("cause", cause), zap.Uint64("version", p.pending.version), zap.Duration("after", time.Since(p.pending.began)))
	p.pending = nil
	l.machine.Abort()
}

// proceed goes on with the change that is under way.
func (l *leader) proceed(ctx context.Context) {
	p := &l.planner
	now := time.Now()
	switch {
	case l.machine.AllPrepared(l.reports()):
		l.switchOver(ctx)
	case now.Sub(p.pending.due) > p.pending.due.Sub(p.pending.began)+overdue:
		l.abandon("not copied in time")
	case p.pending.shifts != p.follower.Shifts() || !slices.Equal(p.pending.speeds, l.speeds()):
		l.reconsider(ctx, now)
	}
}

// reconsider looks, after a shift of demand or of a rank's speed, whether a new plan is to take the
// place of the one under way.
func (l *leader) reconsider(ctx context.Context, now time.Time) {
	p, g := &l.planner, l.group()
	price := l.price(l.left(now))
	plan := l.plan(price)
	soon := g.PassTime(p.pending.plan.Map, p.follower.Smoothed())
	remaining := max(p.pending.due.Sub(now), 0)
	if !plan.IsWorthwhile(l.effort(), price) || !plan.Replaces(l.effort(), remaining, plan.Before, soon) {
		p.pending.shifts, p.pending.speeds = p.follower.Shifts(), l.speeds()
		return
	}
	l.abandon("what it was made for has changed")
	l.begin(ctx, plan)
}

// switchOver brings the map whose experts were copied into force.
func (l *leader) switchOver(ctx context.Context) {
	p, m := &l.planner, l.machine
	change, copied, before := p.pending, time.Now(), m.Completed
	p.pending = nil
	m.SwitchAt(l.nextStep())
	l.drive(ctx, armLimit)
	m.Abort()
	l.drive(ctx, recoverLimit)
	l.handing += time.Duration(armingWeight * float64(max(copied.Sub(change.due), 0)-l.handing))
	l.switched = time.Now()
	took := l.switched.Sub(copied)
	done := m.Completed > before
	if done {
		// One that came to nothing says how long an answer did not come, as from a
		// frozen instance, and not how long orders take.
		l.arming.Add(took)
		p.current, p.version = change.plan.Map, change.version
		l.s.figures.switches.Inc(1)
		l.s.figures.copies.Inc(int64(change.plan.Copies))
	} else {
		l.s.figures.gaveUp.Inc(1)
	}
	l.s.log.Info("map changed", zap.Bool("in-force", done), zap.Uint64("version", change.version), zap.Int("copies", change.plan.Copies), zap.Int("most", change.plan.MaxPerRank),
		zap.Float64("before", change.plan.Before), zap.Float64("after", change.plan.After), zap.Duration("pass", p.pass), zap.Ints("running", l.running()), zap.Float64s("speed", l.speeds()),
		zap.Duration("copying", copied.Sub(change.began)), zap.Duration("switching", took))
}

// Passes between the newest one and the switch, so that all ranks are armed
// before the group reaches it: orders mostly take less than what is left of the
// pass under way, and a hold keeps the group from reaching it too soon.
const (
	leastAhead = 1
	mostAhead  = 12
	// armingWeight is the weight of the newest switch in the smoothed time that
	// the orders of a switch take.
	armingWeight = 0.5
)

func (l *leader) nextStep() uint64 {
	step := uint64(0)
	for _, m := range l.byRank {
		step = max(step, m.report.Step)
	}
	return step + uint64(min(l.passesAhead(), mostAhead))
}

// passesAhead is how many passes the orders of a switch take, as nearly all of the
// last ones did: a group that reaches the pass sooner stands still, and the pause of
// all its streams is longer by that.
func (l *leader) passesAhead() int {
	pass := l.planner.pass
	if pass <= 0 {
		return leastAhead
	}
	return max(leastAhead, int(l.arming.UpperBound()/pass)+leastAhead)
}

// copyTime returns how long a rank takes for so many copies.
func (l *leader) copyTime(copies int) time.Duration {
	if l.shape.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(copies) * l.shape.ExpertBytes / l.shape.LinkRate * float64(time.Second))
}

// running returns the requests at work at each rank, for the log.
func (l *leader) running() []int {
	list := make([]int, len(l.byRank))
	for r, m := range l.byRank {
		list[r] = m.report.Running + m.report.Waiting
	}
	return list
}

// speeds returns the speed of each rank, nil when all are alike.
func (l *leader) speeds() []float64 {
	speed := make([]float64, len(l.byRank))
	alike := true
	for r, m := range l.byRank {
		speed[r] = 1
		if pace := m.report.Slowdown; pace > 1 {
			speed[r] = 1 / pace
			alike = false
		}
	}
	if alike {
		return nil
	}
	return speed
}

// pause lets other goroutines run between two pieces of planning, since the
// runtime may not be allowed to do so by itself.
func pause() { time.Sleep(time.Microsecond) }

// engineOf returns the published shape of a service's engines.
func engineOf(c *fleet.Config, service string) *fleet.Engine {
	if c == nil || c.Service(service) == nil {
		return nil
	}
	return c.Service(service).Engine
}
