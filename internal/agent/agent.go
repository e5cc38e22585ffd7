// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package agent is the endpoint role: the one small process beside an engine
// or a plain service, and the only way in to it. It has the last word on
// admission, on what may run once, and on draining. It chooses no endpoint and
// serves no callers.
package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/admit"
	"github.com/canvaspulley/canvaspulley/internal/decide/backoff"
	"github.com/canvaspulley/canvaspulley/internal/decide/once"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/wait"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Times and sizes that no operator needs to set.
const (
	tickEvery   = 50 * time.Millisecond
	stateEvery  = 250 * time.Millisecond
	idWindow    = 2 * time.Minute
	idCapacity  = 200000
	answerBytes = 16 << 20
	agePerStep  = 2 * time.Second
)

// Agent serves one endpoint.
type Agent struct {
	node    *node.Node
	engine  *adapter.Engine  // Nil beside a plain service.
	service *adapter.Service // Nil beside an engine.

	orders     sync.Mutex // Held while an order about the expert map is passed on.
	fence      uint64     // Highest ballot passed on.
	fenceKnown bool       // The engine's own fence has been read.
	endedAt    time.Time  // When the endpoint's process was last found to have ended; guarded by mu.

	mu      sync.Mutex
	queue   *admit.Queue
	ids     *once.Table            // Attempts of requests, for "not run".
	keys    *once.Table            // Idempotency keys.
	waiting map[string]chan ticket // By attempt; exactly those in queue's waiting list.
	step    uint64                 // Engine's step number by its last report.
	moved   time.Time              // When step last changed, or when nothing ran.
	stalled bool
	rests   *backoff.Set // Of the endpoint, under its own name.
}

// ticket is the queue's word on one waiting request.
type ticket struct {
	refusal *wire.Refusal // Nil when the request may start.
}

// New returns an agent beside an engine or a service; one of them is nil.
func New(n *node.Node, engine *adapter.Engine, service *adapter.Service) *Agent {
	set := n.Settings()
	target := set.StepTarget
	if engine == nil {
		target = 0
	}
	return &Agent{
		node:    n,
		engine:  engine,
		service: service,
		queue: admit.New(admit.Config{
			Capacity: set.QueueCapacity, MinLimit: set.MinLimit, MaxLimit: set.MaxLimit,
			StepTarget: target, AgingInterval: agePerStep,
		}),
		ids: once.New(once.Config{
			Started: n.Started(), Skew: set.ClockSkew, Window: idWindow, Capacity: idCapacity,
			NeverResent: true,
		}),
		keys: once.New(once.Config{
			Started: n.Started(), Skew: set.ClockSkew, Window: set.KeyRetention,
			Capacity: set.MaxKeys, MaxAnswerBytes: answerBytes,
		}),
		waiting: map[string]chan ticket{},
		moved:   n.Started(),
		rests:   backoff.New(),
	}
}

// Handler returns the peer listener's handlers.
func (a *Agent) Handler() http.Handler {
	mux := a.node.PeerMux()
	mux.HandleFunc("POST "+wire.PathRun, a.serveRun)
	mux.HandleFunc("POST "+wire.PathOutcome, a.serveOutcome)
	if a.engine != nil {
		mux.HandleFunc("POST "+wire.PathSwitch, a.serveSwitch)
		mux.HandleFunc("GET "+wire.PathCache+"{id}", a.serveCache)
	}
	return mux
}

// Run does the agent's duties until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := duty.New(ctx, a.node.Log(), a.node.Metrics(), func(string) { cancel() })
	d.Go("tick", a.tick)
	if a.engine != nil {
		d.Go("observe", a.observe)
		d.Go("map", func(ctx context.Context) error { return newMapper(a).run(ctx) })
	}
	return d.Wait()
}

// tick gives up what can no longer start in time, and what waits when the
// planned stop begins.
func (a *Agent) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	left := a.node.Leaving()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-left:
			left = nil
			a.apply(func() admit.Actions { return a.queue.Leave() })
		case <-ticker.C:
			a.apply(func() admit.Actions { return a.queue.Tick(time.Now()) })
		}
	}
}

