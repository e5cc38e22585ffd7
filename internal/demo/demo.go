// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package demo runs the two users' sites of today in one process, under load
// and under failures, and judges every promise that a caller can see. It uses
// the daemons' own code and the stand-ins over loopback.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/load"
)

// Options of a run.
type Options struct {
	Rate     float64       // Requests a second at each site.
	Duration time.Duration // Of the load.
	Seed     uint64
}

// Report is what a site's callers saw.
type Report struct {
	User     example.User       `json:"user"`
	Result   load.Result        `json:"result"`
	Verdict  load.PaymentErrors `json:"verdict"`
	UpToDate int                `json:"in_force"` // Processes with the newest generation.
	Running  int                `json:"running"`
}

// Violations lists the promises that did not hold.
func (r Report) Violations() (list []string) {
	for _, one := range []struct {
		count int
		text  string
	}{
		{r.Result.Wrong, "answers not whole or not the caller's own"},
		{r.Verdict.Lost, "payments called done that did not run"},
		{r.Verdict.Doubled, "payments run more than once"},
		{r.Verdict.FalseNotRun, "payments called not run that did run"},
		{r.Result.NoOutcome, "requests without an outcome at the end"},
		{r.Running - r.UpToDate, "processes without the newest generation"},
	} {
		if one.count > 0 {
			list = append(list, fmt.Sprintf("%s: %d %s", r.User, one.count, one.text))
		}
	}
	return list
}

// event is something that happens to a site, at a part of the duration.
type event struct {
	at   float64
	text string
	do   func(s *Site)
}

// script is what happens to each site.
func script(s *Site) []event {
	l := s.layout
	last := l.Domains[len(l.Domains)-1]
	stopped, killed := l.Agents[0], l.Agents[2]
	api := l.Agents[4] // The plain service of the first failure domain.
	return []event{
		{0.10, "publish a policy change", func(s *Site) {
			values := l.Published()
			values["policy/evening.ini"] = []byte("[policy]\npriority = 3\n")
			s.Publish(2, values)
		}},
		{0.20, "planned stop of " + stopped.Name, func(s *Site) { s.BeginPlannedStop(stopped.Name) }},
		{0.30, "planned stop of " + api.Name, func(s *Site) { s.BeginPlannedStop(api.Name) }},
		{0.40, "kill " + killed.Name, func(s *Site) { s.Kill(killed.Name) }},
		{0.45, "kill entry " + l.Entries[1].Name, func(s *Site) { s.Kill(l.Entries[1].Name) }},
		{0.50, "cut off " + last, func(s *Site) { s.SetPartitioned(last, true) }},
		{0.60, "publish during the cut", func(s *Site) { s.Publish(3, l.Published()) }},
		{0.75, "heal " + last, func(s *Site) { s.SetPartitioned(last, false) }},
	}
}

// settle is how long a site has after the load to agree on the newest
// generation.
const settle = 5 * time.Second

// Run runs both sites and returns a report on each.
func Run(ctx context.Context, o Options, out io.Writer) (reports []Report, err error) {
	defer func() { err = errors.Wrap(err, "demo") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	users := []example.User{example.Archive, example.RefundDesk}
	reports = make([]Report, len(users))
	waits := make([]func() error, len(users))
	g := &errgroup.Group{}
	for i, user := range users {
		layout, err := example.New(user, example.FullSize, byte(i))
		if err != nil {
			return nil, err
		}
		s, wait, err := Start(ctx, layout)
		if err != nil {
			return nil, err
		}
		waits[i] = wait
		g.Go(func() (err error) {
			reports[i], err = runSite(ctx, s, o, out)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	cancel()
	for _, wait := range waits {
		if err := wait(); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

func runSite(ctx context.Context, s *Site, o Options, out io.Writer) (r Report, err error) {
	if err := s.await(ctx, 1); err != nil {
		return r, err
	}
	r.User = s.layout.User
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		r.Result, err = load.Run(ctx, load.Config{
			Targets: s.Targets(), Rate: o.Rate, Duration: o.Duration, Callers: s.Callers(),
			Model: s.layout.Model, Path: s.layout.Path, StreamShare: 0.5, PaymentShare: 0.35, TokensPerAnswer: 60,
			Seed: o.Seed, MaxAttempts: 8,
		})
		return err
	})
	g.Go(func() error {
		start := time.Now()
		for _, e := range script(s) {
			time.Sleep(time.Until(start.Add(time.Duration(e.at * float64(o.Duration)))))
			fmt.Fprintf(out, "%6.1fs  %-8s %s\n", time.Since(start).Seconds(), s.layout.User, e.text)
			e.do(s)
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return r, err
	}
	_ = s.await(ctx, 0) // Who has not got it by then is reported.
	r.UpToDate, r.Running = s.CountUpToDate()
	r.Verdict = load.CheckPayments(r.Result.PaymentOutcomes, s.stand.Runs())
	return r, nil
}

// await waits until all daemons have the newest generation and, for members
// above 0, see all others.
func (s *Site) await(ctx context.Context, members int) error {
	deadline := time.Now().Add(settle)
	for {
		have, all := s.CountUpToDate()
		if have == all && (members == 0 || s.complete()) {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Newf("%d of %d processes have the newest generation", have, all)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// complete reports whether every daemon knows every other and takes work in.
func (s *Site) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.daemons {
		if len(d.Node().Status().Members) < len(s.daemons) || d.Node().Refusal() != nil {
			return false
		}
	}
	return true
}

// Print writes the table of reports.
func Print(out io.Writer, reports []Report) {
	fmt.Fprintf(out, "\n%-9s %6s %6s %8s %8s %7s %6s %5s %8s %14s %9s\n", "user", "sent", "whole", "not run",
		"unknown", "broken", "wrong", "lost", "doubled", "false not run", "in force")
	for _, r := range reports {
		fmt.Fprintf(out, "%-9s %6d %6d %8d %8d %7d %6d %5d %8d %14d %5d/%d\n", r.User, r.Result.Sent, r.Result.Complete,
			r.Result.NotRun, r.Result.Unknown, r.Result.NoOutcome, r.Result.Wrong, r.Verdict.Lost, r.Verdict.Doubled,
			r.Verdict.FalseNotRun, r.UpToDate, r.Running)
	}
}
