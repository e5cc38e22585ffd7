// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// outcome is how a request ended from the caller's view.
type outcome int

// The outcomes. The last two, without an explanation, are violations.
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
	outcomeCutAfterSuspension
	outcomeAbortedByEndpoint
	outcomeAbortedAtTimeout
	outcomeCut
	outcomeAborted
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "refused", "failed", "no connection, none was taken", "given up by the caller, its gateway was suspended",
	"given up by the caller, its time was over", "under way as the run ended", "cut, no answer: its gateway's process was killed", "broken off: its gateway's process was killed",
	"cut, no answer: sent after its connection's time", "cut, no answer: its gateway was suspended in a planned stop and ended at once", "broken off: its endpoint ended, broke off or was cut off",
	"broken off: its time was over", "cut, no answer", "broken off"}

// outcomeOf returns how a request ended. The end of its connection is explained only by faults of
// the processes on the request's own path that came first: the signal was sent before the end was
// observed. The caller holds mu.
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
	case r.status == 0 && (r.idle != nil && r.idle.late || r.late() || r.writtenLate() || l.firstWrittenLate(r, at)) && len(r.runs) == 0:
		return outcomeCutSentLate
	case r.status == 0 && l.connectedAfterSuspension(r):
		return outcomeCutAfterSuspension
	case r.status == 0:
		return outcomeCut
	case r.answeredBadly() || slices.ContainsFunc(r.runs, func(run standin.Run) bool { return l.endpointDisrupted(run, r.gateway, at) }):
		return outcomeAbortedByEndpoint
	case at.Sub(r.sent) >= callerTimeout:
		return outcomeAbortedAtTimeout
	}
	return outcomeAborted
}

// late reports whether a request of a caller that does not keep its connection idle on purpose was
// sent so long after the last answer on the connection that the shortest idle timeout would not have
// allowed it.
func (r *request) late() bool {
	return r.idle == nil && r.idleTime > time.Duration(usableIdleShare*float64(slices.Min(idleTimeouts[:])))
}

// newConnTime is how long a gateway in a planned stop keeps a connection without a request at least.
const newConnTime = 2 * time.Second

// firstWrittenLate reports whether a request was the first one on a connection to a gateway in its
// planned stop, and was written more than newConnTime after its caller began to connect. The caller
// holds mu.
func (l *ledger) firstWrittenLate(r *request, at time.Time) bool {
	list := l.incarnationsDuring(r.gateway, r.conn.dialed)
	inStop := len(list) == 1 && !list[0].termAt.IsZero() && list[0].termAt.Before(at)
	return inStop && r.idleTime == 0 && r.conn.lastWrite().Sub(r.conn.dialed.from) > newConnTime
}

// lastAcceptTime is how long after SIGTERM a gateway that is not suspended accepts connections: each
// can still carry a first request before the end of the grace period.
const lastAcceptTime = gracePeriod - 2500*time.Millisecond

// connectedAfterSuspension reports whether a request was the first one on a connection that was made
// after lastAcceptTime, to a gateway that had been suspended in its planned stop: it resumed when it
// should have closed its listener already. The caller holds mu.
func (l *ledger) connectedAfterSuspension(r *request) bool {
	list := l.incarnationsDuring(r.gateway, r.conn.dialed)
	if len(list) != 1 || list[0].termAt.IsZero() || r.idleTime > 0 || len(r.runs) > 0 {
		return false
	}
	return r.conn.dialed.to.Sub(list[0].termAt) > lastAcceptTime && l.killedOrPaused(r.gateway, list[0].termAt, r.conn.dialed.to)
}

// endpointDisrupted reports whether, after a run began and before a given time, its endpoint ended
// or the link between endpoint and gateway was disrupted. The caller holds mu.
func (l *ledger) endpointDisrupted(run standin.Run, gateway int, before time.Time) bool {
	return slices.ContainsFunc(l.endpointExits[run.Endpoint], func(at time.Time) bool { return at.After(run.At) && at.Before(before) }) ||
		slices.ContainsFunc(l.linkFaults[gatewayLink{gateway, run.Endpoint}], func(s span) bool { return s.from.Before(before) && s.to.After(run.At) })
}

// gatewayLink identifies the link from a gateway to an endpoint.
type gatewayLink struct {
	gateway  int
	endpoint string
}

// recordEndpointExit records that an endpoint's process is about to end.
func (l *ledger) recordEndpointExit(name string) {
	l.do(func(l *ledger) { l.endpointExits[name] = append(l.endpointExits[name], time.Now()) })
}

// checkConnEnd checks that a connection ended during a request only because of what the soak did to
// the processes on its path. The caller holds mu.
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
	l.unexplained = append(l.unexplained, r)
	report(r, "%s at %s, %v after it was sent, %s, status %d, %d runs, from %s over %s, connected from %s to %s, written at %s, rested %v, the soak stood still for up to %v: %v; process of its connection: %v", outcomeNames[result],
		at.Format(timeFormat), at.Sub(r.sent).Round(time.Microsecond), change, r.status, len(r.runs), r.conn.LocalAddr(), r.mode,
		r.conn.dialed.from.Format(timeFormat), r.conn.dialed.to.Format(timeFormat), r.conn.lastWrite().Format(timeFormat), r.idleTime.Round(time.Millisecond),
		l.longestStall(span{r.sent, at}).Round(time.Millisecond), err, l.incarnationsDuring(r.gateway, r.conn.dialed))
}

// countOutcomes counts the requests by outcome, and lists those whose callers timed out at a gateway
// that was not suspended during the request: it should have answered earlier.
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

// countKilledGateways counts the gateway processes that were killed.
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

// closedByGateways counts the closed connections of callers in the gateways' logs by cause.
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
	return eachLine(file, func(raw []byte) {
		var line struct {
			Msg, Cause string
			Crossed    bool
		}
		if json.Unmarshal(raw, &line) != nil || line.Msg != "connection closed" {
			return // A killed process may leave an incomplete line.
		}
		if line.Crossed {
			line.Cause += ", crossed"
		}
		byCause[line.Cause]++
	})
}

// Outcomes counts how the requests of a run ended, and why gateways closed connections.
type Outcomes struct {
	byOutcome     [outcomeCount]int
	closedByCause map[string]int
}

// String lists all counts of requests that were cut, including zeros, and the other counts above
// zero.
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
