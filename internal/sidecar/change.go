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

// planner tracks the demand for experts and plans maps for it.
type planner struct {
	tracker    *demand.Tracker // Nil until the shape of the group is known.
	lastWindow uint64          // Number of this rank's window when counts were last ingested.
	current    rebalance.Map
	version    uint64 // Version of current; valid only if known is set.
	known      bool
	passTime   time.Duration // Smoothed duration of a pass; 0 if unknown.
	pending    *pending      // Change in progress; nil if there is none.
}

// pending is a change whose experts are being copied.
type pending struct {
	plan        remap.Plan
	version     uint64
	startedAt   time.Time
	copiesDueAt time.Time // When the copies should be complete.
	shiftsSeen  int       // Demand shifts counted when the change was last evaluated.
	speeds      []float64 // Speed of each rank at that time; nil if all were equal.
}

// Parameters of planning.
const (
	// smoothingShare is the share of a typical answer's duration, at half load, over which counts
	// are smoothed. Within a few prompts the experts used vary by chance as streams end and begin,
	// whereas a change of demand must be detected before most streams have ended.
	smoothingShare = 0.45
	// defaultSmoothing is the smoothing time where the typical answer length is not published.
	defaultSmoothing = 450 * time.Millisecond
	// pollsPerShift is how many polls it takes to detect and confirm a shift of demand.
	pollsPerShift = 2
	// initialHorizonChanges is how many times the duration of a change demand is expected to last
	// before the first shift was detected.
	initialHorizonChanges = 4
	// minGainRatio is how many times its price a change must gain, since the gain is an estimate.
	minGainRatio = 1.5
	// defaultExpertShare is the share of a pass that experts take where none is published.
	defaultExpertShare = 0.85
	gigabyte           = 1e9
)

// Each pass produces one event of each stream, so the pause between events is the duration of a
// pass, plus the time to read new prompts. Both ratios are relative to the shortest pause limit of
// the service's routes.
const (
	// lowPassRatio is the ratio below which a shorter pass brings no benefit to callers.
	lowPassRatio = 0.43
	// highPassRatio is the ratio above which pauses exceed the limit as soon as prompts are read.
	highPassRatio = 0.79
	// minPassTimeWeight is the weight that a shorter pass always has in a group whose slots are all
	// in use, since load may rise.
	minPassTimeWeight = 0.05
)

// passTimeWeight returns the current value of a shorter pass as a fraction of its full value. While
// passes are short, this is proportional to the slots in use, up to minPassTimeWeight: in a fleet
// whose groups have little load, copies would cost more than the requests served are worth. With
// 3,000 endpoints under the load of 300, copies and all other costs take 0.314 of the value served,
// instead of 0.499. For passes longer than lowPassRatio of the pause limit, the weight rises to 1 at
// highPassRatio. Without a pause limit, it is 1.
func (l *leader) passTimeWeight() float64 {
	if l.pauseLimit <= 0 {
		return 1
	}
	part := (l.planner.passTime.Seconds()/l.pauseLimit.Seconds() - lowPassRatio) / (highPassRatio - lowPassRatio)
	return min(max(part, minPassTimeWeight*l.slotUtilization()), 1)
}

// slotUtilization returns the requests of the group, including waiting ones, as a fraction of its
// slots, at most 1.
func (l *leader) slotUtilization() float64 {
	total := 0
	for _, n := range l.requestsByRank() {
		total += n
	}
	slots := max(l.shape.Slots*len(l.byRank), 1)
	return min(float64(total)/float64(slots), 1)
}

// ingestCounts passes the counts of the newest poll to the demand tracker. It ignores counts of
// another epoch, and those of a window that it has passed on already. It also updates the planner's
// pass time.
func (l *leader) ingestCounts() {
	p := &l.planner
	duty.Locked(&l.s.mu, func() { p.passTime = l.s.passes.mean })
	if l.shape == nil || l.shape.LayerSets == 0 || l.lastResponse.SummedRanks == 0 || l.lastResponse.Epoch != l.epoch || l.lastResponse.Window == p.lastWindow {
		return
	}
	if p.tracker == nil {
		p.tracker = demand.New(l.demandConfig())
	}
	p.lastWindow = l.lastResponse.Window
	now := time.Now()
	flat, err := decodeCounts(l.lastResponse.Counts)
	if err != nil || len(flat) != l.shape.LayerSets*l.shape.ExpertsPerSet {
		l.s.log.Warn("invalid counts ignored", zap.Int("ranks", l.lastResponse.SummedRanks), zap.Int("numbers", len(flat)), zap.Error(err))
		return
	}
	if p.tracker.Update(flat, l.lastResponse.SummedRanks, now) {
		l.s.log.Info("demand shifted", zap.Int("shifts", p.tracker.Shifts()), zap.Duration("expected-for", p.tracker.ExpectedRemaining(now)))
	}
}

