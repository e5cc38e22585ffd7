// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"
	"os"

	"github.com/canvaspulley/canvaspulley/internal/capacity"
)

// capacityCommand computes the resources that a site needs.
type capacityCommand struct {
	app  *app
	Site string `long:"site" required:"yes" value-name:"FILE.ini" description:"size of the site"`
	JSON bool   `long:"json" description:"print JSON"`
}

// Execute prints the table and the slopes from which it is computed.
func (v *capacityCommand) Execute([]string) (err error) {
	raw, err := os.ReadFile(v.Site)
	if err != nil {
		return err
	}
	s, err := capacity.Parse(v.Site, raw)
	if err != nil {
		return err
	}
	figures := s.Figures()
	if v.JSON {
		return v.app.printJSON(struct {
			Lines  []capacity.Figure `json:"lines"`
			Slopes []capacity.Slope  `json:"slopes"`
		}{figures, capacity.Slopes()})
	}
	capacity.Print(v.app.out, figures)
	fmt.Fprint(v.app.out, "\n| slope | value | measured by |\n| --- | ---: | --- |\n")
	for _, slope := range capacity.Slopes() {
		fmt.Fprintf(v.app.out, "| %s | %.4g %s | `%s` |\n", slope.Name, slope.Value, slope.Unit, slope.Command)
	}
	return nil
}
