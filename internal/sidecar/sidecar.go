// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package sidecar is the small process beside a model engine. It reads its
// engine's reports and counts, tells gateways the load, carries out orders, and
// where it leads its group, makes the group's expert map follow the load. It is
// not on the way of any request.
package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Config is the setting of a Sidecar.
type Config struct {
	Address   string // Of the engine.
	Domain    string // Failure domain of the instance.
	PeersPort int    // Of every sidecar.
	SkewPrice float64
	CopyPrice float64
	Fences    bool    // Engines refuse orders under a lower fence.
	LinkRate  float64 // Bytes a second that the instance's link carries; 0 when not known.
}

// Times of a sidecar.
const (
	// reportEvery is the least time between two reports: gateways choose by them, and
	// the load of an engine changes with each pass of some ten milliseconds.
	reportEvery = 100 * time.Millisecond
	// passPoll is the least time between two looks at the own engine, which cost nothing
	// to others, for a new pass: counts are read once a pass, so that those after a shift
	// of demand are soon had alone. Passes take some ten milliseconds.
	passPoll = 25 * time.Millisecond
	// pollPerRank is what one rank of the group adds where that is longer: the larger a
	// group is, the less often its leader asks for counts, and reading them is most of a
	// sidecar's work.
	pollPerRank = 400 * time.Microsecond
	// turnTellers is one in how many ranks tells at once that the group has opened or
	// closed: one word is enough for all ranks, and some are lost. In a group of 72 most
	// callers were still refused half a second after it had opened.
	turnTellers = 8
	// perRank is what one rank adds to the time between two reports: so many more
	// loads reach each gateway.
	perRank = 4 * time.Millisecond
	// orderTimeout bounds an order to the own engine as long as it is not known how
	// long answers take. Some never come; an order that is sent again does no harm,
	// waiting holds up the group.
	orderTimeout = 40 * time.Millisecond
	// leastOrderTimeout is the shortest such bound, some times what an engine on the
	// same instance takes, and orderPatience how many times longer than nearly all
	// answers one is waited for.
	leastOrderTimeout = 12 * time.Millisecond
	orderPatience     = 3
	// orderTime is how long an order without an answer is given again before the
	// leader hears that it was lost: where one answer in three is lost, hardly one
	// rank of a thousand is without any by then.
	orderTime = 120 * time.Millisecond
	// answerWeight is the weight of the newest time of an answer, as in the usual
	// estimate of round trips.
	answerWeight = 0.125
	// engineTimeout bounds a call to the own engine, which answers in about a
	// millisecond.
	engineTimeout = 400 * time.Millisecond
)

// Sidecar stands beside one engine.
type Sidecar struct {
	cfg    Config
	engine rank.Engine
	dial   func(address string) rank.Engine // Another rank's engine.
	source follow.Source
	socket *peers.Socket
	log    *zap.Logger
	reg    metrics.Registry
	calls  *peerClient
	maps   shelf
	// below puts a question to the sidecar beside its first engine.
	below func(ctx context.Context, q question) (answers, error)

	started time.Time

	mu        sync.Mutex // Guards what follows.
	born      int64      // Of the newest life of the engine that was heard; 0 when not told.
	report    rank.Report
	reportAt  time.Time // Zero when the engine does not answer.
	counts    rank.Counts
	work      window
	passes    passTimer
	still     bool // The group makes no passes although it has requests.
	gateways  subscribers
	lead      leadership
	turned    chan struct{} // Holds one when the group has opened or closed and that is to be told.
	own       ownArming
	orderTook estimate.Estimator // Until the own engine answered an order.
	leading   peers.Lead         // What this sidecar announces.
	tellTo    []netip.AddrPort   // Whom; nil while it does not lead.
	toldAllAt time.Time          // When this sidecar, as the leader, last told gateways the loads of all ranks.

	suspects *suspects.Set // Only kept for gateways that start anew.
	figures  figures
}

// window is the counts of a span of time.
type window struct {
	number uint64 // Rises with each window.
	epoch  uint64
	flat   []uint64
}

// figures are the counters of a sidecar.
type figures struct {
	looks    metrics.Timer   // Of a leader's questions to all ranks.
	missed   metrics.Counter // Ranks that did not answer one.
	bytes    metrics.Gauge   // Of the newest sums of counts.
	switches metrics.Counter
	gaveUp   metrics.Counter
	orders   metrics.Counter
	copies   metrics.Counter
	limit    metrics.GaugeFloat64 // Requests that a rank may hold in the mean, as last told by this leader.
}

