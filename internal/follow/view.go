// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package follow keeps a process's view of the published configuration and the list of endpoints,
// and knows how old it is. The view never goes back to an older state. The package does not know
// where the state is published: a Source reads it.
package follow

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// ErrCompacted means that the source no longer has the requested changes.
var ErrCompacted = errors.New("the requested history has been compacted")

// Snapshot is the whole published state.
type Snapshot struct {
	Config         *fleet.Config // Nil if none has been published yet.
	ConfigRevision uint64
	Endpoints      []fleet.Endpoint
	Evacuations    []Evacuation // Those in progress.
	Invalid        []InvalidEntry
	UpTo           uint64 // Revision up to which it is complete; changes are followed from there.
}

// Removal names an endpoint whose entry was removed.
type Removal struct {
	Name     string // Name under which it was listed.
	Revision uint64
}

// InvalidEntry is an entry that does not describe a usable endpoint: it cannot be read, or it was
// not written by an endpoint. The previous content of its key is no longer valid; later content of
// the key is valid again.
type InvalidEntry struct {
	Name     string // Name under which an endpoint would be listed; "" if the entry is not one of the endpoint list.
	Revision uint64 // 0 if unknown.
	Err      error  // Never nil.
}

// Changes holds what was published after a revision.
type Changes struct {
	Config         *fleet.Config // Nil if it did not change.
	ConfigRevision uint64
	Endpoints      []fleet.Endpoint // New or changed.
	Removals       []Removal
	Evacuations    []Evacuation // Begun or ended.
	Invalid        []InvalidEntry
	UpTo           uint64 // Revision up to which they are complete.
	Quiet          bool   // Nothing at all was published until the wait for changes was over.
}

// State is an immutable state of the view.
type State struct {
	Config         *fleet.Config // Nil if none is known.
	ConfigRevision uint64
	Endpoints      map[string]fleet.Endpoint   // By id. Invariant: at most one incarnation of each name.
	ByService      map[string][]fleet.Endpoint // In no particular order.
	ByAddress      map[string]fleet.Endpoint
	Missing        map[string]time.Time // Endpoints whose entry may only have expired, by the time it was missed.
	idByName       map[string]string    // Ids in Endpoints, by name.
	evacuations    evacuations
}

// View is the published state as a process knows it.
type View struct {
	mu            sync.Mutex                   // Held by writers.
	state         atomic.Pointer[State]        // Never nil.
	knownRevision uint64                       // Revision up to which changes are known.
	removedAt     map[string]uint64            // Revisions of removals by name, to reject entries that arrive late.
	leavingIDs    map[string]bool              // Ids that are leaving, kept after their entry is gone.
	confirmed     atomic.Pointer[confirmation] // Never nil.
	changes       changeLog
	updated       chan struct{} // Closed at each change or confirmation; never nil.
}

// confirmation holds a time: everything published before it is in the view.
type confirmation struct{ at time.Time }

// NewView returns an empty view.
func NewView() *View {
	v := &View{removedAt: map[string]uint64{}, leavingIDs: map[string]bool{}, changes: newChangeLog(), updated: make(chan struct{})}
	v.state.Store(&State{})
	v.confirmed.Store(&confirmation{})
	return v
}

// State returns the newest state.
func (v *View) State() *State { return v.state.Load() }

// infiniteAge is the age of a view that was never confirmed, and of a configuration if none is known.
const infiniteAge time.Duration = 1 << 62

// Age returns the time since the configuration was last known to be the newest. It returns
// infiniteAge if no configuration is known, or if the view was never confirmed.
func (v *View) Age(now time.Time) time.Duration {
	if v.state.Load().Config == nil {
		return infiniteAge
	}
	return v.ConfirmedAge(now)
}

// ConfirmedAge returns the time since the view was last known to be complete, even if nothing had
// been published. It returns infiniteAge if the view was never confirmed.
func (v *View) ConfirmedAge(now time.Time) time.Duration {
	return AgeOf(v.confirmed.Load().at, now)
}

// AgeOf returns the time since a state was complete; infiniteAge if that time is zero.
func AgeOf(completeAt, now time.Time) time.Duration {
	if completeAt.IsZero() {
		return infiniteAge
	}
	return now.Sub(completeAt)
}

// Confirm records that the configuration with this version was the newest at the given time, or
// that there was none, for version 0. It does nothing if the view holds another version.
func (v *View) Confirm(version uint64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state.Load().version() != version {
		return
	}
	v.confirmAt(at)
}

// set installs the next state, records its changes and wakes waiters. The caller holds mu.
func (v *View) set(next *State) {
	v.changes.record(v.state.Load(), next)
	v.state.Store(next)
	v.notifyWaiters()
}

// notifyWaiters wakes everyone who waits for changes. The caller holds mu.
func (v *View) notifyWaiters() {
	close(v.updated)
	v.updated = make(chan struct{})
}

