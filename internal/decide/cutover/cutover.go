// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package cutover brings a new expert map into force on all ranks of a group
// as one pass begins, over engines that take orders one by one, may lose the
// answer of any of them and may carry any of them out much later. It is a pure
// state machine: it returns the orders to be sent and takes in what became of
// each.
//
// What makes it safe:
//
//   - A hold at one rank keeps the pass from beginning. It is let go only when
//     every rank is known to be armed for that pass, or every rank is known not
//     to be.
//   - The first orders of a leader raise the fence at every rank, so that no
//     order of an earlier leader can be carried out any more, however late.
//   - To give up, the fence is raised again before anything else: an arming
//     whose answer was lost can no longer happen behind the leader's back.
//   - Versions and passes are never used twice.
//   - A leader arms its own rank last, has the rank at which it holds passes do so
//     for it, and holds them at another rank than its own: an instance that freezes
//     takes its process and the way to its engine with it. Should it freeze with a
//     hold standing, the hold can be reached; its own rank is not armed as long as
//     one of the others is not, and else the holder knows.
package cutover

import "github.com/canvaspulley/canvaspulley/internal/rank"

// Phase is how far a Machine has come.
type Phase int

// The phases.
const (
	Fencing   Phase = iota // Raises the fence at every rank.
	Settling               // Waits for reports of all ranks that fit together.
	Clearing               // Takes back what an earlier leader armed.
	Releasing              // Lets go of holds that were left behind.
	Ready                  // Nothing is under way.
	Preparing              // Has the experts copied.
	Holding                // Stops the group before the pass.
	Arming                 // Has every rank take the map at that pass.
	Going                  // Lets the group go on, with the new map.
	Undoing                // Takes back every arming, under a higher fence.
	Freeing                // Lets the group go on, with the old map.
	Deposed                // A rank has seen a higher fence.
)

// String returns the name of p.
func (p Phase) String() string {
	return [...]string{"fencing", "settling", "clearing", "releasing", "ready", "preparing",
		"holding", "arming", "going", "undoing", "freeing", "deposed"}[p]
}

// Machine drives the map of one group in one epoch. The zero value is of no
// use; New makes one.
type Machine struct {
	Ranks          int
	Self           int
	absence        Absence
	Epoch          uint64
	Fence          uint64
	Phase          Phase
	Version        uint64 // Of the switch under way.
	Step           uint64 // Pass at which it comes into force.
	HighestVersion uint64 // Highest version heard of.
	done           []bool // Ranks that have confirmed the phase.
	clear          rank.Arming
	held           []uint64 // By rank, what is to be let go.
	layout         [][][]int

	conflicts int  // Holds refused in this switch.
	spent     bool // Version was taken back: an order to do so may still come late, so it is not armed again.

	Completed int // Switches that came into force.
	Aborted   int
}

// NoRank is no rank.
const NoRank = -1

// Absence is what is known of the leader before, if it alone does not answer.
type Absence struct {
	Rank        int         // None when all answer.
	ArmingKnown bool        // Armed is sure, and the rank will not be armed from now on.
	Armed       rank.Arming // Of its own rank; zero when it is not armed.
}

// NoAbsence is absent.
var NoAbsence = Absence{Rank: NoRank}

// Holder returns the rank at which a leader holds passes, and which arms the
// leader's own: the one that leads after it, should it fail.
func Holder(leader int) int {
	if leader == 0 {
		return 1
	}
	return 0
}

// New returns a machine that begins by raising the fence. While a rank is absent,
// it ends what that leader left, as far as it is sure how, and does nothing else.
func New(ranks, self int, absence Absence, epoch, fence uint64) *Machine {
	m := &Machine{Ranks: ranks, Self: self, absence: absence, Epoch: epoch, Fence: fence, held: make([]uint64, ranks)}
	m.enter(Fencing)
	return m
}

func (m *Machine) enter(p Phase) {
	m.Phase = p
	m.done = make([]bool, m.Ranks)
	if m.absence.Rank != NoRank {
		m.done[m.absence.Rank] = true
	}
}

