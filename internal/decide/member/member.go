// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package member maintains the membership of the fleet after SWIM: processes probe each other, suspect
// silent ones, and spread updates piggybacked on their messages. A Table is the view of one process.
// It is a pure state machine: time and randomness are passed in as arguments, and the caller
// serialises access and sends the messages.
//
// Updates are ordered by (start of the process, incarnation, state), never by arrival. Only the
// process itself raises its incarnation, to refute that it is suspect or dead.
package member

import (
	"math"
	"sort"
	"time"
)

// State is the state of a process in a view.
type State int

// The states, in the order in which updates of one incarnation override each other.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the name of s.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// Member describes one process, as it appears in a view and in updates.
type Member struct {
	Name        string `json:"n"`
	Role        string `json:"r"`
	Endpoint    string `json:"e,omitempty"` // Endpoint slot that the process fills; "" for entries.
	Domain      string `json:"d"`
	Address     string `json:"a"` // Address of the listener for peers.
	StartedAt   int64  `json:"l"` // Start of the process, Unix milliseconds; 0 when only the platform's list names it.
	Incarnation uint32 `json:"i,omitempty"`
	State       State  `json:"s,omitempty"`
	Leaving     bool   `json:"v,omitempty"` // Never reset for one process.
}

// newer reports whether update a overrides b in any respect. With equal start and incarnation, each of
// two updates may be newer than the other: one by its state, the other by Leaving.
func newer(a, b Member) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State || a.Leaving && !b.Leaving
}

// merge returns the newer of a and b. Within one process, Leaving stays set; within one incarnation,
// the state that overrides the other is kept.
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

// Config sets the timeouts and limits of a Table.
type Config struct {
	ProbeInterval    time.Duration // Between two probes.
	SuspicionTimeout time.Duration // From suspicion to declared death, in a small fleet.
	ForgetAfter      time.Duration // From declared death until the member is removed.
	MaxUpdates       int           // Maximum number of updates in a message, besides the sender's own row.
	IndirectProbes   int           // Number of peers that are asked to probe a silent member.
}

// Change is a member whose state changed in this view.
type Change struct {
	Member Member
	Was    State
	New    bool // The member was not known before.
	Cause  string
}

// Probe asks the caller to exchange messages with a target, through the relays first if there are any.
type Probe struct {
	Target Member
	Relays []Member
}

// entry is the row of one member, and what this process keeps for it.
type entry struct {
	member       Member
	stateSince   time.Time // Time of the last change of the state or of the process.
	sendsLeft    int       // Number of messages that still have to carry this row.
	ownSuspicion bool      // The member is suspect because it did not answer this process.
}

// Table is the view of one process.
type Table struct {
	cfg         Config
	self        Member
	members     map[string]*entry
	probeOrder  []string  // Names still to be probed in this round, last one first.
	probes      int       // Number of probes, of which every deadProbePeriod-th goes to a dead member.
	lastTick    time.Time // Time of the last DetectPause, which the caller calls before every Tick.
	viewVersion uint64    // Incremented whenever a member changes.
}

// ViewVersion returns a number that changes with every change of a member, so that data derived from
// the view can be cached until then.
func (t *Table) ViewVersion() uint64 { return t.viewVersion }

// New returns a view that holds only the process itself.
func New(cfg Config, self Member) *Table {
	t := &Table{cfg: cfg, self: self, members: map[string]*entry{}}
	t.members[self.Name] = &entry{member: self, sendsLeft: 1}
	return t
}

// Self returns the row of the process itself.
func (t *Table) Self() Member { return t.self }

// Len returns the number of members known, the process itself included.
func (t *Table) Len() int { return len(t.members) }

// Get returns the named member.
func (t *Table) Get(name string) (m Member, ok bool) {
	e, ok := t.members[name]
	if !ok {
		return m, false
	}
	return e.member, true
}

