// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"fmt"
	"math/rand/v2"

	"github.com/canvaspulley/canvaspulley/internal/decide/route"
)

// RoutingConfig configures the routing experiment. Time is counted in engine steps.
type RoutingConfig struct {
	Entries        int
	Endpoints      int // Ranks of one group; the one with most sequences sets the step time.
	Limit          int // Sequences that an endpoint runs at once.
	Steps          int
	ReportLag      int     // Steps until an entry receives a report.
	OfferedLoad    float64 // Offered load, as a share of the endpoints' capacity.
	AnswerSteps    int     // Mean length of an answer, in steps.
	Prefixes       int     // Number of different prompt prefixes.
	CachedPrefixes int     // Number of prefixes that the cache of an endpoint holds.
	PrefillSteps   int     // Steps that an uncached prefix costs.
	Seed           uint64
}

// DefaultRouting is the configuration of the figures in docs/MEASUREMENTS.md.
var DefaultRouting = RoutingConfig{Entries: 6, Endpoints: 12, Limit: 32, Steps: 20000, ReportLag: 1, OfferedLoad: 0.8,
	AnswerSteps: 60, Prefixes: 60, CachedPrefixes: 10, PrefillSteps: 10, Seed: 1}

// sequence is one request that runs at an endpoint.
type sequence struct {
	entry int
	end   int // Step at which it ends.
}

// engineSim simulates one endpoint, with its running sequences, a queue and a prefix
// cache whose newest entry is the last.
type engineSim struct {
	running []sequence
	queue   []arrival
	cache   []int
}

type arrival struct {
	entry     int
	prefix    int
	arrivedAt int
	length    int
}

// report is a load report of an endpoint, which an entry receives at the step at.
type report struct {
	at       int
	entry    int
	endpoint int
	running  int
	queued   int
}

// routingSim simulates one method of choosing a rank.
type routingSim struct {
	cfg            RoutingConfig
	rnd            *rand.Rand
	engines        []engineSim
	views          [][]route.Candidate // By entry, then endpoint.
	pendingReports []report
	nextRank       int // Next rank for round robin.
	waits          []float64
	skews          []float64
	fullest        []float64
	hits           int
	starts         int
}

// Routing compares methods of choosing a rank when load reports arrive late.
func Routing(cfg RoutingConfig) Table {
	t := Table{Title: fmt.Sprintf("Routing: %d entries, %d ranks of %d places, load %.2f, reports %d steps old, %d prefixes, %d cached a rank",
		cfg.Entries, cfg.Endpoints, cfg.Limit, cfg.OfferedLoad, cfg.ReportLag, cfg.Prefixes, cfg.CachedPrefixes)}
	for _, m := range []struct {
		name string
		pick func(r *routingSim, entry, prefix int) int
	}{
		{"random", func(r *routingSim, _, _ int) int { return r.rnd.IntN(cfg.Endpoints) }},
		{"round robin", func(r *routingSim, _, _ int) int { r.nextRank++; return r.nextRank % cfg.Endpoints }},
		{"least by report", leastByReport},
		{"two choices, no prefix", func(r *routingSim, entry, _ int) int {
			return route.Pick(r.views[entry], route.Request{Random: r.rnd.Uint64()})
		}},
		{"canvaspulley", func(r *routingSim, entry, prefix int) int {
			return route.Pick(r.views[entry], route.Request{Prefix: fmt.Sprint(prefix), Random: r.rnd.Uint64()})
		}},
	} {
		r := newRoutingSim(cfg)
		r.simulate(m.pick)
		t.Rows = append(t.Rows, r.row(m.name))
	}
	return t
}

// leastByReport picks the rank with the lowest reported load and ignores requests
// that were sent since the report.
func leastByReport(r *routingSim, entry, _ int) int {
	best := 0
	for i, c := range r.views[entry] {
		if c.Running+c.Queued < r.views[entry][best].Running+r.views[entry][best].Queued {
			best = i
		}
	}
	return best
}

