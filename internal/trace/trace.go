// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package trace reads, writes and makes traces of expert load: how many tokens
// each expert of each layer got in each sample. Traces feed experiments only.
package trace

import (
	"bufio"
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Trace is tokens by sample, layer and expert.
type Trace [][][]float64

// Layers returns the number of layers.
func (t Trace) Layers() int { return len(t[0]) }

// Experts returns the number of experts a layer.
func (t Trace) Experts() int { return len(t[0][0]) }

// header is the first line of a trace file.
var header = []string{"step", "layer", "expert", "tokens"}

// Bounds of what is read.
const (
	maxStep  = 1 << 20
	maxIndex = 1 << 12
)

// LineError is a malformed line.
type LineError struct {
	File string
	Line int
	Text string
}

func (e *LineError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Read parses a trace; name is used in errors only.
func Read(name string, r io.Reader) (t Trace, err error) {
	c := csv.NewReader(r)
	c.ReuseRecord = true
	c.FieldsPerRecord = len(header)
	fault := func(format string, args ...any) error {
		line, _ := c.FieldPos(0)
		return &LineError{name, line, fmt.Sprintf(format, args...)}
	}
	for first := true; ; first = false {
		row, err := c.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var pe *csv.ParseError
		if errors.As(err, &pe) {
			return nil, &LineError{name, pe.Line, pe.Err.Error()}
		}
		if err != nil {
			return nil, err
		}
		if first {
			for i, want := range header {
				if row[i] != want {
					return nil, fault("the header must be step,layer,expert,tokens")
				}
			}
			continue
		}
		step, layer, expert, tokens, err := parseRow(row)
		if err != nil {
			return nil, fault("%v", err)
		}
		switch {
		case step < len(t)-1:
			return nil, fault("step %d comes after step %d", step, len(t)-1)
		case step > len(t):
			return nil, fault("step %d is missing", len(t))
		case step == len(t):
			t = append(t, nil)
		}
		t[step] = put(t[step], layer, expert, tokens)
	}
	if len(t) == 0 {
		return nil, &LineError{name, 1, "no rows"}
	}
	return t.square(), nil
}

func parseRow(row []string) (step, layer, expert int, tokens float64, err error) {
	limits := []int{maxStep, maxIndex, maxIndex}
	var n [3]int
	for i := range n {
		if n[i], err = strconv.Atoi(row[i]); err != nil || n[i] < 0 || n[i] >= limits[i] {
			return 0, 0, 0, 0, errors.Newf("%s %q is not a number from 0 below %d", header[i], row[i], limits[i])
		}
	}
	tokens, err = strconv.ParseFloat(row[3], 64)
	if err != nil || !(tokens >= 0) || tokens > 1e15 {
		return 0, 0, 0, 0, errors.Newf("tokens %q is not a count", row[3])
	}
	return n[0], n[1], n[2], tokens, nil
}

func put(layers [][]float64, layer, expert int, tokens float64) [][]float64 {
	for len(layers) <= layer {
		layers = append(layers, nil)
	}
	for len(layers[layer]) <= expert {
		layers[layer] = append(layers[layer], 0)
	}
	layers[layer][expert] += tokens
	return layers
}

// square gives all samples the same layers and all layers the same experts;
// what no row named got no tokens.
func (t Trace) square() Trace {
	layers, experts := 0, 0
	for _, s := range t {
		layers = max(layers, len(s))
		for _, l := range s {
			experts = max(experts, len(l))
		}
	}
	for i := range t {
		t[i] = put(t[i], layers-1, experts-1, 0)
		for l := range t[i] {
			t[i] = put(t[i], l, experts-1, 0)
		}
	}
	return t
}

// Write writes t as a trace file.
func (t Trace) Write(w io.Writer) (err error) {
	b := bufio.NewWriter(w)
	fmt.Fprintln(b, "step,layer,expert,tokens")
	for s, layers := range t {
		for l, experts := range layers {
			for e, n := range experts {
				fmt.Fprintf(b, "%d,%d,%d,%g\n", s, l, e, n)
			}
		}
	}
	return errors.Wrap(b.Flush(), "write trace")
}
