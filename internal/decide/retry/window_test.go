// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// never rounds no fraction up.
func never() float64 { return 0 }

func TestWindowKeepsToItsShare(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := NewWindow(10*time.Second, 0.2, 1)
	take := func() (n int) {
		for range 100 {
			if w.Take(now, never) {
				n++
			}
		}
		return n
	}
	g.Expect(take()).To(Equal(1), "the spare")
	for range 50 {
		w.RecordRequest(now)
	}
	g.Expect(take()).To(Equal(10))
	now = now.Add(5 * time.Second)
	g.Expect(take()).To(BeZero(), "they still count")
	now = now.Add(6 * time.Second)
	g.Expect(take()).To(Equal(1), "requests and repeats are forgotten together")
}

// The published budget of repeats, split among hundreds of gateways, leaves each with less than
// one; together they must use it, and not more.
func TestFractionsOfARepeatAddUp(t *testing.T) {
	const (
		gateways = 531
		windows  = 10 // As many as are played, and seconds of each.
	)
	for _, tc := range []struct {
		name  string
		spare float64
	}{
		{"less than one each", 0.69},
		{"more than one each", 1.25},
		{"hardly any", 0.05},
		{"none", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, 2)).Float64
			list := make([]*Window, gateways)
			for i := range list {
				list[i] = NewWindow(windows*time.Second, 0.16, tc.spare)
			}
			now := time.Unix(1000, 0)
			var taken []float64 // In each second.
			for range windows * windows {
				now = now.Add(time.Second)
				n := 0.0
				for _, w := range list {
					if random() < 0.3 && w.Take(now, random) {
						n++
					}
				}
				taken = append(taken, n)
			}
			want := tc.spare * gateways
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
				g.Expect(inWindow).To(BeNumerically("<=", 1.5*want+3*0.5*math.Sqrt(gateways)))
			}
			g.Expect(total / windows).To(BeNumerically(">=", 0.6*want))
			g.Expect(total / windows).To(BeNumerically("<=", 1.1*want))
		})
	}
}
