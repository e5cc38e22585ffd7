// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Size and speed of the group, as on the sheet of the small deployment.
const (
	ranks         = 12
	expertSets    = 4
	expertsPerSet = 72
	places        = 8
	spare         = 3
	slots         = 12
	expertMB      = 2200.0
	engineMbps    = 180000.0
	passTime      = 75 * time.Millisecond // Of a group in which most slots are taken.
	stallTime     = 1500 * time.Millisecond
	formTime      = 600 * time.Millisecond
	reportLag     = 200 * time.Millisecond
	runningEach   = 10 // Requests that clients keep running at each rank.
	groupName     = "g-1"
)

// arming is the map that a rank takes at a pass.
type arming struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

type expertMap [][][]int // Experts by set and rank.

// engine is the state of one rank.
type engine struct {
	fence      uint64
	sequence   uint64
	mapVersion uint64
	highest    uint64 // Highest version that it was ever told to prepare.
	prepared   uint64
	copiedAt   time.Time // When the prepared map's experts are copied.
	armed      arming
	held       uint64
	maps       map[uint64]expertMap
	counts     []uint64
	history    []lagged // Reports of the last moments, for askers on other machines.
}

type lagged struct {
	at     time.Time
	report map[string]any
}

// group is a group of model runners that make each pass together.
type group struct {
	c       *caseRun
	onOrder func(r int, own bool, o order, status int) // Called with mu held, after an order was carried out.

	mu         sync.Mutex
	epoch      uint64
	open       bool
	step       uint64
	passLeft   time.Duration // Rest of the pass in progress.
	engines    []*engine
	net        *network
	cutOff     bool // A rank is cut off.
	cutAt      time.Time
	hot        int       // Determines which experts are in demand.
	changes    int       // Maps that came into force.
	broken     int       // Times that the group broke.
	violations int       // Passes that began on two maps.
	violatedAt time.Time // Beginning of the first of them.
	rightAfter int       // Passes since then that began on one map.
}

func newGroup(c *caseRun, n *network) *group {
	g := &group{c: c, net: n, epoch: 1, open: true}
	for range ranks {
		g.engines = append(g.engines, &engine{counts: make([]uint64, expertSets*expertsPerSet)})
	}
	g.reset()
	return g
}

// reset puts all ranks on map 0 with nothing prepared, armed or held. The caller holds mu.
func (g *group) reset() {
	initial := make(expertMap, expertSets)
	for k := range initial {
		initial[k] = make([][]int, ranks)
		for x := range expertsPerSet {
			initial[k][x%ranks] = append(initial[k][x%ranks], x)
		}
	}
	for _, e := range g.engines {
		e.mapVersion, e.prepared, e.armed, e.held = 0, 0, arming{}, 0
		e.maps = map[uint64]expertMap{0: initial}
	}
}

// tick is the resolution of the simulation.
const tick = 5 * time.Millisecond

// run makes passes until the process ends.
func (g *group) run() {
	last := time.Now()
	for {
		time.Sleep(tick)
		now := time.Now()
		g.mu.Lock()
		g.advance(now, now.Sub(last))
		g.mu.Unlock()
		last = now
	}
}

// advance lets a time pass. Everything stands still while a rank is cut off; after stallTime the group breaks.
func (g *group) advance(now time.Time, d time.Duration) {
	for r := range g.engines {
		g.recordHistory(r, now)
	}
	if !g.open {
		return
	}
	if g.cutOff {
		if now.Sub(g.cutAt) > stallTime {
			g.breakUp()
		}
		return
	}
	if g.passLeft -= d; g.passLeft > 0 {
		return
	}
	for _, e := range g.engines {
		if e.held == g.step+1 {
			g.passLeft = 0
			return
		}
	}
	g.beginPass()
}

