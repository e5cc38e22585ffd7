// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package soak runs the real programs as separate processes on one machine against stand-ins of
// the users' platform, injects faults from outside by a schedule that is derived from a seed, and
// checks the guarantees by what callers and endpoints observe. It does not measure performance.
package soak

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
)

// Config holds the settings of a run.
type Config struct {
	Seed           uint64
	Length         time.Duration // Duration of the run; no faults are injected in the last faultFreeTail of it.
	Daemon         string        // Path of the daemon's executable.
	Dir            string        // Parent directory for settings and logs; "" for the system's temporary directory.
	Gateways       int
	Ranks          int
	PlainEndpoints int         // Endpoints of the plain services, which have no engine.
	Callers        int         // Callers at each gateway.
	UploadInterval int         // Each caller's every n-th request has a long body, for AllKinds.
	Kinds          Kinds       // Kinds of faults and of callers.
	Apart          bool        // Gateways do not look for each other.
	RetryBound     retry.Bound // Retry budget in the settings of all gateways.
	Schedule       []fault     // Faults to inject instead of those drawn from the seed; nil for these.
	CheckTiming    bool        // Also check time bounds; not for a machine that may be overloaded.
	Log            io.Writer
}

// DefaultConfig returns the default sizes of a run with a seed.
func DefaultConfig(seed uint64) Config {
	return Config{Seed: seed, Length: 24 * time.Second, Gateways: 4, Ranks: 3, PlainEndpoints: 6, Callers: 3, UploadInterval: 10, Kinds: AllKinds, RetryBound: defaultRetryBound, CheckTiming: true}
}

// Check reports everything that is wrong with the sizes of a run. They are limited by the site's
// address ranges, and the faults need targets.
func (c Config) Check() error {
	var problems []string
	for _, one := range []struct {
		name        string
		n, min, max int
	}{
		{"gateways", c.Gateways, 1, engineIP - gatewayIP},
		{"ranks", c.Ranks, 2, plainIP - engineIP},
		{"endpoints of plain services", c.PlainEndpoints, len(plainServices), plainIPCount},
		{"callers", c.Callers, 1, 100},
		{"requests from one long upload to the next", c.UploadInterval, 1, 1000},
	} {
		if one.n < one.min || one.n > one.max {
			problems = append(problems, fmt.Sprintf("%d %s: must be %d to %d", one.n, one.name, one.min, one.max))
		}
	}
	if c.Length <= firstFault+faultFreeTail {
		problems = append(problems, fmt.Sprintf("length %v: must be above %v", c.Length, firstFault+faultFreeTail))
	}
	if len(problems) > 0 {
		return errors.Newf("soak: %s", strings.Join(problems, "; "))
	}
	return nil
}

// ErrNoDaemon means that the program of the daemon cannot be run.
var ErrNoDaemon = errors.New("nothing was started")

// Report holds the results of a run.
type Report struct {
	Dir            string // Directory of settings and logs.
	Requests       int
	Served         int
	Faults         int
	MapSwitches    int // Expert maps that came into effect.
	IdleRequests   int // Requests on connections that were idle before, except those sent late on purpose.
	KilledGateways int // Gateway processes that the soak killed.
	Outcomes       Outcomes
	Violations     []string
	Evidence       []string // Log lines of gateways about requests whose connections ended without an explanation.
}

// minServedShare is the share of the requests that must be served from settleTime after the start of
// the last fault on, but not before all gateways know of the end of the last evacuation.
const (
	minServedShare = 0.9
	settleTime     = 5 * time.Second
)

// logf writes a line to the run's log.
func (s *site) logf(format string, args ...any) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	fmt.Fprintf(s.cfg.Log, time.Now().Format(timeFormat)+" "+format+"\n", args...)
}

