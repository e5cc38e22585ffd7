// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/limit"
)

// limitsStep is the step of simulated time; borrowInterval is the time between two
// rounds of borrowing, as in the daemon.
const (
	limitsStep     = 20 * time.Millisecond
	borrowInterval = 200 * time.Millisecond
)

// limitsSim simulates the entries that share the rate limit of one customer.
type limitsSim struct {
	limit    float64 // Requests per second.
	entries  int
	shares   []*limit.Share
	buckets  []*limit.Bucket
	messages int
	rnd      *rand.Rand
}

// demand returns the requests per second that an entry receives. Most of the load is
// at one entry and moves to the next one every ten seconds; the other ones receive a
// little. The total equals the limit.
func (s *limitsSim) demand(entry int, at time.Duration) float64 {
	busyEntry := int(at/(10*time.Second)) % s.entries
	if entry == busyEntry {
		return 0.85 * s.limit
	}
	return 0.15 * s.limit / float64(s.entries-1)
}

// partitioned reports whether two entries cannot reach each other: from second 20 to
// 40 the site is partitioned into two halves.
func (s *limitsSim) partitioned(a, b int, at time.Duration) bool {
	return at >= 20*time.Second && at < 40*time.Second && (a < s.entries/2) != (b < s.entries/2)
}

// Limits compares borrowing with an even split and with a central counter. All
// entries reach the counter, except during the partition, when each half has its own.
func Limits(entries, seconds int, rate float64, seed uint64) Table {
	t := Table{Title: fmt.Sprintf("Limits: %g a second over %d entries for %d s; the load moves each 10 s; cut in two from 20 s to 40 s", rate, entries, seconds)}
	for _, method := range []string{"even split", "central counter", "canvaspulley"} {
		s := &limitsSim{limit: rate, entries: entries, rnd: rand.New(rand.NewPCG(seed, 3))}
		t.Rows = append(t.Rows, s.simulate(method, seconds))
	}
	return t
}

// burst returns how many requests may arrive at once: those of a tenth of a second,
// and at least one.
func burst(rate float64) float64 { return max(1, rate/10) }

func (s *limitsSim) simulate(method string, seconds int) Row {
	evenShare := s.limit / float64(s.entries)
	for range s.entries {
		s.shares = append(s.shares, limit.NewShare(evenShare, origin))
		s.buckets = append(s.buckets, limit.NewBucket(evenShare, burst(evenShare), origin))
	}
	central := [2]*limit.Bucket{limit.NewBucket(s.limit, burst(s.limit), origin), limit.NewBucket(s.limit, burst(s.limit), origin)}
	admitted, offered := 0, 0.0
	perSecond := map[int]int{}
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += limitsStep {
		now := origin.Add(at)
		if method == "canvaspulley" && at%borrowInterval == 0 {
			s.borrowRound(now, at)
		}
		for e := range s.entries {
			for range poisson(s.rnd, s.demand(e, at)*limitsStep.Seconds()) {
				offered++
				b := s.buckets[e]
				s.shares[e].CountRequest()
				switch method {
				case "canvaspulley":
					r := s.shares[e].Rate(now)
					b.SetRate(r, burst(r), now)
				case "central counter":
					s.messages++
					b = central[0]
					if at >= 20*time.Second && at < 40*time.Second && e >= s.entries/2 {
						b = central[1]
					}
				}
				if _, ok := b.Take(now); ok {
					admitted++
					perSecond[int(at/time.Second)]++
				}
			}
		}
	}
	maxPerSecond := 0
	for _, n := range perSecond {
		maxPerSecond = max(maxPerSecond, n)
	}
	return Row{method, []Cell{
		{"worst second to the limit", "", float64(maxPerSecond) / s.limit},
		{"let in of what was allowed", "share", float64(admitted) / min(offered, s.limit*float64(seconds))},
		{"messages an entry and second", "", float64(s.messages) / float64(s.entries*seconds)},
	}}
}

// borrowRound simulates one round of borrowing: each entry whose share is too small
// asks one other entry at random.
func (s *limitsSim) borrowRound(now time.Time, at time.Duration) {
	for e, share := range s.shares {
		shortfall := share.Shortfall(now)
		if shortfall == 0 {
			continue
		}
		peer := s.rnd.IntN(s.entries - 1)
		if peer >= e {
			peer++
		}
		s.messages += 2
		if !s.partitioned(e, peer, at) {
			share.Borrow(s.shares[peer].Lend(shortfall, now), now)
		}
	}
}
