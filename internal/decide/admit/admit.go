// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package admit decides which request an endpoint runs next and which it refuses. One Queue stands
// before one endpoint and receives the requests of all entries. It is a pure state machine: time is
// passed in as an argument, and the caller serialises access.
//
// Requests are ordered by the policy's priority, which rises with waiting time so that batch requests
// finish too; then by the service that their customers have received relative to their weights, least
// first; then, for one customer, by deadline. Between customers, fair share takes precedence over
// deadlines, since otherwise a large customer with short deadlines would starve a small one.
package admit

import "time"

// Request is a request for the endpoint.
type Request struct {
	ID       string
	Customer string
	Weight   float64 // The customer's weight in fair sharing, above 0.
	Priority int
	Deadline time.Time // Zero for none.
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

// Refusal is a refused request, and the time after which to retry it.
type Refusal struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Actions is what the caller must do at once: start some requests and refuse others.
type Actions struct {
	Start  []Request
	Refuse []Refusal
}

// Config bounds a Queue.
type Config struct {
	Capacity      int           // Maximum number of waiting requests.
	MinLimit      int           // Lowest concurrency limit, at least 1.
	MaxLimit      int           // Highest concurrency limit.
	StepTarget    time.Duration // Step time above which the limit falls; 0 keeps the limit fixed.
	AgingInterval time.Duration // Waiting time that raises the priority of a request by one; 0 for no aging.
}

// Constants of smoothing and of the adaptation of the limit.
const (
	smoothingWeight  = 0.1                    // Weight of the newest sample in a running mean.
	limitDecrease    = 0.9                    // Factor by which the limit falls when steps exceed the target.
	raiseThreshold   = 0.9                    // Share of the target step time below which the limit rises.
	minAdaptInterval = 100 * time.Millisecond // Minimum time between two changes of the limit.
	minRetryAfter    = 50 * time.Millisecond  // Shortest Retry-After of a refusal.
)

// Queue is the bounded queue and the concurrency limit of one endpoint.
type Queue struct {
	cfg               Config
	limit             float64 // Invariant: MinLimit <= limit <= MaxLimit.
	waiting           []Request
	running           map[string]time.Time // Start time by id.
	normalizedService map[string]float64   // By customer, the number of started requests divided by weight.
	minService        float64              // Service that a customer without recent requests is taken to have received.
	meanServiceTime   time.Duration        // Running mean of the time for which a request runs.
	meanStepTime      time.Duration        // Running mean of the step time.
	adaptedAt         time.Time            // When the limit was last changed.
	leaving           bool
}

// New returns an empty queue at its highest limit.
func New(cfg Config) *Queue {
	cfg.MinLimit = max(1, cfg.MinLimit)
	cfg.MaxLimit = max(cfg.MinLimit, cfg.MaxLimit)
	return &Queue{
		cfg:               cfg,
		limit:             float64(cfg.MaxLimit),
		running:           map[string]time.Time{},
		normalizedService: map[string]float64{},
	}
}

// Running returns the number of requests at the endpoint.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Limit returns the current concurrency limit.
func (q *Queue) Limit() int { return int(q.limit) }

// StepTime returns the running mean of the step time.
func (q *Queue) StepTime() time.Duration { return q.meanStepTime }

// Offer adds a request and returns what to do now. The request itself is started, refused, or queued.
// If the queue is full, one request is refused, which may be an earlier one.
func (q *Queue) Offer(r Request, now time.Time) (a Actions) {
	if q.leaving {
		a.Refuse = append(a.Refuse, Refusal{r, ReasonLeaving, minRetryAfter})
		return a
	}
	if late, after := q.missesDeadline(r, now); late {
		a.Refuse = append(a.Refuse, Refusal{r, ReasonDeadline, after})
		return a
	}
	q.waiting = append(q.waiting, r)
	q.startWaiting(&a, now)
	if len(q.waiting) > q.cfg.Capacity {
		worst := q.remove(q.evictIndex(now))
		a.Refuse = append(a.Refuse, Refusal{worst, ReasonFull, q.predictWait(len(q.waiting))})
	}
	return a
}

// missesDeadline predicts whether r would start at or after its deadline. If so, it also returns the
// time after which to retry r. All waiting requests of the same or a higher aged priority count as
// ahead of r.
func (q *Queue) missesDeadline(r Request, now time.Time) (late bool, retryAfter time.Duration) {
	if r.Deadline.IsZero() {
		return false, 0
	}
	ahead := 0
	for _, w := range q.waiting {
		if q.agedPriority(w, now) >= q.agedPriority(r, now) {
			ahead++
		}
	}
	wait := time.Duration(0)
	if len(q.running) >= int(q.limit) {
		wait = q.predictWait(ahead)
	}
	if !now.Add(wait).Before(r.Deadline) {
		return true, max(minRetryAfter, wait)
	}
	return false, 0
}

// predictWait predicts the waiting time of a request that is queued behind n others. It is at least
// minRetryAfter.
func (q *Queue) predictWait(n int) time.Duration {
	perRequest := q.meanServiceTime / time.Duration(max(1, int(q.limit)))
	return max(minRetryAfter, time.Duration(n+1)*perRequest)
}

// Done records that a running request has left the endpoint.
func (q *Queue) Done(id string, now time.Time) (a Actions) {
	started, ok := q.running[id]
	if !ok {
		return a
	}
	delete(q.running, id)
	serviceTime := now.Sub(started)
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime
	}
	q.meanServiceTime += time.Duration(smoothingWeight * float64(serviceTime-q.meanServiceTime))
	q.startWaiting(&a, now)
	return a
}

