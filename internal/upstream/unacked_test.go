// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a peer that is taken for lost while it acknowledges, and against one that is not
// although it acknowledges nothing.
func TestAConnectionIsLostAfterATimeWithoutAcknowledgement(t *testing.T) {
	const step = unackedLimit / 10
	for name, tc := range map[string]struct {
		state  func(i int) sendState // By the index of the poll.
		lostAt int                   // Index of the poll at which it is lost; 0 for never.
	}{
		"nothing is acknowledged":              {func(int) sendState { return sendState{waiting: true, data: true} }, 10},
		"acknowledgements end":                 {func(i int) sendState { return sendState{waiting: true, data: true, acked: uint64(min(i, 5))} }, 15},
		"acknowledgements come slowly":         {func(i int) sendState { return sendState{waiting: true, data: true, acked: uint64(i / 9)} }, 0},
		"acknowledgements of no new byte come": {func(i int) sendState { return sendState{waiting: true, data: true, ackAge: time.Duration(i%9) * step} }, 0},
		"the last acknowledgement is long ago": {func(i int) sendState { return sendState{waiting: true, data: true, ackAge: time.Duration(i) * step} }, 10},
		"the window is closed":                 {func(int) sendState { return sendState{data: true} }, 0},
		"window probes are answered":           {func(i int) sendState { return sendState{waiting: i%9 > 0, data: true} }, 0},
		"a window probe is never answered":     {func(i int) sendState { return sendState{waiting: i >= 20, data: true} }, 30},
	} {
		t.Run(name, func(t *testing.T) {
			var w ackMonitor
			lost := 0
			for i, now := 0, time.Now(); i < 100 && lost == 0; i, now = i+1, now.Add(step) {
				if w.observe(tc.state(i), now) {
					lost = i
				}
			}
			NewWithT(t).Expect(lost).To(Equal(tc.lostAt))
		})
	}
}

func TestAnExchangeReportsThatNothingWasAcknowledged(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	p, cleanup := NewPool("", func() {})
	defer cleanup()
	c, err := p.Get(context.Background(), "e", l.Addr().String(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	r := &Request{Method: http.MethodGet, Target: "/", Host: "h"}
	x, err := c.Send(r, time.Now().Add(time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	c.longWrites.onLost()
	_, err = x.Head(r, nil)
	g.Expect(err).To(MatchError(errUnacked))
}
