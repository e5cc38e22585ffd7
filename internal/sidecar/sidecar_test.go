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

func startSidecars(t *testing.T, engines *ranktest.Group) *running {
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
				return engines.Engine(r)
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
			engines := ranktest.New(ranktest.Shape{Ranks: ranks, Sets: sets, Experts: experts}, tc.lose)
			run := startSidecars(t, engines)
			version := func() uint64 { v, _, _ := engines.State(); return v }
			g.Eventually(version, eventually).Should(BeNumerically(">", 0))
			first := version()
			run.stop[0]()
			// Another rank leads: a load that shifts is followed again, and no hold
			// is left behind.
			for r := range ranks {
				engines.ResetCounts(r)
				engines.SetHold(r, 0)
			}
			engines.SetHold(0, engines.Step()+50)
			g.Eventually(func() string { _, held, _ := engines.State(); return held }, eventually).Should(BeEmpty())
			g.Expect(version()).To(BeNumerically(">=", first))
			_, _, broken := engines.State()
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

func TestAGroupThatMakesNoPassStandsStill(t *testing.T) {
	g := NewWithT(t)
	s := &Sidecar{log: zap.NewNop()}
	at := time.Now()
	busy := rank.Report{Open: true, Size: 3, Step: 7, Running: 2}
	s.passes.note(7, at.Add(-stalledAfter/2))
	g.Expect(s.standsStill(busy)).To(BeFalse(), "a long pass")
	s.passes.began = at.Add(-2 * stalledAfter)
	g.Expect(s.standsStill(busy)).To(BeTrue())
	idle := busy
	idle.Running = 0
	g.Expect(s.standsStill(idle)).To(BeFalse(), "an idle group makes no passes")
	s.passes.note(8, time.Now())
	g.Expect(s.standsStill(busy)).To(BeFalse())
}

func TestAnOrderIsWaitedForAsLongAsAnswersTake(t *testing.T) {
	for _, tc := range []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"nothing known", nil, orderTimeout},
		{"a quick engine", []time.Duration{time.Millisecond}, leastOrderTimeout},
		{"one that takes longer", []time.Duration{10 * time.Millisecond}, orderPatience * 10 * time.Millisecond},
		{"one that takes very long", []time.Duration{time.Second}, orderTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &Sidecar{orderTook: estimate.New(answerWeight)}
			for _, d := range tc.took {
				s.orderTook.Add(d)
			}
			NewWithT(t).Expect(s.orderPause()).To(Equal(tc.want))
		})
	}
}

func TestAnOrderIsGivenAgainUntilItIsAnswered(t *testing.T) {
	g := NewWithT(t)
	asked := 0
	s := &Sidecar{log: zap.NewNop(), orderTook: estimate.New(answerWeight), figures: newFigures(metrics.NewRegistry())}
	s.engine.Order = func(ctx context.Context, _ rank.Order) (rank.Result, error) {
		if asked++; asked < 4 {
			return rank.Lost, errors.New("no answer")
		}
		return rank.Done, nil
	}
	g.Expect(s.carryOut(context.Background(), rank.Order{Op: rank.Arm}).Result).To(Equal(rank.Done))
	g.Expect(asked).To(Equal(4))
}

func TestALeaderIsAnnouncedToItsOwnGroup(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	at := func(address, group string, seen time.Time) *member {
		return &member{endpoint: fleet.Endpoint{Address: address}, report: rank.Report{Group: group}, seen: seen}
	}
	s := &Sidecar{cfg: Config{Address: "10.0.0.1:80", PeersPort: 7}, log: zap.NewNop()}
	s.setLeading([]*member{
		at("10.0.0.1:80", "g", now),
		at("10.0.0.2:80", "g", now),
		at("10.0.0.3:80", "", time.Time{}),
		at("10.0.0.4:80", "h", now),
		at("10.0.0.5:80", "h", now.Add(-otherGroupEvery)),
	}, peers.Lead{Group: "g"})
	g.Expect(s.tellTo).To(ConsistOf(
		netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.3:7"), netip.MustParseAddrPort("10.0.0.5:7"),
	), "the own group, who is in none that is known, and who may have joined the own one since")
}

func TestRanksOfLargeGroupsLookForPassesLessOften(t *testing.T) {
	for size, want := range map[int]time.Duration{0: passPoll, 24: passPoll, 72: 28800 * time.Microsecond, 129: 51600 * time.Microsecond} {
		s := &Sidecar{report: rank.Report{Size: size}}
		NewWithT(t).Expect(s.pollPause()).To(Equal(want), "%d ranks", size)
	}
}

// A shorter pass is worth nothing to a group without requests, and little where passes are
// easy; where pauses become too long it is worth all, however few requests there are.
func TestWhatAShorterPassIsWorth(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, tc := range []struct {
		name    string
		pass    time.Duration
		running int // At each of two ranks, which run ten at once.
		worth   float64
	}{
		{"nothing to do", 20 * time.Millisecond, 0, 0},
		{"little to do", 20 * time.Millisecond, 1, 0.1 * leastPressure},
		{"full, and easy", 20 * time.Millisecond, 10, leastPressure},
		{"queues do not count", 20 * time.Millisecond, 30, leastPressure},
		{"passes too long", 90 * time.Millisecond, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			busy := func() *member { return &member{report: rank.Report{Running: tc.running}} }
			l := &leader{shape: &fleet.Engine{Slots: 10}, pauseLimit: pause, byRank: []*member{busy(), busy()}}
			l.planner.pass = tc.pass
			g.Expect(l.pressure()).To(BeNumerically("~", tc.worth, 1e-9))
		})
	}
}
