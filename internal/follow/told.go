// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"maps"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// maxRemovals bounds the removals that are kept for others to be told of; whoever
// missed more is told everything.
const maxRemovals = 4096

// changeLog numbers the changes of a view's endpoints, so that another process
// can be told what is new to it.
type changeLog struct {
	number  uint64            // Of the newest change.
	evacs   uint64            // Number of the newest change of evacuations.
	changed map[string]uint64 // Number of the last change, by endpoint in the view.
	removed []removal         // The newest ones, in order.
	dropped uint64            // Number of the newest removal that is not kept any more.
}

type removal struct {
	number uint64
	gone   Removal
}

func newChangeLog() changeLog { return changeLog{changed: map[string]uint64{}} }

// note takes in a new state of the view.
func (l *changeLog) note(old, next *State) {
	number := l.number + 1
	for id, e := range next.Endpoints {
		had, ok := old.Endpoints[id]
		_, missed := old.Missing[id]
		_, misses := next.Missing[id]
		if !ok || had != e || missed != misses {
			l.changed[id] = number
			l.number = number
		}
	}
	for id, e := range old.Endpoints {
		if _, ok := next.Endpoints[id]; !ok {
			delete(l.changed, id)
			l.removed = append(l.removed, removal{number, Removal{Name: e.Name(), Revision: e.Revision}})
			l.number = number
		}
	}
	if !maps.Equal(old.evacuations, next.evacuations) {
		l.evacs, l.number = number, number
	}
	if n := len(l.removed) - maxRemovals; n > 0 {
		l.dropped = l.removed[n-1].number
		l.removed = append(l.removed[:0:0], l.removed[n:]...)
	}
}

// Update is what one process tells another one of its view.
type Update struct {
	Number    uint64           `json:"number"` // To be named in the next question.
	Whole     bool             `json:"whole"`  // Endpoints is all there are.
	At        uint64           `json:"at"`     // Revision up to which it holds.
	Endpoints []fleet.Endpoint `json:"endpoints,omitempty"`
	Missing   []string         `json:"missing,omitempty"` // Those of Endpoints whose entry may only have lapsed.
	Removals  []Removal        `json:"gone,omitempty"`
	// Evacuations is the newest word on each domain, nil when no word is new.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// UpdateSince returns what has changed after a number that Tell gave, or everything
// for 0 or what lies too far back.
func (v *View) UpdateSince(after uint64) (t Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.state.Load()
	t = Update{Number: v.log.number, At: v.at, Whole: after == 0 || after < v.log.dropped || after > v.log.number}
	for id, e := range s.Endpoints {
		if !t.Whole && v.log.changed[id] <= after {
			continue
		}
		t.Endpoints = append(t.Endpoints, e)
		if _, missing := s.Missing[id]; missing {
			t.Missing = append(t.Missing, id)
		}
	}
	if t.Whole || v.log.evacs > after {
		t.Evacuations = s.Evacuations()
	}
	if t.Whole {
		return t
	}
	for _, r := range v.log.removed {
		if r.number > after {
			t.Removals = append(t.Removals, r.gone)
		}
	}
	return t
}

// mark tells states of a view apart: another one after each change of its configuration, its
// endpoints or evacuations.
type mark struct {
	number  uint64 // Of the newest change.
	version uint64 // Of the configuration.
}

// mark returns what tells the present state from earlier ones.
func (v *View) mark() mark {
	v.mu.Lock()
	defer v.mu.Unlock()
	return mark{number: v.log.number, version: v.state.Load().version()}
}

// ChangedSince reports whether Tell has anything to tell after a number.
func (v *View) ChangedSince(number uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.log.number != number
}

// ApplyUpdate takes in what another process tells: everything, or what follows on what it told
// last. Nothing that is known to be newer is changed or removed by it.
func (v *View) ApplyUpdate(t Update, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// Others who hear it from this process go by how far it holds.
	defer func() { v.at = max(v.at, t.At) }()
	if !t.Whole && len(t.Endpoints)+len(t.Removals)+len(t.Evacuations) == 0 {
		return
	}
	next := *v.state.Load()
	old := next
	next.own()
	named := map[string]bool{} // Names: of whom only the life is told otherwise, the later one holds.
	for _, e := range t.Endpoints {
		named[e.Name()] = true
		if had, ok := old.Endpoints[e.ID]; !ok || had.Revision <= e.Revision {
			delete(next.Missing, e.ID)
		}
		v.put(&next, &old, e)
	}
	for _, id := range t.Missing {
		if _, ok := next.Endpoints[id]; ok {
			next.Missing[id] = now
		}
	}
	for _, g := range t.Removals {
		next.remove(g, false, now)
		v.gone[g.Name] = max(v.gone[g.Name], g.Revision)
	}
	if t.Whole {
		for id, e := range old.Endpoints {
			if _, there := next.Endpoints[id]; there && !named[e.Name()] && e.Revision <= t.At {
				next.delete(e)
			}
		}
	}
	next.group()
	next.evacuations = next.evacuations.with(t.Evacuations)
	v.set(&next)
}
