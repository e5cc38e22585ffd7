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

func TestIdlePeriodUsableUntil(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, tc := range []struct {
		name       string
		advertised time.Duration
		timeouts   []idleSetting
		want       float64 // Seconds after the start of the idle period.
	}{
		{"four fifths of the idle timeout", 0, []idleSetting{{limit: 10 * time.Second}}, 8},
		{"the advertised timeout is shorter", 6 * time.Second, []idleSetting{{limit: 10 * time.Second}}, 6},
		{"the advertised timeout is longer", 9 * time.Second, []idleSetting{{limit: 10 * time.Second}}, 8},
		{"a shorter timeout was sent", 0, []idleSetting{{limit: 10 * time.Second}, {limit: time.Second}}, 8},
		{"a shorter timeout was acknowledged", 0, []idleSetting{{limit: 10 * time.Second, replaced: at(3)}, {limit: time.Second}}, 5},
		{"a shorter timeout is in effect for certain", 0, []idleSetting{{limit: 10 * time.Second, replaced: at(-3)}, {limit: time.Second}}, 0.8},
		{"a longer timeout was sent", 0, []idleSetting{{limit: time.Second}, {limit: 10 * time.Second}}, 8},
		{"a longer timeout was sent, but a shorter one advertised", time.Second, []idleSetting{{limit: time.Second}, {limit: 10 * time.Second}}, 1},
		{"the longest timeout is between two shorter ones", 0, []idleSetting{{limit: time.Second, replaced: at(0)}, {limit: 5 * time.Second, replaced: at(1)}, {limit: time.Second}}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := idlePeriod{since: start, advertised: tc.advertised}
			NewWithT(t).Expect(r.usableUntil(tc.timeouts)).To(Equal(at(tc.want)))
		})
	}
}

func TestRecordIdleSettingMergesRepeats(t *testing.T) {
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

func TestCheckIdleConn(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	ran := []standin.Run{{Endpoint: "east-1"}}
	for _, tc := range []struct {
		name           string
		late           bool
		status         int
		runs           []standin.Run
		killsAndPauses []span
		killedAt       float64 // When the process was killed; 0 for never.
		writtenAt      float64 // When the request was written; 0 for unknown.
		want           string  // "" for no violation.
	}{
		{name: "answered", status: http.StatusOK, runs: ran},
		{name: "refused", status: http.StatusServiceUnavailable},
		{name: "closed", want: "was closed with no answer ("},
		{name: "closed, but it ran", runs: ran, want: "was closed with no answer though it ran at east-1"},
		{name: "closed, sent late", late: true},
		{name: "closed, sent late, but it ran", late: true, runs: ran, want: "was closed with no answer though it ran at east-1"},
		{name: "closed, written in time", writtenAt: 3.01, want: "was closed with no answer ("},
		{name: "closed, written late", writtenAt: 3.011},
		{name: "closed, written late, but it ran", writtenAt: 3.011, runs: ran, want: "was closed with no answer though it ran at east-1"},
		{name: "closed by a kill in the idle period", killsAndPauses: []span{{at(1), at(1.5)}}},
		{name: "closed by a kill after the request was sent", runs: ran, killsAndPauses: []span{{at(3.1), at(4)}}},
		{name: "closed, its process killed before the idle period was recorded", killsAndPauses: []span{{at(-2), at(-1)}}, killedAt: -2},
		{name: "closed, a kill before the idle period", killsAndPauses: []span{{at(-2), at(-1)}}, want: "was closed with no answer ("},
		{name: "closed, a kill after the end of the request", killsAndPauses: []span{{at(3.5), at(4)}}, want: "was closed with no answer ("},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLedger()
			l.killsAndPauses[2] = tc.killsAndPauses
			var conn *trackedConn
			if tc.killedAt != 0 {
				l.processes[2] = []*incarnation{{startAt: at(-4), killAt: at(tc.killedAt), endAt: at(tc.killedAt), signal: syscall.SIGKILL}}
				conn = &trackedConn{Conn: unusedConn{}, dialed: span{at(-3), at(-3)}, err: io.EOF, errAt: at(3.1)}
			}
			if tc.writtenAt != 0 {
				conn = &trackedConn{Conn: unusedConn{}, dialed: span{at(-3), at(-3)}, lastWriteAt: at(tc.writtenAt)}
			}
			l.addRequest(&request{id: "2-r1-1", conn: conn, gateway: 2, status: tc.status, runs: tc.runs, sent: at(3), ended: at(3.2), answer: answer{complete: tc.status != 0},
				idle: &idlePeriod{since: start, sendUntil: at(3.01), late: tc.late, err: io.ErrUnexpectedEOF}})
			found := l.violations(false)
			if tc.want == "" {
				g.Expect(found).To(BeEmpty())
				return
			}
			g.Expect(found).To(ConsistOf(ContainSubstring(tc.want)))
		})
	}
}

func TestAdvertisedIdle(t *testing.T) {
	for value, want := range map[string]time.Duration{"": 0, "timeout=6": 6 * time.Second, "max=5, timeout=2": 2 * time.Second, "timeout=x": 0} {
		t.Run(value, func(t *testing.T) {
			NewWithT(t).Expect(advertisedIdle(http.Header{"Keep-Alive": {value}})).To(Equal(want))
		})
	}
}