func newFigures(reg metrics.Registry) figures {
	return figures{
		looks:    metrics.GetOrRegisterTimer("sidecar.looks", reg),
		missed:   metrics.GetOrRegisterCounter("sidecar.ranks-missed", reg),
		bytes:    metrics.GetOrRegisterGauge("sidecar.counts-bytes", reg),
		switches: metrics.GetOrRegisterCounter("sidecar.maps-in-force", reg),
		gaveUp:   metrics.GetOrRegisterCounter("sidecar.maps-given-up", reg),
		orders:   metrics.GetOrRegisterCounter("sidecar.orders", reg),
		limit:    metrics.GetOrRegisterGaugeFloat64("sidecar.limit-per-rank", reg),
		copies:   metrics.GetOrRegisterCounter("sidecar.expert-copies", reg),
	}
}

// New returns the sidecar of an engine. Dial makes the client of another
// rank's engine; source tells the published state.
func New(cfg Config, engine rank.Engine, dial func(string) rank.Engine, source follow.Source, socket *peers.Socket, log *zap.Logger, reg metrics.Registry) (s *Sidecar, cleanup func()) {
	s = &Sidecar{
		cfg: cfg, engine: engine, dial: dial, source: source, socket: socket, log: log, reg: reg,
		gateways: newSubscribers(cfg.Domain), turned: make(chan struct{}, 1), orderTook: estimate.New(answerWeight), started: time.Now(),
		suspects: suspects.New(log, reg), figures: newFigures(reg),
	}
	s.calls, cleanup = newPeerClient(cfg)
	s.below = s.calls.tree
	return s, cleanup
}

// Run does the sidecar's duties until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := duty.New(ctx, s.log, s.reg, func(string) { cancel() })
	d.Go("messages", func(ctx context.Context) error { return s.socket.Run(ctx, s.receive) })
	d.Go("reports", s.tellReports)
	d.Go("passes", s.pollPasses)
	d.Go("tell-lead", func(ctx context.Context) error { return wait.Every(ctx, leadEvery, func() { s.tellLead(ctx) }) })
	d.Go("lead", func(ctx context.Context) error { return newLeader(s).run(ctx) })
	return d.Wait()
}

// tellReports tells the own engine's load until ctx ends.
func (s *Sidecar) tellReports(ctx context.Context) error {
	for ctx.Err() == nil {
		turned := s.awaitReport(ctx)
		s.readReport(ctx, turned)
	}
	return nil
}

// awaitReport waits until the own load is to be told: after a pause, or as soon as the
// group has opened or closed, which it reports.
func (s *Sidecar) awaitReport(ctx context.Context) (turned bool) {
	timer := time.NewTimer(s.reportPause(time.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.turned:
		return true
	case <-ctx.Done():
	}
	return false
}

// contained calls what asks or orders other ranks; one that is not heard is asked again.
func (s *Sidecar) contained(ask func()) { duty.Contain("ask", s.log, s.reg, ask) }

// receive takes in a message. One that causes a panic is left out.
func (s *Sidecar) receive(from netip.AddrPort, m peers.Message) {
	duty.Contain("message", s.log, s.reg, func() {
		s.suspects.MergeEnds(m.Ends, time.Now())
		switch {
		case m.Hello != nil:
			s.hearHello(from, *m.Hello)
		case m.Lead != nil:
			s.hearLead(from.Addr(), *m.Lead)
		}
	})
}

// readReport asks the engine and tells the gateways, unless a leader tells for it and nothing
// has turned.
func (s *Sidecar) readReport(ctx context.Context, turned bool) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	r, err := s.engine.Report(ctx)
	if !s.noteReport(r, err) {
		return
	}
	load, near, far := s.toTell(r, err != nil, turned)
	if load == nil {
		return
	}
	s.socket.SendAll(near, peers.Message{Load: load})
	onward := *load
	onward.Forward = true
	s.socket.SendAll(far, peers.Message{Load: &onward})
}

// toTell returns what is to be told of a report, and which gateways are told it as it is and
// which ones to pass it on; load is nil where a leader tells it.
func (s *Sidecar) toTell(r rank.Report, lost, turned bool) (load *peers.Load, near, far []netip.AddrPort) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !lost && !turned && s.led(now) {
		return nil, nil, nil
	}
	load = s.load(r, lost)
	near, far = s.gateways.next(now)
	return load, near, far
}

// load returns what the gateways are told of the engine's report, or of an engine that is
// lost. The caller holds mu.
func (s *Sidecar) load(r rank.Report, lost bool) *peers.Load {
	return &peers.Load{
		Address: s.cfg.Address, StartedAt: r.StartedAt, Running: r.Running, Waiting: r.Waiting, Slowdown: r.Slowdown,
		Group: r.Group, Epoch: r.Epoch, PassMs: int(s.passes.pass.Milliseconds()), GatewayCount: s.gateways.gateways(),
		Closed: lost || r.Group != "" && !r.Open || s.standsStill(r),
	}
}

