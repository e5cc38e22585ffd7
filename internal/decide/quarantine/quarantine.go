// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The failure that this package handles: a request ends the process of each endpoint that begins
// to run it, and is retried at any gateway. Each end costs a group of ranks some seconds without
// service, so the request must be held after at most two ends. But requests that were at an
// endpoint when it ended for another reason are harmless, and some of them are sent identically by
// many callers; they must be admitted again soon.

const (
	// initialHold is how long a request is held after it ended another endpoint: longer than any
	// caller waits, so that an earlier trial would serve no caller that still waits.
	initialHold = time.Minute
	// holdGrowth is the factor by which the hold grows after each trial that ended an endpoint: an
	// end costs a group about five seconds, hence less than 1% of the time from the second trial on.
	holdGrowth = 4
	// maxHold bounds the growth, so that gateways need not be restarted after the endpoints are fixed.
	maxHold = 6 * time.Hour
	// retention is how long ends are remembered at least, counted from the last one.
	retention = 15 * time.Minute
	// sameCauseWindow is the time within which ends may have the same cause, such as a partition
	// that resets connections: requests in flight failed over a period of 0.6 s, and requests that
	// depend on a lost rank stall for 1.5 s before they are aborted. A group of ranks takes longer to
	// form again.
	sameCauseWindow = 2 * time.Second
	// minEndsForTrial is the number of ends that may have the same cause after which the request is
	// only sent as a trial, by one gateway. Fewer ends may be the loss of one or two instances. The
	// users' requirements, too, count how often a request is sent only after this number of ends.
	minEndsForTrial = 3
	// maxKeys bounds the number of keys, and with it the memory: about 200 bytes per end.
	maxKeys = 512
)

// Knowledge is what was known when a request was sent to an endpoint: whether processes had ended
// before while they ran this request.
type Knowledge int

// The kinds of knowledge, in ascending order of severity.
const (
	NoKnownEnd Knowledge = iota // No end, or only recent ones: an end may be one of several with the same cause.
	KnownEnd                    // An end older than sameCauseWindow was known: a further end has a different cause.
	OnTrial                     // The request was held, and was sent to test whether it still ends endpoints.
)

// End records that an endpoint's process ended while it ran a request.
type End struct {
	Key       Key
	Endpoint  string // Id of one process of the endpoint.
	Knowledge Knowledge
	// Void is set when the end no longer counts: the request completed elsewhere, so it did not
	// cause the end, or the process still runs and was only partitioned off.
	Void bool
	At   time.Time
}

// Verdict is the decision whether a request may be sent.
type Verdict int

// The verdicts.
const (
	Free  Verdict = iota // It may be sent.
	Trial                // One request may be sent, by the gateway that owns its key.
	Held                 // It may not be sent yet.
)

// record is an end and the time when it was last sent to other processes; zero if it is yet to be
// sent in its present state.
type record struct {
	End
	lastSent time.Time
}

// entry holds the ends and the trial of one key.
type entry struct {
	ends       map[string]*record // By endpoint.
	trialUntil time.Time          // Time until which a trial runs at most; zero without one.
}

// History holds the ends that one process knows. It is not safe for concurrent use. The histories
// of several processes converge in whatever order they exchange ends: an end is added, and may
// become void, and neither is undone before it expires.
type History struct {
	entries map[Key]*entry
}

// New returns an empty history.
func New() *History { return &History{entries: map[Key]*entry{}} }

// Empty reports whether no end is known.
func (b *History) Empty() bool { return len(b.entries) == 0 }

// Add records an end. The time lastSent is zero for an end that this process observed, and now for
// one received from another process, which sends it to all others itself. An end that is known
// already only becomes void or gains knowledge. A new key may displace another one, see evict. Add
// reports whether the end changed the history.
func (b *History) Add(e End, lastSent time.Time) bool {
	known, ok := b.entries[e.Key]
	if !ok {
		b.evict()
		known = &entry{ends: map[string]*record{}}
		b.entries[e.Key] = known
	}
	r, ok := known.ends[e.Endpoint]
	if !ok {
		known.ends[e.Endpoint] = &record{End: e, lastSent: lastSent}
		return true
	}
	if r.Void == (r.Void || e.Void) && r.Knowledge >= e.Knowledge {
		return false // The end says nothing new.
	}
	r.Void, r.Knowledge = r.Void || e.Void, max(r.Knowledge, e.Knowledge)
	r.lastSent = lastSent
	return true
}

