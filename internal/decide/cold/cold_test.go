// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cold

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	start = time.Unix(1000, 0)
	terms = Params{Period: 3 * time.Second, Rate: 23}
)

func half() float64 { return 0.5 }

func TestWhatIsTakenAsCold(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tells func(p *Pacer)
		after time.Duration
		cold  bool
	}{
		{"nothing is told", func(*Pacer) {}, 0, false},
		{"it says so", func(p *Pacer) { p.MarkCold("a", time.Second, start) }, 900 * time.Millisecond, true},
		{"it said so", func(p *Pacer) { p.MarkCold("a", time.Second, start) }, time.Second, false},
		{"a later word does not shorten what was told", func(p *Pacer) {
			p.Started("a", terms, start)
			p.MarkCold("a", 0, start)
		}, 2 * time.Second, true},
		{"its group is heard for the first time", func(p *Pacer) { p.RecordGroupOpen("g", 4, terms, start) }, time.Second, true},
		{"its group formed anew", func(p *Pacer) {
			p.RecordGroupOpen("g", 4, terms, start.Add(-time.Minute))
			p.RecordGroupOpen("g", 5, terms, start)
		}, time.Second, true},
		{"its group goes on", func(p *Pacer) {
			p.RecordGroupOpen("g", 4, terms, start.Add(-time.Minute))
			p.RecordGroupOpen("g", 4, terms, start)
		}, time.Second, false},
		{"its service knows no cold endpoints", func(p *Pacer) { p.RecordGroupOpen("g", 4, Params{}, start) }, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New()
			tc.tells(p)
			NewWithT(t).Expect(p.Cold("a", "g", start.Add(tc.after))).To(Equal(tc.cold))
		})
	}
}

func TestAPartIsNeverMoreThanARequestAhead(t *testing.T) {
	g := NewWithT(t)
	p := New()
	one := Params{Period: terms.Period, Rate: 23 / paceShare} // One request a second each.
	p.SetSenders(23)
	g.Expect(p.MaySend("a", one, half, start)).To(BeFalse())
	g.Expect(p.Rate(one)).To(BeNumerically("~", 1, 1e-9))
	later := start.Add(time.Minute)
	g.Expect(p.MaySend("a", one, half, later)).To(BeTrue())
	p.RecordSent("a", one, half, later)
	g.Expect(p.MaySend("a", one, half, later.Add(900*time.Millisecond))).To(BeFalse())
	g.Expect(p.MaySend("a", one, half, later.Add(time.Second))).To(BeTrue())
}

// play has gateways that started together send to one endpoint as much as each may, and
// returns the most requests that arrive there in a second.
func play(gateways, known int, seed uint64) (most int) {
	chance := rand.New(rand.NewPCG(seed, 1)).Float64
	pacers := make([]*Pacer, gateways)
	for i := range pacers {
		pacers[i] = New()
		pacers[i].SetSenders(known)
	}
	var arrived []time.Time
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, p := range pacers {
			if p.MaySend("a", terms, chance, now) {
				p.RecordSent("a", terms, chance, now)
				arrived = append(arrived, now)
			}
		}
	}
	first := 0
	for i, at := range arrived {
		for at.Sub(arrived[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// All gateways come to one endpoint, the first that is listed or heard after an outage,
// with all the callers that wait. What it bears is exceeded by chance only, and by less
// than the half and some requests at which it falls over.
func TestGatewaysThatStartTogetherDoNotOverrunAnEndpoint(t *testing.T) {
	for _, gateways := range []int{2, 8, 33, 149} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(gateways, "/", seed), func(t *testing.T) {
				NewWithT(t).Expect(play(gateways, gateways, seed)).To(BeNumerically("<=", 1.5*terms.Rate+5))
			})
		}
	}
}
