// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package chart

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestWalk loads each chart of the program and tries every event in every
// state: none is unknown, and no state is left by accident.
func TestWalk(t *testing.T) {
	entries, err := files.ReadDir("charts")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, e := range entries {
		t.Run(e.Name(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c, err := Load(strings.TrimSuffix(e.Name(), ".ini"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for _, s := range c.States() {
				for event, to := range c.next[s] {
					m := &Machine{chart: c, state: s}
					g.Expect(m.Apply(event)).To(gomega.Equal(to != s))
					g.Expect(m.State()).To(gomega.Equal(to))
				}
			}
		})
	}
}

func TestRequestChartNeverCallsSentWorkNotRunByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	m := MustLoad("request").NewMachine()
	m.Apply("queue")
	m.Apply("start")
	m.Apply("send")
	m.Apply("break")
	g.Expect(m.State()).To(gomega.Equal(State("unknown")))
	for _, e := range []Event{"refuse", "break", "finish", "start"} {
		m.Apply(e)
		g.Expect(m.State()).To(gomega.Equal(State("unknown")), "an end is an end")
	}
}

func TestFaultyCharts(t *testing.T) {
	check := func(name, text, want string) {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("faulty", []byte(text))
			gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)))
		})
	}
	check("event not handled", "[chart]\nstart = a\nevents = go stop\n[state a]\ngo = ignore\n", "stop: must be set")
	check("state not reached", "[chart]\nstart = a\nevents = go\n[state a]\ngo = ignore\n[state b]\ngo = a\n", "cannot be reached")
	check("no such state", "[chart]\nstart = a\nevents = go\n[state a]\ngo = c\n", `no state "c"`)
	check("unknown event", "[chart]\nstart = a\nevents = go\n[state a]\ngo = ignore\nfly = a\n", "unknown key")
}
