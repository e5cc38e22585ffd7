// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// Bounds that the users' documents give for the two small sites.
const (
	revocationBound    = 5 * time.Second
	configurationBound = 2 * time.Second
	drainBound         = 2 * time.Second
	evacuationBound    = 2 * time.Second
	// undisturbedTime is how long nothing must have disturbed a gateway for the bounds above to
	// apply to it; the bound of key revocation always applies.
	undisturbedTime = 3 * time.Second
	// slack is the time that the scheduling of the test machine may add to a bound.
	slack = 300 * time.Millisecond
)

// kind is how often a request may run, and how it is answered.
type kind int

// The kinds of requests.
const (
	once kind = iota
	repeatable
	stream
)

// request is one request of a caller and what was observed of it.
type request struct {
	id          string
	kind        kind
	gateway     int
	customer    string
	key         string
	crashing    string // Name shared by requests that end their endpoints and are equal or share a part; "" for others.
	part        bool   // Its prompt has parts; if it is crashing, only one of them is what ends endpoints.
	retryAfter  string // Of a refusal of a request with parts.
	service     string // Service of the moving route in the newest configuration at the time of sending.
	sent        time.Time
	ended       time.Time
	status      int // 0 when no header of an answer was received.
	mode        connMode
	answer      answer
	runs        []standin.Run
	idle        *idlePeriod   // Idle period of the connection before the request; nil for other callers, and for the first request on a connection.
	conn        *trackedConn  // Connection that the request was last sent on; nil for none.
	idleTime    time.Duration // How long conn had received nothing before the request; 0 for a new connection.
	refusedDial span          // Time of the connection attempt that was refused; zero for none.
}

// answer is a caller's evaluation of the response.
type answer struct {
	complete bool   // The answer was received to its end.
	fault    string // What is wrong with the answer; "" for nothing.
}

// answeredBadly reports whether an endpoint was made to misbehave for the request.
func (r *request) answeredBadly() bool {
	return slices.ContainsFunc(r.runs, func(run standin.Run) bool { return !run.Behaviour.IsComplete() })
}

// cutThenFailed reports whether a stream was cut off after some events and the endpoint that was to
// continue it answered with a failure of its own.
func (r *request) cutThenFailed() bool {
	i := slices.IndexFunc(r.runs, func(run standin.Run) bool { return run.Behaviour.StopsEarly() })
	return r.kind == stream && i >= 0 && slices.ContainsFunc(r.runs[i:], func(run standin.Run) bool { return run.Behaviour == standin.Fails || run.Behaviour == standin.NotFound })
}

// span is a period of time.
type span struct{ from, to time.Time }

// ledger records what callers and endpoints observe, and what the soak does to the processes.
type ledger struct {
	mu             sync.Mutex
	requests       map[string]*request
	disturbances   map[int][]span       // Disturbances by gateway.
	interruptions  map[int][]span       // Restarts, pauses and disrupted links by gateway; all except planned stops are also disturbances.
	killsAndPauses map[int][]span       // Kills and pauses by gateway.
	plannedStops   map[int][]span       // Planned stops by gateway; they are not disturbances.
	revokedKeys    map[string]time.Time // When the revocation of each key was acknowledged.
	routeMovedAt   time.Time            // When the route last moved to another service.
	routeService   string
	domains        map[string]string            // Failure domains of endpoints.
	evacuations    map[string][]span            // Finished evacuations by failure domain.
	leavingSince   map[string]time.Time         // When the publication that an endpoint is leaving was acknowledged.
	arrivals       map[string][]standin.Arrival // Requests that reached an endpoint, by endpoint.
	unknownRuns    []string                     // Runs of requests that no caller sent.
	ends           []string                     // Processes that ended by themselves, or that did not end when they should have.
	timeouts       []idleSetting                // Published idle timeouts, in order.
	processes      map[int][]*incarnation       // Incarnations by gateway, in order; those of sidecars are at -1.
	versionsSent   []time.Time                  // When versions of the configuration were sent, in order.
	endpointExits  map[string][]time.Time       // When endpoints were about to end.
	linkFaults     map[gatewayLink][]span       // When links were disrupted; recorded at the end of the disruption.
	stalls         []span                       // When the soak's own process did not get to run.
	unexplained    []*request                   // Requests whose connections ended without an explanation, as found by violations.
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, disturbances: map[int][]span{}, plannedStops: map[int][]span{}, revokedKeys: map[string]time.Time{}, leavingSince: map[string]time.Time{},
		domains: map[string]string{}, evacuations: map[string][]span{}, arrivals: map[string][]standin.Arrival{}, interruptions: map[int][]span{}, killsAndPauses: map[int][]span{},
		processes: map[int][]*incarnation{}, endpointExits: map[string][]time.Time{}, linkFaults: map[gatewayLink][]span{}}
}

