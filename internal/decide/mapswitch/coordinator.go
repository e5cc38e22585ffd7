// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package mapswitch

// Phase is how far a coordinator has come.
type Phase uint8

// The phases.
const (
	Asking    Phase = iota + 1 // Collects the state and the promise of every rank.
	Finishing                  // Commits what an earlier coordinator had decided.
	Preparing                  // Has weights loaded.
	Arming                     // Has the step promised.
	Deciding                   // Tells the decision; it stands, whoever hears it.
	Done                       // Every rank has confirmed the decision.
	Beaten                     // A rank has promised a higher ballot.
	TooLate                    // A rank had begun Plan.At; a higher ballot must ask for a later step.
	GivenUp                    // Nothing was decided and nothing will be under this ballot.
)

// String returns the name of p.
func (p Phase) String() string {
	return [...]string{"none", "asking", "finishing", "preparing", "arming", "deciding", "done", "beaten", "too late", "given up"}[p]
}

// Coordinator drives one switch. Lost orders are sent again by Resend. A
// ballot stands for one plan with one step, so that an order that comes late
// or twice cannot undo a newer one of the same ballot.
type Coordinator struct {
	Ballot          uint64
	Ranks           int
	Phase           Phase
	Plan            Plan    // Of the phase; in Finishing the earlier coordinator's.
	Confirmed       RankSet // Ranks that have confirmed the phase.
	NewestDecision  Plan    // Newest decision seen while Asking.
	DecisionsDiffer bool    // Ranks differ in their newest decision.
	HighestStep     uint64
	Margin          uint64 // Steps between the newest step heard of and Plan.At.
}

// NewCoordinator returns a coordinator that asks all ranks. The ballot must be
// its own and higher than any it has heard of; the new map's version is the
// ballot.
func NewCoordinator(ballot uint64, ranks int, margin uint64) Coordinator {
	return Coordinator{Ballot: ballot, Ranks: ranks, Phase: Asking, Margin: max(margin, 1)}
}

// Resend returns the orders of the present phase to the ranks that have not
// confirmed it.
func (c Coordinator) Resend() (orders []Order) {
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

// Ended reports whether the coordinator has ended, well or not.
func (c Coordinator) Ended() bool {
	return c.Phase == Done || c.Phase == Beaten || c.Phase == TooLate || c.Phase == GivenUp
}

// AbortSwitch ends a switch that is not decided and returns the orders that free the
// ranks that hold for it. Only a coordinator that has heard from every rank
// knows that there is no earlier decision that an Abort could undo; before that,
// and once it has decided, it cannot give up and ok is false.
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

// enter begins a phase and returns its orders.
func (c Coordinator) enter(p Phase, plan Plan) (Coordinator, []Order) {
	c.Phase, c.Plan, c.Confirmed = p, plan, RankSet{}
	return c, c.Resend()
}

// Handle takes in a reply and returns the orders that follow from it.
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
		return c.asked(r)
	case c.Phase == Finishing && r.Kind == Commit && r.OK && r.Plan == c.Plan:
		return c.confirmed(r.Rank)
	case c.Phase == Preparing && r.Kind == Prepare && r.OK:
		c.HighestStep = max(c.HighestStep, r.State.LastStep)
		return c.confirmed(r.Rank)
	case c.Phase == Arming && r.Kind == Arm && r.Plan == c.Plan && r.Late:
		c.Phase = TooLate
		return c, nil
	case c.Phase == Arming && r.Kind == Arm && r.Plan == c.Plan && r.OK:
		return c.confirmed(r.Rank)
	case c.Phase == Deciding && r.Kind == Commit && r.OK && r.Plan == c.Plan:
		return c.confirmed(r.Rank)
	}
	return c, nil
}

// asked takes in a rank's state. A decision that some ranks have and others
// lack is finished before anything else.
func (c Coordinator) asked(r Reply) (Coordinator, []Order) {
	if c.Confirmed != (RankSet{}) && r.State.Decided != c.NewestDecision {
		c.DecisionsDiffer = true
	}
	if r.State.Decided.Version > c.NewestDecision.Version {
		c.NewestDecision = r.State.Decided
	}
	return c.confirmed(r.Rank)
}

// confirmed notes a rank and goes on when all have confirmed.
func (c Coordinator) confirmed(rank int) (Coordinator, []Order) {
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
