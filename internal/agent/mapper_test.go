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

// guarded is an agent that takes no part in anything but orders. Its engine is
// said to check fences, so that no lease is asked for.
func guarded(t *testing.T, engine *adapter.Engine) *Agent {
	t.Helper()
	n, err := node.New(&settings.Settings{Name: "a", GossipInterval: time.Second, EngineChecksFences: true}, zap.NewNop())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return &Agent{node: n, engine: engine}
}

// TestOrdersNeedTheLease runs an agent beside an engine without fences: one that
// has just started, and one that has not spoken with anybody for too long, pass
// nothing on.
func TestOrdersNeedTheLease(t *testing.T) {
	g := gomega.NewWithT(t)
	group := standin.NewGroup(standin.GroupConfig{Ranks: 1, IgnoreFences: true})
	srv := httptest.NewServer(group.Rank(0).Handler())
	t.Cleanup(srv.Close)
	b := newBench(t, func(s *settings.Settings) {
		s.EngineChecksFences = false
		s.GossipInterval = 100 * time.Millisecond
	}, adapter.NewEngine(srv.URL, srv.Client()), nil)
	started := b.agent.node.Started()
	g.Expect(b.agent.mayOrder(started.Add(b.agent.node.Lease()/2))).To(gomega.BeFalse(), "an earlier process may still hold the slot")
	g.Eventually(func() bool { return b.agent.mayOrder(time.Now()) }, "20s").Should(gomega.BeTrue())
	g.Expect(b.agent.mayOrder(time.Now().Add(time.Hour))).To(gomega.BeFalse(), "the lease lapses")
	b.agent.node.Leave("planned stop")
	g.Expect(b.agent.mayOrder(time.Now())).To(gomega.BeTrue(), "a planned stop holds no switch up")
	heir := fmt.Sprintf(`{"rows":[{"n":"heir","e":%q,"a":"127.0.0.1:1","l":%d}]}`, b.slot, started.Add(time.Second).UnixMilli())
	resp, err := http.Post(b.url+wire.PathGossip, "application/json", strings.NewReader(heir))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	_, err = b.agent.order(context.Background(), adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Ask, Ballot: 9}})
	g.Expect(err).To(gomega.MatchError(errNoLease), "superseded")
}

// TestAgentGuardsAnEngineWithoutFences gives an engine that checks none the
// orders of a late coordinator: straight to it they are obeyed, through the
// agent they are not, nor through one that has just started.
func TestAgentGuardsAnEngineWithoutFences(t *testing.T) {
	newer := adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Ask, Ballot: 9}}
	late := adapter.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Prepare, Ballot: 3, Plan: mapswitch.Plan{Version: 3}}}
	check := func(name string, restart bool, through bool, obeyed bool) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			group := standin.NewGroup(standin.GroupConfig{Ranks: 1, IgnoreFences: true})
			srv := httptest.NewServer(group.Rank(0).Handler())
			t.Cleanup(srv.Close)
			engine := adapter.NewEngine(srv.URL, srv.Client())
			a := guarded(t, engine)
			_, err := a.order(context.Background(), newer)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if restart {
				a = guarded(t, engine)
			}
			order := engine.Order
			if through {
				order = a.order
			}
			reply, err := order(context.Background(), late)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(reply.OK).To(gomega.Equal(obeyed))
			g.Expect(reply.State.Fence).To(gomega.BeEquivalentTo(9), "the coordinator learns that it is beaten")
		})
	}
	check("naive: straight to the engine", false, false, true)
	check("through the agent", false, true, false)
	check("through an agent that has just started", true, true, false)
}
