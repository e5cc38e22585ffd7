// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/experiment"
)

// gossipVerb runs one of the experiments on many processes, at each of the
// given sizes, so that slopes come out.
type gossipVerb struct {
	app     *app
	run     func(experiment.GossipConfig) experiment.Table
	Nodes   []int         `long:"nodes" description:"processes; may be repeated (default 22, 100, 300, 1000)"`
	Domains int           `long:"domains" default:"3" description:"failure domains"`
	Loss    float64       `long:"loss" description:"share of messages that are lost"`
	Cut     time.Duration `long:"cut" description:"how long the last failure domain is cut off, from second 10 on"`
	Pause   time.Duration `long:"pause" description:"how long one process is paused"`
	Seconds int           `long:"seconds" default:"40" description:"scripted time"`
	Seed    uint64        `long:"seed" default:"1" description:"source of chance"`
	JSON    bool          `long:"json" description:"print JSON"`
}

// Execute runs the experiment at each size.
func (v *gossipVerb) Execute([]string) error {
	if len(v.Nodes) == 0 {
		v.Nodes = []int{22, 100, 300, 1000}
	}
	var all experiment.Table
	for _, n := range v.Nodes {
		if v.Domains < 1 || n < 2*v.Domains+1 {
			return errors.New("--nodes must be more than twice --domains, and --domains at least 1")
		}
		t := v.run(experiment.GossipConfig{Nodes: n, Domains: v.Domains, Loss: v.Loss, PartitionTime: v.Cut,
			PauseTime: v.Pause, Seconds: v.Seconds, Seed: v.Seed})
		all.Title = t.Title
		all.Rows = append(all.Rows, t.Rows...)
	}
	if v.JSON {
		return v.app.printJSON(all)
	}
	all.Print(v.app.out)
	return nil
}
