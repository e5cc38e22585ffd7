// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/rank/ranktest"
)

const (
	ranks   = 3
	sets    = 2
	experts = 12
	places  = 6
)

// freePort returns a port that is free on the addresses of all ranks.
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

// runningSidecars holds the sidecars of a group; stop stops the sidecar of a rank.
type runningSidecars struct {
	stop [ranks]context.CancelFunc
}

func startSidecars(t *testing.T, engines *ranktest.Group) *runningSidecars {
	g := NewWithT(t)
	port := freePort(g)
	address := func(r int) string { return fmt.Sprintf("127.0.0.%d:9", r+1) }
	source := follow.Source{Snapshot: func(context.Context, bool) (follow.Snapshot, error) {
		snap := follow.Snapshot{Config: fleet.NewConfig(1, nil, []fleet.Service{{Name: "s", Engine: &fleet.Engine{
			LayerSets: sets, ExpertsPerSet: experts, ExpertSlots: places, MaxAddedExperts: 2, ExpertBytes: 1e9, LinkRate: 1e11, ExpertWorkShare: 0.9,
		}}}, nil, fleet.Limits{})}
		for r := range ranks {
			snap.Endpoints = append(snap.Endpoints, fleet.Endpoint{ID: fmt.Sprint(r), Service: "s", Address: address(r)})
		}
		return snap, nil
	}}
	dial := func(a string) rank.Engine {
		for r := range ranks {
			if address(r) == a {
				return engines.Engine(r)
			}
		}
		return rank.Engine{}
	}
	run := &runningSidecars{}
	var all errgroup.Group
	t.Cleanup(func() { g.Expect(all.Wait()).To(Succeed()) })
	for r := range ranks {
		own := fmt.Sprintf("127.0.0.%d:%d", r+1, port)
		socket, closeSocket, err := peers.Listen(own, zap.NewNop())
		g.Expect(err).NotTo(HaveOccurred())
		l, err := net.Listen("tcp4", own)
		g.Expect(err).NotTo(HaveOccurred())
		s, cleanup := New(Config{Address: address(r), PeersPort: port, SkewPrice: 1e6, CopyPrice: 0.01, Fences: true},
			engines.Engine(r), dial, source, socket, zap.NewNop(), metrics.NewRegistry())
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
	all.Go(func() error { return engines.Run(ctx, 5*time.Millisecond) })
	return run
}

// eventually is long enough for a loaded machine; a healthy group needs a second.
const eventually = 60 * time.Second

func TestMapsFollowDemandAndLeaderIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose int
	}{{"calm", 0}, {"one answer in five is lost", 5}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			engines := ranktest.New(ranktest.Shape{Ranks: ranks, Sets: sets, Experts: experts}, tc.lose)
			run := startSidecars(t, engines)
			version := func() uint64 { v, _, _ := engines.Status(); return v }
			g.Eventually(version, eventually).Should(BeNumerically(">", 0))
			first := version()
			run.stop[0]()
			// Another rank leads: it adapts the map to a shifted load, and no hold remains.
			for r := range ranks {
				engines.ResetCounts(r)
				engines.SetHold(r, 0)
			}
			engines.SetHold(0, engines.Step()+50)
			g.Eventually(func() string { _, held, _ := engines.Status(); return held }, eventually).Should(BeEmpty())
			g.Expect(version()).To(BeNumerically(">=", first))
			_, _, broken := engines.Status()
			g.Expect(broken).To(BeEmpty())
		})
	}
}

func TestPassTimer(t *testing.T) {
	g := NewWithT(t)
	var p passTimer
	at := time.Unix(1000, 0)
	p.observe(10, at)
	p.observe(11, at.Add(40*time.Millisecond))
	g.Expect(p.mean).To(BeZero(), "one pass is not enough to measure")
	p.observe(12, at.Add(100*time.Millisecond))
	g.Expect(p.mean).To(Equal(50 * time.Millisecond))
	p.observe(13, at.Add(time.Minute))
	g.Expect(p.mean).To(BeZero(), "the group was idle")
}

func TestGroupWithRequestsButNoPassesIsStalled(t *testing.T) {
	g := NewWithT(t)
	s := &Sidecar{log: zap.NewNop()}
	at := time.Now()
	busy := rank.Report{Open: true, Size: 3, Step: 7, Running: 2}
	s.passes.observe(7, at.Add(-minStallTime/2))
	g.Expect(s.updateStalled(busy)).To(BeFalse(), "a pass shorter than the stall time")
	s.passes.newestAt = at.Add(-2 * minStallTime)
	g.Expect(s.updateStalled(busy)).To(BeTrue())
	idle := busy
	idle.Running = 0
	g.Expect(s.updateStalled(idle)).To(BeFalse(), "an idle group makes no passes")
	s.passes.observe(8, time.Now())
	g.Expect(s.updateStalled(busy)).To(BeFalse())
}

