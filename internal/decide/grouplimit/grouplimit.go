// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package grouplimit limits the number of requests that a group of ranks may hold so that
// its passes through the model stay within the pause that callers allow between two
// events of a stream. All ranks of a group make each pass together, so the limit
// applies to a group as a whole; package balance chooses the rank for a request. It
// is a pure state machine: time and randomness are passed as arguments, and the
// caller serialises access.
package grouplimit

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Shape holds the published properties of the engines of a group, and the
// requirements of their callers.
type Shape struct {
	FixedCost       float64       // Cost of a pass without requests, as the number of requests that add the same cost.
	Slots           int           // Requests that a rank runs concurrently.
	EmptyPass       time.Duration // Duration of a pass without requests, at an even load.
	MaxPause        time.Duration // Maximum pause between two events for a stream to be in time; 0 for no limit.
	PassesPerAnswer float64       // Number of passes that an average answer takes.
}

// NewShape returns the shape of engines whose callers allow a pause between two events, 0 for any
// pause. FixedCost is at least 1, so that the cost of a request is finite in a group without requests.
func NewShape(e *fleet.Engine, pause time.Duration) Shape {
	return Shape{
		FixedCost:       max(float64(e.BaseStepTime)/float64(e.DecodeTimePerRequest), 1),
		Slots:           e.Slots,
		EmptyPass:       e.BaseStepTime * time.Duration(e.StepsPerPass),
		MaxPause:        pause,
		PassesPerAnswer: e.MeanAnswerTokens / float64(max(e.StepsPerPass, 1)),
	}
}

// RankReport is the load of a rank as it reports it.
type RankReport struct {
	Running  int
	PassTime time.Duration // Duration of a pass; 0 if unknown.
	Slowdown float64       // Factor by which the rank is slower than normal, above 1 if it is slow.
	Closed   bool          // Its group serves no requests now.
	At       time.Time     // Time of the report.
}

const (
	// maxReportAge is how long a rank's report is valid: ranks report several times a second.
	maxReportAge = 1500 * time.Millisecond
	// gapValidity is how long observed pauses are valid, in multiples of MaxPause: each pass
	// produces one while this process has a stream.
	gapValidity = 3
	// gapWeight is the weight of the newest pause in the moving average: one pass appears in the
	// pauses of all streams of this process, one after the other.
	gapWeight = 0.4
	// firstWeight is the weight of the newest time to a first event, as in the standard
	// round-trip time estimation.
	firstWeight = 0.125
	// hopelessFraction is the fraction of MaxPause above which the empty pass of a slow rank
	// leaves no answer in time.
	hopelessFraction = 0.95
	// estimateFill is the fraction of MaxPause that a pass may last if the limit is estimated by a
	// process that knows a group only by its own streams and by delayed reports. The remainder is
	// headroom for prompts that arrive together and for requests that other gateways admit in the
	// meantime.
	estimateFill = 0.85
	// slowFill is the fraction of the time between a slow rank's empty pass and MaxPause that
	// passes may fill: estimateFill of MaxPause may be unreachable with a slow rank.
	slowFill = 0.5
	// minEstimate is the minimum number of requests per rank, however long passes are: with fewer,
	// most of a pass is its fixed cost.
	minEstimate = 4
	// moveThreshold is the fraction of MaxPause that the empty pass of a slow rank must exceed for
	// its requests to be moved to other ranks: a single request makes a pass of the whole group
	// last so long that no answer of the group is in time until this rank holds no request.
	moveThreshold = 0.5
	// moveFill is the maximum fraction of the slots of the other ranks in use for the requests of
	// slow ranks to be moved to them.
	moveFill = 0.9
)

// group is the state of one group.
type group struct {
	shape          Shape
	ranks          map[string]RankReport
	reportsInRound int                // Number of reports since lastRound.
	lastRound      time.Time          // Time of the last report that completed a round: as many reports as there are ranks.
	gap            time.Duration      // Moving average of pauses between stream events of this process; 0 before the first.
	gapAt          time.Time          // Time of the last recorded pause.
	firstEvent     estimate.Estimator // Time from sending a request to its first event.
	announced      leaderLimit
}