// evict removes a key if there are maxKeys: the one with the least severe knowledge, so that held
// requests are kept if possible, and among those the one with the oldest last end.
func (b *History) evict() {
	if len(b.entries) < maxKeys {
		return
	}
	keys := slices.Collect(maps.Keys(b.entries))
	drop := slices.MinFunc(keys, func(x, y Key) int {
		ex, ey := b.entries[x], b.entries[y]
		return cmp.Or(cmp.Compare(ex.maxKnowledge(), ey.maxKnowledge()), ex.lastAt().Compare(ey.lastAt()))
	})
	delete(b.entries, drop)
}

// RecordCompletion records that a request completed, which makes its ends void and ends its trial.
// It reports whether any of the ends had counted.
func (b *History) RecordCompletion(k Key) bool {
	e := b.entries[k]
	if e == nil {
		return false
	}
	e.trialUntil = time.Time{}
	counted := false
	for _, r := range e.ends {
		if !r.Void {
			r.Void, r.lastSent, counted = true, time.Time{}, true
		}
	}
	return counted
}

// RecordAnswer records that an endpoint answered a request sent at sentAt, which shows that its
// process had not ended before. The ends of that process before sentAt become void. RecordAnswer
// reports whether any of them had counted.
func (b *History) RecordAnswer(endpoint string, sentAt time.Time) bool {
	counted := false
	for _, e := range b.entries {
		if r := e.ends[endpoint]; r != nil && !r.Void && sentAt.After(r.At) {
			r.Void, r.lastSent, counted = true, time.Time{}, true
		}
	}
	return counted
}

// KnowledgeOf returns the knowledge with which a request is sent now if it is not sent as a trial:
// KnownEnd if an end that counts is older than sameCauseWindow, otherwise NoKnownEnd.
func (b *History) KnowledgeOf(k Key, now time.Time) Knowledge {
	if e := b.entries[k]; e != nil {
		for _, r := range e.counted() {
			if now.Sub(r.At) > sameCauseWindow {
				return KnownEnd
			}
		}
	}
	return NoKnownEnd
}

// Judge returns whether a request may be sent, and the remaining time of its hold, 0 unless it is
// held.
//
// While all ends may have the same cause, the request is free up to minEndsForTrial-1 ends. With more
// it is held until sameCauseWindow after the last end. After ends with different causes or a failed
// trial, the hold starts at the last end, and holdAfter gives its length by the number of failed
// trials. Each hold is followed by a trial.
func (b *History) Judge(k Key, now time.Time) (v Verdict, remaining time.Duration) {
	e := b.entries[k]
	if e == nil {
		return Free, 0
	}
	ends := e.counted()
	knowledge := e.maxKnowledge()
	if knowledge == NoKnownEnd {
		if len(ends) < minEndsForTrial {
			return Free, 0
		}
		if remaining = e.lastCountedAt().Add(sameCauseWindow).Sub(now); remaining > 0 {
			return Held, remaining // A trial could fail by the same cause.
		}
		return Trial, 0
	}
	if remaining = e.lastCountedAt().Add(holdAfter(e.failedTrials())).Sub(now); remaining > 0 {
		return Held, remaining
	}
	return Trial, 0
}

// holdAfter returns how long a request is held after the given number of failed trials.
func holdAfter(trials int) time.Duration {
	hold := initialHold
	for range trials {
		hold = min(hold*holdGrowth, maxHold)
	}
	return hold
}

// BeginTrial begins a trial of a request, which ends at the given time at the latest. It reports
// false if another trial of the request has not ended, or if no end is known.
func (b *History) BeginTrial(k Key, now, until time.Time) bool {
	e := b.entries[k]
	if e == nil || now.Before(e.trialUntil) {
		return false
	}
	e.trialUntil = until
	return true
}

