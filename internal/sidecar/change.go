// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// planner follows the demand for experts and makes maps for it.
type planner struct {
	load     [][]float64 // Smoothed counts by set and expert.
	smoothed time.Time   // When load was last brought up to date.
	windows  [][]uint64  // Newest counts by rank.
	taken    []uint64    // Their numbers.
	heard    []time.Time // When they came.
	current  rebalance.Map
	version  uint64 // Of current; meaningful only when current is set.
	known    bool
	changed  time.Time     // Last switch.
	pass     time.Duration // Smoothed time of a pass; 0 when not known.
}

// Weights of planning.
const (
	// loadTime smooths the counts: what streams that end and begin are about
	// changes by chance within it.
	loadTime = 450 * time.Millisecond
	// windowLife is how long a rank's newest counts say what is asked for now:
	// about three looks.
	windowLife = 300 * time.Millisecond
	// shifted is the skew of the newest windows to that of the smoothed counts,
	// under the map in force, from which the demand is taken to have changed:
	// what was heard before is dropped then.
	shifted = 1.2
	// horizon is how long a gain is reckoned to last: demand shifts every few
	// seconds.
	horizon = 2500 * time.Millisecond
	// leastBetween lies between two switches.
	leastBetween = 50 * time.Millisecond
	// leastGain and paysTimes keep from changes that gain little: while one is
	// under way, a shift of demand has to wait.
	leastGain = 0.03
	paysTimes = 1.5
	// expertWork is the part of a pass that experts make when none is told.
	expertWork = 0.85
	gigabyte   = 1e9
	// versionsPerRank spreads the versions of different leaders.
	versionsPerRank = 1024
)

// Passes and what they mean for callers: an event of a stream comes with each
// pass, and its pause is a pass, longer by what is read of new prompts.
const (
	// easyPass is so short that a shorter one serves nobody better.
	easyPass = 52 * time.Millisecond
	// hardPass is so long that pauses go over the usual bound of 120 ms as soon
	// as prompts are read.
	hardPass = 95 * time.Millisecond
	// leastPressure is the part of the full value that a shorter pass always
	// has, since load may rise.
	leastPressure = 0.05
)

// pressure is the part of the full value that a shorter pass has now.
func (p *planner) pressure() float64 {
	part := float64(p.pass-easyPass) / float64(hardPass-easyPass)
	return min(max(part, leastPressure), 1)
}

// learn takes in the windows that are new. The newest windows of all ranks
// count together, as ranks differ in what their requests are about.
func (l *leader) learn() {
	p := &l.planner
	if l.shape == nil || l.shape.Sets == 0 {
		return
	}
	size := l.shape.Sets * l.shape.Experts
	if p.windows == nil {
		p.windows = make([][]uint64, len(l.byRank))
		p.taken = make([]uint64, len(l.byRank))
		p.heard = make([]time.Time, len(l.byRank))
	}
	now := time.Now()
	heard := false
	for r, m := range l.byRank {
		if m.state.Window == p.taken[r] || len(m.state.Work) == 0 {
			continue
		}
		p.taken[r] = m.state.Window
		flat, err := unpack(m.state.Work)
		if err != nil || len(flat) != size {
			l.s.log.Warn("counts left out", zap.Int("rank", r), zap.Int("numbers", len(flat)))
			continue
		}
		heard = true
		p.windows[r], p.heard[r] = flat, now
	}
	for r, at := range p.heard {
		if now.Sub(at) > windowLife {
			p.windows[r] = nil
		}
	}
	if heard {
		p.smooth(l.shape.Sets, l.shape.Experts, now)
	}
}

// smooth brings the smoothed counts up to date.
func (p *planner) smooth(sets, experts int, now time.Time) {
	newest := make([][]float64, sets)
	for k := range newest {
		newest[k] = make([]float64, experts)
		for _, flat := range p.windows {
			if len(flat) == 0 {
				continue
			}
			for x, n := range flat[k*experts : (k+1)*experts] {
				newest[k][x] += float64(n)
			}
		}
	}
	weight := 1 - math.Exp(-now.Sub(p.smoothed).Seconds()/loadTime.Seconds())
	p.smoothed = now
	if p.load == nil || p.hasShifted(newest, len(p.windows)) {
		p.load = newest
		return
	}
	for k := range p.load {
		for x := range p.load[k] {
			p.load[k][x] += weight * (newest[k][x] - p.load[k][x])
		}
	}
}

