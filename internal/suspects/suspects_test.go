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

// whole is the subjects of a request without parts.
var whole = Subjects{Whole: keyFunc}

// recordEnd records the end of an endpoint during an attempt of which something was known.
func recordEnd(s *Set, endpoint string, known Known, now time.Time) {
	s.RecordEnds(endpoint, []Attempt{{Whole: key, Known: known}}, now)
}

// setWithTwoEnds returns a set with two endpoints that ended during the same request, one after the
// other.
func setWithTwoEnds() *Set {
	s := newSet()
	recordEnd(s, "e-0", s.KnownAtSend(whole, nil, now.Add(-time.Minute)), now.Add(-time.Minute))
	recordEnd(s, "e-1", s.KnownAtSend(whole, nil, now), now)
	return s
}

func expectVerdict(g *WithT, s *Set, want quarantine.Verdict) {
	g.Expect(s.Judge(whole, now).Verdict).To(Equal(want))
}

func TestASetAdoptsEndsAndSuccessesFromAnother(t *testing.T) {
	g := NewWithT(t)
	first, second := setWithTwoEnds(), newSet()
	expectVerdict(g, first, quarantine.Held)
	second.MergeEnds(first.NextToSend(now), now)
	expectVerdict(g, second, quarantine.Held)

	first.RecordSuccess(whole, now)
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
	g.Expect(sent.Ends).To(HaveLen(2))
	g.Expect(sent.Len()).To(Equal(2))
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
	for _, e := range sent.Ends {
		g.Expect(e.AgeMs).To(BeElementOf(age.Milliseconds(), (age + time.Minute).Milliseconds()))
	}
	other := newSet()
	other.MergeEnds(sent, now)
	g.Expect(sent.Ends).To(HaveLen(2))
	g.Expect(other.NextToSend(now).Ends).To(ConsistOf(sent.Ends))
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
			s.MergeEnds(peers.EndBatch{Ends: []peers.End{bad}, PartEnds: []peers.PartEnd{{End: bad}}}, now)
			g.Expect(s.NextToSend(now).Len()).To(BeZero())
		})
	}
}

func TestOnlyOneTrialRunsAtATime(t *testing.T) {
	g := NewWithT(t)
	s := newSet()
	for _, e := range []string{"e-0", "e-1", "e-2"} { // All at the same time.
		recordEnd(s, e, nil, now.Add(-time.Minute))
	}
	expectVerdict(g, s, quarantine.Trial)
	until := now.Add(time.Second)
	g.Expect(s.BeginTrial([]quarantine.Key{key}, now, until)).To(BeTrue())
	g.Expect(s.BeginTrial([]quarantine.Key{key}, now, until)).To(BeFalse())
	s.EndTrial([]quarantine.Key{key})
	g.Expect(s.BeginTrial([]quarantine.Key{key}, now, until)).To(BeTrue())
	recordEnd(s, "e-3", s.KnownAtSend(whole, []quarantine.Key{key}, now), now)
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

// Guards against a part that all requests share, which is held since the gateway that saw the ends has just
// started and no request has completed there.
func TestAnotherProcessKnowsThatAPartIsSound(t *testing.T) {
	g := NewWithT(t)
	part := Subjects{Whole: keyFunc, Parts: []quarantine.Key{quarantine.PartKeyOf("m", "5ea1")}}
	started, running, third := newSet(), newSet(), newSet()
	running.RecordSuccess(part, now)
	for _, id := range []string{"e-0", "e-1"} {
		started.RecordEnds(id, []Attempt{{Whole: key, Parts: part.Parts}}, now)
	}
	g.Expect(started.Judge(part, now).Verdict).To(Equal(quarantine.Held))
	sent := started.NextToSend(now)
	third.MergeEnds(sent, now)
	sound := running.MergeEnds(sent, now)
	g.Expect(sound).To(Equal([][]byte{part.Parts[0][:]}))
	g.Expect(started.Pending()).To(Receive())

	started.MarkSoundParts(sound)
	g.Expect(started.Judge(part, now).Verdict).To(Equal(quarantine.Free))
	g.Expect(started.Pending()).To(Receive())
	third.MergeEnds(started.NextToSend(now), now)
	g.Expect(third.Judge(part, now).Verdict).To(Equal(quarantine.Free))
	started.MarkSoundParts([][]byte{nil, {1}, part.Parts[0][:]})
	g.Expect(started.Pending()).NotTo(Receive(), "nothing new")
}