func TestOrderTimeoutFollowsMeasuredTimes(t *testing.T) {
	for _, tc := range []struct {
		name     string
		measured []time.Duration
		want     time.Duration
	}{
		{"no measurement", nil, maxOrderTimeout},
		{"a fast engine", []time.Duration{time.Millisecond}, minOrderTimeout},
		{"a slower engine", []time.Duration{10 * time.Millisecond}, orderTimeoutFactor * 10 * time.Millisecond},
		{"a very slow engine", []time.Duration{time.Second}, maxOrderTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &Sidecar{orderTook: estimate.New(answerTimeWeight)}
			for _, d := range tc.measured {
				s.orderTook.Add(d)
			}
			NewWithT(t).Expect(s.orderAttemptTimeout()).To(Equal(tc.want))
		})
	}
}

func TestOrderIsRetriedUntilAnswered(t *testing.T) {
	g := NewWithT(t)
	asked := 0
	s := &Sidecar{log: zap.NewNop(), orderTook: estimate.New(answerTimeWeight), stats: newStats(metrics.NewRegistry())}
	s.engine.Order = func(ctx context.Context, _ rank.Order) (rank.Result, error) {
		if asked++; asked < 4 {
			return rank.Lost, errors.New("no answer")
		}
		return rank.Done, nil
	}
	g.Expect(s.executeOrder(context.Background(), rank.Order{Op: rank.Arm}).Result).To(Equal(rank.Done))
	g.Expect(asked).To(Equal(4))
}

func TestLeaderIsAnnouncedToOwnGroup(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	at := func(address, group string, seen time.Time) *member {
		return &member{endpoint: fleet.Endpoint{Address: address}, report: rank.Report{Group: group}, lastSeen: seen}
	}
	s := &Sidecar{cfg: Config{Address: "10.0.0.1:80", PeersPort: 7}, log: zap.NewNop()}
	s.setAnnouncement([]*member{
		at("10.0.0.1:80", "g", now),
		at("10.0.0.2:80", "g", now),
		at("10.0.0.3:80", "", time.Time{}),
		at("10.0.0.4:80", "h", now),
		at("10.0.0.5:80", "h", now.Add(-otherGroupPollInterval)),
	}, peers.Lead{Group: "g"})
	g.Expect(s.announceTo).To(ConsistOf(
		netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.3:7"), netip.MustParseAddrPort("10.0.0.5:7"),
	), "ranks of the own group, of no known group, and those that may have joined the own group since")
}

func TestPassPollIntervalGrowsWithGroupSize(t *testing.T) {
	for size, want := range map[int]time.Duration{0: minPassPollInterval, 24: minPassPollInterval, 72: 28800 * time.Microsecond, 129: 51600 * time.Microsecond} {
		s := &Sidecar{report: rank.Report{Size: size}}
		NewWithT(t).Expect(s.passPollInterval()).To(Equal(want), "%d ranks", size)
	}
}

// A shorter pass has no value for a group without requests, and little where passes are short.
// Where pauses exceed the limit it has its full value, however few requests there are.
func TestPassTimeWeight(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, tc := range []struct {
		name    string
		pass    time.Duration
		running int // At each of two ranks, which run ten at once.
		want    float64
	}{
		{"no requests", 20 * time.Millisecond, 0, 0},
		{"few requests", 20 * time.Millisecond, 1, 0.1 * minPassTimeWeight},
		{"full, short passes", 20 * time.Millisecond, 10, minPassTimeWeight},
		{"queues do not count", 20 * time.Millisecond, 30, minPassTimeWeight},
		{"passes too long", 90 * time.Millisecond, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			busy := func() *member { return &member{report: rank.Report{Running: tc.running}} }
			l := &leader{shape: &fleet.Engine{Slots: 10}, pauseLimit: pause, byRank: []*member{busy(), busy()}}
			l.planner.passTime = tc.pass
			g.Expect(l.passTimeWeight()).To(BeNumerically("~", tc.want, 1e-9))
		})
	}
}

// An order that claims a version is sent once: the answer to a second one could refer to another map with
// this version.
func TestVersionIsClaimedByOneOrder(t *testing.T) {
	for _, result := range []rank.Result{rank.Begun, rank.Done, rank.Conflict, rank.Lost} {
		t.Run(string(result), func(t *testing.T) {
			g := NewWithT(t)
			asked := 0
			s := &Sidecar{log: zap.NewNop(), orderTook: estimate.New(answerTimeWeight), stats: newStats(metrics.NewRegistry())}
			s.engine.Order = func(context.Context, rank.Order) (rank.Result, error) {
				asked++
				return result, nil
			}
			g.Expect(s.claimVersion(context.Background(), rank.Order{Op: rank.Prepare})).To(Equal(result))
			g.Expect(asked).To(Equal(1))
			if result == rank.Begun {
				order := rank.Order{Op: rank.Arm}
				g.Expect(s.executeWithMap(context.Background(), order, nil).Result).To(Equal(rank.Done), "as other sidecars know it")
				s.dial = func(string) rank.Engine { return s.engine }
				direct, err := s.orderEngineDirectly(context.Background(), "", order)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(direct).To(Equal(rank.Done))
			}
		})
	}
}
