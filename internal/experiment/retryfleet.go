// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/census"
	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
)

// Times of the model of a fleet.
const (
	fleetStep     = 10 * time.Millisecond
	callerPatient = 2 * time.Second        // A request that is not handled by then is given up by its caller.
	retryDelay    = 50 * time.Millisecond  // Longest time between the decision for a retry and its arrival.
	callerDelay   = 100 * time.Millisecond // Longest time between sending and arrival of a request.
	fleetAttempts = 3
	fleetLead     = 5 * time.Second // Before the traffic.
)

// limiter decides about the retries of one process of a gateway.
type limiter struct {
	place   func(p census.Place, heard int, now time.Time) // Heard is the number of gateways that it hears, with itself.
	request func(now time.Time)
	take    func(now time.Time) bool
}

// sharedLimiter returns the limiter that gateways use.
func sharedLimiter(bound retry.Bound, random func() float64) limiter {
	b := retry.NewSharedBudget(bound)
	return limiter{
		place:   func(p census.Place, _ int, now time.Time) { b.SetPlace(p, now) },
		request: func(now time.Time) { b.RecordRequest(now, random) },
		take:    b.Take,
	}
}

// perProcessLimiter returns the naive limiter: the process may retry a share of its own requests in
// a sliding window, and its part of the slack among the gateways it hears, from its start on.
func perProcessLimiter(bound retry.Bound, _ func() float64) limiter {
	var requests, retries []time.Time
	gateways := 1
	inWindow := func(list []time.Time, now time.Time) []time.Time {
		for len(list) > 0 && now.Sub(list[0]) > bound.Window {
			list = list[1:]
		}
		return list
	}
	return limiter{
		place:   func(_ census.Place, heard int, _ time.Time) { gateways = heard },
		request: func(now time.Time) { requests = append(requests, now) },
		take: func(now time.Time) bool {
			requests, retries = inWindow(requests, now), inWindow(retries, now)
			if float64(len(retries)+1) > bound.Share*float64(len(requests))+bound.Slack/float64(gateways) {
				return false
			}
			retries = append(retries, now)
			return true
		},
	}
}

// modelGateway is a gateway of the model and its current process.
type modelGateway struct {
	domain         int
	side           int       // Gateways of different sides of a partition do not hear each other.
	aliveFrom      time.Time // Start of the process, in the future while there is none.
	suspendedUntil time.Time
	nextHello      time.Time
	heard          []time.Time // When each gateway was last heard by the process.
	others         int         // Gateways heard lately.
	census         *census.Census
	limiter        limiter
	waiting        []time.Time // Requests that arrived during a suspension.
}

// retryFleet is a model of gateways whose endpoints fail, and of what is sent.
type retryFleet struct {
	bound      retry.Bound
	newLimiter func(retry.Bound, func() float64) limiter
	random     *rand.Rand
	now        time.Time
	gateways   []*modelGateway
	domains    int
	rate       float64 // Requests per second.
	failures   float64 // Portion of the attempts that fail.
	weight     func(i int) float64
	// endpointsCut says that a partition separates endpoints as well, and not only gateways.
	endpointsCut bool
	sides        int // Sides of the partition, 1 for none.

	requests, retries []time.Time
}

// newRetryFleet returns a fleet whose gateways have been started at the same time and serve callers
// evenly.
func newRetryFleet(gateways, domains int, bound retry.Bound, seed uint64, newLimiter func(retry.Bound, func() float64) limiter) *retryFleet {
	f := &retryFleet{bound: bound, newLimiter: newLimiter, random: rand.New(rand.NewPCG(seed, 5)), now: origin, domains: domains, sides: 1, weight: func(int) float64 { return 1 }}
	for i := range gateways {
		f.gateways = append(f.gateways, &modelGateway{domain: i % domains, heard: make([]time.Time, gateways)})
	}
	for i := range gateways {
		f.start(i, 0)
	}
	return f
}

