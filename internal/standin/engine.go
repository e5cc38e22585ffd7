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

// GroupConfig sizes a stand-in engine group.
type GroupConfig struct {
	Ranks           int
	StepTime        time.Duration // Step time of an idle group.
	TimePerSequence time.Duration // Added by each sequence on the fullest rank.
	PrefillBytes    int           // Prompt bytes that one step takes in.
	CacheBytes      int           // Prompt prefixes kept by a rank, in bytes.
	ReportLag       time.Duration // Age of what State reports.
	Store           *Store        // Where weights come from; nil for a store without bounds.
	ExpertBytes     float64       // Of one expert of one layer.
	IgnoreFences    bool          // The engines obey any ballot.
}

// Group is ranks that advance in lock-step: the slowest one paces all.
type Group struct {
	cfg   GroupConfig
	ranks []*Engine

	mu         sync.Mutex
	step       uint64
	violations int         // Steps that ran on two maps.
	held       int         // Times the group waited for a decision.
	demand     [][]float64 // Tokens by layer and expert, as reported.
	sample     int
}

// sequence is one request at a rank.
type sequence struct {
	req    adapter.Generate
	next   int // Next token to make.
	fill   int // Prompt bytes not yet taken in.
	tokens chan int
	gone   <-chan struct{}
}

// Engine is one rank of a group.
type Engine struct {
	group *Group
	rank  int

	mu      sync.Mutex
	active  map[*sequence]bool
	maps    mapswitch.RankState // What the engine must not forget about its map.
	loaded  time.Time           // When the weights of maps.Prepared are there.
	held    map[string]string   // Prompts whose KV cache can be exported, by request id.
	taken   map[string]string   // Prompts whose KV cache was imported, by request id.
	cache   *prefixCache
	imports int
	down    bool
	stall   bool
	slow    time.Duration
	report  late[adapter.EngineState]
	content map[uint64][][][]int // Ranks by layer and expert: the map in force and the newest one prepared.
}

// NewGroup returns a group whose steps are made by Run.
func NewGroup(cfg GroupConfig) *Group {
	g := &Group{cfg: cfg}
	for i := range cfg.Ranks {
		g.ranks = append(g.ranks, &Engine{
			group:  g,
			rank:   i,
			active: map[*sequence]bool{},
			held:   map[string]string{},
			taken:  map[string]string{},
			cache:  newPrefixCache(cfg.CacheBytes),
			report: late[adapter.EngineState]{lag: cfg.ReportLag},
		})
	}
	return g
}

// Rank returns the engine of rank i.
func (g *Group) Rank(i int) *Engine { return g.ranks[i] }

// Run makes steps until ctx ends.
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
		if ok && g.begin() {
			g.advance(d)
		}
	}
}

// begin begins the next step on all ranks, if none holds, and checks that all
// run on one map.
func (g *Group) begin() bool {
	for _, e := range g.ranks {
		e.mu.Lock()
		defer e.mu.Unlock()
	}
	for _, e := range g.ranks {
		if !e.maps.CanBegin() {
			g.count(&g.held)
			return false
		}
	}
	for _, e := range g.ranks {
		e.maps = e.maps.BeginStep()
		if e.maps.Map != g.ranks[0].maps.Map {
			g.count(&g.violations)
		}
	}
	return true
}

func (g *Group) count(n *int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*n++
}

// MapReport is what a group saw of its maps.
type MapReport struct {
	MapVersion uint64 `json:"map"` // In force.
	Step       uint64 `json:"step"`
	Violations int    `json:"violations"` // Steps that ran on two maps.
	Waits      int    `json:"held"`       // Times that the group waited for a decision.
}

// Maps returns what the group saw of its maps.
func (g *Group) Maps() MapReport {
	g.ranks[0].mu.Lock()
	m := g.ranks[0].maps
	g.ranks[0].mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return MapReport{MapVersion: m.Map, Step: m.LastStep, Violations: g.violations, Waits: g.held}
}

// SetDemand sets the tokens that the engines report, by layer and expert.
func (g *Group) SetDemand(tokens [][]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demand = tokens
}

