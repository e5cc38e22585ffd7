// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"
	"os"

	"github.com/canvaspulley/canvaspulley/internal/capacity"
)

// capacityVerb works out what a site costs.
type capacityVerb struct {
	app  *app
	Site string `long:"site" required:"yes" value-name:"FILE.ini" description:"size of the site"`
	JSON bool   `long:"json" description:"print JSON"`
}

// Execute prints the table and the slopes that it comes from.
func (v *capacityVerb) Execute([]string) (err error) {
	raw, err := os.ReadFile(v.Site)
	if err != nil {
		return err
	}
	s, err := capacity.Parse(v.Site, raw)
	if err != nil {
		return err
	}
	lines := s.Figures()
	if v.JSON {
		return v.app.printJSON(struct {
			Lines  []capacity.Figure `json:"lines"`
			Slopes []capacity.Slope  `json:"slopes"`
		}{lines, capacity.Slopes()})
	}
	capacity.Print(v.app.out, lines)
	fmt.Fprint(v.app.out, "\n| slope | value | measured by |\n| --- | ---: | --- |\n")
	for _, one := range capacity.Slopes() {
		fmt.Fprintf(v.app.out, "| %s | %.4g %s | `%s` |\n", one.Name, one.Value, one.Unit, one.Command)
	}
	return nil
}
