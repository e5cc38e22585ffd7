// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package wait holds waits that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
