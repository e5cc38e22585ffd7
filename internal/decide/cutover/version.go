// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cutover

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// A version consists of a turn and the rank of the leader that gives it to a map. It stands for one map
// in all lives of all leaders of an epoch: only the leader of its rank gives it, and only after that
// rank's engine has answered that the order was accepted and has begun. An engine accepts only versions
// above all that it had, and so each of them once. This holds whatever a restarted leader has forgotten,
// and for orders that are carried out late: their answers reach nobody.
//
// Turns follow the clock, so that a leader that knows nothing mostly gives a version above all earlier
// ones. Where clocks differ, a refusal shows it, and the next version is higher.
const (
	// versionStride separates the versions of different leaders. It exceeds the rank of any leader.
	versionStride = 1024
	// maxClockTurn is the last turn that is taken from the clock, some centuries from now. A group that
	// switches once in each turn from then on has as much time again before it meets unusedVersion.
	maxClockTurn = 1 << 38
	// unusedVersion is a version that no map has: to disarm it only raises the fence.
	unusedVersion = 1 << 50
	// Each refusal in series shifts the number of turns left out by refusalShift bits: to a second, 16 s
	// and 4 minutes, and up to maxSkipShift bits, half a year.
	refusalShift = 4
	maxSkipShift = 28
)

// versionLeader returns the rank of the leader that made a version.
func versionLeader(version uint64) int { return int(version % versionStride) }

// clockVersion returns the lowest version of the turn that the clock shows.
func clockVersion(now time.Time) uint64 {
	turn := now.UnixMilli() / turnTime.Milliseconds()
	return uint64(min(max(turn, 0), maxClockTurn)) * versionStride
}

// claimNext chooses a version that this leader has not used, above all known ones. After refusals, it
// leaves out the more turns the more of them there were in series. It aborts the change if no version is
// left.
func (m *Machine) claimNext() {
	skipped := uint64(1) << min(refusalShift*m.refusals, maxSkipShift)
	version := (min(m.HighestVersion, unusedVersion)/versionStride+skipped)*versionStride + uint64(m.Self)
	if version >= unusedVersion {
		m.Version = 0
		m.Abort()
		return
	}
	m.Version, m.HighestVersion, m.refused = version, version, make([]bool, m.Ranks)
}

// handleUnclaimed handles that the own rank's engine did not answer that it accepted Version: an earlier
// order, of whatever leader, may have given it to a map. If the answer was lost, another version follows
// at once. After a refusal, the reports decide whether the change can start again.
func (m *Machine) handleUnclaimed(result rank.Result) {
	if result == rank.Lost {
		m.claimNext()
		return
	}
	m.refusals++
	m.Version = 0
	m.Abort()
}

// Refused returns a rank that refused to prepare Version and, according to its report, is not about to
// have it prepared; NoRank if there is none. That rank had a higher version before. The reports must be
// newer than the orders.
func (m *Machine) Refused(reports []rank.Report) int {
	for r, refused := range m.refused {
		if rep := reports[r]; refused && rep.Prepared != m.Version && !rep.Copying {
			return r
		}
	}
	return NoRank
}