// apply takes a decision of the queue and tells those who wait.
func (a *Agent) apply(decide func() admit.Actions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tell(decide())
}

// tell passes actions to the waiting requests; a.mu is held.
func (a *Agent) tell(actions admit.Actions) {
	for _, r := range actions.Start {
		a.answer(r.ID, ticket{})
	}
	for _, r := range actions.Refuse {
		a.answer(r.Request.ID, ticket{refusal: refusalOf(r)})
	}
}

func (a *Agent) answer(id string, t ticket) {
	if c, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		c <- t // Holds one ticket; it never blocks.
	}
}

func refusalOf(r admit.Refusal) *wire.Refusal {
	status := http.StatusServiceUnavailable
	if r.Reason == admit.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return wire.Refuse(status, r.RetryAfter, string(r.Reason))
}

// observe reads the engine's report and notices when its group stands still.
func (a *Agent) observe(ctx context.Context) error {
	return wait.Every(ctx, stateEvery, func() {
		call, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		s, err := a.engine.State(call)
		a.takeReport(s, err, time.Now())
	})
}

func (a *Agent) takeReport(s adapter.EngineState, err error, now time.Time) {
	var changed, stalled bool
	duty.Locked(&a.mu, func() {
		if err == nil && s.Step != a.step {
			a.step, a.moved = s.Step, now
			step := time.Duration(s.StepMS * float64(time.Millisecond))
			a.tell(a.queue.ObserveStep(step, now))
		}
		was := a.stalled
		a.stalled = now.Sub(a.moved) >= a.node.Settings().StallAfter
		changed = was != a.stalled
		stalled = a.stalled
	})
	switch {
	case changed && stalled:
		a.node.Trail().Add(audit.Stalled, a.node.Settings().Endpoint, "engine's step number stands still")
	case changed:
		a.node.Trail().Add(audit.Stalled, a.node.Settings().Endpoint, "engine goes on")
	}
}

// Load returns what the agent knows of its endpoint.
func (a *Agent) Load() wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load()
}

func (a *Agent) load() wire.Load {
	return wire.Load{
		Running:          a.queue.Running(),
		Queued:           a.queue.Waiting(),
		ConcurrencyLimit: a.queue.Limit(),
		MeanStepMS:       float64(a.queue.StepTime()) / float64(time.Millisecond),
		StepNumber:       a.step,
		Stalled:          a.stalled,
		BackoffMS:        a.restLeft().Milliseconds(),
		Leaving:          a.node.State() == node.Draining || a.node.State() == node.Stopped,
	}
}

// endpoint names the agent's endpoint, whose lives it does not tell apart.
func (a *Agent) endpoint() backoff.Process { return backoff.Process{Name: a.node.Settings().Endpoint} }

// rest takes in that the endpoint wants nothing for a while.
func (a *Agent) rest(d time.Duration) {
	if d <= 0 {
		return
	}
	var news bool
	duty.Locked(&a.mu, func() { news = a.rests.Backoff(a.endpoint(), d, clock.Now()) })
	if news {
		a.count("endpoint.rests")
		a.node.Log().Info("endpoint requests backoff", zap.Duration("for", d))
	}
}

// restLeft returns how much is left of the endpoint's rest. The caller holds mu.
func (a *Agent) restLeft() time.Duration {
	left, _ := a.rests.BackingOff(a.endpoint(), clock.Now())
	return left
}

// refuseInRest refuses what the endpoint has asked not to get now; nil when it does not rest.
// The caller holds mu.
func (a *Agent) refuseInRest() *wire.Refusal {
	if left := a.restLeft(); left > 0 {
		return wire.Refuse(http.StatusServiceUnavailable, left, "the endpoint has asked for rest")
	}
	return nil
}

// InFlight returns the number of requests that run or wait.
func (a *Agent) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Running() + a.queue.Waiting()
}

func (a *Agent) count(name string) {
	metrics.GetOrRegisterCounter(name, a.node.Metrics()).Inc(1)
}
