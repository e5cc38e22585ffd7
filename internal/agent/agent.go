// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package agent implements the endpoint role: the single process that runs beside an engine
// or a plain service and forwards all requests to it; no request reaches the endpoint in any
// other way. It makes the final decision on admission, on whether a request that may run only
// once may start, and on draining. It does not select endpoints and does not serve callers.
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
	"github.com/canvaspulley/canvaspulley/internal/decide/dedup"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/wait"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Intervals and capacities that are not configurable.
const (
	tickInterval         = 50 * time.Millisecond
	observeInterval      = 250 * time.Millisecond // Between reads of the engine's report.
	attemptWindow        = 2 * time.Minute        // How long attempts are remembered.
	attemptCapacity      = 200000                 // Number of attempts remembered.
	maxStoredAnswerBytes = 16 << 20               // Total of the answers stored for idempotency keys.
	waitPerPriority      = 2 * time.Second        // Waiting time that raises the priority of a request by one.
)

// Agent forwards requests to one endpoint, an engine or a plain service.
type Agent struct {
	node    *node.Node
	engine  *adapter.Engine  // Nil beside a plain service.
	service *adapter.Service // Nil beside an engine.

	orderMu    sync.Mutex // Held while an order about the expert map is forwarded.
	fence      uint64     // Highest ballot forwarded.
	fenceKnown bool       // The engine's fence has been read.
	endedAt    time.Time  // When the endpoint's process was last found to have ended; guarded by mu.

	mu            sync.Mutex
	queue         *admit.Queue
	attempts      *dedup.Table             // Attempts of requests; allows the answer "not run".
	keys          *dedup.Table             // Idempotency keys.
	waiting       map[string]chan decision // By attempt id; exactly the requests in queue's waiting list.
	step          uint64                   // Engine's step number in its last report.
	stepChangedAt time.Time                // When step last changed; initially the start of the process.
	stalled       bool
	backoffs      *backoff.Set // Backoff that the endpoint requested, under its own name.
}

// decision is the queue's decision on one waiting request.
type decision struct {
	refusal *wire.Refusal // Nil when the request may start.
}

// New returns an agent for an engine or a service; one of them is nil.
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
			StepTarget: target, AgingInterval: waitPerPriority,
		}),
		attempts: dedup.New(dedup.Config{
			Started: n.Started(), Skew: set.ClockSkew, Window: attemptWindow, Capacity: attemptCapacity,
			NeverResent: true,
		}),
		keys: dedup.New(dedup.Config{
			Started: n.Started(), Skew: set.ClockSkew, Window: set.KeyRetention,
			Capacity: set.MaxKeys, MaxAnswerBytes: maxStoredAnswerBytes,
		}),
		waiting:       map[string]chan decision{},
		stepChangedAt: n.Started(),
		backoffs:      backoff.New(),
	}
}

// Handler returns the HTTP handler of the peer listener.
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

// Run runs the agent's background tasks until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := duty.New(ctx, a.node.Log(), a.node.Metrics(), func(string) { cancel() })
	d.Go("tick", a.tick)
	if a.engine != nil {
		d.Go("observe", a.observe)
		d.Go("map", func(ctx context.Context) error { return newMapController(a).run(ctx) })
	}
	return d.Wait()
}

// tick evicts queued requests that can no longer start in time, and all queued requests when
// the planned stop begins.
func (a *Agent) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leaving := a.node.Leaving()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-leaving:
			leaving = nil
			a.apply(func() admit.Actions { return a.queue.Leave() })
		case <-ticker.C:
			a.apply(func() admit.Actions { return a.queue.Tick(time.Now()) })
		}
	}
}

// apply calls decide, which runs the queue, and notifies the waiting requests of the result.
func (a *Agent) apply(decide func() admit.Actions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify(decide())
}

// notify delivers actions to the waiting requests. The caller holds mu.
func (a *Agent) notify(actions admit.Actions) {
	for _, r := range actions.Start {
		a.deliver(r.ID, decision{})
	}
	for _, r := range actions.Refuse {
		a.deliver(r.Request.ID, decision{refusal: queueRefusal(r)})
	}
}

