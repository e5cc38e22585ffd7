// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// TestWhatExplainsTheEndOfAConnection has requests that were sent 3 s after the start of their
// gateway's first process, and whose connections ended 0.2 s later.
func TestWhatExplainsTheEndOfAConnection(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	one := func(kill, over float64, by syscall.Signal) *incarnation {
		return &incarnation{name: "gateway-2", pid: 1, startAt: start, connectedAt: at(1), killAt: at(kill), endAt: at(over), signal: by}
	}
	alive := &incarnation{name: "gateway-2", pid: 2, startAt: start, connectedAt: at(1)}
	stopped := &incarnation{name: "gateway-2", pid: 3, startAt: start, connectedAt: at(1), termAt: at(2), endAt: at(3.3)}
	next := &incarnation{name: "gateway-2", pid: 4, startAt: at(2.5), connectedAt: at(2.6)}
	ran := []standin.Run{{Endpoint: "east-1", At: at(3.1), ID: "2-1-1"}}
	spoiled := []standin.Run{{Endpoint: "east-1", At: at(3.1), ID: "2-1-1", Behaviour: standin.Truncates}}
	for _, tc := range []struct {
		name    string
		lives   []*incarnation
		dialed  float64 // 0 for no connection.
		cut     float64 // When its connection ended; 0 for 0.2 s after it was sent.
		open    float64 // When the caller gave up; 0 for not.
		status  int
		whole   bool
		late    bool
		runs    []standin.Run
		gone    float64 // When the endpoint ended; 0 for never.
		link    float64 // When its link was spoiled.
		paused  bool
		refused float64 // When the connection was refused.
		ends    outcome
		breach  string // "" for none.
	}{
		{name: "answered", lives: []*incarnation{alive}, dialed: 2, status: http.StatusOK, whole: true, ends: outcomeAnswered},
		{name: "refused", lives: []*incarnation{alive}, dialed: 2, status: http.StatusServiceUnavailable, whole: true, ends: outcomeRefused},
		{name: "failed", lives: []*incarnation{alive}, dialed: 2, status: http.StatusBadGateway, whole: true, ends: outcomeFailed},
		{name: "cut by its kill", lives: []*incarnation{one(3.1, 3.15, syscall.SIGKILL)}, dialed: 2, ends: outcomeCutByKill},
		{name: "cut by its kill, which was not seen yet", lives: []*incarnation{one(3.1, 3.5, syscall.SIGKILL)}, dialed: 2, runs: ran, ends: outcomeCutByKill},
		{name: "cut right before a kill", lives: []*incarnation{one(3.201, 3.25, syscall.SIGKILL)}, dialed: 2, ends: outcomeCut, breach: "SIGKILL at"},
		{name: "killed by somebody else", lives: []*incarnation{{name: "gateway-2", startAt: start, endAt: at(3.1), signal: syscall.SIGKILL}}, dialed: 2, ends: outcomeCut, breach: "cut, no answer"},
		{name: "killed as it had ended by itself", lives: []*incarnation{one(3.1, 3.15, 0)}, dialed: 2, ends: outcomeCut, breach: "cut, no answer"},
		{name: "the process before was killed", lives: []*incarnation{one(2.1, 2.2, syscall.SIGKILL), next}, dialed: 2.7, ends: outcomeCut, breach: "pid 4, alive"},
		{name: "cut at a process that lives", lives: []*incarnation{alive}, dialed: 2, ends: outcomeCut, breach: "200ms after it was sent, 300ms after a change"},
		{name: "cut while it was suspended", lives: []*incarnation{alive}, dialed: 2, paused: true, ends: outcomeCut, breach: "cut, no answer"},
		{name: "cut in a planned stop", lives: []*incarnation{stopped}, dialed: 2, ends: outcomeCut, breach: "SIGTERM at"},
		{name: "broken off in a planned stop", lives: []*incarnation{stopped}, dialed: 2, status: http.StatusOK, runs: ran, ends: outcomeAborted, breach: "broken off"},
		{name: "broken off by a kill", lives: []*incarnation{one(3.1, 3.15, syscall.SIGKILL)}, dialed: 2, status: http.StatusOK, runs: ran, ends: outcomeAbortedByKill},
		{name: "broken off by an endpoint", lives: []*incarnation{alive}, dialed: 2, status: http.StatusOK, runs: spoiled, ends: outcomeAbortedByEndpoint},
		{name: "broken off as its endpoint ended", lives: []*incarnation{alive}, dialed: 2, status: http.StatusOK, runs: ran, gone: 3.15, ends: outcomeAbortedByEndpoint},
		{name: "broken off before its endpoint ended", lives: []*incarnation{alive}, dialed: 2, status: http.StatusOK, runs: ran, gone: 3.25, ends: outcomeAborted, breach: "broken off"},
		{name: "broken off by its link", lives: []*incarnation{alive}, dialed: 2, status: http.StatusOK, runs: ran, link: 3.15, ends: outcomeAbortedByEndpoint},
		{name: "broken off as its time was over", lives: []*incarnation{alive}, dialed: 2, cut: 6, status: http.StatusOK, runs: ran, ends: outcomeAbortedAtTimeout},
		{name: "broken off right before", lives: []*incarnation{alive}, dialed: 2, cut: 5.99, status: http.StatusOK, runs: ran, ends: outcomeAborted, breach: "broken off"},
		{name: "cut as its time was over", lives: []*incarnation{alive}, dialed: 2, cut: 6, runs: ran, ends: outcomeCut, breach: "cut, no answer"},
		{name: "cut as its endpoint ended", lives: []*incarnation{alive}, dialed: 2, runs: ran, gone: 3.15, ends: outcomeCut, breach: "cut, no answer"},
		{name: "sent late", lives: []*incarnation{alive}, dialed: 2, late: true, ends: outcomeCutSentLate},
		{name: "sent late, and it ran", lives: []*incarnation{alive}, dialed: 2, late: true, runs: ran, ends: outcomeCut, breach: "cut, no answer"},
		{name: "given up", lives: []*incarnation{alive}, dialed: 2, open: 6, ends: outcomeTimeout},
		{name: "given up while it was suspended", lives: []*incarnation{alive}, dialed: 2, open: 6, paused: true, ends: outcomeTimeoutPaused},
		{name: "under way as the run ended", lives: []*incarnation{alive}, dialed: 2, open: 5, paused: true, ends: outcomeRunEnded},
		{name: "no connection to a process that has ended", lives: []*incarnation{one(2.1, 2.2, syscall.SIGKILL)}, refused: 3, ends: outcomeNotConnected},
		{name: "no connection to a process in its planned stop", lives: []*incarnation{stopped}, refused: 3, ends: outcomeNotConnected},
		{name: "no connection to a process that lives", lives: []*incarnation{alive}, refused: 3, ends: outcomeNotConnected, breach: "told nothing"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLedger()
			l.processes[2], l.versionsSent = tc.lives, []time.Time{at(1), at(2.9), at(4)}
			r := &request{id: "2-1-1", gateway: 2, status: tc.status, runs: tc.runs, sent: at(3), ended: at(3.3), answer: answer{complete: tc.whole}}
			if tc.late {
				r.idle = &idlePeriod{since: at(1), late: true}
			}
			if tc.dialed > 0 {
				r.conn = &trackedConn{Conn: nowhere{}, dialed: span{at(tc.dialed), at(tc.dialed)}}
				r.conn.err, r.conn.errAt = io.EOF, at(cmp.Or(tc.cut, 3.2))
				if tc.open > 0 {
					r.conn.err, r.ended = nil, at(tc.open)
				}
			}
			if tc.refused > 0 {
				r.refusedDial = span{at(tc.refused), at(tc.refused + 0.001)}
			}
			if tc.gone > 0 {
				l.endpointExits["east-1"] = []time.Time{at(tc.gone)}
			}
			if tc.link > 0 {
				l.linkFaults[gatewayLink{2, "east-1"}] = []span{{at(tc.link), at(5)}}
			}
			if tc.paused {
				l.killsAndPauses[2] = []span{{at(3.1), at(4)}}
			}
			l.addRequest(r)
			g.Expect(outcomeNames[l.outcomeOf(r)]).To(Equal(outcomeNames[tc.ends]))
			var broken []string
			l.checkConnEnd(r, func(_ *request, format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) })
			if tc.breach == "" {
				g.Expect(broken).To(BeEmpty())
				return
			}
			g.Expect(broken).To(ConsistOf(ContainSubstring(tc.breach)))
		})
	}
}

