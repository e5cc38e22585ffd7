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
