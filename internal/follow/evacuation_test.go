// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

var testTime = time.Unix(1000, 0)

// begun and ended return orders of a revision for the failure domain "a".
func begun(revision uint64) Evacuation { return Evacuation{Domain: "a", Revision: revision} }
func ended(revision uint64) Evacuation {
	return Evacuation{Domain: "a", Revision: revision, Over: true}
}

func TestTheNewestOrderForADomainApplies(t *testing.T) {
	for _, tc := range []struct {
		name   string
		update func(v *View)
		want   bool
	}{
		{"no order", func(*View) {}, false},
		{"a snapshot names it", func(v *View) { v.Replace(Snapshot{Evacuations: []Evacuation{begun(5)}, UpTo: 6}, testTime, false) }, true},
		{"a change asks for it", func(v *View) { v.Apply(Changes{Evacuations: []Evacuation{begun(5)}, UpTo: 5}, testTime, false) }, true},
		{"it is ended", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{begun(5), ended(7)}, UpTo: 7}, testTime, false)
		}, false},
		{"orders arrive in another sequence", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{ended(7)}, UpTo: 7}, testTime, false)
			v.ApplyUpdate(Update{Evacuations: []Evacuation{begun(5)}, UpTo: 5}, testTime)
		}, false},
		{"it is asked for again", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{begun(5), ended(7), begun(9)}, UpTo: 9}, testTime, false)
		}, true},
		{"a later snapshot does not name it", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{begun(5)}, UpTo: 5}, testTime, false)
			v.Replace(Snapshot{UpTo: 8}, testTime, false)
		}, false},
		{"an earlier snapshot does not name it", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{begun(5)}, UpTo: 5}, testTime, false)
			v.Replace(Snapshot{UpTo: 4}, testTime, false)
		}, true},
		{"a peer that has started since its end does not name it", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{begun(5)}, UpTo: 5}, testTime, false)
			v.ApplyUpdate(Update{Whole: true, UpTo: 8}, testTime)
		}, false},
		{"a peer that is behind does not name it", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{begun(5)}, UpTo: 5}, testTime, false)
			v.ApplyUpdate(Update{Whole: true, UpTo: 4}, testTime)
		}, true},
		{"after an outage of the store a snapshot does not name it", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{begun(5)}, UpTo: 5}, testTime, false)
			v.Replace(Snapshot{UpTo: 8}, testTime, true)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := NewView()
			tc.update(v)
			NewWithT(t).Expect(v.State().Evacuated("a")).To(Equal(tc.want))
		})
	}
}

// syncViews sends one view all that is new in another one since a number.
func syncViews(v, from *View, after uint64) (number uint64) {
	told, _, _ := from.UpdateSince(after)
	v.ApplyUpdate(told, testTime)
	return told.Number
}

func TestEvacuationsAreSentToPeers(t *testing.T) {
	g := NewWithT(t)
	reader, receiver := NewView(), NewView()
	reader.Replace(Snapshot{Endpoints: []fleet.Endpoint{{ID: "e", Service: "s", Address: "a:1", Domain: "a", Revision: 1}}, UpTo: 1}, testTime, false)
	number := syncViews(receiver, reader, 0)
	g.Expect(receiver.State().Evacuated("a")).To(BeFalse())

	reader.Apply(Changes{Evacuations: []Evacuation{begun(5)}, UpTo: 5}, testTime, false)
	g.Expect(reader.ChangedSince(number)).To(BeTrue(), "the evacuation is a change")
	number = syncViews(receiver, reader, number)
	g.Expect(receiver.State().Evacuated("a")).To(BeTrue())
	g.Expect(receiver.State().ByService["s"]).To(HaveLen(1), "its endpoints stay listed: their requests continue")

	starter := NewView()
	syncViews(starter, reader, 0)
	g.Expect(starter.State().Evacuated("a")).To(BeTrue(), "a process that starts during an evacuation")

	reader.Apply(Changes{Evacuations: []Evacuation{ended(9)}, UpTo: 9}, testTime, false)
	syncViews(receiver, reader, number)
	g.Expect(receiver.State().Evacuated("a")).To(BeFalse())
	syncViews(receiver, starter, 0)
	g.Expect(receiver.State().Evacuated("a")).To(BeFalse(), "an update from an older view reverts nothing")
}

// Guards against keys without bound that fill the memory or displace domains that were named
// before.
func TestRememberedDomainsAreBounded(t *testing.T) {
	g := NewWithT(t)
	e := evacuations{}.merged([]Evacuation{begun(1)})
	for i := range 2 * maxEvacuations {
		e = e.merged([]Evacuation{{Domain: string(rune(0x4e00 + i)), Revision: 2}})
	}
	g.Expect(e).To(HaveLen(maxEvacuations))
	e = e.merged([]Evacuation{ended(3)})
	g.Expect(e["a"].Over).To(BeTrue())
}
