// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package retry decides whether a request that failed may be sent again and
// when. A Budget keeps retries to a share of recent successes, so that a
// failing group gets no storm. The package is pure; chance comes in as an
// argument, and the caller serialises access.
package retry

import "time"

// Budget allows a share of recent successes as retries.
type Budget struct {
	share  float64 // Retries earned by one success.
	max    float64 // Retries that can be saved up.
	tokens float64 // Invariant: 0 <= tokens <= max.
}

// NewBudget returns a full budget.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, max: limit, tokens: limit}
}

// Success earns a share of a retry.
func (b *Budget) Success() { b.tokens = min(b.max, b.tokens+b.share) }

// SetShare changes the share, when a new policy is in force.
func (b *Budget) SetShare(share float64) { b.share = share }

// Take spends one retry; it reports false when none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Times between attempts.
const (
	baseDelay = 10 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Attempt is a failed attempt.
type Attempt struct {
	Number       int       // 1 for the first attempt.
	NotRun       bool      // Nothing was started.
	Repeatable   bool      // The request may run more than once.
	PolicyAllows bool      // The policy's word.
	Deadline     time.Time // Zero when there is none.
	Random       float64   // In [0, 1).
}

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 4

// Next says whether to try again and after which delay. A request that may
// have run is tried again only when it is repeatable and the policy allows it;
// one that was not run needs no word of the policy.
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
