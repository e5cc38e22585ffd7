// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/decide/mapswitch"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// agentForOrders returns an agent that only forwards orders. Its settings state that the engine
// checks fences, so that no lease is required.
func agentForOrders(t *testing.T, engine *adapter.Engine) *Agent {
	t.Helper()
	n, err := node.New(&settings.Settings{Name: "a", GossipInterval: time.Second, EngineChecksFences: true}, zap.NewNop())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return &Agent{node: n, engine: engine}
}

// TestOrdersNeedTheLease runs an agent for an engine that does not check fences. Guards against
// an agent that forwards orders right after its start or after too long without contact to peers,
// when another process may hold the lease.
func TestOrdersNeedTheLease(t *testing.T) {
	g := gomega.NewWithT(t)
	group := standin.NewGroup(standin.GroupConfig{Ranks: 1, IgnoreFences: true})
	srv := httptest.NewServer(group.Rank(0).Handler())
	t.Cleanup(srv.Close)
	b := newHarness(t, func(s *settings.Settings) {
		s.EngineChecksFences = false
		s.GossipInterval = 100 * time.Millisecond
	}, adapter.NewEngine(srv.URL, srv.Client()), nil)
	started := b.agent.node.Started()
	g.Expect(b.agent.mayForwardOrders(started.Add(b.agent.node.Lease()/2))).To(gomega.BeFalse(), "an earlier process may still hold the lease")
	g.Eventually(func() bool { return b.agent.mayForwardOrders(time.Now()) }, "20s").Should(gomega.BeTrue())
	g.Expect(b.agent.mayForwardOrders(time.Now().Add(time.Hour))).To(gomega.BeFalse(), "the lease expires")
	b.agent.node.Leave("planned stop")
	g.Expect(b.agent.mayForwardOrders(time.Now())).To(gomega.BeTrue(), "a planned stop does not block a map switch")
	successor := fmt.Sprintf(`{"rows":[{"n":"heir","e":%q,"a":"127.0.0.1:1","l":%d}]}`, b.endpoint, started.Add(time.Second).UnixMilli())
	resp, err := http.Post(b.url+wire.PathGossip, "application/json", strings.NewReader(successor))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	_, err = b.agent.forwardOrder(context.Background(), adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Ask, Ballot: 9}})
	g.Expect(err).To(gomega.MatchError(errNoLease), "superseded")
}

// TestAgentChecksFencesForAnEngineWithoutThem sends the orders of a superseded coordinator to an
// engine that does not check fences. The engine executes them when they are sent directly, but
// neither an agent nor one that has just been restarted forwards them.
func TestAgentChecksFencesForAnEngineWithoutThem(t *testing.T) {
	newer := adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Ask, Ballot: 9}}
	late := adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Prepare, Ballot: 3, Plan: mapswitch.Plan{Version: 3}}}
	check := func(name string, restart bool, throughAgent bool, executed bool) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			group := standin.NewGroup(standin.GroupConfig{Ranks: 1, IgnoreFences: true})
			srv := httptest.NewServer(group.Rank(0).Handler())
			t.Cleanup(srv.Close)
			engine := adapter.NewEngine(srv.URL, srv.Client())
			a := agentForOrders(t, engine)
			_, err := a.forwardOrder(context.Background(), newer)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if restart {
				a = agentForOrders(t, engine)
			}
			order := engine.Order
			if throughAgent {
				order = a.forwardOrder
			}
			reply, err := order(context.Background(), late)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(reply.OK).To(gomega.Equal(executed))
			g.Expect(reply.State.Fence).To(gomega.BeEquivalentTo(9), "the coordinator learns that it is superseded")
		})
	}
	check("directly to the engine", false, false, true)
	check("through the agent", false, true, false)
	check("through an agent that has just been restarted", true, true, false)
}
