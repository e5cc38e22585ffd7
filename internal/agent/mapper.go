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

// Times and step margins of a map switch.
const (
	idleInterval     = time.Second            // Between checks whether rebalancing of the group is configured.
	resendInterval   = 100 * time.Millisecond // Pause before unconfirmed orders are sent again.
	switchTimeout    = time.Minute            // Until switchMap stops trying; a later sample may start another ballot.
	undecidedTimeout = 10 * time.Second       // Until an undecided switch is aborted.
	initialMargin    = 16                     // Engine steps between the newest reported step and the switch.
	maxMargin        = 4096
)

// mapController plans and coordinates switches of its group's expert map while its agent is
// the coordinator: the one with the lowest rank alive, in the agent's own view of the group.
// Two coordinators at the same time are harmless.
type mapController struct {
	agent   *Agent
	planner *rebalance.Planner // Nil before the first sample of the group.
	shape   rebalance.Shape
	maps    map[uint64]rebalance.Map // By version; a plan needs the content of the active map.
	ballot  uint64                   // Highest ballot or fence seen.
	margin  uint64                   // Engine steps between the newest reported step and the next switch.
}

func newMapController(a *Agent) *mapController {
	return &mapController{agent: a, margin: initialMargin, maps: map[uint64]rebalance.Map{}}
}

// run handles one load sample of the group per rebalance interval, until ctx ends.
func (m *mapController) run(ctx context.Context) error {
	for {
		interval := idleInterval
		if s, ok := m.group(); ok && s.RebalanceInterval > 0 {
			interval = s.RebalanceInterval
			if m.isCoordinator(s) {
				m.handleSample(ctx, s)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// group returns the published group of this agent's endpoint.
func (m *mapController) group() (s *published.Service, ok bool) {
	c, ok := m.agent.node.Config()
	if !ok {
		return nil, false
	}
	s, ok = c.ServiceOf(m.agent.node.Settings().Endpoint)
	return s, ok && s.IsGroup()
}

// isCoordinator reports whether this agent's endpoint has the lowest rank alive in the group.
func (m *mapController) isCoordinator(s *published.Service) bool {
	alive := m.agent.node.ByEndpoint()
	lowest := published.Endpoint{Rank: -1}
	for _, e := range s.Endpoints {
		p, ok := alive[e.Name]
		if ok && p.State == member.Alive && (lowest.Rank < 0 || e.Rank < lowest.Rank) {
			lowest = e
		}
	}
	return lowest.Name == m.agent.node.Settings().Endpoint
}

// handleSample reads one report of the expert load and switches the map if that is worthwhile.
func (m *mapController) handleSample(ctx context.Context, s *published.Service) {
	call, cancel := context.WithTimeout(ctx, time.Second)
	load, err := m.agent.engine.Experts(call)
	cancel()
	if err != nil || len(load.Tokens) != s.Layers || len(load.Tokens[0]) != s.Experts {
		return // The report is missing or has another shape; no decision is based on it.
	}
	m.ensurePlanner(s)
	m.planner.Observe(load.Sample, load.Tokens)
	state, ok := m.askOwnRank(ctx)
	if !ok {
		return
	}
	current, ok := m.activeMap(ctx, state.Map)
	if !ok {
		return
	}
	plan, ok := m.planner.Decide(load.Sample, current)
	if !ok {
		return
	}
	version, ok := m.switchMap(ctx, s, plan.Map)
	if ok {
		m.maps = map[uint64]rebalance.Map{version: plan.Map}
		m.planner.MapSwitched()
		m.agent.node.Trail().Add(audit.MapSwitch, s.Name,
			fmt.Sprintf("version %d decided: %d expert transfers, expected gain %.1f%% of the step time", version, plan.Transfers, 100*plan.Gain))
	}
}

// activeMap returns the content of the active map, which has the given version. A map that this
// controller does not know, such as one made by another coordinator, is read back from the engine and
// kept, so that a plan starts from the experts that are loaded.
func (m *mapController) activeMap(ctx context.Context, version uint64) (current rebalance.Map, ok bool) {
	if current, ok = m.maps[version]; ok {
		return current, true
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c, err := m.agent.engine.Map(ctx)
	if err != nil || c.Version != version {
		return nil, false // The map has just changed; the next sample reads it again.
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

// ensurePlanner creates a planner for a new group or for one whose shape has changed. It then forgets
// all maps but the initial one, version 0.
func (m *mapController) ensurePlanner(s *published.Service) {
	shape := rebalance.Shape{Ranks: len(s.Endpoints), Experts: s.Experts, Slots: s.Slots}
	if m.planner != nil && shape == m.shape {
		return
	}
	c, _ := m.agent.node.Config()
	p := c.Policy(s.Policy)
	m.shape = shape
	m.maps = map[uint64]rebalance.Map{0: rebalance.RoundRobin(shape, s.Layers)}
	m.planner = rebalance.New(rebalance.Config{
		Shape: shape, Layers: s.Layers, ExpertBytes: s.ExpertBytes,
		StoreRate: s.StoreRate, HourlyBytes: s.HourlyBytes,
		Prices:     rebalance.Prices{Skew: p.SkewPrice, Move: p.MovePrice},
		SampleTime: s.RebalanceInterval.Seconds(), MaxAge: 5,
	})
}

// askOwnRank reads the state of the agent's own rank, and raises the controller's ballot to its fence.
// The order has ballot 0 and raises no fence.
func (m *mapController) askOwnRank(ctx context.Context) (r mapswitch.RankState, ok bool) {
	reply, err := m.agent.engine.Order(ctx, adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Ask}})
	if err != nil {
		return r, false
	}
	m.ballot = max(m.ballot, reply.State.Fence)
	return reply.State, true
}

// nextBallot returns a ballot that is above every ballot seen and that no other rank generates.
func (m *mapController) nextBallot(s *published.Service) uint64 {
	own := uint64(0)
	for _, e := range s.Endpoints {
		if e.Name == m.agent.node.Settings().Endpoint {
			own = uint64(e.Rank)
		}
	}
	m.ballot = (m.ballot/mapswitch.MaxRanks+1)*mapswitch.MaxRanks + own
	return m.ballot
}

// switchMap runs a coordinator, and another one with twice the margin when the step chosen for
// the switch had already begun. It returns the version that was decided.
func (m *mapController) switchMap(ctx context.Context, s *published.Service, next rebalance.Map) (version uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	for ctx.Err() == nil {
		c := mapswitch.NewCoordinator(m.nextBallot(s), len(s.Endpoints), m.margin)
		c = m.runCoordinator(ctx, s, c, next)
		switch c.Phase {
		case mapswitch.Done:
			return c.Plan.Version, true
		case mapswitch.TooLate:
			m.margin = min(maxMargin, 2*m.margin)
		case mapswitch.Beaten:
			return 0, false
		case mapswitch.GivenUp:
			m.agent.node.Trail().Add(audit.MapSwitch, s.Name, "switch aborted: a rank does not answer")
			return 0, false
		}
	}
	m.agent.node.Trail().Add(audit.MapSwitch, s.Name, "switch not completed: a rank does not answer")
	return 0, false
}

// runCoordinator sends the coordinator's orders until its switch is over or ctx ends.
func (m *mapController) runCoordinator(ctx context.Context, s *published.Service, c mapswitch.Coordinator, next rebalance.Map) mapswitch.Coordinator {
	started := time.Now()
	for !c.Ended() && ctx.Err() == nil {
		if time.Since(started) > undecidedTimeout {
			if aborted, aborts, ok := c.AbortSwitch(); ok {
				m.sendOrders(ctx, s, aborts, nil) // A rank that misses the abort is released by the next ballot.
				return aborted
			}
		}
		orders := c.UnconfirmedOrders()
		phase := c.Phase
		for _, r := range m.sendOrders(ctx, s, orders, next) {
			c, _ = c.Handle(r)
			m.ballot = max(m.ballot, r.State.Fence)
		}
		if c.Phase == phase {
			select {
			case <-ctx.Done():
			case <-time.After(resendInterval):
			}
		}
	}
	return c
}

// sendOrders sends orders to the agents of the ranks and returns the replies received within
// one second.
func (m *mapController) sendOrders(ctx context.Context, s *published.Service, orders []mapswitch.Order, next rebalance.Map) (replies []mapswitch.Reply) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	alive := m.agent.node.ByEndpoint()
	received := make([]*mapswitch.Reply, len(orders))
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
				peer, ok := alive[endpointOfRank(s, o.Rank)]
				if ok && m.agent.node.Call(ctx, peer.Address, wire.PathSwitch, msg, &r) == nil {
					received[i] = &r
				}
			})
			return nil // The order is sent again to a rank without a reply.
		})
	}
	_ = g.Wait()
	for _, r := range received {
		if r != nil {
			replies = append(replies, *r)
		}
	}
	return replies
}

