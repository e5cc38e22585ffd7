// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package mapswitch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
)

// randomRun drives a group of n ranks with up to three concurrent coordinators through random loss,
// duplication, reordering and coordinator crashes. It returns the first violation and the number of
// completed switches.
func randomRun(n int, seed uint64, events int) (violation string, switches int) {
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	group := make([]RankState, n)
	var coordinators []Coordinator
	var orders []Order
	var replies []Reply
	ballot := uint64(0)
	mapOfStep := map[uint64]uint64{} // Version of the map on which each step ran.
	pickIndex := func(length int) (i int, again bool) { return random.IntN(length), random.IntN(10) == 0 }
	for range events {
		switch k := random.IntN(1000); {
		case k < 2 || len(coordinators) == 0: // A coordinator begins; one may crash.
			ballot++
			c := NewCoordinator(ballot, n, uint64(1+random.IntN(6)))
			if len(coordinators) == 3 {
				coordinators = coordinators[1:]
			}
			coordinators = append(coordinators, c)
			orders = append(orders, c.UnconfirmedOrders()...)
		case k < 40: // Orders are resent.
			orders = append(orders, coordinators[random.IntN(len(coordinators))].UnconfirmedOrders()...)
		case k < 400: // Each rank may step, as lock-step allows.
			lowest := group[0].LastStep
			for _, r := range group {
				lowest = min(lowest, r.LastStep)
			}
			for range n / 2 {
				r := random.IntN(n)
				if group[r].LastStep > lowest || !group[r].CanBegin() {
					continue
				}
				group[r] = group[r].BeginStep()
				m, seen := mapOfStep[group[r].LastStep]
				if seen && m != group[r].Map {
					return fmt.Sprintf("step %d runs on maps %d and %d", group[r].LastStep, m, group[r].Map), switches
				}
				mapOfStep[group[r].LastStep] = group[r].Map
			}
		case k < 700:
			for range min(len(orders), n) {
				i, again := pickIndex(len(orders))
				o := orders[i]
				if !again {
					orders[i] = orders[len(orders)-1]
					orders = orders[:len(orders)-1]
				}
				if random.IntN(20) == 0 {
					continue // Lost.
				}
				var reply Reply
				group[o.Rank], reply = group[o.Rank].Handle(o)
				replies = append(replies, reply)
			}
		default:
			for range min(len(replies), n) {
				i, again := pickIndex(len(replies))
				reply := replies[i]
				if !again {
					replies[i] = replies[len(replies)-1]
					replies = replies[:len(replies)-1]
				}
				for j := range coordinators {
					if coordinators[j].Ballot != reply.Ballot {
						continue
					}
					was := coordinators[j].Phase
					var more []Order
					coordinators[j], more = coordinators[j].Handle(reply)
					orders = append(orders, more...)
					if was != Done && coordinators[j].Phase == Done {
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
			g.Expect(total).To(gomega.BeNumerically(">", one.seeds), "the runs complete too few switches to test anything")
		})
	}
}
