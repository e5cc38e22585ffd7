// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/mapswitch"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/rebalance"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Times of a switch.
const (
	idleCheck      = time.Second            // Between two looks whether the group is to be rebalanced.
	resendEvery    = 100 * time.Millisecond // Orders that were not confirmed are sent again.
	switchLimit    = time.Minute            // After which a coordinator gives up; another ballot may follow.
	undecidedLimit = 10 * time.Second       // After which a switch that is not decided is given up.
	firstMargin    = 16                     // Engine steps from the newest one heard of to the switch.
	maxMargin      = 4096
)

// mapper decides on and drives switches of its group's expert map, while its
// agent is the one that does so: the lowest living rank, as it sees the group.
// Two of them at once are harmless.
type mapper struct {
	agent   *Agent
	planner *rebalance.Planner // Nil until the group is known.
	shape   rebalance.Shape
	maps    map[uint64]rebalance.Map // By version; the map in force must be known to plan from it.
	ballot  uint64
	margin  uint64
}

func newMapper(a *Agent) *mapper {
	return &mapper{agent: a, margin: firstMargin, maps: map[uint64]rebalance.Map{}}
}

// run looks at the group once a sample.
func (m *mapper) run(ctx context.Context) error {
	for {
		every := idleCheck
		if s, ok := m.group(); ok && s.RebalanceInterval > 0 {
			every = s.RebalanceInterval
			if m.leads(s) {
				m.sample(ctx, s)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(every):
		}
	}
}

// group returns the published group that this agent's endpoint belongs to.
func (m *mapper) group() (s *published.Service, ok bool) {
	c, ok := m.agent.node.Config()
	if !ok {
		return nil, false
	}
	s, ok = c.ServiceOf(m.agent.node.Settings().Endpoint)
	return s, ok && s.IsGroup()
}

// leads reports whether this agent is the lowest living rank of the group.
func (m *mapper) leads(s *published.Service) bool {
	living := m.agent.node.ByEndpoint()
	lowest := published.Endpoint{Rank: -1}
	for _, e := range s.Endpoints {
		p, ok := living[e.Name]
		if ok && p.State == member.Alive && (lowest.Rank < 0 || e.Rank < lowest.Rank) {
			lowest = e
		}
	}
	return lowest.Name == m.agent.node.Settings().Endpoint
}

// sample takes in one report and switches the map if that pays.
func (m *mapper) sample(ctx context.Context, s *published.Service) {
	call, cancel := context.WithTimeout(ctx, time.Second)
	load, err := m.agent.engine.Experts(call)
	cancel()
	if err != nil || len(load.Tokens) != s.Layers || len(load.Tokens[0]) != s.Experts {
		return // A gap in the reports, or a report of another shape: nothing is decided on it.
	}
	m.prepare(s)
	m.planner.Observe(load.Sample, load.Tokens)
	state, ok := m.askOwn(ctx)
	if !ok {
		return
	}
	current, ok := m.inForce(ctx, state.Map)
	if !ok {
		return
	}
	plan, ok := m.planner.Decide(load.Sample, current)
	if !ok {
		return
	}
	version, ok := m.drive(ctx, s, plan.Map)
	if ok {
		m.maps = map[uint64]rebalance.Map{version: plan.Map}
		m.planner.MapSwitched()
		m.agent.node.Trail().Add(audit.MapSwitch, s.Name,
			fmt.Sprintf("version %d decided: %d experts moved, %.1f%% of the step time expected", version, plan.Transfers, 100*plan.Gain))
	}
}

// inForce returns the content of the map in force. One that another coordinator
// made is read back from the engine, so that a plan starts from what is loaded.
func (m *mapper) inForce(ctx context.Context, version uint64) (current rebalance.Map, ok bool) {
	if current, ok = m.maps[version]; ok {
		return current, true
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c, err := m.agent.engine.Map(ctx)
	if err != nil || c.Version != version {
		return nil, false // It has just changed; the next sample asks again.
	}
	for _, layer := range c.Experts {
		current = append(current, layer)
	}
	if !current.Valid(m.shape) || len(current) == 0 {
		return nil, false
	}
	m.maps[version] = current
	return current, true
}

// prepare makes a planner when the group is seen first or has changed shape.
func (m *mapper) prepare(s *published.Service) {
	shape := rebalance.Shape{Ranks: len(s.Endpoints), Experts: s.Experts, Slots: s.Slots}
	if m.planner != nil && shape == m.shape {
		return
	}
	c, _ := m.agent.node.Config()
	p := c.Policy(s.Policy)
	m.shape = shape
	m.maps = map[uint64]rebalance.Map{0: rebalance.Even(shape, s.Layers)}
	m.planner = rebalance.New(rebalance.Config{
		Shape: shape, Layers: s.Layers, ExpertBytes: s.ExpertBytes,
		StoreRate: s.StoreRate, HourlyBytes: s.HourlyBytes,
		Prices:     rebalance.Prices{Skew: p.SkewPrice, Move: p.MovePrice},
		SampleTime: s.RebalanceInterval.Seconds(), MaxAge: 5,
	})
}

// askOwn reads the state of the agent's own rank, without a new promise.
func (m *mapper) askOwn(ctx context.Context) (r mapswitch.RankState, ok bool) {
	reply, err := m.agent.engine.Order(ctx, adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Ask}})
	if err != nil {
		return r, false
	}
	m.ballot = max(m.ballot, reply.State.Fence)
	return reply.State, true
}