// endpointOfRank returns the name of the endpoint with the given rank, or "" if there is none.
func endpointOfRank(s *published.Service, rank int) string {
	for _, e := range s.Endpoints {
		if e.Rank == rank {
			return e.Name
		}
	}
	return ""
}

// serveSwitch handles an order from the coordinator of the group. A process that was paused
// forwards no orders until it knows that it has not been replaced.
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
	reply, err := a.forwardOrder(r.Context(), o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	httpjson.Reply(w, reply)
}

// mayForwardOrders reports whether orders may be sent to the engine. An engine that does not
// check fences receives orders only while this process holds the lease on its endpoint.
func (a *Agent) mayForwardOrders(now time.Time) bool {
	return a.node.Settings().EngineChecksFences || a.node.HoldsLease(now)
}

// errNoLease is returned for an order when this process does not hold the lease on its endpoint.
var errNoLease = errors.New("no lease on the slot: the engine checks no fences")

// forwardOrder forwards an order to the engine unless its ballot is below one forwarded before.
// The agent checks this because not every engine checks fences; after a restart it reads the
// engine's fence back before its first order. Orders are forwarded one at a time, so that none
// overtakes the check.
func (a *Agent) forwardOrder(ctx context.Context, o adapter.MapOrder) (r mapswitch.Reply, err error) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if !a.mayForwardOrders(clock.Now()) {
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
		rejection := mapswitch.Reply{Kind: o.Kind, Ballot: o.Ballot, Rank: o.Rank, Plan: o.Plan}
		rejection.State.Fence = a.fence
		return rejection, nil
	}
	a.fence = o.Ballot
	return a.engine.Order(ctx, o)
}
