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

// idleCounts are the numbers of idle connections; both ends of each are in this process.
var idleCounts = []int{0, 1_000, 9_500, 10_000}

// benchIdle is for how long connections are kept while they end; they become idle in less.
const benchIdle = 2 * time.Second

// fits skips a benchmark for which the process may not open enough files.
func fits(b *testing.B, connections int) {
	var may unix.Rlimit
	NewWithT(b).Expect(unix.Getrlimit(unix.RLIMIT_NOFILE, &may)).To(Succeed())
	if need := uint64(2*connections + 100); may.Cur < need {
		b.Skipf("%d connections need %d open files, and the process may have %d", connections, need, may.Cur)
	}
}

// askAll has each of some callers send a request, a few at once.
func askAll(b *testing.B, list []*caller) {
	var group errgroup.Group
	group.SetLimit(8)
	for _, c := range list {
		group.Go(func() error {
			if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
				return err
			}
			_, err := c.ask()
			return err
		})
	}
	NewWithT(b).Expect(group.Wait()).To(Succeed())
}

// benchSite is a site with so many callers whose connections rest, and one more.
func benchSite(b *testing.B, n int) (s *site, list []*caller, one *caller) {
	fits(b, n)
	cfg := defaults()
	cfg.IdleTimeout, cfg.PropagationDelay = time.Minute, time.Millisecond
	s = newSite(b, cfg)
	for i := range n {
		list = append(list, s.dial(b, fmt.Sprint("c", i)))
	}
	askAll(b, list)
	return s, list, s.dial(b, "one")
}

// BenchmarkRequestBesideIdle times a request on one connection while others are idle.
func BenchmarkRequestBesideIdle(b *testing.B) {
	for _, n := range idleCounts {
		b.Run(fmt.Sprint("idle=", n), func(b *testing.B) {
			_, _, one := benchSite(b, n)
			g := NewWithT(b)
			g.Expect(one.SetDeadline(time.Time{})).To(Succeed())
			var worst time.Duration
			for b.Loop() {
				began := time.Now()
				_, err := one.ask()
				g.Expect(err).NotTo(HaveOccurred())
				worst = max(worst, time.Since(began))
			}
			b.ReportMetric(float64(worst.Microseconds()), "worst-us")
		})
	}
}

// BenchmarkEndOfIdle times how late the last of many connections ends that become idle
// together, and the slowest request on another one meanwhile.
func BenchmarkEndOfIdle(b *testing.B) {
	for _, n := range idleCounts[1:] {
		b.Run(fmt.Sprint("idle=", n), func(b *testing.B) {
			var late, worst time.Duration
			for range b.N {
				b.StopTimer()
				s, list, one := benchSite(b, n)
				g := NewWithT(b)
				s.Publish(1, benchIdle, time.Now())
				time.Sleep(10 * time.Millisecond)
				askAll(b, list)
				due := time.Now().Add(benchIdle + transitMargin)
				g.Expect(one.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
				b.StartTimer()
				for s.OpenConns() > 1 {
					began := time.Now()
					_, err := one.ask()
					g.Expect(err).NotTo(HaveOccurred())
					worst = max(worst, time.Since(began))
				}
				late = max(late, time.Since(due))
				b.StopTimer()
				for _, c := range append(list, one) {
					g.Expect(c.Close()).To(Succeed())
				}
				g.Eventually(s.OpenConns, enough).Should(BeZero())
				b.StartTimer()
			}
			b.ReportMetric(float64(late.Microseconds())/1000, "late-ms")
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
		})
	}
}
