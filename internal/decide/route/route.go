// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package route chooses the endpoint for a request: the group first, then the
// rank within it. It is a pure function of what an entry has heard of the
// endpoints, which is late, and of what it has sent itself since. It does not
// know whether an endpoint is alive: dead and leaving ones are not offered.
package route

import (
	"math"

	"github.com/canvaspulley/canvaspulley/internal/decide/own"
)

// Candidate is one endpoint that a request may go to.
type Candidate struct {
	Endpoint string
	Group    string
	Local    bool    // In the entry's own failure domain.
	Running  int     // Requests at the endpoint, by its last report.
	Queued   int     // Requests in its queue, by its last report.
	Limit    int     // Its concurrency limit; 0 when nothing was heard yet.
	StepMS   float64 // Its mean step time.
	Sent     int     // Requests this entry sent since that report and that have not ended.
	Stalled  bool    // Its group's step number stands still.
}

// Want is what a request asks for.
type Want struct {
	Prefix string // Hash of the prompt prefix; "" when caching does not matter.
	Random uint64 // Source of chance; the same value gives the same choice.
}

// Costs, in units of one request that waits.
const (
	remoteCost  = 0.5 // A hop to another failure domain.
	missCost    = 1.0 // Prompt work not cached there.
	unheardLoad = 1.0 // Load assumed of an endpoint that has not reported.
	boundFactor = 1.25
)

// load is the endpoint's predicted wait, in requests by its limit.
func (c Candidate) load() float64 {
	if c.Limit == 0 {
		return unheardLoad + float64(c.Sent)
	}
	busy := float64(c.Running+c.Queued+c.Sent) / float64(c.Limit)
	over := math.Max(0, float64(c.Running+c.Queued+c.Sent-c.Limit))
	return busy + over
}

// Pick returns the index of the chosen candidate, or -1 when all are stalled
// or there is none. Prefixes map to preferred endpoints by rendezvous with
// bounded load; apart from that, the better of two random candidates is taken,
// so that entries with the same old reports do not herd.
func Pick(list []Candidate, w Want) int {
	usable := make([]int, 0, len(list))
	total := 0.0
	for i, c := range list {
		if !c.Stalled {
			usable = append(usable, i)
			total += c.load()
		}
	}
	if len(usable) == 0 {
		return -1
	}
	if w.Prefix != "" {
		if i := preferred(list, usable, w.Prefix, total/float64(len(usable))); i >= 0 {
			return i
		}
	}
	a, b := twoOf(len(usable), w.Random)
	first, second := usable[a], usable[b]
	if cost(list[second], w) < cost(list[first], w) {
		return second
	}
	return first
}

// preferred returns the endpoint that holds the prefix, unless its load is out
// of proportion; then the next one in rendezvous order, so that a popular
// prefix spreads over a few endpoints and no more.
func preferred(list []Candidate, usable []int, prefix string, mean float64) int {
	const tries = 2
	skip := -1
	for range tries {
		best, top := -1, uint64(0)
		for _, i := range usable {
			s := own.Score(prefix, list[i].Endpoint)
			if i != skip && (best < 0 || s > top) {
				best, top = i, s
			}
		}
		if best < 0 {
			return -1
		}
		if list[best].load() <= boundFactor*mean+missCost/2 {
			return best
		}
		skip = best
	}
	return -1
}

// cost is the predicted wait and the prompt work not cached there.
func cost(c Candidate, w Want) float64 {
	sum := c.load()
	if c.StepMS > 0 {
		sum *= 1 + c.StepMS/1000
	}
	if !c.Local {
		sum += remoteCost
	}
	return sum
}

// twoOf draws two different numbers below n, or the same one when n is 1.
func twoOf(n int, random uint64) (a, b int) {
	a = int(random % uint64(n))
	if n == 1 {
		return a, a
	}
	b = int((random >> 32) % uint64(n-1))
	if b >= a {
		b++
	}
	return a, b
}
