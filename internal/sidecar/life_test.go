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

// An engine that restarts counts from zero, in an epoch that may have the number of an earlier one.
func TestEngineRestartResetsState(t *testing.T) {
	g := NewWithT(t)
	s := &Sidecar{log: zap.NewNop()}
	g.Expect(s.recordReport(rank.Report{StartedAt: 5, Group: "g", Epoch: 1, Open: true, Size: 2, Step: 900, HeldPass: 901}, nil)).To(BeTrue())
	s.counts = rank.Counts{StartedAt: 5, Epoch: 1, Step: 900, Flat: []uint64{70, 80}}
	s.newestWindow = window{number: 3, epoch: 1, flat: []uint64{7, 8}}
	s.passes.mean = time.Second
	g.Expect(s.recordReport(rank.Report{StartedAt: 6, Group: "g", Epoch: 1, Size: 2, Step: 1}, nil)).To(BeTrue())
	g.Expect(s.report.HeldPass).To(BeZero())
	g.Expect(s.counts.Flat).To(BeEmpty())
	g.Expect(s.newestWindow.flat).To(BeEmpty())
	g.Expect(s.passes.mean).To(BeZero())
	g.Expect(s.recordReport(rank.Report{StartedAt: 5, Group: "g", Epoch: 1, Open: true, Step: 901}, nil)).To(BeFalse(), "a late report")
	g.Expect(s.report.Step).To(Equal(uint64(1)))
	g.Expect(s.recordIncarnation(0)).To(BeTrue(), "an engine that does not report its start")
	g.Expect(s.engineStartedAt).To(Equal(int64(6)))
}

func TestCountsOfTwoIncarnationsMakeNoWindow(t *testing.T) {
	from := rank.Counts{StartedAt: 5, Epoch: 1, Flat: []uint64{1, 2}}
	for _, tc := range []struct {
		name string
		to   rank.Counts
		want []uint64
	}{
		{"the same incarnation", rank.Counts{StartedAt: 5, Epoch: 1, Flat: []uint64{9, 9}}, []uint64{8, 7}},
		{"start not reported", rank.Counts{Epoch: 1, Flat: []uint64{9, 9}}, []uint64{8, 7}},
		{"a later incarnation", rank.Counts{StartedAt: 6, Epoch: 1, Flat: []uint64{9, 9}}, nil},
		{"a later epoch", rank.Counts{StartedAt: 5, Epoch: 2, Flat: []uint64{9, 9}}, nil},
		{"fewer than before", rank.Counts{StartedAt: 5, Epoch: 1, Flat: []uint64{9, 1}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(difference(window{number: 3}, from, tc.to).flat).To(Equal(tc.want))
		})
	}
}

// A report of an earlier incarnation of a rank does not count as its answer, whether the later one
// is known from the list or from a report.
func TestReportOfEarlierIncarnationIsIgnored(t *testing.T) {
	for _, tc := range []struct {
		name           string
		listed, before int64
		reported       int64
		accepted       bool
	}{
		{"as listed", 5, 0, 5, true},
		{"later than listed", 5, 0, 6, true},
		{"earlier than listed", 6, 5, 5, false},
		{"earlier than reported before", 5, 6, 5, false},
		{"start not reported", 5, 6, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			m := &member{endpoint: fleet.Endpoint{StartedAt: tc.listed}, report: rank.Report{StartedAt: tc.before}, sidecarSilent: true}
			m.acceptReport(rank.Report{StartedAt: tc.reported, Step: 9}, time.Now())
			g.Expect(m.answered).To(Equal(tc.accepted))
			g.Expect(m.sidecarSilent).To(Equal(!tc.accepted))
			g.Expect(m.report.Step == 9).To(Equal(tc.accepted))
		})
	}
}

func TestLeaderDetectsRankRestart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(anyRestarted([]int64{5, 6}, []int64{5, 6})).To(BeFalse())
	g.Expect(anyRestarted([]int64{5, 0}, []int64{5, 6})).To(BeFalse(), "its start was not reported before")
	g.Expect(anyRestarted([]int64{5, 6}, []int64{5, 7})).To(BeTrue())
}
