// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package follow keeps a process's view of the published configuration and the
// list of endpoints, and knows how old it is. The view only ever goes forward.
// The package does not know where the state is published: a Source reads it.
package follow

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// ErrForgotten means that the source no longer has the changes asked for.
var ErrForgotten = errors.New("the history asked for is gone")

// ErrAbsent means that the source has nothing under the name.
var ErrAbsent = errors.New("nothing is published under the name")

// Snapshot is the whole published state.
type Snapshot struct {
	Config         *fleet.Config // Nil when none was published yet.
	ConfigRevision uint64
	Endpoints      []fleet.Endpoint
	Bad            []error // Entries that could not be read and were left out.
	At             uint64  // Revision from which changes are to be followed.
}

// Gone is an endpoint whose entry was removed.
type Gone struct {
	ID       string
	Revision uint64
}

// Changes is what was published after a revision.
type Changes struct {
	Config         *fleet.Config // Nil when it did not change.
	ConfigRevision uint64
	Endpoints      []fleet.Endpoint // New or changed.
	Gone           []Gone
	Bad            []error
	At             uint64
}

// State is one immutable state of the view.
type State struct {
	Config         *fleet.Config // Nil when none is known.
	ConfigRevision uint64
	Endpoints      map[string]fleet.Endpoint   // By id.
	ByService      map[string][]fleet.Endpoint // In no order.
	ByAddress      map[string]fleet.Endpoint
	Missing        map[string]time.Time // Endpoints whose entry may only have lapsed, by the time it was missed.
}

// View is what a process knows.
type View struct {
	mu    sync.Mutex             // Held by writers.
	state atomic.Pointer[State]  // Never nil.
	at    uint64                 // Revision up to which changes are known.
	gone  map[string]uint64      // Revisions of removals, against entries that come late.
	check atomic.Pointer[moment] // Never nil.
	log   changeLog
	moved chan struct{} // Closed at each change or confirmation; never nil.
}

// moment is a time before which all that was published is in the view.
type moment struct{ at time.Time }

// NewView returns a view that knows nothing.
func NewView() *View {
	v := &View{gone: map[string]uint64{}, log: newChangeLog(), moved: make(chan struct{})}
	v.state.Store(&State{})
	v.check.Store(&moment{})
	return v
}

// State returns the newest state.
func (v *View) State() *State { return v.state.Load() }

// never is the age of what was never confirmed.
const never time.Duration = 1 << 62

// Age returns how long ago the configuration was certainly the newest. It is
// very large when it never was, or when there is none.
func (v *View) Age(now time.Time) time.Duration {
	if v.state.Load().Config == nil {
		return never
	}
	return v.CheckAge(now)
}

// CheckAge returns how long ago the view was certainly complete, be it that
// nothing was published yet. It is very large when it never was.
func (v *View) CheckAge(now time.Time) time.Duration {
	at := v.check.Load().at
	if at.IsZero() {
		return never
	}
	return now.Sub(at)
}

// Confirm notes that the configuration with this version was the newest at a
// moment, or that there was none for version 0. It does nothing when the view
// holds another one.
func (v *View) Confirm(version uint64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state.Load().version() != version {
		return
	}
	v.confirm(at)
}

// set takes the next state, and notes what it changes. The caller holds mu.
func (v *View) set(next *State) {
	v.log.note(v.state.Load(), next)
	v.state.Store(next)
	v.move()
}

// move wakes whoever waits for news. The caller holds mu.
func (v *View) move() {
	close(v.moved)
	v.moved = make(chan struct{})
}

// Moved returns a channel that is closed at the next change or confirmation.
func (v *View) Moved() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.moved
}

// confirm notes that the view held everything at a moment.
func (v *View) confirm(at time.Time) {
	if at.After(v.check.Load().at) {
		v.check.Store(&moment{at})
		v.move()
	}
}

// Offer takes in a configuration; it reports whether it was newer.
func (v *View) Offer(c *fleet.Config, revision uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	if !next.takeConfig(c, revision) {
		return false
	}
	v.set(&next)
	return true
}

// version returns that of the configuration, 0 when there is none.
func (s *State) version() uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version()
}

// takeConfig changes s, which must be a copy. Versions never go back.
func (s *State) takeConfig(c *fleet.Config, revision uint64) bool {
	if c == nil || s.Config != nil && c.Version() <= s.Config.Version() {
		return false
	}
	s.Config, s.ConfigRevision = c, revision
	return true
}

