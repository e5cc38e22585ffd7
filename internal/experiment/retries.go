// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"fmt"
	"math/rand/v2"

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
