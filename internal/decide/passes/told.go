// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package passes

import (
	"math"
	"strconv"
	"time"
)

// The limit of a large group is made in one place, its leader, which sees all ranks at
// once and tells it with their loads. Gateways that each guessed it from the pauses of
// their own few streams stood at 3.4 and 8.5 requests a rank at the same moment (a tenth
// and nine tenths of them, 72 ranks): those that thought little let nobody in, while
// the others filled the group beyond what any stream bears.

// toldAge is how long a limit that was told counts. It comes ten times a second; a
// leader that fell silent is followed by another one within a second or so, and until
// then each gateway goes by what it guesses.
const toldAge = 1200 * time.Millisecond

// toldLimit is the newest limit that was told of a group.
type toldLimit struct {
	perRank float64 // Requests; 0 when none was told.
	at      time.Time
}

func (l toldLimit) fresh(now time.Time) bool { return l.perRank > 0 && now.Sub(l.at) <= toldAge }

// RecordAnnouncedLimit takes in the limit of a group that its leader tells, in requests a rank; 0 when it
// does not know one.
func (t *Tracker) RecordAnnouncedLimit(name string, perRank float64, at time.Time) {
	if g := t.groups[name]; g != nil && !at.Before(g.told.at) {
		g.told = toldLimit{perRank: perRank, at: at}
	}
}

const (
	// toldFill is the part of the longest pause that a pass may last in the mean where the
	// limit is made by who sees all ranks and all gateways keep to it: nothing has to be
	// left for what others let in meanwhile. Of the passes of an answer the longest lasts a
	// third longer than the mean, so some answers are late at the limit; a lower one turns
	// more callers away than it brings in time.
	toldFill = 0.95
	// leastTold is the fewest requests a rank is let, however long its passes are: fewer
	// leave most of a pass to work that it makes without any, and at the first map of a
	// group, whose fullest rank has three times the mean, passes of three are just in time.
	leastTold = 3
	// smoothTime is the time constant with which the limit follows what it is computed to.
	// After a shift of demand passes last twice as long for some tenths of a second, until
	// a new map is in force: a limit that follows at once turns 260 of 620 callers away in
	// that second, who would have been in time, and lets them all in a moment later.
	smoothTime = time.Second
)

// Limiter makes the limit of one group from what all its ranks tell. The zero value knows
// nothing yet.
type Limiter struct {
	value float64 // Smoothed limit, requests a rank; 0 when none was made.
	at    time.Time
}

// Next takes in what the ranks tell and returns how many requests each may hold in the
// mean; ok is false when nothing is known of passes, as when the group has just opened.
func (l *Limiter) Next(s Shape, ranks []RankReport, now time.Time) (perRank float64, ok bool) {
	g := group{shape: s, ranks: make(map[string]RankReport, len(ranks))}
	for i, r := range ranks {
		g.ranks[strconv.Itoa(i)] = r
	}
	work, ok := g.work(now)
	if !ok || s.MaxPause <= 0 || s.Slots <= 0 {
		*l = Limiter{}
		return 0, false
	}
	passed := max(now.Sub(l.at), 0).Seconds()
	limit := g.limit(work, toldFill, leastTold, now)
	if l.value <= 0 {
		l.value = limit
	}
	l.value += (1 - math.Exp(-passed/smoothTime.Seconds())) * (limit - l.value)
	l.at = now
	return l.value, true
}