// hasShifted reports whether the newest counts load the map in force much less
// evenly than those before.
func (p *planner) hasShifted(newest [][]float64, ranks int) bool {
	if !p.known {
		return false
	}
	slowNow, meanNow := p.current.StepTime(newest, ranks, nil)
	slow, mean := p.current.StepTime(p.load, ranks, nil)
	return meanNow > 0 && mean > 0 && slowNow/meanNow > shifted*slow/mean
}

// change makes a new map and brings it into force, if that pays.
func (l *leader) change(ctx context.Context) {
	p := &l.planner
	if p.load == nil || l.shape == nil || time.Since(p.changed) < leastBetween {
		return
	}
	if !l.readMap(ctx) {
		return
	}
	next, copies, most, gain := l.plan()
	value := l.s.cfg.SkewPrice * horizon.Seconds() * p.pressure() * gain
	cost := float64(copies) * l.shape.ExpertBytes / gigabyte * l.s.cfg.CopyPrice
	if gain < max(leastGain, l.standstill()) || value <= paysTimes*cost {
		return
	}
	version := (l.machine.Newest/versionsPerRank+1)*versionsPerRank + uint64(l.machine.Self)
	layout := make([][][]int, len(next))
	for k, layer := range next {
		layout[k] = layer.Rows(len(l.byRank))
	}
	began := time.Now()
	m := l.machine
	m.Begin(version, layout)
	l.s.maps.put(mapKey{epoch: m.Epoch, fence: m.Fence, version: version}, packMap(layout))
	l.drive(ctx, prepareLimit)
	if !l.copied(ctx, began, l.copyTime(most)) {
		m.GiveUp()
		l.s.figures.gaveUp.Inc(1)
		l.s.log.Warn("map not copied", zap.Uint64("version", version), zap.Duration("after", time.Since(began)))
		return
	}
	copied := time.Now()
	before := m.Gained
	m.Switch(l.nextStep())
	l.drive(ctx, armLimit)
	m.GiveUp()
	l.drive(ctx, recoverLimit)
	p.changed = time.Now()
	l.arming += time.Duration(armingWeight * float64(p.changed.Sub(copied)-l.arming))
	done := m.Gained > before
	if done {
		p.current, p.version = next, version
		l.s.figures.switches.Inc(1)
		l.s.figures.copies.Inc(int64(copies))
	} else {
		l.s.figures.gaveUp.Inc(1)
	}
	l.s.log.Info("map changed", zap.Bool("in-force", done), zap.Uint64("version", version), zap.Int("copies", copies), zap.Float64("gain", gain),
		zap.Float64("value", value), zap.Float64("cost", cost), zap.Duration("pass", p.pass), zap.Ints("running", l.running()), zap.Float64s("speed", l.speeds()), zap.Duration("copying", copied.Sub(began)), zap.Duration("switching", p.changed.Sub(copied)))
}

// Passes between the newest one and the switch, so that all ranks are armed
// before the group reaches it.
const (
	leastAhead = 2
	mostAhead  = 12
	// armingWeight is the weight of the newest switch in the smoothed time that
	// the orders of a switch take.
	armingWeight = 0.5
)

func (l *leader) nextStep() uint64 {
	step := uint64(0)
	for _, m := range l.byRank {
		step = max(step, m.state.Report.Step)
	}
	return step + uint64(min(l.passesAhead(), mostAhead))
}

// passesAhead is how many passes the orders of a switch take, as the last ones
// did.
func (l *leader) passesAhead() int {
	pass := l.planner.pass
	if pass <= 0 {
		return leastAhead
	}
	return max(leastAhead, int(l.arming/pass)+leastAhead)
}

// standstill is the part of a pass's time that a switch must save in order to
// pay for the time that the group stands still, where the orders of switches
// have lately taken longer than the passes that lie before one can cover.
func (l *leader) standstill() float64 {
	covered := mostAhead * l.planner.pass
	return max(l.arming-covered, 0).Seconds() / horizon.Seconds()
}

// copyTime returns how long a rank takes for so many copies.
func (l *leader) copyTime(copies int) time.Duration {
	if l.shape.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(copies) * l.shape.ExpertBytes / l.shape.LinkRate * float64(time.Second))
}

