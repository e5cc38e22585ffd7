// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/passes"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// A request asks for a place in a group once by each round of reports.
func TestARequestAsksForAPlaceOnceARound(t *testing.T) {
	for _, tc := range []struct {
		name  string
		group string // Of ranks that have not told yet, "".
	}{{"a group that is known", "g"}, {"ranks that have not told their group", ""}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gw := newStation(t, 1).g
			tell := func(at time.Time) { gw.passes.Report("a", "g", passes.Shape{}, passes.Rank{At: at}) }
			tell(time.Unix(1000, 0))
			free, full := passes.Offer{Ranks: 1, Limit: 4}, passes.Offer{Ranks: 1, Limit: 4, Busy: 4}
			q := &request{g: gw, route: &fleet.Route{}}
			g.Expect(q.takes(tc.group, full)).To(BeFalse(), "no place is free")
			g.Expect(q.takes(tc.group, free)).To(BeFalse(), "nothing new was told since")
			g.Expect((&request{g: gw, route: q.route}).takes(tc.group, free)).To(BeTrue(), "another request's first question")
			tell(time.Unix(1001, 0))
			g.Expect(q.takes(tc.group, free)).To(Equal(tc.group == "g"))
		})
	}
}
