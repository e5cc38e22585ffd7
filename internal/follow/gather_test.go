// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// While hundreds of endpoints start, each call to the store brought a few of them, and each
// process that listens asked as often.
func TestNewsInARowAreGatheredLonger(t *testing.T) {
	g := NewWithT(t)
	const inForce = 3200 * time.Millisecond
	v := NewView()
	f := NewFollower(v, Source{}, inForce, zap.NewNop())
	g.Expect(f.gather()).To(Equal(startGatherTime), "there is no configuration yet")
	revision := uint64(1)
	list := func() {
		revision++
		v.Apply(Changes{Endpoints: []fleet.Endpoint{{ID: fmt.Sprint("e", revision), Service: "s", Address: fmt.Sprint("a:", revision), Revision: revision}}, At: revision}, time.Now(), false)
	}
	v.Offer(fleet.NewConfig(1, nil, nil, nil, fleet.Limits{}), 1)
	g.Expect(f.gather()).To(Equal(gatherTime))
	for _, want := range []time.Duration{2 * gatherTime, 4 * gatherTime, inForce / 16, inForce / 16} {
		list()
		g.Expect(f.gather()).To(Equal(want))
	}
	g.Expect(f.gather()).To(Equal(gatherTime), "a call that brought nothing")
	list()
	g.Expect(f.gather()).To(Equal(gatherTime), "a change by itself is told soon")
}

// The history is shorter than what changes in between, so that each call is answered by that
// it is forgotten.
func TestAHistoryThatIsForgottenAgainAndAgainCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const inForce, watched = 3200 * time.Millisecond, 4 * time.Second
		calls, revision := 0, uint64(0)
		source := Source{
			Snapshot: func(context.Context, bool) (Snapshot, error) {
				calls++
				revision++
				return Snapshot{
					Config: fleet.NewConfig(1, nil, nil, nil, fleet.Limits{}), At: revision,
					Endpoints: []fleet.Endpoint{{ID: "e", Service: "s", Address: "a:1", Revision: revision}},
				}, nil
			},
			Changes: func(context.Context, uint64, time.Duration) (ch Changes, err error) {
				calls++
				return ch, ErrForgotten
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), watched)
		defer cancel()
		g.Expect(NewFollower(NewView(), source, inForce, zap.NewNop()).Run(ctx, func() {})).To(Succeed())
		g.Expect(calls).To(BeNumerically("<", 60), "in %v", watched)
	})
}