func (g *group) breakUp() {
	g.c.record("the group breaks: a rank was cut off for over %v", stallTime)
	g.open, g.broken = false, g.broken+1
	go func() {
		for {
			time.Sleep(formTime)
			g.mu.Lock()
			if !g.cutOff {
				g.epoch++
				g.reset()
				g.open = true
				g.c.record("the group opens in epoch %d", g.epoch)
				g.mu.Unlock()
				return
			}
			g.mu.Unlock()
		}
	}()
}

// beginPass begins the next pass and checks that all ranks begin it on one map.
func (g *group) beginPass() {
	g.step++
	g.passLeft += passTime
	changed := false
	for _, e := range g.engines {
		if e.armed.Version != 0 && e.armed.Step == g.step {
			e.mapVersion, e.armed, e.prepared = e.armed.Version, arming{}, 0
			changed = true
		}
	}
	versions := make([]uint64, ranks)
	differ := false
	for r, e := range g.engines {
		versions[r] = e.mapVersion
		differ = differ || e.mapVersion != g.engines[0].mapVersion || !sameMap(e.maps[e.mapVersion], g.engines[0].maps[g.engines[0].mapVersion])
	}
	switch {
	case differ:
		if g.violations++; g.violations == 1 {
			g.violatedAt = time.Now()
		}
		if g.violations <= 3 {
			g.c.record("BROKEN: pass %d of epoch %d begins while ranks have different maps; versions by rank: %v", g.step, g.epoch, versions)
		}
	case changed:
		g.changes++
		g.c.record("pass %d begins with map %d at all ranks", g.step, versions[0])
	}
	if !differ && g.violations > 0 {
		g.rightAfter++
	}
	for r, e := range g.engines {
		for k := range expertSets {
			for x := range expertsPerSet {
				e.counts[k*expertsPerSet+x] += uint64(3 + 400/(1+(x*7+g.hot*11+k*5)%expertsPerSet) + r%2)
			}
		}
	}
}

func sameMap(a, b expertMap) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// order is an order to a runner.
type order struct {
	Op       string    `json:"op"`
	Fence    uint64    `json:"fence"`
	Expected *uint64   `json:"expected-revision"`
	Epoch    uint64    `json:"epoch"`
	Version  uint64    `json:"version"`
	Step     uint64    `json:"step"`
	Map      expertMap `json:"map"`
}

// handler serves the runner of a rank. MachineOf returns which machine has an address. A call that a cut
// holds up and whose sender has gone meanwhile is lost.
func (g *group) handler(r int, machineOf func(address string) int) http.Handler {
	mux := http.NewServeMux()
	own := func(q *http.Request) bool { return machineOf(q.RemoteAddr) == r }
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, q *http.Request) {
		if g.net.await(machineOf(q.RemoteAddr), r) && q.Context().Err() != nil {
			return
		}
		g.mu.Lock()
		report := g.report(r, time.Now())
		if h := g.engines[r].history; !own(q) && len(h) > 0 {
			report = h[0].report
		}
		g.mu.Unlock()
		writeJSON(w, report)
	})
	mux.HandleFunc("GET /picked", func(w http.ResponseWriter, q *http.Request) {
		if g.net.await(machineOf(q.RemoteAddr), r) && q.Context().Err() != nil {
			return
		}
		g.mu.Lock()
		answer := g.picked(r, q.URL.Query().Has("lists"))
		g.mu.Unlock()
		writeJSON(w, answer)
	})
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, q *http.Request) {
		var o order
		if json.NewDecoder(q.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if g.net.await(machineOf(q.RemoteAddr), r) && q.Context().Err() != nil {
			return
		}
		g.mu.Lock()
		status := g.carryOut(r, o, time.Now())
		g.c.record("rank %d: %s version %d step %d fence %d epoch %d from %s: %d", r, o.Op, o.Version, o.Step, o.Fence, o.Epoch, q.RemoteAddr, status)
		g.onOrder(r, own(q), o, status)
		g.mu.Unlock()
		w.WriteHeader(status)
	})
	return mux
}

