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
	"github.com/canvaspulley/canvaspulley/internal/decide/grouplimit"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Intervals and timeouts of a leader.
const (
	// minPollInterval is the minimum time between the starts of two polls of the group.
	minPollInterval = 70 * time.Millisecond
	// minPollPause is the minimum time from the end of a poll to the start of the next, so that
	// other tasks can run.
	minPollPause = 10 * time.Millisecond
	// pollIntervalPerCall is what each call of a poll adds to the poll interval, so that the leader
	// does not spend all its time on polling: a call takes about 0.2 ms of a core.
	pollIntervalPerCall = time.Millisecond
	// sidecarTimeout bounds a call to another sidecar: some round trips between failure domains,
	// plus delays from a small CPU share.
	sidecarTimeout = 250 * time.Millisecond
	// silentPollTimeout bounds a call to a sidecar that did not answer the last poll, and one to
	// its engine: some round trips of a new connection between failure domains, plus delays from a
	// small CPU share. It is short because the group may be stalled meanwhile.
	silentPollTimeout = 120 * time.Millisecond
	// listInterval is the time between two reads of the published endpoint list.
	listInterval = 2 * time.Second
	// listTimeout bounds one read of the list.
	listTimeout = time.Second
	// enginePollInterval is the minimum time between two direct polls of an engine whose sidecar is
	// silent: each has a cost, and one to a frozen instance delays a poll.
	enginePollInterval = 700 * time.Millisecond
	// engineReportDelay is how old an engine's report to another instance may be: the published
	// contract speaks of some hundred milliseconds.
	engineReportDelay = 500 * time.Millisecond
	// directOrderTimeout bounds one order sent directly to another rank's engine: some round trips
	// of a new connection between failure domains, plus the engine's processing time.
	directOrderTimeout = 30 * time.Millisecond
	// fenceIncrement is added to a fence that a rank rejected. It corresponds to two minutes, by which
	// the clock of an earlier leader may be ahead.
	fenceIncrement = 1 << 29
)

// member is the leader's view of one endpoint of the service.
type member struct {
	endpoint       fleet.Endpoint
	report         rank.Report
	lastSeen       time.Time // When it last answered a poll.
	answered       bool      // It answered the newest poll.
	sidecarSilent  bool      // Its sidecar did not answer the last poll.
	enginePolledAt time.Time // When its engine was last polled directly.
	reportDelayed  bool      // The report comes from such a poll: it may be engineReportDelay old.
	engineSilent   bool      // The engine did not answer that poll either.
}

// leader leads the group while its sidecar is the group's leader. Two concurrent leaders are
// harmless, since every order carries a fence.
type leader struct {
	s       *Sidecar
	shape   *fleet.Engine
	service string
	// pauseLimit is the shortest limit of the pause between events among the routes of the service;
	// 0 if there is none.
	pauseLimit     time.Duration
	listReadAt     time.Time
	members        []*member        // All endpoints of the service, ordered by failure domain.
	self           *member          // This sidecar's own member.
	byRank         []*member        // Members of this group by rank; nil before the first poll; the element of the absent rank is nil.
	absent         int              // Rank that led before, if only that rank does not answer; otherwise cutover.NoRank.
	machine        *cutover.Machine // Nil while this sidecar does not lead.
	rankStartTimes []int64          // Start times of the ranks' engines when machine was created.
	fence          uint64
	planner        planner
	switchTime     estimate.Estimator // How long the orders of a switch take.
	copyOverrun    time.Duration      // Smoothed time by which changes exceed their copy time: distributing the map and detecting that the copies are complete.
	switchedAt     time.Time          // When the last switch ended.
	ordersEndedAt  time.Time          // When the last orders of the cutover machine were sent and answered.
	limiter        grouplimit.Limiter
	loadsSentAt    time.Time    // When the loads of all ranks were last sent to gateways.
	fullMap        encodedMap   // Map of the change in progress.
	mapDelta       encodedMap   // The same map as a delta to the map in force.
	lastResponse   treeResponse // Response to the last poll through the tree.
	countsPolledAt time.Time    // When counts were last requested.
	// minCountsInterval is the time between two requests for counts that keeps them within
	// countsLinkShare of the link.
	minCountsInterval time.Duration
	epoch             uint64
	openedAt          time.Time // When this epoch was first seen.
}

