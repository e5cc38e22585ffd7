// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

var day = time.Unix(1000, 0)

// asked and over are words of a revision on the failure domain "a".
func asked(revision uint64) Evacuation { return Evacuation{Domain: "a", Revision: revision} }
func over(revision uint64) Evacuation {
	return Evacuation{Domain: "a", Revision: revision, Over: true}
}

func TestTheNewestWordOnADomainHolds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tells func(v *View)
		want  bool
	}{
		{"nothing is told", func(*View) {}, false},
		{"a snapshot names it", func(v *View) { v.Replace(Snapshot{Evacuations: []Evacuation{asked(5)}, At: 6}, day, false) }, true},
		{"a change asks for it", func(v *View) { v.Apply(Changes{Evacuations: []Evacuation{asked(5)}, At: 5}, day, false) }, true},
		{"it is taken back", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{asked(5), over(7)}, At: 7}, day, false)
		}, false},
		{"words come in another order", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{over(7)}, At: 7}, day, false)
			v.Merge(Changes{Evacuations: []Evacuation{asked(5)}})
		}, false},
		{"it is asked for again", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{asked(5), over(7), asked(9)}, At: 9}, day, false)
		}, true},
		{"a later snapshot does not name it", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{asked(5)}, At: 5}, day, false)
			v.Replace(Snapshot{At: 8}, day, false)
		}, false},
		{"a snapshot from before does not name it", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{asked(5)}, At: 5}, day, false)
			v.Replace(Snapshot{At: 4}, day, false)
		}, true},
		{"after an outage of the store a snapshot does not name it", func(v *View) {
			v.Apply(Changes{Evacuations: []Evacuation{asked(5)}, At: 5}, day, false)
			v.Replace(Snapshot{At: 8}, day, true)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := NewView()
			tc.tells(v)
			NewWithT(t).Expect(v.State().Evacuated("a")).To(Equal(tc.want))
		})
	}
}

// hear has one view told all that is new in another one since a number.
func hear(v, from *View, after uint64) (number uint64) {
	told := from.UpdateSince(after)
	v.ApplyUpdate(told, day)
	return told.Number
}

func TestOthersAreToldOfEvacuations(t *testing.T) {
	g := NewWithT(t)
	reads, listens := NewView(), NewView()
	reads.Replace(Snapshot{Endpoints: []fleet.Endpoint{{ID: "e", Service: "s", Address: "a:1", Domain: "a", Revision: 1}}, At: 1}, day, false)
	number := hear(listens, reads, 0)
	g.Expect(listens.State().Evacuated("a")).To(BeFalse())

	reads.Apply(Changes{Evacuations: []Evacuation{asked(5)}, At: 5}, day, false)
	g.Expect(reads.ChangedSince(number)).To(BeTrue(), "it is news")
	number = hear(listens, reads, number)
	g.Expect(listens.State().Evacuated("a")).To(BeTrue())
	g.Expect(listens.State().ByService["s"]).To(HaveLen(1), "its endpoints stay listed: what they run goes on")

	starts := NewView()
	hear(starts, reads, 0)
	g.Expect(starts.State().Evacuated("a")).To(BeTrue(), "a process that starts during one")

	reads.Apply(Changes{Evacuations: []Evacuation{over(9)}, At: 9}, day, false)
	hear(listens, reads, number)
	g.Expect(listens.State().Evacuated("a")).To(BeFalse())
	hear(listens, starts, 0)
	g.Expect(listens.State().Evacuated("a")).To(BeFalse(), "who is behind takes nothing back")
}

// Whatever writes keys like these does not fill the memory, and hides no domain that
// was named before.
func TestFewDomainsAreRemembered(t *testing.T) {
	g := NewWithT(t)
	e := evacuations{}.with([]Evacuation{asked(1)})
	for i := range 2 * maxEvacuations {
		e = e.with([]Evacuation{{Domain: string(rune(0x4e00 + i)), Revision: 2}})
	}
	g.Expect(e).To(HaveLen(maxEvacuations))
	e = e.with([]Evacuation{over(3)})
	g.Expect(e["a"].Over).To(BeTrue())
}
