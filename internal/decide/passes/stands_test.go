// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package passes

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAGroupStandsWhenAllItsStreamsAreSilent(t *testing.T) {
	at := time.Unix(1000, 0)
	const pass = 60 * time.Millisecond
	for _, tc := range []struct {
		name   string
		sees   func(tr *Tracker)
		after  time.Duration // Since the last event.
		stands bool
	}{
		{"its streams get events", func(tr *Tracker) { tr.Begun("a", at) }, pass, false},
		{"none of them does", func(tr *Tracker) { tr.Begun("a", at) }, 4 * pass, true},
		{"one at another rank does", func(tr *Tracker) {
			tr.Begun("a", at)
			tr.Gap("b", pass, at.Add(3*pass))
		}, 4 * pass, false},
		{"none is under way here", func(tr *Tracker) {
			tr.Begun("a", at)
			tr.Ended("a")
		}, 4 * pass, false},
		{"nothing was ever seen of it", func(*Tracker) {}, 4 * pass, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := New()
			for _, id := range []string{"a", "b"} {
				tr.Report(id, "g", pauses, Rank{Running: 1, At: at})
			}
			tr.Gap("a", pass, at)
			tc.sees(tr)
			NewWithT(t).Expect(tr.Stands("a", at.Add(tc.after))).To(Equal(tc.stands))
		})
	}
}
