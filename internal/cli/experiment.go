// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"

	"github.com/canvaspulley/canvaspulley/internal/experiment"
)

// experimentCommand has one subcommand per experiment.
type experimentCommand struct {
	Ownership tableCommand     `command:"ownership" description:"rendezvous hashing against modulo"`
	Admission tableCommand     `command:"admission" description:"the queue against first come, first served"`
	Retries   tableCommand     `command:"retries" description:"the budget that gateways share against a window for each process, and an entry's against three retries"`
	Limits    tableCommand     `command:"limits" description:"borrowing against an even split and a central counter"`
	Routing   routingCommand   `command:"routing" description:"the choice of rank against naive ones"`
	Rebalance rebalanceCommand `command:"rebalance" description:"moving experts against a static map and full re-packs"`
	Members   gossipCommand    `command:"members" description:"how fast a dead process is given up, and what that costs"`
	Spread    gossipCommand    `command:"spread" description:"how fast a generation is in force everywhere"`
	Trace     traceCommand     `command:"trace" description:"make a trace of expert load"`
}

// newExperimentCommand connects each subcommand to its experiment.
func newExperimentCommand(a *app) *experimentCommand {
	return &experimentCommand{
		Ownership: tableCommand{app: a, run: func(uint64) experiment.Table { return experiment.Ownership(15, 200000) }},
		Admission: tableCommand{app: a, run: func(seed uint64) experiment.Table { return experiment.Admission(60, seed) }},
		Retries: tableCommand{app: a, run: func(seed uint64) experiment.Table {
			return experiment.SharedRetries(experiment.DefaultRetryFleets, seed)
		}, more: func(seed uint64) experiment.Table { return experiment.Retries(300000, seed) }},
		Limits:    tableCommand{app: a, run: func(seed uint64) experiment.Table { return experiment.Limits(6, 60, 600, seed) }},
		Routing:   routingCommand{app: a},
		Rebalance: rebalanceCommand{app: a},
		Trace:     traceCommand{app: a},
		Members:   gossipCommand{app: a, run: experiment.Members},
		Spread:    gossipCommand{app: a, run: experiment.Spread},
	}
}

// tableCommand prints the table of one experiment, or of two.
type tableCommand struct {
	app  *app
	run  func(seed uint64) experiment.Table
	more func(seed uint64) experiment.Table // Nil for none.
	Seed uint64                             `long:"seed" default:"1" description:"source of chance"`
	JSON bool                               `long:"json" description:"print JSON"`
}

// Execute runs the experiment.
func (v *tableCommand) Execute([]string) error {
	tables := []experiment.Table{v.run(v.Seed)}
	if v.more != nil {
		tables = append(tables, v.more(v.Seed))
	}
	for _, t := range tables {
		if v.JSON {
			if err := v.app.printJSON(t); err != nil {
				return err
			}
			continue
		}
		t.Print(v.app.out)
		fmt.Fprintln(v.app.out)
	}
	return nil
}

// routingCommand prints the table of the routing experiment.
type routingCommand struct {
	app  *app
	Lag  int     `long:"lag" default:"1" description:"steps until a report is heard"`
	Load float64 `long:"load" default:"0.8" description:"share of the capacity that is offered"`
	Seed uint64  `long:"seed" default:"1" description:"source of chance"`
	JSON bool    `long:"json" description:"print JSON"`
}

// Execute runs the experiment.
func (v *routingCommand) Execute([]string) error {
	cfg := experiment.DefaultRouting
	cfg.ReportLag, cfg.OfferedLoad, cfg.Seed = v.Lag, v.Load, v.Seed
	t := tableCommand{app: v.app, JSON: v.JSON, run: func(uint64) experiment.Table { return experiment.Routing(cfg) }}
	return t.Execute(nil)
}
