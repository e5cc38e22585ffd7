// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

func armOrder(version, fence uint64) rank.Order {
	return rank.Order{Op: rank.Arm, Version: version, Step: version, Fence: fence, Epoch: 1}
}

// A request of an earlier switch that arrives late must not replace what is known of the newest one.
func TestLateArmingRequestIsRejected(t *testing.T) {
	g := NewWithT(t)
	var a OwnArming
	a.ObserveRank(0, rank.Arming{})
	a.ObserveFence(5)
	previous, ok := a.Begin(armOrder(8, 5))
	g.Expect(ok).To(BeTrue())
	a.End(previous, rank.Done)
	for _, late := range []rank.Order{armOrder(7, 5), armOrder(9, 4), armOrder(9, 6)} {
		_, ok = a.Begin(late)
		g.Expect(ok).To(BeFalse(), "%+v", late)
	}
	g.Expect(a.TakeOver(0, 1, 9)).To(Equal(Absence{Rank: 0, ArmingKnown: true, Armed: rank.Arming{Version: 8, Step: 8}}))
	_, ok = a.Begin(armOrder(8, 5))
	g.Expect(ok).To(BeFalse(), "another leader has taken over")
}

func TestWhatAHolderKnowsOfAnArming(t *testing.T) {
	arming := rank.Arming{Version: 8, Step: 8}
	for _, tc := range []struct {
		name    string
		results []rank.Result // Of the attempts.
		want    Absence
	}{
		{"no request", nil, Absence{ArmingKnown: true}},
		{"executed", []rank.Result{rank.Done}, Absence{ArmingKnown: true, Armed: arming}},
		{"rejected", []rank.Result{rank.Conflict}, Absence{ArmingKnown: true}},
		{"lost", []rank.Result{rank.Lost}, Absence{Armed: arming}},
		{"lost, then executed", []rank.Result{rank.Lost, rank.Done}, Absence{ArmingKnown: true, Armed: arming}},
		{"lost, then rejected", []rank.Result{rank.Lost, rank.Conflict}, Absence{Armed: arming}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var a OwnArming
			a.ObserveRank(0, rank.Arming{})
			a.ObserveFence(5)
			for _, result := range tc.results {
				previous, _ := a.Begin(armOrder(8, 5))
				a.End(previous, result)
			}
			NewWithT(t).Expect(a.TakeOver(0, 1, 9)).To(Equal(tc.want))
		})
	}
}

// A holder that restarts while a hold is set doesn't know what was armed under it.
func TestRestartedHolderKnowsNoArmingUnderAnOldHold(t *testing.T) {
	g := NewWithT(t)
	var a OwnArming
	a.ObserveRank(3, rank.Arming{})
	g.Expect(a.IsNewFence(5)).To(BeTrue(), "it may have taken over before")
	g.Expect(a.TakeOver(0, 1, 9).ArmingKnown).To(BeFalse())
	a.ObserveRank(0, rank.Arming{Version: 8, Step: 8})
	g.Expect(a.TakeOver(0, 1, 9).ArmingKnown).To(BeFalse(), "the hold may have been released, and may be set again")
	a.ObserveRank(0, rank.Arming{})
	g.Expect(a.TakeOver(0, 1, 10).ArmingKnown).To(BeTrue())
}
