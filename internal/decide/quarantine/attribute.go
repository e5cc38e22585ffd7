// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"
)

// attribute determines which ends count against which keys. Every request and part that was at an
// endpoint when it ended has that end, but only one of them caused it. The smallest set of causes is
// the most likely one, so keys are considered by their scores, highest first: the ends of a key count
// against it unless they were at an endpoint whose end already counts against a key with a higher score.
// Keys with the same score cannot be told apart, and an end counts against all of them.
func (b *History) attribute() {
	if !b.changed {
		return
	}
	b.changed, b.severe = false, nil
	open := make([]*entry, 0, len(b.entries))
	for _, e := range b.entries {
		e.attributed = e.attributed[:0]
		for _, r := range e.ends {
			if !r.Void {
				e.attributed = append(e.attributed, r)
			}
		}
		open = append(open, e)
	}
	explained := map[string]bool{} // Endpoints whose ends count against a key.
	for {
		best := 0
		for _, e := range open {
			e.attributed = slices.DeleteFunc(e.attributed, func(r *record) bool { return explained[r.Endpoint] })
			best = max(best, e.score())
		}
		if best == 0 {
			return
		}
		open = slices.DeleteFunc(open, func(e *entry) bool {
			if e.score() < best {
				return false
			}
			for _, r := range e.attributed {
				explained[r.Endpoint] = true
			}
			return true
		})
	}
}

// score ranks a key as the cause of the ends that are not explained by another one: by their number, which
// counts half for a part that was sound before.
func (e *entry) score() int {
	if e.sound {
		return len(e.attributed)
	}
	return 2 * len(e.attributed)
}

// CountedEnds returns the number of ends that count against a key.
func (b *History) CountedEnds(k Key) int {
	b.attribute()
	if e := b.entries[k]; e != nil {
		return len(e.attributed)
	}
	return 0
}

// Suspicion ranks a key before an end of it is recorded: 2 if it has ends already, 0 for a part that is
// proven sound, and 1 otherwise.
func (b *History) Suspicion(k Key) int {
	switch {
	case b.entries[k] != nil:
		return 2
	case b.proven.has(k):
		return 0
	}
	return 1
}

// rounds returns the number of ends that count, without those that follow another one within
// sameCauseWindow.
func (e *entry) rounds() (n int) {
	slices.SortFunc(e.attributed, func(x, y *record) int { return y.compareNewest(x) })
	var last time.Time
	for _, r := range e.attributed {
		if n == 0 || r.At.Sub(last) > sameCauseWindow {
			n++
			last = r.At
		}
	}
	return n
}

const (
	// maxProvenParts bounds each of the two generations of proven parts: about 40 bytes each.
	maxProvenParts = 1 << 15
	// provenAge is the age from which a generation is replaced.
	provenAge = 5 * time.Minute
)

// provenParts holds the parts of requests that completed recently. A part in use is never displaced by
// new ones, however many there are, if a request with it completes in each generation.
type provenParts struct {
	current, previous map[Key]struct{}
	began             time.Time // When the current generation began.
}

func (p *provenParts) add(k Key, now time.Time) {
	if _, ok := p.current[k]; ok && now.Sub(p.began) < provenAge {
		return
	}
	if p.current == nil || len(p.current) >= maxProvenParts || now.Sub(p.began) >= provenAge {
		p.current, p.previous, p.began = map[Key]struct{}{}, p.current, now
	}
	p.current[k] = struct{}{}
}

func (p *provenParts) has(k Key) bool {
	if _, ok := p.current[k]; ok {
		return true
	}
	_, ok := p.previous[k]
	return ok
}
