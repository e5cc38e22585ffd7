// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// fakeTree is the sidecars of a group without sockets. The address of each engine is its rank.
type fakeTree struct {
	sidecars []*Sidecar
	silent   map[int]bool

	mu       sync.Mutex
	sent     []int // Calls made by each sidecar.
	received []int // Calls made to each sidecar.
}

func newFakeTree(ranks int, silent ...int) *fakeTree {
	t := &fakeTree{silent: map[int]bool{}, sent: make([]int, ranks), received: make([]int, ranks)}
	for _, r := range silent {
		t.silent[r] = true
	}
	for r := range ranks {
		s := &Sidecar{log: zap.NewNop(), newestWindow: window{number: 7, epoch: 1, flat: []uint64{1, uint64(r), 300}}}
		s.engine = rank.Engine{
			Report: func(context.Context) (rank.Report, error) {
				return rank.Report{Group: "g", Epoch: 1, Rank: r, Size: ranks, Open: true}, nil
			},
			Order: func(_ context.Context, o rank.Order) (rank.Result, error) { return rank.Done, nil },
		}
		s.stats = newStats(metrics.NewRegistry())
		s.querySidecar = func(ctx context.Context, q treeQuery) (treeResponse, error) { return t.call(ctx, r, q) }
		t.sidecars = append(t.sidecars, s)
	}
	return t
}

// call passes a query of one sidecar to another one.
func (t *fakeTree) call(ctx context.Context, from int, q treeQuery) (treeResponse, error) {
	to, err := strconv.Atoi(q.Engines[0])
	if err != nil {
		return treeResponse{}, err
	}
	t.mu.Lock()
	t.sent[from]++
	t.received[to]++
	t.mu.Unlock()
	if t.silent[to] {
		return treeResponse{}, errors.New("no answer")
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	return t.sidecars[to].queryTree(ctx, q), nil
}

func engineAddresses(ranks int) (list []string) {
	for r := range ranks {
		list = append(list, strconv.Itoa(r))
	}
	return list
}

func (t *fakeTree) query(fanout int, order *rank.Order) treeResponse {
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	return t.sidecars[0].queryTree(ctx, treeQuery{Engines: engineAddresses(len(t.sidecars)), Fanout: fanout, Timeout: eventually, Group: "g", Order: order})
}

func TestTreeQueryReachesEachRankOnce(t *testing.T) {
	for _, ranks := range []int{1, 2, 12, 72, 129, 1000} {
		for _, fan := range []int{heavyFanout, lightFanout, flatFanout} {
			t.Run(fmt.Sprintf("%d ranks by %d", ranks, fan), func(t *testing.T) {
				g := NewWithT(t)
				all := newFakeTree(ranks)
				a := all.query(fan, nil)
				g.Expect(a.Ranks).To(HaveLen(ranks))
				for _, r := range a.Ranks {
					g.Expect(r.Report.Rank).To(Equal(r.Index))
				}
				for r := range ranks {
					g.Expect(all.sent[r]).To(BeNumerically("<=", fan))
					g.Expect(all.received[r]).To(Equal(min(r, 1)), "rank %d", r)
				}
				counts, err := decodeCounts(a.Counts)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(counts).To(HaveLen(3))
				most := float64(max(300*ranks, ranks*(ranks-1)/2))
				for i, n := range []int{ranks, ranks * (ranks - 1) / 2, 300 * ranks} {
					g.Expect(float64(counts[i])).To(BeNumerically("~", n, most/50), "each level rounds")
				}
				g.Expect(a.SummedRanks).To(Equal(ranks))
			})
		}
	}
}

func TestDepthOfATree(t *testing.T) {
	for _, tc := range []struct{ ranks, fan, want int }{{0, 4, 0}, {4, 4, 1}, {5, 4, 2}, {20, 4, 2}, {128, 4, 4}, {128, 8, 3}, {1000, 4, 5}} {
		t.Run(fmt.Sprintf("%d by %d", tc.ranks, tc.fan), func(t *testing.T) {
			NewWithT(t).Expect(depth(tc.ranks, tc.fan)).To(Equal(tc.want))
		})
	}
}

// A sidecar that does not answer is skipped by its caller, and the ranks below it are queried all
// the same.
func TestSilentNodesDoNotHideRanksBelowThem(t *testing.T) {
	g := NewWithT(t)
	const ranks = 129
	dead := []int{1, 2, 33, 34, 65, 97, 128}
	all := newFakeTree(ranks, dead...)
	a := all.query(heavyFanout, nil)
	answered := map[int]bool{}
	for _, r := range a.Ranks {
		g.Expect(r.Report.Rank).To(Equal(r.Index))
		answered[r.Index] = true
	}
	g.Expect(answered).To(HaveLen(ranks - len(dead)))
	g.Expect(a.SummedRanks).To(Equal(ranks - len(dead)))
	for _, r := range dead {
		g.Expect(answered).NotTo(HaveKey(r))
	}
}

func TestOrderIsSentDownTheTree(t *testing.T) {
	g := NewWithT(t)
	a := newFakeTree(129, 5).query(lightFanout, &rank.Order{Op: rank.Arm, Version: 3, Step: 9})
	g.Expect(a.Ranks).To(HaveLen(128))
	for _, r := range a.Ranks {
		g.Expect(r.Result).To(Equal(rank.Done))
		g.Expect(r.Report).To(BeNil())
	}
}

func TestCountsOfOtherGroupsAndShapesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	all := newFakeTree(12)
	all.sidecars[3].newestWindow.epoch = 2
	all.sidecars[4].newestWindow.flat = []uint64{1}
	all.sidecars[5].engine.Report = func(context.Context) (rank.Report, error) {
		return rank.Report{Group: "other", Epoch: 1}, nil
	}
	a := all.query(flatFanout, nil)
	g.Expect(a.Ranks).To(HaveLen(12))
	g.Expect(a.SummedRanks).To(Equal(9))
}

func TestTimeIsReservedForEachHop(t *testing.T) {
	g := NewWithT(t)
	var limits []time.Duration
	s := &Sidecar{log: zap.NewNop(), querySidecar: func(_ context.Context, q treeQuery) (treeResponse, error) {
		limits = append(limits, q.Timeout)
		return treeResponse{}, errors.New("no answer")
	}}
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	s.queryPart(ctx, treeQuery{Timeout: eventually}, engineAddresses(3))
	g.Expect(limits).To(HaveLen(3), "each is tried in place of the previous one")
	for _, l := range limits {
		g.Expect(l).To(BeNumerically("<=", eventually-hopTime))
	}
	limits = nil
	short, cancel := context.WithTimeout(context.Background(), hopTime/2)
	defer cancel()
	s.queryPart(short, treeQuery{Timeout: hopTime / 2}, engineAddresses(3))
	g.Expect(limits).To(BeEmpty(), "an answer would come too late")
}
