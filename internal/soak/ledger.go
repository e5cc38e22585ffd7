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

// Bounds that the pages of the users give for the two small sites.
const (
	revocationBound    = 5 * time.Second
	configurationBound = 2 * time.Second
	drainBound         = 2 * time.Second
	evacuationBound    = 2 * time.Second
	// calmBefore is how long nothing must have disturbed a gateway for the bounds
	// above to hold for it; a key that was taken away counts always.
	calmBefore = 3 * time.Second
	// slack is what this machine's own scheduling may add to a bound.
	slack = 300 * time.Millisecond
)

// kind is what may be done with a request.
type kind int

// The kinds.
const (
	once kind = iota
	repeatable
	stream
)

// request is one attempt of a caller and what became of it.
type request struct {
	id       string
	kind     kind
	gateway  int
	customer string
	key      string
	crashing string // Names all requests that are the same and end their endpoints; "" for others.
	service  string // That the newest configuration named as it was sent.
	sent     time.Time
	ended    time.Time
	status   int // 0 when no head of an answer came.
	speech   speech
	answer   answer
	runs     []standin.Run
	rest     *rest         // Of the kept connection that it was sent on; nil for others.
	conn     *tracked      // That it was sent on last; nil for none.
	rested   time.Duration // For which conn had carried nothing before; 0 for a new one.
	refused  span          // Of the try to connect that was refused; zero for none.
}

// answer is what a caller makes of what came.
type answer struct {
	whole bool   // It came to its end.
	wrong string // What is wrong with it, "" for nothing.
}

// spoiled reports whether an endpoint was made to answer badly.
func (r *request) spoiled() bool {
	return slices.ContainsFunc(r.runs, func(run standin.Run) bool { return !run.Behaviour.IsComplete() })
}

// cutThenFailed reports whether a stream was cut off after events and the
// endpoint that was to go on with it answered with a failure of its own.
func (r *request) cutThenFailed() bool {
	i := slices.IndexFunc(r.runs, func(run standin.Run) bool { return run.Behaviour.StopsEarly() })
	return r.kind == stream && i >= 0 && slices.ContainsFunc(r.runs[i:], func(run standin.Run) bool { return run.Behaviour == standin.Fails || run.Behaviour == standin.NotFound })
}

// span is a time in which something disturbed a gateway.
type span struct{ from, to time.Time }

// ledger holds what callers and endpoints saw.
type ledger struct {
	mu        sync.Mutex
	requests  map[string]*request
	spans     map[int][]span       // Disturbances by gateway.
	halts     map[int][]span       // Restarts, pauses and cuts by gateway; all but planned stops are disturbances.
	breaks    map[int][]span       // Kills and pauses by gateway.
	stopping  map[int][]span       // Planned stops by gateway; they are no disturbance.
	taken     map[string]time.Time // Keys that were taken away, by when that was acknowledged.
	moved     time.Time            // When the route last moved to another service.
	movedTo   string
	domains   map[string]string            // Failure domains of endpoints.
	evacuated map[string][]span            // Evacuations by failure domain, those that are over.
	left      map[string]time.Time         // Endpoints that leave, by when that was acknowledged.
	arrivals  map[string][]standin.Arrival // By endpoint.
	strangers []string                     // Runs that no caller asked for.
	ends      []string                     // Processes that ended by themselves or not at all.
	idles     []idleTime                   // Published, in order.
	lives     map[int][]*life              // Of gateways' processes, in order.
	changes   []time.Time                  // When versions were sent, in order.
	gone      map[string][]time.Time       // When endpoints were about to end.
	links     map[link][]span              // When they were spoiled; until then nothing is noted.
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, spans: map[int][]span{}, stopping: map[int][]span{}, taken: map[string]time.Time{}, left: map[string]time.Time{},
		domains: map[string]string{}, evacuated: map[string][]span{}, arrivals: map[string][]standin.Arrival{}, halts: map[int][]span{}, breaks: map[int][]span{},
		lives: map[int][]*life{}, gone: map[string][]time.Time{}, links: map[link][]span{}}
}

