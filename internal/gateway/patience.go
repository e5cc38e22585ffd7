// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"sync"
	"time"
)

// patience learns how long the callers of each route wait at first, and tells
// by that who comes again: what a caller has left is less then.
type patience struct {
	mu     sync.Mutex
	routes map[string]patient // Invariant: at most maxRoutes.
}

// patient is what is known of the callers of one route.
type patient struct {
	longest time.Duration // That one of them waits.
	seen    int           // Callers, up to enoughSeen.
}

const (
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
	// toldShare is the part of the shortest time after which a full service tells callers
	// to come back that one must have used to count as refused before: times on the wire
	// are whole milliseconds. Callers do not all wait equally long: where the patience of
	// first tries differs by 15 in 100, taking a caller with 3 in 100 less than the longest
	// for one who comes again made it so for 1,179 of 1,527 who came while a group was
	// full, so that nearly everybody was put behind and kept waiting until it was late.
	toldShare = 0.95
	// honoured is the part of the time that callers have left up to which they wait as
	// they are told.
	honoured = 1.0 / 3
	// enoughSeen is how many callers of a route tell how long they wait at first: most
	// of them come for the first time, but for those of the first moments of a process
	// that took the place of another one.
	enoughSeen = 20
)

func newPatience() *patience { return &patience{routes: map[string]patient{}} }

// again reports whether a caller with so much patience has tried before, and whether it
// may have: as long as few callers were seen, those of a route are taken to wait for as
// long as the route allows.
func (p *patience) again(route string, left, timeout time.Duration) (surely, perhaps bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, known := p.routes[route]
	before := r.longest
	if r.seen < enoughSeen {
		r.seen++
		perhaps = used(left, timeout)
	}
	r.longest = max(r.longest, left)
	if known || len(p.routes) < maxRoutes {
		p.routes[route] = r
	}
	surely = used(left, before)
	return surely, perhaps || surely
}

// used reports whether a caller that has so much patience left has waited as it was told
// since it had the longest.
func used(left, longest time.Duration) bool {
	told := min(fullRetry, time.Duration(honoured*float64(longest)))
	return left < longest-time.Duration(toldShare*float64(told))
}
