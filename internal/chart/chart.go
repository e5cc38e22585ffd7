// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package chart interprets state charts written in INI files, one file per life cycle. A file is
// checked when it is loaded: every state handles every event or explicitly ignores it, and
// every state can be reached. The package does not depend on the meaning of the states.
package chart

import (
	"embed"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

//go:embed charts/*.ini
var files embed.FS

// State and Event are names. They have types of their own so that they are not mixed up.
type (
	State string
	Event string
)

// ignoreTarget is the target state of an event that has no effect.
const ignoreTarget = "ignore"

// Chart is the checked state chart of one life cycle. A Chart is immutable.
type Chart struct {
	name        string
	start       State
	transitions map[State]map[Event]State
}

// Load parses the named chart, which is embedded in the program.
func Load(name string) (c *Chart, err error) {
	file := "charts/" + name + ".ini"
	raw, err := files.ReadFile(file)
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return Parse(name, raw)
}

// MustLoad is like Load, but panics if the embedded chart is missing or invalid.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err) // Cannot happen: the files are embedded, and a test loads each of them.
	}
	return c
}

// Parse parses and checks a chart.
func Parse(name string, raw []byte) (c *Chart, err error) {
	f, err := inifile.Parse(name, raw)
	if err != nil {
		return nil, err
	}
	c = &Chart{name: name, transitions: map[State]map[Event]State{}}
	c.start = State(f.Required("chart", "start"))
	events := f.Words("chart", "events")
	if len(events) == 0 {
		f.AddProblem("chart", "events", "must be set")
	}
	for _, section := range f.Sections() {
		if state, ok := strings.CutPrefix(section, "state "); ok {
			c.transitions[State(state)] = readState(f, section, State(state), events)
		}
	}
	c.check(f)
	return c, f.Problems().Err()
}

func readState(f *inifile.File, section string, s State, events []string) map[Event]State {
	next := map[Event]State{}
	for _, e := range events {
		to := f.Required(section, e)
		if to == ignoreTarget {
			to = string(s)
		}
		next[Event(e)] = State(to)
	}
	return next
}

// check reports targets that do not exist and states that cannot be reached from the start state.
func (c *Chart) check(f *inifile.File) {
	if _, ok := c.transitions[c.start]; !ok {
		f.AddProblem("chart", "start", "no state %q", c.start)
		return
	}
	reached := map[State]bool{c.start: true}
	pending := []State{c.start}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		for e, to := range c.transitions[s] {
			if _, ok := c.transitions[to]; !ok {
				f.AddProblem("state "+string(s), string(e), "no state %q", to)
				continue
			}
			if !reached[to] {
				reached[to] = true
				pending = append(pending, to)
			}
		}
	}
	for s := range c.transitions {
		if !reached[s] {
			f.AddProblem("state "+string(s), "", "cannot be reached")
		}
	}
}

// States lists the states, ordered by name.
func (c *Chart) States() []State {
	var list []State
	for s := range c.transitions {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// Machine is a state machine that follows a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a state machine in the chart's start state.
func (c *Chart) NewMachine() *Machine { return &Machine{chart: c, state: c.start} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Apply processes an event and reports whether the state changed. It panics on an event that the
// chart does not define, which is a programming error.
func (m *Machine) Apply(e Event) (changed bool) {
	to, ok := m.chart.transitions[m.state][e]
	if !ok {
		panic(errors.AssertionFailedf("chart %s: event %q is not defined", m.chart.name, e))
	}
	changed = to != m.state
	m.state = to
	return changed
}
