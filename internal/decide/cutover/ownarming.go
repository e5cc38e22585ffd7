// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import "github.com/canvaspulley/canvaspulley/internal/rank"

// OwnArming is what a holder knows about the arming of its leader's own rank, which it does on the
// leader's behalf. The zero value is that of a holder that has just started.
type OwnArming struct {
	epoch     uint64
	requested rank.Arming // The newest requested arming; zero if there is none.
	uncertain bool        // Whether it was executed is unknown: the answer is outstanding or was lost.
	fence     uint64      // Armings with another fence are rejected. It never decreases.
	newest    uint64      // The newest version requested with fence; older ones are rejected.
	known     bool        // It knows of every arming of a switch for which the leader's own rank may still be armed.
}

// ObserveRank takes in the pass that the holder's own rank holds, 0 for none, and its arming. If there is
// neither, every later arming of the leader's rank is known. That there is no hold doesn't suffice: one
// that was released may be set again by an order that arrives late, when all ranks are armed already.
func (a *OwnArming) ObserveRank(heldPass uint64, armed rank.Arming) {
	if heldPass == 0 && armed == (rank.Arming{}) {
		a.known = true
	}
}

// IsNewFence reports whether the holder's own rank must accept a fence, and ObserveFence be called,
// before an arming with this fence can begin. A holder that has restarted may have taken over with a
// higher one before.
func (a *OwnArming) IsNewFence(fence uint64) bool { return fence > a.fence }

// ObserveFence records that the holder's own rank has accepted an order with this fence.
func (a *OwnArming) ObserveFence(fence uint64) {
	if a.IsNewFence(fence) {
		a.fence, a.newest = fence, 0
	}
}

// Begin records that the leader's own rank is about to be armed. It records nothing and returns false
// if another fence or a later switch is known: the request has arrived late, and the order must not be
// sent. Attempts must not overlap.
func (a *OwnArming) Begin(o rank.Order) (previous OwnArming, ok bool) {
	if o.Fence != a.fence || o.Version < a.newest {
		return *a, false
	}
	previous = *a
	a.newest = o.Version
	a.epoch, a.requested, a.uncertain = o.Epoch, rank.Arming{Version: o.Version, Step: o.Step}, true
	return previous, true
}

// End records the result of the order; previous is what Begin returned.
func (a *OwnArming) End(previous OwnArming, result rank.Result) {
	switch {
	case result == rank.Done:
		a.uncertain = false
	case result != rank.Lost && (previous.requested != a.requested || !previous.uncertain):
		a.requested, a.uncertain = rank.Arming{}, false // Rejected, and no earlier attempt can still be executed.
	}
}

// TakeOver returns what is known about a leader that does not answer. Armings with a lower fence than
// the holder's own are rejected from now on.
func (a *OwnArming) TakeOver(leader int, epoch, fence uint64) Absence {
	a.ObserveFence(fence)
	absent := Absence{Rank: leader, ArmingKnown: a.known}
	if a.epoch == epoch {
		absent.Armed = a.requested
		absent.ArmingKnown = absent.ArmingKnown && !a.uncertain
	}
	return absent
}
