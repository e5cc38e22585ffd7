// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"fmt"
	"testing"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

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
