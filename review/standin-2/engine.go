package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"
)

// shape is the published size of a group of ranks.
type shape struct {
	Ranks, Sets, Experts, Places, Spare int
	ExpertMB, LinkMbps                  float64
	Pass                                time.Duration
}

// arming is a map that a rank takes at a pass.
type arming struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// expertMap is a map: the experts by set and rank.
type expertMap [][][]int

// engine is one rank, as PROTOCOL.md describes it.
type engine struct {
	rank      int
	ip        string
	fence     uint64
	sequence  int
	version   uint64 // Map in force.
	inForce   expertMap
	had       uint64 // Highest version that it was given.
	copying   uint64 // Version whose experts are copied; 0 for none.
	copiesEnd time.Time
	next      expertMap // Map that is copied, or has been.
	prepared  uint64
	armed     arming
	held      uint64
	counts    []uint64
	past      []pastReport // Reports to other machines are some hundred ms old.
}

type pastReport struct {
	at  time.Time
	raw []byte
}

// group is a group of ranks that make their passes together.
type group struct {
	mu        sync.Mutex
	shape     shape
	step      uint64
	engines   []*engine
	rec       *record
	violation string
	changes   int
	topic     int // Which experts are in demand.
	flat      bool
	onOrder   func(rank int, o order, status int) // Called without mu.

	slow       int       // Rank that leaves prepare orders with slowFence unanswered until slowUntil.
	slowFence  uint64    // Fence in force as that began; 0 while no rank does.
	slowUntil  time.Time // When it ends.
	orders     int       // Orders that came since it began, until slowUntil.
	unanswered int       // Those of them that were left unanswered.
}

