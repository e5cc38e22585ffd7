// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

const (
	ranks   = 3
	sets    = 2
	experts = 12
	places  = 6
)

// group is a stand-in of a group of engines that run passes in lock-step.
type group struct {
	mu      sync.Mutex
	step    uint64
	engines [ranks]standIn
	broken  string // Says how a pass ran on two maps.
	lose    int    // Orders whose answer is lost, one in so many; 0 for none.
	orders  int
}

// standIn is one engine.
type standIn struct {
	fence  uint64
	report rank.Report
	counts []uint64
	maps   map[uint64][][][]int
}

func newGroup(lose int) *group {
	g := &group{lose: lose}
	for r := range g.engines {
		g.engines[r] = standIn{counts: make([]uint64, sets*experts), maps: map[uint64][][][]int{}}
		g.engines[r].report = rank.Report{Group: "g", Epoch: 1, Rank: r, Size: ranks, Open: true, Running: 4, Pace: 1}
	}
	return g
}

// run makes passes until ctx ends.
func (g *group) run(ctx context.Context) error {
	return every(ctx, 5*time.Millisecond, func(context.Context) { g.pass() })
}

func (g *group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.engines {
		if g.engines[r].report.Held == g.step+1 {
			return
		}
	}
	g.step++
	for r := range g.engines {
		e := &g.engines[r]
		e.report.Step = g.step
		if e.report.Armed.Version != 0 && e.report.Armed.Step == g.step {
			e.report.Map, e.report.Armed, e.report.Prepared = e.report.Armed.Version, rank.Arming{}, 0
		}
		for i := range e.counts { // A few experts of the first rank get nearly all.
			e.counts[i] += 1
			if x := i % experts; x%ranks == 0 {
				e.counts[i] += uint64(200 / (1 + x))
			}
		}
	}
	for r := range g.engines {
		if g.engines[r].report.Map != g.engines[0].report.Map {
			g.broken = fmt.Sprintf("pass %d on maps %d and %d", g.step, g.engines[0].report.Map, g.engines[r].report.Map)
		}
	}
}

func (g *group) order(r int, o rank.Order) (rank.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.engines[r]
	if o.Fence < e.fence {
		return rank.Fenced, nil
	}
	result := g.obey(e, o)
	if result == rank.Done {
		e.fence = o.Fence
	}
	if g.orders++; g.lose > 0 && g.orders%g.lose == 0 {
		return rank.Lost, errors.New("no answer")
	}
	return result, nil
}

func (g *group) obey(e *standIn, o rank.Order) rank.Result {
	rep := &e.report
	switch o.Op {
	case rank.Prepare:
		if o.Version <= max(rep.Map, rep.Prepared, rep.Armed.Version) || rep.Armed.Version != 0 {
			return rank.Conflict
		}
		rep.Prepared, e.maps[o.Version] = o.Version, o.Map
	case rank.Arm:
		want := rank.Arming{Version: o.Version, Step: o.Step}
		if rep.Armed != want && (rep.Prepared != o.Version || g.step >= o.Step || rep.Armed.Version != 0) {
			return rank.Conflict
		}
		rep.Armed = want
	case rank.Disarm:
		if rep.Map == o.Version {
			return rank.Conflict
		}
		if rep.Armed.Version == o.Version {
			rep.Armed = rank.Arming{}
		}
	case rank.Hold:
		if g.step >= o.Step || rep.Held != 0 && rep.Held != o.Step {
			return rank.Conflict
		}
		rep.Held = o.Step
	case rank.Go:
		if rep.Held == o.Step {
			rep.Held = 0
		}
	}
	return rank.Done
}

// engine returns the engine of a rank as a sidecar sees it.
func (g *group) engine(r int) rank.Engine {
	return rank.Engine{
		Report: func(context.Context) (rank.Report, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.engines[r].report, nil
		},
		Counts: func(context.Context) (rank.Counts, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return rank.Counts{Epoch: 1, Step: g.step, Flat: append([]uint64(nil), g.engines[r].counts...)}, nil
		},
		Held: func(context.Context) (rank.Held, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			h := rank.Held{Epoch: 1, Version: g.engines[r].report.Map}
			for _, set := range g.engines[r].maps[h.Version] {
				h.Sets = append(h.Sets, set[r])
			}
			return h, nil
		},
		Order: func(_ context.Context, o rank.Order) (rank.Result, error) { return g.order(r, o) },
	}
}

func (g *group) state() (version uint64, held, broken string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.engines {
		if g.engines[r].report.Held != 0 {
			held = fmt.Sprintf("rank %d holds %d", r, g.engines[r].report.Held)
		}
	}
	return g.engines[0].report.Map, held, g.broken
}

// freePort returns a port that is free on every rank's address.
func freePort(g *WithT) int {
	for range 20 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		port := l.Addr().(*net.TCPAddr).Port
		free := true
		for r := 1; r < ranks; r++ {
			other, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.%d:%d", r+1, port))
			if free = free && err == nil; err == nil {
				g.Expect(other.Close()).To(Succeed())
			}
		}
		g.Expect(l.Close()).To(Succeed())
		if free {
			return port
		}
	}
	g.Expect("a free port").To(Equal("found"))
	return 0
}