// report returns the report of a rank. The caller holds mu.
func (g *group) report(r int, now time.Time) map[string]any {
	e := g.engines[r]
	state := "broken"
	if g.open {
		state = "open"
	}
	v := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"utilization": e.prepared != 0 && now.Before(e.copiedAt), "sequence": e.sequence,
		"waiting-requests": 0, "running-requests": runningEach, "kv-cache-used": 41000, "kv-cache-total": 280000, "handles": 0,
		"pace": 1.0, "size": ranks, "step": g.step, "map": e.mapVersion, "prepared": nil, "armed": nil, "held": nil,
		"group": map[string]any{"name": groupName, "epoch": g.epoch, "rank": r, "state": state},
	}
	if e.prepared != 0 && !now.Before(e.copiedAt) {
		v["prepared"] = e.prepared
	}
	if e.armed.Version != 0 {
		v["armed"] = e.armed
	}
	if e.held != 0 {
		v["held"] = e.held
	}
	return v
}

// recordHistory keeps what askers on other machines see: the first element is the report as of
// reportLag ago. The caller holds mu.
func (g *group) recordHistory(r int, now time.Time) {
	e := g.engines[r]
	e.history = append(e.history, lagged{now, g.report(r, now)})
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= reportLag {
		e.history = e.history[1:]
	}
}

func (g *group) picked(r int, lists bool) any {
	e := g.engines[r]
	if !lists {
		return map[string]any{"step": g.step, "epoch": g.epoch, "counts": e.counts}
	}
	held := make([][]int, expertSets)
	for k := range held {
		held[k] = e.maps[e.mapVersion][k][r]
	}
	return map[string]any{"step": g.step, "epoch": g.epoch, "map": map[string]any{"version": e.mapVersion, "experts": held}, "prepared": nil}
}

// carryOut carries out an order at a rank. The caller holds mu.
func (g *group) carryOut(r int, o order, now time.Time) (status int) {
	e := g.engines[r]
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	if o.Epoch != 0 && o.Epoch != g.epoch || o.Expected != nil && *o.Expected != e.sequence || !g.open {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		added := g.added(r, o.Map)
		if o.Version <= e.highest || e.armed.Version != 0 || added < 0 {
			if o.Version == e.prepared && e.prepared != 0 {
				return http.StatusOK
			}
			return http.StatusConflict
		}
		e.highest, e.prepared, e.maps[o.Version] = o.Version, o.Version, o.Map
		e.copiedAt = now.Add(time.Duration(float64(added) * expertMB * 8 / engineMbps * float64(time.Second)))
	case "arm":
		want := arming{o.Version, o.Step}
		if e.armed == want {
			return http.StatusOK
		}
		if e.armed.Version != 0 || e.prepared != o.Version || now.Before(e.copiedAt) || g.step >= o.Step {
			return http.StatusConflict
		}
		e.armed = want
	case "disarm":
		if e.mapVersion == o.Version && o.Version != 0 {
			return http.StatusConflict
		}
		if e.armed.Version != o.Version {
			return http.StatusOK
		}
		e.armed = arming{}
	case "hold":
		if e.held == o.Step {
			return http.StatusOK
		}
		if e.held != 0 || g.step >= o.Step {
			return http.StatusConflict
		}
		e.held = o.Step
	case "go":
		if e.held != o.Step {
			return http.StatusOK
		}
		e.held = 0
	default:
		return http.StatusBadRequest
	}
	e.sequence++
	return http.StatusAccepted
}

// added returns how many experts a map would add at a rank, -1 if it isn't a valid map for it.
func (g *group) added(r int, m expertMap) (n int) {
	if len(m) != expertSets {
		return -1
	}
	current := g.engines[r].maps[g.engines[r].mapVersion]
	for k := range m {
		if len(m[k]) != ranks || len(m[k][r]) > places {
			return -1
		}
		had := map[int]bool{}
		for _, x := range current[k][r] {
			had[x] = true
		}
		inSet := 0
		for _, x := range m[k][r] {
			if !had[x] {
				inSet++
			}
		}
		if inSet > spare {
			return -1
		}
		n += inSet
	}
	return n
}
