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

// incarnation returns an incarnation of the endpoint that is listed as "a".
func incarnation(born int64, revision uint64, leaving bool) fleet.Endpoint {
	e := endpoint(fleet.IncarnationID("a", born), revision)
	e.StartedAt, e.Address, e.CreatedRevision, e.Leaving = born, "a", 1, leaving
	return e
}

// expectOnlyEndpoint checks that the view holds one incarnation of "a", and that it is indexed by
// its service and its address.
func expectOnlyEndpoint(g *WithT, v *View, want fleet.Endpoint) {
	s := v.State()
	g.Expect(s.Endpoints).To(HaveLen(1))
	g.Expect(s.Endpoints).To(HaveKeyWithValue(want.ID, want))
	g.Expect(s.ByService["s"]).To(ConsistOf(want))
	g.Expect(s.ByAddress).To(HaveKeyWithValue("a", want))
}

// paths are the ways in which an entry may reach a view.
var paths = []struct {
	name  string
	apply func(v *View, e fleet.Endpoint)
}{
	{"change", func(v *View, e fleet.Endpoint) {
		v.Apply(Changes{Endpoints: []fleet.Endpoint{e}, UpTo: e.Revision}, at(1), false)
	}},
	{"snapshot", func(v *View, e fleet.Endpoint) {
		v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{e}, UpTo: e.Revision}, at(1), false)
	}},
	{"peer's changes", func(v *View, e fleet.Endpoint) {
		v.ApplyUpdate(Update{Endpoints: []fleet.Endpoint{e}, UpTo: e.Revision}, at(1))
	}},
	{"peer's complete view", func(v *View, e fleet.Endpoint) {
		v.ApplyUpdate(Update{Whole: true, Endpoints: []fleet.Endpoint{e}, UpTo: e.Revision}, at(1))
	}},
	{"complete view of a peer that is behind", func(v *View, e fleet.Endpoint) {
		v.ApplyUpdate(Update{Whole: true, Endpoints: []fleet.Endpoint{e}}, at(1))
	}},
}

// checkPaths sends another incarnation to a view that knows one, on each path, and checks which one
// the view holds then.
func checkPaths(t *testing.T, known, received, want fleet.Endpoint, meanwhile func(g *WithT, v *View)) {
	for _, way := range paths {
		t.Run(way.name, func(t *testing.T) {
			g := NewWithT(t)
			v := NewView()
			v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{known}, UpTo: known.Revision}, at(0), false)
			meanwhile(g, v)
			way.apply(v, received)
			expectOnlyEndpoint(g, v, want)
		})
	}
}

func nothing(*WithT, *View) {}

func TestALaterIncarnationReplacesTheEarlierOne(t *testing.T) {
	checkPaths(t, incarnation(5, 2, true), incarnation(7, 3, false), incarnation(7, 3, false), nothing)
}

func TestALateEntryOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	checkPaths(t, incarnation(7, 3, true), incarnation(5, 4, false), incarnation(7, 3, true), nothing)
}

func TestLeavingSurvivesTheExpiryOfAnEntry(t *testing.T) {
	checkPaths(t, incarnation(5, 2, true), incarnation(5, 4, false), incarnation(5, 4, true), func(g *WithT, v *View) {
		v.Apply(Changes{Removals: []Removal{{"a", 3}}, UpTo: 3}, at(0), false)
		g.Expect(v.State().Endpoints).To(BeEmpty())
	})
}

func TestBothIncarnationsInOneAnswer(t *testing.T) {
	for _, list := range [][]fleet.Endpoint{
		{incarnation(7, 3, false), incarnation(5, 4, true)},
		{incarnation(5, 2, true), incarnation(7, 3, false)},
	} {
		g := NewWithT(t)
		v := NewView()
		v.Replace(Snapshot{Config: version(1), UpTo: 1}, at(0), false)
		v.Apply(Changes{Endpoints: list, UpTo: 4}, at(1), false)
		expectOnlyEndpoint(g, v, incarnation(7, 3, false))
	}
}