// running is the sidecars of a group; stop ends that of a rank.
type running struct {
	stop [ranks]context.CancelFunc
}

func startSidecars(t *testing.T, engines *group) *running {
	g := NewWithT(t)
	port := freePort(g)
	address := func(r int) string { return fmt.Sprintf("127.0.0.%d:9", r+1) }
	source := follow.Source{Snapshot: func(context.Context, bool) (follow.Snapshot, error) {
		snap := follow.Snapshot{Config: fleet.NewConfig(1, nil, []fleet.Service{{Name: "s", Engine: &fleet.Engine{
			Sets: sets, Experts: experts, Places: places, Spare: 2, ExpertBytes: 1e9, LinkRate: 1e11, ExpertShare: 0.9,
		}}}, nil, fleet.Limits{})}
		for r := range ranks {
			snap.Endpoints = append(snap.Endpoints, fleet.Endpoint{ID: fmt.Sprint(r), Service: "s", Address: address(r)})
		}
		return snap, nil
	}}
	dial := func(a string) rank.Engine {
		for r := range ranks {
			if address(r) == a {
				return engines.engine(r)
			}
		}
		return rank.Engine{}
	}
	run := &running{}
	var all errgroup.Group
	t.Cleanup(func() { g.Expect(all.Wait()).To(Succeed()) })
	for r := range ranks {
		own := fmt.Sprintf("127.0.0.%d:%d", r+1, port)
		socket, closeSocket, err := peers.Listen(own, zap.NewNop())
		g.Expect(err).NotTo(HaveOccurred())
		l, err := net.Listen("tcp4", own)
		g.Expect(err).NotTo(HaveOccurred())
		s, cleanup := New(Config{Address: address(r), PeersPort: port, SkewPrice: 1e6, CopyPrice: 0.01, Fences: true},
			engines.engine(r), dial, source, socket, zap.NewNop(), metrics.NewRegistry())
		ctx, cancel := context.WithCancel(context.Background())
		run.stop[r] = cancel
		srv := &http.Server{Handler: s.Handler()}
		t.Cleanup(func() { cancel(); cleanup(); closeSocket() })
		all.Go(func() error { return s.Run(ctx) })
		all.Go(func() error {
			context.AfterFunc(ctx, func() { _ = srv.Close() })
			if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	all.Go(func() error { return engines.run(ctx) })
	return run
}

// eventually is long enough for a loaded machine; a group that works needs a
// second.
const eventually = 60 * time.Second

func TestMapsFollowTheLoadAndALeaderIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose int
	}{{"calm", 0}, {"one answer in five is lost", 5}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			engines := newGroup(tc.lose)
			run := startSidecars(t, engines)
			version := func() uint64 { v, _, _ := engines.state(); return v }
			g.Eventually(version, eventually).Should(BeNumerically(">", 0))
			first := version()
			run.stop[0]()
			// Another rank leads: a load that shifts is followed again, and no hold
			// is left behind.
			engines.mu.Lock()
			for r := range engines.engines {
				clear(engines.engines[r].counts)
				engines.engines[r].report.Held = 0
			}
			engines.engines[0].report.Held = engines.step + 50
			engines.mu.Unlock()
			g.Eventually(func() string { _, held, _ := engines.state(); return held }, eventually).Should(BeEmpty())
			g.Expect(version()).To(BeNumerically(">=", first))
			_, _, broken := engines.state()
			g.Expect(broken).To(BeEmpty())
		})
	}
}

func TestPassTimer(t *testing.T) {
	g := NewWithT(t)
	var p passTimer
	at := time.Unix(1000, 0)
	p.note(10, at)
	p.note(11, at.Add(40*time.Millisecond))
	g.Expect(p.pass).To(BeZero(), "one pass is not enough")
	p.note(12, at.Add(100*time.Millisecond))
	g.Expect(p.pass).To(Equal(50 * time.Millisecond))
	p.note(13, at.Add(time.Minute))
	g.Expect(p.pass).To(BeZero(), "the group was idle")
}

func TestWindowsOfAnEngineThatBeganAnewAreEmpty(t *testing.T) {
	g := NewWithT(t)
	from := rank.Counts{Epoch: 1, Flat: []uint64{5, 5}}
	w := difference(window{number: 3}, from, rank.Counts{Epoch: 1, Flat: []uint64{9, 6}})
	g.Expect(w.flat).To(Equal([]uint64{4, 1}))
	g.Expect(difference(w, from, rank.Counts{Epoch: 1, Flat: []uint64{1, 9}}).flat).To(BeNil())
	g.Expect(difference(w, from, rank.Counts{Epoch: 2, Flat: []uint64{9, 9}}).flat).To(BeNil())
	back, err := unpack(pack([]uint64{0, 300, 1 << 40}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal([]uint64{0, 300, 1 << 40}))
}
