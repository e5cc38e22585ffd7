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

// TestConnEndIsExplainedByFaultsOnItsPath checks the outcomes and violations of requests that were
// sent 3 s after the start of their gateway's first process, and whose connections ended 0.2 s later
// unless a case says otherwise.
func TestConnEndIsExplainedByFaultsOnItsPath(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	killedProcess := func(kill, over float64, by syscall.Signal) *incarnation {
		return &incarnation{name: "gateway-2", pid: 1, startAt: start, connectedAt: at(1), killAt: at(kill), endAt: at(over), signal: by}
	}
	running := &incarnation{name: "gateway-2", pid: 2, startAt: start, connectedAt: at(1)}
	stopping := &incarnation{name: "gateway-2", pid: 3, startAt: start, connectedAt: at(1), termAt: at(2), endAt: at(3.3)}
	suspended := &incarnation{name: "gateway-2", pid: 5, startAt: at(-10), connectedAt: at(-9), termAt: at(-3), endAt: at(3.3)}
	restarted := &incarnation{name: "gateway-2", pid: 4, startAt: at(2.5), connectedAt: at(2.6)}
	ran := []standin.Run{{Endpoint: "east-1", At: at(3.1), ID: "2-1-1"}}
	truncated := []standin.Run{{Endpoint: "east-1", At: at(3.1), ID: "2-1-1", Behaviour: standin.Truncates}}
	for _, tc := range []struct {
		name           string
		processes      []*incarnation
		dialedAt       float64 // 0 for no connection.
		connEndAt      float64 // When the connection ended; 0 for 0.2 s after the request was sent.
		timeoutAt      float64 // When the caller timed out on an open connection; 0 for never.
		status         int
		complete       bool
		late           bool
		runs           []standin.Run
		endpointExitAt float64 // When the endpoint ended; 0 for never.
		linkFaultAt    float64 // When the endpoint's link was disrupted; 0 for never.
		paused         bool
		writtenAt      float64 // When the request was written; 0 for unknown.
		pausedAt       float64 // When the process was suspended for 0.5 s before the request; 0 for never.
		refusedAt      float64 // When the connection was refused; 0 for never.
		want           outcome
		violation      string // "" for none.
	}{
		{name: "answered", processes: []*incarnation{running}, dialedAt: 2, status: http.StatusOK, complete: true, want: outcomeAnswered},
		{name: "refused", processes: []*incarnation{running}, dialedAt: 2, status: http.StatusServiceUnavailable, complete: true, want: outcomeRefused},
		{name: "failed", processes: []*incarnation{running}, dialedAt: 2, status: http.StatusBadGateway, complete: true, want: outcomeFailed},
		{name: "cut by the kill of its process", processes: []*incarnation{killedProcess(3.1, 3.15, syscall.SIGKILL)}, dialedAt: 2, want: outcomeCutByKill},
		{name: "cut by the kill of its process, whose end was not observed yet", processes: []*incarnation{killedProcess(3.1, 3.5, syscall.SIGKILL)}, dialedAt: 2, runs: ran, want: outcomeCutByKill},
		{name: "cut just before a kill", processes: []*incarnation{killedProcess(3.201, 3.25, syscall.SIGKILL)}, dialedAt: 2, want: outcomeCut, violation: "SIGKILL at"},
		{name: "killed by somebody else", processes: []*incarnation{{name: "gateway-2", startAt: start, endAt: at(3.1), signal: syscall.SIGKILL}}, dialedAt: 2, want: outcomeCut, violation: "cut, no answer"},
		{name: "killed after it had ended by itself", processes: []*incarnation{killedProcess(3.1, 3.15, 0)}, dialedAt: 2, want: outcomeCut, violation: "cut, no answer"},
		{name: "the previous process was killed", processes: []*incarnation{killedProcess(2.1, 2.2, syscall.SIGKILL), restarted}, dialedAt: 2.7, want: outcomeCut, violation: "pid 4, alive"},
		{name: "cut at a running process", processes: []*incarnation{running}, dialedAt: 2, want: outcomeCut, violation: "200ms after it was sent, 300ms after a change"},
		{name: "cut while its process was suspended", processes: []*incarnation{running}, dialedAt: 2, paused: true, want: outcomeCut, violation: "cut, no answer"},
		{name: "cut in a planned stop", processes: []*incarnation{stopping}, dialedAt: 2, want: outcomeCut, violation: "SIGTERM at"},
		{name: "cut after a suspension in a planned stop", processes: []*incarnation{suspended}, dialedAt: 3, pausedAt: 0.5, want: outcomeCutAfterSuspension},
		{name: "cut after a suspension in a planned stop, on an earlier connection", processes: []*incarnation{suspended}, dialedAt: 2, pausedAt: 0.5, want: outcomeCut, violation: "SIGTERM at"},
		{name: "cut after a suspension in a planned stop, but it ran", processes: []*incarnation{suspended}, dialedAt: 3, pausedAt: 0.5, runs: ran, want: outcomeCut, violation: "SIGTERM at"},
		{name: "cut on a new connection in a planned stop, written late", processes: []*incarnation{stopping}, dialedAt: 1.1, writtenAt: 3.15, want: outcomeCutSentLate},
		{name: "cut on a new connection in a planned stop, written in time", processes: []*incarnation{stopping}, dialedAt: 1.2, writtenAt: 3.15, want: outcomeCut, violation: "SIGTERM at"},
		{name: "cut on a new connection in a planned stop, written late, but it ran", processes: []*incarnation{stopping}, dialedAt: 1.1, writtenAt: 3.15, runs: ran, want: outcomeCut, violation: "SIGTERM at"},
		{name: "cut on a new connection, written late", processes: []*incarnation{running}, dialedAt: 1, writtenAt: 3.15, want: outcomeCut, violation: "cut, no answer"},
		{name: "cut late in a planned stop without a suspension", processes: []*incarnation{suspended}, dialedAt: 3, want: outcomeCut, violation: "SIGTERM at"},
		{name: "cut late in a planned stop, suspended before it", processes: []*incarnation{suspended}, dialedAt: 3, pausedAt: -5, want: outcomeCut, violation: "SIGTERM at"},
		{name: "aborted in a planned stop", processes: []*incarnation{stopping}, dialedAt: 2, status: http.StatusOK, runs: ran, want: outcomeAborted, violation: "broken off"},
		{name: "aborted by a kill", processes: []*incarnation{killedProcess(3.1, 3.15, syscall.SIGKILL)}, dialedAt: 2, status: http.StatusOK, runs: ran, want: outcomeAbortedByKill},
		{name: "aborted by an endpoint", processes: []*incarnation{running}, dialedAt: 2, status: http.StatusOK, runs: truncated, want: outcomeAbortedByEndpoint},
		{name: "aborted when its endpoint ended", processes: []*incarnation{running}, dialedAt: 2, status: http.StatusOK, runs: ran, endpointExitAt: 3.15, want: outcomeAbortedByEndpoint},
		{name: "aborted before its endpoint ended", processes: []*incarnation{running}, dialedAt: 2, status: http.StatusOK, runs: ran, endpointExitAt: 3.25, want: outcomeAborted, violation: "broken off"},
		{name: "aborted by the fault of its link", processes: []*incarnation{running}, dialedAt: 2, status: http.StatusOK, runs: ran, linkFaultAt: 3.15, want: outcomeAbortedByEndpoint},
		{name: "aborted at its timeout", processes: []*incarnation{running}, dialedAt: 2, connEndAt: 6, status: http.StatusOK, runs: ran, want: outcomeAbortedAtTimeout},
		{name: "aborted just before its timeout", processes: []*incarnation{running}, dialedAt: 2, connEndAt: 5.99, status: http.StatusOK, runs: ran, want: outcomeAborted, violation: "broken off"},
		{name: "cut at its timeout", processes: []*incarnation{running}, dialedAt: 2, connEndAt: 6, runs: ran, want: outcomeCut, violation: "cut, no answer"},
		{name: "cut when its endpoint ended", processes: []*incarnation{running}, dialedAt: 2, runs: ran, endpointExitAt: 3.15, want: outcomeCut, violation: "cut, no answer"},
		{name: "sent late", processes: []*incarnation{running}, dialedAt: 2, late: true, want: outcomeCutSentLate},
		{name: "sent late, but it ran", processes: []*incarnation{running}, dialedAt: 2, late: true, runs: ran, want: outcomeCut, violation: "cut, no answer"},
		{name: "timed out", processes: []*incarnation{running}, dialedAt: 2, timeoutAt: 6, want: outcomeTimeout},
		{name: "timed out while its process was suspended", processes: []*incarnation{running}, dialedAt: 2, timeoutAt: 6, paused: true, want: outcomeTimeoutPaused},
		{name: "in flight when the run ended", processes: []*incarnation{running}, dialedAt: 2, timeoutAt: 5, paused: true, want: outcomeRunEnded},
		{name: "no connection to a process that has ended", processes: []*incarnation{killedProcess(2.1, 2.2, syscall.SIGKILL)}, refusedAt: 3, want: outcomeNotConnected},
		{name: "no connection to a process in its planned stop", processes: []*incarnation{stopping}, refusedAt: 3, want: outcomeNotConnected},
		{name: "no connection to a running process", processes: []*incarnation{running}, refusedAt: 3, want: outcomeNotConnected, violation: "told nothing"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLedger()
			l.processes[2], l.versionsSent = tc.processes, []time.Time{at(1), at(2.9), at(4)}
			r := &request{id: "2-1-1", gateway: 2, status: tc.status, runs: tc.runs, sent: at(3), ended: at(3.3), answer: answer{complete: tc.complete}}
			if tc.late {
				r.idle = &idlePeriod{since: at(1), late: true}
			}
			if tc.dialedAt > 0 {
				r.conn = &trackedConn{Conn: unusedConn{}, dialed: span{at(tc.dialedAt), at(tc.dialedAt)}}
				r.conn.err, r.conn.errAt = io.EOF, at(cmp.Or(tc.connEndAt, 3.2))
				if tc.writtenAt > 0 {
					r.conn.lastWriteAt = at(tc.writtenAt)
				}
				if tc.timeoutAt > 0 {
					r.conn.err, r.ended = nil, at(tc.timeoutAt)
				}
			}
			if tc.refusedAt > 0 {
				r.refusedDial = span{at(tc.refusedAt), at(tc.refusedAt + 0.001)}
			}
			if tc.endpointExitAt > 0 {
				l.endpointExits["east-1"] = []time.Time{at(tc.endpointExitAt)}
			}
			if tc.linkFaultAt > 0 {
				l.linkFaults[gatewayLink{2, "east-1"}] = []span{{at(tc.linkFaultAt), at(5)}}
			}
			if tc.paused {
				l.killsAndPauses[2] = []span{{at(3.1), at(4)}}
			}
			if tc.pausedAt != 0 {
				l.killsAndPauses[2] = []span{{at(tc.pausedAt), at(tc.pausedAt + 0.5)}}
			}
			l.addRequest(r)
			g.Expect(outcomeNames[l.outcomeOf(r)]).To(Equal(outcomeNames[tc.want]))
			var found []string
			l.checkConnEnd(r, func(_ *request, format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) })
			if tc.violation == "" {
				g.Expect(found).To(BeEmpty())
				return
			}
			g.Expect(found).To(ConsistOf(ContainSubstring(tc.violation)))
		})
	}
}

