// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import "time"

const (
	// windowParts is the number of parts into which a window is divided.
	windowParts = 20
	// storedParts is one more than windowParts, because the newest part is incomplete and
	// everything as old as a window still counts.
	storedParts = windowParts + 1
)

// Window limits retries to a fraction of the requests in a sliding window. Every
// process has one per service: as each keeps to the share of its own requests, all
// together keep to the share of all requests without communication.
//
// The number of retries allowed is not an integer, and its fraction is rounded up or
// down at random, once per window: each of hundreds of processes may be allowed less
// than one retry, while all together are allowed hundreds. If two draws fall into one
// window, less than twice the number is allowed.
type Window struct {
	partLength time.Duration
	share      float64
	floor      float64 // Retries per window that are allowed without requests.
	newest     int64   // Number of the newest part.
	requests   [storedParts]int
	retries    [storedParts]int
	denied     [storedParts]int
	rounding   float64 // Random number in [0, 1), added before the fraction is cut off.
	roundingAt int64   // Number of the part in which rounding was drawn; 0 before the first draw.
}

// NewWindow returns an empty window of the given length. It allows retries for the
// fraction share of the requests, plus floor retries.
func NewWindow(length time.Duration, share, floor float64) *Window {
	return &Window{partLength: max(length/windowParts, 1), share: share, floor: floor}
}

// advance makes the part that contains now the newest one, and clears all parts that
// have begun since. It does nothing if now is in an earlier part.
func (w *Window) advance(now time.Time) {
	n := now.UnixNano() / int64(w.partLength)
	for range min(n-w.newest, storedParts) {
		w.newest++
		i := w.newest % storedParts
		w.requests[i], w.retries[i], w.denied[i] = 0, 0, 0
	}
	w.newest = max(w.newest, n)
}

// RecordRequest counts a request.
func (w *Window) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.newest%storedParts]++
}

// SetFloor changes the number of retries per window that are allowed without requests.
func (w *Window) SetFloor(floor float64) { w.floor = floor }

// Take spends one retry; it reports false when the window has none left. The function
// random returns a number in [0, 1).
func (w *Window) Take(now time.Time, random func() float64) bool {
	w.advance(now)
	if w.roundingAt == 0 || w.newest-w.roundingAt >= windowParts {
		w.rounding, w.roundingAt = random(), w.newest
	}
	u := w.Usage(now)
	if float64(u.Retries+1) > u.Allowed+w.rounding {
		w.denied[w.newest%storedParts]++
		return false
	}
	w.retries[w.newest%storedParts]++
	return true
}

// Usage is what happened in the window, and what it allows.
type Usage struct {
	Requests int     `json:"requests"`
	Retries  int     `json:"retries"`
	Denied   int     `json:"denied"`
	Allowed  float64 `json:"allowed"` // Retries that the window may hold.
	Floor    float64 `json:"floor"`   // The portion of Allowed that needs no requests.
}

// Report describes the retry budget of a service at one process.
type Report struct {
	Service string `json:"service"`
	Usage
	Gateways  int     `json:"gateways"` // Gateways among which the floor is divided, this one included.
	AgeS      float64 `json:"age_s"`    // Age of the process, in seconds.
	Exhausted bool    `json:"exhausted"`
}

// Usage returns the usage of the window.
func (w *Window) Usage(now time.Time) (u Usage) {
	w.advance(now)
	for i := range storedParts {
		u.Requests += w.requests[i]
		u.Retries += w.retries[i]
		u.Denied += w.denied[i]
	}
	u.Floor, u.Allowed = w.floor, w.share*float64(u.Requests)+w.floor
	return u
}
