// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package hold

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var arrivedAt = time.Unix(1000, 0)

func TestUntilConfigLeavesTimeToRetry(t *testing.T) {
	for _, tc := range []struct{ callerTimeout, held time.Duration }{
		{8 * time.Second, maxConfigWait},
		{1200 * time.Millisecond, 400 * time.Millisecond},
		{0, 0},
	} {
		g := NewWithT(t)
		g.Expect(UntilConfig(arrivedAt, tc.callerTimeout).Sub(arrivedAt)).To(Equal(tc.held))
	}
}

func TestUntilGroupOpenEndsBeforeTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	until := UntilGroupOpen(arrivedAt, 2*time.Second, 300*time.Millisecond)
	g.Expect(until.Add(300*time.Millisecond).Sub(arrivedAt)).To(BeNumerically("<", 2*time.Second), "its first event still arrives in time")
	g.Expect(until.Sub(arrivedAt)).To(BeNumerically(">", 1500*time.Millisecond))
}
