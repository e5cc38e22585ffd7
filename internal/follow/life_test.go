// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// life returns a life of the endpoint that is listed as "a".
func life(born int64, revision uint64, leaving bool) fleet.Endpoint {
	e := endpoint(fleet.IncarnationID("a", born), revision)
	e.StartedAt, e.Address, e.CreatedRevision, e.Leaving = born, "a", 1, leaving
	return e
}

// expectOnly checks that the view holds one life of "a", and that it is found by its
// service and its address, unless it leaves.
func expectOnly(g *WithT, v *View, want fleet.Endpoint) {
	s := v.State()
	g.Expect(s.Endpoints).To(HaveLen(1))
	g.Expect(s.Endpoints).To(HaveKeyWithValue(want.ID, want))
	g.Expect(s.ByService["s"]).To(ConsistOf(want))
	g.Expect(s.ByAddress).To(HaveKeyWithValue("a", want))
}

// ways are those by which an entry may reach a view.
var ways = []struct {
	name string
	take func(v *View, e fleet.Endpoint)
}{
	{"change", func(v *View, e fleet.Endpoint) {
		v.Apply(Changes{Endpoints: []fleet.Endpoint{e}, At: e.Revision}, at(1), false)
	}},
	{"snapshot", func(v *View, e fleet.Endpoint) {
		v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{e}, At: e.Revision}, at(1), false)
	}},
	{"neighbour's word", func(v *View, e fleet.Endpoint) {
		v.ApplyUpdate(Update{Endpoints: []fleet.Endpoint{e}, At: e.Revision}, at(1))
	}},
	{"neighbour's whole word", func(v *View, e fleet.Endpoint) {
		v.ApplyUpdate(Update{Whole: true, Endpoints: []fleet.Endpoint{e}, At: e.Revision}, at(1))
	}},
	{"loan", func(v *View, e fleet.Endpoint) { v.Merge(Changes{Endpoints: []fleet.Endpoint{e}}) }},
}

// checkWays has a view that knows a life hear of another one in each way, and checks which
// one it knows then.
func checkWays(t *testing.T, known, heard, want fleet.Endpoint, meanwhile func(g *WithT, v *View)) {
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			g := NewWithT(t)
			v := NewView()
			v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{known}, At: known.Revision}, at(0), false)
			meanwhile(g, v)
			way.take(v, heard)
			expectOnly(g, v, want)
		})
	}
}

func nothing(*WithT, *View) {}

func TestALaterLifeBeginsAnew(t *testing.T) {
	checkWays(t, life(5, 2, true), life(7, 3, false), life(7, 3, false), nothing)
}

func TestAnEarlierLifesWordComesLate(t *testing.T) {
	checkWays(t, life(7, 3, true), life(5, 4, false), life(7, 3, true), nothing)
}

func TestLeavingIsKeptWithinALifeOverALapse(t *testing.T) {
	checkWays(t, life(5, 2, true), life(5, 4, false), life(5, 4, true), func(g *WithT, v *View) {
		v.Apply(Changes{Removals: []Removal{{"a", 3}}, At: 3}, at(0), false)
		g.Expect(v.State().Endpoints).To(BeEmpty())
	})
}

func TestBothLivesInOneAnswer(t *testing.T) {
	for _, list := range [][]fleet.Endpoint{
		{life(7, 3, false), life(5, 4, true)},
		{life(5, 2, true), life(7, 3, false)},
	} {
		g := NewWithT(t)
		v := NewView()
		v.Replace(Snapshot{Config: version(1), At: 1}, at(0), false)
		v.Apply(Changes{Endpoints: list, At: 4}, at(1), false)
		expectOnly(g, v, life(7, 3, false))
	}
}

// A listener that is told of a change hears that the earlier life is over.
func TestALaterLifeIsTold(t *testing.T) {
	g := NewWithT(t)
	teller, listener := NewView(), NewView()
	teller.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{life(5, 2, true)}, At: 2}, at(0), false)
	first := teller.UpdateSince(0)
	listener.Offer(version(1), 1)
	listener.ApplyUpdate(first, at(0))
	teller.Apply(Changes{Endpoints: []fleet.Endpoint{life(7, 3, false)}, At: 3}, at(1), false)
	listener.ApplyUpdate(teller.UpdateSince(first.Number), at(1))
	expectOnly(g, listener, life(7, 3, false))
}

// An entry that another writer laid over an endpoint's names nothing to use; the
// endpoint's own next one does, and whether it leaves is not forgotten meanwhile.
func TestABadEntryHoldsUntilTheNext(t *testing.T) {
	bad := InvalidEntry{Name: "a", Revision: 3, Err: errors.New("state: missing")}
	for _, tc := range []struct {
		name string
		take func(v *View)
	}{
		{"change", func(v *View) { v.Apply(Changes{Invalid: []InvalidEntry{bad}, At: 3}, at(1), false) }},
		{"snapshot", func(v *View) {
			v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("b", 2)}, Invalid: []InvalidEntry{bad}, At: 3}, at(1), false)
		}},
	} {
		for _, leaving := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				g := NewWithT(t)
				v := NewView()
				v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{life(5, 2, leaving), endpoint("b", 2)}, At: 2}, at(0), false)
				tc.take(v)
				g.Expect(v.State().Endpoints).To(HaveLen(1), "the others hold")
				g.Expect(v.State().Endpoints).To(HaveKey("b"))
				v.Merge(Changes{Endpoints: []fleet.Endpoint{life(5, 2, false)}})
				g.Expect(v.State().Endpoints).To(HaveLen(1), "what the entry said before does not hold any more")
				v.Apply(Changes{Endpoints: []fleet.Endpoint{life(5, 4, false)}, At: 4}, at(2), false)
				g.Expect(v.State().Endpoints).To(HaveKeyWithValue(life(5, 4, false).ID, life(5, 4, leaving)))
			})
		}
	}
}

// One with a service that is not configured hides no endpoint at its address.
func TestAnUnknownServiceHidesNobody(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	right, wrong := endpoint("a", 2), endpoint("b", 9)
	wrong.Address, wrong.Service = "a", "other"
	v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{right, wrong}, At: 9}, at(0), false)
	g.Expect(v.State().ByAddress["a"].ID).To(Equal("b"), "nothing is known of services yet")
	v.Offer(fleet.NewConfig(2, nil, []fleet.Service{{Name: "s"}}, nil, fleet.Limits{}), 10)
	g.Expect(v.State().ByAddress["a"]).To(Equal(right))
	g.Expect(v.State().ByService).To(HaveKeyWithValue("s", ConsistOf(right)))
}

func TestABadEntryIsLoggedOnceARevision(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.WarnLevel)
	f := NewFollower(NewView(), Source{}, time.Second, zap.New(core))
	f.now = func() time.Time { return at(0) }
	bad := func(revision uint64) []InvalidEntry {
		return []InvalidEntry{{Name: "a", Revision: revision, Err: errors.New("state: missing")}}
	}
	f.report(bad(3))
	f.report(bad(3))
	f.report(bad(4))
	g.Expect(logs.Len()).To(Equal(2))
}
