// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package admit decides which request an endpoint takes next and which it
// refuses. One Queue stands before one endpoint, where the requests of all
// entries meet. It is a pure state machine: time comes in as an argument, and
// the caller serialises access.
//
// Order: the policy's priority, raised with waiting so that batch work ends
// too; then the customer that has had the least service for its weight; then,
// within the customer, the earliest deadline. Fair share goes before deadline
// between customers, since otherwise a large customer with short deadlines
// starves a small one.
package admit

import "time"

// Request is one request that wants the endpoint.
type Request struct {
	ID       string
	Customer string
	Weight   float64 // Share of the customer, above 0.
	Priority int
	Deadline time.Time // Zero when there is none.
	Arrived  time.Time
}

// Reason says why a request is refused.
type Reason string

// The reasons. All of them mean that nothing of the request was started.
const (
	ReasonFull     Reason = "queue full"
	ReasonDeadline Reason = "deadline cannot be met"
	ReasonLeaving  Reason = "endpoint is leaving"
)

// Refusal is a request that was given up, and when to come back.
type Refusal struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Actions is what the caller must do: start these, refuse those, at once.
type Actions struct {
	Start  []Request
	Refuse []Refusal
}

// Config bounds a Queue.
type Config struct {
	Capacity      int           // Waiting requests held at most.
	MinLimit      int           // Lowest concurrency the limit falls to, at least 1.
	MaxLimit      int           // Highest concurrency.
	StepTarget    time.Duration // Step time above which concurrency falls; 0 keeps it fixed.
	AgingInterval time.Duration // Waiting time that raises the priority by one.
}

// hold smoothing and adaptation constants.
const (
	smoothing   = 0.1                    // Weight of the newest sample in a running mean.
	lowerFactor = 0.9                    // Limit after a step over the target.
	raiseBelow  = 0.9                    // Share of the target under which the limit rises.
	adaptEvery  = 100 * time.Millisecond // Least time between two changes of the limit.
	minRetry    = 50 * time.Millisecond  // Shortest Retry-After of a refusal.
)

// Queue is the bounded queue and the concurrency limit of one endpoint.
type Queue struct {
	cfg     Config
	limit   float64 // Invariant: MinLimit <= limit <= MaxLimit.
	waiting []Request
	running map[string]time.Time // Start time by id.
	served  map[string]float64   // Service by customer, divided by weight.
	floor   float64              // Least service a customer that comes anew is given.
	hold    time.Duration        // Running mean of the time a request is held.
	step    time.Duration        // Running mean of the step time.
	adapted time.Time
	leaving bool
}

// New returns an empty queue at its highest limit.
func New(cfg Config) *Queue {
	cfg.MinLimit = max(1, cfg.MinLimit)
	cfg.MaxLimit = max(cfg.MinLimit, cfg.MaxLimit)
	return &Queue{
		cfg:     cfg,
		limit:   float64(cfg.MaxLimit),
		running: map[string]time.Time{},
		served:  map[string]float64{},
	}
}

// Running returns the number of requests at the endpoint.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Limit returns the present concurrency limit.
func (q *Queue) Limit() int { return int(q.limit) }

// StepTime returns the running mean of the step time.
func (q *Queue) StepTime() time.Duration { return q.step }

// Offer takes in a request and returns what to do now. The request itself is
// in Start or in Refuse, or waits.
func (q *Queue) Offer(r Request, now time.Time) (a Actions) {
	if q.leaving {
		a.Refuse = append(a.Refuse, Refusal{r, ReasonLeaving, minRetry})
		return a
	}
	if late, after := q.tooLate(r, now); late {
		a.Refuse = append(a.Refuse, Refusal{r, ReasonDeadline, after})
		return a
	}
	q.waiting = append(q.waiting, r)
	q.fill(&a, now)
	if len(q.waiting) > q.cfg.Capacity {
		worst := q.take(q.last(now))
		a.Refuse = append(a.Refuse, Refusal{worst, ReasonFull, q.wait(len(q.waiting))})
	}
	return a
}

// tooLate predicts whether r would start after its deadline.
func (q *Queue) tooLate(r Request, now time.Time) (late bool, after time.Duration) {
	if r.Deadline.IsZero() {
		return false, 0
	}
	ahead := 0
	for _, w := range q.waiting {
		if q.aged(w, now) >= q.aged(r, now) {
			ahead++
		}
	}
	wait := time.Duration(0)
	if len(q.running) >= int(q.limit) {
		wait = q.wait(ahead)
	}
	if !now.Add(wait).Before(r.Deadline) {
		return true, max(minRetry, wait)
	}
	return false, 0
}

// wait predicts how long a request behind n others waits.
func (q *Queue) wait(n int) time.Duration {
	each := q.hold / time.Duration(max(1, int(q.limit)))
	return max(minRetry, time.Duration(n+1)*each)
}

