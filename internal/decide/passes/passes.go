// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package passes judges how many requests a group of ranks may hold so that its
// passes stay within the pause that callers allow between two events. All ranks
// of a group make each pass together, so a group is judged as a whole; which rank
// takes a request is package balance's matter. It is a pure state machine: time
// and chance come in as arguments, and the caller serialises access.
package passes

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Shape is what is published of the engines of a group and of what their callers
// want.
type Shape struct {
	FixedCost       float64       // Requests whose work equals that of a pass without any.
	Slots           int           // Requests that a rank runs at once.
	EmptyPass       time.Duration // Pass without any request, at an even load.
	MaxPause        time.Duration // Longest pause between two events that is in time; 0 for none.
	PassesPerAnswer float64       // That a usual answer takes.
}

// NewShape returns the shape of engines whose callers allow a pause between two events.
func NewShape(e *fleet.Engine, pause time.Duration) Shape {
	return Shape{
		FixedCost:       max(float64(e.BaseStepTime)/float64(e.DecodeTimePerRequest), 1),
		Slots:           e.Slots,
		EmptyPass:       e.BaseStepTime * time.Duration(e.StepsPerPass),
		MaxPause:        pause,
		PassesPerAnswer: e.MeanAnswerTokens / float64(max(e.StepsPerPass, 1)),
	}
}

// RankReport is what a rank tells.
type RankReport struct {
	Running  int
	PassTime time.Duration // Time of a pass; 0 when not known.
	Slowdown float64       // Above 1 when it is slow.
	Closed   bool          // Its group serves nothing now.
	At       time.Time
}

const (
	// rankAge is how long a rank's word counts: ranks tell several times a second.
	rankAge = 1500 * time.Millisecond
	// gapAge is how long pauses that were seen count, in the longest one that is in
	// time: they come with each pass while a stream is under way here.
	gapAge = 3
	// gapWeight is the weight of the newest pause: a pass is seen in those of all
	// streams here, one after the other.
	gapWeight = 0.4
	// firstWeight is the weight of the newest time to a first event: as in the usual
	// estimate of round trips.
	firstWeight = 0.125
	// hopelessShare is the part of that pause from which on a slow rank's empty
	// pass leaves no answer in time.
	hopelessShare = 0.95
	// guessedFill is the part of the longest pause that a pass may last by what a process
	// knows that sees a group by its own streams and by late reports: the rest is for
	// prompts that come together and for requests that other gateways let in meanwhile.
	guessedFill = 0.85
	// slowShare is the part of what a slow rank's empty pass leaves of that pause
	// that passes may fill; guessedFill of the whole may be out of reach then.
	slowShare = 0.5
	// leastLet is how many requests a rank gets however long its passes are: with
	// fewer, a pass is mostly work that it makes without any.
	leastLet = 4
	// vacateShare is the part of the longest pause from which on a rank is cleared if
	// its slowness makes a pass so long with a single request: then nothing that its
	// group answers is in time until it holds none.
	vacateShare = 0.5
	// vacateFill is the part of the slots of the other ranks that may be taken when
	// the requests of slow ranks are moved to them.
	vacateFill = 0.9
)

// group is what is known of one group.
type group struct {
	shape Shape
	ranks map[string]RankReport
	words int           // Of ranks since round.
	round time.Time     // When as many words as there are ranks had last come.
	gap   time.Duration // Smoothed pause between events of streams here; 0 before the first.
	gapAt time.Time
	first estimate.Estimator // From sending a request to its first event.
	told  toldLimit
}

// Tracker follows the passes of groups.
type Tracker struct {
	groups map[string]*group
	member map[string]string // Group by endpoint.
}

// New returns a tracker that knows no group.
func New() *Tracker { return &Tracker{groups: map[string]*group{}, member: map[string]string{}} }

// Report takes in what a rank tells of itself and its group.
func (t *Tracker) Report(id, name string, s Shape, r RankReport) {
	if before, ok := t.member[id]; ok && before != name {
		t.forget(id)
	}
	if name == "" {
		return
	}
	g := t.groups[name]
	if g == nil {
		g = &group{ranks: map[string]RankReport{}, first: estimate.New(firstWeight)}
		t.groups[name] = g
	}
	t.member[id] = name
	g.shape = s
	g.ranks[id] = r
	if g.words++; g.words >= len(g.ranks) {
		g.words, g.round = 0, r.At
	}
}