// demandConfig returns the configuration of the demand tracker. Counts are smoothed over
// smoothingShare of the duration of an average answer with half of the slots in use.
func (l *leader) demandConfig() demand.Config {
	e := l.shape
	smoothing := defaultSmoothing
	if e.MeanAnswerTokens > 0 && e.BaseStepTime > 0 {
		step := e.BaseStepTime + time.Duration(e.Slots)*e.DecodeTimePerRequest/2
		smoothing = time.Duration(smoothingShare * e.MeanAnswerTokens * float64(step))
	}
	return demand.Config{Sets: e.LayerSets, Experts: e.ExpertsPerSet, Ranks: len(l.byRank), SmoothingTime: smoothing}
}

// remapGroup returns the group as a remap.Group.
func (l *leader) remapGroup() remap.Group {
	share := l.shape.ExpertWorkShare
	if share <= 0 {
		share = defaultExpertShare
	}
	return remap.Group{
		Shape:          rebalance.Shape{Ranks: len(l.byRank), Experts: l.shape.ExpertsPerSet, Slots: l.shape.ExpertSlots},
		MaxNewPerLayer: l.shape.MaxAddedExperts,
		ExpertShare:    share,
		Speed:          l.speeds(),
	}
}

// effort returns the time that a change takes in this group.
func (l *leader) effort() remap.Effort {
	return remap.Effort{
		CopyTime:    l.copyTime(1),
		Overhead:    pollsPerShift*l.pollInterval() + l.copyOverrun + l.switchTime.Mean(),
		StallTime:   max(l.switchTime.UpperBound()-maxPassesAhead*l.planner.passTime, 0),
		CurrentPass: l.planner.passTime,
	}
}

// planChange starts a change to a new map, if that pays. It does nothing while demand is unknown or a
// shift is suspected, or if the map in force cannot be read.
func (l *leader) planChange(ctx context.Context) {
	p := &l.planner
	if p.tracker == nil || p.tracker.Smoothed() == nil || p.tracker.ShiftSuspected() || !l.readMap(ctx) {
		return
	}
	price := l.price(l.demandHorizon(time.Now()))
	plan := l.makePlan(price)
	if !plan.IsWorthwhile(l.effort(), price) {
		return
	}
	l.beginChange(ctx, plan)
}

// demandHorizon returns how much longer demand is expected to stay as it is. Before the first shift
// is detected, this is at least the time that initialHorizonChanges changes of the map take: the
// initial round-robin map is so uneven that a better one is worth the cost of copying experts even
// if it is in use only for that time.
func (l *leader) demandHorizon(now time.Time) time.Duration {
	tracker := l.planner.tracker
	if tracker.Shifts() > 0 {
		return tracker.ExpectedRemaining(now)
	}
	e := l.effort()
	return max(tracker.ExpectedRemaining(now), initialHorizonChanges*(e.CopyTime+e.Overhead))
}

// price returns the prices by which changes are valued if demand stays as it is for the given time.
func (l *leader) price(horizon time.Duration) remap.Price {
	return remap.Price{
		PerSecond: l.s.cfg.SkewPrice * l.passTimeWeight(),
		PerCopy:   minGainRatio * l.shape.ExpertBytes / gigabyte * l.s.cfg.CopyPrice,
		Horizon:   horizon,
	}
}

// makePlan computes a map for the current demand.
func (l *leader) makePlan(price remap.Price) remap.Plan {
	return remap.Make(l.remapGroup(), l.planner.current, l.planner.tracker.Smoothed(), l.effort(), price, yield)
}

