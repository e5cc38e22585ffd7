// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package member decides who is there: probes, suspicion, and news that rides
// on messages, after SWIM. A Table is the view of one process. It is a pure
// state machine: time and chance come in as arguments, and the caller
// serialises access and sends the messages.
//
// News is ordered by (life, incarnation, state), never by arrival. A life
// begins with a process; only the process itself raises its incarnation, to
// deny that it is dead.
package member

import (
	"math"
	"sort"
	"time"
)

// State is what is believed of a process.
type State int

// The states, in the order in which news of one incarnation overrides.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the name of s.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// Member is one process as others see it.
type Member struct {
	Name        string `json:"n"`
	Role        string `json:"r"`
	Endpoint    string `json:"e,omitempty"` // Slot, "" for entries.
	Domain      string `json:"d"`
	Address     string `json:"a"` // Peer listener.
	StartedAt   int64  `json:"l"` // Start of the process, Unix milliseconds; 0 when only the platform's list names it.
	Incarnation uint32 `json:"i,omitempty"`
	State       State  `json:"s,omitempty"`
	Leaving     bool   `json:"v,omitempty"` // Never taken back within a life.
}

// newer reports whether news a overrides b.
func newer(a, b Member) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State || a.Leaving && !b.Leaving
}

// merge returns the newer of a and b; Leaving stays set within a life.
func merge(a, b Member) Member {
	m := a
	if newer(b, a) {
		m = b
		if a.StartedAt == b.StartedAt && a.Incarnation == b.Incarnation && a.State > b.State {
			m.State = a.State
		}
	}
	if a.StartedAt == b.StartedAt {
		m.Leaving = a.Leaving || b.Leaving
	}
	return m
}

// Config sets the times of a Table.
type Config struct {
	ProbeInterval    time.Duration // Between two probes.
	SuspicionTimeout time.Duration // From suspicion to death, among a few members.
	ForgetAfter      time.Duration // From death until a process is forgotten.
	MaxUpdates       int           // Rows of news in a message at most.
	IndirectProbes   int           // Peers asked to probe a silent one.
}

// Change is a member whose state changed in this view.
type Change struct {
	Member Member
	Was    State
	New    bool // Not known before.
	Cause  string
}

// Probe asks the caller to exchange messages with a target, or to have the
// helpers do so first when there are any.
type Probe struct {
	Target Member
	Relays []Member
}

type entry struct {
	m     Member
	since time.Time // When the present state began.
	sends int       // How often this row has still to ride on messages.
	mine  bool      // This process itself found the member silent.
}

// Table is the view of one process.
type Table struct {
	cfg    Config
	self   Member
	all    map[string]*entry
	order  []string // Names still to be probed in this round.
	deadAt int      // Place in the round of probes of dead members.
	ticked time.Time
	stamp  uint64 // Raised whenever a member changes.
}

// ViewVersion returns a number that is another one after each change of a member, so
// that what was derived from the view can be kept until then.
func (t *Table) ViewVersion() uint64 { return t.stamp }

// New returns a view that holds only the process itself.
func New(cfg Config, self Member) *Table {
	t := &Table{cfg: cfg, self: self, all: map[string]*entry{}}
	t.all[self.Name] = &entry{m: self, sends: 1}
	return t
}

// Self returns the process as it describes itself.
func (t *Table) Self() Member { return t.self }

// Len returns the number of members known, the process itself included.
func (t *Table) Len() int { return len(t.all) }

// Get returns what is believed of the named process.
func (t *Table) Get(name string) (m Member, ok bool) {
	e, ok := t.all[name]
	if !ok {
		return m, false
	}
	return e.m, true
}

