// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The load that the package answers: a request ends the process of each endpoint that
// begins to run it, and comes again, at any gateway. Each end costs a group of ranks some
// seconds in which nobody is served, so two ends must do. But requests that were at an
// endpoint by chance as it ended are no fault's, and among them are such as many callers
// send alike; they must be let in again soon.

const (
	// firstHold is how long a request is held after it ended an endpoint once more: longer
	// than any caller waits, so that trying it sooner would serve nobody who is there.
	firstHold = time.Minute
	// holdGrowth is by how much longer it is held after each trial that ended an endpoint:
	// an end costs a group about five seconds, and so less than one second in a hundred
	// from the second trial on.
	holdGrowth = 4
	// longestHold bounds the growth: whoever mends the endpoints need not restart gateways.
	longestHold = 6 * time.Hour
	// keepFor is how long ends are remembered under which a request is not held.
	keepFor = 15 * time.Minute
	// oneCause is for how long ends may have one cause, such as a cut by resets: it showed
	// for 0.6 s in requests that had been under way, and what depends on a rank that is gone
	// stands for 1.5 s before it breaks off. A group of ranks takes longer to form again.
	oneCause = 2 * time.Second
	// trialEnds is how many ends that may have one cause make the request one that is tried
	// at one place only. Fewer may be the loss of an instance or two; it is the number after
	// which the users count what is sent.
	trialEnds = 3
	// mostKeys bounds what is remembered, and with it the memory: some 200 bytes an end.
	mostKeys = 512
)

// Knowledge is what was known of a request when it was sent to an endpoint.
type Knowledge int

// The kinds of sending.
const (
	NoKnownEnd Knowledge = iota // No end under the request was known but of late: its end may be one of several by one cause.
	KnownEnd                    // An end was known, and this one has another cause.
	OnTrial                     // The request was held, and was sent to see whether it still ends endpoints.
)

// End tells that an endpoint's process ended while it ran a request.
type End struct {
	Key       Key
	Endpoint  string // One life of it.
	Knowledge Knowledge
	// Void is set once the end counts no more: the request ran to its end elsewhere, so it
	// was there by chance, or the endpoint lives on and was only cut off.
	Void bool
	At   time.Time
}

// Verdict says whether a request may be sent.
type Verdict int

// The verdicts.
const (
	Free  Verdict = iota
	Trial         // One may be sent, by the gateway that owns its key.
	Held
)

// record is an end and when it was last told to others; zero when that is due.
type record struct {
	End
	told time.Time
}

// entry is what is known of one key.
type entry struct {
	ends  map[string]*record // By endpoint.
	trial time.Time          // Until when a trial is under way.
}

// History is what one process knows of ends. It is not safe for concurrent use. What several
// books know converges however they tell each other: an end is added, and may become
// void, and neither is taken back before it lapses.
type History struct {
	entries map[Key]*entry
}

// New returns an empty book.
func New() *History { return &History{entries: map[Key]*entry{}} }

// Empty reports whether no end is known.
func (b *History) Empty() bool { return len(b.entries) == 0 }

// Add takes in an end, and when it was last told to others: zero for one that was seen here,
// and now for one that another process told, which tells all others itself. It reports
// whether it tells anything new.
func (b *History) Add(e End, told time.Time) bool {
	known, ok := b.entries[e.Key]
	if !ok {
		b.makeRoom()
		known = &entry{ends: map[string]*record{}}
		b.entries[e.Key] = known
	}
	r, ok := known.ends[e.Endpoint]
	if !ok {
		known.ends[e.Endpoint] = &record{End: e, told: told}
		return true
	}
	if r.Void == (r.Void || e.Void) && r.Knowledge >= e.Knowledge {
		return false
	}
	r.Void, r.Knowledge = r.Void || e.Void, max(r.Knowledge, e.Knowledge)
	r.told = told
	return true
}

// makeRoom forgets a key when there are too many: of those that are not held if there are
// any, the one whose last end is the oldest.
func (b *History) makeRoom() {
	if len(b.entries) < mostKeys {
		return
	}
	keys := slices.Collect(maps.Keys(b.entries))
	drop := slices.MinFunc(keys, func(x, y Key) int {
		ex, ey := b.entries[x], b.entries[y]
		return cmp.Or(cmp.Compare(ex.gravity(), ey.gravity()), ex.last().Compare(ey.last()))
	})
	delete(b.entries, drop)
}

// RecordCompletion takes in that a request ran to its end; it reports whether an end under it had
// counted.
func (b *History) RecordCompletion(k Key) bool {
	e := b.entries[k]
	if e == nil {
		return false
	}
	e.trial = time.Time{}
	counted := false
	for _, r := range e.ends {
		if !r.Void {
			r.Void, r.told, counted = true, time.Time{}, true
		}
	}
	return counted
}

// RecordAnswer takes in that an endpoint answered what was sent to it at a moment: it had not ended
// before. It reports whether an end of it had counted.
func (b *History) RecordAnswer(endpoint string, sentAt time.Time) bool {
	counted := false
	for _, e := range b.entries {
		if r := e.ends[endpoint]; r != nil && !r.Void && sentAt.After(r.At) {
			r.Void, r.told, counted = true, time.Time{}, true
		}
	}
	return counted
}

