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

// ErrCompacted means that the source no longer has the changes asked for.
var ErrCompacted = errors.New("the history asked for is gone")

// Snapshot is the whole published state.
type Snapshot struct {
	Config         *fleet.Config // Nil when none was published yet.
	ConfigRevision uint64
	Endpoints      []fleet.Endpoint
	Evacuations    []Evacuation // Those under way.
	Invalid        []InvalidEntry
	At             uint64 // Revision from which changes are to be followed.
}

// Removal is an endpoint whose entry was removed.
type Removal struct {
	Name     string // Under which it was listed.
	Revision uint64
}

// InvalidEntry is an entry that does not name an endpoint that may be used: it cannot be
// read, or something else than an endpoint wrote it. What its key said before does
// not hold any more; what is written there later does.
type InvalidEntry struct {
	Name     string // Under which an endpoint would be listed; "" where the entry is not of the list.
	Revision uint64 // 0 when not known.
	Err      error  // Never nil.
}

// Changes is what was published after a revision.
type Changes struct {
	Config         *fleet.Config // Nil when it did not change.
	ConfigRevision uint64
	Endpoints      []fleet.Endpoint // New or changed.
	Removals       []Removal
	Evacuations    []Evacuation // Begun or over.
	Invalid        []InvalidEntry
	At             uint64
}

// State is one immutable state of the view.
type State struct {
	Config         *fleet.Config // Nil when none is known.
	ConfigRevision uint64
	Endpoints      map[string]fleet.Endpoint   // By id. Invariant: one life of each name at most.
	ByService      map[string][]fleet.Endpoint // In no order.
	ByAddress      map[string]fleet.Endpoint
	Missing        map[string]time.Time // Endpoints whose entry may only have lapsed, by the time it was missed.
	lives          map[string]string    // Ids in Endpoints, by name.
	evacuations    evacuations
}

// View is what a process knows.
type View struct {
	mu    sync.Mutex             // Held by writers.
	state atomic.Pointer[State]  // Never nil.
	at    uint64                 // Revision up to which changes are known.
	gone  map[string]uint64      // Revisions of removals by name, against entries that come late.
	left  map[string]bool        // Ids that were told to leave, also after their entry is gone.
	check atomic.Pointer[moment] // Never nil.
	log   changeLog
	moved chan struct{} // Closed at each change or confirmation; never nil.
}

// moment is a time before which all that was published is in the view.
type moment struct{ at time.Time }

// NewView returns a view that knows nothing.
func NewView() *View {
	v := &View{gone: map[string]uint64{}, left: map[string]bool{}, log: newChangeLog(), moved: make(chan struct{})}
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
	return v.ConfirmedAge(now)
}

