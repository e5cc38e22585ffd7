// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/soak"
)

// soakCommand runs gateways and sidecars as separate processes, injects faults by schedules that are
// derived from seeds, and checks the guarantees.
type soakCommand struct {
	app     *app
	Seed    uint64  `long:"seed" default:"1" description:"first seed; the schedule of the trouble follows from it"`
	Runs    int     `long:"runs" default:"1" description:"seeds to run, one after the other"`
	Seconds float64 `long:"seconds" default:"24" description:"length of a run; its last 8 s are without trouble"`
	Daemon  string  `long:"daemon" description:"program of the daemon (default: canvaspulleyd beside this program)"`
	Dir     string  `long:"dir" description:"folder for settings and logs (default: the system's for temporary files)"`
	Sizes   struct {
		Gateways int `long:"gateways" default:"4"`
		Ranks    int `long:"ranks" default:"3"`
		Plain    int `long:"plain" default:"6" description:"endpoints of plain services"`
		Callers  int `long:"callers" default:"3" description:"at each gateway"`
	} `group:"size of the site"`
	Apart bool `long:"apart" description:"gateways do not look for each other"`
	Quiet bool `long:"quiet" description:"tell only what became of each run"`
}

// Execute runs the seeds one after the other; it fails when a guarantee was violated.
func (v *soakCommand) Execute([]string) error {
	daemon := v.Daemon
	if daemon == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		daemon = filepath.Join(filepath.Dir(self), "canvaspulleyd")
	}
	// An interrupted run ends the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	violations := 0
	for i := range v.Runs {
		cfg := soak.DefaultConfig(v.Seed + uint64(i))
		cfg.Daemon, cfg.Dir, cfg.Length, cfg.Log = daemon, v.Dir, time.Duration(v.Seconds*float64(time.Second)), v.app.out
		cfg.Gateways, cfg.Ranks, cfg.PlainEndpoints, cfg.Callers = v.Sizes.Gateways, v.Sizes.Ranks, v.Sizes.Plain, v.Sizes.Callers
		cfg.Apart = v.Apart
		if v.Quiet {
			cfg.Log = io.Discard
		}
		r, err := soak.Run(ctx, cfg)
		if errors.Is(err, soak.ErrNoDaemon) {
			return markFailed(err)
		}
		if err != nil {
			return errors.Wrapf(err, "seed %d", cfg.Seed)
		}
		fmt.Fprintf(v.app.out, "seed %d: %d requests, %d served, %d on rested connections, %d faults, %d gateways killed, %d maps, %d promises broken; logs in %s\n%v\n",
			cfg.Seed, r.Requests, r.Served, r.IdleRequests, r.Faults, r.KilledGateways, r.MapSwitches, len(r.Violations), r.Dir, r.Outcomes)
		for _, b := range r.Violations {
			fmt.Fprintln(v.app.out, "  broken:", b)
		}
		for _, line := range r.Evidence {
			fmt.Fprintln(v.app.out, "   ", line)
		}
		violations += len(r.Violations)
	}
	if violations > 0 {
		return markFailed(errors.Newf("%d promises broken", violations))
	}
	return nil
}