func (l *ledger) begin(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// ran notes that an endpoint began to run a request.
func (l *ledger) ran(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.requests[run.ID]
	if !ok {
		l.strangers = append(l.strangers, run.ID)
		return
	}
	r.runs = append(r.runs, run)
}

// disturb notes a disturbance of a gateway.
func (l *ledger) disturb(gateway int, s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans[gateway] = append(l.spans[gateway], s)
}

func (l *ledger) note(f func(l *ledger)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// calm reports whether nothing disturbed a gateway in a time and calmBefore it.
func (l *ledger) calm(gateway int, from, to time.Time) bool {
	return !slices.ContainsFunc(l.spans[gateway], func(s span) bool {
		return s.from.Before(to) && s.to.After(from.Add(-calmBefore))
	})
}

// halt notes that a gateway was restarted, paused or cut off.
func (l *ledger) halt(gateway int, s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.halts[gateway] = append(l.halts[gateway], s)
}

// halted reports whether a gateway was restarted, paused or cut off in a time.
func (l *ledger) halted(gateway int, from, to time.Time) bool {
	return slices.ContainsFunc(l.halts[gateway], func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// broke notes that a gateway was killed or paused.
func (l *ledger) broke(gateway int, s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks[gateway] = append(l.breaks[gateway], s)
}

// broken reports whether a gateway was killed or paused in a time. The caller holds mu.
func (l *ledger) broken(gateway int, from, to time.Time) bool {
	return slices.ContainsFunc(l.breaks[gateway], func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// promisesNotRun are the statuses that say that a request never runs.
var promisesNotRun = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// judge returns every broken promise; those with a bound in time only if timed
// is set.
func (l *ledger) judge(timed bool) (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	say := func(r *request, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("request %s at gateway %d, sent %s: ", r.id, r.gateway, r.sent.Format(clock))+fmt.Sprintf(format, args...))
	}
	for _, id := range l.strangers {
		broken = append(broken, fmt.Sprintf("an endpoint ran %q, which no caller sent", id))
	}
	broken = append(broken, l.ends...)
	if timed {
		broken = append(broken, l.judgeCrashing()...)
		broken = append(broken, l.judgeAsks()...)
	}
	for _, r := range l.requests {
		if r.answer.wrong != "" {
			say(r, "%s, over %s", r.answer.wrong, r.speech)
		}
		if r.kind == once && len(r.runs) > 1 {
			say(r, "may run once, ran at %s and %s", r.runs[0].Endpoint, r.runs[1].Endpoint)
		}
		if len(r.runs) > 0 && slices.Contains(promisesNotRun, r.status) {
			say(r, "status %d, but it ran at %s", r.status, r.runs[0].Endpoint)
		}
		for _, run := range r.runs {
			if run.Customer != r.customer {
				say(r, "ran for customer %q, its key is of %q", run.Customer, r.customer)
			}
			if timed {
				l.judgeRun(r, run, say)
			}
		}
		l.judgeStop(r, say)
		l.judgeRest(r, say)
		l.judgeEnd(r, say)
	}
	slices.Sort(broken)
	return broken
}

// judgeRun checks the bounds of one run.
func (l *ledger) judgeRun(r *request, run standin.Run, say func(*request, string, ...any)) {
	if at, ok := l.taken[r.key]; ok && r.sent.Sub(at) > revocationBound+slack {
		say(r, "ran %v after its key was taken away", r.sent.Sub(at))
	}
	if !l.calm(r.gateway, r.sent, run.At) {
		return
	}
	if at, ok := l.left[run.Endpoint]; ok && run.At.Sub(at) > drainBound+slack && l.calm(r.gateway, at, run.At) {
		say(r, "reached %s %v after that said that it leaves", run.Endpoint, run.At.Sub(at))
	}
	domain := l.domains[run.Endpoint]
	for _, s := range l.evacuated[domain] {
		if run.At.After(s.from.Add(evacuationBound+slack)) && run.At.Before(s.to) && l.calm(r.gateway, s.from, run.At) {
			say(r, "reached %s %v after the evacuation of %s", run.Endpoint, run.At.Sub(s.from), domain)
		}
	}
	if r.service != "" && run.Path == movingPath && r.sent.Sub(l.moved) > configurationBound+slack && l.calm(r.gateway, l.moved, run.At) && serviceOf(run.Endpoint) != l.movedTo {
		say(r, "ran at %s %v after its route went to %s", run.Endpoint, r.sent.Sub(l.moved), l.movedTo)
	}
}

// judgeStop checks that a planned stop cut nothing off that had reached an
// endpoint.
func (l *ledger) judgeStop(r *request, say func(*request, string, ...any)) {
	if r.answer.whole || len(r.runs) == 0 || r.spoiled() || !l.calm(r.gateway, r.sent, r.ended) {
		return
	}
	if r.ended.Sub(r.sent) >= patience { // Its caller has given up.
		return
	}
	for _, s := range l.stopping[r.gateway] {
		if s.from.Before(r.ended) && s.to.After(r.sent) {
			say(r, "was cut off after %v in a planned stop that began %s", r.ended.Sub(r.sent), s.from.Format(clock))
		}
	}
}

// clock is how times are written.
const clock = "15:04:05.000"

// lastEvacuation returns when the last evacuation was over by all gateways' lights; zero
// when there was none.
func (l *ledger) lastEvacuation() (end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, spans := range l.evacuated {
		for _, s := range spans {
			if at := s.to.Add(evacuationBound); at.After(end) {
				end = at
			}
		}
	}
	return end
}

// served counts the requests sent in a time and those of them that were served. Those at
// gateways in a planned stop, which refuse them, are left out.
func (l *ledger) served(from, to time.Time) (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.sent.Before(from) || !r.sent.Before(to) || r.crashing != "" || r.rest != nil && r.rest.late || l.stops(r.gateway, r.sent) {
			continue
		}
		sent++
		if r.answer.whole && r.status == http.StatusOK {
			served++
		}
	}
	return sent, served
}

// met counts the requests that endpoints answered badly: at all, at two or more
// endpoints, and those streams that were cut off and then failed.
func (l *ledger) met() (once, twice, cutThenFailed int) {
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
