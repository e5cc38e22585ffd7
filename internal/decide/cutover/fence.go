// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// A fence consists of a turn, the rank of the leader and the number of times that the leader has raised
// it to abort a switch. The fences of two leaders are never equal, and none lies between those of
// another: a raised fence must not pass that of a leader that has taken over in the meantime.
const (
	fencesPerLeader = 256 // In one turn.
	fencesPerTurn   = fencesPerLeader * versionStride
	// turnTime is the time between two turns. A turn derived from Unix time then fits into the 53 bits
	// that every JSON implementation represents exactly.
	turnTime = 64 * time.Millisecond
)

// NextFence returns the first fence of a leader that begins now. It is above the given one.
func NextFence(above uint64, now time.Time, leader int) uint64 {
	turn := max(uint64(now.UnixMilli()/turnTime.Milliseconds()), above/fencesPerTurn+1)
	return turn*fencesPerTurn + uint64(leader)*fencesPerLeader
}

// CanAbort reports whether the leader has a fence left that it may raise its own to. Otherwise another
// switch must not begin.
func (m *Machine) CanAbort() bool { return (m.Fence+1)%fencesPerLeader != 0 }

// FenceOrder returns the order that raises the fence of a rank and does nothing else.
func FenceOrder(fence, epoch uint64) rank.Order {
	return rank.Order{Op: rank.Disarm, Fence: fence, Epoch: epoch, Version: unusedVersion}
}