// own gives s, which must be a copy, tables of endpoints of its own to change.
func (s *State) own() {
	s.Endpoints, s.Missing = maps.Clone(s.Endpoints), maps.Clone(s.Missing)
	if s.Endpoints == nil {
		s.Endpoints = map[string]fleet.Endpoint{}
	}
	if s.Missing == nil {
		s.Missing = map[string]time.Time{}
	}
}

// Replace takes in a whole snapshot that was asked for at a moment. Endpoints
// that are missing from it are removed, or held as missing when hold is set.
func (v *View) Replace(snap Snapshot, asked time.Time, hold bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	next.takeConfig(snap.Config, snap.ConfigRevision)
	old := next.Endpoints
	next.Endpoints = make(map[string]fleet.Endpoint, len(snap.Endpoints))
	next.Missing = map[string]time.Time{}
	for _, e := range snap.Endpoints {
		v.put(&next, old, e)
	}
	for id, e := range old {
		if _, ok := next.Endpoints[id]; !ok && hold {
			next.Endpoints[id] = e
			next.Missing[id] = asked
		}
	}
	next.group()
	v.at = max(v.at, snap.At)
	v.set(&next)
	if snap.Config == nil || snap.Config.Version() == next.version() {
		v.confirm(asked)
	}
}

// put takes an entry into next unless something newer is known of it. Leaving
// is never taken back within a life.
func (v *View) put(next *State, old map[string]fleet.Endpoint, e fleet.Endpoint) {
	if v.gone[e.ID] >= e.Revision {
		return
	}
	if had, ok := old[e.ID]; ok {
		if had.Revision > e.Revision {
			e = had
		}
		e.Leaving = e.Leaving || had.Leaving
	}
	next.Endpoints[e.ID] = e
}

// Apply takes in changes that were asked for at a moment. It returns the
// endpoints that were removed, for the log.
func (v *View) Apply(ch Changes, asked time.Time, hold bool) (removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	next.takeConfig(ch.Config, ch.ConfigRevision)
	if len(ch.Endpoints)+len(ch.Gone) > 0 {
		old := next.Endpoints
		next.own()
		for _, e := range ch.Endpoints {
			v.put(&next, old, e)
			delete(next.Missing, e.ID)
		}
		for _, g := range ch.Gone {
			if next.remove(g, hold, asked) {
				removed = append(removed, g.ID)
			}
			if !hold {
				v.gone[g.ID] = max(v.gone[g.ID], g.Revision)
			}
		}
		next.group()
	}
	v.at = max(v.at, ch.At)
	v.set(&next)
	v.confirm(asked)
	return removed
}

// Merge takes in entries that a neighbour tells. Nothing is removed by them, and
// they do not say how new the view is.
func (v *View) Merge(ch Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	old := next.Endpoints
	next.own()
	for _, e := range ch.Endpoints {
		v.put(&next, old, e)
	}
	next.group()
	v.set(&next)
}

// remove drops an endpoint, or notes it as missing.
func (s *State) remove(g Gone, hold bool, asked time.Time) bool {
	e, ok := s.Endpoints[g.ID]
	if !ok || e.Revision > g.Revision {
		return false
	}
	if hold {
		s.Missing[g.ID] = asked
		return false
	}
	delete(s.Endpoints, g.ID)
	delete(s.Missing, g.ID)
	return true
}

// Drop removes the endpoints that have been missing since before a moment and
// returns them.
func (v *View) Drop(before time.Time) (removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	for id, at := range next.Missing {
		if at.Before(before) {
			removed = append(removed, id)
		}
	}
	if len(removed) == 0 {
		return nil
	}
	next.own()
	for _, id := range removed {
		delete(next.Endpoints, id)
		delete(next.Missing, id)
	}
	next.group()
	v.set(&next)
	return removed
}

// group makes the index by service. Of two entries with one address the newer
// life is taken: the older one's entry has only not lapsed yet.
func (s *State) group() {
	newest := map[string]fleet.Endpoint{}
	for _, e := range s.Endpoints {
		if had, ok := newest[e.Address]; !ok || e.Made > had.Made {
			newest[e.Address] = e
		}
	}
	s.ByService, s.ByAddress = map[string][]fleet.Endpoint{}, newest
	for _, e := range newest {
		s.ByService[e.Service] = append(s.ByService[e.Service], e)
	}
}

// revision returns the revision up to which changes are known.
func (v *View) revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}