func newLeader(s *Sidecar) *leader {
	return &leader{s: s, absent: cutover.NoRank, switchTime: estimate.New(switchTimeWeight)}
}

// run polls the group until ctx ends. Between two polls it waits at least minPollPause.
func (l *leader) run(ctx context.Context) error {
	began := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		wait.For(ctx, max(l.nextPollInterval(now)-now.Sub(began), minPollPause))
		began = time.Now()
		l.poll(ctx)
	}
	return nil
}

// pollInterval returns the time from one poll to the next while no event is awaited.
func (l *leader) pollInterval() time.Duration {
	return minPollInterval + l.callsPerPoll()*pollIntervalPerCall
}

// callsPerPoll returns how many calls this sidecar makes for a poll. It returns a Duration only
// because the callers multiply the number by the time that each call adds.
func (l *leader) callsPerPoll() time.Duration {
	others := max(len(l.byRank)-1, 0)
	return time.Duration(min(others, fanoutFor(others)))
}

// nextPollInterval returns the time from the start of the last poll to the start of the next. It is
// short while an event is awaited. While experts are copied, it is at most the time until the copies
// should be complete.
func (l *leader) nextPollInterval(now time.Time) time.Duration {
	if l.awaitsEvent(now) {
		return awaitPollInterval + l.callsPerPoll()*pollIntervalPerCall/2
	}
	if p := l.planner.pending; p != nil {
		return min(max(p.copiesDueAt.Sub(now), 0), l.pollInterval())
	}
	return l.pollInterval()
}

// awaitsEvent reports whether an event is due for which the leader polls immediately and then
// often: the end of copying, or the pass from which a map is in force.
func (l *leader) awaitsEvent(now time.Time) bool {
	if p := l.planner.pending; p != nil && !now.Before(p.copiesDueAt) {
		return true
	}
	return now.Sub(l.switchedAt) < settlePollPeriod && l.machine != nil && l.machine.Phase == cutover.Settling
}

// poll runs one round of leading if this sidecar is to lead, and resigns otherwise. If engines do
// not check fences, it does nothing. The round ends early if the published list lacks this endpoint
// or has not been read yet, if a rank other than the former leader does not answer, or if another
// rank is to lead by the end of the poll.
func (l *leader) poll(ctx context.Context) {
	own, ok := l.s.Report()
	if !l.s.cfg.Fences {
		return // Without fences, an order that is executed late cannot be rejected.
	}
	if !ok || !own.Open || own.Size < 2 {
		l.resign("group not open")
		return
	}
	if own.Epoch != l.epoch {
		l.resign("new epoch")
		l.epoch, l.openedAt = own.Epoch, time.Now()
	}
	if !l.shouldLead(own) {
		l.resign("another rank leads")
		return
	}
	l.raiseFence(own)
	l.refreshMembers(ctx)
	if l.machine == nil {
		l.markSilentLeader(time.Now())
	}
	l.s.setAnnouncement(l.members, peers.Lead{Group: own.Group, Epoch: own.Epoch, Rank: own.Rank, Fence: l.fence})
	if l.self == nil {
		return // The list does not contain this endpoint or has not been read yet.
	}
	complete := l.pollRanks(ctx, own)
	l.sendGroupLoads(own)
	l.ingestCounts()
	if !complete {
		return
	}
	if !l.shouldLead(own) { // A poll is slow when a rank is silent; a lower rank may have started leading meanwhile.
		l.resign("another rank leads")
		return
	}
	l.driveCutover(ctx, own)
}

// refreshMembers reads the published list if listInterval has passed since the last attempt, and
// keeps what is known of the members that are still listed. A stale list is sufficient, since ranks
// report their group and rank themselves.
func (l *leader) refreshMembers(ctx context.Context) {
	if time.Since(l.listReadAt) < listInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l.listReadAt = time.Now()
	snap, err := l.s.source.Snapshot(ctx, true)
	if err != nil {
		l.s.log.Debug("cannot read the endpoint list", zap.String("error", err.Error()))
		return
	}
	for _, e := range snap.Endpoints {
		if e.Address == l.s.cfg.Address {
			l.service = e.Service
		}
	}
	if shape := engineShape(snap.Config, l.service); shape != nil {
		l.shape, l.pauseLimit = shape, snap.Config.MaxPause(l.service)
	}
	known := map[string]*member{}
	for _, m := range l.members {
		known[m.endpoint.ID] = m
	}
	l.members, l.self = l.members[:0:0], nil
	for _, e := range snap.Endpoints {
		if e.Service != l.service {
			continue
		}
		m := known[e.ID]
		if m == nil {
			m = &member{}
		}
		m.endpoint = e
		l.members = append(l.members, m)
		if e.Address == l.s.cfg.Address {
			l.self = m
		}
	}
	slices.SortFunc(l.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.endpoint.Domain, b.endpoint.Domain), cmp.Compare(a.endpoint.Address, b.endpoint.Address))
	})
}