func newRoutingSim(cfg RoutingConfig) *routingSim {
	r := &routingSim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 4)), engines: make([]engineSim, cfg.Endpoints)}
	for range cfg.Entries {
		view := make([]route.Candidate, cfg.Endpoints)
		for i := range view {
			view[i] = route.Candidate{Endpoint: fmt.Sprint("rank-", i), SameDomain: true, Limit: cfg.Limit}
		}
		r.views = append(r.views, view)
	}
	return r
}

func (r *routingSim) simulate(pick func(*routingSim, int, int) int) {
	c := r.cfg
	perStep := c.OfferedLoad * float64(c.Endpoints*c.Limit) / (float64(c.AnswerSteps) + float64(c.PrefillSteps)/2)
	for step := range c.Steps {
		r.deliverReports(step)
		for range poisson(r.rnd, perStep) {
			a := arrival{entry: r.rnd.IntN(c.Entries), prefix: r.prefix(), arrivedAt: step, length: 1 + int(r.rnd.ExpFloat64()*float64(c.AnswerSteps))}
			to := pick(r, a.entry, a.prefix)
			r.views[a.entry][to].InFlight++
			r.engines[to].queue = append(r.engines[to].queue, a)
		}
		for i := range r.engines {
			r.advance(i, step)
		}
		r.recordSkew()
	}
}

// prefix draws a prefix; prefixes with small numbers are more frequent.
func (r *routingSim) prefix() int {
	return int(float64(r.cfg.Prefixes) * r.rnd.Float64() * r.rnd.Float64())
}

// deliverReports delivers the reports that are due at a step to the entries.
func (r *routingSim) deliverReports(step int) {
	for len(r.pendingReports) > 0 && r.pendingReports[0].at <= step {
		n := r.pendingReports[0]
		r.pendingReports = r.pendingReports[1:]
		c := &r.views[n.entry][n.endpoint]
		c.Running, c.Queued, c.InFlight = n.running, n.queued, 0
	}
}

// advance ends and starts the sequences of one endpoint; at both, a report is sent
// to the entry of the sequence.
func (r *routingSim) advance(i, step int) {
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
		if e.lookup(a.prefix, r.cfg.CachedPrefixes) {
			r.hits++
		} else {
			length += r.cfg.PrefillSteps
		}
		e.running = append(e.running, sequence{a.entry, step + length})
		r.waits = append(r.waits, float64(step-a.arrivedAt+length-a.length))
		r.report(i, a.entry, step)
	}
}

func (r *routingSim) report(endpoint, entry, step int) {
	e := &r.engines[endpoint]
	r.pendingReports = append(r.pendingReports, report{step + r.cfg.ReportLag, entry, endpoint, len(e.running), len(e.queue)})
}

// lookup reports whether a prefix is cached, and makes it the newest in the cache.
func (e *engineSim) lookup(prefix, size int) bool {
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

// recordSkew records the skew of a step: the sequences of the fullest rank relative to
// the mean of all ranks.
func (r *routingSim) recordSkew() {
	maxRunning, total := 0, 0
	for _, e := range r.engines {
		maxRunning = max(maxRunning, len(e.running))
		total += len(e.running)
	}
	r.fullest = append(r.fullest, float64(maxRunning))
	if total > 0 {
		r.skews = append(r.skews, float64(maxRunning)*float64(len(r.engines))/float64(total))
	}
}

func (r *routingSim) row(name string) Row {
	return Row{name, []Cell{
		{"first token p50", "steps", quantile(r.waits, 0.5)},
		{"first token p95", "steps", quantile(r.waits, 0.95)},
		{"first token p99", "steps", quantile(r.waits, 0.99)},
		{"step skew mean", "", mean(r.skews)},
		{"fullest rank mean", "sequences", mean(r.fullest)},
		{"prefix hits", "share", float64(r.hits) / float64(r.starts)},
	}}
}
