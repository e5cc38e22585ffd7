// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package backoff

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// one is the only life of an endpoint.
var one = Process{Name: "i-1"}

func assertResting(t *testing.T, s *Set, now, left float64) {
	t.Helper()
	got, ok := s.BackingOff(one, at(now))
	NewWithT(t).Expect(ok).To(Equal(left > 0))
	NewWithT(t).Expect(got.Seconds()).To(BeNumerically("~", left, 0.001))
}

func TestARestLastsAsLongAsTheLastOneThatWasAskedFor(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(s.Backoff(one, 3*time.Second, at(0))).To(BeTrue())
	g.Expect(s.Backoff(one, time.Second, at(1))).To(BeFalse(), "it rests already")
	assertResting(t, s, 1, 2)
	g.Expect(s.Backoff(one, 3*time.Second, at(1))).To(BeFalse())
	assertResting(t, s, 1, 3)
	s.RecordAnswer(one, at(0.5)) // Of a request that was under way.
	assertResting(t, s, 3.9, 0.1)
	assertResting(t, s, 4, 0)
	s.Forget(func(string) bool { return true }, at(4))
	g.Expect(s.by).To(BeEmpty())
}

func TestAVeryLongRestIsTriedOneRequestAtATime(t *testing.T) {
	longest := longestRest.Seconds()
	trial := trialTime.Seconds()
	s := New()
	s.Backoff(one, 365*24*time.Hour, at(0))
	assertResting(t, s, longest-1, 1)
	assertResting(t, s, longest, 0)
	s.Forget(func(string) bool { return true }, at(longest))
	s.RecordSent(one, at(longest))
	assertResting(t, s, longest, trial)
	s.RecordAnswer(one, at(longest-1)) // Sent before.
	assertResting(t, s, longest, trial)
	t.Run("no answer", func(t *testing.T) {
		assertResting(t, s, longest+trial, 0)
		s.RecordSent(one, at(longest+trial))
		assertResting(t, s, longest+trial, trial)
	})
	t.Run("answered", func(t *testing.T) {
		s.RecordAnswer(one, at(longest+trial))
		assertResting(t, s, longest+trial, 0)
		s.RecordSent(one, at(longest+trial))
		assertResting(t, s, longest+trial, 0)
	})
}

func TestLeavingIsForGood(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(s.MarkLeaving(one, at(0))).To(BeTrue())
	g.Expect(s.MarkLeaving(one, at(0))).To(BeFalse())
	s.RecordAnswer(one, at(1))
	s.Forget(func(string) bool { return true }, at(1e6))
	g.Expect(s.Leaving(one)).To(BeTrue())
	resting, leaving := s.Counts(at(1))
	g.Expect(resting).To(Equal(0))
	g.Expect(leaving).To(Equal(1))
	s.Forget(func(string) bool { return false }, at(2))
	g.Expect(s.Leaving(one)).To(BeFalse(), "what has its name later is another one")
}

// Guards against requests to an endpoint that leaves whose second life was listed only after an
// answer of it had said so.
func TestWhatALifeAsksForHoldsUntilALaterOne(t *testing.T) {
	born := func(seconds float64) Process { return Process{Name: "i-1", Start: at(seconds).UnixMilli()} }
	for _, tc := range []struct {
		name string
		ask  func(s *Set, l Process, now time.Time) bool
		asks func(s *Set, l Process, now time.Time) bool
	}{
		{"leaving", func(s *Set, l Process, now time.Time) bool { return s.MarkLeaving(l, now) }, func(s *Set, l Process, _ time.Time) bool { return s.Leaving(l) }},
		{"rest", func(s *Set, l Process, now time.Time) bool { return s.Backoff(l, time.Minute, now) }, func(s *Set, l Process, now time.Time) bool {
			_, ok := s.BackingOff(l, now)
			return ok
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := New()
			first, second, third := born(1), born(5), born(8)
			g.Expect(tc.ask(s, first, at(6))).To(BeTrue(), "the first is listed still, the second has answered")
			g.Expect(tc.asks(s, second, at(7))).To(BeTrue())
			g.Expect(tc.ask(s, second, at(7))).To(BeFalse(), "known")
			g.Expect(tc.asks(s, third, at(9))).To(BeFalse())
			g.Expect(tc.ask(s, third, at(9))).To(BeTrue())
			g.Expect(tc.asks(s, third, at(9))).To(BeTrue())
		})
	}
}