func (m *Machine) all() bool {
	for _, d := range m.done {
		if !d {
			return false
		}
	}
	return true
}

// Next returns the orders that are to be sent now, by rank; those without an
// order have an Op of "".
func (m *Machine) Next() []rank.Order {
	orders := make([]rank.Order, m.Ranks)
	for r := range orders {
		if !m.done[r] && !m.waits(r) {
			orders[r] = m.order(r)
		}
	}
	return orders
}

// waits reports whether a rank's order must wait for those of all others.
func (m *Machine) waits(r int) bool {
	if m.Phase != Arming || r != m.Self {
		return false
	}
	for k, d := range m.done {
		if k != r && !d {
			return true
		}
	}
	return false
}

func (m *Machine) order(r int) rank.Order {
	o := rank.Order{Fence: m.Fence, Epoch: m.Epoch}
	switch m.Phase {
	case Fencing: // Takes nothing back: the version is one that was never armed.
		o.Op, o.Version = rank.Disarm, unusedVersion
	case Clearing:
		o.Op, o.Version = rank.Disarm, m.clear.Version
	case Releasing:
		o.Op, o.Step = rank.Release, m.held[r]
	case Preparing:
		o.Op, o.Version, o.Map = rank.Prepare, m.Version, m.layout
	case Holding:
		o.Op, o.Step = rank.Hold, m.Step
	case Arming:
		o.Op, o.Version, o.Step = rank.Arm, m.Version, m.Step
	case Undoing:
		o.Op, o.Version = rank.Disarm, m.Version
	case Going, Freeing:
		o.Op, o.Step = rank.Release, m.Step
	}
	return o
}

// unusedVersion is never given to a map.
const unusedVersion = 1 << 50

// Handle takes in what became of an order of the present phase.
func (m *Machine) Handle(r int, result rank.Result) {
	if m.Phase == Deposed || m.done[r] {
		return
	}
	switch result {
	case rank.Done:
		m.done[r] = true
	case rank.Fenced:
		m.Phase = Deposed
		return
	case rank.Conflict:
		m.conflict(r)
	case rank.Lost: // It is sent again.
	}
	if m.all() {
		m.advance()
	}
}

// conflict takes in that an order did not fit a rank's state.
func (m *Machine) conflict(r int) {
	switch m.Phase {
	case Fencing, Clearing, Releasing, Going, Freeing:
		// Disarm: the version is in force already. Go: the pass has begun.
		m.done[r] = true
	case Preparing:
		// An order whose answer was lost may have been carried out before; the
		// reports show whether the copies are there.
		m.done[r] = true
	case Holding:
		m.holdLater()
	case Arming:
		m.giveUp()
	case Undoing:
		m.done[r] = true // The rank never armed it.
	}
}

// holdLater tries a later pass, since the one asked for had begun. When that
// does not help either, another hold stands, which the reports will show.
func (m *Machine) holdLater() {
	m.conflicts++
	if m.conflicts > mostConflicts {
		m.Aborted++
		m.enter(Settling)
		return
	}
	m.Step += holdMargin
}

// mostConflicts is how often a later pass is tried.
const mostConflicts = 3

// holdMargin is how many passes later a hold is tried again: the one that has
// begun may be the next one after that asked for.
const holdMargin = 2

func (m *Machine) advance() {
	switch m.Phase {
	case Fencing:
		m.enter(Settling)
	case Clearing:
		m.release()
	case Releasing:
		m.enter(Settling)
	case Preparing:
		m.enter(Settling) // Until the reports show that the copies are there.
	case Holding:
		m.enter(Arming)
	case Arming:
		m.enter(Going)
		m.onlyHolder()
	case Going:
		m.Completed++
		m.enter(Settling)
	case Undoing:
		m.enter(Freeing)
		m.onlyHolder()
	case Freeing:
		m.enter(Settling)
	}
}

// onlyHolder leaves the rank that holds passes as the only one that is asked.
func (m *Machine) onlyHolder() {
	for r := range m.done {
		m.done[r] = r != Holder(m.Self)
	}
}