// standsStill reports whether the group makes no passes although it has
// requests, and logs when that changes. The caller holds mu.
func (s *Sidecar) standsStill(r rank.Report) bool {
	now := time.Now()
	if r.Running+r.Waiting == 0 {
		s.passes.began = now // An idle group makes no passes; the next one counts from here.
	}
	still := r.Size > 1 && r.Open && s.passes.stalled(now)
	if still != s.still {
		s.still = still
		s.log.Info("group stands still", zap.Bool("still", still), zap.Uint64("step", r.Step), zap.Int("running", r.Running), zap.Uint64("held", r.HeldPass))
	}
	return still
}

// noteReport keeps a report and logs what it changes. It reports false for one of an
// earlier life of the engine, which is left out.
func (s *Sidecar) noteReport(r rank.Report, err error) (counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	had := !s.reportAt.IsZero()
	if err != nil {
		if had {
			s.log.Warn("engine lost", zap.String("error", err.Error()))
			s.reportAt = time.Time{}
		}
		return true
	}
	if !s.noteLife(r.StartedAt) {
		return false
	}
	if r.Open != s.report.Open && r.Rank%turnTellers == 0 {
		select {
		case s.turned <- struct{}{}:
		default: // It is to be told already.
		}
	}
	if !had || r.Epoch != s.report.Epoch || r.Open != s.report.Open {
		s.log.Info("engine's group", zap.String("group", r.Group), zap.Uint64("epoch", r.Epoch), zap.Int("rank", r.Rank), zap.Bool("open", r.Open), zap.Uint64("map", r.Map))
	}
	s.report, s.reportAt = r, time.Now()
	s.passes.note(r.Step, s.reportAt)
	return true
}

// noteLife takes in which life of the engine tells something. A later one knows nothing
// of what the one before counted and measured, so that is dropped. It reports false for
// an earlier one, whose word came late. The caller holds mu.
func (s *Sidecar) noteLife(born int64) (counts bool) {
	switch fleet.CompareLives(s.born, born) {
	case -1:
		s.log.Info("word of an earlier life of the engine left out", zap.Int64("born", born), zap.Int64("newest", s.born))
		return false
	case 1:
		s.log.Info("engine has begun a new life", zap.Int64("born", born), zap.Int64("before", s.born))
		s.report, s.reportAt = rank.Report{}, time.Time{}
		s.counts, s.work = rank.Counts{}, window{number: s.work.number}
		s.passes, s.still = passTimer{}, false
	}
	s.born = max(s.born, born)
	return true
}

// Report returns the newest report, ok false when it is old.
func (s *Sidecar) Report() (r rank.Report, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, !s.reportAt.IsZero() && time.Since(s.reportAt) < 5*reportEvery
}

// pollPasses looks for passes until ctx ends.
func (s *Sidecar) pollPasses(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, s.pollPause())
		s.watchPasses(ctx)
	}
	return nil
}

// pollPause is the time between two looks at the own engine.
func (s *Sidecar) pollPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(passPoll, time.Duration(s.report.Size)*pollPerRank)
}

// watchPasses reads the counts when a new pass has begun.
func (s *Sidecar) watchPasses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	r, err := s.engine.Report(ctx)
	if !s.noteReport(r, err) || err != nil || !r.Open || r.Size < 2 {
		return
	}
	var idle bool
	duty.Locked(&s.mu, func() { idle = s.counts.Step == r.Step && s.counts.Epoch == r.Epoch })
	if !idle {
		s.readCounts(ctx)
	}
}

// readCounts takes the difference to the last counts as a window.
func (s *Sidecar) readCounts(ctx context.Context) {
	n, err := s.engine.Counts(ctx)
	if err != nil {
		s.log.Debug("counts not read", zap.String("error", err.Error()))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.noteLife(n.StartedAt) {
		return
	}
	s.work = difference(s.work, s.counts, n)
	s.counts = n
}

// difference returns the window between two counts; it is empty where they do
// not belong together.
func difference(last window, from, to rank.Counts) (w window) {
	w = window{number: last.number + 1, epoch: to.Epoch}
	if from.Epoch != to.Epoch || fleet.CompareLives(from.StartedAt, to.StartedAt) != 0 || len(from.Flat) != len(to.Flat) {
		return w
	}
	w.flat = make([]uint64, len(to.Flat))
	for i, n := range to.Flat {
		if n < from.Flat[i] {
			return window{number: w.number, epoch: w.epoch} // The engine began anew.
		}
		w.flat[i] = n - from.Flat[i]
	}
	return w
}
