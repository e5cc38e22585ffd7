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

// ending is how a request ended for its caller.
type ending int

// The endings, those that nothing explains last.
const (
	endAnswered ending = iota
	endRefused
	endFailed
	endUnconnected
	endGivenUpPaused
	endGivenUp
	endRunOver
	endCutKilled
	endBrokenKilled
	endCutLate
	endBrokenEndpoint
	endBrokenOver
	endCut
	endBroken
	endings
)

var endingNames = [endings]string{"answered", "refused", "failed", "no connection, none was taken", "given up by the caller, its gateway was suspended",
	"given up by the caller, its time was over", "under way as the run ended", "cut, no answer: its gateway's process was killed", "broken off: its gateway's process was killed",
	"cut, no answer: sent after its connection's time", "broken off: its endpoint ended, broke off or was cut off",
	"broken off: its time was over", "cut, no answer", "broken off"}

// endOf returns how a request ended. A connection that ended under it is explained by what
// struck the processes of its own path, by the order of events: the signal was sent before the
// end was seen. The caller holds mu.
func (l *ledger) endOf(r *request) ending {
	switch {
	case r.answer.whole && r.status == http.StatusOK:
		return endAnswered
	case r.answer.whole && slices.Contains(promisesNotRun, r.status):
		return endRefused
	case r.answer.whole:
		return endFailed
	case r.conn == nil:
		return endUnconnected
	}
	at, err := r.conn.ended()
	if err == nil {
		switch {
		case r.ended.Sub(r.sent) < patience:
			return endRunOver
		case l.broken(r.gateway, r.sent, r.ended):
			return endGivenUpPaused
		}
		return endGivenUp
	}
	killed := slices.ContainsFunc(l.lived(r.gateway, r.conn.dialed), func(one *life) bool { return one.killed() && !at.Before(one.kill) })
	switch {
	case r.status == 0 && killed:
		return endCutKilled
	case killed:
		return endBrokenKilled
	case r.status == 0 && (r.rest != nil && r.rest.late || r.late()) && len(r.runs) == 0:
		return endCutLate
	case r.status == 0:
		return endCut
	case r.spoiled() || slices.ContainsFunc(r.runs, func(run standin.Run) bool { return l.struck(run, r.gateway, at) }):
		return endBrokenEndpoint
	case at.Sub(r.sent) >= patience:
		return endBrokenOver
	}
	return endBroken
}

// late reports whether a request that did not rest on purpose was sent so late after the last
// answer on its connection that the shortest idle time would not have allowed it.
func (r *request) late() bool {
	return r.rest == nil && r.rested > time.Duration(restShare*float64(slices.Min(idleTimes[:])))
}

// struck reports whether a run's endpoint ended, or its link to the gateway was spoiled, after the
// run had begun and before a time. The caller holds mu.
func (l *ledger) struck(run standin.Run, gateway int, before time.Time) bool {
	return slices.ContainsFunc(l.gone[run.Endpoint], func(at time.Time) bool { return at.After(run.At) && at.Before(before) }) ||
		slices.ContainsFunc(l.links[link{gateway, run.Endpoint}], func(s span) bool { return s.from.Before(before) && s.to.After(run.At) })
}

// link is the way from a gateway to an endpoint.
type link struct {
	gateway  int
	endpoint string
}

// endpointEnds notes that an endpoint's process is about to end.
func (l *ledger) endpointEnds(name string) {
	l.note(func(l *ledger) { l.gone[name] = append(l.gone[name], time.Now()) })
}

// judgeEnd checks that a connection ended under a request only by what the soak did to the
// processes of its path. The caller holds mu.
func (l *ledger) judgeEnd(r *request, say func(*request, string, ...any)) {
	l.judgeRefused(r, say)
	end := l.endOf(r)
	if end != endCut && end != endBroken {
		return
	}
	at, err := r.conn.ended()
	change := "no change before"
	if i := slices.IndexFunc(l.changes, func(c time.Time) bool { return c.After(at) }); i != 0 && len(l.changes) > 0 {
		if i < 0 {
			i = len(l.changes)
		}
		change = fmt.Sprintf("%v after a change", at.Sub(l.changes[i-1]).Round(time.Microsecond))
	}
	say(r, "%s at %s, %v after it was sent, %s, status %d, %d runs, from %s over %s, connected %v before, rested %v: %v; process of its connection: %v", endingNames[end],
		at.Format(clock), at.Sub(r.sent).Round(time.Microsecond), change, r.status, len(r.runs), r.conn.LocalAddr(), r.speech,
		r.sent.Sub(r.conn.dialed.to).Round(time.Millisecond), r.rested.Round(time.Millisecond), err,
		l.lived(r.gateway, r.conn.dialed))
}

// ended counts how requests ended, and lists those that their callers gave up at a gateway that
// was never suspended: it should have had an answer before.
func (l *ledger) ended() (counts [endings]int, givenUp []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		end := l.endOf(r)
		counts[end]++
		if end == endGivenUp {
			givenUp = append(givenUp, fmt.Sprintf("request %s at gateway %d, sent %s, status %d, ran at %d endpoints, spoiled %v", r.id, r.gateway, r.sent.Format(clock), r.status, len(r.runs), r.spoiled()))
		}
	}
	return counts, givenUp
}

// killed counts the processes of gateways that were killed.
func (l *ledger) killed() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for gateway, lives := range l.lives {
		for _, one := range lives {
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
		if err := readCloses(filepath.Join(s.dir, fmt.Sprintf("gateway-%d.log", i)), byCause); err != nil {
			return nil, err
		}
	}
	return byCause, nil
}

func readCloses(file string, byCause map[string]int) error {
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
	counts [endings]int
	closed map[string]int
}

// String lists all counts of requests that were cut, zeros among them, and the others that are there.
func (e Outcomes) String() string {
	var ended, closed []string
	for i, n := range e.counts {
		if n > 0 || ending(i) >= endCutKilled {
			ended = append(ended, fmt.Sprintf("%d %s", n, endingNames[i]))
		}
	}
	for cause, n := range e.closed {
		closed = append(closed, fmt.Sprintf("%d %s", n, cause))
	}
	slices.Sort(closed)
	return "how requests ended: " + strings.Join(ended, "; ") + "\nconnections closed by gateways: " + strings.Join(closed, "; ")
}
