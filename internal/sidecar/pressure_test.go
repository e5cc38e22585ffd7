// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// A shorter pass is worth nothing to a group without requests, and little where passes are
// easy; where pauses become too long it is worth all, however few requests there are.
func TestWhatAShorterPassIsWorth(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, tc := range []struct {
		name    string
		pass    time.Duration
		running int // At each of two ranks, which run ten at once.
		worth   float64
	}{
		{"nothing to do", 20 * time.Millisecond, 0, 0},
		{"little to do", 20 * time.Millisecond, 1, 0.1 * leastPressure},
		{"full, and easy", 20 * time.Millisecond, 10, leastPressure},
		{"queues do not count", 20 * time.Millisecond, 30, leastPressure},
		{"passes too long", 90 * time.Millisecond, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			busy := func() *member { return &member{report: rank.Report{Running: tc.running}} }
			l := &leader{shape: &fleet.Engine{Slots: 10}, pauseLimit: pause, byRank: []*member{busy(), busy()}}
			l.planner.pass = tc.pass
			g.Expect(l.pressure()).To(BeNumerically("~", tc.worth, 1e-9))
		})
	}
}
