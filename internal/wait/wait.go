// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package wait provides waits that end early when a context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx is done. It reports whether d has elapsed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f in intervals of d until ctx is done. It is the loop of a periodic duty.
func Every(ctx context.Context, d time.Duration, f func()) error {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}