// Guards against blaming a process that is still starting for refusing connections, because the
// connection to the process before it took long.
func TestAConnectionThatOverlapsTwoProcessesIsOfNeither(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	before, after := &incarnation{endAt: start.Add(time.Second)}, &incarnation{startAt: start.Add(2 * time.Second)}
	l := newLedger()
	l.processes[2] = []*incarnation{before, after}
	for _, dialed := range []span{{start.Add(time.Second / 2), start.Add(3 * time.Second)}, {start.Add(3 * time.Second), start.Add(4 * time.Second)}} {
		g.Expect(after.connectedAt).To(BeZero())
		l.recordConn(&request{gateway: 2}, &trackedConn{Conn: unusedConn{}, dialed: dialed})
	}
	g.Expect(before.connectedAt).To(BeZero())
	g.Expect(after.connectedAt).To(Equal(start.Add(4 * time.Second)))
}

// unusedConn is a connection on which nothing is read or written.
type unusedConn struct{ net.Conn }

func (unusedConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

func TestProcessEndIsExplainedBySignals(t *testing.T) {
	now, failed := time.Now(), errors.New("exit status 2")
	for _, tc := range []struct {
		name    string
		process incarnation
		want    bool
	}{
		{"a kill", incarnation{killAt: now, err: failed, signal: syscall.SIGKILL}, true},
		{"a kill in a planned stop", incarnation{termAt: now, killAt: now, err: failed, signal: syscall.SIGKILL}, true},
		{"a planned stop", incarnation{termAt: now, connectedAt: now}, true},
		{"a planned stop that was over before its kill", incarnation{termAt: now, killAt: now, connectedAt: now}, true},
		{"SIGTERM before signals are caught", incarnation{termAt: now, err: failed, signal: syscall.SIGTERM}, true},
		{"SIGTERM after signals were caught", incarnation{termAt: now, connectedAt: now, err: failed, signal: syscall.SIGTERM}, false},
		{"a failure in a planned stop", incarnation{termAt: now, connectedAt: now, err: failed}, false},
		{"a failure just before a kill", incarnation{killAt: now, connectedAt: now, err: failed}, false},
		{"an exit by itself", incarnation{connectedAt: now}, false},
		{"an exit by itself just before a kill", incarnation{killAt: now, connectedAt: now}, false},
		{"a kill by somebody else", incarnation{err: failed, signal: syscall.SIGKILL}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { NewWithT(t).Expect(tc.process.explained()).To(Equal(tc.want)) })
	}
}

func TestCountCloses(t *testing.T) {
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

// Guards against explaining the end of a process by the last line of the process before it.
func TestLastLineIsOfTheProcessItself(t *testing.T) {
	g := NewWithT(t)
	const before, own = "earlier\nstop\n", "start\nfailed\n"
	file := filepath.Join(t.TempDir(), "gateway-0.log")
	g.Expect(os.WriteFile(file, []byte(before), fileMode)).To(Succeed())
	g.Expect(lastLine(file, int64(len(before)))).To(Equal("no line in its log"))
	g.Expect(os.WriteFile(file, []byte(before+own), fileMode)).To(Succeed())
	g.Expect(lastLine(file, int64(len(before)))).To(Equal("failed"))
	g.Expect(lastLine(file, 0)).To(Equal("failed"))
}
