// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package sidecar implements the process that runs beside a model engine. It reads the engine's
// reports and expert counts, sends the engine's load to gateways and executes orders. If it leads
// its group, it adapts the group's expert map to the load. It is not in the path of any request.
package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Config configures a Sidecar.
type Config struct {
	Address   string  // Of the engine, as IP:port.
	Domain    string  // Failure domain of this instance.
	PeersPort int     // Port of all sidecars.
	SkewPrice float64 // Value of a saved second of passes, in the unit of CopyPrice.
	CopyPrice float64 // Cost of copying a gigabyte of experts.
	Fences    bool    // Whether engines reject orders with a lower fence.
	LinkRate  float64 // Bandwidth of the instance's link in bytes per second; 0 if unknown.
}

// Intervals and timeouts of a sidecar.
const (
	// minReportInterval is the minimum time between two reports: gateways select engines by them,
	// and the load of an engine changes with each pass, which takes some tens of milliseconds.
	minReportInterval = 100 * time.Millisecond
	// minPassPollInterval is the minimum time between two polls of this sidecar's engine for a new
	// pass, which cost other instances nothing. Counts are read once per pass, so that the counts
	// after a shift of demand are soon available separately. Passes take some tens of milliseconds.
	minPassPollInterval = 25 * time.Millisecond
	// passPollIntervalPerRank is the poll interval per rank of the group where that is longer: the
	// larger a group is, the less often its leader requests counts, and reading them is most of a
	// sidecar's work.
	passPollIntervalPerRank = 400 * time.Microsecond
	// openChangeReporterStride is the stride of the ranks that immediately report that the group
	// has opened or closed. One report suffices for all ranks, and some are lost. Without such
	// reports, most requests to a group of 72 ranks were still rejected half a second after it had
	// opened.
	openChangeReporterStride = 8
	// reportIntervalPerRank is what each rank adds to the time between two reports, since each
	// gateway receives the loads of all ranks.
	reportIntervalPerRank = 4 * time.Millisecond
	// maxOrderTimeout bounds one attempt of an order to this sidecar's engine, and applies until it
	// is known how long answers take. Some answers never arrive; sending an order again is
	// harmless, whereas waiting stalls the group.
	maxOrderTimeout = 40 * time.Millisecond
	// minOrderTimeout is the lower bound of the timeout of one attempt, several times the time that
	// an engine on the same instance takes. orderTimeoutFactor is the ratio of the timeout to the
	// time within which nearly all answers arrive.
	minOrderTimeout    = 12 * time.Millisecond
	orderTimeoutFactor = 3
	// orderRetryWindow is how long an order without an answer is sent again before it is reported
	// to the leader as lost: if one answer in three is lost, hardly one rank in a thousand has none
	// by then.
	orderRetryWindow = 120 * time.Millisecond
	// answerTimeWeight is the weight of the newest answer time, as in the usual estimate of
	// round-trip times.
	answerTimeWeight = 0.125
	// engineTimeout bounds a call to this sidecar's engine, which answers in about a millisecond.
	engineTimeout = 400 * time.Millisecond
)

// Sidecar runs beside one engine.
type Sidecar struct {
	cfg    Config
	engine rank.Engine
	dial   func(address string) rank.Engine // Returns a client of another rank's engine.
	source follow.Source
	socket *peers.Socket
	log    *zap.Logger
	reg    metrics.Registry
	calls  *peerClient
	maps   mapCache
	// querySidecar sends a query to the sidecar of its first engine.
	querySidecar func(ctx context.Context, q treeQuery) (treeResponse, error)

	armMu sync.Mutex // Held while the leader's rank is armed on its behalf, so that attempts don't overlap.

	mu               sync.Mutex // Guards the fields below, up to groupLoadsSentAt.
	engineStartedAt  int64      // Start time of the newest known incarnation of the engine; 0 if not reported.
	report           rank.Report
	reportAt         time.Time // Zero if the engine does not answer.
	counts           rank.Counts
	newestWindow     window
	passes           passTimer
	groupStalled     bool // The group makes no passes although it has requests.
	gateways         subscribers
	lead             leadership
	openChanged      chan struct{} // Holds one element if a change of the group's open state is to be reported.
	ownArming        cutover.OwnArming
	orderTook        estimate.Estimator // How long this engine takes to answer an order.
	announcement     peers.Lead         // What this sidecar announces as the leader.
	announceTo       []netip.AddrPort   // Receivers of the announcement; nil while this sidecar does not lead.
	groupLoadsSentAt time.Time          // When this sidecar, as the leader, last sent gateways the loads of all ranks.

	suspects *suspects.Set // Kept only for gateways that restart.
	stats    stats
}

