// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import "time"

const (
	// windowParts is into how many parts a window is cut.
	windowParts = 20
	// keptParts is one more: the newest part has only begun, and whatever is as old as a
	// window still counts.
	keptParts = windowParts + 1
)

// Window allows a share of the requests of a sliding window as repeats. Every
// process holds one a service: since each keeps to the share of its own
// requests, all together keep to the share of all, without a word between them.
//
// The fraction of a repeat that is left over is allowed by chance, one draw a window: of
// hundreds of processes each may have less than one, and all of them together have
// hundreds. Where two draws fall into one window they allow less than twice as much.
type Window struct {
	part     time.Duration
	share    float64
	spare    float64 // Repeats that need no request, a window.
	at       int64   // Number of the newest part.
	requests [keptParts]int
	repeats  [keptParts]int
	round    float64 // Added before the fraction is cut off; 0 up to 1.
	drawnAt  int64   // Part in which it was drawn.
}

// NewWindow returns an empty window.
func NewWindow(length time.Duration, share, spare float64) *Window {
	return &Window{part: max(length/windowParts, 1), share: share, spare: spare}
}

func (w *Window) advance(now time.Time) {
	n := now.UnixNano() / int64(w.part)
	for range min(n-w.at, keptParts) {
		w.at++
		w.requests[w.at%keptParts], w.repeats[w.at%keptParts] = 0, 0
	}
	w.at = max(w.at, n)
}

// RecordRequest counts a request.
func (w *Window) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.at%keptParts]++
}

// SetFloor changes the repeats that need no request.
func (w *Window) SetFloor(spare float64) { w.spare = spare }

// Take spends one repeat; it reports false when the window has none left. Random returns a
// number from 0 up to 1.
func (w *Window) Take(now time.Time, random func() float64) bool {
	w.advance(now)
	if w.drawnAt == 0 || w.at-w.drawnAt >= windowParts {
		w.round, w.drawnAt = random(), w.at
	}
	requests, repeats := 0, 0
	for i := range keptParts {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if float64(repeats+1) > w.share*float64(requests)+w.spare+w.round {
		return false
	}
	w.repeats[w.at%keptParts]++
	return true
}