// Guards against a receiver of updates that keeps the earlier incarnation beside the later one.
func TestALaterIncarnationIsSentToPeers(t *testing.T) {
	g := NewWithT(t)
	sender, receiver := NewView(), NewView()
	sender.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{incarnation(5, 2, true)}, UpTo: 2}, at(0), false)
	first, _, _ := sender.UpdateSince(0)
	receiver.Offer(version(1), 1)
	receiver.ApplyUpdate(first, at(0))
	sender.Apply(Changes{Endpoints: []fleet.Endpoint{incarnation(7, 3, false)}, UpTo: 3}, at(1), false)
	second, _, _ := sender.UpdateSince(first.Number)
	receiver.ApplyUpdate(second, at(1))
	expectOnlyEndpoint(g, receiver, incarnation(7, 3, false))
}

// An entry that another writer overwrote describes no usable endpoint until the endpoint writes its
// next entry. Meanwhile, it must not be forgotten whether the endpoint is leaving.
func TestAnInvalidEntryHidesTheEndpointUntilTheNextEntry(t *testing.T) {
	bad := InvalidEntry{Name: "a", Revision: 3, Err: errors.New("state: missing")}
	for _, tc := range []struct {
		name  string
		apply func(v *View)
	}{
		{"change", func(v *View) { v.Apply(Changes{Invalid: []InvalidEntry{bad}, UpTo: 3}, at(1), false) }},
		{"snapshot", func(v *View) {
			v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("b", 2)}, Invalid: []InvalidEntry{bad}, UpTo: 3}, at(1), false)
		}},
	} {
		for _, leaving := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				g := NewWithT(t)
				v := NewView()
				v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{incarnation(5, 2, leaving), endpoint("b", 2)}, UpTo: 2}, at(0), false)
				tc.apply(v)
				g.Expect(v.State().Endpoints).To(HaveLen(1), "other entries stay")
				g.Expect(v.State().Endpoints).To(HaveKey("b"))
				v.ApplyUpdate(Update{Endpoints: []fleet.Endpoint{incarnation(5, 2, false)}, UpTo: 2}, at(1))
				g.Expect(v.State().Endpoints).To(HaveLen(1), "the entry's previous content is no longer valid")
				v.Apply(Changes{Endpoints: []fleet.Endpoint{incarnation(5, 4, false)}, UpTo: 4}, at(2), false)
				g.Expect(v.State().Endpoints).To(HaveKeyWithValue(incarnation(5, 4, false).ID, incarnation(5, 4, leaving)))
			})
		}
	}
}

// An endpoint with a service that is not configured must not hide another one at its address.
func TestAnUnknownServiceHidesNoOtherEndpoint(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	right, wrong := endpoint("a", 2), endpoint("b", 9)
	wrong.Address, wrong.Service = "a", "other"
	v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{right, wrong}, UpTo: 9}, at(0), false)
	g.Expect(v.State().ByAddress["a"].ID).To(Equal("b"), "no services are known yet")
	v.Offer(fleet.NewConfig(2, nil, []fleet.Service{{Name: "s"}}, nil, fleet.Limits{}), 10)
	g.Expect(v.State().ByAddress["a"]).To(Equal(right))
	g.Expect(v.State().ByService).To(HaveKeyWithValue("s", ConsistOf(right)))
}

func TestAnInvalidEntryIsLoggedOncePerRevision(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.WarnLevel)
	f := NewFollower(NewView(), Source{}, time.Second, zap.New(core))
	f.now = func() time.Time { return at(0) }
	bad := func(revision uint64) []InvalidEntry {
		return []InvalidEntry{{Name: "a", Revision: revision, Err: errors.New("state: missing")}}
	}
	f.logInvalid(bad(3))
	f.logInvalid(bad(3))
	f.logInvalid(bad(4))
	g.Expect(logs.Len()).To(Equal(2))
}