// window is the expert counts of a period of time.
type window struct {
	number uint64 // Increases with each window.
	epoch  uint64
	flat   []uint64
}

// stats holds the metrics of a sidecar.
type stats struct {
	polls        metrics.Timer   // Polls of all ranks by the leader.
	ranksMissed  metrics.Counter // Ranks that did not answer a poll.
	countsBytes  metrics.Gauge   // Size of the newest summed counts.
	mapsInForce  metrics.Counter
	abandoned    metrics.Counter
	orders       metrics.Counter
	copies       metrics.Counter
	limitPerRank metrics.GaugeFloat64 // Requests that a rank may hold on average, as last sent by this leader.
}

func newStats(reg metrics.Registry) stats {
	return stats{
		polls:        metrics.GetOrRegisterTimer("sidecar.looks", reg),
		ranksMissed:  metrics.GetOrRegisterCounter("sidecar.ranks-missed", reg),
		countsBytes:  metrics.GetOrRegisterGauge("sidecar.counts-bytes", reg),
		mapsInForce:  metrics.GetOrRegisterCounter("sidecar.maps-in-force", reg),
		abandoned:    metrics.GetOrRegisterCounter("sidecar.maps-given-up", reg),
		orders:       metrics.GetOrRegisterCounter("sidecar.orders", reg),
		limitPerRank: metrics.GetOrRegisterGaugeFloat64("sidecar.limit-per-rank", reg),
		copies:       metrics.GetOrRegisterCounter("sidecar.expert-copies", reg),
	}
}

// New returns the sidecar of an engine. dial returns a client of another rank's engine; source
// provides the published state.
func New(cfg Config, engine rank.Engine, dial func(string) rank.Engine, source follow.Source, socket *peers.Socket, log *zap.Logger, reg metrics.Registry) (s *Sidecar, cleanup func()) {
	s = &Sidecar{
		cfg: cfg, engine: engine, dial: dial, source: source, socket: socket, log: log, reg: reg,
		gateways: newSubscribers(cfg.Domain), openChanged: make(chan struct{}, 1), orderTook: estimate.New(answerTimeWeight),
		suspects: suspects.New(log, reg), stats: newStats(reg),
	}
	s.calls, cleanup = newPeerClient(cfg)
	s.querySidecar = s.calls.queryTree
	return s, cleanup
}

// Run runs the sidecar's tasks until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := duty.New(ctx, s.log, s.reg, func(string) { cancel() })
	d.Go("messages", func(ctx context.Context) error { return s.socket.Run(ctx, s.receive) })
	d.Go("reports", s.sendReports)
	d.Go("passes", s.pollPasses)
	d.Go("tell-lead", func(ctx context.Context) error { return wait.Every(ctx, leadInterval, func() { s.announceLead(ctx) }) })
	d.Go("lead", func(ctx context.Context) error { return newLeader(s).run(ctx) })
	return d.Wait()
}

// sendReports sends this engine's load to gateways until ctx ends.
func (s *Sidecar) sendReports(ctx context.Context) error {
	for ctx.Err() == nil {
		openChanged := s.awaitReportDue(ctx)
		s.reportLoad(ctx, openChanged)
	}
	return nil
}