// ConfirmedAge returns how long ago the view was certainly complete, be it that
// nothing was published yet. It is very large when it never was.
func (v *View) ConfirmedAge(now time.Time) time.Duration {
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

// Updated returns a channel that is closed at the next change or confirmation.
func (v *View) Updated() <-chan struct{} {
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
	s.group() // It names the services whose endpoints may be used.
	return true
}

// own gives s, which must be a copy, tables of endpoints of its own to change.
func (s *State) own() {
	s.Endpoints, s.Missing, s.lives = maps.Clone(s.Endpoints), maps.Clone(s.Missing), maps.Clone(s.lives)
	if s.lives == nil {
		s.lives = map[string]string{}
	}
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
	old := next
	next.Endpoints = make(map[string]fleet.Endpoint, len(snap.Endpoints))
	next.lives = make(map[string]string, len(snap.Endpoints))
	next.Missing = map[string]time.Time{}
	for _, e := range snap.Endpoints {
		v.put(&next, &old, e)
	}
	for _, b := range snap.Invalid {
		v.dropBad(&next, b)
	}
	for id, e := range old.Endpoints {
		if _, ok := next.lives[e.Name()]; !ok && hold {
			next.Endpoints[id], next.lives[e.Name()] = e, id
			next.Missing[id] = asked
		}
	}
	next.group()
	next.evacuations = next.evacuations.with(snap.Evacuations)
	next.evacuations = next.evacuations.with(next.evacuations.endedBy(snap.Evacuations, snap.At))
	v.at = max(v.at, snap.At)
	v.set(&next)
	if snap.Config == nil || snap.Config.Version() == next.version() {
		v.confirm(asked)
	}
}

// put takes an entry into next unless something newer is known of it: what an
// earlier life wrote comes late, as where the store is slow. Leaving is never taken
// back within a life, and a later life begins anew.
func (v *View) put(next, old *State, e fleet.Endpoint) {
	name := e.Name()
	if v.gone[name] >= e.Revision {
		return
	}
	had, ok := next.named(name)
	if !ok {
		had, ok = old.named(name)
	}
	if ok {
		newer := had.StartedAt < e.StartedAt || had.StartedAt == e.StartedAt && had.Revision <= e.Revision
		if !newer {
			e = had
		}
		if had.ID != e.ID {
			delete(next.Endpoints, had.ID)
			delete(next.Missing, had.ID)
		}
	}
	v.keepLeaving(&e)
	next.Endpoints[e.ID], next.lives[name] = e, e.ID
}

// named returns the endpoint that is listed under a name.
func (s *State) named(name string) (e fleet.Endpoint, ok bool) {
	e, ok = s.Endpoints[s.lives[name]]
	return e, ok
}

// maxLeft bounds the ids that are remembered as leaving, beyond those in the view:
// endpoints of some hundred days of planned stops.
const maxLeft = 4096

// keepLeaving notes that an endpoint leaves, or tells it so if it was to leave before.
func (v *View) keepLeaving(e *fleet.Endpoint) {
	if e.Leaving && !v.left[e.ID] {
		if len(v.left) >= maxLeft {
			listed := v.state.Load().Endpoints
			maps.DeleteFunc(v.left, func(id string, _ bool) bool { _, ok := listed[id]; return !ok })
		}
		v.left[e.ID] = true
	}
	e.Leaving = v.left[e.ID]
}

// dropBad removes what an entry said before it was overwritten by one that names no
// endpoint to use.
func (v *View) dropBad(next *State, b InvalidEntry) (removed bool) {
	if b.Name == "" {
		return false
	}
	v.gone[b.Name] = max(v.gone[b.Name], b.Revision)
	return next.remove(Removal{b.Name, b.Revision}, false, time.Time{})
}

// Apply takes in changes that were asked for at a moment. It returns the
// endpoints that were removed, for the log.
func (v *View) Apply(ch Changes, asked time.Time, hold bool) (removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	next.takeConfig(ch.Config, ch.ConfigRevision)
	if len(ch.Endpoints)+len(ch.Removals)+len(ch.Invalid) > 0 {
		old := next
		next.own()
		for _, e := range ch.Endpoints {
			v.put(&next, &old, e)
			delete(next.Missing, e.ID)
		}
		for _, b := range ch.Invalid {
			if v.dropBad(&next, b) {
				removed = append(removed, b.Name)
			}
		}
		for _, g := range ch.Removals {
			if next.remove(g, hold, asked) {
				removed = append(removed, g.Name)
			}
			if !hold {
				v.gone[g.Name] = max(v.gone[g.Name], g.Revision)
			}
		}
		next.group()
	}
	next.evacuations = next.evacuations.with(ch.Evacuations)
	v.at = max(v.at, ch.At)
	v.set(&next)
	v.confirm(asked)
	return removed
}

// Merge takes in entries and evacuations that a neighbour tells. Nothing is removed by them, and
// they do not say how new the view is.
func (v *View) Merge(ch Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	old := next
	next.own()
	for _, e := range ch.Endpoints {
		v.put(&next, &old, e)
	}
	next.group()
	next.evacuations = next.evacuations.with(ch.Evacuations)
	v.set(&next)
}

// remove drops an endpoint, or notes it as missing.
func (s *State) remove(g Removal, hold bool, asked time.Time) bool {
	e, ok := s.named(g.Name)
	if !ok || e.Revision > g.Revision {
		return false
	}
	if hold {
		s.Missing[e.ID] = asked
		return false
	}
	s.delete(e)
	return true
}

// delete takes an endpoint out of s, which must have tables of its own.
func (s *State) delete(e fleet.Endpoint) {
	delete(s.Endpoints, e.ID)
	delete(s.Missing, e.ID)
	delete(s.lives, e.Name())
}

// DropMissing removes the endpoints that have been missing since before a moment and
// returns them.
func (v *View) DropMissing(before time.Time) (removed []string) {
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
		next.delete(next.Endpoints[id])
	}
	next.group()
	v.set(&next)
	return removed
}

// group makes the indexes by service and address. Of two entries with one address
// the newer life is taken: the older one's entry has only not lapsed yet. One whose
// service the configuration does not name is nobody's, and hides no other.
func (s *State) group() {
	newest := map[string]fleet.Endpoint{}
	for _, e := range s.Endpoints {
		if !s.names(e.Service) {
			continue
		}
		if had, ok := newest[e.Address]; !ok || youngerThan(e, had) {
			newest[e.Address] = e
		}
	}
	s.ByService, s.ByAddress = map[string][]fleet.Endpoint{}, newest
	for _, e := range newest {
		s.ByService[e.Service] = append(s.ByService[e.Service], e)
	}
}

// names reports whether the configuration names a service; all are taken as named
// while none is known.
func (s *State) names(service string) bool {
	return s.Config == nil || len(s.Config.Services()) == 0 || s.Config.Service(service) != nil
}

// youngerThan reports whether the life of e began after that of other.
func youngerThan(e, other fleet.Endpoint) bool {
	if c := fleet.CompareIncarnations(other.StartedAt, e.StartedAt); c != 0 {
		return c > 0
	}
	return e.CreatedRevision > other.CreatedRevision
}

// revision returns the revision up to which changes are known.
func (v *View) revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}