type order struct {
	Op      string    `json:"op"`
	Fence   uint64    `json:"fence"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     expertMap `json:"map"`
}

func newGroup(s shape, ips []string, rec *record) *group {
	g := &group{shape: s, rec: rec, step: 1, flat: true}
	zero := make(expertMap, s.Sets)
	for k := range zero {
		zero[k] = make([][]int, s.Ranks)
		for x := range s.Experts { // Under map 0, experts are dealt out in turn.
			zero[k][x%s.Ranks] = append(zero[k][x%s.Ranks], x)
		}
	}
	for r := range s.Ranks {
		g.engines = append(g.engines, &engine{rank: r, ip: ips[r], inForce: zero, counts: make([]uint64, s.Sets*s.Experts)})
	}
	return g
}

const epoch = 1

// run makes passes until the process ends.
func (g *group) run() {
	for {
		time.Sleep(g.shape.Pass)
		g.mu.Lock()
		g.pass()
		g.mu.Unlock()
	}
}

func (g *group) pass() {
	now := time.Now()
	for _, e := range g.engines {
		e.finishCopies(now)
		if e.held == g.step+1 {
			return // The group doesn't begin that pass.
		}
	}
	g.step++
	for _, e := range g.engines {
		if e.armed.Version != 0 && e.armed.Step == g.step {
			e.version, e.inForce = e.armed.Version, e.next
			e.armed, e.prepared, e.next = arming{}, 0, nil
			if e.rank == 0 {
				g.changes++
				g.rec.add("pass %d begins with map %d at rank 0", g.step, e.version)
			}
		}
	}
	first := g.engines[0]
	for _, e := range g.engines {
		if rows := differingRows(first.inForce, e.inForce); g.violation == "" && (e.version != first.version || rows > 0) {
			g.violation = fmt.Sprintf("pass %d begins while rank 0 has map %d and rank %d has map %d, and %d rows (of a set and a rank) differ", g.step, first.version, e.rank, e.version, rows)
			g.rec.add("MAP broken: %s", g.violation)
		}
	}
	g.choose()
}

// differingRows returns how many rows of two maps don't hold the same experts, in whatever order.
func differingRows(a, b expertMap) (n int) {
	for k := range a {
		for r := range a[k] {
			x, y := slices.Sorted(slices.Values(a[k][r])), slices.Sorted(slices.Values(b[k][r]))
			if !slices.Equal(x, y) {
				n++
			}
		}
	}
	return n
}

// choose has the requests of every rank choose experts for one pass.
func (g *group) choose() {
	s := g.shape
	for _, e := range g.engines {
		for k := range s.Sets {
			for range 400 {
				x := rand.IntN(s.Experts)
				if !g.flat && rand.IntN(10) < 6 { // Most tokens choose some experts of a topic.
					x = (g.topic*7 + k*5 + rand.IntN(1+rand.IntN(s.Experts/3))) % s.Experts
				}
				e.counts[k*s.Experts+x]++
			}
		}
	}
}

// shift changes what is in demand.
func (g *group) shift(topic int, flat bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.topic, g.flat = topic, flat
}

func (e *engine) finishCopies(now time.Time) {
	if e.copying != 0 && !now.Before(e.copiesEnd) {
		e.prepared, e.copying = e.copying, 0
	}
}

func (g *group) report(e *engine, now time.Time) []byte {
	e.finishCopies(now)
	rep := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "utilization": e.copying != 0,
		"sequence": e.sequence, "waiting-requests": 0, "running-requests": 8, "kv-cache-used": 41000, "kv-cache-total": 280000, "handles": 0,
		"group": map[string]any{"name": "g0", "epoch": epoch, "rank": e.rank, "state": "open"}, "size": g.shape.Ranks, "step": g.step, "map": e.version,
		"prepared": nil, "armed": nil, "held": nil, "pace": 1,
	}
	if e.prepared != 0 {
		rep["prepared"] = e.prepared
	}
	if e.armed.Version != 0 {
		rep["armed"] = e.armed
	}
	if e.held != 0 {
		rep["held"] = e.held
	}
	raw, err := json.Marshal(rep)
	if err != nil {
		panic(err)
	}
	return raw
}

const reportLag = 200 * time.Millisecond

// record keeps a report every 50 ms for callers on other machines.
func (g *group) recordReports() {
	for {
		time.Sleep(50 * time.Millisecond)
		g.mu.Lock()
		now := time.Now()
		for _, e := range g.engines {
			e.past = append(e.past, pastReport{now, g.report(e, now)})
			for len(e.past) > 1 && now.Sub(e.past[1].at) >= reportLag {
				e.past = e.past[1:]
			}
		}
		g.mu.Unlock()
	}
}

// handler serves the interface of one rank.
func (g *group) handler(e *engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		g.mu.Lock()
		raw := g.report(e, time.Now())
		if host != e.ip && len(e.past) > 0 {
			raw = e.past[0].raw
		}
		g.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	})
	mux.HandleFunc("GET /picked", func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if strings.Contains(r.URL.RawQuery, "lists") {
			mine := func(m expertMap) [][]int {
				list := [][]int{}
				for _, set := range m {
					list = append(list, set[e.rank])
				}
				return list
			}
			out := map[string]any{"step": g.step, "epoch": epoch, "map": map[string]any{"version": e.version, "experts": mine(e.inForce)}}
			if e.prepared != 0 {
				out["prepared"] = map[string]any{"version": e.prepared, "experts": mine(e.next)}
			}
			reply(w, out)
			return
		}
		reply(w, map[string]any{"step": g.step, "epoch": epoch, "counts": e.counts})
	})
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if g.isLeftUnanswered(e, o) {
			g.rec.add("order at rank %d: %s version %d step %d fence %d: no answer", e.rank, o.Op, o.Version, o.Step, o.Fence)
			go g.carryOutLate(e, o)
			<-r.Context().Done()
			return
		}
		g.mu.Lock()
		status := g.execute(e, o)
		g.mu.Unlock()
		g.rec.add("order at rank %d: %s version %d step %d fence %d: %d", e.rank, o.Op, o.Version, o.Step, o.Fence, status)
		if g.onOrder != nil {
			g.onOrder(e.rank, o, status)
		}
		w.WriteHeader(status)
	})
	return mux
}

// leaveUnanswered has a rank leave the prepare orders of the present leader unanswered.
func (g *group) leaveUnanswered(rank int, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slow, g.slowFence, g.slowUntil = rank, g.engines[rank].fence, until
}

// isLeftUnanswered counts an order and reports whether it is left unanswered.
func (g *group) isLeftUnanswered(e *engine, o order) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slowFence == 0 || !time.Now().Before(g.slowUntil) {
		return false
	}
	g.orders++
	if e.rank != g.slow || o.Op != "prepare" || o.Fence != g.slowFence {
		return false
	}
	g.unanswered++
	return true
}

// carryOutLate carries out an order that was left unanswered, 2 to 12 s after it came.
func (g *group) carryOutLate(e *engine, o order) {
	time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second))))
	g.mu.Lock()
	status := g.execute(e, o)
	g.mu.Unlock()
	g.rec.add("order at rank %d, carried out late: %s version %d fence %d: %d", e.rank, o.Op, o.Version, o.Fence, status)
}

// execute carries out an order and returns its status. The caller holds mu.
func (g *group) execute(e *engine, o order) int {
	e.finishCopies(time.Now())
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	if o.Epoch != epoch {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		return g.prepare(e, o)
	case "arm":
		want := arming{o.Version, o.Step}
		if e.armed == want {
			return http.StatusOK
		}
		if e.armed.Version != 0 || e.prepared != o.Version || o.Step <= g.step {
			return http.StatusConflict
		}
		e.armed = want
	case "disarm":
		if e.version == o.Version {
			return http.StatusConflict
		}
		if e.armed.Version != o.Version || o.Version == 0 {
			return http.StatusOK
		}
		e.armed = arming{}
	case "hold":
		if e.held == o.Step {
			return http.StatusOK
		}
		if o.Step <= g.step || e.held != 0 {
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

// prepare begins to copy the experts that are new to a rank.
func (g *group) prepare(e *engine, o order) int {
	if o.Version == e.had && e.armed.Version == 0 && e.next != nil && reflect.DeepEqual(o.Map, e.next) {
		return http.StatusOK // It holds already, or is under way.
	}
	if o.Version <= e.had || e.armed.Version != 0 || len(o.Map) != g.shape.Sets {
		return http.StatusConflict
	}
	total := 0
	for k, set := range o.Map {
		if len(set) != g.shape.Ranks || len(set[e.rank]) > g.shape.Places {
			return http.StatusConflict
		}
		old, added := map[int]bool{}, 0
		for _, x := range e.inForce[k][e.rank] {
			old[x] = true
		}
		for _, x := range set[e.rank] {
			if !old[x] {
				added++
			}
		}
		if added > g.shape.Spare {
			return http.StatusConflict
		}
		total += added
	}
	e.had, e.copying, e.next, e.prepared = o.Version, o.Version, o.Map, 0
	took := time.Duration(float64(total) * g.shape.ExpertMB * 8 / g.shape.LinkMbps * float64(time.Second))
	e.copiesEnd = time.Now().Add(took)
	g.rec.add("rank %d begins to copy %d experts for version %d, %.2f s", e.rank, total, o.Version, took.Seconds())
	e.sequence++
	return http.StatusAccepted
}