// RecordGap takes in the pause before an event of a stream here: it is a pass, seen
// sooner than ranks can tell of it.
func (t *Tracker) RecordGap(id string, d time.Duration, now time.Time) {
	g := t.groups[t.member[id]]
	if g == nil {
		return
	}
	if now.Sub(g.gapAt) > gapAge*g.shape.MaxPause {
		g.gap = d
	}
	g.gap += time.Duration(gapWeight * float64(d-g.gap))
	g.gapAt = now
}

// RecordFirstEvent takes in how long a request took from being sent to its first event.
func (t *Tracker) RecordFirstEvent(id string, d time.Duration) {
	g := t.groups[t.member[id]]
	if g == nil {
		return
	}
	g.first.Add(d)
}

// TypicalTimes returns the time until nearly all first events of an endpoint's group come and
// that between two events of its streams, 0 where it is not known.
func (t *Tracker) TypicalTimes(id string) (first, pass time.Duration) {
	g := t.groups[t.member[id]]
	if g == nil {
		return 0, 0
	}
	if g.first.Known() {
		first = g.first.UpperBound()
	}
	return first, g.gap
}

// Turnover is how soon a group takes and answers requests.
type Turnover struct {
	Rate       float64       // Requests a second that end at one rank when it holds as many as it may.
	FirstEvent time.Duration // Until the first event of nearly all.
}

// Turnover returns that of a group which may hold so many requests a rank; ok is
// false when it is not known.
func (t *Tracker) Turnover(name string, perRank float64, now time.Time) (v Turnover, ok bool) {
	g := t.groups[name]
	if g == nil || g.shape.PassesPerAnswer <= 0 || !g.first.Known() {
		return v, false
	}
	work, ok := g.work(now)
	if !ok {
		return v, false
	}
	pass := work * (g.shape.FixedCost + perRank)
	return Turnover{Rate: perRank / (g.shape.PassesPerAnswer * pass), FirstEvent: g.first.UpperBound()}, true
}

// Forget drops what is known of endpoints that are no longer listed.
func (t *Tracker) Forget(listed func(id string) bool) {
	for id := range t.member {
		if !listed(id) {
			t.forget(id)
		}
	}
}

func (t *Tracker) forget(id string) {
	name := t.member[id]
	delete(t.member, id)
	g := t.groups[name]
	if g == nil {
		return
	}
	if delete(g.ranks, id); len(g.ranks) == 0 {
		delete(t.groups, name)
	}
}

// GroupOf returns the group of an endpoint, "" when it is not known.
func (t *Tracker) GroupOf(id string) string { return t.member[id] }

// LastRound returns the time by which as many words as a group has ranks had come once
// more: what is known of it is no older than that, but for words that were lost.
func (t *Tracker) LastRound(name string) (at time.Time) {
	if g := t.groups[name]; g != nil {
		at = g.round
	}
	return at
}

// work returns how much a request adds to a pass, in seconds: the time of a pass
// by the requests at a rank, with those that its empty part equals.
func (g *group) work(now time.Time) (seconds float64, ok bool) {
	n, pass, running := 0, time.Duration(0), 0
	for _, r := range g.ranks {
		if r.Closed || r.PassTime <= 0 || now.Sub(r.At) > rankAge {
			continue
		}
		n++
		pass += r.PassTime
		running += min(r.Running, max(g.shape.Slots, 1))
	}
	if n == 0 {
		return 0, false
	}
	mean := float64(running) / float64(n)
	last := pass.Seconds() / float64(n)
	if now.Sub(g.gapAt) <= gapAge*g.shape.MaxPause {
		last = g.gap.Seconds()
	}
	return last / (g.shape.FixedCost + mean), true
}

// Limit returns how many requests a rank of a group may hold in the mean: what was told
// of it, or while that is old, what this process guesses. Ok is false when nothing is
// known that limits it but its slots.
func (t *Tracker) Limit(name string, now time.Time) (perRank float64, ok bool) {
	g := t.groups[name]
	if g != nil && g.told.fresh(now) {
		return g.told.perRank, true
	}
	return t.Estimate(name, now)
}

// Estimate is Limit by what this process knows itself.
func (t *Tracker) Estimate(name string, now time.Time) (perRank float64, ok bool) {
	g := t.groups[name]
	if g == nil || g.shape.MaxPause <= 0 || g.shape.Slots <= 0 {
		return 0, false
	}
	work, ok := g.work(now)
	if !ok {
		return 0, false
	}
	return g.limit(work, guessedFill, leastLet, now), true
}