// start ends the process of a gateway and starts another one after a time.
func (f *retryFleet) start(i int, after time.Duration) {
	g := f.gateways[i]
	g.aliveFrom, g.suspendedUntil, g.waiting = f.now.Add(after), time.Time{}, nil
	g.nextHello = g.aliveFrom.Add(time.Duration(f.random.Int64N(int64(roster.HelloInterval))))
	clear(g.heard)
	g.others = 0
	g.census = census.New(2500 * time.Millisecond)
	g.limiter = f.newLimiter(f.bound, f.random.Float64)
}

func (f *retryFleet) runs(g *modelGateway) bool {
	return !g.aliveFrom.After(f.now) && !g.suspendedUntil.After(f.now)
}

// run plays the fleet for a time. Before each step it calls act, if not nil.
func (f *retryFleet) run(d time.Duration, act func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		if act != nil {
			act()
		}
		for i, g := range f.gateways {
			if !f.runs(g) {
				continue
			}
			if !g.nextHello.After(f.now) {
				f.hello(i)
			}
			for _, sent := range g.waiting {
				if f.now.Sub(sent) < callerPatient {
					f.handle(g)
				}
			}
			g.waiting = nil
		}
		f.arrive()
	}
}

// hello has a gateway hear some of those on its side, and tell them what it observes.
func (f *retryFleet) hello(i int) {
	g := f.gateways[i]
	g.nextHello = g.nextHello.Add(roster.HelloInterval)
	var c census.Contact
	domains := map[int]bool{g.domain: true}
	for k, other := range f.gateways {
		if k == i {
			continue
		}
		if f.runs(other) && other.side == g.side && f.random.Float64() < 0.5 {
			g.heard[k] = f.now
			other.heard[i] = f.now
			g.census.Tell(other.census.Observed(f.now), f.now)
		}
		if !g.heard[k].IsZero() && f.now.Sub(g.heard[k]) <= roster.ExpireAfter {
			c.Others++
			if k < i {
				c.Before++
			}
			domains[other.domain] = true
		}
	}
	g.others = c.Others
	c.MissingDomains = f.domains - len(domains)
	c.Ranks, c.RanksReporting = f.sides, f.sides
	if f.endpointsCut {
		c.RanksReporting = 1 // Endpoints are divided evenly.
	}
	for _, other := range f.gateways {
		if !other.aliveFrom.After(f.now) && (other.side == g.side || !f.endpointsCut) {
			c.Reported++ // Sidecars hear all gateways on their side.
		}
	}
	g.census.Observe(c, f.now)
}

// arrive has the requests of one step arrive at gateways.
func (f *retryFleet) arrive() {
	total := 0.0
	for i := range f.gateways {
		total += f.weight(i)
	}
	for n := f.poisson(f.rate * fleetStep.Seconds()); n > 0; n-- {
		sent := f.now.Add(-time.Duration(f.random.Int64N(int64(callerDelay))))
		f.requests = append(f.requests, sent)
		at := f.random.Float64() * total
		for i, g := range f.gateways {
			if at -= f.weight(i); at >= 0 {
				continue
			}
			switch {
			case f.runs(g):
				f.handle(g)
			case !g.aliveFrom.After(f.now):
				g.waiting = append(g.waiting, sent)
			}
			break
		}
	}
}

// handle sends a request to one endpoint after another until one does not fail.
func (f *retryFleet) handle(g *modelGateway) {
	g.limiter.place(g.census.Place(f.now), g.others+1, f.now)
	g.limiter.request(f.now)
	at := f.now
	for range fleetAttempts - 1 {
		if f.random.Float64() >= f.failures || !g.limiter.take(f.now) {
			return
		}
		at = at.Add(time.Duration(f.random.Int64N(int64(retryDelay))))
		f.retries = append(f.retries, at)
	}
}

// poisson returns a number of events of which the given number is expected.
func (f *retryFleet) poisson(expected float64) (n int) {
	for at := f.random.ExpFloat64(); at < expected; at += f.random.ExpFloat64() {
		n++
	}
	return n
}

// worst returns the span that uses most of what is allowed.
func (f *retryFleet) worst() retry.Span { return f.bound.Worst(f.requests, f.retries) }
