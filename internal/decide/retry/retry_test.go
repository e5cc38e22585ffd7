// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestNext(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	check := func(name string, a Attempt, want bool) {
		t.Run(name, func(t *testing.T) {
			_, again := Next(a, now)
			gomega.NewWithT(t).Expect(again).To(gomega.Equal(want))
		})
	}
	check("not run", Attempt{Number: 1, NotRun: true}, true)
	check("not run, may not be repeated", Attempt{Number: 1, NotRun: true, Repeatable: false}, true)
	check("unknown, may not be repeated", Attempt{Number: 1, PolicyAllows: true}, false)
	check("unknown, repeatable, policy forbids", Attempt{Number: 1, Repeatable: true}, false)
	check("unknown, repeatable, policy allows", Attempt{Number: 1, Repeatable: true, PolicyAllows: true}, true)
	check("attempts used up", Attempt{Number: MaxAttempts, NotRun: true}, false)
	check("after the deadline", Attempt{Number: 1, NotRun: true, Deadline: now, Random: 0.5}, false)
}

// Guards against a process that is granted all its retries again by each restart.
func TestABudgetFillsWithTheAgeOfItsProcess(t *testing.T) {
	for _, tc := range []struct {
		age  time.Duration
		want int
	}{{-time.Second, 0}, {0, 0}, {time.Second, 2}, {5 * time.Second, 10}, {time.Hour, 20}} {
		t.Run(tc.age.String(), func(t *testing.T) {
			b, taken := NewBudget(0.1, 20, tc.age), 0
			for b.Take() {
				taken++
			}
			gomega.NewWithT(t).Expect(taken).To(gomega.Equal(tc.want))
		})
	}
}
