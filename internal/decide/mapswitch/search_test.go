// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package mapswitch

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// The search visits every state that three ranks and several coordinators can
// reach. An order or reply that was sent may arrive at any later time, any
// number of times or never: that covers loss, delay, reordering, duplication,
// and pauses of ranks and coordinators. A coordinator may stop for ever at any
// point, which is its crash; the next one is its restart. A rank's agent that
// starts anew reads its state back from the engine, so that its crash is a
// pause.
const (
	ranks    = 3
	maxStep  = 3 // Steps beyond this one are not begun.
	ballots  = 2 // Coordinators, each with a ballot of its own.
	allKinds = Abort + 1
)

// world is one state of the group. Orders are not in it: what a coordinator has
// sent follows from sent, and stays on its way for ever. Replies are a set of
// those that may still be delivered.
type world struct {
	ranks   [ranks]RankState
	coords  [ballots]Coordinator
	sent    [ballots][allKinds]Plan // Plan of each kind of order, once sent.
	has     [ballots][allKinds]bool
	replies [ballots][ranks]uint16 // Bits by replyBit.
}

// mutation is a fault put into the protocol; the search must find its harm.
type mutation struct {
	name   string
	handle func(RankState, Order) (RankState, Reply)
	reply  func(Coordinator, Reply) (Coordinator, []Order)
	low    bool // Ranks obey ballots below their fence.
	early  bool // Coordinators give up before they have heard from every rank.
}

var faultless = mutation{
	name:   "none",
	handle: RankState.Handle,
	reply:  Coordinator.Handle,
}

// Bits of the replies that differ for a coordinator.
const (
	bitAsk     = 0 // And bitAsk+1 with the decision of an earlier ballot.
	bitPrepare = 2 // Plus the step begun, up to maxStep.
	bitArm     = 6
	bitLate    = 7
	bitFinish  = 8
	bitCommit  = 9
	bits       = 10
)

