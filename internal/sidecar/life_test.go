// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// An engine that starts again counts from zero, in an epoch that may have the number of
// an earlier one.
func TestALaterLifeOfTheEngineBeginsAnew(t *testing.T) {
	g := NewWithT(t)
	s := &Sidecar{log: zap.NewNop()}
	g.Expect(s.noteReport(rank.Report{StartedAt: 5, Group: "g", Epoch: 1, Open: true, Size: 2, Step: 900, HeldPass: 901}, nil)).To(BeTrue())
	s.counts = rank.Counts{StartedAt: 5, Epoch: 1, Step: 900, Flat: []uint64{70, 80}}
	s.work = window{number: 3, epoch: 1, flat: []uint64{7, 8}}
	s.passes.pass = time.Second
	g.Expect(s.noteReport(rank.Report{StartedAt: 6, Group: "g", Epoch: 1, Size: 2, Step: 1}, nil)).To(BeTrue())
	g.Expect(s.report.HeldPass).To(BeZero())
	g.Expect(s.counts.Flat).To(BeEmpty())
	g.Expect(s.work.flat).To(BeEmpty())
	g.Expect(s.passes.pass).To(BeZero())
	g.Expect(s.noteReport(rank.Report{StartedAt: 5, Group: "g", Epoch: 1, Open: true, Step: 901}, nil)).To(BeFalse(), "it came late")
	g.Expect(s.report.Step).To(Equal(uint64(1)))
	g.Expect(s.noteLife(0)).To(BeTrue(), "an engine that does not tell")
	g.Expect(s.born).To(Equal(int64(6)))
}

func TestCountsOfTwoLivesMakeNoWindow(t *testing.T) {
	from := rank.Counts{StartedAt: 5, Epoch: 1, Flat: []uint64{1, 2}}
	for _, tc := range []struct {
		name string
		to   rank.Counts
		want []uint64
	}{
		{"the same life", rank.Counts{StartedAt: 5, Epoch: 1, Flat: []uint64{9, 9}}, []uint64{8, 7}},
		{"not told", rank.Counts{Epoch: 1, Flat: []uint64{9, 9}}, []uint64{8, 7}},
		{"a later life", rank.Counts{StartedAt: 6, Epoch: 1, Flat: []uint64{9, 9}}, nil},
		{"a later epoch", rank.Counts{StartedAt: 5, Epoch: 2, Flat: []uint64{9, 9}}, nil},
		{"fewer than before", rank.Counts{StartedAt: 5, Epoch: 1, Flat: []uint64{9, 1}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(difference(window{number: 3}, from, tc.to).flat).To(Equal(tc.want))
		})
	}
}

// What a rank's earlier life says does not count as its answer, whichever way the later
// one was heard of first.
func TestAMemberIsHeardInItsNewestLife(t *testing.T) {
	for _, tc := range []struct {
		name           string
		listed, before int64
		told           int64
		heard          bool
	}{
		{"as listed", 5, 0, 5, true},
		{"later than listed", 5, 0, 6, true},
		{"earlier than listed", 6, 5, 5, false},
		{"earlier than heard", 5, 6, 5, false},
		{"not told", 5, 6, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			m := &member{endpoint: fleet.Endpoint{Born: tc.listed}, report: rank.Report{StartedAt: tc.before}, missed: true}
			m.hear(rank.Report{StartedAt: tc.told, Step: 9}, time.Now())
			g.Expect(m.fresh).To(Equal(tc.heard))
			g.Expect(m.missed).To(Equal(!tc.heard))
			g.Expect(m.report.Step == 9).To(Equal(tc.heard))
		})
	}
}

func TestALeaderNoticesThatARankHasBegunAnew(t *testing.T) {
	g := NewWithT(t)
	g.Expect(begunAnew([]int64{5, 6}, []int64{5, 6})).To(BeFalse())
	g.Expect(begunAnew([]int64{5, 0}, []int64{5, 6})).To(BeFalse(), "it was not told before")
	g.Expect(begunAnew([]int64{5, 6}, []int64{5, 7})).To(BeTrue())
}
