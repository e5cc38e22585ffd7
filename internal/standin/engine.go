// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/decide/mapswitch"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// GroupConfig configures a stand-in engine group.
type GroupConfig struct {
	Ranks           int
	StepTime        time.Duration // Time of one step of an idle group.
	TimePerSequence time.Duration // Added to the step time by each sequence of the rank that has most.
	PrefillBytes    int           // Prompt bytes that one step processes.
	CacheBytes      int           // Size of the prefix cache of a rank, in prompt bytes.
	ReportLag       time.Duration // Age of the state that an engine reports.
	Store           *Store        // Weight store; nil for one that delivers at once.
	ExpertBytes     float64       // Size of one expert of one layer.
	IgnoreFences    bool          // The engines accept orders of any ballot.
}

// Group is a set of ranks that advance in lockstep: the slowest rank sets the
// step time of all.
type Group struct {
	cfg   GroupConfig
	ranks []*Engine

	mu         sync.Mutex
	step       uint64
	violations int         // Times that a rank began a step on another map than rank 0.
	waits      int         // Steps that were put off because a rank waited for a decision on its map.
	demand     [][]float64 // Tokens that the engines report, by layer and expert.
	sample     int
}

// sequence is one request that runs on a rank.
type sequence struct {
	req         adapter.Generate
	next        int // Next token to generate.
	prefillLeft int // Prompt bytes not yet processed.
	tokens      chan int
	cancelled   <-chan struct{}
}

// Engine is one rank of a group.
type Engine struct {
	group *Group
	rank  int

	mu            sync.Mutex
	active        map[*sequence]bool
	maps          mapswitch.RankState // Map state, which the engine must not lose: a restarted agent reads it back.
	loadedAt      time.Time           // When the weights of maps.Prepared have arrived.
	exportable    map[string]string   // Prompts whose KV cache can be exported, by request id.
	imported      map[string]string   // Prompts whose KV cache was imported, by request id.
	cache         *prefixCache
	imports       int
	down          bool
	stalled       bool
	addedStepTime time.Duration
	delayedState  delayed[adapter.EngineState]
	layouts       map[uint64][][][]int // Ranks by map version, layer and expert: the active map and the one prepared last.
}

// NewGroup returns a group; its steps are executed by Run.
func NewGroup(cfg GroupConfig) *Group {
	g := &Group{cfg: cfg}
	for i := range cfg.Ranks {
		g.ranks = append(g.ranks, &Engine{
			group:        g,
			rank:         i,
			active:       map[*sequence]bool{},
			exportable:   map[string]string{},
			imported:     map[string]string{},
			cache:        newPrefixCache(cfg.CacheBytes),
			delayedState: delayed[adapter.EngineState]{lag: cfg.ReportLag},
		})
	}
	return g
}

// Rank returns the engine of rank i.
func (g *Group) Rank(i int) *Engine { return g.ranks[i] }

// Run executes steps until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	timer := time.NewTimer(g.cfg.StepTime)
	defer timer.Stop()
	for {
		d, ok := g.stepTime()
		timer.Reset(d)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if ok && g.beginStep() {
			g.advance(d)
		}
	}
}

// beginStep begins the next step on all ranks and counts a violation for each
// rank whose map differs from that of rank 0. It returns false, and no rank
// begins, when a rank has to wait for a decision on its map.
func (g *Group) beginStep() bool {
	for _, e := range g.ranks {
		e.mu.Lock()
		defer e.mu.Unlock()
	}
	for _, e := range g.ranks {
		if !e.maps.CanBegin() {
			g.increment(&g.waits)
			return false
		}
	}
	for _, e := range g.ranks {
		e.maps = e.maps.BeginStep()
		if e.maps.Map != g.ranks[0].maps.Map {
			g.increment(&g.violations)
		}
	}
	return true
}

func (g *Group) increment(n *int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*n++
}

// MapReport reports the active map of a group and how its switches went.
type MapReport struct {
	MapVersion uint64 `json:"map"` // Version of the active map.
	Step       uint64 `json:"step"`
	Violations int    `json:"violations"` // Times that a rank began a step on another map than rank 0.
	Waits      int    `json:"held"`       // Steps that were put off because a rank waited for a decision on its map.
}

// Maps returns the report on the group's maps.
func (g *Group) Maps() MapReport {
	g.ranks[0].mu.Lock()
	m := g.ranks[0].maps
	g.ranks[0].mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return MapReport{MapVersion: m.Map, Step: m.LastStep, Violations: g.violations, Waits: g.waits}
}

// SetDemand sets the tokens that the engines report, by layer and expert.
func (g *Group) SetDemand(tokens [][]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demand = tokens
}

// stepTime returns the time of the next step, which the slowest rank sets; ok is
// false while a rank stalls, and then no rank advances.
func (g *Group) stepTime() (d time.Duration, ok bool) {
	for _, e := range g.ranks {
		e.mu.Lock()
		rankTime := g.cfg.StepTime + time.Duration(len(e.active))*g.cfg.TimePerSequence + e.addedStepTime
		stall := e.stalled
		e.mu.Unlock()
		if stall {
			return g.cfg.StepTime, false
		}
		d = max(d, rankTime)
	}
	return d, true
}

// advance executes one step: each sequence of each rank processes a part of its
// prompt or generates a token.
func (g *Group) advance(d time.Duration) {
	g.mu.Lock()
	g.step++
	n := g.step
	g.mu.Unlock()
	for _, e := range g.ranks {
		e.advance(n, d)
	}
}