// limit returns how many requests a rank may hold in the mean so that a pass to which each
// adds so many seconds lasts a part of the longest pause, but no fewer than least.
func (g *group) limit(work, fill, least float64, now time.Time) (perRank float64) {
	pause, pace := g.shape.MaxPause.Seconds(), g.pace(now)
	empty := pace * g.shape.EmptyPass.Seconds()
	if empty > hopelessShare*pause {
		return float64(g.shape.Slots) // Nothing is in time: as many as possible are served.
	}
	most := fill * pause
	if pace > 1 {
		most = max(most, empty+slowShare*(pause-empty))
	}
	return min(max(most/work-g.shape.FixedCost, least), float64(g.shape.Slots))
}

// pace returns that of the slowest rank that holds requests, at least 1: one that
// holds none makes no part of a pass but that of its experts.
func (g *group) pace(now time.Time) float64 {
	pace := 1.0
	for _, r := range g.ranks {
		if !r.Closed && r.Running > 0 && now.Sub(r.At) <= rankAge {
			pace = max(pace, r.Slowdown)
		}
	}
	return pace
}

// ShouldMoveRequests reports whether the requests at an endpoint are to be moved to other
// ranks of its group, since it is so slow that all passes take too long by it.
func (t *Tracker) ShouldMoveRequests(id string, now time.Time) bool {
	g := t.groups[t.member[id]]
	if g == nil || !g.slow(g.ranks[id]) {
		return false
	}
	running, room := 0, 0
	for _, r := range g.ranks {
		if r.Closed || now.Sub(r.At) > rankAge {
			continue
		}
		running += r.Running
		if !g.slow(r) {
			room += g.shape.Slots
		}
	}
	return float64(running) <= vacateFill*float64(room)
}

func (g *group) slow(r RankReport) bool {
	return r.Slowdown > 1 && r.Slowdown*g.shape.EmptyPass.Seconds() > vacateShare*g.shape.MaxPause.Seconds()
}

// Option is a group that could take a request.
type Option struct {
	Ranks      int       // That may be chosen.
	Requests   int       // Requests at them.
	Limit      float64   // That one of them may hold in the mean.
	SameDomain int       // Ranks in the failure domain of the process.
	LastReport time.Time // When one of its ranks was last heard; zero when none ever was.
	Silent     bool      // It is passed over, since others are heard and it is not.
}

// silentAfter is how long nothing is heard of a whole group that is cut off: each of its
// ranks tells of itself at least every half second, a large group's leader ten times a
// second, and messages are lost one by one. Connections to it say nothing for longer.
const silentAfter = 400 * time.Millisecond

// MarkSilent marks the groups of which nothing is heard any more while others are
// heard. Where none is, the process itself is cut off, and all count.
func MarkSilent(offers []Option, now time.Time) {
	heard := func(o Option) bool { return now.Sub(o.LastReport) <= silentAfter }
	if !slices.ContainsFunc(offers, heard) {
		return
	}
	for i, o := range offers {
		offers[i].Silent = !o.LastReport.IsZero() && !heard(o)
	}
}

// FreeCapacity is how many more requests the group may take.
func (o Option) FreeCapacity() float64 { return o.Limit*float64(o.Ranks) - float64(o.Requests) }

// nearWeight is how much more often a group is drawn if all its ranks are near:
// bytes between failure domains are dear, yet groups must fill alike.
const nearWeight = 2.0

// Choose draws a group with the room that it has, so that gateways that see the
// same do not all take the same one; ok is false when none has room for one more.
func Choose(offers []Option, random func(n int) int) (index int, ok bool) {
	weights := make([]int, len(offers))
	sum := 0
	for i, o := range offers {
		if o.FreeCapacity() < 1 || o.Silent {
			continue
		}
		near := 1 + (nearWeight-1)*float64(o.SameDomain)/float64(max(o.Ranks, 1))
		weights[i] = max(int(o.FreeCapacity()*near*weightUnit), 1)
		sum += weights[i]
	}
	if sum == 0 {
		return 0, false
	}
	n := random(sum)
	for i, w := range weights {
		if n -= w; n < 0 {
			return i, true
		}
	}
	return len(offers) - 1, true
}

// weightUnit is how many parts of a request's room a weight tells apart.
const weightUnit = 8
