// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package asynclog

import (
	"context"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// BenchmarkLog measures the time that logging a line takes the caller, with one warning in ten lines.
func BenchmarkLog(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	log, l, err := New(out, "info", 1<<30)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return l.Run(ctx) })
	b.ResetTimer()
	for i := range b.N {
		if i%10 == 0 {
			log.Warn("failed", zap.Int("n", i))
		} else {
			log.Info("served", zap.Int("n", i))
		}
		if i%100 == 99 {
			b.StopTimer()
			time.Sleep(time.Millisecond) // The pause after the lines of some requests.
			b.StartTimer()
		}
	}
	b.StopTimer()
	cancel()
	_ = group.Wait()
}
