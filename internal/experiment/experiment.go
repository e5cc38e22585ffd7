// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package experiment compares the decision algorithms with naive ones, in simulated
// time and with fixed seeds. Each simulation drives the decision code that the
// daemons run. It is not a cluster simulator; what a simulation leaves out is stated
// next to its figures.
package experiment

import (
	"fmt"
	"io"
	"sort"
)

// Cell is one figure that was measured for a method.
type Cell struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit,omitempty"`
	Value float64 `json:"value"`
}

// Row holds the figures of one method.
type Row struct {
	Name  string `json:"name"`
	Cells []Cell `json:"cells"`
}

// Value returns the named figure; it panics if there is none.
func (r Row) Value(name string) float64 {
	for _, c := range r.Cells {
		if c.Name == name {
			return c.Value
		}
	}
	panic("no figure " + name + " in row " + r.Name)
}

// Table is the result of one experiment.
type Table struct {
	Title string `json:"title"`
	Rows  []Row  `json:"runs"`
}

// Row returns the row of the named method; it panics if there is none.
func (t Table) Row(name string) Row {
	for _, r := range t.Rows {
		if r.Name == name {
			return r
		}
	}
	panic("no row " + name + " in table " + t.Title)
}

// Print writes t as a Markdown table.
func (t Table) Print(w io.Writer) {
	fmt.Fprintf(w, "%s\n\n| method |", t.Title)
	for _, c := range t.Rows[0].Cells {
		fmt.Fprintf(w, " %s |", c.title())
	}
	fmt.Fprint(w, "\n| --- |")
	for range t.Rows[0].Cells {
		fmt.Fprint(w, " ---: |")
	}
	fmt.Fprintln(w)
	for _, r := range t.Rows {
		fmt.Fprintf(w, "| %s |", r.Name)
		for _, c := range r.Cells {
			fmt.Fprintf(w, " %.4g |", c.Value)
		}
		fmt.Fprintln(w)
	}
}

func (c Cell) title() string {
	if c.Unit == "" {
		return c.Name
	}
	return c.Name + ", " + c.Unit
}

// quantile returns the q-quantile of values, 0 for no values. It sorts values in place.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	i := int(q * float64(len(values)))
	return values[min(i, len(values)-1)]
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}