// KnowledgeOf returns what is known of a request that is sent now.
func (b *History) KnowledgeOf(k Key, now time.Time) Knowledge {
	if e := b.entries[k]; e != nil {
		for _, r := range e.counted() {
			if now.Sub(r.At) > oneCause {
				return KnownEnd
			}
		}
	}
	return NoKnownEnd
}

// Judge returns whether a request may be sent, and for how long it is still held.
func (b *History) Judge(k Key, now time.Time) (v Verdict, left time.Duration) {
	e := b.entries[k]
	if e == nil {
		return Free, 0
	}
	ends := e.counted()
	gravity := e.gravity()
	if gravity == NoKnownEnd {
		if len(ends) < trialEnds {
			return Free, 0
		}
		if left = e.lastCounted().Add(oneCause).Sub(now); left > 0 {
			return Held, left // A trial would meet what ended them.
		}
		return Trial, 0
	}
	if left = e.lastCounted().Add(holdAfter(e.trials())).Sub(now); left > 0 {
		return Held, left
	}
	return Trial, 0
}

// holdAfter returns how long a request is held of which so many trials failed.
func holdAfter(trials int) time.Duration {
	hold := firstHold
	for range trials {
		hold = min(hold*holdGrowth, longestHold)
	}
	return hold
}

// BeginTrial begins a trial of a request, which lasts until a moment at most; it reports false
// while another one is under way.
func (b *History) BeginTrial(k Key, now, until time.Time) bool {
	e := b.entries[k]
	if e == nil || now.Before(e.trial) {
		return false
	}
	e.trial = until
	return true
}

// EndTrial ends a trial of which nothing was learned.
func (b *History) EndTrial(k Key) {
	if e := b.entries[k]; e != nil {
		e.trial = time.Time{}
	}
}

// Forget drops what has lapsed.
func (b *History) Forget(now time.Time) {
	for k, e := range b.entries {
		if now.Sub(e.last()) > max(keepFor, holdGrowth*holdAfter(e.trials())) {
			delete(b.entries, k)
		}
	}
}

// Held returns how many requests are held.
func (b *History) Held(now time.Time) (n int) {
	for k := range b.entries {
		if v, _ := b.Judge(k, now); v == Held {
			n++
		}
	}
	return n
}

// NextToSend returns so many ends to tell all others: those first that were not told for longest.
func (b *History) NextToSend(most int, now time.Time) (list []End) {
	all := b.all()
	slices.SortFunc(all, func(x, y *record) int { return cmp.Or(x.told.Compare(y.told), x.compareNewest(y)) })
	for _, r := range all[:min(most, len(all))] {
		r.told = now
		list = append(list, r.End)
	}
	return list
}

// MostSevere returns so many ends to tell one process that may know none: those first under
// which requests are held.
func (b *History) MostSevere(most int) (list []End) {
	all := b.all()
	slices.SortFunc(all, func(x, y *record) int {
		return cmp.Or(cmp.Compare(b.entries[y.Key].gravity(), b.entries[x.Key].gravity()), x.compareNewest(y))
	})
	for _, r := range all[:min(most, len(all))] {
		list = append(list, r.End)
	}
	return list
}

// all returns all ends, in no order.
func (b *History) all() (list []*record) {
	for _, e := range b.entries {
		for _, r := range e.ends {
			list = append(list, r)
		}
	}
	return list
}

// compareNewest puts newer ends first; the rest only makes the order certain.
func (r *record) compareNewest(other *record) int {
	return cmp.Or(other.At.Compare(r.At), slices.Compare(r.Key[:], other.Key[:]), cmp.Compare(r.Endpoint, other.Endpoint))
}

// HasUnsent reports whether an end waits that was never told as it is now.
func (b *History) HasUnsent() bool {
	return slices.ContainsFunc(b.all(), func(r *record) bool { return r.told.IsZero() })
}

// counted returns the ends that count against the request.
func (e *entry) counted() (list []*record) {
	for _, r := range e.ends {
		if !r.Void {
			list = append(list, r)
		}
	}
	return list
}

// gravity returns the gravest sending of those that count.
func (e *entry) gravity() (s Knowledge) {
	for _, r := range e.counted() {
		s = max(s, r.Knowledge)
	}
	return s
}

// trials returns how many trials ended an endpoint.
func (e *entry) trials() (n int) {
	for _, r := range e.counted() {
		if r.Knowledge == OnTrial {
			n++
		}
	}
	return n
}

// lastCounted returns when the last end was that counts.
func (e *entry) lastCounted() (at time.Time) {
	for _, r := range e.counted() {
		if r.At.After(at) {
			at = r.At
		}
	}
	return at
}

// last returns when the last end was.
func (e *entry) last() (at time.Time) {
	for _, r := range e.ends {
		if r.At.After(at) {
			at = r.At
		}
	}
	return at
}

// Valid reports whether s is one of the kinds of sending.
func (s Knowledge) Valid() bool { return s >= NoKnownEnd && s <= OnTrial }

// String returns the name for logs.
func (s Knowledge) String() string { return [...]string{"unknowing", "knowing", "on trial"}[s] }

// String returns the name for logs.
func (v Verdict) String() string { return [...]string{"free", "trial", "held"}[v] }