// awaitReportDue waits until the load is to be sent: after the report interval, or as soon as the
// group has opened or closed, in which case it returns true. It also returns when ctx ends.
func (s *Sidecar) awaitReportDue(ctx context.Context) (openChanged bool) {
	timer := time.NewTimer(s.reportInterval(time.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.openChanged:
		return true
	case <-ctx.Done():
	}
	return false
}

// containPanic calls do, which queries or orders other ranks, and recovers from a panic in it. The
// answer is then missing, and the rank is queried again later.
func (s *Sidecar) containPanic(do func()) { duty.RunRecovered("ask", s.log, s.reg, do) }

// receive handles a message. A message that causes a panic is dropped.
func (s *Sidecar) receive(from netip.AddrPort, m peers.Message) {
	duty.RunRecovered("message", s.log, s.reg, func() {
		s.suspects.MergeEnds(m.EndBatch, time.Now())
		switch {
		case m.Hello != nil:
			s.receiveHello(from, *m.Hello)
		case m.Lead != nil:
			s.receiveLead(from.Addr(), *m.Lead)
		}
	})
}

// reportLoad polls the engine and sends its load to gateways. It does not send the load if the leader
// does, unless the engine did not answer or the group has opened or closed.
func (s *Sidecar) reportLoad(ctx context.Context, openChanged bool) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	r, err := s.engine.Report(ctx)
	if !s.recordReport(r, err) {
		return
	}
	load, direct, relays := s.reportTargets(r, err != nil, openChanged)
	if load == nil {
		return
	}
	s.socket.SendAll(direct, peers.Message{Load: load})
	forwarded := *load
	forwarded.Forward = true
	s.socket.SendAll(relays, peers.Message{Load: &forwarded})
}

// reportTargets returns the load to send for a report, the gateways that only receive it and those
// that also forward it; load is nil if the leader sends it.
func (s *Sidecar) reportTargets(r rank.Report, engineLost, openChanged bool) (load *peers.Load, direct, relays []netip.AddrPort) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !engineLost && !openChanged && s.leaderSendsLoads(now) {
		return nil, nil, nil
	}
	load = s.makeLoad(r, engineLost)
	direct, relays = s.gateways.nextTargets(now)
	return load, direct, relays
}

// makeLoad returns the load that gateways are sent for a report of the engine, or for an engine that
// does not answer if engineLost is set. It may update the stall state. The caller holds mu.
func (s *Sidecar) makeLoad(r rank.Report, engineLost bool) *peers.Load {
	return &peers.Load{
		Address: s.cfg.Address, StartedAt: r.StartedAt, Running: r.Running, Waiting: r.Waiting, Slowdown: r.Slowdown,
		Group: r.Group, Epoch: r.Epoch, PassMs: int(s.passes.mean.Milliseconds()), GatewayCount: s.gateways.gatewayCount(),
		Closed: engineLost || r.Group != "" && !r.Open || s.updateStalled(r),
	}
}

// updateStalled records and returns whether the group makes no passes although it has requests, and
// logs when that changes. The caller holds mu.
func (s *Sidecar) updateStalled(r rank.Report) bool {
	now := time.Now()
	if r.Running+r.Waiting == 0 {
		s.passes.newestAt = now // An idle group makes no passes; the stall time starts with the first request.
	}
	isStalled := r.Size > 1 && r.Open && s.passes.stalled(now)
	if isStalled != s.groupStalled {
		s.groupStalled = isStalled
		s.log.Info("group stall state changed", zap.Bool("still", isStalled), zap.Uint64("step", r.Step), zap.Int("running", r.Running), zap.Uint64("held", r.HeldPass))
	}
	return isStalled
}

// recordReport stores a report, or that the engine did not answer if err is set, and logs what it
// changes. Some ranks also have the load sent at once when the group opens or closes. It returns
// false only for a report of an earlier incarnation of the engine, which is ignored.
func (s *Sidecar) recordReport(r rank.Report, err error) (accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	had := !s.reportAt.IsZero()
	if err != nil {
		if had {
			s.log.Warn("own engine unreachable", zap.String("error", err.Error()))
			s.reportAt = time.Time{}
		}
		return true
	}
	if !s.recordIncarnation(r.StartedAt) {
		return false
	}
	if r.Open != s.report.Open && r.Rank%openChangeReporterStride == 0 {
		select {
		case s.openChanged <- struct{}{}:
		default: // A report is pending already.
		}
	}
	if !had || r.Epoch != s.report.Epoch || r.Open != s.report.Open {
		s.log.Info("engine reports its group", zap.String("group", r.Group), zap.Uint64("epoch", r.Epoch), zap.Int("rank", r.Rank), zap.Bool("open", r.Open), zap.Uint64("map", r.Map))
	}
	s.report, s.reportAt = r, time.Now()
	s.passes.observe(r.Step, s.reportAt)
	s.ownArming.ObserveRank(r.HeldPass, r.Armed)
	return true
}