// Run runs the schedule of one seed and checks the guarantees.
func Run(ctx context.Context, cfg Config) (r Report, err error) {
	if err := cfg.Check(); err != nil {
		return r, err
	}
	if _, err := exec.LookPath(cfg.Daemon); err != nil {
		return r, errors.Wrapf(ErrNoDaemon, "daemon %q: %v; build it with \"go build -o DIR ./cmd/...\"", cfg.Daemon, err)
	}
	s, err := newSite(cfg)
	if err != nil {
		return r, err
	}
	defer s.close()
	startup, cancelStartup := context.WithTimeout(ctx, time.Minute)
	defer cancelStartup()
	if err := s.waitReady(startup); err != nil {
		return r, err
	}
	s.logf("seed %d: %d gateways, %d ranks, %d plain endpoints, logs in %s", cfg.Seed, cfg.Gateways, cfg.Ranks, cfg.PlainEndpoints, s.dir)
	began := time.Now()
	runCtx, stop := context.WithDeadline(ctx, began.Add(cfg.Length))
	defer stop()
	var callers, faults, watch errgroup.Group
	watch.Go(func() error { s.ledger.watchStalls(runCtx); return nil })
	for g := range cfg.Gateways {
		for n := range cfg.Callers {
			c := newCaller(s, g, n)
			callers.Go(func() error { return c.run(runCtx) })
		}
		for n := range cfg.idleCallers() {
			c := newIdleCaller(s, g, n)
			callers.Go(func() error { return c.run(runCtx) })
		}
	}
	list := cfg.Schedule
	if list == nil {
		list = schedule(cfg.Seed, cfg.Length, cfg.Kinds)
	}
	last := s.injectFaults(runCtx, began, list, &faults)
	if err := faults.Wait(); err != nil {
		return r, err
	}
	if err := callers.Wait(); err != nil {
		return r, err
	}
	stop()
	if err := watch.Wait(); err != nil {
		return r, err
	}
	if err := ctx.Err(); err != nil {
		return r, err // The run was aborted: its observations are incomplete.
	}
	r = s.report(began, max(last, time.Since(began)-cfg.Length))
	r.Faults = len(list)
	if r.Evidence, err = s.quoteLogs(); err != nil {
		return r, err
	}
	r.Outcomes.closedByCause, err = s.closedByGateways()
	return r, err
}

// injectFaults injects the faults of the schedule and returns how long after the start of the run
// it began the last of them.
func (s *site) injectFaults(ctx context.Context, began time.Time, list []fault, faults *errgroup.Group) (last time.Duration) {
	for _, f := range list {
		select {
		case <-ctx.Done():
			return last
		case <-time.After(time.Until(began.Add(f.at))):
		}
		s.logf("fault %s", f)
		faults.Go(func() error { return s.inject(f) })
		last = time.Since(began)
	}
	return last
}

func (s *site) report(began time.Time, last time.Duration) (r Report) {
	r.Dir = s.dir
	r.Requests, r.Served = s.ledger.served(began, time.Now())
	r.Violations = s.ledger.violations(s.cfg.CheckTiming)
	s.ledger.do(func(l *ledger) { r.Violations = append(r.Violations, l.checkRetries(s.cfg.RetryBound)...) })
	once, twice, cutThenFailed := s.ledger.countBadAnswers()
	s.logf("%d requests met bad answers, %d of them two or more; %d streams were cut off and failed then", once, twice, cutThenFailed)
	idle, atEnd, inStop, late, lateLost := s.ledger.countIdleRequests()
	s.logf("%d requests came on rested connections, %d at the end of their time, %d in a planned stop; %d more came late, %d of them got no answer", idle-late, atEnd, inStop, late, lateLost)
	r.IdleRequests, r.KilledGateways = idle-late, s.ledger.countKilledGateways()
	var timedOut []string
	r.Outcomes.byOutcome, timedOut = s.ledger.countOutcomes()
	for _, one := range timedOut {
		s.logf("given up by its caller, whose time was over: %s", one)
	}
	r.MapSwitches = s.group.MapChanges()
	if _, _, violation := s.group.Status(); violation != "" {
		r.Violations = append(r.Violations, violation)
	}
	if s.cfg.CheckTiming {
		from := began.Add(last + settleTime)
		if end := s.ledger.lastEvacuation(); end.After(from) {
			from = end // Until then callers of the domain's ranks are rightly refused.
		}
		sent, served := s.ledger.served(from, began.Add(s.cfg.Length-callerTimeout/2))
		if sent > 0 && float64(served) < minServedShare*float64(sent) {
			r.Violations = append(r.Violations, fmt.Sprintf("after the trouble was over, %d of %d requests were served", served, sent))
		}
	}
	return r
}
