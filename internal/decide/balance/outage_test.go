// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// say has a group of one rank say at a moment whether it serves.
func say(t *Table, closed bool, after time.Duration) {
	t.Report("a", Load{Group: "g", Closed: closed, At: start.Add(after)})
}

// opensAfter returns how long after start the group is expected to open.
func opensAfter(t *Table, now time.Duration) time.Duration {
	return t.ExpectedOpen(candidates("a"), start.Add(now)).Sub(start)
}

func TestWhenAGroupIsExpectedToOpen(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tells func(t *Table)
		now   time.Duration
		opens time.Duration
	}{
		{"its beginning was not seen", func(t *Table) { say(t, true, 0) }, 0, lateOutage},
		{"nothing is known of outages", func(t *Table) {
			say(t, false, 0)
			say(t, true, time.Second)
		}, time.Second, time.Second + usualOutage},
		{"one was seen", func(t *Table) {
			say(t, false, 0)
			say(t, true, time.Second)
			say(t, false, 3*time.Second)
			say(t, true, 10*time.Second)
		}, 10 * time.Second, 12 * time.Second},
		{"words that cross each other are none", func(t *Table) {
			say(t, false, 0)
			say(t, true, time.Second)
			say(t, false, time.Second+leastOutage/2)
			say(t, true, 10*time.Second)
		}, 10 * time.Second, 10*time.Second + usualOutage},
		{"it is longer than usual", func(t *Table) {
			say(t, false, 0)
			say(t, true, 0)
		}, 6 * time.Second, 9 * time.Second},
		{"it serves", func(t *Table) { say(t, false, 0) }, time.Second, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			table := New()
			tc.tells(table)
			g.Expect(opensAfter(table, tc.now)).To(Equal(tc.opens))
		})
	}
}

func TestAGroupHasJustOpened(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tells func(t *Table)
		just  bool
	}{
		{"nothing is heard", func(*Table) {}, false},
		{"it was first heard a moment ago", func(t *Table) { say(t, false, 0) }, true},
		{"it was heard long before", func(t *Table) {
			say(t, false, -time.Minute)
			say(t, false, 0)
		}, false},
		{"it was down", func(t *Table) {
			say(t, false, -time.Minute)
			say(t, true, -time.Second)
			say(t, false, 0)
		}, true},
		{"words crossed each other", func(t *Table) {
			say(t, false, -time.Minute)
			say(t, true, -leastOutage/2)
			say(t, false, 0)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New()
			tc.tells(table)
			NewWithT(t).Expect(table.JustOpened("g", start.Add(time.Second))).To(Equal(tc.just))
		})
	}
}

// What is heard of one rank holds for those that were never heard, but not for another
// group's.
func TestWhichRanksServeAsFarAsIsKnown(t *testing.T) {
	g := NewWithT(t)
	table := New()
	list := candidates("a", "b", "c")
	_, known := table.Serving(list, start)
	g.Expect(known).To(BeFalse())
	say(table, true, 0) // Of a.
	serving, known := table.Serving(list, start)
	g.Expect(known).To(BeTrue())
	g.Expect(serving).To(BeEmpty())
	table.Report("b", Load{Group: "h", At: start})
	serving, _ = table.Serving(list, start)
	g.Expect(serving).To(Equal(candidates("b", "c")), "a's group is down, and c was never heard")
}
