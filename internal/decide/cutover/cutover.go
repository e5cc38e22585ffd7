// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package cutover switches all ranks of a group to a new expert map at the start of one forward pass.
// It does so over engines that take orders one by one, may lose the answer to any order, and may carry
// out any order much later. It is a pure state machine: it returns the orders to send and takes in
// their results.
//
// The protocol is safe for these reasons:
//
//   - A hold at one rank keeps the group's next pass from beginning. It is released only when every
//     rank is known to be armed for that pass, or every rank is known not to be.
//   - The first orders of a leader raise the fence at every rank, so that no order of an earlier
//     leader can be carried out any more, however late.
//   - To abort, the leader first raises the fence again: an arming whose answer was lost can then no
//     longer take effect.
//   - A version stands for one map. Other ranks get it only after the leader's own engine has accepted
//     it as new, which it does once (see version.go). Passes are never used twice, and a pass whose
//     hold a leader may have released is not held by it again: that release may still arrive.
//   - A leader arms its own rank last, through the rank that holds passes for it (the holder), which
//     is never its own rank: an instance that freezes or is cut off takes both its process and its
//     engine along. If that happens while a hold stands, the hold can still be released at the holder.
//   - The arming of the leader's own rank commits the switch: no rank is disarmed while all are armed.
//     A leader that doesn't know whether its own rank was armed raises the fence and reads the state of
//     all ranks, as after a takeover. So whoever has seen all ranks armed under a hold may release it,
//     whatever the leader does that none of them reaches.
//   - Where the leader's rank doesn't answer, it is armed only if all others are, and in that case the
//     holder knows whether it is. This holds for a version that this leader made: another leader's
//     arming may have reached it first, and is left until it answers.
package cutover

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// Phase is a phase of a Machine.
type Phase int

// The phases.
const (
	Fencing   Phase = iota // Raising the fence at every rank.
	Settling               // Waiting for consistent reports of all ranks.
	Clearing               // Disarming what an earlier leader armed.
	Releasing              // Releasing holds that an earlier leader or an aborted switch left.
	Ready                  // No switch in progress.
	Claiming               // Having the own rank accept the new map, and thereby its version, before all others.
	Preparing              // Having every other rank copy the new map's experts.
	Holding                // Holding the group before the pass.
	Arming                 // Arming every rank to take the map at that pass.
	Going                  // Releasing the hold; the new map comes into force.
	Undoing                // Aborting: disarming every rank under a higher fence.
	Freeing                // Releasing the hold; the old map remains.
	Deposed                // A rank has seen a higher fence: another leader has taken over.
)

// String returns the name of p.
func (p Phase) String() string {
	return [...]string{"fencing", "settling", "clearing", "releasing", "ready", "claiming", "preparing",
		"holding", "arming", "going", "undoing", "freeing", "deposed"}[p]
}

// Machine drives the map switches of one group in one epoch. Use New to make one.
type Machine struct {
	Ranks          int // Number of ranks of the group.
	Self           int // Rank of the leader that drives this machine.
	absent         Absence
	Epoch          uint64
	Fence          uint64 // Fence of this leader's orders; a rank refuses orders below the highest fence that it has seen.
	Phase          Phase
	Version        uint64      // Version of the map being prepared or switched to; 0 for none.
	Step           uint64      // Pass at which the new map comes into force, or that a rank has held; never decreases.
	HighestVersion uint64      // Highest version reported by any rank or used by this leader.
	refusals       int         // Versions in series that some rank has refused; 0 once a map was prepared everywhere.
	refused        []bool      // By rank, whether it refused to prepare Version.
	confirmed      []bool      // By rank, whether it has confirmed the phase or needs no order.
	toDisarm       rank.Arming // Arming that some rank last reported; zero for none.
	holds          []uint64    // By rank, the pass that it holds; 0 for none.
	layout         [][][]int   // The new map: experts by set and rank.

	// absenceResolved is set once the state of the absent rank follows from the reports. It stays valid:
	// all other ranks have the fence, and the absent rank is not armed without them.
	absenceResolved bool

	holdConflicts  int  // Conflicts on the hold order in this switch.
	ownRequested   bool // In this switch, the own rank may have been armed.
	versionRetired bool // Version was disarmed: that order may still arrive late, so Version is not armed again.

	Completed int // Number of switches that came into force.
	Aborted   int // Number of aborted switches.
}

