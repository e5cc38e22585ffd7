// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// First tries of callers wait between 6.8 and 8 s; those that come again were refused
// and told to wait for 1.2 s or more.
func TestWhoHasComeBeforeIsToldByItsPatience(t *testing.T) {
	for _, tc := range []struct {
		longest, left time.Duration
		again         bool
	}{
		{8 * time.Second, 8 * time.Second, false},
		{8 * time.Second, 7200 * time.Millisecond, false},
		{8 * time.Second, 6900 * time.Millisecond, false},
		{8 * time.Second, 6790 * time.Millisecond, true},
		{8 * time.Second, 5 * time.Second, true},
		{1200 * time.Millisecond, 1050 * time.Millisecond, false},
		{1200 * time.Millisecond, 800 * time.Millisecond, true}, // They wait a third of what they have at most.
	} {
		t.Run(fmt.Sprint(tc.longest, "/", tc.left), func(t *testing.T) {
			g := NewWithT(t)
			p := newPatience()
			for range enoughSeen {
				p.again("r", tc.longest, tc.longest)
			}
			surely, perhaps := p.again("r", tc.left, tc.longest)
			g.Expect(surely).To(Equal(tc.again))
			g.Expect(perhaps).To(Equal(tc.again))
		})
	}
}
