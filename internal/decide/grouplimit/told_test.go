// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package grouplimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTheAnnouncedLimitTakesPrecedenceWhileItIsFresh(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, tc := range []struct {
		name        string
		announced   float64
		after       time.Duration
		isAnnounced bool // The limit is the announced one, 6.
	}{
		{"new", 6, 100 * time.Millisecond, true},
		{"old", 6, maxLimitAge + time.Millisecond, false},
		{"the leader knows none", 0, 100 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tr := New()
			now := at.Add(tc.after)
			tr.Report("a", "g", Shape{FixedCost: 4, Slots: 10, EmptyPass: 24 * time.Millisecond, MaxPause: 120 * time.Millisecond}, RankReport{Running: 8, PassTime: 100 * time.Millisecond, At: now})
			tr.RecordAnnouncedLimit("g", tc.announced, at)
			limit, ok := tr.Limit("g", now)
			g.Expect(ok).To(BeTrue())
			estimate, _ := tr.Estimate("g", now)
			g.Expect(estimate).To(BeNumerically("~", 8.2, 0.1))
			if tc.isAnnounced {
				g.Expect(limit).To(Equal(6.0))
			} else {
				g.Expect(limit).To(Equal(estimate))
			}
		})
	}
}

// ranksAt returns the reports of two ranks with the given requests and pass time.
func ranksAt(running int, pass time.Duration, now time.Time) []RankReport {
	return []RankReport{{Running: running, PassTime: pass, At: now}, {Running: running, PassTime: pass, At: now}}
}

var limiterShape = Shape{FixedCost: 4, Slots: 10, EmptyPass: 24 * time.Millisecond, MaxPause: 120 * time.Millisecond}

// runLimiter calls UpdateLimit ten times per simulated second with unchanged reports.
func runLimiter(g *WithT, l *Limiter, from time.Time, times, running int, pass time.Duration) (perRank float64, until time.Time) {
	until = from
	for range times {
		until = until.Add(100 * time.Millisecond)
		var ok bool
		perRank, ok = l.UpdateLimit(limiterShape, ranksAt(running, pass, until), until)
		g.Expect(ok).To(BeTrue())
	}
	return perRank, until
}

func TestAPassAtTheLimitFitsThePause(t *testing.T) {
	g := NewWithT(t)
	var l Limiter
	limit, _ := runLimiter(g, &l, time.Unix(1000, 0), 20, 6, 100*time.Millisecond) // 10 ms per request.
	g.Expect(10*(limiterShape.FixedCost+limit)).To(BeNumerically("~", leaderFill*120, 1), "duration of a pass at the limit, ms")
}

// A shift of demand makes passes last twice as long until a new map is active, some tenths of a
// second later. Callers that arrive in between are served under the new map and must not be
// rejected.
func TestALimitDoesNotFollowAShortShift(t *testing.T) {
	g := NewWithT(t)
	var l Limiter
	before, at := runLimiter(g, &l, time.Unix(1000, 0), 20, 6, 80*time.Millisecond)
	shifted, at := runLimiter(g, &l, at, 4, 6, 150*time.Millisecond)
	g.Expect(shifted).To(BeNumerically(">", 0.75*before))
	settled, _ := runLimiter(g, &l, at, 60, 6, 200*time.Millisecond)
	g.Expect(settled).To(BeNumerically("~", leaderMinimum, 0.2), "passes remain long")
}

func TestThereIsNoLimitWithoutAKnownPassTime(t *testing.T) {
	now := time.Unix(1000, 0)
	_, ok := new(Limiter).UpdateLimit(limiterShape, ranksAt(3, 0, now), now)
	NewWithT(t).Expect(ok).To(BeFalse())
}