// NoRank stands for no rank.
const NoRank = -1

// Absence is what is known of the previous leader when its rank is the only one that does not
// answer.
type Absence struct {
	Rank        int         // Rank of the previous leader; NoRank when all ranks answer.
	ArmingKnown bool        // Armed is certain, and that rank will not be armed any more.
	Armed       rank.Arming // Arming of that rank; zero when it is not armed.
}

// NoAbsence means that all ranks answer.
var NoAbsence = Absence{Rank: NoRank}

// Holder returns the holder of a leader: the rank at which the leader holds passes, and through which
// it arms its own rank. The holder takes over the lead if the leader fails.
func Holder(leader int) int {
	if leader == 0 {
		return 1
	}
	return 0
}

// New returns a machine that begins by raising the fence. If the previous leader's rank is absent, the
// machine starts no switch. It only cleans up what that leader left, and only where it is certain how.
func New(ranks, self int, absence Absence, epoch, fence uint64) *Machine {
	m := &Machine{Ranks: ranks, Self: self, absent: absence, Epoch: epoch, Fence: fence, holds: make([]uint64, ranks)}
	m.enter(Fencing)
	return m
}

// enter begins a phase, which no rank has confirmed yet. An absent rank needs no order, nor do ranks
// other than the own one in the phase Claiming.
func (m *Machine) enter(p Phase) {
	m.Phase = p
	m.confirmed = make([]bool, m.Ranks)
	for r := range m.confirmed {
		m.confirmed[r] = p == Claiming && r != m.Self
	}
	if m.absent.Rank != NoRank {
		m.confirmed[m.absent.Rank] = true
	}
}

// allConfirmed reports whether every rank has confirmed the phase or needs no order.
func (m *Machine) allConfirmed() bool {
	for _, done := range m.confirmed {
		if !done {
			return false
		}
	}
	return true
}

// Next returns the orders to send now, by rank, including those sent before and not yet confirmed. The
// Op is "" for ranks without an order. All returned orders count as sent.
func (m *Machine) Next() []rank.Order {
	orders := make([]rank.Order, m.Ranks)
	for r := range orders {
		if m.confirmed[r] || m.mustWait(r) {
			continue
		}
		orders[r] = m.order(r)
		m.ownRequested = m.ownRequested || m.Phase == Arming && r == m.Self
	}
	return orders
}

// mustWait reports whether a rank's order must wait until all others have confirmed. Only the leader's
// own rank ever waits, since it is armed last.
func (m *Machine) mustWait(r int) bool {
	if m.Phase != Arming || r != m.Self {
		return false
	}
	for k, done := range m.confirmed {
		if k != r && !done {
			return true
		}
	}
	return false
}