// bitOf says which bit stands for a reply, or -1 for a refusal, whose only
// effect is that of a coordinator's crash.
func bitOf(r Reply) int {
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

// replyOf builds the reply that a bit stands for.
func (w *world) replyOf(b, rank, bit int) Reply {
	r := Reply{Ballot: uint64(b + 1), Rank: rank, OK: true, State: RankState{Fence: uint64(b + 1)}}
	switch {
	case bit == bitAsk || bit == bitAsk+1:
		r.Kind = Ask
		if bit == bitAsk+1 {
			r.State.Decided = w.decided(b)
		}
	case bit < bitArm:
		r.Kind, r.State.LastStep = Prepare, uint64(bit-bitPrepare)
	case bit == bitArm || bit == bitLate:
		r.Kind, r.OK, r.Late = Arm, bit == bitArm, bit == bitLate
	default:
		r.Kind = Commit
	}
	r.Plan = w.sent[b][r.Kind]
	if bit == bitFinish {
		r.Plan = w.coords[b].NewestDecision
	}
	return r
}

// decided is the decision of a ballot below b; with two ballots there is one.
func (w *world) decided(b int) (p Plan) {
	for earlier := range b {
		if w.has[earlier][Commit] {
			p = w.sent[earlier][Commit]
		}
	}
	return p
}

// rowLen and keyLen are the sizes of a rank's part of a key and of a key.
const (
	rowLen = 8 + 3*ballots
	keyLen = ranks*rowLen + 11*ballots
)

type key [keyLen]byte

// key is equal for worlds that are equal but for the numbering of ranks, which
// are all alike.
func (w *world) key() (k key) {
	var rows [ranks][rowLen]byte
	for i, r := range w.ranks {
		row := &rows[i]
		copy(row[:], []byte{byte(r.Fence), byte(r.LastStep), byte(r.Map), byte(r.Prepared),
			byte(r.Armed.Version), byte(r.Armed.AtStep), byte(r.Decided.Version), byte(r.Decided.AtStep)})
		for b := range w.coords {
			row[8+3*b], row[9+3*b] = byte(w.replies[b][i]), byte(w.replies[b][i]>>8)
			row[10+3*b] = flag(w.coords[b].Confirmed.Has(i))
		}
		for j := i; j > 0 && bytes.Compare(rows[j][:], rows[j-1][:]) < 0; j-- {
			rows[j], rows[j-1] = rows[j-1], rows[j]
		}
	}
	for i := range rows {
		copy(k[i*rowLen:], rows[i][:])
	}
	for b, c := range w.coords {
		copy(k[ranks*rowLen+11*b:], []byte{byte(c.Phase), byte(c.Plan.Version), byte(c.Plan.AtStep),
			byte(c.NewestDecision.Version), byte(c.NewestDecision.AtStep), flag(c.DecisionsDiffer), byte(c.HighestStep),
			flag(w.has[b][Prepare]), flag(w.has[b][Commit]), byte(w.sent[b][Arm].AtStep), flag(w.has[b][Abort])})
	}
	return k
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (w *world) send(orders []Order) {
	for _, o := range orders {
		w.sent[o.Ballot-1][o.Kind] = o.Plan
		w.has[o.Ballot-1][o.Kind] = true
	}
}

// open is which replies a coordinator still wants, by phase; own is those of
// the phase itself, which count once a rank.
var (
	open = [GivenUp + 1]uint16{Asking: 0x3ff, Finishing: 0x3fc, Preparing: 0x2fc, Arming: 0x2c0, Deciding: 0x200}
	own  = [GivenUp + 1]uint16{Asking: 0x3, Finishing: 0x100, Preparing: 0x3c, Arming: 0xc0, Deciding: 0x200}
)

// prune drops replies that their coordinator has gone past.
func (w *world) prune() {
	for b := range w.coords {
		c := &w.coords[b]
		for r := range ranks {
			w.replies[b][r] &= open[c.Phase]
			if c.Confirmed.Has(r) {
				w.replies[b][r] &^= own[c.Phase]
			}
		}
	}
}

// broken returns the violation in w, if there is one: two maps in one step.
func (w *world) broken() string {
	for a := range w.ranks {
		for b := range a {
			if w.ranks[a].LastStep == w.ranks[b].LastStep && w.ranks[a].Map != w.ranks[b].Map {
				return fmt.Sprintf("step %d runs on maps %d and %d", w.ranks[a].LastStep, w.ranks[a].Map, w.ranks[b].Map)
			}
		}
	}
	return ""
}

// mayStep reports whether lock-step and its own promise let rank r go on.
func (w *world) mayStep(r int) bool {
	for _, other := range w.ranks {
		if other.LastStep < w.ranks[r].LastStep {
			return false
		}
	}
	return w.ranks[r].LastStep < maxStep && w.ranks[r].CanBegin()
}

// deliver gives an order to a rank and keeps its reply.
func (w *world) deliver(m mutation, o Order) {
	var reply Reply
	w.ranks[o.Rank], reply = m.handle(w.ranks[o.Rank], o)
	if bit := bitOf(reply); bit >= 0 {
		w.replies[o.Ballot-1][o.Rank] |= 1 << bit
	}
}

// hear gives a reply to its coordinator.
func (w *world) hear(m mutation, b, rank, bit int) {
	c, orders := m.reply(w.coords[b], w.replyOf(b, rank, bit))
	w.coords[b] = c
	w.send(orders)
}

// next calls visit with all worlds that follow w in one event.
func (w *world) next(m mutation, visit func(world)) {
	add := func(change func(*world)) {
		n := *w
		change(&n)
		n.prune()
		visit(n)
	}
	for r := range w.ranks {
		if w.mayStep(r) {
			add(func(n *world) { n.ranks[r] = n.ranks[r].BeginStep() })
		}
	}
	for b, c := range w.coords {
		if c.Phase == 0 {
			add(func(n *world) {
				n.coords[b] = NewCoordinator(uint64(b+1), ranks, 1)
				n.send(n.coords[b].Resend())
			})
		}
		if next, orders, ok := c.AbortSwitch(); ok {
			add(func(n *world) {
				n.coords[b] = next
				n.send(orders)
			})
		} else if m.early && c.Phase == Asking {
			add(func(n *world) {
				n.coords[b].Phase = GivenUp
				n.has[b][Abort] = true
			})
		}
		for kind := Ask; kind < allKinds; kind++ {
			for r := range ranks {
				if w.has[b][kind] && (m.low || w.ranks[r].Fence <= uint64(b+1)) {
					o := Order{Kind: kind, Ballot: uint64(b + 1), Rank: r, Plan: w.sent[b][kind]}
					add(func(n *world) { n.deliver(m, o) })
				}
			}
		}
		for r := range ranks {
			for bit := range bits {
				if w.replies[b][r]&(1<<bit) != 0 {
					add(func(n *world) { n.hear(m, b, r, bit) })
				}
			}
		}
	}
}

// search visits all reachable worlds, at most limit, and returns how many
// there are and the first violation. visit is called for each.
func search(m mutation, limit int, visit func(*world)) (states int, violation string) {
	start := world{}
	seen := map[key]struct{}{start.key(): {}}
	queue := []world{start}
	for len(queue) > 0 && violation == "" && len(seen) < limit {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		visit(&w)
		w.next(m, func(n world) {
			if v := n.broken(); v != "" {
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

// recovers reports whether the group gets going once the faults have stopped:
// a new coordinator that hears every rank completes, all ranks run on its map,
// and steps go on.
func recovers(w world) bool {
	group := w.ranks
	c := NewCoordinator(ballots+1, ranks, 1)
	orders := c.Resend()
	for range 100 {
		for _, o := range orders {
			var reply Reply
			group[o.Rank], reply = group[o.Rank].Handle(o)
			c, _ = c.Handle(reply)
		}
		stepAll(&group)
		orders = c.Resend()
		if c.Phase == Done && group[0].Map == c.Ballot {
			return group[0].LastStep == group[1].LastStep && group[1].Map == group[2].Map
		}
		if c.Phase == TooLate {
			c = NewCoordinator(c.Ballot+1, ranks, 2*c.Margin)
			orders = c.Resend()
		}
	}
	return false
}

// stepAll lets each rank begin one step if all others let it.
func stepAll(group *[ranks]RankState) {
	low := min(group[0].LastStep, group[1].LastStep, group[2].LastStep)
	for r := range group {
		if group[r].LastStep == low && group[r].CanBegin() {
			group[r] = group[r].BeginStep()
		}
	}
}

// recoverEvery is how many states go by for each from which recovery is run.
const recoverEvery = 16

func TestNoStepRunsOnTwoMaps(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	n, stuck := 0, 0
	states, violation := search(faultless, 10_000_000, func(w *world) {
		n++
		if n%recoverEvery == 0 && !recovers(*w) {
			stuck++
		}
	})
	t.Logf("%d states searched, recovery run from %d", states, n/recoverEvery)
	g.Expect(violation).To(gomega.BeEmpty())
	g.Expect(stuck).To(gomega.BeZero(), "states from which the group does not get going")
	g.Expect(states).To(gomega.BeNumerically(">", 2_000_000), "the search has become shallow")
}

// mutations are faults of the protocol; the last two were in it and were found
// by the search.
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
		name: "obey a lower ballot",
		low:  true,
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
		name:   "ask a majority only",
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
		name:   "give up before every rank was heard",
		handle: RankState.Handle,
		reply:  Coordinator.Handle,
		early:  true,
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
		name: "drop an arming when prepare comes again",
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
