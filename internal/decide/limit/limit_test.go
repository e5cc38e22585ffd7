// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package limit

import (
	"flag"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") } // Makes runs reproducible.

var start = time.Unix(1_800_000_000, 0)

// TestSharesNeverExceedTheLimit has entries receive requests, lend and borrow at random, with lost and
// late messages, and checks the sum of their rates after each event.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, rate = 5, 100.0
		shares := make([]*Share, entries)
		for i := range shares {
			shares[i] = NewShare(rate/entries, start)
		}
		type grant struct {
			to    int
			rate  float64
			asked time.Time
		}
		var late []grant
		now := start
		for range rapid.IntRange(10, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			a := rapid.IntRange(0, entries-1).Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				for range rapid.IntRange(0, 60).Draw(t, "requests") {
					shares[a].CountRequest()
				}
			case 1, 2:
				b := rapid.IntRange(0, entries-1).Draw(t, "lender")
				want := shares[a].Shortfall(now)
				if want == 0 || a == b {
					continue
				}
				g := grant{a, shares[b].Lend(want, now), now}
				switch rapid.IntRange(0, 2).Draw(t, "delivery") {
				case 0:
					shares[a].Borrow(g.rate, g.asked)
				case 1:
					late = append(late, g)
				}
			case 3:
				for _, g := range late {
					shares[g.to].Borrow(g.rate, g.asked)
				}
				late = nil
			}
			total := 0.0
			for _, s := range shares {
				total += s.Rate(now)
			}
			if total > rate+1e-9 {
				t.Fatalf("rates add up to %v of %v", total, rate)
			}
		}
	})
}

func TestLeaseCountedFromReceiptWouldExceedTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	lender, borrower := NewShare(50, start), NewShare(50, start)
	now := start.Add(time.Second)
	granted := lender.Lend(30, now)
	receivedAt := now.Add(2 * time.Second) // The answer arrived late.
	borrower.Borrow(granted, receivedAt)   // The mutation: the time of receipt instead of the time of the request.
	end := now.Add(LeaseTime)
	g.Expect(lender.Rate(end)+borrower.Rate(end)).To(gomega.BeNumerically(">", 100), "the rule is needed")
}

func TestUnusedShareMovesToABusyEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	quiet, busy := NewShare(50, start), NewShare(50, start)
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		for range 18 {
			busy.CountRequest()
		}
		if w := busy.Shortfall(now); w > 0 {
			busy.Borrow(quiet.Lend(w, now), now)
		}
	}
	g.Expect(busy.Rate(now)).To(gomega.BeNumerically(">", 85))
	g.Expect(busy.Rate(now) + quiet.Rate(now)).To(gomega.BeNumerically("<=", 100.000001))
	later := now.Add(LeaseTime + time.Millisecond)
	g.Expect(busy.Rate(later)).To(gomega.Equal(50.0), "a cut-off entry falls back to its entitlement")
}

func TestBucket(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBucket(10, 2, start)
	take := func(at time.Duration) bool {
		_, ok := b.Take(start.Add(at))
		return ok
	}
	g.Expect(take(0)).To(gomega.BeTrue())
	g.Expect(take(0)).To(gomega.BeTrue())
	after, ok := b.Take(start)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(after).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(take(99 * time.Millisecond)).To(gomega.BeFalse())
	g.Expect(take(101 * time.Millisecond)).To(gomega.BeTrue())
}
