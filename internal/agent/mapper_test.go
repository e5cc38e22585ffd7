// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/mapswitch"
	"github.com/canvaspulley/canvaspulley/internal/platform"
	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// TestAgentGuardsAnEngineWithoutFences gives an engine that checks none the
// orders of a late coordinator: straight to it they are obeyed, through the
// agent they are not, nor through one that has just started.
func TestAgentGuardsAnEngineWithoutFences(t *testing.T) {
	newer := platform.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Ask, Ballot: 9}}
	late := platform.MapOrder{Order: mapswitch.Order{Kind: mapswitch.Prepare, Ballot: 3, Plan: mapswitch.Plan{Version: 3}}}
	check := func(name string, restart bool, through bool, obeyed bool) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			group := standin.NewGroup(standin.GroupConfig{Ranks: 1, NoFences: true})
			srv := httptest.NewServer(group.Rank(0).Handler())
			t.Cleanup(srv.Close)
			engine := platform.NewEngine(srv.URL, srv.Client())
			a := &Agent{engine: engine}
			_, err := a.order(context.Background(), newer)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if restart {
				a = &Agent{engine: engine}
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
