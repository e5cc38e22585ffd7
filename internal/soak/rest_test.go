// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

func TestUntilWhenACallerMayUseItsConnection(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, tc := range []struct {
		name  string
		told  time.Duration
		idles []idleSetting
		want  float64 // Seconds after the start of the rest.
	}{
		{"four fifths of the idle time", 0, []idleSetting{{limit: 10 * time.Second}}, 8},
		{"what it was told is shorter", 6 * time.Second, []idleSetting{{limit: 10 * time.Second}}, 6},
		{"what it was told is longer", 9 * time.Second, []idleSetting{{limit: 10 * time.Second}}, 8},
		{"a shorter one was sent", 0, []idleSetting{{limit: 10 * time.Second}, {limit: time.Second}}, 8},
		{"a shorter one was acknowledged", 0, []idleSetting{{limit: 10 * time.Second, replaced: at(3)}, {limit: time.Second}}, 5},
		{"a shorter one is surely in force", 0, []idleSetting{{limit: 10 * time.Second, replaced: at(-3)}, {limit: time.Second}}, 0.8},
		{"a longer one was sent", 0, []idleSetting{{limit: time.Second}, {limit: 10 * time.Second}}, 8},
		{"a longer one, but it was told", time.Second, []idleSetting{{limit: time.Second}, {limit: 10 * time.Second}}, 1},
		{"the longest is between others", 0, []idleSetting{{limit: time.Second, replaced: at(0)}, {limit: 5 * time.Second, replaced: at(1)}, {limit: time.Second}}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := idlePeriod{since: start, advertised: tc.told}
			NewWithT(t).Expect(r.usableUntil(tc.idles)).To(Equal(at(tc.want)))
		})
	}
}

func TestPublishedIdleTimesAreNotedOnceEach(t *testing.T) {
	g := NewWithT(t)
	l := newLedger()
	for _, limit := range []time.Duration{0, defaultIdleTimeout, time.Second, time.Second, 0} {
		l.recordIdleSetting(limit)()
	}
	var limits []time.Duration
	for i, one := range l.timeouts {
		limits = append(limits, one.limit)
		g.Expect(one.replaced.IsZero()).To(Equal(i == len(l.timeouts)-1))
	}
	g.Expect(limits).To(Equal([]time.Duration{defaultIdleTimeout, time.Second, defaultIdleTimeout}))
}

func TestWhatKeptConnectionsPromise(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	ran := []standin.Run{{Endpoint: "east-1"}}
	for _, tc := range []struct {
		name   string
		late   bool
		status int
		runs   []standin.Run
		breaks []span
		kill   float64 // When its process was killed; 0 for never.
		want   string  // "" for nothing broken.
	}{
		{name: "answered", status: http.StatusOK, runs: ran},
		{name: "refused", status: http.StatusServiceUnavailable},
		{name: "closed", want: "was closed with no answer ("},
		{name: "closed, and it ran", runs: ran, want: "was closed with no answer though it ran at east-1"},
		{name: "closed, sent late", late: true},
		{name: "closed, sent late, and it ran", late: true, runs: ran, want: "was closed with no answer though it ran at east-1"},
		{name: "closed by a kill in its rest", breaks: []span{{at(1), at(1.5)}}},
		{name: "closed by a kill after it was sent", runs: ran, breaks: []span{{at(3.1), at(4)}}},
		{name: "closed, its process killed before its rest was seen to begin", breaks: []span{{at(-2), at(-1)}}, kill: -2},
		{name: "closed, a kill before its rest", breaks: []span{{at(-2), at(-1)}}, want: "was closed with no answer ("},
		{name: "closed, a kill after its end", breaks: []span{{at(3.5), at(4)}}, want: "was closed with no answer ("},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLedger()
			l.killsAndPauses[2] = tc.breaks
			var conn *trackedConn
			if tc.kill != 0 {
				l.processes[2] = []*incarnation{{startAt: at(-4), killAt: at(tc.kill), endAt: at(tc.kill), signal: syscall.SIGKILL}}
				conn = &trackedConn{Conn: nowhere{}, dialed: span{at(-3), at(-3)}, err: io.EOF, errAt: at(3.1)}
			}
			l.addRequest(&request{id: "2-r1-1", conn: conn, gateway: 2, status: tc.status, runs: tc.runs, sent: at(3), ended: at(3.2), answer: answer{complete: tc.status != 0},
				idle: &idlePeriod{since: start, sendUntil: at(3.01), late: tc.late, err: io.ErrUnexpectedEOF}})
			broken := l.violations(false)
			if tc.want == "" {
				g.Expect(broken).To(BeEmpty())
				return
			}
			g.Expect(broken).To(ConsistOf(ContainSubstring(tc.want)))
		})
	}
}

func TestForHowLongAnAnswerLetsItsConnectionBeKept(t *testing.T) {
	for value, want := range map[string]time.Duration{"": 0, "timeout=6": 6 * time.Second, "max=5, timeout=2": 2 * time.Second, "timeout=x": 0} {
		t.Run(value, func(t *testing.T) {
			NewWithT(t).Expect(advertisedIdle(http.Header{"Keep-Alive": {value}})).To(Equal(want))
		})
	}
}
