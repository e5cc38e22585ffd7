// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package asynclog

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

func TestExcessLinesAreDroppedAndCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, l, err := New(&out, "info", 3)
	g.Expect(err).NotTo(HaveOccurred())
	// Lines are counted per wall-clock second, so they may fall into two seconds.
	for range 100 {
		log.Info("request", zap.String("outcome", "served"))
	}
	log.Info("stop")
	for range 5 {
		log.Warn("failed")
	}
	log.Debug("below the level")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(l.Run(ctx)).To(Succeed())
	served, failed := strings.Count(out.String(), "served"), strings.Count(out.String(), "failed")
	g.Expect(served).To(BeNumerically("<=", 6))
	g.Expect(out.String()).To(ContainSubstring("stop"), "lines on requests do not crowd out others")
	g.Expect(failed).To(Equal(5), "no warning is dropped in favour of lines on requests")
	g.Expect(l.Dropped()).To(Equal(int64(100 - served)))
	g.Expect(out.String()).NotTo(ContainSubstring("below"))
}

// Guards against losing the last lines of a process because lines of another class fill the queue.
func TestClassesOfLinesHaveSeparateCapacities(t *testing.T) {
	writers := []func(log *zap.Logger){
		func(log *zap.Logger) { log.Info("request") },
		func(log *zap.Logger) { log.Warn("request") },
		func(log *zap.Logger) { log.Info("audit") },
		func(log *zap.Logger) { log.Info("stop") },
		func(log *zap.Logger) { log.Warn("process ending with open connections") },
		func(log *zap.Logger) { log.Error("panic") },
	}
	for i := range writers {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			g := NewWithT(t)
			log, l, err := New(&bytes.Buffer{}, "info", 1<<30)
			g.Expect(err).NotTo(HaveOccurred())
			for range 2 * maxQueuedPerClass {
				writers[i](log) // Run is not started, and the call does not block.
			}
			full := l.queue.Len()
			g.Expect(full).To(BeNumerically("<=", maxQueuedPerClass))
			for n, write := range writers {
				if n != i {
					write(log)
				}
			}
			g.Expect(l.queue.Len()).To(Equal(full + len(writers) - 1))
			g.Expect(l.Dropped()).To(BeEquivalentTo(2*maxQueuedPerClass - full))
		})
	}
}

// Guards against a shutdown that writes only one batch and loses the remaining lines without counting them.
func TestQueuedLinesAreWrittenAtShutdown(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, l, err := New(&out, "info", 1)
	g.Expect(err).NotTo(HaveOccurred())
	for range maxQueuedPerClass {
		log.Info("audit", zap.String("cause", strings.Repeat("x", 500)))
	}
	log.Info("stop")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(l.Run(ctx)).To(Succeed())
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(maxQueuedPerClass+1), "the audit trail is not sampled")
	g.Expect(out.String()).To(ContainSubstring(`"stop"`))
	g.Expect(l.Dropped()).To(BeZero())
}

func TestInvalidLevel(t *testing.T) {
	_, _, err := New(&bytes.Buffer{}, "loud", 1)
	NewWithT(t).Expect(err).To(HaveOccurred())
}

// Guards against losing the last warnings of a process that is killed.
func TestWarningIsWrittenImmediately(t *testing.T) {
	g := NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	log, l, err := New(w, "info", 10)
	g.Expect(err).NotTo(HaveOccurred())
	l.flushInterval = time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return l.Run(ctx) })
	log.Info("served")
	log.Warn("failed")
	lines := bufio.NewScanner(r)
	for _, text := range []string{"served", "failed"} {
		g.Expect(lines.Scan()).To(BeTrue())
		g.Expect(lines.Text()).To(ContainSubstring(text))
	}
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}
