// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package grouplimit

import (
	"math"
	"strconv"
	"time"
)

// The limit of a large group is computed in one place, by its leader, which sees all ranks at
// once and announces it with their loads. When each gateway estimated it from the pauses of its
// own few streams, the estimates differed between 3.4 and 8.5 requests per rank at the same time
// (10th and 90th percentile, 72 ranks): gateways with a low estimate admitted no requests, while
// the others filled the group beyond what any stream tolerates.

// maxLimitAge is how long an announced limit is valid. It is announced ten times a second; a
// leader that stops reporting is replaced within about a second, and until then each gateway
// uses its own estimate.
const maxLimitAge = 1200 * time.Millisecond

// leaderLimit is the newest limit that the leader of a group announced.
type leaderLimit struct {
	perRank float64   // Requests per rank; 0 if none was announced.
	at      time.Time // Time of the announcement.
}

// fresh reports whether a limit was announced and is still valid.
func (l leaderLimit) fresh(now time.Time) bool { return l.perRank > 0 && now.Sub(l.at) <= maxLimitAge }

// RecordAnnouncedLimit records the limit that the leader of a group announces, in requests per
// rank; 0 if the leader does not know one. An announcement older than the known one is ignored.
func (t *Tracker) RecordAnnouncedLimit(name string, perRank float64, at time.Time) {
	if g := t.groups[name]; g != nil && !at.Before(g.announced.at) {
		g.announced = leaderLimit{perRank: perRank, at: at}
	}
}

const (
	// leaderFill is the fraction of MaxPause that a pass may last on average if the leader, which
	// sees all ranks, computes the limit and all gateways follow it: no headroom is needed for
	// requests that others admit in the meantime. The longest pass of an answer lasts a third
	// longer than the mean, so some answers are late at the limit; a lower limit would reject more
	// callers than it would bring in time.
	leaderFill = 0.95
	// leaderMinimum is the minimum number of requests per rank, however long passes are: with
	// fewer, most of a pass is its fixed cost, and under the first map of a group, whose most
	// loaded rank has three times the mean load, passes with three requests are just in time.
	leaderMinimum = 3
	// smoothingTime is the time constant with which the limit follows its computed value. After a
	// shift of demand, passes last twice as long for some tenths of a second, until a new map is
	// active: a limit that follows at once rejects 260 of 620 callers in that second, who would
	// have been served in time, and admits all callers again shortly after.
	smoothingTime = time.Second
)

// Limiter computes the limit of one group from the reports of all its ranks. The zero value is
// ready for use.
type Limiter struct {
	smoothed float64   // Smoothed limit, requests per rank; 0 if there is none.
	at       time.Time // Time of the last call of UpdateLimit that returned a limit.
}

// UpdateLimit processes the newest reports of all ranks and returns how many requests each may hold on
// average: the smoothed limit. The result ok is false if no pass time is known, as when the group
// has just opened, or if MaxPause or the slots are unknown. The smoothing then starts again.
func (l *Limiter) UpdateLimit(s Shape, ranks []RankReport, now time.Time) (perRank float64, ok bool) {
	g := group{shape: s, ranks: make(map[string]RankReport, len(ranks))}
	for i, r := range ranks {
		g.ranks[strconv.Itoa(i)] = r
	}
	requestCost, ok := g.requestCost(now)
	if !ok || s.MaxPause <= 0 || s.Slots <= 0 {
		*l = Limiter{}
		return 0, false
	}
	elapsed := max(now.Sub(l.at), 0).Seconds()
	limit := g.limitFor(requestCost, leaderFill, leaderMinimum, now)
	if l.smoothed <= 0 {
		l.smoothed = limit
	}
	l.smoothed += (1 - math.Exp(-elapsed/smoothingTime.Seconds())) * (limit - l.smoothed)
	l.at = now
	return l.smoothed, true
}