// Tracker tracks the passes of groups.
type Tracker struct {
	groups  map[string]*group
	groupOf map[string]string // Name of the group by endpoint.
}

// New returns a tracker without groups.
func New() *Tracker { return &Tracker{groups: map[string]*group{}, groupOf: map[string]string{}} }

// Report records the report of a rank, the endpoint id, with the name and shape of its group; an
// empty name is a rank without a group.
func (t *Tracker) Report(id, name string, s Shape, r RankReport) {
	if before, ok := t.groupOf[id]; ok && before != name {
		t.forget(id)
	}
	if name == "" {
		return
	}
	g := t.groups[name]
	if g == nil {
		g = &group{ranks: map[string]RankReport{}, firstEvent: estimate.New(firstWeight)}
		t.groups[name] = g
	}
	t.groupOf[id] = name
	g.shape = s
	g.ranks[id] = r
	if g.reportsInRound++; g.reportsInRound >= len(g.ranks) {
		g.reportsInRound, g.lastRound = 0, r.At
	}
}

// RecordGap records the pause d between two events of a stream that this process receives from
// endpoint id. The pause shows the duration of a pass before the ranks report it, since each pass
// produces one event of each stream. The average starts again if the last pause is too old.
func (t *Tracker) RecordGap(id string, d time.Duration, now time.Time) {
	g := t.groups[t.groupOf[id]]
	if g == nil {
		return
	}
	if now.Sub(g.gapAt) > gapValidity*g.shape.MaxPause { // The average is too old: it starts again with d.
		g.gap = d
	}
	g.gap += time.Duration(gapWeight * float64(d-g.gap))
	g.gapAt = now
}

// RecordFirstEvent records the time from sending a request to its first event.
func (t *Tracker) RecordFirstEvent(id string, d time.Duration) {
	g := t.groups[t.groupOf[id]]
	if g == nil {
		return
	}
	g.firstEvent.Add(d)
}

// TypicalTimes returns two times of an endpoint's group, each 0 if unknown: the time within which
// nearly all first events arrive, and the time between two events of a stream, which is that of one
// pass.
func (t *Tracker) TypicalTimes(id string) (first, pass time.Duration) {
	g := t.groups[t.groupOf[id]]
	if g == nil {
		return 0, 0
	}
	if g.firstEvent.Known() {
		first = g.firstEvent.UpperBound()
	}
	return first, g.gap
}

// Turnover is the rate at which one rank of a group completes requests, and the group's time to a
// first event.
type Turnover struct {
	Rate       float64       // Requests per second that end at one rank when it holds as many as its limit.
	FirstEvent time.Duration // Time within which nearly all first events arrive.
}

// Turnover returns the turnover of a group whose ranks hold perRank requests each. The result ok is
// false if the number of passes per answer, the time to a first event or the pass time is unknown.
func (t *Tracker) Turnover(name string, perRank float64, now time.Time) (v Turnover, ok bool) {
	g := t.groups[name]
	if g == nil || g.shape.PassesPerAnswer <= 0 || !g.firstEvent.Known() {
		return v, false
	}
	requestCost, ok := g.requestCost(now)
	if !ok {
		return v, false
	}
	pass := requestCost * (g.shape.FixedCost + perRank)
	return Turnover{Rate: perRank / (g.shape.PassesPerAnswer * pass), FirstEvent: g.firstEvent.UpperBound()}, true
}

// Forget removes endpoints that are no longer listed.
func (t *Tracker) Forget(listed func(id string) bool) {
	for id := range t.groupOf {
		if !listed(id) {
			t.forget(id)
		}
	}
}

func (t *Tracker) forget(id string) {
	name := t.groupOf[id]
	delete(t.groupOf, id)
	g := t.groups[name]
	if g == nil {
		return
	}
	if delete(g.ranks, id); len(g.ranks) == 0 {
		delete(t.groups, name)
	}
}

