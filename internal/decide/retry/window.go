// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import "time"

// windowParts is into how many parts a window is cut; a count is late by one
// part at most.
const windowParts = 20

// Window allows a share of the requests of a sliding window as repeats. Every
// process holds one a service: since each keeps to the share of its own
// requests, all together keep to the share of all, without a word between them.
type Window struct {
	part     time.Duration
	share    float64
	spare    float64 // Repeats that need no request, a window.
	at       int64   // Number of the newest part.
	requests [windowParts]int
	repeats  [windowParts]int
}

// NewWindow returns an empty window.
func NewWindow(length time.Duration, share, spare float64) *Window {
	return &Window{part: max(length/windowParts, 1), share: share, spare: spare}
}

func (w *Window) advance(now time.Time) {
	n := now.UnixNano() / int64(w.part)
	for range min(n-w.at, windowParts) {
		w.at++
		w.requests[w.at%windowParts], w.repeats[w.at%windowParts] = 0, 0
	}
	w.at = max(w.at, n)
}

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.requests[w.at%windowParts]++
}

// SetSpare changes the repeats that need no request.
func (w *Window) SetSpare(spare float64) { w.spare = spare }

// Take spends one repeat; it reports false when the window has none left.
func (w *Window) Take(now time.Time) bool {
	w.advance(now)
	requests, repeats := 0, 0
	for i := range windowParts {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if float64(repeats+1) > w.share*float64(requests)+w.spare {
		return false
	}
	w.repeats[w.at%windowParts]++
	return true
}
