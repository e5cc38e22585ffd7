// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package configadopt

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

// receive receives a generation and follows the decision, as the daemon does.
func receive(s *State, v published.Version) {
	if s.Decide(v) == Fetch {
		s.Adopt(v)
	}
}

// TestProcessesConvergeInAnyOrder has two processes receive the same generations in
// different orders, stale ones repeatedly: both end with the same generation, and neither
// ever goes back to an older one.
func TestProcessesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		received := rapid.SliceOfN(rapid.Custom(anyVersion), 1, 12).Draw(t, "heard")
		other := rapid.Permutation(received).Draw(t, "other order")
		a, b := New(), New()
		for i := range received {
			before := a.Current()
			receive(a, received[i])
			receive(b, other[i])
			if before.Newer(a.Current()) {
				t.Fatalf("went from %v back to %v", before, a.Current())
			}
		}
		if a.Current() != b.Current() {
			t.Fatalf("one ends on %v, the other on %v", a.Current(), b.Current())
		}
	})
}

// TestAdoptionByArrivalDiverges shows that under the naive rule, adopt the last received
// generation of the same or a higher number, two processes end with different generations.
func TestAdoptionByArrivalDiverges(t *testing.T) {
	g := gomega.NewWithT(t)
	adoptLast := func(order ...published.Version) (v published.Version) {
		for _, one := range order {
			if one.Generation >= v.Generation {
				v = one
			}
		}
		return v
	}
	one, two := version(2, "a"), version(2, "b")
	g.Expect(adoptLast(one, two)).NotTo(gomega.Equal(adoptLast(two, one)))
}

func TestConflictIsDetectedByWinnerAndLoser(t *testing.T) {
	for _, order := range [][2]string{{"a", "b"}, {"b", "a"}} {
		g := gomega.NewWithT(t)
		s := New()
		receive(s, version(2, order[0]))
		s.RecordValid(version(2, order[1]))
		receive(s, version(2, order[1]))
		g.Expect(s.Current().Hash).To(gomega.Equal("b"))
		other, ok := s.Conflict()
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(other.Hash).To(gomega.Equal("a"))
		receive(s, version(3, "c"))
		_, ok = s.Conflict()
		g.Expect(ok).To(gomega.BeFalse(), "a higher generation ends the conflict")
	}
}

func TestRefusedGenerationIsNotFetchedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.Refuse(version(2, "bad"))
	g.Expect(s.Decide(version(2, "bad"))).To(gomega.Equal(Ignore))
	g.Expect(s.Decide(version(2, "good"))).To(gomega.Equal(Fetch))
}
