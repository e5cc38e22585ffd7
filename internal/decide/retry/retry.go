// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package retry decides whether and when a request that failed may be sent again.
// A Budget limits retries to a fraction of recent successes, so that a failing
// group receives no retry storm. The package is pure: randomness is passed as an
// argument, and the caller serialises access.
package retry

import "time"

// Budget limits retries to a fraction of recent successes.
type Budget struct {
	share  float64 // Retries earned by one success.
	max    float64 // Maximum number of retries that can accumulate.
	tokens float64 // Invariant: 0 <= tokens <= max.
}

// NewBudget returns a full budget: one success earns share retries, and at most limit
// retries accumulate.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, max: limit, tokens: limit}
}

// RecordSuccess adds the share of a retry that one success earns, up to the maximum.
func (b *Budget) RecordSuccess() { b.tokens = min(b.max, b.tokens+b.share) }

// SetShare changes the share, when a new policy takes effect.
func (b *Budget) SetShare(share float64) { b.share = share }

// Take spends one retry; it reports false when none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of the delay between two attempts.
const (
	baseDelay = 10 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Attempt is a failed attempt.
type Attempt struct {
	Number       int       // 1 for the first attempt.
	NotRun       bool      // The endpoint did not start the request.
	Repeatable   bool      // The request may run more than once.
	PolicyAllows bool      // The policy allows a retry of a request that may have run.
	Deadline     time.Time // Zero when there is none.
	Random       float64   // In [0, 1).
}

// MaxAttempts is the maximum number of attempts of one request.
const MaxAttempts = 4

// Next returns the delay before the next attempt; again is false if there is to be
// none. A request that may have run is retried only if it is repeatable and the
// policy allows it; a request that was not run is retried regardless of both. None
// is retried after MaxAttempts attempts, or if the delay would reach the deadline.
// The delay is random, below a ceiling that doubles with each attempt up to maxDelay.
func Next(a Attempt, now time.Time) (delay time.Duration, again bool) {
	if a.Number >= MaxAttempts {
		return 0, false
	}
	if !a.NotRun && !(a.Repeatable && a.PolicyAllows) {
		return 0, false
	}
	ceiling := min(maxDelay, baseDelay<<min(a.Number-1, 10))
	delay = time.Duration(a.Random * float64(ceiling))
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return 0, false
	}
	return delay, true
}