// nextBallot returns a ballot above all heard of that no other rank makes.
func (m *mapper) nextBallot(s *published.Service) uint64 {
	own := uint64(0)
	for _, e := range s.Endpoints {
		if e.Name == m.agent.node.Settings().Endpoint {
			own = uint64(e.Rank)
		}
	}
	m.ballot = (m.ballot/mapswitch.MaxRanks+1)*mapswitch.MaxRanks + own
	return m.ballot
}

// drive runs one coordinator, and another with more margin when the step it
// chose had already begun. It returns the version that was decided.
func (m *mapper) drive(ctx context.Context, s *published.Service, next rebalance.Map) (version uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, switchLimit)
	defer cancel()
	for ctx.Err() == nil {
		c := mapswitch.NewCoordinator(m.nextBallot(s), len(s.Endpoints), m.margin)
		c = m.complete(ctx, s, c, next)
		switch c.Phase {
		case mapswitch.Done:
			return c.Plan.Version, true
		case mapswitch.TooLate:
			m.margin = min(maxMargin, 2*m.margin)
		case mapswitch.Beaten:
			return 0, false
		case mapswitch.GivenUp:
			m.agent.node.Trail().Add(audit.MapSwitch, s.Name, "switch given up: a rank does not answer")
			return 0, false
		}
	}
	m.agent.node.Trail().Add(audit.MapSwitch, s.Name, "switch not completed: a rank does not answer")
	return 0, false
}

// complete sends a coordinator's orders until it is over or ctx ends.
func (m *mapper) complete(ctx context.Context, s *published.Service, c mapswitch.Coordinator, next rebalance.Map) mapswitch.Coordinator {
	started := time.Now()
	for !c.Ended() && ctx.Err() == nil {
		if time.Since(started) > undecidedLimit {
			if next, aborts, ok := c.AbortSwitch(); ok {
				m.send(ctx, s, aborts, nil) // A rank that misses it is freed by the next ballot.
				return next
			}
		}
		orders := c.UnconfirmedOrders()
		phase := c.Phase
		for _, r := range m.send(ctx, s, orders, next) {
			c, _ = c.Handle(r)
			m.ballot = max(m.ballot, r.State.Fence)
		}
		if c.Phase == phase {
			select {
			case <-ctx.Done():
			case <-time.After(resendEvery):
			}
		}
	}
	return c
}

// send gives orders to the agents of the ranks and returns the answers that
// came.
func (m *mapper) send(ctx context.Context, s *published.Service, orders []mapswitch.Order, next rebalance.Map) (replies []mapswitch.Reply) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	living := m.agent.node.ByEndpoint()
	got := make([]*mapswitch.Reply, len(orders))
	g := &errgroup.Group{}
	for i, o := range orders {
		msg := adapter.MapOrder{Order: o}
		if o.Kind == mapswitch.Prepare {
			for _, layer := range next {
				msg.Experts = append(msg.Experts, layer)
			}
		}
		g.Go(func() error {
			duty.RunRecovered("order", m.agent.node.Log(), m.agent.node.Metrics(), func() {
				var r mapswitch.Reply
				peer, ok := living[endpointOfRank(s, o.Rank)]
				if ok && m.agent.node.Call(ctx, peer.Address, wire.PathSwitch, msg, &r) == nil {
					got[i] = &r
				}
			})
			return nil // Whoever is silent is sent the order again.
		})
	}
	_ = g.Wait()
	for _, r := range got {
		if r != nil {
			replies = append(replies, *r)
		}
	}
	return replies
}

// endpointOfRank finds a rank's slot; ranks are numbered in their order.
func endpointOfRank(s *published.Service, rank int) string {
	for _, e := range s.Endpoints {
		if e.Rank == rank {
			return e.Name
		}
	}
	return ""
}

// serveSwitch takes an order from the coordinator of the group. A process that
// was paused passes nothing on before it knows that it has not been replaced.
func (a *Agent) serveSwitch(w http.ResponseWriter, r *http.Request) {
	var o adapter.MapOrder
	if !node.ReadJSON(w, r, &o) {
		return
	}
	a.node.CheckPause(clock.Now())
	if s := a.node.State(); s == node.Doubting || s == node.Stopped {
		http.Error(w, "process was paused", http.StatusServiceUnavailable)
		return
	}
	reply, err := a.order(r.Context(), o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	httpjson.Reply(w, reply)
}

// mayOrder is the guard of an engine that checks no fences: orders go only while
// this process holds the lease on its slot.
func (a *Agent) mayOrder(now time.Time) bool {
	return a.node.Settings().EngineChecksFences || a.node.HoldsLease(now)
}

// errNoLease refuses an order for want of the lease on the slot.
var errNoLease = errors.New("no lease on the slot: the engine checks no fences")

// order passes an order on unless its ballot is below one that was passed on
// before. Not every engine checks fences; an agent that starts anew reads the
// highest one back before its first order. Orders go one at a time, so that
// none overtakes the check.
func (a *Agent) order(ctx context.Context, o adapter.MapOrder) (r mapswitch.Reply, err error) {
	a.orders.Lock()
	defer a.orders.Unlock()
	if !a.mayOrder(clock.Now()) {
		return r, errNoLease
	}
	if !a.fenceKnown {
		own, err := a.engine.Order(ctx, adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Ask}})
		if err != nil {
			return r, err
		}
		a.fence, a.fenceKnown = own.State.Fence, true
	}
	if o.Ballot < a.fence {
		refused := mapswitch.Reply{Kind: o.Kind, Ballot: o.Ballot, Rank: o.Rank, Plan: o.Plan}
		refused.State.Fence = a.fence
		return refused, nil
	}
	a.fence = o.Ballot
	return a.engine.Order(ctx, o)
}
