// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// The failure that this package handles: a request, or one part of the prompts of many requests, ends
// the process of each endpoint that begins to run it, and comes again at any gateway. Each end costs a
// group of ranks some seconds without service, so the cause must be held after few ends. But the
// requests and parts that were at an endpoint when it ended are harmless but for one, and some of them
// are sent by many callers; they must not be held.

const (
	// initialHold is how long a request or part is held after it ended another endpoint: longer than
	// any caller waits, so that an earlier trial would serve no caller that still waits.
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
	// minEndsForTrial is the number of ends that may have the same cause after which a request is
	// only sent as a trial, by one gateway. Fewer ends may be the loss of one or two instances. The
	// users' requirements, too, count how often a request is sent only after this number of ends.
	minEndsForTrial = 3
	// minPartEndsForTrial is the same for a part that has not been proven sound. Requests with a
	// harmful part arrive at a higher rate than repeats of one request.
	minPartEndsForTrial = 2
	// minSoundRounds is the number of ends, sameCauseWindow apart from each other, after which a part
	// is held although requests with it had completed before. It is higher since many requests
	// share such a part.
	minSoundRounds = 3
	// initialPartHold is the first hold of a part after it ended another endpoint. It is short since
	// the part may be a harmless one that all requests share, if none has completed yet.
	initialPartHold = 5 * time.Second
	// soleTrialTime is the time from when a trial is due during which a request is no trial if it
	// has several parts on trial: its end would count against all of them.
	soleTrialTime = 10 * time.Second
	// maxKeys bounds the number of keys, and maxEndsPerKey the number of ends of each, and with them
	// the memory: about 200 bytes per end.
	maxKeys       = 2048
	maxEndsPerKey = 16
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

// End records that an endpoint's process ended while it ran a request: the one that the key identifies,
// or one with the part that the key identifies.
type End struct {
	Key       Key
	Part      bool   // The key is that of a part.
	Endpoint  string // Id of one process of the endpoint.
	Knowledge Knowledge
	// Void is set when the end no longer counts: the request completed elsewhere, so it did not
	// cause the end, or the process still runs and was only partitioned off.
	Void bool
	// SoundBefore is set if requests with the part had completed shortly before.
	SoundBefore bool
	At          time.Time
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
	part       bool
	sound      bool               // Requests with the part had completed before it had any ends.
	ends       map[string]*record // By endpoint; at most maxEndsPerKey.
	attributed []*record          // The ends that count against the key; set by attribute.
	trialUntil time.Time          // Time until which a trial runs at most; zero without one.
}

// History holds the ends that one process knows. It is not safe for concurrent use. The histories
// of several processes converge in whatever order they exchange ends: an end is added, and may
// become void, and neither is undone before it expires.
type History struct {
	entries map[Key]*entry
	changed bool  // Ends have changed since the last call of attribute.
	severe  []End // All ends in the order of MostSevere; nil if they have changed.
	proven  provenParts
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
		known = &entry{part: e.Part, ends: map[string]*record{}}
		b.entries[e.Key] = known
	}
	e.SoundBefore = e.SoundBefore || e.Part && b.proven.has(e.Key)
	if e.SoundBefore && !known.sound {
		known.sound, b.changed = true, true
	}
	r, ok := known.ends[e.Endpoint]
	if !ok {
		known.ends[e.Endpoint] = &record{End: e, lastSent: lastSent}
		known.dropOldest()
		b.changed = true
		return true
	}
	r.SoundBefore = r.SoundBefore || e.SoundBefore // Every gateway finds out by itself; a change alone is not sent.
	if r.Void == (r.Void || e.Void) && r.Knowledge >= e.Knowledge {
		return false // The end says nothing new.
	}
	r.Void, r.Knowledge = r.Void || e.Void, max(r.Knowledge, e.Knowledge)
	r.lastSent = lastSent
	b.changed = true
	return true
}

// dropOldest removes the oldest end if there are more than maxEndsPerKey.
func (e *entry) dropOldest() {
	if len(e.ends) <= maxEndsPerKey {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(e.ends)), func(x, y *record) int { return y.compareNewest(x) })
	delete(e.ends, oldest.Endpoint)
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
		return cmp.Or(cmp.Compare(ex.severity(), ey.severity()), ex.lastAt().Compare(ey.lastAt()))
	})
	delete(b.entries, drop)
	b.changed = true
}

// severity returns the most severe knowledge among the ends that are not void, whether or not they count.
func (e *entry) severity() (s Knowledge) {
	for _, r := range e.ends {
		if !r.Void {
			s = max(s, r.Knowledge)
		}
	}
	return s
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
	b.changed = b.changed || counted
	return counted
}

// ProvenParts returns those of the parts among some ends that are not recorded as sound before, but are
// proven sound here.
func (b *History) ProvenParts(ends []End) (list []Key) {
	for _, e := range ends {
		if e.Part && !e.SoundBefore && b.proven.has(e.Key) && !slices.Contains(list, e.Key) {
			list = append(list, e.Key)
		}
	}
	return list
}

// MarkSound records that requests with a part had completed at another gateway before it had ends. It
// reports whether that changed what is known of its ends, which are then to be sent again.
func (b *History) MarkSound(part Key) bool {
	e := b.entries[part]
	if e == nil || !e.part || e.sound {
		return false
	}
	e.sound, b.changed = true, true
	for _, r := range e.ends {
		r.SoundBefore, r.lastSent = true, time.Time{}
	}
	return true
}

// RecordSound records that a request with a part completed, so that ends during later requests are
// rather attributed to other parts.
func (b *History) RecordSound(part Key, now time.Time) { b.proven.add(part, now) }

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
	b.changed = b.changed || counted
	return counted
}

