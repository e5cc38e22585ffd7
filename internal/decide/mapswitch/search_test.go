// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package mapswitch

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// The search visits every state that three ranks and several coordinators can reach. An order or reply
// that was sent may arrive at any later time, any number of times or never: that covers loss, delay,
// reordering, duplication, and pauses of ranks and coordinators. A coordinator may stop forever at any
// point, which models its crash; the next coordinator models its restart. A restarted agent of a rank
// reads the rank's state back from the engine, so that its crash is a pause.
const (
	ranks    = 3
	maxStep  = 3 // No step beyond this one begins.
	ballots  = 2 // Number of coordinators, each with a ballot of its own.
	allKinds = Abort + 1
)

// world is one state of the model. Orders in transit are not part of it: they follow from hasSent and
// sentPlans, and remain deliverable forever. Replies are the set of those that may still be delivered.
type world struct {
	ranks        [ranks]RankState
	coordinators [ballots]Coordinator
	sentPlans    [ballots][allKinds]Plan // Plan of each kind of order that was sent.
	hasSent      [ballots][allKinds]bool
	replies      [ballots][ranks]uint16 // Bitmap of replies, see replyBit.
}

// mutation is a fault injected into the protocol; the search must find a violation caused by it.
type mutation struct {
	name              string
	handle            func(RankState, Order) (RankState, Reply)
	reply             func(Coordinator, Reply) (Coordinator, []Order)
	obeysLowerBallots bool // Ranks execute orders with ballots below their fence.
	abortsEarly       bool // Coordinators abort before every rank has replied.
}

var noMutation = mutation{
	name:   "none",
	handle: RankState.Handle,
	reply:  Coordinator.Handle,
}

// Bits of the replies that a coordinator can tell apart.
const (
	bitAsk     = 0 // bitAsk+1: with the decision of an earlier ballot.
	bitPrepare = 2 // Plus the last step begun, up to maxStep.
	bitArm     = 6
	bitLate    = 7
	bitFinish  = 8
	bitCommit  = 9
	bits       = 10
)

// replyBit returns the bit that stands for a reply, or -1 for a refusal, which has no effect other
// than that of a crash of the coordinator.
func replyBit(r Reply) int {
	switch {
	case r.Kind == Arm && r.Late:
		return bitLate
	case !r.OK || r.Kind == Abort:
		return -1
	case r.Kind == Ask && r.State.Decided != Plan{}:
		return bitAsk + 1
	case r.Kind == Ask:
		return bitAsk
	case r.Kind == Prepare:
		return bitPrepare + int(r.State.LastStep)
	case r.Kind == Arm:
		return bitArm
	case r.Kind == Commit && r.Plan.Version != r.Ballot:
		return bitFinish
	}
	return bitCommit
}

// replyFor returns the reply that a bit stands for.
func (w *world) replyFor(b, rank, bit int) Reply {
	r := Reply{Ballot: uint64(b + 1), Rank: rank, OK: true, State: RankState{Fence: uint64(b + 1)}}
	switch {
	case bit == bitAsk || bit == bitAsk+1:
		r.Kind = Ask
		if bit == bitAsk+1 {
			r.State.Decided = w.earlierDecision(b)
		}
	case bit < bitArm:
		r.Kind, r.State.LastStep = Prepare, uint64(bit-bitPrepare)
	case bit == bitArm || bit == bitLate:
		r.Kind, r.OK, r.Late = Arm, bit == bitArm, bit == bitLate
	default:
		r.Kind = Commit
	}
	r.Plan = w.sentPlans[b][r.Kind]
	if bit == bitFinish {
		r.Plan = w.coordinators[b].NewestDecision
	}
	return r
}

// earlierDecision returns the decision of a ballot below b; with two ballots there is at most one.
func (w *world) earlierDecision(b int) (p Plan) {
	for earlier := range b {
		if w.hasSent[earlier][Commit] {
			p = w.sentPlans[earlier][Commit]
		}
	}
	return p
}