// beginChange starts a change: the ranks copy the experts that the plan requires. The change is
// abandoned if not all ranks answer the orders to copy in time.
func (l *leader) beginChange(ctx context.Context, plan remap.Plan) {
	p, m := &l.planner, l.machine
	layout := layoutOf(plan.Map, len(l.byRank))
	now := time.Now()
	p.pending = &pending{plan: plan, startedAt: now, copiesDueAt: now.Add(l.copyTime(plan.MaxPerRank)), shiftsSeen: p.tracker.Shifts(), speeds: l.speeds()}
	m.StartPreparing(now, layout)
	l.encodeMaps(layout)
	l.sendUntilSettled(ctx, maxPrepareAttempts*l.orderDeadline(&l.fullMap, len(l.byRank)-1))
	if p.pending == nil {
		return // This leader has resigned after a higher fence.
	}
	l.countsPolledAt = time.Now() // Delays the next counts: polls check for the copies first.
	p.pending.version = m.Version
	switch {
	case m.Phase == cutover.Claiming || m.Phase == cutover.Preparing:
		l.abandon("no answer to orders")
	case m.Version == 0:
		l.abandon("the version was refused")
	}
}

// layoutOf converts a map to the form in which it is sent to ranks.
func layoutOf(m rebalance.Map, ranks int) (all layout) {
	for _, layer := range m {
		all = append(all, layer.Rows(ranks))
	}
	return all
}

// encodeMaps encodes the map of a change that starts, in full and as a delta.
func (l *leader) encodeMaps(next layout) {
	base := layoutOf(l.planner.current, len(l.byRank))
	experts := l.shape.ExpertsPerSet
	l.fullMap = encodedMap{Experts: experts, Data: encodeMap(next)}
	l.mapDelta = encodedMap{Base: fingerprint(base), Experts: experts, Data: encodeDelta(base, next)}
	l.s.maps.put(next) // Orders to this rank do not carry an encoded map.
	l.s.log.Debug("map encoded", zap.Int("whole", len(l.fullMap.Data)), zap.Int("change", len(l.mapDelta.Data)))
}

// abandon drops the change in progress.
func (l *leader) abandon(cause string) {
	p := &l.planner
	l.s.stats.abandoned.Inc(1)
	l.s.log.Warn("map change abandoned", zap.String("cause", cause), zap.Uint64("version", p.pending.version), zap.Duration("after", time.Since(p.pending.startedAt)))
	p.pending = nil
	l.machine.Abort()
}

// advanceChange continues the change in progress: it switches maps once the copies are complete,
// abandons the change when they are overdue, and reconsiders it when demand or the speed of a rank
// has changed.
func (l *leader) advanceChange(ctx context.Context) {
	p := &l.planner
	now := time.Now()
	switch {
	case l.machine.AllPrepared(l.reports()):
		l.switchOver(ctx)
	case l.machine.Refused(l.reports()) != cutover.NoRank:
		l.abandon("a rank had a higher version")
	case now.Sub(p.pending.copiesDueAt) > p.pending.copiesDueAt.Sub(p.pending.startedAt)+copyGracePeriod:
		l.abandon("copies overdue")
	case p.pending.shiftsSeen != p.tracker.Shifts() || !slices.Equal(p.pending.speeds, l.speeds()):
		l.reconsider(ctx, now)
	}
}

// reconsider decides, after a shift of demand or of a rank's speed, whether a new plan replaces the
// one in progress.
func (l *leader) reconsider(ctx context.Context, now time.Time) {
	p, g := &l.planner, l.remapGroup()
	price := l.price(l.demandHorizon(now))
	plan := l.makePlan(price)
	pendingPassTime := g.PassTime(p.pending.plan.Map, p.tracker.Smoothed())
	remaining := max(p.pending.copiesDueAt.Sub(now), 0)
	if !plan.IsWorthwhile(l.effort(), price) || !plan.Replaces(l.effort(), remaining, plan.Before, pendingPassTime) {
		p.pending.shiftsSeen, p.pending.speeds = p.tracker.Shifts(), l.speeds()
		return
	}
	l.abandon("demand or rank speeds changed")
	l.beginChange(ctx, plan)
}