// EndTrial ends the trial of a request, if there is one, without recording a result.
func (b *History) EndTrial(k Key) {
	if e := b.entries[k]; e != nil {
		e.trialUntil = time.Time{}
	}
}

// Forget removes the keys whose ends have expired. They expire retention after the last end, or
// later if holdGrowth times the hold is longer.
func (b *History) Forget(now time.Time) {
	for k, e := range b.entries {
		if now.Sub(e.lastAt()) > max(retention, holdGrowth*holdAfter(e.failedTrials())) {
			delete(b.entries, k)
		}
	}
}

// HeldCount returns the number of requests that are held now; those on trial do not count.
func (b *History) HeldCount(now time.Time) (n int) {
	for k := range b.entries {
		if v, _ := b.Judge(k, now); v == Held {
			n++
		}
	}
	return n
}

// TakeNextToSend returns up to limit ends to send to all other processes, and marks them as sent.
// Ends that were never sent in their present state come first, then those sent least recently.
func (b *History) TakeNextToSend(limit int, now time.Time) (list []End) {
	all := b.all()
	slices.SortFunc(all, func(x, y *record) int { return cmp.Or(x.lastSent.Compare(y.lastSent), x.compareNewest(y)) })
	for _, r := range all[:min(limit, len(all))] {
		r.lastSent = now
		list = append(list, r.End)
	}
	return list
}

// MostSevere returns up to limit ends to send to one process that may know none. Ends of the keys
// with the most severe knowledge come first, and newer ones first among those.
func (b *History) MostSevere(limit int) (list []End) {
	all := b.all()
	slices.SortFunc(all, func(x, y *record) int {
		return cmp.Or(cmp.Compare(b.entries[y.Key].maxKnowledge(), b.entries[x.Key].maxKnowledge()), x.compareNewest(y))
	})
	for _, r := range all[:min(limit, len(all))] {
		list = append(list, r.End)
	}
	return list
}

// all returns all ends, in unspecified order.
func (b *History) all() (list []*record) {
	for _, e := range b.entries {
		for _, r := range e.ends {
			list = append(list, r)
		}
	}
	return list
}

// compareNewest compares two ends for sorting: newer ones first, and ends of the same time by key and
// endpoint, so that the order is deterministic.
func (r *record) compareNewest(other *record) int {
	return cmp.Or(other.At.Compare(r.At), slices.Compare(r.Key[:], other.Key[:]), cmp.Compare(r.Endpoint, other.Endpoint))
}

// HasUnsent reports whether there is an end that was never sent in its present state.
func (b *History) HasUnsent() bool {
	return slices.ContainsFunc(b.all(), func(r *record) bool { return r.lastSent.IsZero() })
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

// maxKnowledge returns the most severe knowledge among the ends that count.
func (e *entry) maxKnowledge() (s Knowledge) {
	for _, r := range e.counted() {
		s = max(s, r.Knowledge)
	}
	return s
}

// failedTrials returns the number of trials that ended an endpoint.
func (e *entry) failedTrials() (n int) {
	for _, r := range e.counted() {
		if r.Knowledge == OnTrial {
			n++
		}
	}
	return n
}

// lastCountedAt returns the time of the last end that counts.
func (e *entry) lastCountedAt() (at time.Time) {
	for _, r := range e.counted() {
		if r.At.After(at) {
			at = r.At
		}
	}
	return at
}

// lastAt returns the time of the last end, whether it counts or not.
func (e *entry) lastAt() (at time.Time) {
	for _, r := range e.ends {
		if r.At.After(at) {
			at = r.At
		}
	}
	return at
}

// Valid reports whether s is one of the kinds of knowledge.
func (s Knowledge) Valid() bool { return s >= NoKnownEnd && s <= OnTrial }

// String returns the name for logs.
func (s Knowledge) String() string { return [...]string{"unknowing", "knowing", "on trial"}[s] }

// String returns the name for logs.
func (v Verdict) String() string { return [...]string{"free", "trial", "held"}[v] }
