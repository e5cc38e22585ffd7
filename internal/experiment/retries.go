// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
)

// Retries compares the retry budget with three retries for each failed request and
// with none. The group fails one request in 200, and nine in ten of the middle third.
func Retries(requests int, seed uint64) Table {
	t := Table{Title: fmt.Sprintf("Retries: %d requests, one in 200 fails; for the middle third, nine in ten do", requests)}
	budget := retry.NewBudget(0.1, 20)
	for _, m := range []struct {
		name    string
		allow   func(attempt int) bool
		success func()
	}{
		{"no retry", func(int) bool { return false }, func() {}},
		{"three retries", func(attempt int) bool { return attempt <= 3 }, func() {}},
		{"canvaspulley", func(attempt int) bool { return attempt < retry.MaxAttempts && budget.Take() }, budget.RecordSuccess},
	} {
		rnd := rand.New(rand.NewPCG(seed, 2))
		var sent, answered [3]int
		for i := range requests {
			phase := i * 3 / requests
			for attempt := 1; ; attempt++ {
				sent[phase]++
				failureRate := 0.005
				if phase == 1 {
					failureRate = 0.9
				}
				if rnd.Float64() >= failureRate {
					answered[phase]++
					m.success()
					break
				}
				if !m.allow(attempt) {
					break
				}
			}
		}
		third := float64(requests) / 3
		t.Rows = append(t.Rows, Row{m.name, []Cell{
			{"sent to the failing group", "times the requests", float64(sent[1]) / third},
			{"answered while it fails", "share", float64(answered[1]) / third},
			{"answered otherwise", "share", float64(answered[0]+answered[2]) / (2 * third)},
		}})
	}
	return t
}

// retryScenario is a history of a fleet for which the retries of all gateways are compared with the
// published bound.
type retryScenario struct {
	name  string
	alone bool // Gateways do not hear each other.
	play  func(f *retryFleet)
}

// restartAll returns an action that restarts all gateways at regular intervals.
func restartAll(f *retryFleet, every time.Duration) func() {
	next := f.now.Add(every)
	return func() {
		if f.now.Before(next) {
			return
		}
		next = next.Add(every)
		for i := range f.gateways {
			f.start(i, 0)
		}
	}
}

// retryTraffic is the length of the traffic of a scenario.
const retryTraffic = 14 * time.Second

var retryScenarios = []retryScenario{
	{name: "known to each other", play: func(f *retryFleet) { f.run(retryTraffic, nil) }},
	{name: "known, restarted every 1.5 s", play: func(f *retryFleet) { f.run(retryTraffic, restartAll(f, 1500*time.Millisecond)) }},
	{name: "known, restarted every 4 s", play: func(f *retryFleet) { f.run(retryTraffic, restartAll(f, 4*time.Second)) }},
	{name: "alone", alone: true, play: func(f *retryFleet) { f.run(retryTraffic, nil) }},
	{name: "alone, restarted every 1.5 s", alone: true, play: func(f *retryFleet) { f.run(retryTraffic, restartAll(f, 1500*time.Millisecond)) }},
	{name: "failures after calm", play: func(f *retryFleet) {
		f.failures = 0
		f.run(12*time.Second, nil)
		f.failures = 0.6
		f.run(retryTraffic, nil)
	}},
	{name: "alone, failures after calm", alone: true, play: func(f *retryFleet) {
		f.failures = 0
		f.run(12*time.Second, nil)
		f.failures = 0.6
		f.run(retryTraffic, nil)
	}},
	{name: "all callers move", play: func(f *retryFleet) {
		half := 0
		f.weight = func(i int) float64 { return float64((i + half) % 2) }
		for ; half < 4; half++ {
			f.run(5*time.Second, nil)
		}
	}},
	{name: "load falls to a tenth", play: func(f *retryFleet) {
		f.run(11*time.Second, nil)
		f.rate /= 10
		f.run(11*time.Second, nil)
	}},
}

// RetryFleetSize is the size of a fleet in the experiment on shared retry budgets.
type RetryFleetSize struct {
	Gateways int
	Rate     float64 // Requests per second.
	Slack    float64
}

// DefaultRetryFleets are the sizes of deployments, and the largest one with little slack.
var DefaultRetryFleets = []RetryFleetSize{{7, 60, 90}, {32, 268, 192}, {149, 1250, 648}, {531, 9000, 1040}, {531, 9000, 192}}

// SharedRetries compares the shared retry budget with a window for each process, by the retries of
// all gateways as a portion of the published bound. Six attempts in ten fail.
func SharedRetries(sizes []RetryFleetSize, seed uint64) Table {
	t := Table{Title: "Retries of all gateways, worst span of what is allowed"}
	for _, m := range []struct {
		name       string
		newLimiter func(retry.Bound, func() float64) limiter
	}{{"a window for each process", perProcessLimiter}, {"canvaspulley", sharedLimiter}} {
		for _, scenario := range retryScenarios {
			row := Row{Name: m.name + ", " + scenario.name}
			for _, size := range sizes {
				f := newRetryFleet(size.Gateways, 3, retry.Bound{Share: 0.2, Slack: size.Slack, Window: 10 * time.Second}, seed, m.newLimiter)
				if scenario.alone {
					for i, g := range f.gateways {
						g.side = i
					}
				}
				f.run(fleetLead, nil)
				f.rate, f.failures = size.Rate, 0.6
				scenario.play(f)
				row.Cells = append(row.Cells, Cell{fmt.Sprintf("%d gateways, slack %.0f", size.Gateways, size.Slack), "of the bound", f.worst().Use()})
			}
			t.Rows = append(t.Rows, row)
		}
	}
	return t
}