// Members lists all members that satisfy keep, ordered by name.
func (t *Table) Members(keep func(Member) bool) []Member {
	var list []Member
	for _, e := range t.members {
		if keep(e.member) {
			list = append(list, e.member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// transmitLimit returns how many messages carry an update: it grows with the logarithm of the number
// of members, so that an update reaches all with high probability.
func (t *Table) transmitLimit() int {
	n := 3
	for size := len(t.members); size > 0; size /= 2 {
		n += 2
	}
	return n
}

// TickOverdue reports whether the last Tick, as DetectPause recorded it, was so long ago that the
// process must have been paused.
func (t *Table) TickOverdue(now time.Time) bool {
	return !t.lastTick.IsZero() && now.Sub(t.lastTick) >= 2*t.cfg.ProbeInterval+t.cfg.SuspicionTimeout/2
}

// suspicionTimeout returns the time from suspicion to declared death. It grows with the logarithm of
// the number of members, as does the time in which a refutation reaches all.
func (t *Table) suspicionTimeout() time.Duration {
	const flatLog10 = 1.2 // Decimal logarithm of the number of members up to which the timeout is constant.
	return time.Duration(float64(t.cfg.SuspicionTimeout) * max(1, math.Log10(float64(len(t.members)))/flatLog10))
}

// DetectPause reports whether the process was paused since the last call, and records now as the time
// of the last Tick. After a pause it raises the incarnation of the process, since others may have
// declared it dead meanwhile.
func (t *Table) DetectPause(now time.Time) bool {
	paused := t.TickOverdue(now)
	t.lastTick = now
	if !paused {
		return false
	}
	t.self.Incarnation++
	t.updateSelf()
	return true
}

// updateSelf puts a change of self into the view, to be sent to others.
func (t *Table) updateSelf() {
	t.viewVersion++
	t.members[t.self.Name] = &entry{member: t.self, sendsLeft: t.transmitLimit()}
}

// Leave marks the process itself as leaving.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.updateSelf()
}

// Tick declares members dead whose suspicion timed out, removes those that have been dead for long,
// and chooses the member to probe. A member that this process itself suspects is probed first. ok is
// false when there is no member to probe; the changes are valid in any case.
func (t *Table) Tick(now time.Time, random uint64) (p Probe, changes []Change, ok bool) {
	ownSuspect := ""
	for name, e := range t.members {
		if e.ownSuspicion && e.member.State == Suspect && (ownSuspect == "" || name < ownSuspect) {
			ownSuspect = name
		}
		switch {
		case e.member.State == Suspect && now.Sub(e.stateSince) >= t.suspicionTimeout():
			changes = append(changes, t.setState(e, Dead, now, "suspicion not denied"))
		case e.member.State == Dead && now.Sub(e.stateSince) >= t.cfg.ForgetAfter:
			delete(t.members, name)
			t.viewVersion++
		}
	}
	sortChanges(changes)
	if e, found := t.members[ownSuspect]; found && e.member.State == Suspect { // Not just declared dead.
		return Probe{Target: e.member}, changes, true // Probed again, so that the member can refute the suspicion in time.
	}
	target, ok := t.nextTarget(random)
	return Probe{Target: target}, changes, ok
}

func sortChanges(list []Change) {
	sort.Slice(list, func(i, j int) bool { return list[i].Member.Name < list[j].Member.Name })
}

// deadProbePeriod is the number of probes of which one goes to a dead member. Dead members are probed
// so that the two sides of a network partition find each other after it heals.
const deadProbePeriod = 8

// nextTarget returns the next member to probe. It cycles through the members that are not dead in a
// random order, so that each is probed once per round. Every deadProbePeriod-th call returns a random
// dead member, if there is any.
func (t *Table) nextTarget(random uint64) (m Member, ok bool) {
	t.probes++
	if t.probes%deadProbePeriod == 0 {
		dead := t.Members(func(m Member) bool { return m.State == Dead && m.Name != t.self.Name })
		if len(dead) > 0 {
			return dead[random%uint64(len(dead))], true
		}
	}
	for range 2 { // The rest of this round, then a new round.
		for len(t.probeOrder) > 0 {
			name := t.probeOrder[len(t.probeOrder)-1]
			t.probeOrder = t.probeOrder[:len(t.probeOrder)-1]
			if e, found := t.members[name]; found && e.member.State != Dead {
				return e.member, true
			}
		}
		t.shuffle(random)
	}
	return Member{}, false
}

// shuffle begins a new round with all members other than this one in an order that random seeds.
func (t *Table) shuffle(random uint64) {
	t.probeOrder = t.probeOrder[:0]
	for name := range t.members {
		if name != t.self.Name {
			t.probeOrder = append(t.probeOrder, name)
		}
	}
	sort.Strings(t.probeOrder)
	for i := len(t.probeOrder) - 1; i > 0; i-- {
		random = random*6364136223846793005 + 1442695040888963407 // Linear congruential generator.
		j := int((random >> 33) % uint64(i+1))
		t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i]
	}
}

// PickRandom picks up to IndirectProbes random alive members, without the process itself and the
// member named except. The caller uses them as relays of a probe that except did not answer, or as
// peers to exchange messages with.
func (t *Table) PickRandom(except string, random uint64) []Member {
	alive := t.Members(func(m Member) bool {
		return m.State == Alive && m.Name != except && m.Name != t.self.Name
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

// ProbeAnswered records that the target answered, directly or through a relay. A suspect target
// becomes alive; any other remains as it is. The answer carries the target's own row, which is merged
// separately.
func (t *Table) ProbeAnswered(target string, now time.Time) (changes []Change) {
	e, ok := t.members[target]
	if !ok || e.member.State != Suspect {
		return nil
	}
	return []Change{t.setState(e, Alive, now, "answered a probe")}
}

// ProbeUnanswered records that the target answered neither directly nor through a relay. An alive
// target becomes suspect; any other remains as it is.
func (t *Table) ProbeUnanswered(target string, now time.Time) (changes []Change) {
	e, ok := t.members[target]
	if !ok || e.member.State != Alive || target == t.self.Name {
		return nil
	}
	c := t.setState(e, Suspect, now, "probe not answered")
	e.ownSuspicion = true
	return []Change{c}
}

// setState changes the state of a member, and has the change sent to others.
func (t *Table) setState(e *entry, s State, now time.Time, cause string) Change {
	t.viewVersion++
	c := Change{Member: e.member, Was: e.member.State, Cause: cause}
	e.member.State = s
	e.stateSince = now
	e.sendsLeft = t.transmitLimit()
	e.ownSuspicion = false
	c.Member.State = s
	return c
}

// OutgoingTo is Outgoing for a message to the named member. If that member is suspect or dead in this
// view, the message says so, so that the member can refute at once.
func (t *Table) OutgoingTo(name string) []Member {
	rows := t.Outgoing()
	if e, ok := t.members[name]; ok && e.member.State != Alive && name != t.self.Name {
		rows = append(rows, e.member)
	}
	return rows
}

// Outgoing returns the rows for the next message, the process's own first, then the updates that have
// been sent least often. It counts them as sent.
func (t *Table) Outgoing() []Member {
	rows := []Member{t.self}
	var pending []*entry
	for _, e := range t.members {
		if e.sendsLeft > 0 && e.member.Name != t.self.Name {
			pending = append(pending, e)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].sendsLeft != pending[j].sendsLeft {
			return pending[i].sendsLeft > pending[j].sendsLeft
		}
		return pending[i].member.Name < pending[j].member.Name
	})
	for _, e := range pending[:min(len(pending), t.cfg.MaxUpdates)] {
		e.sendsLeft--
		rows = append(rows, e.member)
	}
	return rows
}

// Merge applies the updates of a message. Invalid updates are skipped, and those of this process
// itself go to refute. Views that have merged the same updates agree, whatever the order of arrival.
func (t *Table) Merge(updates []Member, now time.Time) (changes []Change) {
	for _, m := range updates {
		if m.Name == "" || m.Address == "" || m.State < Alive || m.State > Dead {
			continue
		}
		if m.Name == t.self.Name {
			t.refute(m)
			continue
		}
		if c, changed := t.mergeUpdate(m, now); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// refute handles an update about this process. If the update says that the process is suspect or dead
// in its current incarnation or a later one, the process takes the incarnation after that one. If it
// says that the process is leaving, that is never refuted: the process leaves. An update with a later
// start means that another process has taken over the name, which this one cannot refute.
func (t *Table) refute(m Member) {
	aboutSelf := m.StartedAt == t.self.StartedAt || m.StartedAt == 0 && m.Address == t.self.Address
	if m.Leaving && aboutSelf && !t.self.Leaving {
		t.Leave()
	}
	if m.StartedAt != t.self.StartedAt || m.State == Alive || m.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.updateSelf()
}

// Superseded reports whether the updates name a later process of the same name, or a later process
// that is alive in the same endpoint slot.
func (t *Table) Superseded(updates []Member) bool {
	for _, m := range updates {
		successor := m.Name == t.self.Name || m.Endpoint != "" && m.Endpoint == t.self.Endpoint && m.State == Alive
		if successor && m.StartedAt > t.self.StartedAt {
			return true
		}
	}
	return false
}

// mergeUpdate merges an update about another member. It returns the change, and whether there is one.
func (t *Table) mergeUpdate(m Member, now time.Time) (c Change, changed bool) {
	e, ok := t.members[m.Name]
	if !ok {
		e = &entry{member: m, stateSince: now, sendsLeft: t.transmitLimit()}
		t.members[m.Name] = e
		t.viewVersion++
		return Change{Member: m, Was: Dead, New: true, Cause: "news"}, true
	}
	merged := merge(e.member, m)
	if merged == e.member {
		return c, false
	}
	t.viewVersion++
	c = Change{Member: merged, Was: e.member.State, Cause: "news"}
	if merged.State != e.member.State || merged.StartedAt != e.member.StartedAt {
		e.stateSince = now
		e.ownSuspicion = false
	}
	e.member = merged
	e.sendsLeft = t.transmitLimit()
	return c, true
}

// MergePlatformList merges the platform's list of instances. Unknown instances become members. A known
// member is marked as leaving if the list says so for the same address, this process itself if the list
// says so for its name. Since the list lags, it never declares a member dead or alive.
func (t *Table) MergePlatformList(list []Member, now time.Time) (changes []Change) {
	for _, m := range list {
		if m.Name == t.self.Name {
			if m.Leaving && !t.self.Leaving {
				t.Leave()
				changes = append(changes, Change{Member: t.self, Cause: "platform's list"})
			}
			continue
		}
		e, ok := t.members[m.Name]
		if ok && (!m.Leaving || e.member.Leaving || e.member.Address != m.Address) {
			continue
		}
		if ok {
			m = e.member
			m.Leaving = true
		}
		if c, changed := t.mergeUpdate(m, now); changed {
			c.Cause = "platform's list"
			changes = append(changes, c)
			if !ok {
				t.members[m.Name].sendsLeft = 0 // Not spread: others read the same list.
			}
		}
	}
	return changes
}
