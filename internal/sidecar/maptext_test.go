// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

func TestMapsAreWrittenAndReadWhole(t *testing.T) {
	layout := [][][]int{{{0, 2, 300}, {}, {1}}, {{5}, {0, 1}, {299, 300}}}
	text := packMap(layout)
	t.Run("whole", func(t *testing.T) {
		g := NewWithT(t)
		back, err := unpackMap(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(layout))
	})
	t.Run("cut anywhere", func(t *testing.T) {
		g := NewWithT(t)
		for n := range len(text) {
			_, err := unpackMap(text[:n])
			g.Expect(err).To(HaveOccurred(), "%d bytes", n)
		}
	})
	t.Run("too long", func(t *testing.T) {
		g := NewWithT(t)
		_, err := unpackMap(append(append([]byte(nil), text...), 0))
		g.Expect(err).To(HaveOccurred())
	})
	t.Run("a size that is no size", func(t *testing.T) {
		g := NewWithT(t)
		_, err := unpackMap([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0xff, 0xff, 0xff, 0xff, 0x0f})
		g.Expect(err).To(HaveOccurred())
	})
}

// leaderOf returns a leader of so many ranks, whose engines have their rank as
// address.
func leaderOf(ranks, self int) *leader {
	l := &leader{machine: cutover.New(ranks, self, cutover.Nobody, 1, 1)}
	for r := range ranks {
		m := &member{endpoint: fleet.Endpoint{Address: fmt.Sprint(r)}}
		l.all = append(l.all, m)
		l.byRank = append(l.byRank, m)
	}
	return l
}

func TestEveryRankFindsItsMapInFewSteps(t *testing.T) {
	for _, tc := range []struct{ ranks, self, steps int }{{2, 0, 1}, {12, 3, 2}, {63, 0, 2}, {63, 62, 2}, {63, 20, 2}, {256, 5, 3}} {
		t.Run(fmt.Sprintf("%d ranks led by %d", tc.ranks, tc.self), func(t *testing.T) {
			g := NewWithT(t)
			l := leaderOf(tc.ranks, tc.self)
			readers := map[string]int{}
			for r := range tc.ranks {
				if r == tc.self {
					continue
				}
				from := l.mapSources(r)
				g.Expect(from[len(from)-1]).To(Equal(fmt.Sprint(tc.self)), "the leader can always be asked")
				readers[from[0]]++
				steps, at := 1, from[0]
				for at != fmt.Sprint(tc.self) {
					var before int
					_, err := fmt.Sscan(at, &before)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(before).NotTo(Equal(r))
					at = l.mapSources(before)[0]
					steps++
					g.Expect(steps).To(BeNumerically("<=", tc.steps), "rank %d", r)
				}
			}
			for _, n := range readers {
				g.Expect(n).To(BeNumerically("<=", mapFan))
			}
		})
	}
}

func TestShelfWaitsForAMap(t *testing.T) {
	g := NewWithT(t)
	s := newShelf()
	k := mapKey{epoch: 1, fence: 2, version: 3}
	var wait errgroup.Group
	var text []byte
	wait.Go(func() (err error) {
		ctx, cancel := context.WithTimeout(context.Background(), eventually)
		defer cancel()
		text, err = s.get(ctx, k)
		return err
	})
	s.put(mapKey{epoch: 1, fence: 1, version: 3}, []byte("of another leader"))
	s.put(k, []byte("the one"))
	g.Expect(wait.Wait()).To(Succeed())
	g.Expect(string(text)).To(Equal("the one"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err := s.get(ctx, mapKey{version: 4})
	g.Expect(err).To(HaveOccurred())
}

func TestCountsOfLargeGroupsAreAskedForInTurn(t *testing.T) {
	for _, n := range []int{1, 12, wholeLook, 63, 256} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			l := leaderOf(n, 0)
			asked := make([]int, n)
			for range 4 { // Three parts may leave one over.
				part := l.askedForWork()
				for r := range n {
					if part(r) {
						asked[r]++
					}
				}
			}
			for r, times := range asked {
				g.Expect(times).To(BeNumerically(">=", 1), "rank %d", r)
				if n <= wholeLook {
					g.Expect(times).To(Equal(4), "rank %d", r)
				}
			}
		})
	}
}