// Updated returns a channel that is closed at the next change or confirmation.
func (v *View) Updated() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.updated
}

// confirmAt records that the view was complete at the given time, unless it was already confirmed
// for a later one. The caller holds mu.
func (v *View) confirmAt(at time.Time) {
	if at.After(v.confirmed.Load().at) {
		v.confirmed.Store(&confirmation{at})
		v.notifyWaiters()
	}
}

// Offer adopts a configuration if its version is newer than the view's, and reports whether it did.
// The revision is that at which the configuration was published.
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

// version returns the version of the configuration, 0 if there is none.
func (s *State) version() uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version()
}

// takeConfig adopts a configuration into s, which must be a copy, and reports whether it did. It
// ignores nil and a version that is not newer.
func (s *State) takeConfig(c *fleet.Config, revision uint64) bool {
	if c == nil || s.Config != nil && c.Version() <= s.Config.Version() {
		return false
	}
	s.Config, s.ConfigRevision = c, revision
	s.buildIndexes() // The configuration names the services whose endpoints may be used.
	return true
}

// cloneTables replaces the endpoint tables of s, which must be a copy, by copies that may be
// changed.
func (s *State) cloneTables() {
	s.Endpoints, s.Missing, s.idByName = maps.Clone(s.Endpoints), maps.Clone(s.Missing), maps.Clone(s.idByName)
	if s.idByName == nil {
		s.idByName = map[string]string{}
	}
	if s.Endpoints == nil {
		s.Endpoints = map[string]fleet.Endpoint{}
	}
	if s.Missing == nil {
		s.Missing = map[string]time.Time{}
	}
}

// Replace applies a complete snapshot that was requested at the given time. Endpoints that are not
// in it are removed, or kept as missing if keepMissing is set. A snapshot that the view has overtaken, since
// it took long to arrive, neither restores what has been removed since nor removes what has been added.
func (v *View) Replace(snap Snapshot, requestedAt time.Time, keepMissing bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	next.takeConfig(snap.Config, snap.ConfigRevision)
	old := next
	next.Endpoints = make(map[string]fleet.Endpoint, len(snap.Endpoints))
	next.idByName = make(map[string]string, len(snap.Endpoints))
	next.Missing = map[string]time.Time{}
	overtaken := snap.UpTo < v.knownRevision
	for _, e := range snap.Endpoints {
		if !overtaken || !v.isRemoved(&old, e) {
			v.mergeEntry(&next, &old, e)
		}
	}
	for _, b := range snap.Invalid {
		v.dropInvalid(&next, b)
	}
	for id, e := range old.Endpoints {
		if _, ok := next.idByName[e.Name()]; ok {
			continue
		}
		switch since, missing := old.Missing[id]; {
		case overtaken && e.Revision > snap.UpTo && v.removedAt[e.Name()] < e.Revision:
			next.Endpoints[id], next.idByName[e.Name()] = e, id
			if missing {
				next.Missing[id] = since
			}
		case keepMissing:
			next.Endpoints[id], next.idByName[e.Name()] = e, id
			next.Missing[id] = requestedAt
		}
	}
	next.buildIndexes()
	next.evacuations = next.evacuations.merged(snap.Evacuations)
	next.evacuations = next.evacuations.merged(next.evacuations.endedIn(snap.Evacuations, snap.UpTo))
	v.knownRevision = max(v.knownRevision, snap.UpTo)
	v.set(&next)
	// A snapshot with an older configuration than the view's does not confirm the view.
	if snap.Config == nil || snap.Config.Version() == next.version() {
		v.confirmAt(requestedAt)
	}
}

// mergeEntry adds an entry to next. If next, or else old, lists a newer entry under the same name,
// it adds that one instead: an entry that an earlier incarnation wrote may arrive late, for example
// when the store is slow. It adds nothing if the name was removed at the entry's revision or later.
// Within an incarnation, leaving is never taken back; a later incarnation starts without it.
func (v *View) mergeEntry(next, old *State, e fleet.Endpoint) {
	name := e.Name()
	if v.removedAt[name] >= e.Revision {
		return
	}
	known, ok := next.byName(name)
	if !ok {
		known, ok = old.byName(name)
	}
	if ok {
		newer := known.StartedAt < e.StartedAt || known.StartedAt == e.StartedAt && known.Revision <= e.Revision
		if !newer {
			e = known
		}
		if known.ID != e.ID {
			delete(next.Endpoints, known.ID)
			delete(next.Missing, known.ID)
		}
	}
	v.preserveLeaving(&e)
	next.Endpoints[e.ID], next.idByName[name] = e, e.ID
}

// byName returns the endpoint that is listed under a name.
func (s *State) byName(name string) (e fleet.Endpoint, ok bool) {
	e, ok = s.Endpoints[s.idByName[name]]
	return e, ok
}

// maxLeavingIDs bounds the ids that are remembered as leaving, beyond those in the view. It covers
// the endpoints of some hundred days of planned stops.
const maxLeavingIDs = 4096