// KnowledgeOf returns the knowledge with which a request is sent now if it is not sent as a trial:
// KnownEnd if an end that counts is older than sameCauseWindow, otherwise NoKnownEnd.
func (b *History) KnowledgeOf(k Key, now time.Time) Knowledge {
	b.attribute()
	if e := b.entries[k]; e != nil {
		for _, r := range e.attributed {
			if now.Sub(r.At) > sameCauseWindow {
				return KnownEnd
			}
		}
	}
	return NoKnownEnd
}

// Judge returns whether a request may be sent, or a request with a part, and the remaining time of its
// hold; it is negative for a trial, which has been due for that time, and 0 for a free key. Only the ends
// that attribute leaves to the key are considered.
//
// While all ends may have the same cause, the key is free up to minEndsForTrial-1 ends, or
// minPartEndsForTrial-1 for a part. With more it is held until sameCauseWindow after the last end. After
// ends with different causes or a failed trial, the hold starts at the last end, and holdAfter gives its
// length by the number of failed trials. Each hold is followed by a trial. A part that was sound is
// free up to minSoundRounds-1 ends with different causes. The first hold of a part is short.
func (b *History) Judge(k Key, now time.Time) (v Verdict, remaining time.Duration) {
	b.attribute()
	e := b.entries[k]
	if e == nil {
		return Free, 0
	}
	return e.judge(now)
}

func (e *entry) judge(now time.Time) (v Verdict, remaining time.Duration) {
	var hold time.Duration
	switch {
	case e.sound:
		if e.rounds() < minSoundRounds {
			return Free, 0
		}
		hold = holdAfter(initialPartHold, e.failedTrials())
	case e.maxKnowledge() == NoKnownEnd:
		if len(e.attributed) < e.minEndsForTrial() {
			return Free, 0
		}
		hold = sameCauseWindow // A trial could fail by the same cause.
	case e.part && e.failedTrials() == 0:
		hold = initialPartHold
	default:
		hold = holdAfter(initialHold, e.failedTrials())
	}
	if remaining = e.lastCountedAt().Add(hold).Sub(now); remaining > 0 {
		return Held, remaining
	}
	return Trial, remaining
}

// Judgement is the verdict on a request: the strictest one on its keys.
type Judgement struct {
	Verdict   Verdict
	Remaining time.Duration // Of the longest hold; 0 unless held.
	Keys      []Key         // Those with that verdict; empty if the request is free.
	MayTry    bool          // The request may be sent as a trial of Keys.
}

// JudgeRequest returns the verdict on a request with the given keys. A request with several parts on trial
// is itself no trial until soleTrialTime after the trials are due.
func (b *History) JudgeRequest(keys iter.Seq[Key], now time.Time) (j Judgement) {
	parts, allOverdue := 0, true
	for k := range keys {
		v, remaining := b.Judge(k, now)
		if v == Free || v < j.Verdict {
			continue
		}
		if v > j.Verdict {
			j.Verdict, j.Keys = v, nil
		}
		j.Keys = append(j.Keys, k)
		j.Remaining = max(j.Remaining, remaining)
		if v == Trial && b.entries[k].part {
			parts++
			allOverdue = allOverdue && -remaining >= soleTrialTime
		}
	}
	j.MayTry = j.Verdict == Trial && (parts <= 1 || allOverdue)
	return j
}

func (e *entry) minEndsForTrial() int {
	if e.part {
		return minPartEndsForTrial
	}
	return minEndsForTrial
}

// holdAfter returns how long a key is held after the given number of failed trials.
func holdAfter(initial time.Duration, trials int) time.Duration {
	hold := initial
	for range trials {
		hold = min(hold*holdGrowth, maxHold)
	}
	return hold
}

// Suspected reports whether a part may be sent although an endpoint ended during an earlier request with
// it, none has completed yet, and that end cannot have the same cause as one that occurs now.
func (b *History) Suspected(k Key, now time.Time) bool {
	e := b.entries[k]
	if e == nil || !e.part || e.sound || b.KnowledgeOf(k, now) == NoKnownEnd {
		return false
	}
	v, _ := e.judge(now)
	return v == Free
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
	b.attribute()
	for k, e := range b.entries {
		if now.Sub(e.lastAt()) > max(retention, holdGrowth*holdAfter(initialHold, e.failedTrials())) {
			delete(b.entries, k)
			b.changed = true
		}
	}
}

// HeldCount returns the number of requests and parts that are held now; those on trial do not count.
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
	b.attribute()
	if b.severe == nil {
		all := b.all()
		slices.SortFunc(all, func(x, y *record) int {
			return cmp.Or(cmp.Compare(b.entries[y.Key].maxKnowledge(), b.entries[x.Key].maxKnowledge()), x.compareNewest(y))
		})
		for _, r := range all {
			b.severe = append(b.severe, r.End)
		}
	}
	return slices.Clone(b.severe[:min(limit, len(b.severe))])
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

// maxKnowledge returns the most severe knowledge among the ends that count.
func (e *entry) maxKnowledge() (s Knowledge) {
	for _, r := range e.attributed {
		s = max(s, r.Knowledge)
	}
	return s
}

// failedTrials returns the number of trials that ended an endpoint.
func (e *entry) failedTrials() (n int) {
	for _, r := range e.attributed {
		if r.Knowledge == OnTrial {
			n++
		}
	}
	return n
}

// lastCountedAt returns the time of the last end that counts.
func (e *entry) lastCountedAt() (at time.Time) {
	for _, r := range e.attributed {
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
