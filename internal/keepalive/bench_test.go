// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// idleCounts are the numbers of idle connections; both sides of each are in this process.
var idleCounts = []int{0, 1_000, 9_500, 10_000}

// benchIdle is the idle timeout in the benchmark of closing; all connections become idle in less time.
const benchIdle = 2 * time.Second

// skipUnlessFilesSuffice skips a benchmark that needs more open files than the process may have.
func skipUnlessFilesSuffice(b *testing.B, connections int) {
	var limit unix.Rlimit
	NewWithT(b).Expect(unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)).To(Succeed())
	if need := uint64(2*connections + 100); limit.Cur < need {
		b.Skipf("%d connections need %d open files, and the process may have %d", connections, need, limit.Cur)
	}
}

// requestAll sends a request from each caller, at most 8 at once.
func requestAll(b *testing.B, list []*caller) {
	var group errgroup.Group
	group.SetLimit(8)
	for _, c := range list {
		group.Go(func() error {
			if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
				return err
			}
			_, err := c.roundTrip()
			return err
		})
	}
	NewWithT(b).Expect(group.Wait()).To(Succeed())
}

// newBenchServer returns a server, n callers with idle connections, and one more caller.
func newBenchServer(b *testing.B, n int) (s *host, list []*caller, one *caller) {
	skipUnlessFilesSuffice(b, n)
	cfg := defaultConfig()
	cfg.IdleTimeout, cfg.PropagationDelay = time.Minute, time.Millisecond
	s = newTestServer(b, cfg)
	for i := range n {
		list = append(list, s.dial(b, fmt.Sprint("c", i)))
	}
	requestAll(b, list)
	return s, list, s.dial(b, "one")
}

// BenchmarkRequestBesideIdle times a request on one connection while others are idle.
func BenchmarkRequestBesideIdle(b *testing.B) {
	for _, n := range idleCounts {
		b.Run(fmt.Sprint("idle=", n), func(b *testing.B) {
			_, _, one := newBenchServer(b, n)
			g := NewWithT(b)
			g.Expect(one.SetDeadline(time.Time{})).To(Succeed())
			var worst time.Duration
			for b.Loop() {
				began := time.Now()
				_, err := one.roundTrip()
				g.Expect(err).NotTo(HaveOccurred())
				worst = max(worst, time.Since(began))
			}
			b.ReportMetric(float64(worst.Microseconds()), "worst-us")
		})
	}
}

// BenchmarkEndOfIdle measures how late the last of many connections closes that become idle
// together, and the slowest request on another connection meanwhile.
func BenchmarkEndOfIdle(b *testing.B) {
	for _, n := range idleCounts[1:] {
		b.Run(fmt.Sprint("idle=", n), func(b *testing.B) {
			var late, worst time.Duration
			for range b.N {
				b.StopTimer()
				s, list, one := newBenchServer(b, n)
				g := NewWithT(b)
				s.Publish(1, benchIdle, time.Now())
				time.Sleep(10 * time.Millisecond)
				requestAll(b, list)
				due := time.Now().Add(benchIdle + transitMargin)
				g.Expect(one.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
				b.StartTimer()
				for s.OpenConns() > 1 {
					began := time.Now()
					_, err := one.roundTrip()
					g.Expect(err).NotTo(HaveOccurred())
					worst = max(worst, time.Since(began))
				}
				late = max(late, time.Since(due))
				b.StopTimer()
				for _, c := range append(list, one) {
					g.Expect(c.Close()).To(Succeed())
				}
				g.Eventually(s.OpenConns, testTimeout).Should(BeZero())
				b.StartTimer()
			}
			b.ReportMetric(float64(late.Microseconds())/1000, "late-ms")
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
		})
	}
}
