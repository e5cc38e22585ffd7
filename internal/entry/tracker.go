// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/route"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Times for which an endpoint gets no requests after it could not be reached or reported a stall.
const (
	blockUnreachable = time.Second
	blockStalled     = 500 * time.Millisecond
)

// endpointState is what an entry knows of one endpoint.
type endpointState struct {
	load            wire.Load
	startedAt       int64 // Start of the process that reported load, Unix ms.
	sentSinceReport int   // This entry's unfinished requests that were sent after the report.
	blockedUntil    time.Time
	backoffUntil    time.Time                    // End of the backoff that the endpoint requested.
	cancels         map[*context.CancelFunc]bool // Of this entry's unfinished requests.
}

// tracker holds the last load report of each endpoint and the entry's unfinished requests.
type tracker struct {
	mu         sync.Mutex
	byEndpoint map[string]*endpointState
}

func newTracker() *tracker { return &tracker{byEndpoint: map[string]*endpointState{}} }

// stateOf returns the state of an endpoint, and creates it if there is none. The caller holds mu.
func (t *tracker) stateOf(endpoint string) *endpointState {
	state, ok := t.byEndpoint[endpoint]
	if !ok {
		state = &endpointState{cancels: map[*context.CancelFunc]bool{}}
		t.byEndpoint[endpoint] = state
	}
	return state
}

// beginRequest records a request that is about to be sent to an endpoint; cancel is called when the
// endpoint's process is declared dead. The returned function must be called once, when the request has
// ended.
func (t *tracker) beginRequest(endpoint string, cancel context.CancelFunc) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.stateOf(endpoint)
	state.sentSinceReport++
	state.cancels[&cancel] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(state.cancels, &cancel)
		// It is not recorded whether this request was sent before or after the report. The reported load
		// is taken to include it. Thus sentSinceReport is not reduced by one, but only bounded by the
		// number of unfinished requests.
		state.sentSinceReport = max(0, min(state.sentSinceReport, len(state.cancels)))
		state.load.Running = max(0, state.load.Running-1)
	}
}

// cancelRequests cancels the requests at a process that was declared dead, so that their
// callers get an answer without delay. It does nothing if a later process has taken the endpoint over.
func (t *tracker) cancelRequests(m member.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.byEndpoint[m.Endpoint]
	if !ok || state.startedAt > m.StartedAt {
		return
	}
	for cancel := range state.cancels {
		(*cancel)()
	}
}

// recordLoad records the load that came with an answer. The load includes the request that was
// answered, so sentSinceReport starts again at zero. The endpoint gets no requests during the backoff
// that it asks for, nor for blockStalled if it reports a stall.
func (t *tracker) recordLoad(endpoint string, l wire.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.stateOf(endpoint)
	state.load = l
	state.sentSinceReport = 0
	state.backoffUntil = time.Now().Add(time.Duration(l.BackoffMS) * time.Millisecond)
	if l.Stalled {
		state.blockedUntil = time.Now().Add(blockStalled)
	}
}

// block excludes the endpoint from routing for d.
func (t *tracker) block(endpoint string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(endpoint).blockedUntil = time.Now().Add(d)
}

// candidate is an endpoint that requests may be routed to, and the process behind it.
type candidate struct {
	route.Candidate
	member member.Member
}

// candidates lists the endpoints of services that may get new requests: those that are published,
// alive, not leaving, neither blocked nor in backoff, and not in avoid. If a new process has taken an
// endpoint over, the load, the block and the backoff of the earlier process are cleared first.
func (e *Entry) candidates(services []*published.Service, avoid map[string]bool) []candidate {
	alive := e.node.ByEndpoint()
	now := time.Now()
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	var list []candidate
	for _, s := range services {
		for _, ep := range s.Endpoints {
			m, ok := alive[ep.Name]
			if !ok || m.Leaving || avoid[ep.Name] {
				continue
			}
			state := e.tracker.stateOf(ep.Name)
			if state.startedAt != m.StartedAt && m.StartedAt != 0 {
				state.startedAt, state.load, state.blockedUntil, state.backoffUntil = m.StartedAt, wire.Load{}, time.Time{}, time.Time{} // The state of an earlier process does not apply.
			}
			if now.Before(state.blockedUntil) || now.Before(state.backoffUntil) || state.load.Leaving {
				continue
			}
			list = append(list, candidate{
				member: m,
				Candidate: route.Candidate{
					Endpoint: ep.Name, Group: s.Name, SameDomain: m.Domain == e.node.Settings().Domain,
					Running: state.load.Running, Queued: state.load.Queued, Limit: state.load.ConcurrencyLimit,
					StepMS: state.load.MeanStepMS, InFlight: state.sentSinceReport, Stalled: state.load.Stalled,
				},
			})
		}
	}
	return list
}

// noEndpointRetry is the retry delay when no endpoint is available.
const noEndpointRetry = time.Second

// noEndpoint returns the refusal of a request for which no endpoint of services can be chosen. The
// caller may retry at the earliest end of a backoff, if any endpoint requested one.
func (e *Entry) noEndpoint(services []*published.Service) *wire.Refusal {
	now := time.Now()
	var earliest time.Duration
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	for _, s := range services {
		for _, ep := range s.Endpoints {
			if left := e.tracker.stateOf(ep.Name).backoffUntil.Sub(now); left > 0 && (earliest == 0 || left < earliest) {
				earliest = left
			}
		}
	}
	if earliest > 0 {
		return wire.Refuse(http.StatusServiceUnavailable, earliest, "all endpoints that are there have asked for rest")
	}
	return wire.Refuse(http.StatusServiceUnavailable, noEndpointRetry, "no endpoint is there")
}