// Members lists all members that satisfy keep, ordered by name.
func (t *Table) Members(keep func(Member) bool) []Member {
	var list []Member
	for _, e := range t.all {
		if keep(e.m) {
			list = append(list, e.m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// spread is how often a row of news rides on messages: a multiple of the
// logarithm of the number of members, which reaches all with high likelihood.
func (t *Table) spread() int {
	n := 3
	for size := len(t.all); size > 0; size /= 2 {
		n += 2
	}
	return n
}

// TickOverdue reports whether the last Tick is so long ago that the process must
// have been paused.
func (t *Table) TickOverdue(now time.Time) bool {
	return !t.ticked.IsZero() && now.Sub(t.ticked) >= 2*t.cfg.ProbeInterval+t.cfg.SuspicionTimeout/2
}

// patience is the time from suspicion to death. It grows with the logarithm of
// the number of members, as the time does in which a denial reaches all.
func (t *Table) patience() time.Duration {
	const calm = 1.2 // Decimal digits of the number of members up to which it does not.
	return time.Duration(float64(t.cfg.SuspicionTimeout) * max(1, math.Log10(float64(len(t.all)))/calm))
}

// DetectPause reports whether the process was paused since the last Tick, and raises
// its incarnation if so: others may have given it up meanwhile.
func (t *Table) DetectPause(now time.Time) bool {
	paused := t.TickOverdue(now)
	t.ticked = now
	if !paused {
		return false
	}
	t.self.Incarnation++
	t.setSelf()
	return true
}

func (t *Table) setSelf() {
	t.stamp++
	t.all[t.self.Name] = &entry{m: t.self, sends: t.spread()}
}

// Leave names the process itself as leaving.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.setSelf()
}

// Tick turns overdue suspicions into deaths, forgets the long dead and chooses
// whom to probe. ok is false when there is nobody.
func (t *Table) Tick(now time.Time, random uint64) (p Probe, changes []Change, ok bool) {
	doubted := ""
	for name, e := range t.all {
		if e.mine && e.m.State == Suspect && (doubted == "" || name < doubted) {
			doubted = name
		}
		switch {
		case e.m.State == Suspect && now.Sub(e.since) >= t.patience():
			changes = append(changes, t.set(e, Dead, now, "suspicion not denied"))
		case e.m.State == Dead && now.Sub(e.since) >= t.cfg.ForgetAfter:
			delete(t.all, name)
			t.stamp++
		}
	}
	sortChanges(changes)
	if e, found := t.all[doubted]; found && e.m.State == Suspect {
		return Probe{Target: e.m}, changes, true // Whoever doubts asks again, so that it can be denied in time.
	}
	target, ok := t.nextTarget(random)
	return Probe{Target: target}, changes, ok
}

func sortChanges(list []Change) {
	sort.Slice(list, func(i, j int) bool { return list[i].Member.Name < list[j].Member.Name })
}

// deadEvery is how many probes go to the living for each one to the dead. The
// dead are probed so that two parts of the fleet find each other after a cut.
const deadEvery = 8

// nextTarget goes round all members in a random order, so that each is probed
// within one round.
func (t *Table) nextTarget(random uint64) (m Member, ok bool) {
	t.deadAt++
	if t.deadAt%deadEvery == 0 {
		dead := t.Members(func(m Member) bool { return m.State == Dead && m.Name != t.self.Name })
		if len(dead) > 0 {
			return dead[random%uint64(len(dead))], true
		}
	}
	for range 2 {
		for len(t.order) > 0 {
			name := t.order[len(t.order)-1]
			t.order = t.order[:len(t.order)-1]
			if e, found := t.all[name]; found && e.m.State != Dead {
				return e.m, true
			}
		}
		t.shuffle(random)
	}
	return Member{}, false
}

func (t *Table) shuffle(random uint64) {
	t.order = t.order[:0]
	for name := range t.all {
		if name != t.self.Name {
			t.order = append(t.order, name)
		}
	}
	sort.Strings(t.order)
	for i := len(t.order) - 1; i > 0; i-- {
		random = random*6364136223846793005 + 1442695040888963407
		j := int((random >> 33) % uint64(i+1))
		t.order[i], t.order[j] = t.order[j], t.order[i]
	}
}

// PickRelays draws living peers to probe a silent target.
func (t *Table) PickRelays(target string, random uint64) []Member {
	alive := t.Members(func(m Member) bool {
		return m.State == Alive && m.Name != target && m.Name != t.self.Name
	})
	var list []Member
	for len(alive) > 0 && len(list) < t.cfg.IndirectProbes {
		i := int(random % uint64(len(alive)))
		list = append(list, alive[i])
		alive = append(alive[:i], alive[i+1:]...)
		random = random*6364136223846793005 + 1442695040888963407
		random ^= random >> 29
	}
	return list
}

// ProbeAnswered takes note that the target answered, itself or through a helper.
// The answer itself carries the target's own word about its state.
func (t *Table) ProbeAnswered(target string, now time.Time) (changes []Change) {
	e, ok := t.all[target]
	if !ok || e.m.State != Suspect {
		return nil
	}
	return []Change{t.set(e, Alive, now, "answered a probe")}
}

// ProbeUnanswered takes note that neither the target nor a helper answered.
func (t *Table) ProbeUnanswered(target string, now time.Time) (changes []Change) {
	e, ok := t.all[target]
	if !ok || e.m.State != Alive || target == t.self.Name {
		return nil
	}
	c := t.set(e, Suspect, now, "probe not answered")
	e.mine = true
	return []Change{c}
}

func (t *Table) set(e *entry, s State, now time.Time, cause string) Change {
	t.stamp++
	c := Change{Member: e.m, Was: e.m.State, Cause: cause}
	e.m.State = s
	e.since = now
	e.sends = t.spread()
	e.mine = false
	c.Member.State = s
	return c
}

// OutgoingTo is Outgoing for a message to the named member: what is believed
// of it rides along, so that it can deny it at once.
func (t *Table) OutgoingTo(name string) []Member {
	rows := t.Outgoing()
	if e, ok := t.all[name]; ok && e.m.State != Alive && name != t.self.Name {
		rows = append(rows, e.m)
	}
	return rows
}

// Outgoing takes the rows that ride on the next message: the process itself
// first, then the news that has been sent least.
func (t *Table) Outgoing() []Member {
	rows := []Member{t.self}
	var fresh []*entry
	for _, e := range t.all {
		if e.sends > 0 && e.m.Name != t.self.Name {
			fresh = append(fresh, e)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].sends != fresh[j].sends {
			return fresh[i].sends > fresh[j].sends
		}
		return fresh[i].m.Name < fresh[j].m.Name
	})
	for _, e := range fresh[:min(len(fresh), t.cfg.MaxUpdates)] {
		e.sends--
		rows = append(rows, e.m)
	}
	return rows
}

// Merge takes in news from a message. Whatever the order of arrival, views
// that have merged the same news agree.
func (t *Table) Merge(news []Member, now time.Time) (changes []Change) {
	for _, m := range news {
		if m.Name == "" || m.Address == "" || m.State < Alive || m.State > Dead {
			continue
		}
		if m.Name == t.self.Name {
			t.deny(m)
			continue
		}
		if c, changed := t.mergeOne(m, now); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// deny answers news of the process's own death or suspicion with a higher
// incarnation. News of a later life means that another process has taken the
// name; this one cannot deny that. That it is leaving is never denied.
func (t *Table) deny(m Member) {
	mine := m.StartedAt == t.self.StartedAt || m.StartedAt == 0 && m.Address == t.self.Address
	if m.Leaving && mine && !t.self.Leaving {
		t.Leave()
	}
	if m.StartedAt != t.self.StartedAt || m.State == Alive || m.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.setSelf()
}

// Superseded reports whether the news tell of a later life of the same name, or
// of a later process that lives in the same slot.
func (t *Table) Superseded(news []Member) bool {
	for _, m := range news {
		heir := m.Name == t.self.Name || m.Endpoint != "" && m.Endpoint == t.self.Endpoint && m.State == Alive
		if heir && m.StartedAt > t.self.StartedAt {
			return true
		}
	}
	return false
}

func (t *Table) mergeOne(m Member, now time.Time) (c Change, changed bool) {
	e, ok := t.all[m.Name]
	if !ok {
		e = &entry{m: m, since: now, sends: t.spread()}
		t.all[m.Name] = e
		t.stamp++
		return Change{Member: m, Was: Dead, New: true, Cause: "news"}, true
	}
	merged := merge(e.m, m)
	if merged == e.m {
		return c, false
	}
	t.stamp++
	c = Change{Member: merged, Was: e.m.State, Cause: "news"}
	if merged.State != e.m.State || merged.StartedAt != e.m.StartedAt {
		e.since = now
		e.mine = false
	}
	e.m = merged
	e.sends = t.spread()
	return c, true
}

// MergePlatformList takes in the platform's list: unknown instances become members, leaving
// ones are marked. The list lags, so that it never says that a process is dead
// or alive.
func (t *Table) MergePlatformList(list []Member, now time.Time) (changes []Change) {
	for _, m := range list {
		if m.Name == t.self.Name {
			if m.Leaving && !t.self.Leaving {
				t.Leave()
				changes = append(changes, Change{Member: t.self, Cause: "platform's list"})
			}
			continue
		}
		e, ok := t.all[m.Name]
		if ok && (!m.Leaving || e.m.Leaving || e.m.Address != m.Address) {
			continue
		}
		if ok {
			m = e.m
			m.Leaving = true
		}
		if c, changed := t.mergeOne(m, now); changed {
			c.Cause = "platform's list"
			changes = append(changes, c)
			if !ok {
				t.all[m.Name].sends = 0 // Others read the same list.
			}
		}
	}
	return changes
}