// Done takes note that a running request has left the endpoint.
func (q *Queue) Done(id string, now time.Time) (a Actions) {
	started, ok := q.running[id]
	if !ok {
		return a
	}
	delete(q.running, id)
	held := now.Sub(started)
	if q.hold == 0 {
		q.hold = held
	}
	q.hold += time.Duration(smoothing * float64(held-q.hold))
	q.fill(&a, now)
	return a
}

// Cancel removes a waiting request whose caller has gone. It reports whether
// the request was still waiting.
func (q *Queue) Cancel(id string) bool {
	for i, w := range q.waiting {
		if w.ID == id {
			q.take(i)
			return true
		}
	}
	return false
}

// Leave refuses everything that waits and all that comes later. What runs goes
// on.
func (q *Queue) Leave() (a Actions) {
	q.leaving = true
	for _, w := range q.waiting {
		a.Refuse = append(a.Refuse, Refusal{w, ReasonLeaving, minRetry})
	}
	q.waiting = nil
	return a
}

// Tick refuses what can no longer start before its deadline.
func (q *Queue) Tick(now time.Time) (a Actions) {
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
			a.Refuse = append(a.Refuse, Refusal{w, ReasonDeadline, q.wait(len(q.waiting))})
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	q.fill(&a, now)
	return a
}

// ObserveStep takes in the time of one engine step and adapts the limit to it. A
// lower limit cuts nothing that runs.
func (q *Queue) ObserveStep(step time.Duration, now time.Time) (a Actions) {
	if q.step == 0 {
		q.step = step
	}
	q.step += time.Duration(smoothing * float64(step-q.step))
	if q.cfg.StepTarget == 0 || now.Sub(q.adapted) < adaptEvery {
		return a
	}
	used := len(q.running) >= int(q.limit)
	switch {
	case q.step > q.cfg.StepTarget:
		base := min(q.limit, float64(max(len(q.running), q.cfg.MinLimit)))
		q.limit = max(float64(q.cfg.MinLimit), base*lowerFactor)
		q.adapted = now
	case used && q.step < time.Duration(raiseBelow*float64(q.cfg.StepTarget)):
		q.limit = min(float64(q.cfg.MaxLimit), q.limit+1)
		q.adapted = now
		q.fill(&a, now)
	}
	return a
}

// aged is the priority of r, raised with the time it has waited.
func (q *Queue) aged(r Request, now time.Time) int {
	if q.cfg.AgingInterval <= 0 {
		return r.Priority
	}
	return r.Priority + int(now.Sub(r.Arrived)/q.cfg.AgingInterval)
}

// before reports whether a goes before b.
func (q *Queue) before(a, b Request, now time.Time) bool {
	if pa, pb := q.aged(a, now), q.aged(b, now); pa != pb {
		return pa > pb
	}
	if a.Customer != b.Customer {
		if sa, sb := q.service(a.Customer), q.service(b.Customer); sa != sb {
			return sa < sb
		}
	}
	if a.Customer == b.Customer && !a.Deadline.Equal(b.Deadline) {
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return a.Arrived.Before(b.Arrived)
}

func (q *Queue) service(customer string) float64 {
	return max(q.floor, q.served[customer])
}

// first returns the index of the waiting request that goes next.
func (q *Queue) first(now time.Time) int {
	best := 0
	for i := range q.waiting {
		if q.before(q.waiting[i], q.waiting[best], now) {
			best = i
		}
	}
	return best
}

// last returns the index of the waiting request to give up when the queue is
// full: among the lowest priority, the newest of the customer with the most
// waiting for its weight.
func (q *Queue) last(now time.Time) int {
	lowest := q.aged(q.waiting[0], now)
	for _, w := range q.waiting {
		lowest = min(lowest, q.aged(w, now))
	}
	length := map[string]float64{}
	for _, w := range q.waiting {
		length[w.Customer] += 1 / w.Weight
	}
	worst := -1
	for i, w := range q.waiting {
		if q.aged(w, now) != lowest {
			continue
		}
		if worst < 0 || length[w.Customer] >= length[q.waiting[worst].Customer] {
			worst = i
		}
	}
	return worst
}

// take removes and returns the waiting request at i.
func (q *Queue) take(i int) Request {
	r := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return r
}

// fill starts waiting requests while the limit allows.
func (q *Queue) fill(a *Actions, now time.Time) {
	for len(q.waiting) > 0 && len(q.running) < int(q.limit) {
		r := q.take(q.first(now))
		q.floor = q.service(r.Customer)
		q.served[r.Customer] = q.floor + 1/r.Weight
		q.running[r.ID] = now
		a.Start = append(a.Start, r)
	}
	if len(q.waiting) == 0 && len(q.served) > 4*q.cfg.Capacity {
		q.served = map[string]float64{} // Nobody waits: all start level again.
		q.floor = 0
	}
}
