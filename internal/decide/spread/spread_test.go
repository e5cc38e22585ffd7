// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package spread

import (
	"flag"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/canvaspulley/canvaspulley/internal/published"
)

func init() { _ = flag.Set("rapid.seed", "1") } // The same verdict every time.

func version(generation uint64, hash string) published.Version {
	return published.Version{Generation: generation, Hash: hash}
}

func anyVersion(t *rapid.T) published.Version {
	return version(uint64(rapid.IntRange(1, 4).Draw(t, "generation")), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "hash")))
}

// hear follows the decision, as a daemon does.
func hear(s *State, v published.Version) {
	if s.Receive(v) == Fetch {
		s.Adopt(v)
	}
}

// TestOneOrderForAll lets two processes hear the same generations in different
// orders, stale ones again and again: both end on the same, and neither ever
// gets older.
func TestOneOrderForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := rapid.SliceOfN(rapid.Custom(anyVersion), 1, 12).Draw(t, "heard")
		other := rapid.Permutation(heard).Draw(t, "other order")
		a, b := New(), New()
		for i := range heard {
			was := a.Current()
			hear(a, heard[i])
			hear(b, other[i])
			if was.Newer(a.Current()) {
				t.Fatalf("went from %v back to %v", was, a.Current())
			}
		}
		if a.Current() != b.Current() {
			t.Fatalf("one ends on %v, the other on %v", a.Current(), b.Current())
		}
	})
}

// TestByArrivalGoesBack shows that the naive rule, the last one heard of the
// same or a higher number, ends differently on two processes.
func TestByArrivalGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	last := func(order ...published.Version) (v published.Version) {
		for _, one := range order {
			if one.Generation >= v.Generation {
				v = one
			}
		}
		return v
	}
	one, two := version(2, "a"), version(2, "b")
	g.Expect(last(one, two)).NotTo(gomega.Equal(last(two, one)))
}

func TestClashIsSeenByWinnerAndLoser(t *testing.T) {
	for _, order := range [][2]string{{"a", "b"}, {"b", "a"}} {
		g := gomega.NewWithT(t)
		s := New()
		hear(s, version(2, order[0]))
		s.RecordValid(version(2, order[1]))
		hear(s, version(2, order[1]))
		g.Expect(s.Current().Hash).To(gomega.Equal("b"))
		other, ok := s.Conflict()
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(other.Hash).To(gomega.Equal("a"))
		hear(s, version(3, "c"))
		_, ok = s.Conflict()
		g.Expect(ok).To(gomega.BeFalse(), "a higher generation ends the clash")
	}
}

func TestRefusedIsNotFetchedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.Refuse(version(2, "bad"))
	g.Expect(s.Receive(version(2, "bad"))).To(gomega.Equal(Ignore))
	g.Expect(s.Receive(version(2, "good"))).To(gomega.Equal(Fetch))
}
