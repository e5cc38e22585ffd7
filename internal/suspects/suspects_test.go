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

func keyFunc() quarantine.Key { return key }

// setWithTwoEnds returns a set with two endpoints that ended during the same request, one after the
// other.
func setWithTwoEnds() *Set {
	s := newSet()
	s.RecordEnd(key, "e-0", s.KnowledgeAtSend(keyFunc, now.Add(-time.Minute)), now.Add(-time.Minute))
	s.RecordEnd(key, "e-1", s.KnowledgeAtSend(keyFunc, now), now)
	return s
}

func expectVerdict(g *WithT, s *Set, want quarantine.Verdict) {
	v, _ := s.Judge(keyFunc, now)
	g.Expect(v).To(Equal(want))
}

func TestASetAdoptsEndsAndSuccessesFromAnother(t *testing.T) {
	g := NewWithT(t)
	first, second := setWithTwoEnds(), newSet()
	expectVerdict(g, first, quarantine.Held)
	second.MergeEnds(first.NextToSend(now), now)
	expectVerdict(g, second, quarantine.Held)

	first.RecordSuccess(keyFunc)
	g.Expect(first.Pending()).To(Receive())
	second.MergeEnds(first.NextToSend(now), now)
	expectVerdict(g, second, quarantine.Free)
}

func TestAnEndIsSentOnceAndNotForwarded(t *testing.T) {
	g := NewWithT(t)
	s := setWithTwoEnds()
	g.Expect(s.Pending()).To(Receive())
	g.Expect(s.Pending()).NotTo(Receive(), "one value for all pending ends")
	g.Expect(s.HasUnsent()).To(BeTrue())
	sent := s.NextToSend(now)
	g.Expect(sent).To(HaveLen(2))
	g.Expect(s.HasUnsent()).To(BeFalse())
	other := newSet()
	other.MergeEnds(sent, now)
	g.Expect(other.HasUnsent()).To(BeFalse(), "only the process that observed an end sends it to all")
	g.Expect(other.Pending()).NotTo(Receive())
}

// Guards against an end that loses its age when it is passed from process to process, so that it
// never expires.
func TestAnEndKeepsItsAge(t *testing.T) {
	g := NewWithT(t)
	const age = 5 * time.Minute
	s := setWithTwoEnds()
	sent := s.NextToSend(now.Add(age))
	for _, e := range sent {
		g.Expect(e.AgeMs).To(BeElementOf(age.Milliseconds(), (age + time.Minute).Milliseconds()))
	}
	other := newSet()
	other.MergeEnds(sent, now)
	g.Expect(other.NextToSend(now)).To(ConsistOf(sent))
}

func TestInvalidEndsAreIgnored(t *testing.T) {
	for name, bad := range map[string]peers.End{
		"short key":                {Key: key[:4], Endpoint: "e"},
		"from the future":          {Key: key[:], Endpoint: "e", AgeMs: -1},
		"unknown sending":          {Key: key[:], Endpoint: "e", KnownBefore: 9},
		"no endpoint":              {Key: key[:]},
		"long name":                {Key: key[:], Endpoint: strings.Repeat("e", 256)},
		"below the smallest value": {Key: key[:], Endpoint: "e", KnownBefore: -1},
		"older than the bound":     {Key: key[:], Endpoint: "e", AgeMs: 1 << 62},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSet()
			s.MergeEnds([]peers.End{bad}, now)
			g.Expect(s.NextToSend(now)).To(BeEmpty())
		})
	}
}

func TestOnlyOneTrialRunsAtATime(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	for _, e := range []string{"e-0", "e-1", "e-2"} { // All at the same time.
		s.RecordEnd(key, e, quarantine.NoKnownEnd, now.Add(-time.Minute))
	}
	expectVerdict(g, s, quarantine.Trial)
	until := now.Add(time.Second)
	g.Expect(s.BeginTrial(key, now, until)).To(BeTrue())
	g.Expect(s.BeginTrial(key, now, until)).To(BeFalse())
	s.EndTrial(key)
	g.Expect(s.BeginTrial(key, now, until)).To(BeTrue())
	s.RecordEnd(key, "e-3", quarantine.OnTrial, now)
	expectVerdict(g, s, quarantine.Held)
}

func TestAnAnswerOfAnEndpointVoidsItsEndEverywhere(t *testing.T) {
	g := NewWithT(t)
	first, second := setWithTwoEnds(), newSet()
	second.MergeEnds(first.NextToSend(now), now)
	second.RecordAlive("e-1", now.Add(time.Millisecond))
	expectVerdict(g, second, quarantine.Free)
	g.Expect(second.Pending()).To(Receive())
	first.MergeEnds(second.NextToSend(now), now)
	expectVerdict(g, first, quarantine.Free)
}
