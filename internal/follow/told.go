// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"maps"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// maxRemovals bounds the removals that are kept for other processes; a process that missed more
// gets the complete view.
const maxRemovals = 4096

// changeLog numbers the changes of a view's endpoints, so that another process can be sent only
// what is new to it.
type changeLog struct {
	number            uint64            // Of the newest change.
	evacuationsChange uint64            // Number of the newest change of evacuations.
	changed           map[string]uint64 // Number of the last change, by endpoint in the view.
	removed           []numberedRemoval // The newest ones, in order.
	discarded         uint64            // Number of the newest removal that is no longer kept.
}

type numberedRemoval struct {
	number  uint64
	removal Removal
}

func newChangeLog() changeLog { return changeLog{changed: map[string]uint64{}} }

// record records the changes from one state of the view to the next.
func (l *changeLog) record(old, next *State) {
	number := l.number + 1
	for id, e := range next.Endpoints {
		had, ok := old.Endpoints[id]
		_, wasMissing := old.Missing[id]
		_, isMissing := next.Missing[id]
		if !ok || had != e || wasMissing != isMissing {
			l.changed[id] = number
			l.number = number
		}
	}
	for id, e := range old.Endpoints {
		if _, ok := next.Endpoints[id]; !ok {
			delete(l.changed, id)
			l.removed = append(l.removed, numberedRemoval{number, Removal{Name: e.Name(), Revision: e.Revision}})
			l.number = number
		}
	}
	if !maps.Equal(old.evacuations, next.evacuations) {
		l.evacuationsChange, l.number = number, number
	}
	if n := len(l.removed) - maxRemovals; n > 0 {
		l.discarded = l.removed[n-1].number
		l.removed = append(l.removed[:0:0], l.removed[n:]...)
	}
}

// Update is what a process sends to another one about its view.
type Update struct {
	Number    uint64           `json:"number"` // To be named in the next request.
	Whole     bool             `json:"whole"`  // Endpoints is the complete list.
	UpTo      uint64           `json:"at"`     // Revision up to which it is complete.
	Endpoints []fleet.Endpoint `json:"endpoints,omitempty"`
	Missing   []string         `json:"missing,omitempty"` // Those of Endpoints whose entry may only have expired.
	Removals  []Removal        `json:"gone,omitempty"`
	// Evacuations holds the newest order for each domain; nil if none has changed.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// UpdateSince returns what has changed after a number from an earlier Update, the state of the view
// with these changes, and the time as of which that state is complete; zero if it was never confirmed.
// The three belong together: a process may be suspended at any time, and a later confirmation says
// nothing of this state. It returns all changes for 0, for a number so old that removals since then
// were discarded, and for a number that this view has not reached, which comes from another view.
func (v *View) UpdateSince(after uint64) (u Update, s *State, completeAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, completeAt = v.state.Load(), v.confirmed.Load().at
	u = Update{Number: v.changes.number, UpTo: v.knownRevision, Whole: after == 0 || after < v.changes.discarded || after > v.changes.number}
	for id, e := range s.Endpoints {
		if !u.Whole && v.changes.changed[id] <= after {
			continue
		}
		u.Endpoints = append(u.Endpoints, e)
		if _, missing := s.Missing[id]; missing {
			u.Missing = append(u.Missing, id)
		}
	}
	if u.Whole || v.changes.evacuationsChange > after {
		u.Evacuations = s.Evacuations()
	}
	if u.Whole {
		return u, s, completeAt
	}
	for _, r := range v.changes.removed {
		if r.number > after {
			u.Removals = append(u.Removals, r.removal)
		}
	}
	return u, s, completeAt
}

// viewVersion identifies a state of a view: it differs after each change of the configuration, the
// endpoints or the evacuations.
type viewVersion struct {
	number  uint64 // Of the newest change.
	version uint64 // Of the configuration.
}

// currentVersion returns the version of the current state.
func (v *View) currentVersion() viewVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return viewVersion{number: v.changes.number, version: v.state.Load().version()}
}

// ChangedSince reports whether UpdateSince has any changes to return for a number.
func (v *View) ChangedSince(number uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changes.number != number
}

// ApplyUpdate applies an update from another process. The update must be complete or follow that
// process's previous one. Nothing that is known to be newer is changed or removed.
func (v *View) ApplyUpdate(u Update, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// The processes that follow this one use its revision.
	defer func() { v.knownRevision = max(v.knownRevision, u.UpTo) }()
	if !u.Whole && len(u.Endpoints)+len(u.Removals)+len(u.Evacuations) == 0 {
		return
	}
	next := *v.state.Load()
	old := next
	next.cloneTables()
	updatedNames := map[string]bool{} // Names, not ids: for another incarnation of the same name, mergeEntry keeps the later one.
	isMissing := make(map[string]bool, len(u.Missing))
	for _, id := range u.Missing {
		isMissing[id] = true
	}
	for _, e := range u.Endpoints {
		updatedNames[e.Name()] = true
		if u.UpTo < v.knownRevision && v.isRemoved(&old, e) || isMissing[e.ID] && !old.lists(e) {
			continue
		}
		if had, ok := old.Endpoints[e.ID]; !ok || had.Revision <= e.Revision {
			delete(next.Missing, e.ID)
			if isMissing[e.ID] {
				next.Missing[e.ID] = now
			}
		}
		v.mergeEntry(&next, &old, e)
		if _, ok := next.Endpoints[e.ID]; !ok {
			delete(next.Missing, e.ID)
		}
	}
	for _, g := range u.Removals {
		next.remove(g, false, now)
		v.removedAt[g.Name] = max(v.removedAt[g.Name], g.Revision)
	}
	if u.Whole {
		for id, e := range old.Endpoints {
			if _, there := next.Endpoints[id]; there && !updatedNames[e.Name()] && e.Revision <= u.UpTo {
				next.delete(e)
			}
		}
	}
	next.buildIndexes()
	next.evacuations = next.evacuations.merged(u.Evacuations)
	if u.Whole {
		next.evacuations = next.evacuations.merged(next.evacuations.endedIn(u.Evacuations, u.UpTo))
	}
	v.set(&next)
}

// isRemoved reports whether an entry has been removed by the revision up to which the view is complete:
// the entry is not newer, and old does not list its name. The caller holds mu.
func (v *View) isRemoved(old *State, e fleet.Endpoint) bool {
	return !old.lists(e) && e.Revision <= v.knownRevision
}

// lists reports whether s lists an incarnation of an endpoint.
func (s *State) lists(e fleet.Endpoint) bool {
	_, ok := s.byName(e.Name())
	return ok
}
