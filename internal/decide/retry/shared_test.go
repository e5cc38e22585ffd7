// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/census"
)

const windowLength = 10 * time.Second

func takeAll(b *SharedBudget, now time.Time) (n int) {
	for range 100 {
		if b.Take(now) {
			n++
		}
	}
	return n
}

// never makes every fraction be rounded down.
func never() float64 { return 0 }

func TestSharedBudgetKeepsToItsShare(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := NewSharedBudget(Bound{Share: 0.2, Slack: 10, Window: windowLength})
	b.SetPlace(census.Place{Gateways: 1}, now)
	g.Expect(takeAll(b, now)).To(BeZero(), "a new process has no tokens")
	now = now.Add(windowLength)
	g.Expect(takeAll(b, now)).To(Equal(2), "a portion of the slack, and no more than may be held")
	taken := 0
	for range 100 {
		now = now.Add(windowLength / 100)
		b.RecordRequest(now, never)
		taken += takeAll(b, now)
	}
	g.Expect(taken).To(Equal(26), "19.4 for the requests, and 7.3 of the slack")
	for range 100 {
		now = now.Add(windowLength / 100)
		b.RecordRequest(now, never)
	}
	g.Expect(takeAll(b, now)).To(Equal(2), "tokens that are not taken at once are limited")
}

func TestRequestsEarnTheirShareOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := NewSharedBudget(Bound{Share: 0.2, Slack: 1.2, Window: windowLength})
	b.SetPlace(census.Place{Gateways: 1}, now)
	taken := 0
	for range 50 {
		now = now.Add(windowLength / 50)
		b.RecordRequest(now, never)
		taken += takeAll(b, now)
	}
	g.Expect(taken).To(BeNumerically("~", 9, 1), "0.194 each")
	now = now.Add(windowLength / 2)
	g.Expect(takeAll(b, now)).To(BeZero(), "no request, no retry")
	now = now.Add(6 * windowLength / 10)
	g.Expect(takeAll(b, now)).To(BeNumerically("<=", 1), "the floor")
}

func TestABurstEarnsLittle(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := NewSharedBudget(Bound{Share: 0.2, Slack: 10, Window: windowLength})
	b.SetPlace(census.Place{Gateways: 1}, now)
	taken := 0
	for range 100 {
		b.RecordRequest(now, never)
		taken += takeAll(b, now)
	}
	g.Expect(taken).To(BeNumerically("<=", 4), "a part of 20 earns four times the average, of 20")
}

func TestARetryThatWasNotSentIsStillAvailable(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := NewSharedBudget(Bound{Share: 4, Window: windowLength})
	b.RecordRequest(now, never)
	g.Expect(takeAll(b, now)).To(Equal(2))
	b.Return(now)
	g.Expect(takeAll(b, now)).To(Equal(1))
}

func TestTokensOfARequestExpire(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := NewSharedBudget(Bound{Share: 2, Window: windowLength})
	b.RecordRequest(now, never)
	g.Expect(takeAll(b, now.Add(windowLength+time.Millisecond))).To(BeZero())
}

// The published retry budget, divided among hundreds of gateways, leaves less than one retry to
// each; together they must use the budget, and not exceed it.
func TestFractionsOfARetryAddUp(t *testing.T) {
	const (
		gateways = 531
		windows  = 10 // The number of windows simulated, and the length of each in seconds.
	)
	for _, tc := range []struct {
		name string
		each float64 // The slack for each gateway.
		more bool    // Holding a token each leaves time less than a fifth of the slack, or there are too many gateways.
	}{
		{"less than one each", 0.69, true},
		{"more than one each", 1.25, true},
		{"about two each", 1.97, false},
		{"more than three each", 3.57, false},
		{"hardly any", 0.14, false},
		{"a retry for twenty gateways", 0.05, true},
		{"none", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, 2)).Float64
			slack := tc.each * gateways
			now := time.Unix(1000, 0)
			list := make([]*SharedBudget, gateways)
			for i := range list {
				list[i] = NewSharedBudget(Bound{Share: 0.16, Slack: slack, Window: windows * time.Second})
				list[i].SetPlace(census.Place{Gateways: gateways, Before: i}, now)
			}
			want := 0.0 // Retries that time earns all gateways in a window.
			for _, b := range list {
				want += b.Usage(now).PerWindow
			}
			var taken []float64 // Retries in each second.
			for range windows * windows {
				now = now.Add(time.Second)
				n := 0.0
				for _, b := range list {
					if random() < 0.3 && b.Take(now) {
						n++
					}
				}
				taken = append(taken, n)
			}
			total := 0.0
			for i, n := range taken {
				total += n
				if i < windows {
					continue
				}
				inWindow := 0.0
				for _, n := range taken[i-windows+1 : i+1] {
					inWindow += n
				}
				g.Expect(inWindow).To(BeNumerically("<=", slack))
				if !tc.more {
					g.Expect(inWindow).To(BeNumerically("<=", 1.5*0.35*slack+3*0.5*math.Sqrt(gateways)))
				}
			}
			t.Logf("%.2f of the slack used, %.2f of what time earns", total/windows/math.Max(slack, 1), total/windows/math.Max(want, 1))
			g.Expect(total / windows).To(BeNumerically(">=", 0.6*want))
			g.Expect(total / windows).To(BeNumerically("<=", 1.1*want))
			if !tc.more {
				g.Expect(total / windows).To(BeNumerically(">=", 0.6*0.35*slack))
			}
		})
	}
}

func BenchmarkSharedBudget(b *testing.B) {
	for _, every := range []int{10, 2} {
		b.Run(fmt.Sprintf("a retry for one request in %d", every), func(b *testing.B) {
			now := time.Unix(1000, 0)
			budget := NewSharedBudget(Bound{Share: 0.2, Slack: 192, Window: windowLength})
			budget.SetPlace(census.Place{Gateways: 32}, now)
			for i := range b.N {
				now = now.Add(100 * time.Microsecond)
				budget.RecordRequest(now, rand.Float64)
				if i%every == 0 {
					budget.Take(now)
				}
			}
		})
	}
}
