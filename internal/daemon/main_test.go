// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Guards against a SIGHUP that ends a process, or counts as a signal to stop.
func TestOnlySignalsToStopBeginAPlannedStop(t *testing.T) {
	for _, tc := range []struct {
		name    string
		signals []os.Signal
		leaves  int
		ends    bool
	}{
		{"SIGHUP", []os.Signal{syscall.SIGHUP, syscall.SIGHUP}, 0, false},
		{"SIGTERM", []os.Signal{syscall.SIGTERM}, 1, false},
		{"SIGTERM between two of SIGHUP", []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}, 1, false},
		{"SIGTERM twice", []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, 1, true},
		{"SIGTERM, then SIGINT", []os.Signal{syscall.SIGTERM, syscall.SIGINT}, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			caught := make(chan os.Signal)
			leaves := 0
			var group errgroup.Group
			group.Go(func() error { return obey(ctx, caught, zap.NewNop(), func(string) { leaves++ }) })
			for _, s := range tc.signals {
				caught <- s
			}
			if !tc.ends {
				cancel()
			}
			g.Expect(group.Wait() != nil).To(Equal(tc.ends))
			g.Expect(leaves).To(Equal(tc.leaves))
		})
	}
}
