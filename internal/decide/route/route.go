// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package route chooses the endpoint for a request: the group first, then the
// rank within it. It is a pure function of the reports that an entry has received
// from the endpoints, which are delayed, and of the requests that the entry itself
// has sent since. It does not know whether an endpoint is alive: the caller does
// not pass dead or leaving ones.
package route

import (
	"math"
	"slices"

	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
)

// Candidate is an endpoint to which a request may be sent.
type Candidate struct {
	Endpoint   string
	Group      string
	SameDomain bool    // It is in the entry's own failure domain.
	Running    int     // Running requests, by its last report.
	Queued     int     // Queued requests, by its last report.
	Limit      int     // Its concurrency limit; 0 before its first report.
	StepMS     float64 // Its mean step time in milliseconds.
	InFlight   int     // Requests that this entry has sent since that report and that have not ended.
	Stalled    bool    // The step number of its group does not advance.
}

// Request holds the properties of a request that affect routing.
type Request struct {
	Prefix string // Hash of the prompt prefix; "" if caching does not matter.
	Random uint64 // Random number; the same value gives the same choice.
}

// Costs and loads, in units of one waiting request.
const (
	remoteCost      = 0.5  // Cost of a hop to another failure domain.
	unreportedLoad  = 1.0  // Assumed load of an endpoint that has not reported.
	maxLoadFactor   = 1.25 // Maximum load of a preferred endpoint, as a multiple of the mean.
	maxLoadSlack    = 0.1  // Added to that maximum.
	prefixEndpoints = 3    // Number of preferred endpoints of a prefix.
)

// load returns the endpoint's predicted wait: its requests as a fraction of its
// limit, plus the number of requests above the limit. For an endpoint that has not
// reported, it is unreportedLoad plus the number of requests in flight.
func (c Candidate) load() float64 {
	if c.Limit == 0 {
		return unreportedLoad + float64(c.InFlight)
	}
	busy := float64(c.Running+c.Queued+c.InFlight) / float64(c.Limit)
	excess := math.Max(0, float64(c.Running+c.Queued+c.InFlight-c.Limit))
	return busy + excess
}

// Pick returns the index of the chosen candidate, or -1 if all are stalled or
// there is none. Prefixes map to preferred endpoints by rendezvous hashing with
// bounded load; otherwise, Pick returns the better of two random candidates, so
// that entries with the same outdated reports do not all choose the same one.
func Pick(list []Candidate, r Request) int {
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
	if r.Prefix != "" {
		if i := preferred(list, usable, r.Prefix, total/float64(len(usable))); i >= 0 {
			return i
		}
	}
	a, b := twoRandom(len(usable), r.Random)
	first, second := usable[a], usable[b]
	if cost(list[second], r) < cost(list[first], r) {
		return second
	}
	return first
}

// preferred returns the index of the least loaded of the first prefixEndpoints endpoints in the
// rendezvous order of the prefix, so that only a few endpoints cache a popular
// prefix. It returns -1 if even the least load is far above mean, the mean load of all
// usable candidates. The list usable holds indices of candidates and is not empty.
func preferred(list []Candidate, usable []int, prefix string, mean float64) int {
	first := make([]int, 0, prefixEndpoints) // Candidates with the highest scores, highest first.
	scores := make([]uint64, 0, prefixEndpoints)
	for _, i := range usable {
		s := rendezvous.Score(prefix, list[i].Endpoint)
		at := len(first)
		for at > 0 && scores[at-1] < s {
			at--
		}
		if at == prefixEndpoints {
			continue
		}
		if len(first) == prefixEndpoints {
			first, scores = first[:prefixEndpoints-1], scores[:prefixEndpoints-1]
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
	if list[best].load() > maxLoadFactor*mean+maxLoadSlack {
		return -1
	}
	return best
}

// cost returns the predicted wait at a candidate, plus the cost of a hop if it is in
// another failure domain. The wait is longer by one percent for each 10 ms of step time.
func cost(c Candidate, r Request) float64 {
	sum := c.load()
	if c.StepMS > 0 {
		sum *= 1 + c.StepMS/1000
	}
	if !c.SameDomain {
		sum += remoteCost
	}
	return sum
}

// twoRandom returns two different random numbers below n, or 0 twice if n is 1.
func twoRandom(n int, random uint64) (a, b int) {
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
