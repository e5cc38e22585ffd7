// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package coldstart

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

func TestWhichEndpointsAreCold(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(p *Pacer)
		after time.Duration
		cold  bool
	}{
		{"no report", func(*Pacer) {}, 0, false},
		{"it reports to be cold", func(p *Pacer) { p.MarkCold("a", time.Second, start) }, 900 * time.Millisecond, true},
		{"the reported time has passed", func(p *Pacer) { p.MarkCold("a", time.Second, start) }, time.Second, false},
		{"a later report does not shorten the time", func(p *Pacer) {
			p.Started("a", terms, start)
			p.MarkCold("a", 0, start)
		}, 2 * time.Second, true},
		{"first report of its group", func(p *Pacer) { p.RecordGroupOpen("g", 4, terms, start) }, time.Second, true},
		{"its group formed anew", func(p *Pacer) {
			p.RecordGroupOpen("g", 4, terms, start.Add(-time.Minute))
			p.RecordGroupOpen("g", 5, terms, start)
		}, time.Second, true},
		{"its group remains in its epoch", func(p *Pacer) {
			p.RecordGroupOpen("g", 4, terms, start.Add(-time.Minute))
			p.RecordGroupOpen("g", 4, terms, start)
		}, time.Second, false},
		{"its service has no cold endpoints", func(p *Pacer) { p.RecordGroupOpen("g", 4, Params{}, start) }, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New()
			tc.setUp(p)
			NewWithT(t).Expect(p.Cold("a", "g", start.Add(tc.after))).To(Equal(tc.cold))
		})
	}
}

func TestABudgetIsAtMostOneRequest(t *testing.T) {
	g := NewWithT(t)
	p := New()
	one := Params{Period: terms.Period, Rate: 23 / targetRateShare} // One request per second for each gateway.
	p.SetSenders(23)
	g.Expect(p.MaySend("a", one, half, start)).To(BeFalse())
	g.Expect(p.Rate(one)).To(BeNumerically("~", 1, 1e-9))
	later := start.Add(time.Minute)
	g.Expect(p.MaySend("a", one, half, later)).To(BeTrue())
	p.RecordSent("a", one, half, later)
	g.Expect(p.MaySend("a", one, half, later.Add(900*time.Millisecond))).To(BeFalse())
	g.Expect(p.MaySend("a", one, half, later.Add(time.Second))).To(BeTrue())
}

// simulate has gateways that started together send as much as they may to one endpoint, and returns
// the maximum number of requests that arrive there within a second.
func simulate(gateways, known int, seed uint64) (maxPerSecond int) {
	random := rand.New(rand.NewPCG(seed, 1)).Float64
	pacers := make([]*Pacer, gateways)
	for i := range pacers {
		pacers[i] = New()
		pacers[i].SetSenders(known)
	}
	var arrived []time.Time
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, p := range pacers {
			if p.MaySend("a", terms, random, now) {
				p.RecordSent("a", terms, random, now)
				arrived = append(arrived, now)
			}
		}
	}
	first := 0
	for i, at := range arrived {
		for at.Sub(arrived[first]) >= time.Second {
			first++
		}
		maxPerSecond = max(maxPerSecond, i-first+1)
	}
	return maxPerSecond
}

// After an outage, all gateways send the waiting requests of their callers to one endpoint, the first
// that is listed or reports. What it can take is exceeded only by chance, and by less than the half
// plus a few requests at which it fails.
func TestGatewaysThatStartTogetherDoNotOverloadAnEndpoint(t *testing.T) {
	for _, gateways := range []int{2, 8, 33, 149} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(gateways, "/", seed), func(t *testing.T) {
				NewWithT(t).Expect(simulate(gateways, gateways, seed)).To(BeNumerically("<=", 1.5*terms.Rate+5))
			})
		}
	}
}
