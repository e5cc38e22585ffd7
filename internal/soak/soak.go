// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package soak runs the real programs as separate processes on one machine
// before stand-ins of the users' platform, makes trouble from outside them by a
// schedule that follows from a seed, and checks the promises from what callers
// and endpoints see. It is not for figures of speed.
package soak

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Config is the setting of a run.
type Config struct {
	Seed           uint64
	Length         time.Duration // Of the whole run; the last calmTail of it is without trouble.
	Daemon         string        // Path of the daemon's program.
	Dir            string        // For settings and logs; "" for the system's.
	Gateways       int
	Ranks          int
	PlainEndpoints int   // Endpoints of the plain services.
	Callers        int   // At each gateway.
	Kinds          Kinds // Of trouble and of callers.
	CheckTiming    bool  // Check bounds in time, too; not on a machine that may be overloaded.
	Log            io.Writer
}

// DefaultConfig returns the usual size of a run with a seed.
func DefaultConfig(seed uint64) Config {
	return Config{Seed: seed, Length: 24 * time.Second, Gateways: 4, Ranks: 3, PlainEndpoints: 6, Callers: 3, Kinds: AllKinds, CheckTiming: true}
}

// Check names everything that is wrong with the sizes of a run: the site's
// addresses have room for so many, and the troubles need something to strike.
func (c Config) Check() error {
	var faults []string
	for _, one := range []struct {
		name        string
		n, min, max int
	}{
		{"gateways", c.Gateways, 1, engineIP - gatewayIP},
		{"ranks", c.Ranks, 2, plainIP - engineIP},
		{"endpoints of plain services", c.PlainEndpoints, len(plainNames), plainIPs},
		{"callers", c.Callers, 1, 100},
	} {
		if one.n < one.min || one.n > one.max {
			faults = append(faults, fmt.Sprintf("%d %s: must be %d to %d", one.n, one.name, one.min, one.max))
		}
	}
	if c.Length <= firstFault+calmTail {
		faults = append(faults, fmt.Sprintf("length %v: must be above %v", c.Length, firstFault+calmTail))
	}
	if len(faults) > 0 {
		return errors.Newf("soak: %s", strings.Join(faults, "; "))
	}
	return nil
}

// Report is what became of a run.
type Report struct {
	Dir            string // Of settings and logs.
	Requests       int
	Served         int
	Faults         int
	MapSwitches    int // Expert maps that came into force.
	IdleRequests   int // Requests on rested connections, but for those that came late on purpose.
	KilledGateways int // Processes of gateways that the soak killed.
	Outcomes       Outcomes
	Violations     []string
}

// servedAtEnd is the part of the requests that must be served once the trouble
// has been over for settleTime.
const (
	servedAtEnd = 0.9
	settleTime  = 5 * time.Second
)

// say writes a line to the run's log.
func (s *site) say(format string, args ...any) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	fmt.Fprintf(s.cfg.Log, time.Now().Format(clock)+" "+format+"\n", args...)
}

// Run plays one seed.
func Run(ctx context.Context, cfg Config) (r Report, err error) {
	if err := cfg.Check(); err != nil {
		return r, err
	}
	s, err := newSite(cfg)
	if err != nil {
		return r, err
	}
	defer s.close()
	startup, cancelStartup := context.WithTimeout(ctx, time.Minute)
	defer cancelStartup()
	if err := s.ready(startup); err != nil {
		return r, err
	}
	s.say("seed %d: %d gateways, %d ranks, %d plain endpoints, logs in %s", cfg.Seed, cfg.Gateways, cfg.Ranks, cfg.PlainEndpoints, s.dir)
	began := time.Now()
	running, stop := context.WithDeadline(ctx, began.Add(cfg.Length))
	defer stop()
	var callers, trouble errgroup.Group
	for g := range cfg.Gateways {
		for n := range cfg.Callers {
			c := newCaller(s, g, n)
			callers.Go(func() error { return c.run(running) })
		}
		for n := range cfg.resters() {
			c := newRester(s, g, n)
			callers.Go(func() error { return c.run(running) })
		}
	}
	list := schedule(cfg.Seed, cfg.Length, cfg.Kinds)
	last := s.play(running, began, list, &trouble)
	if err := trouble.Wait(); err != nil {
		return r, err
	}
	if err := callers.Wait(); err != nil {
		return r, err
	}
	if err := ctx.Err(); err != nil {
		return r, err // Broken off: what was seen says nothing.
	}
	r = s.report(began, max(last, time.Since(began)-cfg.Length))
	r.Faults = len(list)
	r.Outcomes.closed, err = s.closedByGateways()
	return r, err
}

// play makes the schedule's troubles and returns when the last one was made.
func (s *site) play(ctx context.Context, began time.Time, list []fault, trouble *errgroup.Group) (last time.Duration) {
	for _, f := range list {
		select {
		case <-ctx.Done():
			return last
		case <-time.After(time.Until(began.Add(f.at))):
		}
		s.say("fault %s", f)
		trouble.Go(func() error { return s.strike(f) })
		last = time.Since(began)
	}
	return last
}

func (s *site) report(began time.Time, last time.Duration) (r Report) {
	r.Dir = s.dir
	r.Requests, r.Served = s.ledger.served(began, time.Now())
	r.Violations = s.ledger.judge(s.cfg.CheckTiming)
	once, twice, cutThenFailed := s.ledger.met()
	s.say("%d requests met bad answers, %d of them two or more; %d streams were cut off and failed then", once, twice, cutThenFailed)
	rested, atEnd, inStop, late, lateLost := s.ledger.rested()
	s.say("%d requests came on rested connections, %d at the end of their time, %d in a planned stop; %d more came late, %d of them got no answer", rested-late, atEnd, inStop, late, lateLost)
	r.IdleRequests, r.KilledGateways = rested-late, s.ledger.killed()
	var givenUp []string
	r.Outcomes.counts, givenUp = s.ledger.ended()
	for _, one := range givenUp {
		s.say("given up by its caller, whose time was over: %s", one)
	}
	r.MapSwitches = s.group.MapChanges()
	if _, _, broken := s.group.State(); broken != "" {
		r.Violations = append(r.Violations, broken)
	}
	if s.cfg.CheckTiming {
		from := began.Add(last + settleTime)
		if end := s.ledger.lastEvacuation(); end.After(from) {
			from = end // Until then callers of the domain's ranks are refused as they should be.
		}
		sent, served := s.ledger.served(from, began.Add(s.cfg.Length-patience/2))
		if sent > 0 && float64(served) < servedAtEnd*float64(sent) {
			r.Violations = append(r.Violations, fmt.Sprintf("after the trouble was over, %d of %d requests were served", served, sent))
		}
	}
	return r
}
