// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package limit decides how many requests of a customer's published rate limit each entry may admit.
// It is a pure state machine: time is passed in as an argument, and the caller serialises access and
// carries the messages.
package limit

import "time"

// Bucket is a token bucket for one entry's share of a limit.
type Bucket struct {
	rate       float64 // Tokens per second.
	burst      float64 // Maximum number of tokens.
	tokens     float64 // Invariant: 0 <= tokens <= burst.
	refilledAt time.Time
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// NewBucketWith returns a bucket that holds the given number of tokens, limited to 0 to burst.
func NewBucketWith(rate, burst, tokens float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: min(max(tokens, 0), burst), refilledAt: now}
}

// HasToken reports whether there is a token to take.
func (b *Bucket) HasToken(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// ReturnToken returns a token that was taken and not used.
func (b *Bucket) ReturnToken() { b.tokens = min(b.tokens+1, b.burst) }

// Tokens returns the number of tokens in the bucket.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Add adds n tokens, or removes tokens if n is negative.
func (b *Bucket) Add(n float64, now time.Time) {
	b.refill(now)
	b.tokens = min(max(b.tokens+n, 0), b.burst)
}

// SetRate changes rate and burst from now on; tokens above the new burst are dropped.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
		b.refilledAt = now
	}
}

// Take takes one token. If there is none, it returns the time until there will be one, a second where
// the rate is 0.
func (b *Bucket) Take(now time.Time) (retryAfter time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.rate <= 0 {
		return time.Second, false
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}