// recordIncarnation records the incarnation of the engine that sent an answer. A later one knows
// nothing of the previous one's counts and measurements, so these are dropped. It returns false for
// an earlier one, whose answer arrived late. The caller holds mu.
func (s *Sidecar) recordIncarnation(startedAt int64) (accepted bool) {
	switch fleet.CompareIncarnations(s.engineStartedAt, startedAt) {
	case -1: // startedAt is earlier.
		s.log.Info("answer of an earlier incarnation of the engine ignored", zap.Int64("born", startedAt), zap.Int64("newest", s.engineStartedAt))
		return false
	case 1: // startedAt is later.
		s.log.Info("engine restarted", zap.Int64("born", startedAt), zap.Int64("before", s.engineStartedAt))
		s.report, s.reportAt = rank.Report{}, time.Time{}
		s.counts, s.newestWindow = rank.Counts{}, window{number: s.newestWindow.number}
		s.passes, s.groupStalled = passTimer{}, false
	}
	s.engineStartedAt = max(s.engineStartedAt, startedAt)
	return true
}

// Report returns the newest report; ok is false if it is too old or the engine did not answer the
// last poll.
func (s *Sidecar) Report() (r rank.Report, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, !s.reportAt.IsZero() && time.Since(s.reportAt) < 5*minReportInterval
}

// pollPasses polls the engine for new passes until ctx ends.
func (s *Sidecar) pollPasses(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, s.passPollInterval())
		s.pollPass(ctx)
	}
	return nil
}

// passPollInterval returns the time between two polls of this engine for a new pass.
func (s *Sidecar) passPollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minPassPollInterval, time.Duration(s.report.Size)*passPollIntervalPerRank)
}

// pollPass polls the engine, records its report, and reads the expert counts if a new pass has begun.
// It reads none while the group is closed or has a single rank.
func (s *Sidecar) pollPass(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	r, err := s.engine.Report(ctx)
	if !s.recordReport(r, err) || err != nil || !r.Open || r.Size < 2 {
		return
	}
	var noNewPass bool
	duty.Locked(&s.mu, func() { noNewPass = s.counts.Step == r.Step && s.counts.Epoch == r.Epoch })
	if !noNewPass {
		s.readCounts(ctx)
	}
}

// readCounts reads the engine's counts and stores them, and their difference from the previous ones
// as the newest window.
func (s *Sidecar) readCounts(ctx context.Context) {
	n, err := s.engine.Counts(ctx)
	if err != nil {
		s.log.Debug("cannot read counts", zap.String("error", err.Error()))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recordIncarnation(n.StartedAt) {
		return
	}
	s.newestWindow = difference(s.newestWindow, s.counts, n)
	s.counts = n
}

// difference returns the window between two counts, which follows the window last. It has no counts
// if from and to are not of the same epoch and incarnation, or a count has decreased.
func difference(last window, from, to rank.Counts) (w window) {
	w = window{number: last.number + 1, epoch: to.Epoch}
	if from.Epoch != to.Epoch || fleet.CompareIncarnations(from.StartedAt, to.StartedAt) != 0 || len(from.Flat) != len(to.Flat) {
		return w
	}
	w.flat = make([]uint64, len(to.Flat))
	for i, n := range to.Flat {
		if n < from.Flat[i] {
			return window{number: w.number, epoch: w.epoch} // The engine restarted.
		}
		w.flat[i] = n - from.Flat[i]
	}
	return w
}
