// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package suspects

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

var (
	key = quarantine.KeyOf("POST", "h", "/p", "c", []byte("body"))
	now = time.Unix(1000, 0)
)

func newSet() *Set { return New(zap.NewNop(), metrics.NewRegistry()) }

func theKey() quarantine.Key { return key }

// twoEnds returns a set that has seen a request end an endpoint, and one more after that.
func twoEnds() *Set {
	s := newSet()
	s.RecordEnd(key, "e-0", s.SendingState(theKey, now.Add(-time.Minute)), now.Add(-time.Minute))
	s.RecordEnd(key, "e-1", s.SendingState(theKey, now), now)
	return s
}

func assertVerdict(g *WithT, s *Set, want quarantine.Verdict) {
	v, _ := s.Judge(theKey, now)
	g.Expect(v).To(Equal(want))
}

func TestWhatOneSetTellsAnotherHolds(t *testing.T) {
	g := NewWithT(t)
	first, second := twoEnds(), newSet()
	assertVerdict(g, first, quarantine.Held)
	second.MergeEnds(first.NextToSend(now), now)
	assertVerdict(g, second, quarantine.Held)

	first.RecordSuccess(theKey)
	g.Expect(first.Pending()).To(Receive())
	second.MergeEnds(first.NextToSend(now), now)
	assertVerdict(g, second, quarantine.Free)
}

func TestNewsIsToldOnceToAll(t *testing.T) {
	g := NewWithT(t)
	s := twoEnds()
	g.Expect(s.Pending()).To(Receive())
	g.Expect(s.Pending()).NotTo(Receive(), "one word for all that waits")
	g.Expect(s.HasUnsent()).To(BeTrue())
	told := s.NextToSend(now)
	g.Expect(told).To(HaveLen(2))
	g.Expect(s.HasUnsent()).To(BeFalse())
	other := newSet()
	other.MergeEnds(told, now)
	g.Expect(other.HasUnsent()).To(BeFalse(), "whoever saw it tells all")
	g.Expect(other.Pending()).NotTo(Receive())
}

// An end keeps its age on its way from one process to the next, or it would never lapse.
func TestAnEndKeepsItsAge(t *testing.T) {
	g := NewWithT(t)
	const age = 5 * time.Minute
	s := twoEnds()
	told := s.NextToSend(now.Add(age))
	for _, e := range told {
		g.Expect(e.AgeMs).To(BeElementOf(age.Milliseconds(), (age + time.Minute).Milliseconds()))
	}
	other := newSet()
	other.MergeEnds(told, now)
	g.Expect(other.NextToSend(now)).To(ConsistOf(told))
}

func TestWhatCannotBeAnEndIsLeftOut(t *testing.T) {
	for name, bad := range map[string]peers.End{
		"short key":       {Key: key[:4], Endpoint: "e"},
		"from the future": {Key: key[:], Endpoint: "e", AgeMs: -1},
		"unknown sending": {Key: key[:], Endpoint: "e", Sending: 9},
		"no endpoint":     {Key: key[:]},
		"long name":       {Key: key[:], Endpoint: strings.Repeat("e", 256)},
		"below all":       {Key: key[:], Endpoint: "e", Sending: -1},
		"older than time": {Key: key[:], Endpoint: "e", AgeMs: 1 << 62},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSet()
			s.MergeEnds([]peers.End{bad}, now)
			g.Expect(s.NextToSend(now)).To(BeEmpty())
		})
	}
}

func TestOneTrialIsUnderWay(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	for _, e := range []string{"e-0", "e-1", "e-2"} { // All at once.
		s.RecordEnd(key, e, quarantine.NoKnownEnd, now.Add(-time.Minute))
	}
	assertVerdict(g, s, quarantine.Trial)
	until := now.Add(time.Second)
	g.Expect(s.BeginTrial(key, now, until)).To(BeTrue())
	g.Expect(s.BeginTrial(key, now, until)).To(BeFalse())
	s.EndTrial(key)
	g.Expect(s.BeginTrial(key, now, until)).To(BeTrue())
	s.RecordEnd(key, "e-3", quarantine.OnTrial, now)
	assertVerdict(g, s, quarantine.Held)
}

func TestWhatLivesOnIsToldToAll(t *testing.T) {
	g := NewWithT(t)
	first, second := twoEnds(), newSet()
	second.MergeEnds(first.NextToSend(now), now)
	second.RecordAlive("e-1", now.Add(time.Millisecond))
	assertVerdict(g, second, quarantine.Free)
	g.Expect(second.Pending()).To(Receive())
	first.MergeEnds(second.NextToSend(now), now)
	assertVerdict(g, first, quarantine.Free)
}