// nowhere is a connection that is not used.
type nowhere struct{ net.Conn }

func (nowhere) LocalAddr() net.Addr { return &net.TCPAddr{} }

func TestWhichEndsOfAProcessItsSignalsExplain(t *testing.T) {
	now, failed := time.Now(), errors.New("exit status 2")
	for _, tc := range []struct {
		name string
		life incarnation
		want bool
	}{
		{"a kill", incarnation{killAt: now, err: failed, signal: syscall.SIGKILL}, true},
		{"a kill in a planned stop", incarnation{termAt: now, killAt: now, err: failed, signal: syscall.SIGKILL}, true},
		{"a planned stop", incarnation{termAt: now, connectedAt: now}, true},
		{"a planned stop that was over before its kill", incarnation{termAt: now, killAt: now, connectedAt: now}, true},
		{"SIGTERM before signals are caught", incarnation{termAt: now, err: failed, signal: syscall.SIGTERM}, true},
		{"SIGTERM that is not caught any more", incarnation{termAt: now, connectedAt: now, err: failed, signal: syscall.SIGTERM}, false},
		{"a fault in a planned stop", incarnation{termAt: now, connectedAt: now, err: failed}, false},
		{"a fault right before a kill", incarnation{killAt: now, connectedAt: now, err: failed}, false},
		{"an end of its own", incarnation{connectedAt: now}, false},
		{"an end of its own right before a kill", incarnation{killAt: now, connectedAt: now}, false},
		{"a kill by somebody else", incarnation{err: failed, signal: syscall.SIGKILL}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { NewWithT(t).Expect(tc.life.explained()).To(Equal(tc.want)) })
	}
}

func TestClosesAreReadFromLogs(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "gateway-0.log")
	const log = `{"msg":"connection closed","cause":"idle","crossed":false}
{"msg":"request","id":"1"}
{"msg":"connection closed","cause":"idle","crossed":false}
{"msg":"connection closed","cause":"idle","crossed":true}
{"msg":"connection closed","cause":"st`
	g.Expect(os.WriteFile(file, []byte(log), fileMode)).To(Succeed())
	byCause := map[string]int{}
	g.Expect(countCloses(file, byCause)).To(Succeed())
	g.Expect(byCause).To(Equal(map[string]int{"idle": 2, "idle, crossed": 1}))
}