// GroupOf returns the name of an endpoint's group, "" if it is not known.
func (t *Tracker) GroupOf(id string) string { return t.groupOf[id] }

// LastRound returns the time at which the last round of reports was complete; zero before the first.
// A round is as many reports as the group has ranks. Unless reports were lost, the oldest report
// known at that time was no older than one round.
func (t *Tracker) LastRound(name string) (at time.Time) {
	if g := t.groups[name]; g != nil {
		at = g.lastRound
	}
	return at
}

// requestCost returns the time, in seconds, that one request per rank adds to a pass: the duration of
// a pass divided by the sum of FixedCost and the mean requests per rank. The duration is that of
// recent pauses in this process's streams, or the mean of the ranks' reports if there are none.
// Reports that are too old, without a pass time or of a closed group are ignored; ok is false if
// none remains.
func (g *group) requestCost(now time.Time) (seconds float64, ok bool) {
	valid, passTimeSum, runningSum := 0, time.Duration(0), 0
	for _, r := range g.ranks {
		if r.Closed || r.PassTime <= 0 || now.Sub(r.At) > maxReportAge {
			continue
		}
		valid++
		passTimeSum += r.PassTime
		runningSum += min(r.Running, max(g.shape.Slots, 1)) // A pass has at most Slots requests of a rank.
	}
	if valid == 0 {
		return 0, false
	}
	meanRunning := float64(runningSum) / float64(valid)
	passTime := passTimeSum.Seconds() / float64(valid)
	if now.Sub(g.gapAt) <= gapValidity*g.shape.MaxPause {
		passTime = g.gap.Seconds()
	}
	return passTime / (g.shape.FixedCost + meanRunning), true
}

// Limit returns how many requests a rank of a group may hold on average: the limit that the
// group's leader announced, or this process's estimate if none was announced recently. The result
// ok is false if there is no estimate either; then only the slots are known to limit the requests.
func (t *Tracker) Limit(name string, now time.Time) (perRank float64, ok bool) {
	g := t.groups[name]
	if g != nil && g.announced.fresh(now) {
		return g.announced.perRank, true
	}
	return t.Estimate(name, now)
}

// Estimate returns how many requests a rank of a group may hold on average, as estimated by this
// process without the leader's limit. The result ok is false if the group is not known, if its
// MaxPause is 0 (streams have no limit), if it has no slots, or if its pass time is not known.
func (t *Tracker) Estimate(name string, now time.Time) (perRank float64, ok bool) {
	g := t.groups[name]
	if g == nil || g.shape.MaxPause <= 0 || g.shape.Slots <= 0 {
		return 0, false
	}
	requestCost, ok := g.requestCost(now)
	if !ok {
		return 0, false
	}
	return g.limitFor(requestCost, estimateFill, minEstimate, now), true
}

// limitFor returns how many requests a rank may hold on average so that a pass, to which each
// request adds requestCost seconds, lasts at most the fraction fill of MaxPause. The limit is at
// least minPerRank and at most the number of slots. With a slow rank, a pass may be longer: its
// empty pass plus slowFill of the time that remains to MaxPause.
func (g *group) limitFor(requestCost, fill, minPerRank float64, now time.Time) (perRank float64) {
	pause, slowdown := g.shape.MaxPause.Seconds(), g.slowdown(now)
	empty := slowdown * g.shape.EmptyPass.Seconds()
	if empty > hopelessFraction*pause {
		return float64(g.shape.Slots) // No answer is in time: serve as many as possible.
	}
	maxPass := fill * pause
	if slowdown > 1 {
		maxPass = max(maxPass, empty+slowFill*(pause-empty))
	}
	return min(max(maxPass/requestCost-g.shape.FixedCost, minPerRank), float64(g.shape.Slots))
}