// switchOver puts the map whose experts have been copied into force. A switch that is not complete
// within switchTimeout is aborted. Either way, the change is no longer in progress afterwards.
func (l *leader) switchOver(ctx context.Context) {
	p, m := &l.planner, l.machine
	change, copiedAt, completedBefore := p.pending, time.Now(), m.Completed
	p.pending = nil
	m.SwitchAt(l.switchStep())
	l.sendUntilSettled(ctx, switchTimeout)
	m.Abort() // Does nothing if the switch is complete.
	l.sendUntilSettled(ctx, recoveryTimeout)
	l.copyOverrun += time.Duration(switchTimeWeight * float64(max(copiedAt.Sub(change.copiesDueAt), 0)-l.copyOverrun))
	l.switchedAt = time.Now()
	took := l.switchedAt.Sub(copiedAt)
	inForce := m.Completed > completedBefore
	if inForce {
		// The time of a failed switch shows how long an answer was missing, as from a frozen
		// instance, not how long orders take.
		l.switchTime.Add(took)
		p.current, p.version = change.plan.Map, change.version
		l.s.stats.mapsInForce.Inc(1)
		l.s.stats.copies.Inc(int64(change.plan.Copies))
	} else {
		l.s.stats.abandoned.Inc(1)
	}
	l.s.log.Info("map switch ended", zap.Bool("in-force", inForce), zap.Uint64("version", change.version), zap.Int("copies", change.plan.Copies), zap.Int("most", change.plan.MaxPerRank),
		zap.Float64("before", change.plan.Before), zap.Float64("after", change.plan.After), zap.Duration("pass", p.passTime), zap.Ints("running", l.requestsByRank()), zap.Float64s("speed", l.speeds()),
		zap.Duration("copying", copiedAt.Sub(change.startedAt)), zap.Duration("switching", took))
}

// Number of passes between the newest one and the switch, so that all ranks are armed before the
// group reaches it. Orders mostly take less than the rest of the current pass, and a hold keeps the
// group from reaching the switch too early.
const (
	minPassesAhead = 1
	maxPassesAhead = 12
	// switchTimeWeight is the weight of the newest switch in the smoothed time that the orders of a
	// switch take.
	switchTimeWeight = 0.5
)

// switchStep returns the number of the pass at which the next map comes into force.
func (l *leader) switchStep() uint64 {
	step := uint64(0)
	for _, m := range l.byRank {
		step = max(step, m.report.Step)
	}
	return step + uint64(min(l.passesAhead(), maxPassesAhead))
}

// passesAhead returns how many passes the orders of a switch take, judged by nearly all of the
// recent switches. A group that reaches the switch earlier stalls, which lengthens the pause of all
// its streams by that time.
func (l *leader) passesAhead() int {
	pass := l.planner.passTime
	if pass <= 0 {
		return minPassesAhead
	}
	return max(minPassesAhead, int(l.switchTime.UpperBound()/pass)+minPassesAhead)
}

// copyTime returns how long a rank takes to copy the given number of experts; 0 if the link's
// bandwidth is unknown.
func (l *leader) copyTime(copies int) time.Duration {
	if l.shape.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(copies) * l.shape.ExpertBytes / l.shape.LinkRate * float64(time.Second))
}

// requestsByRank returns the number of requests of each rank, running and waiting.
func (l *leader) requestsByRank() []int {
	list := make([]int, len(l.byRank))
	for r, m := range l.byRank {
		list[r] = m.report.Running + m.report.Waiting
	}
	return list
}

// speeds returns the speed of each rank, or nil if all are equal.
func (l *leader) speeds() []float64 {
	speed := make([]float64, len(l.byRank))
	allEqual := true
	for r, m := range l.byRank {
		speed[r] = 1
		if slowdown := m.report.Slowdown; slowdown > 1 {
			speed[r] = 1 / slowdown
			allEqual = false
		}
	}
	if allEqual {
		return nil
	}
	return speed
}

// yield lets other goroutines run between two steps of planning, since the runtime may not be
// allowed to preempt them.
func yield() { time.Sleep(time.Microsecond) }

// engineShape returns the published parameters of a service's engines, or nil if there are none.
func engineShape(c *fleet.Config, service string) *fleet.Engine {
	if c == nil || c.Service(service) == nil {
		return nil
	}
	return c.Service(service).Engine
}
