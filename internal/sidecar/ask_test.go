// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// A rank whose sidecar alone has died still answers past it, now and then: it is
// not absent in between, or the group's leader would begin anew at each look.
func TestOnlyWhoDoesNotAnswerAtAllIsAbsent(t *testing.T) {
	ours, theirs := rank.Report{Group: "g"}, rank.Report{Group: "other"}
	for _, tc := range []struct {
		name   string
		silent member
		want   bool
	}{
		{"its sidecar has died", member{report: ours}, false},
		{"its instance is frozen", member{report: ours, lost: true}, true},
		{"frozen, and never heard before", member{lost: true}, true},
		{"not asked past its sidecar yet", member{}, false},
		{"of another group", member{report: theirs}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &leader{all: []*member{{report: ours, fresh: true}, &tc.silent}}
			NewWithT(t).Expect(l.engineLost(ours)).To(Equal(tc.want))
		})
	}
}