func (l *ledger) addRequest(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// recordRun records that an endpoint began to run a request.
func (l *ledger) recordRun(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.requests[run.ID]
	if !ok {
		l.unknownRuns = append(l.unknownRuns, run.ID)
		return
	}
	r.runs = append(r.runs, run)
}

// recordDisturbance records a disturbance of a gateway.
func (l *ledger) recordDisturbance(gateway int, s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances[gateway] = append(l.disturbances[gateway], s)
}

// do calls f with mu held.
func (l *ledger) do(f func(l *ledger)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// undisturbed reports whether nothing disturbed a gateway in a period and in the undisturbedTime
// before it.
func (l *ledger) undisturbed(gateway int, from, to time.Time) bool {
	return !slices.ContainsFunc(l.disturbances[gateway], func(s span) bool {
		return s.from.Before(to) && s.to.After(from.Add(-undisturbedTime))
	})
}

// recordInterruption records that a gateway was restarted or paused, or its link disrupted.
func (l *ledger) recordInterruption(gateway int, s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interruptions[gateway] = append(l.interruptions[gateway], s)
}

// interrupted reports whether a gateway was restarted or paused, or its link disrupted, in a period.
func (l *ledger) interrupted(gateway int, from, to time.Time) bool {
	return slices.ContainsFunc(l.interruptions[gateway], func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// recordKillOrPause records that a gateway was killed or paused.
func (l *ledger) recordKillOrPause(gateway int, s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killsAndPauses[gateway] = append(l.killsAndPauses[gateway], s)
}

// killedOrPaused reports whether a gateway was killed or paused in a period. The caller holds mu.
func (l *ledger) killedOrPaused(gateway int, from, to time.Time) bool {
	return slices.ContainsFunc(l.killsAndPauses[gateway], func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// notRunStatuses are the statuses that guarantee that the request never runs.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// violations returns all violations of the guarantees; those of time bounds only if checkTiming is
// set.
func (l *ledger) violations(checkTiming bool) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unexplained = nil
	report := func(r *request, format string, args ...any) {
		found = append(found, fmt.Sprintf("request %s at gateway %d, sent %s: ", r.id, r.gateway, r.sent.Format(timeFormat))+fmt.Sprintf(format, args...))
	}
	for _, id := range l.unknownRuns {
		found = append(found, fmt.Sprintf("an endpoint ran %q, which no caller sent", id))
	}
	found = append(found, l.ends...)
	if checkTiming {
		found = append(found, l.checkCrashing()...)
		found = append(found, l.checkSoundBeside()...)
		found = append(found, l.checkSignals()...)
	}
	for _, r := range l.requests {
		if r.answer.fault != "" {
			report(r, "%s, over %s", r.answer.fault, r.mode)
		}
		if r.kind == once && len(r.runs) > 1 {
			report(r, "may run once, ran at %s and %s", r.runs[0].Endpoint, r.runs[1].Endpoint)
		}
		if len(r.runs) > 0 && slices.Contains(notRunStatuses, r.status) {
			report(r, "status %d, but it ran at %s", r.status, r.runs[0].Endpoint)
		}
		for _, run := range r.runs {
			if run.Customer != r.customer {
				report(r, "ran for customer %q, its key is of %q", run.Customer, r.customer)
			}
			if checkTiming {
				l.checkRun(r, run, report)
			}
		}
		l.checkPlannedStop(r, report)
		l.checkIdleConn(r, report)
		l.checkConnEnd(r, report)
	}
	slices.Sort(found)
	return found
}

// checkRun checks the time bounds that apply to one run.
func (l *ledger) checkRun(r *request, run standin.Run, report func(*request, string, ...any)) {
	if at, ok := l.revokedKeys[r.key]; ok && r.sent.Sub(at) > revocationBound+slack {
		report(r, "ran %v after its key was taken away", r.sent.Sub(at))
	}
	if !l.undisturbed(r.gateway, r.sent, run.At) {
		return
	}
	if at, ok := l.leavingSince[run.Endpoint]; ok && run.At.Sub(at) > drainBound+slack && l.undisturbed(r.gateway, at, run.At) {
		report(r, "reached %s %v after that said that it leaves", run.Endpoint, run.At.Sub(at))
	}
	domain := l.domains[run.Endpoint]
	for _, s := range l.evacuations[domain] {
		if run.At.After(s.from.Add(evacuationBound+slack)) && run.At.Before(s.to) && l.undisturbed(r.gateway, s.from, run.At) {
			report(r, "reached %s %v after the evacuation of %s", run.Endpoint, run.At.Sub(s.from), domain)
		}
	}
	if r.service != "" && run.Path == movingPath && r.sent.Sub(l.routeMovedAt) > configurationBound+slack && l.undisturbed(r.gateway, l.routeMovedAt, run.At) && serviceOf(run.Endpoint) != l.routeService {
		report(r, "ran at %s %v after its route went to %s", run.Endpoint, r.sent.Sub(l.routeMovedAt), l.routeService)
	}
}

// checkPlannedStop checks that a planned stop cut off no request that had reached an endpoint.
func (l *ledger) checkPlannedStop(r *request, report func(*request, string, ...any)) {
	if r.answer.complete || len(r.runs) == 0 || r.answeredBadly() || !l.undisturbed(r.gateway, r.sent, r.ended) {
		return
	}
	if r.ended.Sub(r.sent) >= callerTimeout { // The caller has timed out.
		return
	}
	for _, s := range l.plannedStops[r.gateway] {
		if s.from.Before(r.ended) && s.to.After(r.sent) {
			report(r, "was cut off after %v in a planned stop that began %s", r.ended.Sub(r.sent), s.from.Format(timeFormat))
		}
	}
}

// timeFormat is the format of times in messages.
const timeFormat = "15:04:05.000"

// lastEvacuation returns when all gateways knew of the end of the last evacuation; zero when there
// was none.
func (l *ledger) lastEvacuation() (end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, spans := range l.evacuations {
		for _, s := range spans {
			if at := s.to.Add(evacuationBound); at.After(end) {
				end = at
			}
		}
	}
	return end
}

// served counts the requests sent in a period and those of them that were served. Requests that end
// their endpoints, requests sent late on purpose, and those to gateways in a planned stop, which
// refuse them, are not counted.
func (l *ledger) served(from, to time.Time) (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.sent.Before(from) || !r.sent.Before(to) || r.crashing != "" || r.idle != nil && r.idle.late || l.inPlannedStop(r.gateway, r.sent) {
			continue
		}
		sent++
		if r.answer.complete && r.status == http.StatusOK {
			served++
		}
	}
	return sent, served
}

// countBadAnswers counts the requests for which endpoints misbehaved: in at least one run, in at
// least two runs, and the streams that were cut off and then failed.
func (l *ledger) countBadAnswers() (once, twice, cutThenFailed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		bad := 0
		for _, run := range r.runs {
			if !run.Behaviour.IsComplete() {
				bad++
			}
		}
		if bad > 0 {
			once++
		}
		if bad > 1 {
			twice++
		}
		if r.cutThenFailed() {
			cutThenFailed++
		}
	}
	return once, twice, cutThenFailed
}
