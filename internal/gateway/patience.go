// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"sync"
	"time"
)

// patience learns how long the callers of each route wait at first, and tells
// by that who comes again: what a caller has left is less then.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration // By route. Invariant: at most maxRoutes.
}

const (
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
	// firstShare is the part of the longest patience below which a caller has
	// used some of it.
	firstShare = 0.97
)

func newPatience() *patience { return &patience{longest: map[string]time.Duration{}} }

// again reports whether a caller with so much patience has tried before.
func (p *patience) again(route string, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := p.longest[route]
	if left > most {
		if len(p.longest) < maxRoutes || most > 0 {
			p.longest[route] = left
		}
		return false
	}
	return float64(left) < firstShare*float64(most)
}
