// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
	"github.com/canvaspulley/canvaspulley/internal/experiment"
	"github.com/canvaspulley/canvaspulley/internal/inifile"
	"github.com/canvaspulley/canvaspulley/internal/plots"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/trace"
)

// rebalanceVerb runs a trace through the methods of rebalancing.
type rebalanceVerb struct {
	app         *app
	Trace       string  `long:"trace" required:"yes" value-name:"FILE.csv" description:"tokens by step, layer and expert"`
	Ranks       int     `long:"ranks" required:"yes" description:"ranks of the group"`
	Slots       int     `long:"slots" required:"yes" description:"experts that a rank holds, a layer"`
	Policy      string  `long:"policy" value-name:"FILE.ini" description:"policy whose prices apply"`
	Lag         int     `long:"lag" default:"1" description:"steps until a report is heard"`
	Gap         float64 `long:"gap" description:"share of reports that are lost"`
	ExpertBytes float64 `long:"expert-bytes" default:"50e6" description:"bytes of one expert of one layer"`
	StoreRate   float64 `long:"store-rate" default:"1e9" description:"bytes a second from the weight store"`
	StepMS      float64 `long:"step-ms" default:"60000" description:"time of one step of the trace"`
	Repack      int     `long:"repack-every" default:"30" description:"steps between two re-packs of the naive version"`
	Seed        uint64  `long:"seed" default:"1" description:"source of chance"`
	JSON        bool    `long:"json" description:"print JSON"`
	Plot        string  `long:"plot" value-name:"FILE.png" description:"draw skew and bytes over time"`
}

// Execute runs the experiment.
func (v *rebalanceVerb) Execute([]string) (err error) {
	f, err := os.Open(v.Trace)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	t, err := trace.Read(v.Trace, f)
	if err != nil {
		return err
	}
	if err := v.check(t); err != nil {
		return err
	}
	prices, err := v.prices()
	if err != nil {
		return err
	}
	runs := experiment.Rebalance(experiment.RebalanceConfig{
		Trace: t, Ranks: v.Ranks, Slots: v.Slots, Prices: prices, ReportLag: v.Lag, ReportLoss: v.Gap,
		ExpertBytes: v.ExpertBytes, StoreRate: v.StoreRate, SampleMS: v.StepMS, RepackInterval: v.Repack, Seed: v.Seed,
	})
	if v.Plot != "" {
		if err := plots.Rebalance(v.Plot, runs); err != nil {
			return err
		}
	}
	if v.JSON {
		return v.app.printJSON(struct {
			Runs []experiment.Run `json:"runs"`
		}{runs})
	}
	experiment.RebalanceTable(fmt.Sprintf("Rebalancing: %s, %d layers, %d experts, %d ranks of %d slots, lag %d, gap %g",
		v.Trace, t.Layers(), t.Experts(), v.Ranks, v.Slots, v.Lag, v.Gap), runs).Print(v.app.out)
	return nil
}

// check judges the numbers that must fit together.
func (v *rebalanceVerb) check(t trace.Trace) (err error) {
	for _, one := range []struct {
		bad  bool
		text string
	}{
		{v.Ranks < 2, "--ranks must be at least 2"},
		{v.Slots < 1 || v.Ranks*v.Slots < t.Experts(), fmt.Sprintf("--ranks times --slots must be at least the %d experts", t.Experts())},
		{v.Slots > t.Experts(), fmt.Sprintf("--slots must be at most the %d experts", t.Experts())},
		{v.Lag < 0, "--lag must not be negative"},
		{!(v.Gap >= 0 && v.Gap < 1), "--gap must be from 0 below 1"},
		{!(v.ExpertBytes > 0) || !(v.StoreRate > 0) || !(v.StepMS > 0), "--expert-bytes, --store-rate and --step-ms must be above 0"},
		{v.Repack < 1, "--repack-every must be at least 1"},
	} {
		if one.bad {
			err = errors.Join(err, errors.New(one.text))
		}
	}
	return err
}

// prices reads the policy's prices; without a policy they are 1 and 1.
func (v *rebalanceVerb) prices() (p rebalance.Prices, err error) {
	if v.Policy == "" {
		return rebalance.Prices{Skew: 1, Move: 1}, nil
	}
	raw, err := os.ReadFile(v.Policy)
	if err != nil {
		return p, err
	}
	c, err := published.New(published.Version{}, map[string][]byte{"policy/priced.ini": raw})
	if err != nil {
		return p, inifile.AsProblems(v.Policy, err)
	}
	priced := c.Policy("priced")
	return rebalance.Prices{Skew: priced.SkewPrice, Move: priced.MovePrice}, nil
}

// traceVerb makes a trace.
type traceVerb struct {
	app     *app
	Kind    string `long:"kind" choice:"daily" choice:"shift" choice:"spike" choice:"zipf-walk" choice:"adversarial" required:"yes" description:"how the load drifts"`
	Layers  int    `long:"layers" default:"4" description:"layers"`
	Experts int    `long:"experts" default:"64" description:"experts a layer"`
	Steps   int    `long:"steps" default:"1440" description:"samples"`
	Seed    uint64 `long:"seed" default:"1" description:"source of chance"`
}

// Execute writes the trace to standard output.
func (v *traceVerb) Execute([]string) (err error) {
	t, err := trace.Generate(trace.Config{Kind: trace.Kind(v.Kind), Layers: v.Layers, Experts: v.Experts, Steps: v.Steps, Seed: v.Seed})
	if err != nil {
		return err
	}
	return t.Write(v.app.out)
}