// deliver passes a decision to the request that waits for it, if it still does. The caller holds mu.
func (a *Agent) deliver(id string, d decision) {
	if c, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		c <- d // The channel has room for one decision, so this never blocks.
	}
}

func queueRefusal(r admit.Refusal) *wire.Refusal {
	status := http.StatusServiceUnavailable
	if r.Reason == admit.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return wire.Refuse(status, r.RetryAfter, string(r.Reason))
}

// observe polls the engine's report and detects when its group stalls.
func (a *Agent) observe(ctx context.Context) error {
	return wait.Every(ctx, observeInterval, func() {
		call, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		s, err := a.engine.State(call)
		a.handleReport(s, err, time.Now())
	})
}

// handleReport evaluates a report of the engine, or the error with which reading it failed. A new step
// number is passed to the queue. The group counts as stalled if the number has not changed for
// StallAfter.
func (a *Agent) handleReport(s adapter.EngineState, err error, now time.Time) {
	var changed, stalled bool
	duty.Locked(&a.mu, func() {
		if err == nil && s.Step != a.step {
			a.step, a.stepChangedAt = s.Step, now
			stepTime := time.Duration(s.StepMS * float64(time.Millisecond))
			a.notify(a.queue.ObserveStep(stepTime, now))
		}
		wasStalled := a.stalled
		a.stalled = now.Sub(a.stepChangedAt) >= a.node.Settings().StallAfter
		changed = wasStalled != a.stalled
		stalled = a.stalled
	})
	switch {
	case changed && stalled:
		a.node.Trail().Add(audit.Stalled, a.node.Settings().Endpoint, "step number of the engine does not advance")
	case changed:
		a.node.Trail().Add(audit.Stalled, a.node.Settings().Endpoint, "step number of the engine advances again")
	}
}

// Load returns the load of the endpoint as the agent knows it.
func (a *Agent) Load() wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load()
}

// load is Load for a caller that holds mu.
func (a *Agent) load() wire.Load {
	return wire.Load{
		Running:          a.queue.Running(),
		Queued:           a.queue.Waiting(),
		ConcurrencyLimit: a.queue.Limit(),
		MeanStepMS:       float64(a.queue.StepTime()) / float64(time.Millisecond),
		StepNumber:       a.step,
		Stalled:          a.stalled,
		BackoffMS:        a.remainingBackoff().Milliseconds(),
		Leaving:          a.node.State() == node.Draining || a.node.State() == node.Stopped,
	}
}

// backoffKey returns the key of the endpoint in backoffs. It has no start time, because the agent does not
// distinguish successive processes of its endpoint.
func (a *Agent) backoffKey() backoff.Process {
	return backoff.Process{Name: a.node.Settings().Endpoint}
}

// recordBackoff records that the endpoint asked to be sent nothing for the time d.
func (a *Agent) recordBackoff(d time.Duration) {
	if d <= 0 {
		return
	}
	var began bool
	duty.Locked(&a.mu, func() { began = a.backoffs.Backoff(a.backoffKey(), d, clock.Now()) })
	if began {
		a.count("endpoint.rests")
		a.node.Log().Info("endpoint requests backoff", zap.Duration("for", d))
	}
}

// remainingBackoff returns the time until the endpoint's backoff ends. The caller holds mu.
func (a *Agent) remainingBackoff() time.Duration {
	remaining, _ := a.backoffs.BackingOff(a.backoffKey(), clock.Now())
	return remaining
}

// backoffRefusal returns the refusal of a request while the endpoint is backing off, or nil.
// The caller holds mu.
func (a *Agent) backoffRefusal() *wire.Refusal {
	if remaining := a.remainingBackoff(); remaining > 0 {
		return wire.Refuse(http.StatusServiceUnavailable, remaining, "the endpoint has asked for rest")
	}
	return nil
}

// InFlight returns the number of requests that are running or queued.
func (a *Agent) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Running() + a.queue.Waiting()
}

func (a *Agent) count(name string) {
	metrics.GetOrRegisterCounter(name, a.node.Metrics()).Inc(1)
}
