// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package ring holds the bounded containers that join goroutines. None of them
// grows: each says what it does when it is full.
package ring

import "sync"

// Buffer keeps the newest values; when it is full, the oldest is dropped and
// counted.
type Buffer[T any] struct {
	mu      sync.Mutex
	buf     []T // Invariant: len(buf) <= cap(buf), which never changes.
	next    int // Place of the next value once buf is full.
	dropped uint64
}

// NewBuffer returns a ring for n values.
func NewBuffer[T any](n int) *Buffer[T] { return &Buffer[T]{buf: make([]T, 0, n)} }

// Add puts v in, over the oldest value when the ring is full.
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

// All returns the values, oldest first, and the number dropped.
func (r *Buffer[T]) All() (values []T, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	values = make([]T, 0, len(r.buf))
	values = append(values, r.buf[r.next:]...)
	return append(values, r.buf[:r.next]...), r.dropped
}

// Queue hands values from one goroutine to another; when it is full, Offer
// refuses the value.
type Queue[T any] struct {
	c chan T
}

// NewQueue returns a queue for n values.
func NewQueue[T any](n int) *Queue[T] { return &Queue[T]{c: make(chan T, n)} }

// Offer puts v in; it reports false when the queue is full.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		return false
	}
}

// Out is where the values come out, in order.
func (q *Queue[T]) Out() <-chan T { return q.c }

// Len returns the number of values that wait.
func (q *Queue[T]) Len() int { return len(q.c) }
