// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package hold

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var arrived = time.Unix(1000, 0)

func TestForStartLeavesTimeToComeBack(t *testing.T) {
	for _, tc := range []struct{ patience, kept time.Duration }{
		{8 * time.Second, startTime},
		{1200 * time.Millisecond, 400 * time.Millisecond},
		{0, 0},
	} {
		g := NewWithT(t)
		g.Expect(UntilConfig(arrived, tc.patience).Sub(arrived)).To(Equal(tc.kept))
	}
}

func TestForGroupEndsBeforeTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	until := UntilGroupOpen(arrived, 2*time.Second, 300*time.Millisecond)
	g.Expect(until.Add(300*time.Millisecond).Sub(arrived)).To(BeNumerically("<", 2*time.Second), "its first event still comes in time")
	g.Expect(until.Sub(arrived)).To(BeNumerically(">", 1500*time.Millisecond))
}
