// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package passes

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWhatIsToldGoesBeforeWhatIsGuessedWhileItIsNew(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, tc := range []struct {
		name  string
		told  float64
		after time.Duration
		told6 bool // The limit is the one that was told.
	}{
		{"new", 6, 100 * time.Millisecond, true},
		{"old", 6, toldAge + time.Millisecond, false},
		{"the leader knows none", 0, 100 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tr := New()
			now := at.Add(tc.after)
			tr.Report("a", "g", Shape{FixedCost: 4, Slots: 10, EmptyPass: 24 * time.Millisecond, MaxPause: 120 * time.Millisecond}, RankReport{Running: 8, PassTime: 100 * time.Millisecond, At: now})
			tr.RecordAnnouncedLimit("g", tc.told, at)
			limit, ok := tr.Limit("g", now)
			g.Expect(ok).To(BeTrue())
			guess, _ := tr.Estimate("g", now)
			g.Expect(guess).To(BeNumerically("~", 8.2, 0.1))
			if tc.told6 {
				g.Expect(limit).To(Equal(6.0))
			} else {
				g.Expect(limit).To(Equal(guess))
			}
		})
	}
}

// ranksAt returns ranks that each hold so many requests while a pass lasts so long.
func ranksAt(running int, pass time.Duration, now time.Time) []RankReport {
	return []RankReport{{Running: running, PassTime: pass, At: now}, {Running: running, PassTime: pass, At: now}}
}

var pauses = Shape{FixedCost: 4, Slots: 10, EmptyPass: 24 * time.Millisecond, MaxPause: 120 * time.Millisecond}

// next has a limiter look ten times a second for a while at ranks that stay so.
func next(g *WithT, l *Limiter, from time.Time, looks, running int, pass time.Duration) (perRank float64, until time.Time) {
	until = from
	for range looks {
		until = until.Add(100 * time.Millisecond)
		var ok bool
		perRank, ok = l.Next(pauses, ranksAt(running, pass, until), until)
		g.Expect(ok).To(BeTrue())
	}
	return perRank, until
}

func TestAPassAtTheLimitFitsThePause(t *testing.T) {
	g := NewWithT(t)
	var l Limiter
	limit, _ := next(g, &l, time.Unix(1000, 0), 20, 6, 100*time.Millisecond) // 10 ms a request.
	g.Expect(10*(pauses.FixedCost+limit)).To(BeNumerically("~", toldFill*120, 1), "what a pass lasts at the limit, ms")
}

// A shift of demand makes passes last twice as long until a new map is in force, some
// tenths of a second later. Who comes meanwhile is served under the new one.
func TestALimitDoesNotFollowAShiftThatIsMendedAtOnce(t *testing.T) {
	g := NewWithT(t)
	var l Limiter
	calm, at := next(g, &l, time.Unix(1000, 0), 20, 6, 80*time.Millisecond)
	shifted, at := next(g, &l, at, 4, 6, 150*time.Millisecond)
	g.Expect(shifted).To(BeNumerically(">", 0.75*calm))
	stays, _ := next(g, &l, at, 60, 6, 200*time.Millisecond)
	g.Expect(stays).To(BeNumerically("~", leastTold, 0.2), "passes stay long")
}

func TestALimitIsNotKnownWhileNoPassIs(t *testing.T) {
	now := time.Unix(1000, 0)
	_, ok := new(Limiter).Next(pauses, ranksAt(3, 0, now), now)
	NewWithT(t).Expect(ok).To(BeFalse())
}
