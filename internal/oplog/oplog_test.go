// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package oplog

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

func TestTooManyLinesAreLeftOutAndCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, l, err := New(&out, "info", 3)
	g.Expect(err).NotTo(HaveOccurred())
	// The count is by wall-clock second, so lines may fall into two of them.
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
	good, bad := strings.Count(out.String(), "served"), strings.Count(out.String(), "failed")
	g.Expect(good).To(BeNumerically("<=", 6))
	g.Expect(out.String()).To(ContainSubstring("stop"), "requests leave room for the rest")
	g.Expect(bad).To(Equal(5), "failures go before successes")
	g.Expect(l.Dropped()).To(Equal(int64(100 - good)))
	g.Expect(out.String()).NotTo(ContainSubstring("below"))
}

// Guards against a process whose last words are left out in favour of lines on requests or of others.
func TestNoClassOfLinesTakesTheRoomOfAnother(t *testing.T) {
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
			for range 2 * room {
				writers[i](log) // Nobody writes, and nobody waits.
			}
			full := l.lines.Len()
			g.Expect(full).To(BeNumerically("<=", room))
			for n, write := range writers {
				if n != i {
					write(log)
				}
			}
			g.Expect(l.lines.Len()).To(Equal(full + len(writers) - 1))
			g.Expect(l.Dropped()).To(BeEquivalentTo(2*room - full))
		})
	}
}

// Guards against an end whose lines are written up to one batch, and the rest lost without a count.
func TestAllThatWaitsAtTheEndIsWritten(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, l, err := New(&out, "info", 1)
	g.Expect(err).NotTo(HaveOccurred())
	for range room {
		log.Info("audit", zap.String("cause", strings.Repeat("x", 500)))
	}
	log.Info("stop")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(l.Run(ctx)).To(Succeed())
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(room+1), "a trail is not sampled")
	g.Expect(out.String()).To(ContainSubstring(`"stop"`))
	g.Expect(l.Dropped()).To(BeZero())
}

func TestBadLevel(t *testing.T) {
	_, _, err := New(&bytes.Buffer{}, "loud", 1)
	NewWithT(t).Expect(err).To(HaveOccurred())
}

// Guards against a killed process that takes along what it had to say.
func TestAWarningIsWrittenAtOnce(t *testing.T) {
	g := NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	log, l, err := New(w, "info", 10)
	g.Expect(err).NotTo(HaveOccurred())
	l.every = time.Hour
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
