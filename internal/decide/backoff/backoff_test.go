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

func assertResting(t *testing.T, s *Set, now, left float64) {
	t.Helper()
	got, ok := s.Resting("i-1", at(now))
	NewWithT(t).Expect(ok).To(Equal(left > 0))
	NewWithT(t).Expect(got.Seconds()).To(BeNumerically("~", left, 0.001))
}

func TestARestLastsAsLongAsTheLastOneThatWasAskedFor(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(s.Rest("i-1", 3*time.Second, at(0))).To(BeTrue())
	g.Expect(s.Rest("i-1", time.Second, at(1))).To(BeFalse(), "it rests already")
	assertResting(t, s, 1, 2)
	g.Expect(s.Rest("i-1", 3*time.Second, at(1))).To(BeFalse())
	assertResting(t, s, 1, 3)
	s.Answered("i-1", at(0.5)) // Of a request that was under way.
	assertResting(t, s, 3.9, 0.1)
	assertResting(t, s, 4, 0)
	s.Forget(func(string) bool { return true }, at(4))
	g.Expect(s.by).To(BeEmpty())
}

func TestAVeryLongRestIsTriedOneRequestAtATime(t *testing.T) {
	longest := longestRest.Seconds()
	trial := trialTime.Seconds()
	s := New()
	s.Rest("i-1", 365*24*time.Hour, at(0))
	assertResting(t, s, longest-1, 1)
	assertResting(t, s, longest, 0)
	s.Forget(func(string) bool { return true }, at(longest))
	s.Sent("i-1", at(longest))
	assertResting(t, s, longest, trial)
	s.Answered("i-1", at(longest-1)) // Sent before.
	assertResting(t, s, longest, trial)
	t.Run("no answer", func(t *testing.T) {
		assertResting(t, s, longest+trial, 0)
		s.Sent("i-1", at(longest+trial))
		assertResting(t, s, longest+trial, trial)
	})
	t.Run("answered", func(t *testing.T) {
		s.Answered("i-1", at(longest+trial))
		assertResting(t, s, longest+trial, 0)
		s.Sent("i-1", at(longest+trial))
		assertResting(t, s, longest+trial, 0)
	})
}

func TestLeavingIsForGood(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(s.Leave("i-1")).To(BeTrue())
	g.Expect(s.Leave("i-1")).To(BeFalse())
	s.Answered("i-1", at(1))
	s.Forget(func(string) bool { return true }, at(1e6))
	g.Expect(s.Leaving("i-1")).To(BeTrue())
	resting, leaving := s.Counts(at(1))
	g.Expect(resting).To(Equal(0))
	g.Expect(leaving).To(Equal(1))
	s.Forget(func(string) bool { return false }, at(2))
	g.Expect(s.Leaving("i-1")).To(BeFalse(), "what has its name later is another one")
}
