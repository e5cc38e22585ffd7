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

// tree is the sidecars of a group without sockets, whose engines have their rank as
// address.
type tree struct {
	sidecars []*Sidecar
	silent   map[int]bool

	mu    sync.Mutex
	calls []int // Made by each sidecar.
	asked []int // Calls to each.
}

func newTree(ranks int, silent ...int) *tree {
	t := &tree{silent: map[int]bool{}, calls: make([]int, ranks), asked: make([]int, ranks)}
	for _, r := range silent {
		t.silent[r] = true
	}
	for r := range ranks {
		s := &Sidecar{log: zap.NewNop(), work: window{number: 7, epoch: 1, flat: []uint64{1, uint64(r), 300}}}
		s.engine = rank.Engine{
			Report: func(context.Context) (rank.Report, error) {
				return rank.Report{Group: "g", Epoch: 1, Rank: r, Size: ranks, Open: true}, nil
			},
			Order: func(_ context.Context, o rank.Order) (rank.Result, error) { return rank.Done, nil },
		}
		s.figures = newFigures(metrics.NewRegistry())
		s.below = func(ctx context.Context, q question) (answers, error) { return t.call(ctx, r, q) }
		t.sidecars = append(t.sidecars, s)
	}
	return t
}

// call puts a question of one sidecar to another one.
func (t *tree) call(ctx context.Context, from int, q question) (answers, error) {
	to, err := strconv.Atoi(q.Engines[0])
	if err != nil {
		return answers{}, err
	}
	t.mu.Lock()
	t.calls[from]++
	t.asked[to]++
	t.mu.Unlock()
	if t.silent[to] {
		return answers{}, errors.New("no answer")
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	return t.sidecars[to].askTree(ctx, q), nil
}

func engines(ranks int) (list []string) {
	for r := range ranks {
		list = append(list, strconv.Itoa(r))
	}
	return list
}

func (t *tree) ask(fan int, order *rank.Order) answers {
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	return t.sidecars[0].askTree(ctx, question{Engines: engines(len(t.sidecars)), Fanout: fan, Timeout: eventually, Group: "g", Order: order})
}

func TestATreeReachesEveryRankOnceByFewCallsOfEach(t *testing.T) {
	for _, ranks := range []int{1, 2, 12, 72, 129, 1000} {
		for _, fan := range []int{fanHeavy, fanLight, fanFlat} {
			t.Run(fmt.Sprintf("%d ranks by %d", ranks, fan), func(t *testing.T) {
				g := NewWithT(t)
				all := newTree(ranks)
				a := all.ask(fan, nil)
				g.Expect(a.Ranks).To(HaveLen(ranks))
				for _, r := range a.Ranks {
					g.Expect(r.Report.Rank).To(Equal(r.Index))
				}
				for r := range ranks {
					g.Expect(all.calls[r]).To(BeNumerically("<=", fan))
					g.Expect(all.asked[r]).To(Equal(min(r, 1)), "rank %d", r)
				}
				counts, err := unpackCounts(a.Counts)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(counts).To(HaveLen(3))
				most := float64(max(300*ranks, ranks*(ranks-1)/2))
				for i, n := range []int{ranks, ranks * (ranks - 1) / 2, 300 * ranks} {
					g.Expect(float64(counts[i])).To(BeNumerically("~", n, most/50), "each step rounds")
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

// A sidecar that does not answer is passed over by whoever asks it: those below it
// are asked all the same.
func TestDeadNodesOfATreeHideNobodyElse(t *testing.T) {
	g := NewWithT(t)
	const ranks = 129
	dead := []int{1, 2, 33, 34, 65, 97, 128}
	all := newTree(ranks, dead...)
	a := all.ask(fanHeavy, nil)
	heard := map[int]bool{}
	for _, r := range a.Ranks {
		g.Expect(r.Report.Rank).To(Equal(r.Index))
		heard[r.Index] = true
	}
	g.Expect(heard).To(HaveLen(ranks - len(dead)))
	g.Expect(a.SummedRanks).To(Equal(ranks - len(dead)))
	for _, r := range dead {
		g.Expect(heard).NotTo(HaveKey(r))
	}
}

func TestAnOrderGoesDownTheTree(t *testing.T) {
	g := NewWithT(t)
	a := newTree(129, 5).ask(fanLight, &rank.Order{Op: rank.Arm, Version: 3, Step: 9})
	g.Expect(a.Ranks).To(HaveLen(128))
	for _, r := range a.Ranks {
		g.Expect(r.Result).To(Equal(rank.Done))
		g.Expect(r.Report).To(BeNil())
	}
}

func TestCountsOfOtherGroupsAndShapesAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	all := newTree(12)
	all.sidecars[3].work.epoch = 2
	all.sidecars[4].work.flat = []uint64{1}
	all.sidecars[5].engine.Report = func(context.Context) (rank.Report, error) {
		return rank.Report{Group: "other", Epoch: 1}, nil
	}
	a := all.ask(fanFlat, nil)
	g.Expect(a.Ranks).To(HaveLen(12))
	g.Expect(a.SummedRanks).To(Equal(9))
}

func TestTimeIsKeptForEachStepDown(t *testing.T) {
	g := NewWithT(t)
	var limits []time.Duration
	s := &Sidecar{log: zap.NewNop(), below: func(_ context.Context, q question) (answers, error) {
		limits = append(limits, q.Timeout)
		return answers{}, errors.New("no answer")
	}}
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	s.askPart(ctx, question{Timeout: eventually}, engines(3))
	g.Expect(limits).To(HaveLen(3), "each is tried in the place of the one before")
	for _, l := range limits {
		g.Expect(l).To(BeNumerically("<=", eventually-stepTime))
	}
	limits = nil
	short, cancel := context.WithTimeout(context.Background(), stepTime/2)
	defer cancel()
	s.askPart(short, question{Timeout: stepTime / 2}, engines(3))
	g.Expect(limits).To(BeEmpty(), "an answer would come too late")
}
