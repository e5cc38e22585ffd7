// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"fmt"
	"testing"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// A view that has been complete up to a revision does not take back what was removed by then, from a
// peer that is behind.
func TestPeerThatIsBehindRestoresNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		forget func(v *View)
	}{
		{"a snapshot lacks it", func(v *View) { v.Replace(Snapshot{Config: version(1), UpTo: 9}, at(1), false) }},
		{"it was dropped after an outage", func(v *View) {
			v.Replace(Snapshot{Config: version(1), UpTo: 9}, at(1), true)
			v.DropMissing(at(2))
		}},
		{"a peer's complete view lacks it", func(v *View) { v.ApplyUpdate(Update{Whole: true, UpTo: 9}, at(1)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := NewView()
			v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("a", 4)}, UpTo: 5}, at(0), false)
			tc.forget(v)
			v.ApplyUpdate(Update{Whole: true, Endpoints: []fleet.Endpoint{endpoint("a", 4)}, UpTo: 6}, at(2))
			if n := len(v.State().Endpoints); n != 0 {
				t.Fatalf("%d endpoints", n)
			}
		})
	}
}

// A process that is suspended as it answers another one must not pass off an old state as the newest.
func TestStateIsNoNewerThanItsOwnConfirmation(t *testing.T) {
	v := NewView()
	v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("a", 4)}, UpTo: 5}, at(1), false)
	u, s, completeAt := v.UpdateSince(0)
	v.Apply(Changes{Config: version(2), Removals: []Removal{{Name: "a", Revision: 6}}, UpTo: 6}, at(5), false)
	if got := fmt.Sprint(len(u.Endpoints), s.version(), completeAt); got != fmt.Sprint(1, 1, at(1)) {
		t.Fatal(got)
	}
}