// preserveLeaving records the id of an endpoint that is leaving, and marks an endpoint as leaving if
// its id was recorded before. If maxLeavingIDs are recorded, it first forgets those that the view no
// longer lists.
func (v *View) preserveLeaving(e *fleet.Endpoint) {
	if e.Leaving && !v.leavingIDs[e.ID] {
		if len(v.leavingIDs) >= maxLeavingIDs {
			listed := v.state.Load().Endpoints
			maps.DeleteFunc(v.leavingIDs, func(id string, _ bool) bool { _, ok := listed[id]; return !ok })
		}
		v.leavingIDs[e.ID] = true
	}
	e.Leaving = v.leavingIDs[e.ID]
}

// dropInvalid removes from next the endpoint whose entry was overwritten by the invalid one b, and
// reports whether it did. An invalid entry outside the endpoint list has no effect.
func (v *View) dropInvalid(next *State, b InvalidEntry) (removed bool) {
	if b.Name == "" {
		return false
	}
	v.removedAt[b.Name] = max(v.removedAt[b.Name], b.Revision)
	return next.remove(Removal{b.Name, b.Revision}, false, time.Time{})
}

// Apply applies changes that are complete as of the given time, and confirms the view. With
// keepMissing, removed entries are recorded as missing. It returns the names of the removed
// endpoints, for the log.
func (v *View) Apply(ch Changes, completeAt time.Time, keepMissing bool) (removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.state.Load()
	next.takeConfig(ch.Config, ch.ConfigRevision)
	if len(ch.Endpoints)+len(ch.Removals)+len(ch.Invalid) > 0 {
		old := next
		next.cloneTables()
		for _, e := range ch.Endpoints {
			v.mergeEntry(&next, &old, e)
			delete(next.Missing, e.ID)
		}
		for _, b := range ch.Invalid {
			if v.dropInvalid(&next, b) {
				removed = append(removed, b.Name)
			}
		}
		for _, g := range ch.Removals {
			if next.remove(g, keepMissing, completeAt) {
				removed = append(removed, g.Name)
			}
			if !keepMissing {
				v.removedAt[g.Name] = max(v.removedAt[g.Name], g.Revision)
			}
		}
		next.buildIndexes()
	}
	next.evacuations = next.evacuations.merged(ch.Evacuations)
	v.knownRevision = max(v.knownRevision, ch.UpTo)
	v.set(&next)
	v.confirmAt(completeAt)
	return removed
}

// remove applies a removal to s, which must have its own tables, and reports whether it deleted an
// endpoint. It ignores a removal that is older than the endpoint's entry. With keepMissing, it
// records the endpoint as missing since missedAt instead.
func (s *State) remove(g Removal, keepMissing bool, missedAt time.Time) bool {
	e, ok := s.byName(g.Name)
	if !ok || e.Revision > g.Revision {
		return false
	}
	if keepMissing {
		s.Missing[e.ID] = missedAt
		return false
	}
	s.delete(e)
	return true
}

// delete deletes an endpoint from s, which must have its own tables.
func (s *State) delete(e fleet.Endpoint) {
	delete(s.Endpoints, e.ID)
	delete(s.Missing, e.ID)
	delete(s.idByName, e.Name())
}

// DropMissing removes the endpoints that have been missing since before the given time, and returns
// their ids.
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
	next.cloneTables()
	for _, id := range removed {
		next.delete(next.Endpoints[id])
	}
	next.buildIndexes()
	v.set(&next)
	return removed
}

// buildIndexes builds the indexes by service and address. Of two entries with one address, it uses
// the newer incarnation: the entry of the older one has just not expired yet. It skips endpoints
// whose service is not in the configuration, so that they do not hide others.
func (s *State) buildIndexes() {
	newest := map[string]fleet.Endpoint{}
	for _, e := range s.Endpoints {
		if !s.hasService(e.Service) {
			continue
		}
		if had, ok := newest[e.Address]; !ok || startedAfter(e, had) {
			newest[e.Address] = e
		}
	}
	s.ByService, s.ByAddress = map[string][]fleet.Endpoint{}, newest
	for _, e := range newest {
		s.ByService[e.Service] = append(s.ByService[e.Service], e)
	}
}

// hasService reports whether the configuration contains a service; it reports true for all while
// none is known.
func (s *State) hasService(service string) bool {
	return s.Config == nil || len(s.Config.Services()) == 0 || s.Config.Service(service) != nil
}

// startedAfter reports whether the incarnation of e started after that of other. If their start
// times are equal or one is unknown, the entry that was created later counts as the later one.
func startedAfter(e, other fleet.Endpoint) bool {
	if c := fleet.CompareIncarnations(other.StartedAt, e.StartedAt); c != 0 {
		return c > 0
	}
	return e.CreatedRevision > other.CreatedRevision
}

// revision returns the revision up to which changes are known.
func (v *View) revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.knownRevision
}
