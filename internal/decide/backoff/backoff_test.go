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

// one is the only process of an endpoint.
var one = Process{Name: "i-1"}

func assertBackingOff(t *testing.T, s *Set, now, remaining float64) {
	t.Helper()
	got, ok := s.BackingOff(one, at(now))
	NewWithT(t).Expect(ok).To(Equal(remaining > 0))
	NewWithT(t).Expect(got.Seconds()).To(BeNumerically("~", remaining, 0.001))
}

func TestBackoffLastsUntilTheLatestRequestedEnd(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(s.Backoff(one, 3*time.Second, at(0))).To(BeTrue())
	g.Expect(s.Backoff(one, time.Second, at(1))).To(BeFalse(), "it is already backing off")
	assertBackingOff(t, s, 1, 2)
	g.Expect(s.Backoff(one, 3*time.Second, at(1))).To(BeFalse())
	assertBackingOff(t, s, 1, 3)
	s.RecordAnswer(one, at(0.5)) // Answer to a request that was already in flight.
	assertBackingOff(t, s, 3.9, 0.1)
	assertBackingOff(t, s, 4, 0)
	s.Forget(func(string) bool { return true }, at(4))
	g.Expect(s.endpoints).To(BeEmpty())
}

func TestVeryLongBackoffIsProbedOneRequestAtATime(t *testing.T) {
	longestBackoff := maxBackoff.Seconds()
	trial := trialInterval.Seconds()
	s := New()
	s.Backoff(one, 365*24*time.Hour, at(0))
	assertBackingOff(t, s, longestBackoff-1, 1)
	assertBackingOff(t, s, longestBackoff, 0)
	s.Forget(func(string) bool { return true }, at(longestBackoff))
	s.RecordSent(one, at(longestBackoff))
	assertBackingOff(t, s, longestBackoff, trial)
	s.RecordAnswer(one, at(longestBackoff-1)) // Sent before.
	assertBackingOff(t, s, longestBackoff, trial)
	t.Run("no answer", func(t *testing.T) {
		assertBackingOff(t, s, longestBackoff+trial, 0)
		s.RecordSent(one, at(longestBackoff+trial))
		assertBackingOff(t, s, longestBackoff+trial, trial)
	})
	t.Run("answered", func(t *testing.T) {
		s.RecordAnswer(one, at(longestBackoff+trial))
		assertBackingOff(t, s, longestBackoff+trial, 0)
		s.RecordSent(one, at(longestBackoff+trial))
		assertBackingOff(t, s, longestBackoff+trial, 0)
	})
}

func TestLeavingIsPermanent(t *testing.T) {
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
	g.Expect(s.Leaving(one)).To(BeFalse(), "a later endpoint of the name is another one")
}

// Guards against requests to a leaving endpoint whose second process was listed only after an answer
// had said that it is leaving.
func TestStateLastsUntilALaterProcess(t *testing.T) {
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
			g.Expect(tc.ask(s, first, at(6))).To(BeTrue(), "the first is still listed, the second has answered")
			g.Expect(tc.asks(s, second, at(7))).To(BeTrue())
			g.Expect(tc.ask(s, second, at(7))).To(BeFalse(), "known")
			g.Expect(tc.asks(s, third, at(9))).To(BeFalse())
			g.Expect(tc.ask(s, third, at(9))).To(BeTrue())
			g.Expect(tc.asks(s, third, at(9))).To(BeTrue())
		})
	}
}
