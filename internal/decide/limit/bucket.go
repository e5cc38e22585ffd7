// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package limit decides how much of a customer's published limit each entry
// may let in. It is a pure state machine: time comes in as an argument, and
// the caller serialises access and carries the messages.
package limit

import "time"

// Bucket is a token bucket: the part of a limit that one entry holds.
type Bucket struct {
	rate   float64 // Tokens a second.
	burst  float64 // Tokens held at most.
	tokens float64 // Invariant: 0 <= tokens <= burst.
	at     time.Time
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, at: now}
}

// NewBucketWith returns a bucket that holds so many tokens.
func NewBucketWith(rate, burst, tokens float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: min(max(tokens, 0), burst), at: now}
}

// HasToken reports whether there is a token to take.
func (b *Bucket) HasToken(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// ReturnToken gives back a token that was taken and not used.
func (b *Bucket) ReturnToken() { b.tokens = min(b.tokens+1, b.burst) }

// Tokens returns how many tokens the bucket holds.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Add puts tokens in, or takes them out where n is below 0.
func (b *Bucket) Add(n float64, now time.Time) {
	b.refill(now)
	b.tokens = min(max(b.tokens+n, 0), b.burst)
}

// SetRate changes rate and burst from now on; tokens above the burst are lost.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
		b.at = now
	}
}

// Take spends one token; without one it says when there will be.
func (b *Bucket) Take(now time.Time) (after time.Duration, ok bool) {
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
