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

// demoCommand runs the demonstration.
type demoCommand struct {
	app      *app
	Rate     float64       `long:"rate" default:"80" description:"requests a second at each site"`
	Duration time.Duration `long:"duration" default:"15s" description:"how long to send"`
	Seed     uint64        `long:"seed" default:"1" description:"source of chance of the load"`
	JSON     bool          `long:"json" description:"print JSON"`
}

// Execute runs both sites; it fails when a guarantee was violated.
func (v *demoCommand) Execute([]string) (err error) {
	if v.Rate <= 0 || v.Duration <= 0 {
		return errors.New("--rate and --duration must be above 0")
	}
	events := v.app.out
	if v.JSON {
		events = io.Discard
	}
	reports, err := demo.Run(context.Background(), demo.Options{Rate: v.Rate, Duration: v.Duration, Seed: v.Seed}, events)
	if err != nil {
		return markFailed(err)
	}
	if v.JSON {
		if err := v.app.printJSON(reports); err != nil {
			return err
		}
	} else {
		demo.Print(v.app.out, reports)
	}
	var violations []string
	for _, r := range reports {
		violations = append(violations, r.Violations()...)
	}
	if len(violations) > 0 {
		return markFailed(errors.Newf("promises broken:\n  %s", strings.Join(violations, "\n  ")))
	}
	fmt.Fprintln(events, "every promise held")
	return nil
}
