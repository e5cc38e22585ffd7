// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package waitqueue queues the requests of one process that wait for capacity at a service, for a short
// time and only if they are expected to be served in time. It is a pure state machine: time is passed
// in as an argument, and the caller serialises access. Package grouplimit decides whether there is
// capacity.
package waitqueue

import (
	"math"
	"slices"
	"time"
)

// Waiter is a queued request.
type Waiter struct {
	ID       uint64
	Class    int       // Lower classes go first.
	Customer string    // Customer of the request; "" for none.
	Deadline time.Time // Time by which it must be served or rejected.
}

// lengthSmoothingTime is the time constant over which the queue length is smoothed: a few times the
// longest wait of a request, which is some tenths of a second.
const lengthSmoothingTime = time.Second

// serviceDecayTime is the time constant with which the service that a customer received decays: a
// burst lasts some seconds.
const serviceDecayTime = 4 * time.Second

// Queue holds the waiting requests. Lower classes go first; within a class, the customer that has
// recently received the least service goes first, so that a customer's burst delays only that
// customer; then the request that joined first.
type Queue struct {
	waiting       []Waiter                 // In the order in which they joined.
	meanLength    float64                  // Smoothed queue length.
	updatedAt     time.Time                // Time of the last update of meanLength; zero before the first request.
	recentService map[string]decayingCount // By customer, the decayed number of requests served recently.
}

// decayingCount is a count that decays exponentially with serviceDecayTime.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

// valueAt returns the count, decayed since its last update.
func (r decayingCount) valueAt(now time.Time) float64 {
	return r.count * math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/serviceDecayTime.Seconds())
}

// updateMeanLength updates the smoothed queue length.
func (q *Queue) updateMeanLength(now time.Time) {
	if elapsed := now.Sub(q.updatedAt); !q.updatedAt.IsZero() && elapsed > 0 {
		q.meanLength += (1 - math.Exp(-elapsed.Seconds()/lengthSmoothingTime.Seconds())) * (float64(len(q.waiting)) - q.meanLength)
	}
	q.updatedAt = now
}

// Join queues a request if it would be served in time, and reports whether it queued it. The rate is
// the capacity in requests per second. Other processes have queues for the same capacity, which together
// are assumed to be otherQueues times as long as this queue is on average. A rate of 0 is unknown: the request is
// then queued only if whenRateUnknown is set, as it is for requests that would not be retried
// otherwise.
func (q *Queue) Join(w Waiter, rate float64, otherQueues float64, whenRateUnknown bool, now time.Time) bool {
	q.updateMeanLength(now)
	ahead := 0
	for _, o := range q.waiting {
		if o.Class <= w.Class {
			ahead++
		}
	}
	if rate <= 0 && !whenRateUnknown || rate > 0 && (float64(ahead+1)+otherQueues*q.meanLength)/rate > w.Deadline.Sub(now).Seconds() {
		return false
	}
	q.waiting = append(q.waiting, w)
	return true
}

// IsNext reports whether a request is the next one to be served: the one of the lowest class, then of
// the customer that has recently received the least service, then the one that joined first.
func (q *Queue) IsNext(id uint64, now time.Time) bool {
	if len(q.waiting) == 0 {
		return false
	}
	best := q.waiting[0]
	for _, w := range q.waiting[1:] {
		if w.Class < best.Class || w.Class == best.Class && q.recentService[w.Customer].valueAt(now) < q.recentService[best.Customer].valueAt(now) {
			best = w
		}
	}
	return best.ID == id
}

// Leave removes a request, if it is queued. served says whether the request received capacity, which
// counts as service to its customer.
func (q *Queue) Leave(id uint64, served bool, now time.Time) {
	q.updateMeanLength(now)
	i := slices.IndexFunc(q.waiting, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return
	}
	if served {
		q.recordService(q.waiting[i].Customer, now)
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// recordService counts a request served for a customer, and removes customers whose last one was long
// ago.
func (q *Queue) recordService(customer string, now time.Time) {
	if q.recentService == nil {
		q.recentService = map[string]decayingCount{}
	}
	for c, r := range q.recentService {
		if now.Sub(r.updatedAt) > forgetAfter {
			delete(q.recentService, c)
		}
	}
	q.recentService[customer] = decayingCount{count: q.recentService[customer].valueAt(now) + 1, updatedAt: now}
}

// forgetAfter is the time after which next to nothing is left of a customer's decayed count.
const forgetAfter = 5 * serviceDecayTime

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }
