// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against closing connections by an old limit when callers learn of a longer one before this
// process does.
func TestALongerIdleTimeoutThatIsPublishedLateEndsNoConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cfg := defaultConfig()
	cfg.PropagationDelay = testTimeout
	s := newTestServer(t, cfg)
	list := s.dialMany(t, connCount)
	time.Sleep(shortIdle + transitMargin + transitMargin/2)
	s.Publish(1, testTimeout, time.Now())
	forEachCaller(t, list, func(_ int, c *caller) error {
		_, err := c.roundTrip()
		return err
	})
	g.Expect(s.count(Idle)).To(BeZero())
}