func (e *Engine) advance(step uint64, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.active {
		select {
		case <-s.cancelled:
			delete(e.active, s)
			continue
		default:
		}
		if s.prefillLeft > 0 {
			s.prefillLeft -= e.group.cfg.PrefillBytes
			continue
		}
		select {
		case s.tokens <- s.next:
			s.next++
		default: // The client reads too slowly; the sequence waits.
		}
		if s.next >= s.req.MaxTokens {
			delete(e.active, s)
			close(s.tokens)
		}
	}
	e.delayedState.add(time.Now(), adapter.EngineState{
		Step: step, StepMS: float64(d) / float64(time.Millisecond), Running: len(e.active),
	})
}

// start adds a sequence for a request; ok is false while the engine is down.
func (e *Engine) start(req adapter.Generate, cancelled <-chan struct{}) (s *sequence, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, false
	}
	cached := e.cache.lookup(req.Prompt)
	if e.imported[req.ID] == req.Prompt {
		cached = len(req.Prompt)
	}
	delete(e.imported, req.ID)
	if len(e.exportable) >= maxExportable {
		clear(e.exportable)
	}
	e.exportable[req.ID] = req.Prompt
	s = &sequence{
		req: req, next: req.From, prefillLeft: len(req.Prompt) - cached,
		tokens: make(chan int, 64), cancelled: cancelled,
	}
	e.active[s] = true
	return s, true
}

// SetStalled stalls or resumes this rank, and with it the whole group.
func (e *Engine) SetStalled(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = on
}

// SetAddedStepTime makes each step of this rank, and so of the group, longer by d.
func (e *Engine) SetAddedStepTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addedStepTime = d
}

// Kill aborts all sequences of this rank without a final event and rejects new
// requests until Revive.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for s := range e.active {
		delete(e.active, s)
		close(s.tokens)
	}
}

// Revive makes a killed engine accept requests again.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// Handler serves the engine protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("GET /v1/state", e.state)
	mux.HandleFunc("POST /v1/order", e.handleOrder)
	mux.HandleFunc("GET /v1/experts", e.experts)
	mux.HandleFunc("GET /v1/map", e.mapContent)
	mux.HandleFunc("GET /v1/kv/{id}", e.exportCache)
	mux.HandleFunc("POST /v1/kv/{id}", e.importCache)
	return mux
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req adapter.Generate
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, ok := e.start(req, r.Context().Done())
	if !ok {
		http.Error(w, "engine is down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	e.writeStream(w, rc, s)
}

// writeStream sends the tokens of s, and the end event only after all tokens
// were generated.
func (e *Engine) writeStream(w http.ResponseWriter, rc *http.ResponseController, s *sequence) {
	var buf []byte
	sent := s.req.From
	for {
		select {
		case <-s.cancelled:
			return
		case n, ok := <-s.tokens:
			if !ok {
				if sent < s.req.MaxTokens {
					panic(http.ErrAbortHandler) // The engine was killed: abort the stream.
				}
				_, _ = w.Write(wire.AppendFrame(buf[:0], e.eventID(s, sent), wire.EventEnd, []byte("{}")))
				return
			}
			text, _ := json.Marshal(Token(s.req.Prompt, n))
			buf = wire.AppendFrame(buf[:0], e.eventID(s, n), "", text)
			if _, err := w.Write(buf); err != nil {
				return
			}
			_ = rc.Flush()
			sent = n + 1
		}
	}
}

func (e *Engine) eventID(s *sequence, n int) wire.EventID {
	return wire.EventID{Request: s.req.ID, Endpoint: "engine", Offset: n}
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.delayedState.get(time.Now())
	down := e.down
	e.mu.Unlock()
	if down {
		http.Error(w, "engine is down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, s)
}

// handleOrder executes a fenced order or rejects it. A Prepare is confirmed only
// after the time that the weights take to arrive from the store.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o adapter.MapOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		http.Error(w, "engine is down", http.StatusServiceUnavailable)
		return
	}
	before := e.maps.Prepared
	fence := e.maps.Fence
	if e.group.cfg.IgnoreFences {
		e.maps.Fence = 0
	}
	var reply mapswitch.Reply
	e.maps, reply = e.maps.Handle(o.Order)
	e.maps.Fence = max(e.maps.Fence, fence)
	reply.State.Fence = e.maps.Fence
	if e.maps.Prepared != before {
		e.loadedAt = e.loadExperts(o.Plan.Version, o.Experts, time.Now())
	}
	if o.Kind == mapswitch.Prepare && time.Now().Before(e.loadedAt) {
		reply.OK = false
	}
	writeJSON(w, reply)
}

// loadExperts requests from the store the experts of a map that this rank does
// not hold yet, and returns when they will have arrived. The caller holds e.mu.
func (e *Engine) loadExperts(version uint64, next [][][]int, now time.Time) time.Time {
	missing := 0
	held := e.layouts[e.maps.Map]
	for l, layer := range next {
		for x, ranks := range layer {
			if slices.Contains(ranks, e.rank) && (held == nil || !slices.Contains(held[l][x], e.rank)) {
				missing++
			}
		}
	}
	e.layouts = map[uint64][][][]int{e.maps.Map: held, version: next}
	if e.group.cfg.Store == nil {
		return now
	}
	return e.group.cfg.Store.Load(float64(missing)*e.group.cfg.ExpertBytes, now)
}

// mapContent returns the active map.
func (e *Engine) mapContent(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	m := adapter.MapContent{Version: e.maps.Map, Experts: e.layouts[e.maps.Map]}
	e.mu.Unlock()
	writeJSON(w, m)
}

// experts returns the expert load, as a new sample on each call.
func (e *Engine) experts(w http.ResponseWriter, _ *http.Request) {
	g := e.group
	g.mu.Lock()
	g.sample++
	l := adapter.ExpertLoad{Sample: g.sample, Tokens: g.demand}
	g.mu.Unlock()
	writeJSON(w, l)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client may have disconnected.
}