// Cancel removes a waiting request whose caller has gone. It reports whether the request was still
// waiting.
func (q *Queue) Cancel(id string) bool {
	for i, w := range q.waiting {
		if w.ID == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// Leave refuses all waiting and all later requests. Running requests continue.
func (q *Queue) Leave() (a Actions) {
	q.leaving = true
	for _, w := range q.waiting {
		a.Refuse = append(a.Refuse, Refusal{w, ReasonLeaving, minRetryAfter})
	}
	q.waiting = nil
	return a
}

// Tick refuses the waiting requests whose deadlines have passed and starts others as far as the limit
// allows.
func (q *Queue) Tick(now time.Time) (a Actions) {
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
			a.Refuse = append(a.Refuse, Refusal{w, ReasonDeadline, q.predictWait(len(q.waiting))})
			continue
		}
		remaining = append(remaining, w)
	}
	q.waiting = remaining
	q.startWaiting(&a, now)
	return a
}

// ObserveStep records the duration of one engine step and adapts the limit to the mean. The limit
// falls by a factor when steps take longer than the target. It rises by one when they take clearly
// less and the limit is used up. Lowering the limit stops no running request.
func (q *Queue) ObserveStep(step time.Duration, now time.Time) (a Actions) {
	if q.meanStepTime == 0 {
		q.meanStepTime = step
	}
	q.meanStepTime += time.Duration(smoothingWeight * float64(step-q.meanStepTime))
	if q.cfg.StepTarget == 0 || now.Sub(q.adaptedAt) < minAdaptInterval {
		return a
	}
	atLimit := len(q.running) >= int(q.limit)
	switch {
	case q.meanStepTime > q.cfg.StepTarget:
		// A limit that is not used up falls from the number of running requests: the lowered limit
		// could otherwise still exceed that number, and would then have no effect.
		base := min(q.limit, float64(max(len(q.running), q.cfg.MinLimit)))
		q.limit = max(float64(q.cfg.MinLimit), base*limitDecrease)
		q.adaptedAt = now
	case atLimit && q.meanStepTime < time.Duration(raiseThreshold*float64(q.cfg.StepTarget)):
		q.limit = min(float64(q.cfg.MaxLimit), q.limit+1)
		q.adaptedAt = now
		q.startWaiting(&a, now)
	}
	return a
}

// agedPriority returns the priority of r, raised with its waiting time.
func (q *Queue) agedPriority(r Request, now time.Time) int {
	if q.cfg.AgingInterval <= 0 {
		return r.Priority
	}
	return r.Priority + int(now.Sub(r.Arrived)/q.cfg.AgingInterval)
}

// precedes reports whether a goes before b. The criteria are, in this order: the aged priority; for
// different customers, the lower service received; for one customer, the earlier deadline, where any
// deadline is earlier than none; the earlier arrival.
func (q *Queue) precedes(a, b Request, now time.Time) bool {
	if pa, pb := q.agedPriority(a, now), q.agedPriority(b, now); pa != pb {
		return pa > pb
	}
	if a.Customer != b.Customer {
		if sa, sb := q.serviceOf(a.Customer), q.serviceOf(b.Customer); sa != sb {
			return sa < sb
		}
	}
	if a.Customer == b.Customer && !a.Deadline.Equal(b.Deadline) {
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return a.Arrived.Before(b.Arrived)
}

// serviceOf returns the service that a customer has received relative to its weight. A customer
// without recent requests is taken to have received minService, so that it cannot claim all the
// service that it did not use.
func (q *Queue) serviceOf(customer string) float64 {
	return max(q.minService, q.normalizedService[customer])
}

// nextIndex returns the index of the waiting request that goes next.
func (q *Queue) nextIndex(now time.Time) int {
	best := 0
	for i := range q.waiting {
		if q.precedes(q.waiting[i], q.waiting[best], now) {
			best = i
		}
	}
	return best
}

// evictIndex returns the index of the waiting request to refuse when the queue is full. It is one of
// the requests with the lowest aged priority: the newest one of the customer that has the most waiting
// requests relative to its weight.
func (q *Queue) evictIndex(now time.Time) int {
	lowest := q.agedPriority(q.waiting[0], now)
	for _, w := range q.waiting {
		lowest = min(lowest, q.agedPriority(w, now))
	}
	backlog := map[string]float64{} // By customer, the number of waiting requests divided by weight.
	for _, w := range q.waiting {
		backlog[w.Customer] += 1 / w.Weight
	}
	worst := -1
	for i, w := range q.waiting {
		if q.agedPriority(w, now) != lowest {
			continue
		}
		if worst < 0 || backlog[w.Customer] >= backlog[q.waiting[worst].Customer] {
			worst = i
		}
	}
	return worst
}

// remove removes and returns the waiting request at index i.
func (q *Queue) remove(i int) Request {
	r := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return r
}

// startWaiting starts waiting requests as far as the limit allows, and counts each as service to its
// customer. The service that the customer had received before becomes the new minService.
func (q *Queue) startWaiting(a *Actions, now time.Time) {
	for len(q.waiting) > 0 && len(q.running) < int(q.limit) {
		r := q.remove(q.nextIndex(now))
		q.minService = q.serviceOf(r.Customer)
		q.normalizedService[r.Customer] = q.minService + 1/r.Weight
		q.running[r.ID] = now
		a.Start = append(a.Start, r)
	}
	if len(q.waiting) == 0 && len(q.normalizedService) > 4*q.cfg.Capacity {
		// The map holds many customers and would grow without bound. No request is waiting, so that
		// all customers can start from zero again.
		q.normalizedService = map[string]float64{}
		q.minService = 0
	}
}
