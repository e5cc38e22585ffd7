// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
)

// testTimeout limits waits; no test depends on how long things take.
const testTimeout = 20 * time.Second

// sendSignals runs handleSignals and sends signals to this process, each after the previous one was
// handled. It counts the resulting stops and immediate ends.
func sendSignals(t *testing.T, list ...syscall.Signal) (stops, ends int32) {
	g := NewWithT(t)
	core, lines := observer.New(zap.InfoLevel)
	caught, cleanup := catchSignals()
	defer cleanup()
	p := &fleetProcess{log: zap.New(core), signalCh: caught}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var stop, end atomic.Int32
	var group errgroup.Group
	group.Go(func() error {
		return p.handleSignals(ctx, func() { stop.Add(1) }, func() { end.Add(1) })
	})
	for i, s := range list {
		g.Eventually(func() int {
			if lines.Len() <= i { // The signal may have been sent before the process handled signals.
				g.Expect(syscall.Kill(os.Getpid(), s)).To(Succeed())
			}
			return lines.Len()
		}, testTimeout, 50*time.Millisecond).Should(BeNumerically(">", i))
	}
	cancel()
	g.Expect(group.Wait()).To(Succeed())
	return stop.Load(), end.Load()
}

func TestAPlannedStopIsNotCutShortByASecondSignal(t *testing.T) {
	for _, tc := range []struct {
		name    string
		signals []syscall.Signal
		ends    int32
	}{
		{"SIGTERM twice", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}, 0},
		{"SIGINT, then SIGTERM", []syscall.Signal{syscall.SIGINT, syscall.SIGTERM}, 0},
		{"SIGTERM, then SIGINT", []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			stops, ends := sendSignals(t, tc.signals...)
			g.Expect(stops).To(BeEquivalentTo(1))
			g.Expect(ends >= 1).To(Equal(tc.ends == 1))
		})
	}
}