// copied waits until every rank has the prepared experts and the machine may
// go on.
func (l *leader) copied(ctx context.Context, began time.Time, copying time.Duration) bool {
	own, _ := l.s.Report()
	if l.machine == nil || l.machine.Observe(l.reports()) && l.machine.Phase == cutover.Ready && l.machine.Copied(l.reports()) {
		return l.machine != nil // The answers to the orders told it.
	}
	wait.For(ctx, copying)
	for ctx.Err() == nil && l.machine != nil && time.Since(began) < prepareLimit {
		if l.ask(ctx, own) && l.machine.Observe(l.reports()) &&
			l.machine.Phase == cutover.Ready && l.machine.Copied(l.reports()) {
			return true
		}
		wait.For(ctx, max(copiedEvery, time.Duration(len(l.byRank))*lookPerRank/2))
	}
	return false
}

// readMap makes sure that the map in force is known. Map 0 is made by rule;
// any other was made here, or is read from the ranks' engines.
func (l *leader) readMap(ctx context.Context) bool {
	p := &l.planner
	version := l.byRank[0].state.Report.Map
	if p.known && p.version == version {
		return true
	}
	ranks := len(l.byRank)
	if version == 0 {
		p.current = make(rebalance.Map, l.shape.Sets)
		for k := range p.current {
			p.current[k] = make(rebalance.Layer, l.shape.Experts)
			for x := range p.current[k] {
				p.current[k][x] = []int{x % ranks}
			}
		}
		p.version, p.known = 0, true
		return true
	}
	rows := make([][][]int, ranks)
	for r, m := range l.byRank {
		call, cancel := context.WithTimeout(ctx, engineTimeout)
		h, err := l.s.dial(m.endpoint.Address).Held(call)
		cancel()
		if err != nil || h.Version != version || len(h.Sets) != l.shape.Sets {
			return false // It has just changed, or the next look asks again.
		}
		rows[r] = h.Sets
	}
	current := make(rebalance.Map, l.shape.Sets)
	for k := range current {
		bySet := make([][]int, ranks)
		for r := range rows {
			bySet[r] = rows[r][k]
		}
		layer, ok := rebalance.FromRows(bySet, l.shape.Experts)
		if !ok {
			l.s.log.Warn("map in force does not fit its shape", zap.Uint64("version", version), zap.Int("set", k))
			return false
		}
		current[k] = layer
	}
	p.current, p.version, p.known = current, version, true
	return true
}

// plan improves every set and returns the share of a pass that it saves.
func (l *leader) plan() (next rebalance.Map, copies, most int, gain float64) {
	p := &l.planner
	s := rebalance.Shape{Ranks: len(l.byRank), Experts: l.shape.Experts, Slots: l.shape.Places}
	share := l.shape.ExpertShare
	if share <= 0 {
		share = expertWork
	}
	value := l.s.cfg.SkewPrice * horizon.Seconds() * p.pressure() * share / float64(l.shape.Sets) // Of a set's mean load.
	least := l.shape.ExpertBytes / gigabyte * l.s.cfg.CopyPrice / value
	i := rebalance.NewImprover(s, p.current, p.load, l.speeds(), rebalance.Bounds{Spare: l.shape.Spare, PerRank: l.copiesPerRank(), Least: least})
	for n := 1; i.Step(); n++ {
		if n%stepsAtOnce == 0 {
			pause()
		}
	}
	r := i.Result()
	whole := (1 - share) + share*r.Before
	return r.Map, r.Copies, r.Most, share * (r.Before - r.After) / whole
}

const (
	// copyingTime bounds what a rank copies for one map: two maps one after the
	// other gain more than one twice as good. Mean scores of the two small sites,
	// where a copy takes 0.1 s, with 3, 2 and 1 copies: 0.69, 0.78, 0.81.
	copyingTime = 110 * time.Millisecond
	// stepsAtOnce is how many steps of planning are made before others run.
	stepsAtOnce = 8
)

// copiesPerRank returns how many experts a rank may copy for one map.
func (l *leader) copiesPerRank() int {
	one := l.copyTime(1)
	if one <= 0 {
		return 1
	}
	return max(int(copyingTime/one), 1)
}

// running returns the requests at work at each rank, for the log.
func (l *leader) running() []int {
	list := make([]int, len(l.byRank))
	for r, m := range l.byRank {
		list[r] = m.state.Report.Running + m.state.Report.Waiting
	}
	return list
}

// speeds returns the speed of each rank, nil when all are alike.
func (l *leader) speeds() []float64 {
	speed := make([]float64, len(l.byRank))
	alike := true
	for r, m := range l.byRank {
		speed[r] = 1
		if pace := m.state.Report.Pace; pace > 1 {
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
