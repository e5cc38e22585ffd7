// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package dedup

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") } // The same verdict every time.

var start = time.Unix(1_800_000_000, 0)

func config(began time.Time) Config {
	return Config{Started: began, Skew: time.Second, Window: time.Minute, Capacity: 8, MaxAnswerBytes: 100}
}

// naive is a table that evicts the oldest name when it is full, and ignores
// earlier processes.
type naive struct {
	seen  map[string]bool
	order []string
}

func (n *naive) begin(name string) bool {
	if n.seen[name] {
		return false
	}
	n.seen[name] = true
	n.order = append(n.order, name)
	if len(n.order) > 8 {
		delete(n.seen, n.order[0])
		n.order = n.order[1:]
	}
	return true
}

// schedule runs a random history of one endpoint: late and duplicate copies of
// requests, and restarts of the process. It returns the number of runs by name.
func schedule(t *rapid.T, beginRequest func(name string, minted, now time.Time) bool, restart func(now time.Time)) (runs map[string]int) {
	runs = map[string]int{}
	now := start.Add(2 * time.Second)
	type request struct {
		name   string
		minted time.Time
	}
	var sent []request
	for i := range rapid.IntRange(10, 120).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			restart(now)
			now = now.Add(time.Millisecond)
		case 1, 2, 3, 4:
			sent = append(sent, request{fmt.Sprint("k", i), now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "skew")) * time.Millisecond)})
			fallthrough
		default:
			if len(sent) == 0 {
				continue
			}
			r := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "copy")]
			if beginRequest(r.name, r.minted, now) {
				runs[r.name]++
			}
		}
	}
	return runs
}

func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(config(start))
		runs := schedule(t, func(name string, minted, now time.Time) bool {
			v, _ := table.Begin(name, 0, minted, now)
			if v == Run && rapid.Bool().Draw(t, "answered") {
				table.Finish(name, Answer{})
			}
			return v == Run
		}, func(now time.Time) { table = New(config(now)) })
		for name, n := range runs {
			if n > 1 {
				t.Fatalf("%s ran %d times", name, n)
			}
		}
	})
}

func TestNaiveTableRunsTwice(t *testing.T) {
	twice := false
	rapid.Check(t, func(t *rapid.T) {
		table := &naive{seen: map[string]bool{}}
		runs := schedule(t, func(name string, _, _ time.Time) bool { return table.begin(name) },
			func(time.Time) { table = &naive{seen: map[string]bool{}} })
		for _, n := range runs {
			twice = twice || n > 1
		}
	})
	gomega.NewWithT(t).Expect(twice).To(gomega.BeTrue(), "the schedule no longer exposes the fault")
}

func TestVerdicts(t *testing.T) {
	now := start.Add(10 * time.Second)
	begin := func(table *Table, name string, minted time.Time) Verdict {
		v, _ := table.Begin(name, 1, minted, now)
		return v
	}
	check := func(name string, want Verdict, do func(table *Table) Verdict) {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(do(New(config(start)))).To(gomega.Equal(want))
		})
	}
	check("new", Run, func(t *Table) Verdict { return begin(t, "a", now) })
	check("running", InProgress, func(t *Table) Verdict { begin(t, "a", now); return begin(t, "a", now) })
	check("finished", Replay, func(t *Table) Verdict {
		begin(t, "a", now)
		t.Finish("a", Answer{Status: 200, Body: []byte("x")})
		return begin(t, "a", now)
	})
	check("finished with an answer too large to keep", MayHaveRun, func(t *Table) Verdict {
		begin(t, "a", now)
		t.Finish("a", Answer{Body: make([]byte, 101)})
		return begin(t, "a", now)
	})
	check("lost", MayHaveRun, func(t *Table) Verdict { begin(t, "a", now); t.SetOutcomeUnknown("a"); return begin(t, "a", now) })
	check("released", Run, func(t *Table) Verdict { begin(t, "a", now); t.Release("a"); return begin(t, "a", now) })
	check("denied", Refused, func(t *Table) Verdict { begin(t, "a", now); t.Deny("a"); return begin(t, "a", now) })
	check("another request", Mismatch, func(t *Table) Verdict {
		begin(t, "a", now)
		v, _ := t.Begin("a", 2, now, now)
		return v
	})
	check("from an earlier process", MayHaveRun, func(t *Table) Verdict { return begin(t, "a", start.Add(-time.Second)) })
	check("from the future", FromFuture, func(t *Table) Verdict { return begin(t, "a", now.Add(2*time.Second)) })
	check("full", Full, func(t *Table) Verdict {
		for i := range 8 {
			begin(t, fmt.Sprint(i), now)
		}
		return begin(t, "a", now)
	})
}

func TestTombstone(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start.Add(10 * time.Second)
	table := New(config(start))
	g.Expect(table.Tombstone("unseen", now, now)).To(gomega.Equal(Tombstoned))
	v, _ := table.Begin("unseen", 0, now, now)
	g.Expect(v).To(gomega.Equal(Refused), "the guarantee holds")
	table.Begin("seen", 0, now, now)
	g.Expect(table.Tombstone("seen", now, now)).To(gomega.Equal(Running))
	g.Expect(table.Tombstone("early", start, now)).To(gomega.Equal(OutcomeUnknown), "an earlier process may have run it")
}
