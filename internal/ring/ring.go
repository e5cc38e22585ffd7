// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package ring provides bounded containers for passing values between goroutines.
// None of them grows; each documents what it does when it is full.
package ring

import "sync"

// Buffer is a ring buffer of the newest values. When it is full, Add overwrites the
// oldest value and counts it as dropped.
type Buffer[T any] struct {
	mu      sync.Mutex
	buf     []T // Invariant: len(buf) <= cap(buf), which never changes.
	next    int // Index of the oldest value once buf is full; it is overwritten next.
	dropped uint64
}

// NewBuffer returns an empty buffer for n values.
func NewBuffer[T any](n int) *Buffer[T] { return &Buffer[T]{buf: make([]T, 0, n)} }

// Add adds v; when the buffer is full, it replaces the oldest value.
func (r *Buffer[T]) Add(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.buf) < cap(r.buf) {
		r.buf = append(r.buf, v)
		return
	}
	r.buf[r.next] = v
	r.next = (r.next + 1) % len(r.buf)
	r.dropped++
}

// All returns the values, oldest first, and the number of values dropped so far.
func (r *Buffer[T]) All() (values []T, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	values = make([]T, 0, len(r.buf))
	values = append(values, r.buf[r.next:]...)
	return append(values, r.buf[:r.next]...), r.dropped
}

// Queue passes values between goroutines in order. When it is full, Offer rejects
// the value.
type Queue[T any] struct {
	c chan T
}

// NewQueue returns an empty queue for n values.
func NewQueue[T any](n int) *Queue[T] { return &Queue[T]{c: make(chan T, n)} }

// Offer adds v without blocking; it returns false when the queue is full.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		return false
	}
}

// Out returns the channel from which the values are received, in order.
func (q *Queue[T]) Out() <-chan T { return q.c }

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.c) }
