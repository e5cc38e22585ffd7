// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"fmt"
	"math/rand/v2"

	"github.com/canvaspulley/canvaspulley/internal/decide/route"
)

// RoutingConfig sizes the routing experiment. Time goes in engine steps.
type RoutingConfig struct {
	Entries        int
	Endpoints      int // All of one group: the fullest one paces the step.
	Limit          int // Sequences an endpoint runs at once.
	Steps          int
	ReportLag      int     // Steps until an entry hears a report.
	OfferedLoad    float64 // Share of the endpoints' capacity that is offered.
	AnswerSteps    int     // Mean length of an answer, in steps.
	Prefixes       int     // Different prompt prefixes.
	CachedPrefixes int     // Prefixes that an endpoint's cache holds.
	PrefillSteps   int     // Steps that an uncached prefix costs.
	Seed           uint64
}

// DefaultRouting is the setting of docs/MEASUREMENTS.md.
var DefaultRouting = RoutingConfig{Entries: 6, Endpoints: 12, Limit: 32, Steps: 20000, ReportLag: 1, OfferedLoad: 0.8,
	AnswerSteps: 60, Prefixes: 60, CachedPrefixes: 10, PrefillSteps: 10, Seed: 1}

// sequenceEnd is one answer that runs at an endpoint.
type sequenceEnd struct {
	entry int
	end   int // Step at which it ends.
}

// engineSim is one endpoint: places, a queue and a cache of prefixes.
type engineSim struct {
	running []sequenceEnd
	queue   []arrival
	cache   []int
}

type arrival struct {
	entry  int
	prefix int
	at     int
	length int
}

// report is what an entry hears of an endpoint, late.
type report struct {
	at       int
	entry    int
	endpoint int
	running  int
	queued   int
}

// routingRun is one method under the load.
type routingRun struct {
	cfg     RoutingConfig
	rnd     *rand.Rand
	engines []engineSim
	views   [][]route.Candidate // By entry, then endpoint.
	news    []report
	next    int // For round robin.
	waits   []float64
	skews   []float64
	fullest []float64
	hits    int
	starts  int
}

// Routing compares the choice of rank under late reports.
func Routing(cfg RoutingConfig) Table {
	t := Table{Title: fmt.Sprintf("Routing: %d entries, %d ranks of %d places, load %.2f, reports %d steps old, %d prefixes, %d cached a rank",
		cfg.Entries, cfg.Endpoints, cfg.Limit, cfg.OfferedLoad, cfg.ReportLag, cfg.Prefixes, cfg.CachedPrefixes)}
	for _, m := range []struct {
		name string
		pick func(r *routingRun, entry, prefix int) int
	}{
		{"random", func(r *routingRun, _, _ int) int { return r.rnd.IntN(cfg.Endpoints) }},
		{"round robin", func(r *routingRun, _, _ int) int { r.next++; return r.next % cfg.Endpoints }},
		{"least by report", leastByReport},
		{"two choices, no prefix", func(r *routingRun, entry, _ int) int {
			return route.Pick(r.views[entry], route.Request{Random: r.rnd.Uint64()})
		}},
		{"canvaspulley", func(r *routingRun, entry, prefix int) int {
			return route.Pick(r.views[entry], route.Request{Prefix: fmt.Sprint(prefix), Random: r.rnd.Uint64()})
		}},
	} {
		r := newRoutingRun(cfg)
		r.drive(m.pick)
		t.Rows = append(t.Rows, r.row(m.name))
	}
	return t
}

// leastByReport trusts the reports as they are.
func leastByReport(r *routingRun, entry, _ int) int {
	best := 0
	for i, c := range r.views[entry] {
		if c.Running+c.Queued < r.views[entry][best].Running+r.views[entry][best].Queued {
			best = i
		}
	}
	return best
}