// slowdown returns the slowdown of the slowest rank that holds requests, at least 1. A rank
// without requests contributes only the work of its experts to a pass.
func (g *group) slowdown(now time.Time) float64 {
	slowest := 1.0
	for _, r := range g.ranks {
		if !r.Closed && r.Running > 0 && now.Sub(r.At) <= maxReportAge {
			slowest = max(slowest, r.Slowdown)
		}
	}
	return slowest
}

// ShouldMoveRequests reports whether the requests at an endpoint are to be moved to other ranks of
// its group, because it is so slow that it makes all passes too long. It returns false if the
// requests of all ranks together would fill more than moveFill of the slots of the ranks that are
// not slow.
func (t *Tracker) ShouldMoveRequests(id string, now time.Time) bool {
	g := t.groups[t.groupOf[id]]
	if g == nil || !g.isSlow(g.ranks[id]) {
		return false
	}
	running, capacity := 0, 0
	for _, r := range g.ranks {
		if r.Closed || now.Sub(r.At) > maxReportAge {
			continue
		}
		running += r.Running
		if !g.isSlow(r) {
			capacity += g.shape.Slots
		}
	}
	return float64(running) <= moveFill*float64(capacity)
}

// isSlow reports whether a rank's empty pass exceeds moveThreshold of MaxPause.
func (g *group) isSlow(r RankReport) bool {
	return r.Slowdown > 1 && r.Slowdown*g.shape.EmptyPass.Seconds() > moveThreshold*g.shape.MaxPause.Seconds()
}

// Option is a group that could take a request, as input to Choose.
type Option struct {
	Ranks       int       // Ranks that may be chosen.
	Requests    int       // Requests that these ranks hold.
	OwnRequests int       // Those of this process among them.
	Limit       float64   // Requests that one of these ranks may hold on average.
	SameDomain  int       // Ranks in the failure domain of this process.
	LastReport  time.Time // Time of the last report of any of its ranks; zero before the first.
	Silent      bool      // It is skipped, as other groups report and it no longer does.
}

// silentAfter is the time without any report after which a whole group counts as partitioned off:
// each of its ranks reports at least every half second, the leader of a large group ten times a
// second, and single lost messages do not silence a group. Connections to the group take longer
// to show a partition.
const silentAfter = 400 * time.Millisecond

// MarkSilent marks the groups whose reports have stopped if other groups have recent ones. If none
// has, this process itself is partitioned off, and no group is marked. A group that has never
// reported is not marked either.
func MarkSilent(options []Option, now time.Time) {
	reported := func(o Option) bool { return now.Sub(o.LastReport) <= silentAfter }
	if !slices.ContainsFunc(options, reported) {
		return
	}
	for i, o := range options {
		options[i].Silent = !o.LastReport.IsZero() && !reported(o)
	}
}

// FreeCapacity returns how many more requests the group may take.
func (o Option) FreeCapacity() float64 { return o.Limit*float64(o.Ranks) - float64(o.Requests) }

// sameDomainWeight is the factor by which a group is chosen more often if all its ranks are in the
// failure domain of this process: traffic between failure domains is expensive, but all groups
// must fill evenly.
const sameDomainWeight = 2.0

// Choose chooses a random group, weighted by free capacity, so that gateways with the same view do
// not all choose the same group. Groups that are silent are skipped. The function random returns a
// number in [0, n). The result ok is false if no group has capacity for one more request.
func Choose(options []Option, random func(n int) int) (index int, ok bool) {
	weights := make([]int, len(options))
	sum := 0
	for i, o := range options {
		if o.FreeCapacity() < 1 || o.Silent {
			continue
		}
		domainWeight := 1 + (sameDomainWeight-1)*float64(o.SameDomain)/float64(max(o.Ranks, 1))
		weights[i] = max(int(o.FreeCapacity()*domainWeight*weightsPerRequest), 1)
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
	return len(options) - 1, true // Not reached: random returns less than sum.
}

// weightsPerRequest is the weight of capacity for one request. Weights are integers, so it is also
// their resolution.
const weightsPerRequest = 8
