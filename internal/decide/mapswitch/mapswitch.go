// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package mapswitch changes the expert map of a group whose ranks advance in
// lock-step, without stopping the group and so that no step ever runs on two
// maps. It is two pure state machines, the rank's and the coordinator's, made
// of comparable values, so that a test can search all their states.
//
// A switch needs every rank, never a majority: prepare (load the weights), arm
// (promise not to begin step S without a decision), commit (switch at S). A
// rank without a decision holds at S, and lock-step makes the others wait. Any
// number of coordinators may be at work: each begins by asking all ranks with
// a ballot of its own, and a rank obeys no ballot lower than the highest it
// has answered.
package mapswitch

// MaxRanks is the largest group.
const MaxRanks = 256

// RankSet is a set of ranks.
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

// Plan is a map and the step at which it comes into force. Versions are ballots
// and so unique: no two coordinators give one version to different maps.
type Plan struct {
	Version uint64 `json:"version"`
	AtStep  uint64 `json:"at"`
}

// Kind is what an order asks for.
type Kind uint8

// The orders.
const (
	Ask     Kind = iota + 1 // Promise the ballot and tell the state.
	Prepare                 // Load the weights of Plan.Version; drops an older arming.
	Arm                     // Promise to begin no step >= Plan.At without a decision.
	Commit                  // Switch to Plan.Version at Plan.At.
	Abort                   // Drop an arming.
)

// String returns the name of k.
func (k Kind) String() string {
	return [...]string{"none", "ask", "prepare", "arm", "commit", "abort"}[k]
}

// Order goes from a coordinator to one rank.
type Order struct {
	Kind   Kind   `json:"kind"`
	Ballot uint64 `json:"ballot"`
	Rank   int    `json:"rank"`
	Plan   Plan   `json:"plan"`
}

// Reply answers an order.
type Reply struct {
	Kind   Kind      `json:"kind"`
	Ballot uint64    `json:"ballot"`
	Rank   int       `json:"rank"`
	OK     bool      `json:"ok"`             // The order was obeyed.
	Late   bool      `json:"late,omitempty"` // An Arm came after Plan.At had begun.
	Plan   Plan      `json:"plan"`           // Of the order.
	State  RankState `json:"state"`          // After the order.
}

// RankState is what one rank must not forget. It lives in the engine, so that an
// agent that starts anew reads it back.
type RankState struct {
	Fence    uint64 `json:"fence"`    // Highest ballot promised.
	LastStep uint64 `json:"begun"`    // Highest step begun.
	Map      uint64 `json:"map"`      // Version in force at step Begun.
	Prepared uint64 `json:"prepared"` // Version whose weights are loaded besides.
	Armed    Plan   `json:"armed"`    // Zero when not armed.
	Decided  Plan   `json:"decided"`  // Newest committed plan.
}

// Handle obeys or refuses an order.
func (r RankState) Handle(o Order) (RankState, Reply) {
	reply := Reply{Kind: o.Kind, Ballot: o.Ballot, Rank: o.Rank, Plan: o.Plan}
	if o.Ballot >= r.Fence {
		r.Fence = o.Ballot
		r, reply.OK, reply.Late = r.obey(o)
	}
	reply.State = r
	return r, reply
}

func (r RankState) obey(o Order) (next RankState, ok, late bool) {
	switch o.Kind {
	case Ask:
		return r, true, false
	case Prepare:
		if r.Prepared != o.Plan.Version { // One that comes again must not undo the arming that followed.
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

func (r RankState) arm(p Plan) (next RankState, ok, late bool) {
	switch {
	case r.Armed == p || r.Decided == p:
		return r, true, false
	case r.Prepared != p.Version:
		return r, false, false
	case r.LastStep < r.Decided.AtStep:
		return r, false, false // One decision comes into force before the next is armed.
	case r.LastStep >= p.AtStep:
		return r, false, true
	}
	r.Armed = p
	return r, true, false
}

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

// CanBegin reports whether the rank's own promises let it begin the next step.
func (r RankState) CanBegin() bool {
	return r.Armed == Plan{} || r.LastStep+1 < r.Armed.AtStep
}

// BeginStep begins the next step and returns the map that it runs on.
func (r RankState) BeginStep() RankState {
	r.LastStep++
	if r.Decided.Version != 0 && r.LastStep >= r.Decided.AtStep {
		r.Map = r.Decided.Version
	}
	return r
}
