// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/demo"
)

// demoVerb runs the demonstration.
type demoVerb struct {
	app      *app
	Rate     float64       `long:"rate" default:"80" description:"requests a second at each site"`
	Duration time.Duration `long:"duration" default:"15s" description:"how long to send"`
	Seed     uint64        `long:"seed" default:"1" description:"source of chance of the load"`
	JSON     bool          `long:"json" description:"print JSON"`
}

// Execute runs both sites; it fails when a promise was broken.
func (v *demoVerb) Execute([]string) (err error) {
	if v.Rate <= 0 || v.Duration <= 0 {
		return errors.New("--rate and --duration must be above 0")
	}
	events := v.app.out
	if v.JSON {
		events = io.Discard
	}
	reports, err := demo.Run(context.Background(), demo.Options{Rate: v.Rate, Duration: v.Duration, Seed: v.Seed}, events)
	if err != nil {
		return failed(err)
	}
	if v.JSON {
		if err := v.app.printJSON(reports); err != nil {
			return err
		}
	} else {
		demo.Print(v.app.out, reports)
	}
	var broken []string
	for _, r := range reports {
		broken = append(broken, r.Violations()...)
	}
	if len(broken) > 0 {
		return failed(errors.Newf("promises broken:\n  %s", strings.Join(broken, "\n  ")))
	}
	fmt.Fprintln(events, "every promise held")
	return nil
}
