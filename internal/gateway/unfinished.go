// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/suspects"
)

// unfinishedAttempt is an attempt that did not come to its end, and after which it is unknown
// whether the endpoint is still running: the caller left, the answer was silent or unusable, or the
// connection failed.
type unfinishedAttempt struct {
	suspects.Attempt
	endedAt time.Time // When the attempt ended.
}

const (
	// unfinishedTTL is the time after the end of an attempt within which the end of its endpoint is
	// attributed to it. Endpoints drop a request when its connection closes, and within this time
	// the next request finds that they have ended.
	unfinishedTTL = time.Second
	// maxUnfinishedPerEndpoint limits the attempts recorded per endpoint: twice the number that it
	// runs at once.
	maxUnfinishedPerEndpoint = 32
)

// unfinishedAttempts holds recent unfinished attempts by endpoint.
type unfinishedAttempts struct {
	mu            sync.Mutex // Guards the fields below.
	byEndpoint    map[string][]unfinishedAttempt
	pendingChecks map[string]bool // Endpoints for which a delayed check is scheduled.
}

func newUnfinishedAttempts() *unfinishedAttempts {
	return &unfinishedAttempts{byEndpoint: map[string][]unfinishedAttempt{}, pendingChecks: map[string]bool{}}
}

// note records an attempt at an endpoint. Only the newest maxUnfinishedPerEndpoint are kept.
func (t *unfinishedAttempts) note(endpoint string, u unfinishedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := append(t.byEndpoint[endpoint], u)
	t.byEndpoint[endpoint] = list[max(len(list)-maxUnfinishedPerEndpoint, 0):]
}

// take removes all attempts at an endpoint, and returns those to which its end is attributed: those
// that ended within unfinishedTTL.
func (t *unfinishedAttempts) take(endpoint string, now time.Time) (list []unfinishedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list = t.byEndpoint[endpoint]
	delete(t.byEndpoint, endpoint)
	return slices.DeleteFunc(list, func(u unfinishedAttempt) bool { return now.Sub(u.endedAt) >= unfinishedTTL })
}

// forget removes the attempts at each endpoint whose newest attempt ended unfinishedTTL ago or
// earlier.
func (t *unfinishedAttempts) forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.byEndpoint, func(_ string, list []unfinishedAttempt) bool {
		return now.Sub(list[len(list)-1].endedAt) >= unfinishedTTL
	})
}

// beginCheck reports whether no check of an endpoint is scheduled yet, and records that one is.
func (t *unfinishedAttempts) beginCheck(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	begins := !t.pendingChecks[endpoint]
	t.pendingChecks[endpoint] = true
	return begins
}

func (t *unfinishedAttempts) endCheck(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pendingChecks, endpoint)
}
