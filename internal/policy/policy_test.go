// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package policy

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func TestPrograms(t *testing.T) {
	g := gomega.NewWithT(t)
	s, faults := New(Sources{Priority: `class == "kiosk" ? 9 : -5`, Retry: `attempt < 3`, Move: `tokens < 10`})
	g.Expect(faults).To(gomega.BeEmpty())
	high, err := s.Priority(Request{Class: "kiosk"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(high).To(gomega.Equal(9))
	low, _ := s.Priority(Request{})
	g.Expect(low).To(gomega.Equal(0), "cut to the lowest priority")
	retry, _ := s.Retry(Request{Attempt: 3})
	g.Expect(retry).To(gomega.BeFalse())
	move, _ := s.Move(Request{Tokens: 9})
	g.Expect(move).To(gomega.BeTrue())
}

func TestFaultsAreListedTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	_, faults := New(Sources{Priority: `true`, Retry: `1`, Move: `unknown > 1`})
	g.Expect(faults).To(gomega.HaveLen(3))
}

func TestFailingProgramFallsBack(t *testing.T) {
	check := func(name, text string) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, faults := New(Sources{Priority: text, Retry: text + " == 1"})
			g.Expect(faults).To(gomega.BeEmpty())
			n, err := s.Priority(Request{Attempt: 0})
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(n).To(gomega.Equal(DefaultPriority))
			retry, err := s.Retry(Request{})
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(retry).To(gomega.Equal(DefaultRetry))
		})
	}
	check("divides by zero", `1 / attempt`)
	check("costs too much", `[1,2,3,4,5,6,7,8,9,10].map(a, [1,2,3,4,5,6,7,8,9,10].map(b, [1,2,3,4,5,6,7,8,9,10].map(c, a*b*c).size()).size()).size()`)
}

func FuzzPolicy(f *testing.F) {
	f.Add(`attempt < 3`)
	f.Add(`"a".matches("(a+)+$")`)
	f.Add(`[1,2].exists(x, x == attempt)`)
	f.Add(strings.Repeat("(", 500))
	f.Fuzz(func(_ *testing.T, text string) {
		s, faults := New(Sources{Retry: text})
		if len(faults) == 0 {
			_, _ = s.Retry(Request{Class: "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa!"}) // It must return.
		}
	})
}
