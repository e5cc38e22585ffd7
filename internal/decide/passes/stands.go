// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package passes

import "time"

// A group makes its passes together, so when one rank stands, all streams of the group
// stop at once. Sending one of them on to another rank then gains nothing and adds its
// prompt to what the group has to read when it goes on: while a leader was frozen in the
// midst of a switch, 118 of 300 requests a second were sent a second time so.

const (
	// standsPasses is how many passes in a row must be missed by all streams here until
	// their group counts as standing: one that reads long prompts lasts up to twice the
	// usual time.
	standsPasses = 3
	// standsLeast is the least time that this takes: events of several gateways' streams
	// come a few tens of milliseconds apart.
	standsLeast = 150 * time.Millisecond
)

// Begun takes in the first event of a stream here, and Ended the end of such a stream.
func (t *Tracker) Begun(id string, now time.Time) {
	if g := t.groups[t.member[id]]; g != nil {
		g.streams++
		g.eventAt = now
	}
}

// Ended takes in that a stream that had begun has ended.
func (t *Tracker) Ended(id string) {
	if g := t.groups[t.member[id]]; g != nil {
		g.streams = max(g.streams-1, 0)
	}
}

// Stands reports whether the group of an endpoint makes no passes, as seen by streams
// here: some are under way, and none of them has got an event for too long.
func (t *Tracker) Stands(id string, now time.Time) bool {
	g := t.groups[t.member[id]]
	if g == nil || g.streams == 0 || g.gap <= 0 {
		return false
	}
	last := g.gapAt
	if g.eventAt.After(last) {
		last = g.eventAt
	}
	return now.Sub(last) > max(standsPasses*g.gap, standsLeast)
}