func newRoutingRun(cfg RoutingConfig) *routingRun {
	r := &routingRun{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 4)), engines: make([]engineSim, cfg.Endpoints)}
	for range cfg.Entries {
		view := make([]route.Candidate, cfg.Endpoints)
		for i := range view {
			view[i] = route.Candidate{Endpoint: fmt.Sprint("rank-", i), SameDomain: true, Limit: cfg.Limit}
		}
		r.views = append(r.views, view)
	}
	return r
}

func (r *routingRun) drive(pick func(*routingRun, int, int) int) {
	c := r.cfg
	perStep := c.OfferedLoad * float64(c.Endpoints*c.Limit) / (float64(c.AnswerSteps) + float64(c.PrefillSteps)/2)
	for step := range c.Steps {
		r.hear(step)
		for range poisson(r.rnd, perStep) {
			a := arrival{entry: r.rnd.IntN(c.Entries), prefix: r.prefix(), at: step, length: 1 + int(r.rnd.ExpFloat64()*float64(c.AnswerSteps))}
			to := pick(r, a.entry, a.prefix)
			r.views[a.entry][to].InFlight++
			r.engines[to].queue = append(r.engines[to].queue, a)
		}
		for i := range r.engines {
			r.advance(i, step)
		}
		r.measure()
	}
}

// prefix draws a prefix; a few are popular.
func (r *routingRun) prefix() int {
	return int(float64(r.cfg.Prefixes) * r.rnd.Float64() * r.rnd.Float64())
}

// hear brings reports that have become old enough to the entries.
func (r *routingRun) hear(step int) {
	for len(r.news) > 0 && r.news[0].at <= step {
		n := r.news[0]
		r.news = r.news[1:]
		c := &r.views[n.entry][n.endpoint]
		c.Running, c.Queued, c.InFlight = n.running, n.queued, 0
	}
}

// advance ends and starts sequences; at both the entry concerned gets a report.
func (r *routingRun) advance(i, step int) {
	e := &r.engines[i]
	kept := e.running[:0]
	for _, s := range e.running {
		if s.end > step {
			kept = append(kept, s)
			continue
		}
		r.report(i, s.entry, step)
	}
	e.running = kept
	for len(e.queue) > 0 && len(e.running) < r.cfg.Limit {
		a := e.queue[0]
		e.queue = e.queue[1:]
		length := a.length
		r.starts++
		if e.hit(a.prefix, r.cfg.CachedPrefixes) {
			r.hits++
		} else {
			length += r.cfg.PrefillSteps
		}
		e.running = append(e.running, sequenceEnd{a.entry, step + length})
		r.waits = append(r.waits, float64(step-a.at+length-a.length))
		r.report(i, a.entry, step)
	}
}

func (r *routingRun) report(endpoint, entry, step int) {
	e := &r.engines[endpoint]
	r.news = append(r.news, report{step + r.cfg.ReportLag, entry, endpoint, len(e.running), len(e.queue)})
}

// hit looks a prefix up and makes it the newest in the cache.
func (e *engineSim) hit(prefix, size int) bool {
	found := false
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(e.cache[:i], e.cache[i+1:]...)
			found = true
			break
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > size {
		e.cache = e.cache[1:]
	}
	return found
}

// measure takes the step's skew: the fullest rank to the mean.
func (r *routingRun) measure() {
	most, total := 0, 0
	for _, e := range r.engines {
		most = max(most, len(e.running))
		total += len(e.running)
	}
	r.fullest = append(r.fullest, float64(most))
	if total > 0 {
		r.skews = append(r.skews, float64(most)*float64(len(r.engines))/float64(total))
	}
}

func (r *routingRun) row(name string) Row {
	return Row{name, []Cell{
		{"first token p50", "steps", quantile(r.waits, 0.5)},
		{"first token p95", "steps", quantile(r.waits, 0.95)},
		{"first token p99", "steps", quantile(r.waits, 0.99)},
		{"step skew mean", "", mean(r.skews)},
		{"fullest rank mean", "sequences", mean(r.fullest)},
		{"prefix hits", "share", float64(r.hits) / float64(r.starts)},
	}}
}
