// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// outcome is how a request ended for its caller.
type outcome int

// The endings, those that nothing explains last.
const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeFailed
	outcomeNotConnected
	outcomeTimeoutPaused
	outcomeTimeout
	outcomeRunEnded
	outcomeCutByKill
	outcomeAbortedByKill
	outcomeCutSentLate
	outcomeAbortedByEndpoint
	outcomeAbortedAtTimeout
	outcomeCut
	outcomeAborted
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "refused", "failed", "no connection, none was taken", "given up by the caller, its gateway was suspended",
	"given up by the caller, its time was over", "under way as the run ended", "cut, no answer: its gateway's process was killed", "broken off: its gateway's process was killed",
	"cut, no answer: sent after its connection's time", "broken off: its endpoint ended, broke off or was cut off",
	"broken off: its time was over", "cut, no answer", "broken off"}

// outcomeOf returns how a request ended. A connection that ended under it is explained by what
// struck the processes of its own path, by the order of events: the signal was sent before the
// end was seen. The caller holds mu.
func (l *ledger) outcomeOf(r *request) outcome {
	switch {
	case r.answer.complete && r.status == http.StatusOK:
		return outcomeAnswered
	case r.answer.complete && slices.Contains(notRunStatuses, r.status):
		return outcomeRefused
	case r.answer.complete:
		return outcomeFailed
	case r.conn == nil:
		return outcomeNotConnected
	}
	at, err := r.conn.ended()
	if err == nil {
		switch {
		case r.ended.Sub(r.sent) < callerTimeout:
			return outcomeRunEnded
		case l.killedOrPaused(r.gateway, r.sent, r.ended):
			return outcomeTimeoutPaused
		}
		return outcomeTimeout
	}
	killed := slices.ContainsFunc(l.incarnationsDuring(r.gateway, r.conn.dialed), func(one *incarnation) bool { return one.killed() && !at.Before(one.killAt) })
	switch {
	case r.status == 0 && killed:
		return outcomeCutByKill
	case killed:
		return outcomeAbortedByKill
	case r.status == 0 && (r.idle != nil && r.idle.late || r.late()) && len(r.runs) == 0:
		return outcomeCutSentLate
	case r.status == 0:
		return outcomeCut
	case r.answeredBadly() || slices.ContainsFunc(r.runs, func(run standin.Run) bool { return l.endpointDisrupted(run, r.gateway, at) }):
		return outcomeAbortedByEndpoint
	case at.Sub(r.sent) >= callerTimeout:
		return outcomeAbortedAtTimeout
	}
	return outcomeAborted
}

// late reports whether a request that did not rest on purpose was sent so late after the last
// answer on its connection that the shortest idle time would not have allowed it.
func (r *request) late() bool {
	return r.idle == nil && r.idleTime > time.Duration(usableIdleShare*float64(slices.Min(idleTimeouts[:])))
}

// endpointDisrupted reports whether a run's endpoint ended, or its link to the gateway was spoiled, after the
// run had begun and before a time. The caller holds mu.
func (l *ledger) endpointDisrupted(run standin.Run, gateway int, before time.Time) bool {
	return slices.ContainsFunc(l.endpointExits[run.Endpoint], func(at time.Time) bool { return at.After(run.At) && at.Before(before) }) ||
		slices.ContainsFunc(l.linkFaults[gatewayLink{gateway, run.Endpoint}], func(s span) bool { return s.from.Before(before) && s.to.After(run.At) })
}

// gatewayLink is the way from a gateway to an endpoint.
type gatewayLink struct {
	gateway  int
	endpoint string
}

// recordEndpointExit notes that an endpoint's process is about to end.
func (l *ledger) recordEndpointExit(name string) {
	l.do(func(l *ledger) { l.endpointExits[name] = append(l.endpointExits[name], time.Now()) })
}

// checkConnEnd checks that a connection ended under a request only by what the soak did to the
// processes of its path. The caller holds mu.
func (l *ledger) checkConnEnd(r *request, report func(*request, string, ...any)) {
	l.checkRefused(r, report)
	result := l.outcomeOf(r)
	if result != outcomeCut && result != outcomeAborted {
		return
	}
	at, err := r.conn.ended()
	change := "no change before"
	if i := slices.IndexFunc(l.versionsSent, func(c time.Time) bool { return c.After(at) }); i != 0 && len(l.versionsSent) > 0 {
		if i < 0 {
			i = len(l.versionsSent)
		}
		change = fmt.Sprintf("%v after a change", at.Sub(l.versionsSent[i-1]).Round(time.Microsecond))
	}
	report(r, "%s at %s, %v after it was sent, %s, status %d, %d runs, from %s over %s, connected %v before, rested %v: %v; process of its connection: %v", outcomeNames[result],
		at.Format(timeFormat), at.Sub(r.sent).Round(time.Microsecond), change, r.status, len(r.runs), r.conn.LocalAddr(), r.mode,
		r.sent.Sub(r.conn.dialed.to).Round(time.Millisecond), r.idleTime.Round(time.Millisecond), err,
		l.incarnationsDuring(r.gateway, r.conn.dialed))
}

// countOutcomes counts how requests ended, and lists those that their callers gave up at a gateway that
// was never suspended: it should have had an answer before.
func (l *ledger) countOutcomes() (counts [outcomeCount]int, timedOut []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		end := l.outcomeOf(r)
		counts[end]++
		if end == outcomeTimeout {
			timedOut = append(timedOut, fmt.Sprintf("request %s at gateway %d, sent %s, status %d, ran at %d endpoints, spoiled %v", r.id, r.gateway, r.sent.Format(timeFormat), r.status, len(r.runs), r.answeredBadly()))
		}
	}
	return counts, timedOut
}

// countKilledGateways counts the processes of gateways that were killed.
func (l *ledger) countKilledGateways() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for gateway, incarnations := range l.processes {
		for _, one := range incarnations {
			if gateway >= 0 && one.killed() {
				n++
			}
		}
	}
	return n
}

// closedByGateways counts the connections of callers that the gateways' logs tell of, by cause.
func (s *site) closedByGateways() (byCause map[string]int, err error) {
	byCause = map[string]int{}
	for i := range s.gateways {
		if err := countCloses(filepath.Join(s.dir, fmt.Sprintf("gateway-%d.log", i)), byCause); err != nil {
			return nil, err
		}
	}
	return byCause, nil
}

func countCloses(file string, byCause map[string]int) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // It is only read.
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Msg, Cause string
			Crossed    bool
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Msg != "connection closed" {
			continue // A killed process may leave half a line.
		}
		if line.Crossed {
			line.Cause += ", crossed"
		}
		byCause[line.Cause]++
	}
	return lines.Err()
}

// Outcomes is how the requests of a run ended, and why gateways closed connections.
type Outcomes struct {
	byOutcome     [outcomeCount]int
	closedByCause map[string]int
}

// String lists all counts of requests that were cut, zeros among them, and the others that are there.
func (e Outcomes) String() string {
	var ended, closed []string
	for i, n := range e.byOutcome {
		if n > 0 || outcome(i) >= outcomeCutByKill {
			ended = append(ended, fmt.Sprintf("%d %s", n, outcomeNames[i]))
		}
	}
	for cause, n := range e.closedByCause {
		closed = append(closed, fmt.Sprintf("%d %s", n, cause))
	}
	slices.Sort(closed)
	return "how requests ended: " + strings.Join(ended, "; ") + "\nconnections closed by gateways: " + strings.Join(closed, "; ")
}