// rowLen is the size of the part of a key for one rank, keyLen the size of a key.
const (
	rowLen = 8 + 3*ballots
	keyLen = ranks*rowLen + 11*ballots
)

type key [keyLen]byte

// key returns equal keys for worlds that differ only in the numbering of ranks, which are
// interchangeable.
func (w *world) key() (k key) {
	var rows [ranks][rowLen]byte
	for i, r := range w.ranks {
		row := &rows[i]
		copy(row[:], []byte{byte(r.Fence), byte(r.LastStep), byte(r.Map), byte(r.Prepared),
			byte(r.Armed.Version), byte(r.Armed.AtStep), byte(r.Decided.Version), byte(r.Decided.AtStep)})
		for b := range w.coordinators {
			row[8+3*b], row[9+3*b] = byte(w.replies[b][i]), byte(w.replies[b][i]>>8)
			row[10+3*b] = boolByte(w.coordinators[b].Confirmed.Has(i))
		}
		for j := i; j > 0 && bytes.Compare(rows[j][:], rows[j-1][:]) < 0; j-- {
			rows[j], rows[j-1] = rows[j-1], rows[j]
		}
	}
	for i := range rows {
		copy(k[i*rowLen:], rows[i][:])
	}
	for b, c := range w.coordinators {
		copy(k[ranks*rowLen+11*b:], []byte{byte(c.Phase), byte(c.Plan.Version), byte(c.Plan.AtStep),
			byte(c.NewestDecision.Version), byte(c.NewestDecision.AtStep), boolByte(c.DecisionsDiffer), byte(c.HighestStep),
			boolByte(w.hasSent[b][Prepare]), boolByte(w.hasSent[b][Commit]), byte(w.sentPlans[b][Arm].AtStep), boolByte(w.hasSent[b][Abort])})
	}
	return k
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (w *world) send(orders []Order) {
	for _, o := range orders {
		w.sentPlans[o.Ballot-1][o.Kind] = o.Plan
		w.hasSent[o.Ballot-1][o.Kind] = true
	}
}

// acceptedReplies holds the replies that a coordinator still uses, by phase; phaseReplies those that
// confirm the phase itself, of which one per rank counts.
var (
	acceptedReplies = [GivenUp + 1]uint16{Asking: 0x3ff, Finishing: 0x3fc, Preparing: 0x2fc, Arming: 0x2c0, Deciding: 0x200}
	phaseReplies    = [GivenUp + 1]uint16{Asking: 0x3, Finishing: 0x100, Preparing: 0x3c, Arming: 0xc0, Deciding: 0x200}
)

// prune drops replies that have no effect on their coordinator any more.
func (w *world) prune() {
	for b := range w.coordinators {
		c := &w.coordinators[b]
		for r := range ranks {
			w.replies[b][r] &= acceptedReplies[c.Phase]
			if c.Confirmed.Has(r) {
				w.replies[b][r] &^= phaseReplies[c.Phase]
			}
		}
	}
}

// findViolation returns a description of the violation in w, if there is one: two maps in one step.
func (w *world) findViolation() string {
	for a := range w.ranks {
		for b := range a {
			if w.ranks[a].LastStep == w.ranks[b].LastStep && w.ranks[a].Map != w.ranks[b].Map {
				return fmt.Sprintf("step %d runs on maps %d and %d", w.ranks[a].LastStep, w.ranks[a].Map, w.ranks[b].Map)
			}
		}
	}
	return ""
}

// canStep reports whether lock-step and its own promise allow rank r to begin its next step.
func (w *world) canStep(r int) bool {
	for _, other := range w.ranks {
		if other.LastStep < w.ranks[r].LastStep {
			return false
		}
	}
	return w.ranks[r].LastStep < maxStep && w.ranks[r].CanBegin()
}

// deliverOrder delivers an order to a rank and keeps its reply.
func (w *world) deliverOrder(m mutation, o Order) {
	var reply Reply
	w.ranks[o.Rank], reply = m.handle(w.ranks[o.Rank], o)
	if bit := replyBit(reply); bit >= 0 {
		w.replies[o.Ballot-1][o.Rank] |= 1 << bit
	}
}

// deliverReply delivers a reply to its coordinator.
func (w *world) deliverReply(m mutation, b, rank, bit int) {
	c, orders := m.reply(w.coordinators[b], w.replyFor(b, rank, bit))
	w.coordinators[b] = c
	w.send(orders)
}

// successors calls visit with all worlds that follow w by one event.
func (w *world) successors(m mutation, visit func(world)) {
	add := func(change func(*world)) {
		n := *w
		change(&n)
		n.prune()
		visit(n)
	}
	for r := range w.ranks {
		if w.canStep(r) {
			add(func(n *world) { n.ranks[r] = n.ranks[r].BeginStep() })
		}
	}
	for b, c := range w.coordinators {
		if c.Phase == 0 {
			add(func(n *world) {
				n.coordinators[b] = NewCoordinator(uint64(b+1), ranks, 1)
				n.send(n.coordinators[b].UnconfirmedOrders())
			})
		}
		if next, orders, ok := c.AbortSwitch(); ok {
			add(func(n *world) {
				n.coordinators[b] = next
				n.send(orders)
			})
		} else if m.abortsEarly && c.Phase == Asking {
			add(func(n *world) {
				n.coordinators[b].Phase = GivenUp
				n.hasSent[b][Abort] = true
			})
		}
		for kind := Ask; kind < allKinds; kind++ {
			for r := range ranks {
				if w.hasSent[b][kind] && (m.obeysLowerBallots || w.ranks[r].Fence <= uint64(b+1)) {
					o := Order{Kind: kind, Ballot: uint64(b + 1), Rank: r, Plan: w.sentPlans[b][kind]}
					add(func(n *world) { n.deliverOrder(m, o) })
				}
			}
		}
		for r := range ranks {
			for bit := range bits {
				if w.replies[b][r]&(1<<bit) != 0 {
					add(func(n *world) { n.deliverReply(m, b, r, bit) })
				}
			}
		}
	}
}

// search visits all reachable worlds, at most limit, and returns their number and the first violation.
// It calls visit for each.
func search(m mutation, limit int, visit func(*world)) (states int, violation string) {
	start := world{}
	seen := map[key]struct{}{start.key(): {}}
	queue := []world{start}
	for len(queue) > 0 && violation == "" && len(seen) < limit {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		visit(&w)
		w.successors(m, func(n world) {
			if v := n.findViolation(); v != "" {
				violation = v
			}
			k := n.key()
			if _, old := seen[k]; !old {
				seen[k] = struct{}{}
				queue = append(queue, n)
			}
		})
	}
	return len(seen), violation
}

// recovers reports whether the group makes progress once the faults have stopped: a new coordinator
// that reaches every rank completes, all ranks run on its map, and steps continue.
func recovers(w world) bool {
	group := w.ranks
	c := NewCoordinator(ballots+1, ranks, 1)
	orders := c.UnconfirmedOrders()
	for range 100 {
		for _, o := range orders {
			var reply Reply
			group[o.Rank], reply = group[o.Rank].Handle(o)
			c, _ = c.Handle(reply)
		}
		stepAll(&group)
		orders = c.UnconfirmedOrders()
		if c.Phase == Done && group[0].Map == c.Ballot {
			return group[0].LastStep == group[1].LastStep && group[1].Map == group[2].Map
		}
		if c.Phase == TooLate {
			c = NewCoordinator(c.Ballot+1, ranks, 2*c.Margin)
			orders = c.UnconfirmedOrders()
		}
	}
	return false
}

// stepAll has each rank begin one step if lock-step allows it.
func stepAll(group *[ranks]RankState) {
	lowest := min(group[0].LastStep, group[1].LastStep, group[2].LastStep)
	for r := range group {
		if group[r].LastStep == lowest && group[r].CanBegin() {
			group[r] = group[r].BeginStep()
		}
	}
}

// recoverySampling is the number of states of which one is checked for recovery.
const recoverySampling = 16

func TestNoStepRunsOnTwoMaps(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	n, stuck := 0, 0
	states, violation := search(noMutation, 10_000_000, func(w *world) {
		n++
		if n%recoverySampling == 0 && !recovers(*w) {
			stuck++
		}
	})
	t.Logf("%d states searched, recovery run from %d", states, n/recoverySampling)
	g.Expect(violation).To(gomega.BeEmpty())
	g.Expect(stuck).To(gomega.BeZero(), "states from which the group does not recover")
	g.Expect(states).To(gomega.BeNumerically(">", 2_000_000), "the search visits too few states")
}

// mutations are faults of the protocol; the last two were real and were found by the search.
var mutations = []mutation{
	{
		name:   "commit before all have armed",
		handle: RankState.Handle,
		reply: func(c Coordinator, r Reply) (Coordinator, []Order) {
			if c.Phase == Arming && r.Kind == Arm && r.OK {
				for other := range ranks {
					if other != r.Rank {
						c.Confirmed = c.Confirmed.Add(other)
					}
				}
			}
			return c.Handle(r)
		},
	},
	{
		name:              "execute orders of a lower ballot",
		obeysLowerBallots: true,
		handle: func(r RankState, o Order) (RankState, Reply) {
			fence := r.Fence
			r.Fence = 0
			r, reply := r.Handle(o)
			r.Fence = max(fence, r.Fence)
			return r, reply
		},
		reply: Coordinator.Handle,
	},
	{
		name:   "ignore an earlier decision",
		handle: RankState.Handle,
		reply: func(c Coordinator, r Reply) (Coordinator, []Order) {
			r.State.Decided = Plan{}
			return c.Handle(r)
		},
	},
	{
		name:   "ask only a majority",
		handle: RankState.Handle,
		reply: func(c Coordinator, r Reply) (Coordinator, []Order) {
			if c.Phase == Asking && r.Kind == Ask && c.Confirmed != (RankSet{}) && !c.Confirmed.Has(r.Rank) {
				for other := range ranks {
					if other != r.Rank {
						c.Confirmed = c.Confirmed.Add(other)
					}
				}
			}
			return c.Handle(r)
		},
	},
	{
		name:        "abort before every rank has replied",
		handle:      RankState.Handle,
		reply:       Coordinator.Handle,
		abortsEarly: true,
	},
	{
		name: "arm a step that has begun",
		handle: func(r RankState, o Order) (RankState, Reply) {
			if o.Kind != Arm || r.LastStep < o.Plan.AtStep {
				return r.Handle(o)
			}
			begun := r.LastStep
			r.LastStep = o.Plan.AtStep - 1
			r, reply := r.Handle(o)
			r.LastStep = begun
			return r, reply
		},
		reply: Coordinator.Handle,
	},
	{
		name: "arm before the last decision is in force",
		handle: func(r RankState, o Order) (RankState, Reply) {
			if o.Kind != Arm {
				return r.Handle(o)
			}
			decided := r.Decided
			r.Decided.AtStep = 0
			r, reply := r.Handle(o)
			if r.Decided.Version == decided.Version {
				r.Decided = decided
			}
			return r, reply
		},
		reply: Coordinator.Handle,
	},
	{
		name: "cancel an arming when prepare is repeated",
		handle: func(r RankState, o Order) (RankState, Reply) {
			if o.Kind == Prepare && o.Ballot >= r.Fence {
				r.Armed = Plan{}
			}
			return r.Handle(o)
		},
		reply: Coordinator.Handle,
	},
}

func TestSearchFindsFaultsOfTheProtocol(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			states, violation := search(m, 10_000_000, func(*world) {})
			t.Logf("%d states: %s", states, violation)
			g.Expect(violation).NotTo(gomega.BeEmpty())
		})
	}
}
