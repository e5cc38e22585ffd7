// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package experiment measures the decisions against their naive versions, with
// scripted time and fixed seeds: each loop drives the very code that the
// daemons run. It is no simulator of a cluster; what a loop leaves out is said
// beside its figures.
package experiment

import (
	"fmt"
	"io"
	"sort"
)

// Cell is one figure of a method.
type Cell struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit,omitempty"`
	Value float64 `json:"value"`
}

// Row is the figures of one method.
type Row struct {
	Name  string `json:"name"`
	Cells []Cell `json:"cells"`
}

// Value returns the named figure; it panics on a name that is not there.
func (r Row) Value(name string) float64 {
	for _, c := range r.Cells {
		if c.Name == name {
			return c.Value
		}
	}
	panic("no figure " + name + " in row " + r.Name)
}

// Table is the outcome of one experiment.
type Table struct {
	Title string `json:"title"`
	Rows  []Row  `json:"runs"`
}

// Row returns the row of the named method; it panics when there is none.
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

// quantile returns the q-quantile of values, 0 for none; it sorts them.
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
