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

// Times for which an endpoint is passed over after it failed or refused.
const (
	blockUnreachable = time.Second
	blockStalled     = 500 * time.Millisecond
)

// heard is what an entry knows of one endpoint.
type heard struct {
	load    wire.Load
	life    int64 // Life of the process that said it.
	sent    int   // Own requests since that report that have not ended.
	blocked time.Time
	rests   time.Time                    // Until when the endpoint wants nothing.
	cancels map[*context.CancelFunc]bool // Own requests that have not ended.
}

// tracker holds the last reports of endpoints and the entry's own requests.
type tracker struct {
	mu  sync.Mutex
	all map[string]*heard // By slot.
}

func newTracker() *tracker { return &tracker{all: map[string]*heard{}} }

func (t *tracker) get(slot string) *heard {
	h, ok := t.all[slot]
	if !ok {
		h = &heard{cancels: map[*context.CancelFunc]bool{}}
		t.all[slot] = h
	}
	return h
}

// begin takes note of a request that is sent to a slot; cancel ends it when
// the process behind the slot is given up. The function returned must be called
// once, when the request has ended.
func (t *tracker) begin(slot string, cancel context.CancelFunc) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.get(slot)
	h.sent++
	h.cancels[&cancel] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(h.cancels, &cancel)
		h.sent = max(0, min(h.sent, len(h.cancels)))
		h.load.Running = max(0, h.load.Running-1)
	}
}

// gone ends the requests that wait on a process that was given up, so that
// their callers hear at once.
func (t *tracker) gone(m member.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.all[m.Endpoint]
	if !ok || h.life > m.StartedAt {
		return
	}
	for cancel := range h.cancels {
		(*cancel)()
	}
}

// report takes in a load from an answer. The answer's own request is counted
// in it, so that it is no longer counted as sent since.
func (t *tracker) report(slot string, l wire.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.get(slot)
	h.load = l
	h.sent = 0
	h.rests = time.Now().Add(time.Duration(l.BackoffMS) * time.Millisecond)
	if l.Stalled {
		h.blocked = time.Now().Add(blockStalled)
	}
}

// block passes the slot over for a while.
func (t *tracker) block(slot string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(slot).blocked = time.Now().Add(d)
}

// candidate is a routable endpoint and the process behind it.
type candidate struct {
	route.Candidate
	member member.Member
}

// candidates lists the endpoints of services that may be sent new work:
// published, living, not leaving, not passed over and not in avoid.
func (e *Entry) candidates(services []*published.Service, avoid map[string]bool) []candidate {
	living := e.node.ByEndpoint()
	now := time.Now()
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	var list []candidate
	for _, s := range services {
		for _, ep := range s.Endpoints {
			m, ok := living[ep.Name]
			if !ok || m.Leaving || avoid[ep.Name] {
				continue
			}
			h := e.tracker.get(ep.Name)
			if h.life != m.StartedAt && m.StartedAt != 0 {
				h.life, h.load, h.blocked, h.rests = m.StartedAt, wire.Load{}, time.Time{}, time.Time{} // A new process is judged anew.
			}
			if now.Before(h.blocked) || now.Before(h.rests) || h.load.Leaving {
				continue
			}
			list = append(list, candidate{
				member: m,
				Candidate: route.Candidate{
					Endpoint: ep.Name, Group: s.Name, SameDomain: m.Domain == e.node.Settings().Domain,
					Running: h.load.Running, Queued: h.load.Queued, Limit: h.load.ConcurrencyLimit,
					StepMS: h.load.MeanStepMS, InFlight: h.sent, Stalled: h.load.Stalled,
				},
			})
		}
	}
	return list
}

// emptyRetry is when to come back where no endpoint is there.
const emptyRetry = time.Second

// noEndpoint refuses a request for which no endpoint of services can be chosen: with the end of
// the first rest, if any has asked for one.
func (e *Entry) noEndpoint(services []*published.Service) *wire.Refusal {
	now := time.Now()
	var first time.Duration
	e.tracker.mu.Lock()
	defer e.tracker.mu.Unlock()
	for _, s := range services {
		for _, ep := range s.Endpoints {
			if left := e.tracker.get(ep.Name).rests.Sub(now); left > 0 && (first == 0 || left < first) {
				first = left
			}
		}
	}
	if first > 0 {
		return wire.Refuse(http.StatusServiceUnavailable, first, "all endpoints that are there have asked for rest")
	}
	return wire.Refuse(http.StatusServiceUnavailable, emptyRetry, "no endpoint is there")
}
