// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package route chooses the endpoint for a request: the group first, then the
// rank within it. It is a pure function of what an entry has heard of the
// endpoints, which is late, and of what it has sent itself since. It does not
// know whether an endpoint is alive: dead and leaving ones are not offered.
package route

import (
	"math"
	"slices"

	"github.com/canvaspulley/canvaspulley/internal/decide/own"
)

// Candidate is one endpoint that a request may go to.
type Candidate struct {
	Endpoint   string
	Group      string
	SameDomain bool    // In the entry's own failure domain.
	Running    int     // Requests at the endpoint, by its last report.
	Queued     int     // Requests in its queue, by its last report.
	Limit      int     // Its concurrency limit; 0 when nothing was heard yet.
	StepMS     float64 // Its mean step time.
	InFlight   int     // Requests this entry sent since that report and that have not ended.
	Stalled    bool    // Its group's step number stands still.
}

// Request is what a request asks for.
type Request struct {
	Prefix string // Hash of the prompt prefix; "" when caching does not matter.
	Random uint64 // Source of chance; the same value gives the same choice.
}

// Costs, in units of one request that waits.
const (
	remoteCost  = 0.5  // A hop to another failure domain.
	unheardLoad = 1.0  // Load assumed of an endpoint that has not reported.
	boundFactor = 1.25 // Load of a preferred endpoint, at most, to the mean.
	boundSlack  = 0.1
	holders     = 3 // Endpoints that hold one prefix.
)

// load is the endpoint's predicted wait, in requests by its limit.
func (c Candidate) load() float64 {
	if c.Limit == 0 {
		return unheardLoad + float64(c.InFlight)
	}
	busy := float64(c.Running+c.Queued+c.InFlight) / float64(c.Limit)
	over := math.Max(0, float64(c.Running+c.Queued+c.InFlight-c.Limit))
	return busy + over
}

// Pick returns the index of the chosen candidate, or -1 when all are stalled
// or there is none. Prefixes map to preferred endpoints by rendezvous with
// bounded load; apart from that, the better of two random candidates is taken,
// so that entries with the same old reports do not herd.
func Pick(list []Candidate, w Request) int {
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

// preferred returns the least loaded of the few endpoints that come first for
// the prefix in rendezvous order, so that a popular prefix is held by a few
// endpoints and no more. When even that one is far above the mean, there is
// none.
func preferred(list []Candidate, usable []int, prefix string, mean float64) int {
	first := make([]int, 0, holders)
	scores := make([]uint64, 0, holders)
	for _, i := range usable {
		s := own.Score(prefix, list[i].Endpoint)
		at := len(first)
		for at > 0 && scores[at-1] < s {
			at--
		}
		if at == holders {
			continue
		}
		if len(first) == holders {
			first, scores = first[:holders-1], scores[:holders-1]
		}
		first = slices.Insert(first, at, i)
		scores = slices.Insert(scores, at, s)
	}
	best := first[0]
	for _, i := range first[1:] {
		if list[i].load() < list[best].load() {
			best = i
		}
	}
	if list[best].load() > boundFactor*mean+boundSlack {
		return -1
	}
	return best
}

// cost is the predicted wait and the prompt work not cached there.
func cost(c Candidate, w Request) float64 {
	sum := c.load()
	if c.StepMS > 0 {
		sum *= 1 + c.StepMS/1000
	}
	if !c.SameDomain {
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
