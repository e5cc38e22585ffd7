// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// reportGroup reports that the group, which has one rank, is open or closed at a time after start.
func reportGroup(t *Table, closed bool, after time.Duration) {
	t.Report("a", Load{Group: "g", Closed: closed, At: start.Add(after)})
}

// opensAfter returns how long after start the group is expected to serve again.
func opensAfter(t *Table, now time.Duration) time.Duration {
	return t.ExpectedOpen(candidates("a"), start.Add(now)).Sub(start)
}

func TestExpectedOpen(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(t *Table)
		now   time.Duration
		opens time.Duration
	}{
		{"its start was not observed", func(t *Table) { reportGroup(t, true, 0) }, 0, unseenStartOutage},
		{"no outage was observed yet", func(t *Table) {
			reportGroup(t, false, 0)
			reportGroup(t, true, time.Second)
		}, time.Second, time.Second + defaultOutage},
		{"one outage was observed", func(t *Table) {
			reportGroup(t, false, 0)
			reportGroup(t, true, time.Second)
			reportGroup(t, false, 3*time.Second)
			reportGroup(t, true, 10*time.Second)
		}, 10 * time.Second, 12 * time.Second},
		{"reports out of order are no outage", func(t *Table) {
			reportGroup(t, false, 0)
			reportGroup(t, true, time.Second)
			reportGroup(t, false, time.Second+minOutage/2)
			reportGroup(t, true, 10*time.Second)
		}, 10 * time.Second, 10*time.Second + defaultOutage},
		{"it is longer than usual", func(t *Table) {
			reportGroup(t, false, 0)
			reportGroup(t, true, 0)
		}, 6 * time.Second, 9 * time.Second},
		{"it is open", func(t *Table) { reportGroup(t, false, 0) }, time.Second, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			table := New()
			tc.setUp(table)
			g.Expect(opensAfter(table, tc.now)).To(Equal(tc.opens))
		})
	}
}

func TestJustOpened(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(t *Table)
		just  bool
	}{
		{"no reports", func(*Table) {}, false},
		{"it was first reported open just now", func(t *Table) { reportGroup(t, false, 0) }, true},
		{"it has been open for long", func(t *Table) {
			reportGroup(t, false, -time.Minute)
			reportGroup(t, false, 0)
		}, false},
		{"it was closed", func(t *Table) {
			reportGroup(t, false, -time.Minute)
			reportGroup(t, true, -time.Second)
			reportGroup(t, false, 0)
		}, true},
		{"reports arrived out of order", func(t *Table) {
			reportGroup(t, false, -time.Minute)
			reportGroup(t, true, -minOutage/2)
			reportGroup(t, false, 0)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New()
			tc.setUp(table)
			NewWithT(t).Expect(table.JustOpened("g", start.Add(time.Second))).To(Equal(tc.just))
		})
	}
}

// A report of one rank counts for ranks that never reported, but not for ranks of another group.
func TestServing(t *testing.T) {
	g := NewWithT(t)
	table := New()
	list := candidates("a", "b", "c")
	_, known := table.Serving(list, start)
	g.Expect(known).To(BeFalse())
	reportGroup(table, true, 0) // Of a.
	serving, known := table.Serving(list, start)
	g.Expect(known).To(BeTrue())
	g.Expect(serving).To(BeEmpty())
	table.Report("b", Load{Group: "h", At: start})
	serving, _ = table.Serving(list, start)
	g.Expect(serving).To(Equal(candidates("b", "c")), "a's group is closed, and c never reported")
}
