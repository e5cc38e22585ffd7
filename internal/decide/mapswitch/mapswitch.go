// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package mapswitch changes the expert map of a group whose ranks advance in lock-step, without
// stopping the group and without ever running a step on two maps. It consists of two pure state
// machines, the rank's and the coordinator's, made of comparable values, so that a test can search all
// their states.
//
// A switch needs every rank, never just a majority: prepare (load the weights), arm (promise not to
// begin step S without a decision), commit (switch at S). A rank without a decision holds at S, and
// lock-step makes the others wait. Several coordinators may be active at once: each begins by asking
// all ranks with a ballot of its own, and a rank executes no order with a ballot lower than the
// highest that it has answered.
package mapswitch

// MaxRanks is the largest group.
const MaxRanks = 256

// RankSet is a set of ranks, as a bitmap.
type RankSet [MaxRanks / 64]uint64

// Add returns s with rank r in it.
func (s RankSet) Add(r int) RankSet {
	s[r/64] |= 1 << (r % 64)
	return s
}

// Has reports whether rank r is in s.
func (s RankSet) Has(r int) bool { return s[r/64]&(1<<(r%64)) != 0 }

// Full reports whether all ranks below n are in s.
func (s RankSet) Full(n int) bool {
	for r := range n {
		if !s.Has(r) {
			return false
		}
	}
	return true
}

// Plan is a map version and the step at which it comes into force. Versions are ballots and therefore
// unique: no two coordinators give one version to different maps.
type Plan struct {
	Version uint64 `json:"version"`
	AtStep  uint64 `json:"at"`
}

// Kind is the kind of an order.
type Kind uint8

// The orders.
const (
	Ask     Kind = iota + 1 // Promise the ballot and report the state.
	Prepare                 // Load the weights of Plan.Version; cancels an older arming.
	Arm                     // Promise to begin no step >= Plan.AtStep without a decision.
	Commit                  // Switch to Plan.Version at Plan.AtStep.
	Abort                   // Cancel an arming.
)

// String returns the name of k.
func (k Kind) String() string {
	return [...]string{"none", "ask", "prepare", "arm", "commit", "abort"}[k]
}

// Order is sent from a coordinator to one rank.
type Order struct {
	Kind   Kind   `json:"kind"`
	Ballot uint64 `json:"ballot"`
	Rank   int    `json:"rank"`
	Plan   Plan   `json:"plan"`
}

// Reply is the answer to an order.
type Reply struct {
	Kind   Kind      `json:"kind"`
	Ballot uint64    `json:"ballot"`
	Rank   int       `json:"rank"`
	OK     bool      `json:"ok"`             // The order was executed.
	Late   bool      `json:"late,omitempty"` // An Arm order arrived after Plan.AtStep had begun.
	Plan   Plan      `json:"plan"`           // Plan of the order.
	State  RankState `json:"state"`          // State after the order.
}

// RankState is the state that a rank must not lose. It is stored in the engine, so that a restarted
// agent reads it back.
type RankState struct {
	Fence    uint64 `json:"fence"`    // Highest ballot promised.
	LastStep uint64 `json:"begun"`    // Highest step that the rank has begun.
	Map      uint64 `json:"map"`      // Version in force at LastStep.
	Prepared uint64 `json:"prepared"` // Version whose weights are loaded in addition.
	Armed    Plan   `json:"armed"`    // Zero when not armed.
	Decided  Plan   `json:"decided"`  // Newest committed plan.
}

// Handle executes or refuses an order, and returns the state after it and the reply. An order with a
// ballot lower than Fence is refused. Any other order raises Fence, even if it is then refused.
func (r RankState) Handle(o Order) (RankState, Reply) {
	reply := Reply{Kind: o.Kind, Ballot: o.Ballot, Rank: o.Rank, Plan: o.Plan}
	if o.Ballot >= r.Fence {
		r.Fence = o.Ballot
		r, reply.OK, reply.Late = r.execute(o)
	}
	reply.State = r
	return r, reply
}

// execute executes an order whose ballot is high enough. ok is false when the order does not fit the
// state; late is true when it is an Arm order for a step that has begun.
func (r RankState) execute(o Order) (next RankState, ok, late bool) {
	switch o.Kind {
	case Ask:
		return r, true, false
	case Prepare:
		if r.Prepared != o.Plan.Version { // A repeated Prepare must not undo the arming that followed the first.
			r.Armed = Plan{}
			r.Prepared = o.Plan.Version
		}
		return r, true, false
	case Arm:
		return r.arm(o.Plan)
	case Commit:
		return r.commit(o.Plan)
	case Abort:
		r.Armed = Plan{}
		return r, true, false
	}
	return r, false, false
}

// arm executes an Arm order. A plan that is already armed or decided is confirmed again. The order is
// refused when the weights of the plan are not loaded, or an earlier decision is not yet in force.
func (r RankState) arm(p Plan) (next RankState, ok, late bool) {
	switch {
	case r.Armed == p || r.Decided == p:
		return r, true, false
	case r.Prepared != p.Version:
		return r, false, false
	case r.LastStep < r.Decided.AtStep:
		return r, false, false // A decision must come into force before the next one is armed.
	case r.LastStep >= p.AtStep:
		return r, false, true
	}
	r.Armed = p
	return r, true, false
}

// commit executes a Commit order. A plan that is already decided is confirmed again. A plan that is
// not armed is refused; late is always false.
func (r RankState) commit(p Plan) (next RankState, ok, late bool) {
	if r.Decided == p {
		return r, true, false
	}
	if r.Armed != p {
		return r, false, false
	}
	r.Armed, r.Decided = Plan{}, p
	return r, true, false
}

// CanBegin reports whether the rank's own promises allow it to begin the next step.
func (r RankState) CanBegin() bool {
	return r.Armed == Plan{} || r.LastStep+1 < r.Armed.AtStep
}

// BeginStep returns the state after the rank has begun the next step, on the map in force at that
// step.
func (r RankState) BeginStep() RankState {
	r.LastStep++
	if r.Decided.Version != 0 && r.LastStep >= r.Decided.AtStep {
		r.Map = r.Decided.Version
	}
	return r
}