// driveCutover advances the cutover machine by one round. It makes a new machine if there is none or
// the absent rank has changed, and resigns if a rank has restarted. Maps are changed only while no
// rank is absent and the machine is ready; otherwise, the round continues what was begun.
func (l *leader) driveCutover(ctx context.Context, own rank.Report) {
	if l.machine != nil && anyRestarted(l.rankStartTimes, l.startTimes()) {
		l.resign("a rank has restarted")
		return // The next poll covers all ranks again.
	}
	if l.needsNewMachine() {
		l.fence = cutover.NextFence(l.fence, time.Now(), own.Rank)
		l.machine = cutover.New(own.Size, own.Rank, l.fenceAbsent(own), own.Epoch, l.fence)
		l.planner.pending = nil
		l.rankStartTimes = l.startTimes()
		l.s.log.Info("leads", zap.Int("absent", l.absent), zap.String("group", own.Group), zap.Uint64("epoch", own.Epoch), zap.Int("rank", own.Rank), zap.Uint64("fence", l.fence))
	}
	m := l.machine
	settles := m.Phase == cutover.Settling || m.Phase == cutover.Ready
	if settles && l.reportsMayPrecedeOrders() || !m.Observe(l.reports()) {
		return
	}
	if l.absent != cutover.NoRank {
		l.sendUntilSettled(ctx, recoveryTimeout)
		return
	}
	switch {
	case m.Phase != cutover.Ready:
		l.sendUntilSettled(ctx, recoveryTimeout)
	case l.planner.pending != nil:
		l.advanceChange(ctx)
	default:
		l.planChange(ctx)
	}
}

// needsNewMachine reports whether a new machine must raise the fence at all ranks before the cutover
// continues: this sidecar begins to lead, the absent rank has changed, or no fence is left for an abort.
func (l *leader) needsNewMachine() bool {
	m := l.machine
	return m == nil || m.AbsentRank() != l.absent || m.Phase == cutover.Ready && !m.CanAbort()
}

// Limits of cutover rounds.
const (
	// recoveryTimeout bounds one round of recovery; the next poll continues it.
	recoveryTimeout = 400 * time.Millisecond
	// maxPrepareAttempts is how often the orders to copy experts are sent at most. In a few cases
	// all orders of one attempt are lost.
	maxPrepareAttempts = 2
	// copyGracePeriod is how much longer than twice the expected time copying may take: as long as
	// the polls that detect its end may take.
	copyGracePeriod = 2 * sidecarTimeout
	// switchTimeout bounds how long a switch may stall the group.
	switchTimeout = 350 * time.Millisecond
	// settlePollPeriod is how long after a switch the leader polls often for the pass from which
	// the map is in force: some passes.
	settlePollPeriod = 500 * time.Millisecond
	// awaitPollInterval is the time between two polls for an awaited event, without the part that
	// grows with the number of calls.
	awaitPollInterval = 25 * time.Millisecond
)

// sendUntilSettled sends the cutover machine's orders until its phase is Settling or Ready, which need
// none, or limit has passed. It resigns if a rank rejected the fence.
func (l *leader) sendUntilSettled(ctx context.Context, limit time.Duration) {
	defer func() { l.ordersEndedAt = time.Now() }()
	began := time.Now()
	m := l.machine
	if m == nil {
		return // This leader has resigned after a higher fence.
	}
	for ctx.Err() == nil && time.Since(began) < limit {
		switch m.Phase {
		case cutover.Settling, cutover.Ready:
			return
		case cutover.Deposed:
			l.deposed()
			return
		}
		l.sendPhaseOrders(ctx)
	}
}