// release lets go of every hold that was found.
func (m *Machine) release() {
	m.enter(Releasing)
	for r, step := range m.held {
		m.done[r] = step == 0 || r == m.absence.Rank
	}
	if m.all() {
		m.enter(Settling)
	}
}

// Observe takes in reports of all ranks, by rank. It returns false when they
// are not of this machine's epoch, or the group is not open.
func (m *Machine) Observe(reports []rank.Report) bool {
	for i, r := range reports {
		if i == m.absence.Rank {
			continue
		}
		if r.Epoch != m.Epoch || !r.Open {
			return false
		}
		m.HighestVersion = max(m.HighestVersion, r.Map, r.Prepared, r.Armed.Version)
	}
	if m.Phase == Settling || m.Phase == Ready {
		m.settle(reports)
	}
	return true
}

// settle decides what reports that fit together ask for.
func (m *Machine) settle(reports []rank.Report) {
	m.Phase = Settling
	armed, held, asked := 0, 0, m.Ranks
	m.clear = rank.Arming{}
	for r, rep := range reports {
		if r == m.absence.Rank {
			asked--
			continue
		}
		m.held[r] = rep.HeldPass
		if rep.HeldPass != 0 {
			held++
		}
		if rep.Armed.Version != 0 {
			armed++
			m.clear = rep.Armed
		}
	}
	switch {
	case m.absence.Rank != NoRank && !m.mayEnd(armed == asked, held):
		return
	case m.absence.Rank != NoRank && armed == asked && m.absence.Armed != m.clear:
		m.enter(Clearing)
	case armed > 0 && armed < asked && held > 0:
		m.enter(Clearing)
	case armed == asked && held > 0:
		m.release() // All take the map as the pass begins.
	case armed > 0:
		return // The pass is about to begin; later reports show it.
	case held > 0:
		m.release()
	case !m.alike(reports):
		return
	default:
		m.enter(Ready)
	}
}

// mayEnd reports whether it is sure how to end what the absent leader left: a hold
// of its own, and whether its rank is armed.
func (m *Machine) mayEnd(allArmed bool, holds int) bool {
	if holds != 1 || m.held[Holder(m.absence.Rank)] == 0 {
		return false
	}
	return !allArmed || m.absence.ArmingKnown
}

// AbsentRank returns the rank that was absent when the machine was made, or None.
func (m *Machine) AbsentRank() int { return m.absence.Rank }

// alike reports whether all ranks tell the same map.
func (m *Machine) alike(reports []rank.Report) bool {
	for _, r := range reports {
		if r.Map != reports[0].Map {
			return false
		}
	}
	return true
}

// AllPrepared reports whether every rank has the prepared map's experts.
func (m *Machine) AllPrepared(reports []rank.Report) bool {
	for _, r := range reports {
		if r.Prepared != m.Version || m.Version == 0 || m.spent {
			return false
		}
	}
	return true
}

// StartPreparing prepares a map, given by set and rank, from Ready.
func (m *Machine) StartPreparing(version uint64, layout [][][]int) {
	if m.Phase != Ready || version <= m.HighestVersion {
		return
	}
	m.Version, m.layout, m.HighestVersion = version, layout, version
	m.spent = false
	m.enter(Preparing)
}

// SwitchAt brings the prepared map into force at a pass, from Ready.
func (m *Machine) SwitchAt(step uint64) {
	if m.Phase != Ready || m.spent {
		return
	}
	m.Step = max(step, m.Step+1)
	m.conflicts = 0
	m.enter(Holding)
	m.onlyHolder()
}

// Abort takes an arming that does not come to an end back.
func (m *Machine) Abort() {
	switch m.Phase {
	case Preparing:
		m.Aborted++
		m.enter(Settling)
	case Holding: // A hold whose answer was lost may stand: it is let go.
		m.Aborted++
		m.enter(Freeing)
		m.onlyHolder()
	case Arming:
		m.giveUp()
	}
}

func (m *Machine) giveUp() {
	m.Aborted++
	m.spent = true
	m.Fence++ // Armings that are still on their way are refused from here on.
	m.enter(Undoing)
}
