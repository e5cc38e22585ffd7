// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package mapswitch

// Phase is a phase of a coordinator.
type Phase uint8

// The phases.
const (
	Asking    Phase = iota + 1 // Collecting the state and the promise of every rank.
	Finishing                  // Committing what an earlier coordinator decided.
	Preparing                  // Having every rank load the weights.
	Arming                     // Having every rank promise not to begin the step.
	Deciding                   // Sending the decision, which is final whether or not it arrives.
	Done                       // Every rank has confirmed the decision.
	Beaten                     // A rank has promised a higher ballot.
	TooLate                    // A rank had already begun Plan.AtStep; a higher ballot must choose a later step.
	GivenUp                    // Aborted: nothing was or will be decided under this ballot.
)

// String returns the name of p.
func (p Phase) String() string {
	return [...]string{"none", "asking", "finishing", "preparing", "arming", "deciding", "done", "beaten", "too late", "given up"}[p]
}

// Coordinator drives one switch. Orders may be lost; UnconfirmedOrders returns them to be sent again.
// A ballot stands for one plan with one step, so that a late or duplicate order cannot undo a newer
// order of the same ballot.
type Coordinator struct {
	Ballot          uint64
	Ranks           int // Number of ranks of the group.
	Phase           Phase
	Plan            Plan    // Plan of the phase; in Finishing the earlier coordinator's.
	Confirmed       RankSet // Ranks that have confirmed the current phase.
	NewestDecision  Plan    // Newest decision reported while Asking.
	DecisionsDiffer bool    // Ranks reported different newest decisions.
	HighestStep     uint64  // Highest step that any rank has begun, from the replies to Prepare.
	Margin          uint64  // Steps from HighestStep to Plan.AtStep.
}

// NewCoordinator returns a coordinator that asks all ranks. The ballot must be unique to this
// coordinator and higher than any that it knows of; it is also the version of the new map.
func NewCoordinator(ballot uint64, ranks int, margin uint64) Coordinator {
	return Coordinator{Ballot: ballot, Ranks: ranks, Phase: Asking, Margin: max(margin, 1)}
}

// UnconfirmedOrders returns the orders of the current phase to the ranks that have not confirmed it,
// to be sent for the first time or again.
func (c Coordinator) UnconfirmedOrders() (orders []Order) {
	kind := map[Phase]Kind{Asking: Ask, Finishing: Commit, Preparing: Prepare, Arming: Arm, Deciding: Commit}[c.Phase]
	if kind == 0 {
		return nil
	}
	for r := range c.Ranks {
		if !c.Confirmed.Has(r) {
			orders = append(orders, Order{Kind: kind, Ballot: c.Ballot, Rank: r, Plan: c.Plan})
		}
	}
	return orders
}

// Ended reports whether the coordinator has ended, successfully or not.
func (c Coordinator) Ended() bool {
	return c.Phase == Done || c.Phase == Beaten || c.Phase == TooLate || c.Phase == GivenUp
}

// AbortSwitch ends an undecided switch and returns the orders that release the ranks that hold for it.
// It is possible only while Preparing or Arming; otherwise ok is false. Before Preparing, the
// coordinator lacks the state of some ranks or finishes an earlier decision, which an Abort order
// could undo. After Arming, it has decided.
func (c Coordinator) AbortSwitch() (next Coordinator, orders []Order, ok bool) {
	if c.Phase != Preparing && c.Phase != Arming {
		return c, nil, false
	}
	c.Phase = GivenUp
	for r := range c.Ranks {
		orders = append(orders, Order{Kind: Abort, Ballot: c.Ballot, Rank: r})
	}
	return c, orders, true
}

// enter begins a phase, which no rank has confirmed yet, and returns its orders to all ranks.
func (c Coordinator) enter(p Phase, plan Plan) (Coordinator, []Order) {
	c.Phase, c.Plan, c.Confirmed = p, plan, RankSet{}
	return c, c.UnconfirmedOrders()
}

// Handle takes in a reply. It returns the coordinator after the reply and the orders to send. Any
// reply that shows a higher fence ends the coordinator as Beaten, a late reply to Arm as TooLate.
// Otherwise, replies to another ballot or phase, refusals, and repeated confirmations change nothing.
func (c Coordinator) Handle(r Reply) (Coordinator, []Order) {
	if c.Ended() {
		return c, nil
	}
	if r.State.Fence > c.Ballot {
		c.Phase = Beaten
		return c, nil
	}
	if r.Ballot != c.Ballot || c.Confirmed.Has(r.Rank) {
		return c, nil
	}
	switch {
	case c.Phase == Asking && r.Kind == Ask && r.OK:
		return c.recordState(r)
	case c.Phase == Finishing && r.Kind == Commit && r.OK && r.Plan == c.Plan:
		return c.confirm(r.Rank)
	case c.Phase == Preparing && r.Kind == Prepare && r.OK:
		c.HighestStep = max(c.HighestStep, r.State.LastStep)
		return c.confirm(r.Rank)
	case c.Phase == Arming && r.Kind == Arm && r.Plan == c.Plan && r.Late:
		c.Phase = TooLate
		return c, nil
	case c.Phase == Arming && r.Kind == Arm && r.Plan == c.Plan && r.OK:
		return c.confirm(r.Rank)
	case c.Phase == Deciding && r.Kind == Commit && r.OK && r.Plan == c.Plan:
		return c.confirm(r.Rank)
	}
	return c, nil
}

// recordState records the state of a rank, and whether the newest decisions of the ranks differ. A
// decision that some ranks have and others lack is finished before anything else.
func (c Coordinator) recordState(r Reply) (Coordinator, []Order) {
	if c.Confirmed != (RankSet{}) && r.State.Decided != c.NewestDecision {
		c.DecisionsDiffer = true
	}
	if r.State.Decided.Version > c.NewestDecision.Version {
		c.NewestDecision = r.State.Decided
	}
	return c.confirm(r.Rank)
}

// confirm records that a rank has confirmed the phase, and enters the next phase once all have.
func (c Coordinator) confirm(rank int) (Coordinator, []Order) {
	c.Confirmed = c.Confirmed.Add(rank)
	if !c.Confirmed.Full(c.Ranks) {
		return c, nil
	}
	switch c.Phase {
	case Asking:
		if c.DecisionsDiffer {
			return c.enter(Finishing, c.NewestDecision)
		}
		return c.enter(Preparing, Plan{Version: c.Ballot})
	case Finishing:
		return c.enter(Preparing, Plan{Version: c.Ballot})
	case Preparing:
		return c.enter(Arming, Plan{Version: c.Ballot, AtStep: c.HighestStep + c.Margin})
	case Arming:
		return c.enter(Deciding, c.Plan)
	default:
		c.Phase = Done
		return c, nil
	}
}
