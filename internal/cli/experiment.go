// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"

	"github.com/canvaspulley/canvaspulley/internal/experiment"
)

// experimentVerb has one sub-verb for each experiment.
type experimentVerb struct {
	Ownership tableVerb     `command:"ownership" description:"rendezvous hashing against modulo"`
	Admission tableVerb     `command:"admission" description:"the queue against first come, first served"`
	Retries   tableVerb     `command:"retries" description:"the retry budget against three retries"`
	Limits    tableVerb     `command:"limits" description:"borrowing against an even split and a central counter"`
	Routing   routingVerb   `command:"routing" description:"the choice of rank against naive ones"`
	Rebalance rebalanceVerb `command:"rebalance" description:"moving experts against a static map and full re-packs"`
	Members   gossipVerb    `command:"members" description:"how fast a dead process is given up, and what that costs"`
	Spread    gossipVerb    `command:"spread" description:"how fast a generation is in force everywhere"`
	Trace     traceVerb     `command:"trace" description:"make a trace of expert load"`
}

// newExperimentVerb wires each sub-verb to its experiment.
func newExperimentVerb(a *app) *experimentVerb {
	return &experimentVerb{
		Ownership: tableVerb{app: a, run: func(uint64) experiment.Table { return experiment.Ownership(15, 200000) }},
		Admission: tableVerb{app: a, run: func(seed uint64) experiment.Table { return experiment.Admission(60, seed) }},
		Retries:   tableVerb{app: a, run: func(seed uint64) experiment.Table { return experiment.Retries(300000, seed) }},
		Limits:    tableVerb{app: a, run: func(seed uint64) experiment.Table { return experiment.Limits(6, 60, 600, seed) }},
		Routing:   routingVerb{app: a},
		Rebalance: rebalanceVerb{app: a},
		Trace:     traceVerb{app: a},
		Members:   gossipVerb{app: a, run: experiment.Members},
		Spread:    gossipVerb{app: a, run: experiment.Spread},
	}
}

// tableVerb prints the table of one experiment.
type tableVerb struct {
	app  *app
	run  func(seed uint64) experiment.Table
	Seed uint64 `long:"seed" default:"1" description:"source of chance"`
	JSON bool   `long:"json" description:"print JSON"`
}

// Execute runs the experiment.
func (v *tableVerb) Execute([]string) error {
	t := v.run(v.Seed)
	if v.JSON {
		return v.app.printJSON(t)
	}
	t.Print(v.app.out)
	fmt.Fprintln(v.app.out)
	return nil
}

// routingVerb prints the table of the routing experiment.
type routingVerb struct {
	app  *app
	Lag  int     `long:"lag" default:"1" description:"steps until a report is heard"`
	Load float64 `long:"load" default:"0.8" description:"share of the capacity that is offered"`
	Seed uint64  `long:"seed" default:"1" description:"source of chance"`
	JSON bool    `long:"json" description:"print JSON"`
}

// Execute runs the experiment.
func (v *routingVerb) Execute([]string) error {
	cfg := experiment.DefaultRouting
	cfg.ReportLag, cfg.OfferedLoad, cfg.Seed = v.Lag, v.Load, v.Seed
	t := tableVerb{app: v.app, JSON: v.JSON, run: func(uint64) experiment.Table { return experiment.Routing(cfg) }}
	return t.Execute(nil)
}
