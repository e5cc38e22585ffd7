// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package mapswitch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
)

// randomRun drives a group of n ranks with up to three coordinators at once
// through random loss, duplication, reordering and crashes of coordinators,
// and returns the first violation and the number of switches completed.
func randomRun(n int, seed uint64, events int) (violation string, switches int) {
	rnd := rand.New(rand.NewPCG(seed, uint64(n)))
	group := make([]RankState, n)
	var coords []Coordinator
	var orders []Order
	var replies []Reply
	ballot := uint64(0)
	used := map[uint64]uint64{} // Map by step.
	take := func(length int) (i int, again bool) { return rnd.IntN(length), rnd.IntN(10) == 0 }
	for range events {
		switch k := rnd.IntN(1000); {
		case k < 2 || len(coords) == 0: // A coordinator begins; one may crash.
			ballot++
			c := NewCoordinator(ballot, n, uint64(1+rnd.IntN(6)))
			if len(coords) == 3 {
				coords = coords[1:]
			}
			coords = append(coords, c)
			orders = append(orders, c.Resend()...)
		case k < 40: // Orders are sent again.
			orders = append(orders, coords[rnd.IntN(len(coords))].Resend()...)
		case k < 400: // Each rank may step, as lock-step allows.
			low := group[0].LastStep
			for _, r := range group {
				low = min(low, r.LastStep)
			}
			for range n / 2 {
				r := rnd.IntN(n)
				if group[r].LastStep > low || !group[r].CanBegin() {
					continue
				}
				group[r] = group[r].BeginStep()
				m, seen := used[group[r].LastStep]
				if seen && m != group[r].Map {
					return fmt.Sprintf("step %d runs on maps %d and %d", group[r].LastStep, m, group[r].Map), switches
				}
				used[group[r].LastStep] = group[r].Map
			}
		case k < 700:
			for range min(len(orders), n) {
				i, again := take(len(orders))
				o := orders[i]
				if !again {
					orders[i] = orders[len(orders)-1]
					orders = orders[:len(orders)-1]
				}
				if rnd.IntN(20) == 0 {
					continue // Lost.
				}
				var reply Reply
				group[o.Rank], reply = group[o.Rank].Handle(o)
				replies = append(replies, reply)
			}
		default:
			for range min(len(replies), n) {
				i, again := take(len(replies))
				reply := replies[i]
				if !again {
					replies[i] = replies[len(replies)-1]
					replies = replies[:len(replies)-1]
				}
				for j := range coords {
					if coords[j].Ballot != reply.Ballot {
						continue
					}
					was := coords[j].Phase
					var more []Order
					coords[j], more = coords[j].Handle(reply)
					orders = append(orders, more...)
					if was != Done && coords[j].Phase == Done {
						switches++
					}
				}
			}
		}
		if len(orders) > 20*n {
			orders = orders[len(orders)-20*n:]
		}
	}
	return "", switches
}

func TestRandomRuns(t *testing.T) {
	for _, one := range []struct{ ranks, seeds, events int }{{3, 40, 4000}, {32, 20, 20000}, {256, 6, 40000}} {
		t.Run(fmt.Sprint(one.ranks, " ranks"), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			total := 0
			for seed := range one.seeds {
				violation, switches := randomRun(one.ranks, uint64(seed), one.events)
				g.Expect(violation).To(gomega.BeEmpty(), "seed %d", seed)
				total += switches
			}
			t.Logf("%d switches completed", total)
			g.Expect(total).To(gomega.BeNumerically(">", one.seeds), "the runs have become idle")
		})
	}
}
