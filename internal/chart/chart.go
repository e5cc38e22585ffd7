// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package chart interprets state charts written in INI files, one file a life
// cycle. A file is checked when it is loaded: in every state every event is
// either handled or named as ignored, and every state can be reached. The
// package knows nothing of what the states mean.
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

// Names of states and events are typed so that they are not mixed up.
type (
	State string
	Event string
)

// ignored is the target that names an event as having no effect.
const ignored = "ignore"

// Chart is one checked life cycle. A Chart is immutable.
type Chart struct {
	name  string
	start State
	next  map[State]map[Event]State
}

// Load reads the named chart that is built into the program.
func Load(name string) (c *Chart, err error) {
	file := "charts/" + name + ".ini"
	raw, err := files.ReadFile(file)
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return Parse(name, raw)
}

// MustLoad is Load for the charts that the program itself brings.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err) // The file is part of the program; a test loads each.
	}
	return c
}

// Parse reads and checks a chart.
func Parse(name string, raw []byte) (c *Chart, err error) {
	f, err := inifile.Parse(name, raw)
	if err != nil {
		return nil, err
	}
	c = &Chart{name: name, next: map[State]map[Event]State{}}
	c.start = State(f.Required("chart", "start"))
	events := f.Words("chart", "events")
	if len(events) == 0 {
		f.AddProblem("chart", "events", "must be set")
	}
	for _, section := range f.Sections() {
		if state, ok := strings.CutPrefix(section, "state "); ok {
			c.next[State(state)] = readState(f, section, State(state), events)
		}
	}
	c.check(f)
	return c, f.Problems().Err()
}

func readState(f *inifile.File, section string, s State, events []string) map[Event]State {
	next := map[Event]State{}
	for _, e := range events {
		to := f.Required(section, e)
		if to == ignored {
			to = string(s)
		}
		next[Event(e)] = State(to)
	}
	return next
}

// check finds targets that do not exist and states that cannot be reached.
func (c *Chart) check(f *inifile.File) {
	if _, ok := c.next[c.start]; !ok {
		f.AddProblem("chart", "start", "no state %q", c.start)
		return
	}
	reached := map[State]bool{c.start: true}
	work := []State{c.start}
	for len(work) > 0 {
		s := work[0]
		work = work[1:]
		for e, to := range c.next[s] {
			if _, ok := c.next[to]; !ok {
				f.AddProblem("state "+string(s), string(e), "no state %q", to)
				continue
			}
			if !reached[to] {
				reached[to] = true
				work = append(work, to)
			}
		}
	}
	for s := range c.next {
		if !reached[s] {
			f.AddProblem("state "+string(s), "", "cannot be reached")
		}
	}
}

// States lists the states in order of name.
func (c *Chart) States() []State {
	var list []State
	for s := range c.next {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// Machine is one life that follows a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a life in the chart's first state.
func (c *Chart) NewMachine() *Machine { return &Machine{chart: c, state: c.start} }

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Apply takes in an event and reports whether the state changed. An event that
// the chart does not know is an error of the program.
func (m *Machine) Apply(e Event) (changed bool) {
	to, ok := m.chart.next[m.state][e]
	if !ok {
		panic(errors.AssertionFailedf("chart %s: no event %q", m.chart.name, e))
	}
	changed = to != m.state
	m.state = to
	return changed
}
