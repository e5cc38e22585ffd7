// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
)

// unfinished is a try that did not come to its end, and of which it is not known whether its
// endpoint lives on: the caller left, the answer was silent or could not be used, or the
// connection broke.
type unfinished struct {
	key     quarantine.Key
	sending quarantine.Knowledge
	at      time.Time // When it was given up.
}

const (
	// unfinishedFor is for how long after a try was given up the end of its endpoint is
	// put down to it: endpoints drop a request once its connection closes, and the next
	// request finds within such a time that they have ended.
	unfinishedFor = time.Second
	// mostUnfinished bounds the tries that are remembered of one endpoint: twice what it
	// runs at once.
	mostUnfinished = 32
)

// unfinishedTries are those of late, by endpoint.
type unfinishedTries struct {
	mu         sync.Mutex // Guards what follows.
	byEndpoint map[string][]unfinished
	looks      map[string]bool // Endpoints that are about to be looked at.
}

func newUnfinishedTries() *unfinishedTries {
	return &unfinishedTries{byEndpoint: map[string][]unfinished{}, looks: map[string]bool{}}
}

// note remembers a try at an endpoint.
func (t *unfinishedTries) note(endpoint string, u unfinished) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := append(t.byEndpoint[endpoint], u)
	t.byEndpoint[endpoint] = list[max(len(list)-mostUnfinished, 0):]
}

// take returns the tries at an endpoint to which its end is put down, and forgets them.
func (t *unfinishedTries) take(endpoint string, now time.Time) (list []unfinished) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list = t.byEndpoint[endpoint]
	delete(t.byEndpoint, endpoint)
	return slices.DeleteFunc(list, func(u unfinished) bool { return now.Sub(u.at) >= unfinishedFor })
}

// forget drops what is too old to count.
func (t *unfinishedTries) forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.byEndpoint, func(_ string, list []unfinished) bool {
		return now.Sub(list[len(list)-1].at) >= unfinishedFor
	})
}

// beginLook reports whether nobody is about to look at an endpoint yet.
func (t *unfinishedTries) beginLook(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	begins := !t.looks[endpoint]
	t.looks[endpoint] = true
	return begins
}

func (t *unfinishedTries) endLook(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.looks, endpoint)
}