// order returns the order of the current phase to a rank. Its Op is "" in phases without orders.
func (m *Machine) order(r int) rank.Order {
	o := rank.Order{Fence: m.Fence, Epoch: m.Epoch}
	switch m.Phase {
	case Fencing:
		return FenceOrder(m.Fence, m.Epoch)
	case Clearing:
		o.Op, o.Version = rank.Disarm, m.toDisarm.Version
	case Releasing:
		o.Op, o.Step = rank.Release, m.holds[r]
	case Claiming, Preparing:
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

// Handle takes in the result of an order of the current phase, and enters the next phase once every
// rank has confirmed. Results of ranks that have confirmed already are ignored.
func (m *Machine) Handle(r int, result rank.Result) {
	if m.Phase == Deposed || m.confirmed[r] {
		return
	}
	if m.Phase == Claiming && result != rank.Begun && result != rank.Fenced {
		m.handleUnclaimed(result)
		return
	}
	switch result {
	case rank.Begun, rank.Done:
		m.confirmed[r] = true
	case rank.Fenced:
		m.Phase = Deposed
		return
	case rank.Conflict:
		m.handleConflict(r)
	case rank.Lost: // The order is sent again.
	}
	if m.allConfirmed() {
		m.advance()
	}
}

// handleConflict handles an order that did not fit the state of a rank.
func (m *Machine) handleConflict(r int) {
	switch m.Phase {
	case Fencing, Clearing, Releasing, Going, Freeing:
		// Disarm: the version is in force already. Release: the pass has begun.
		m.confirmed[r] = true
	case Preparing:
		// The order may have been carried out before, and its answer lost. The reports show whether the
		// experts have been copied: no other map has this version.
		m.confirmed[r], m.refused[r] = true, true
	case Holding:
		m.retryHoldLater()
	case Arming:
		m.abortArming()
	case Undoing:
		m.confirmed[r] = true // The rank was never armed.
	}
}

// retryHoldLater moves the hold to a later pass, since the requested pass had already begun. If
// maxHoldConflicts later passes fail too, another hold stands: the switch is aborted, and the reports
// will show that hold.
func (m *Machine) retryHoldLater() {
	m.holdConflicts++
	if m.holdConflicts > maxHoldConflicts {
		m.Aborted++
		m.enter(Settling)
		return
	}
	m.Step += holdRetryOffset
}

// maxHoldConflicts is the number of times that a later pass is tried in one switch.
const maxHoldConflicts = 3

// holdRetryOffset is the number of passes by which a refused hold is moved: the pass that has begun
// may be the one after the requested pass.
const holdRetryOffset = 2

// advance enters the phase that follows the current one when all ranks have confirmed.
func (m *Machine) advance() {
	switch m.Phase {
	case Fencing:
		m.enter(Settling)
	case Clearing:
		m.enterReleasing()
	case Releasing:
		m.enter(Settling)
	case Claiming:
		m.enter(Preparing)
		m.confirmed[m.Self] = true
	case Preparing:
		m.enter(Settling) // Until the reports show that the experts have been copied.
	case Holding:
		m.enter(Arming)
	case Arming:
		m.enter(Going)
		m.askOnlyHolder()
	case Going:
		m.Completed++
		m.enter(Settling)
	case Undoing:
		m.enter(Freeing)
		m.askOnlyHolder()
	case Freeing:
		m.enter(Settling)
	}
}

// askOnlyHolder marks all ranks but the holder as confirmed, so that only the holder gets an order.
func (m *Machine) askOnlyHolder() {
	for r := range m.confirmed {
		m.confirmed[r] = r != Holder(m.Self)
	}
}

// enterReleasing starts to release all reported holds, or enters Settling if there are none that can
// be released.
func (m *Machine) enterReleasing() {
	m.enter(Releasing)
	for r, step := range m.holds {
		m.confirmed[r] = step == 0 || r == m.absent.Rank
	}
	if m.allConfirmed() {
		m.enter(Settling)
	}
}

// Observe takes in the reports of all ranks, by rank; that of an absent rank is not read. It returns
// false, and the phase remains, if any report is of another epoch or says that the group is not open.
// In the phases Settling and Ready the reports may change the phase.
func (m *Machine) Observe(reports []rank.Report) bool {
	for i, r := range reports {
		if i == m.absent.Rank {
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

// settle decides the next phase from a set of reports. The phase is Settling where no next phase can
// be decided yet.
func (m *Machine) settle(reports []rank.Report) {
	m.Phase = Settling
	armed, holding, expected := 0, 0, m.Ranks
	m.toDisarm = rank.Arming{}
	for r, rep := range reports {
		if r == m.absent.Rank {
			expected--
			continue
		}
		m.holds[r] = rep.HeldPass
		m.Step = max(m.Step, rep.HeldPass)
		if rep.HeldPass != 0 {
			holding++
		}
		if rep.Armed.Version != 0 {
			armed++
			m.toDisarm = rep.Armed
		}
	}
	switch {
	case m.absent.Rank != NoRank && !m.canResolveAbsence(reports, armed == expected, holding):
		return
	case m.absent.Rank != NoRank && armed == expected && m.absent.Armed != m.toDisarm:
		m.enter(Clearing) // All others are armed for a switch for which the absent rank is not armed.
	case armed > 0 && armed < expected && holding > 0:
		m.enter(Clearing) // Some ranks are armed and others are not; a hold keeps the pass from beginning.
	case armed == expected && holding > 0:
		m.enterReleasing() // All ranks switch to the map as the pass begins.
	case armed > 0:
		return // The pass is about to begin; later reports will show it.
	case holding > 0:
		m.enterReleasing()
	case !m.sameMap(reports):
		return // The ranks report different maps in force; later reports decide.
	default:
		m.enter(Ready)
	}
}

// canResolveAbsence reports whether it is certain how to clean up after the absent leader. The only
// hold must be at that leader's holder, and the switch must be one that this leader began. If all
// other ranks are armed, it must also be known whether the leader's rank is. If another rank is not
// armed, this need not be known: the leader's rank is armed last.
func (m *Machine) canResolveAbsence(reports []rank.Report, allArmed bool, holdCount int) bool {
	if holdCount != 1 || m.holds[Holder(m.absent.Rank)] == 0 {
		return false
	}
	if !m.absenceResolved {
		m.absenceResolved = m.begunByAbsent(reports) && (!allArmed || m.absent.ArmingKnown)
	}
	return m.absenceResolved
}

// begunByAbsent reports whether all ranks that answer have prepared the same version and the absent
// leader made it. Its own rank can then be armed for no other version: that would have to be prepared
// everywhere.
func (m *Machine) begunByAbsent(reports []rank.Report) bool {
	version := uint64(0)
	for r, rep := range reports {
		if r == m.absent.Rank {
			continue
		}
		prepared := max(rep.Prepared, rep.Armed.Version)
		if prepared == 0 || version != 0 && prepared != version || versionLeader(prepared) != m.absent.Rank {
			return false
		}
		version = prepared
	}
	return true
}

// AbsentRank returns the rank that was absent when the machine was made, or NoRank.
func (m *Machine) AbsentRank() int { return m.absent.Rank }

// sameMap reports whether all ranks report the same map in force.
func (m *Machine) sameMap(reports []rank.Report) bool {
	for _, r := range reports {
		if r.Map != reports[0].Map {
			return false
		}
	}
	return true
}

// AllPrepared reports whether every rank has copied the experts of the prepared map and the map can
// still be switched to.
func (m *Machine) AllPrepared(reports []rank.Report) bool {
	for _, r := range reports {
		if r.Prepared != m.Version || m.Version == 0 || m.versionRetired {
			return false
		}
	}
	return true
}

// StartPreparing has the ranks copy the experts of a new map, given as experts by set and rank. It
// does nothing unless the phase is Ready. Version is 0 if the change was aborted since its version was
// refused; another one can start with a higher version.
func (m *Machine) StartPreparing(now time.Time, layout [][][]int) {
	if m.Phase != Ready {
		return
	}
	if slices.Contains(m.refused, true) {
		m.refusals++
	}
	m.layout, m.versionRetired = layout, false
	m.HighestVersion = max(m.HighestVersion, clockVersion(now))
	m.enter(Claiming)
	m.claimNext()
}

// SwitchAt starts the switch to the prepared map at the given pass, or at a later one if that pass was
// already used. It does nothing unless the phase is Ready, the prepared version was never disarmed, and
// the switch could be aborted.
func (m *Machine) SwitchAt(step uint64) {
	if m.Phase != Ready || m.versionRetired || !m.CanAbort() {
		return
	}
	m.refusals, m.refused = 0, nil
	m.Step = max(step, m.Step+1)
	m.holdConflicts, m.ownRequested = 0, false
	m.enter(Holding)
	m.askOnlyHolder()
}

// Abort aborts a preparation or a switch that makes no progress. It does nothing in phases other than
// Claiming, Preparing, Holding and Arming.
func (m *Machine) Abort() {
	switch m.Phase {
	case Claiming, Preparing:
		m.Aborted++
		m.enter(Settling)
	case Holding: // A hold whose answer was lost may stand, so it is released.
		m.Aborted++
		m.enter(Freeing)
		m.askOnlyHolder()
	case Arming:
		m.abortArming()
	}
}

// abortArming raises the fence and disarms every rank. If the own rank may be armed, all ranks may
// be, and the switch is then no longer aborted: the reports under the new fence decide. In either case
// Version is not armed again by this leader.
func (m *Machine) abortArming() {
	m.Aborted++
	m.versionRetired = true
	m.Fence++ // Arm orders still in transit are refused from here on.
	if m.ownRequested {
		m.enter(Fencing)
		return
	}
	m.enter(Undoing)
}