// stepTime is the time of the next step, set by the slowest rank; ok is false
// while a rank stalls, and then no rank advances.
func (g *Group) stepTime() (d time.Duration, ok bool) {
	for _, e := range g.ranks {
		e.mu.Lock()
		own := g.cfg.StepTime + time.Duration(len(e.active))*g.cfg.TimePerSequence + e.slow
		stall := e.stall
		e.mu.Unlock()
		if stall {
			return g.cfg.StepTime, false
		}
		d = max(d, own)
	}
	return d, true
}

// advance makes one step: one token for each sequence of each rank.
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
		case <-s.gone:
			delete(e.active, s)
			continue
		default:
		}
		if s.fill > 0 {
			s.fill -= e.group.cfg.PrefillBytes
			continue
		}
		select {
		case s.tokens <- s.next:
			s.next++
		default: // The reader is behind; the sequence waits.
		}
		if s.next >= s.req.MaxTokens {
			delete(e.active, s)
			close(s.tokens)
		}
	}
	e.report.add(time.Now(), adapter.EngineState{
		Step: step, StepMS: float64(d) / float64(time.Millisecond), Running: len(e.active),
	})
}

// start adds a sequence; ok is false while the engine is down.
func (e *Engine) start(req adapter.Generate, gone <-chan struct{}) (s *sequence, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, false
	}
	cached := e.cache.hit(req.Prompt)
	if e.taken[req.ID] == req.Prompt {
		cached = len(req.Prompt)
	}
	delete(e.taken, req.ID)
	if len(e.held) >= maxHeld {
		clear(e.held)
	}
	e.held[req.ID] = req.Prompt
	s = &sequence{
		req: req, next: req.From, fill: len(req.Prompt) - cached,
		tokens: make(chan int, 64), gone: gone,
	}
	e.active[s] = true
	return s, true
}

// SetStalled stops or resumes the whole group through this rank.
func (e *Engine) SetStalled(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stall = on
}

// SetAddedStepTime adds time to each step of the group through this rank.
func (e *Engine) SetAddedStepTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = d
}

// Kill ends all sequences of this rank without a last word and refuses new
// ones until Revive.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for s := range e.active {
		delete(e.active, s)
		close(s.tokens)
	}
}

// Revive lets a killed engine take requests again.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("GET /v1/state", e.state)
	mux.HandleFunc("POST /v1/order", e.order)
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
	e.write(w, rc, s)
}

// write sends the tokens of s, and the last event only when all were made.
func (e *Engine) write(w http.ResponseWriter, rc *http.ResponseController, s *sequence) {
	var buf []byte
	sent := s.req.From
	for {
		select {
		case <-s.gone:
			return
		case n, ok := <-s.tokens:
			if !ok {
				if sent < s.req.MaxTokens {
					panic(http.ErrAbortHandler) // Killed: the stream breaks off.
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
	s := e.report.get(time.Now())
	down := e.down
	e.mu.Unlock()
	if down {
		http.Error(w, "engine is down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, s)
}

// order obeys or refuses a fenced order. A Prepare is confirmed only when the
// weights have had the time to come from the store.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
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
		e.loaded = e.load(o.Plan.Version, o.Experts, time.Now())
	}
	if o.Kind == mapswitch.Prepare && time.Now().Before(e.loaded) {
		reply.OK = false
	}
	writeJSON(w, reply)
}

// load asks the store for the experts that this rank lacks of a map, and returns
// when they will be there; e.mu is held.
func (e *Engine) load(version uint64, next [][][]int, now time.Time) time.Time {
	lacking := 0
	has := e.content[e.maps.Map]
	for l, layer := range next {
		for x, ranks := range layer {
			if slices.Contains(ranks, e.rank) && (has == nil || !slices.Contains(has[l][x], e.rank)) {
				lacking++
			}
		}
	}
	e.content = map[uint64][][][]int{e.maps.Map: has, version: next}
	if e.group.cfg.Store == nil {
		return now
	}
	return e.group.cfg.Store.Load(float64(lacking)*e.group.cfg.ExpertBytes, now)
}

// mapContent shows the map in force.
func (e *Engine) mapContent(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	m := adapter.MapContent{Version: e.maps.Map, Experts: e.content[e.maps.Map]}
	e.mu.Unlock()
	writeJSON(w, m)
}

// experts reports the load of experts, a new sample at each call.
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
	_ = json.NewEncoder(w).Encode(v) // The reader may be gone.
}
