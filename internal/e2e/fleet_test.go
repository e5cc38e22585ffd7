// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package e2e

import (
	"fmt"
	"os/exec"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// BenchmarkFleet starts fleets of several sizes of real daemons, and reports for each size what the
// daemons cost while idle, how fast they adopt a generation, and how many calls the configuration
// service gets.
func BenchmarkFleet(b *testing.B) {
	for _, entries := range []int{2, 4, 8, 16} { // Entries in each failure domain; there are four agents for two entries.
		size := example.Size{Domains: 4, EntriesPerDomain: entries, RanksPerDomain: 1, ServicesPerDomain: 2*entries - 1, Customers: 10}
		n := size.Domains * (size.EntriesPerDomain + size.RanksPerDomain + size.ServicesPerDomain)
		b.Run(fmt.Sprint("processes=", n), func(b *testing.B) { benchFleet(b, size) })
	}
}

// observationTime is how long the idle fleet is measured.
const observationTime = 10 * time.Second

func benchFleet(b *testing.B, size example.Size) {
	gomega.RegisterTestingT(b)
	g := gomega.NewWithT(b)
	buildOnce()
	layout, err := example.New(example.Archive, size, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	layout.GossipInterval = time.Second
	s := &site{Site: layout, dir: b.TempDir(), procs: map[string]*exec.Cmd{}}
	b.Cleanup(s.stopAll)
	start := time.Now()
	s.boot()
	started, startCalls := time.Since(start), s.count(standin.PathCalls)
	all := s.all()
	for b.Loop() {
		calls := s.count(standin.PathCalls)
		cpu, bytes := map[string]time.Duration{}, map[string]float64{}
		for _, p := range all {
			cpu[p.Name], bytes[p.Name] = cpuTime(s.procs[p.Name].Process.Pid), s.peerBytes(p)
		}
		time.Sleep(observationTime)
		memory, used, sent := 0, time.Duration(0), 0.0
		for _, p := range all {
			memory = max(memory, residentKB(s.procs[p.Name].Process.Pid))
			used += cpuTime(s.procs[p.Name].Process.Pid) - cpu[p.Name]
			sent += s.peerBytes(p) - bytes[p.Name]
		}
		processSeconds := observationTime.Seconds() * float64(len(all))
		b.ReportMetric(float64(memory)/1024, "MB-largest")
		b.ReportMetric(100*used.Seconds()/processSeconds, "%core/process")
		b.ReportMetric(sent/processSeconds, "payload-B/s/process")
		b.ReportMetric(float64(s.count(standin.PathCalls)-calls)/observationTime.Seconds(), "service-calls/s")
		b.ReportMetric(started.Seconds(), "start-s")
		b.ReportMetric(float64(startCalls), "start-calls")
		s.reportAdoption(b, g, all)
	}
}

// reportAdoption publishes a generation and reports how long the processes took to adopt it, as
// recorded in their audit trails.
func (s *site) reportAdoption(b *testing.B, g *gomega.WithT, all []example.Process) {
	publishedAt := time.Now()
	s.publish(2, s.Published())
	var times []time.Duration
	for _, p := range all {
		g.Eventually(func() uint64 { return s.status(p).Version.Generation }, waitTimeout, "10ms").Should(gomega.BeEquivalentTo(2))
		var report node.AuditReport
		g.Expect(getJSON(p.OperatorAddress, node.PathAudit, &report)).To(gomega.Succeed())
		for _, r := range report.Records {
			if r.Kind == "config-adopted" && r.At.After(publishedAt) {
				times = append(times, r.At.Sub(publishedAt))
			}
		}
	}
	slices.Sort(times)
	b.ReportMetric(float64(len(times)), "adopted")
	b.ReportMetric(float64(quantile(times, 0.5).Microseconds())/1000, "in-force-p50-ms")
	b.ReportMetric(float64(quantile(times, 0.99).Microseconds())/1000, "in-force-p99-ms")
	b.ReportMetric(float64(quantile(times, 1).Microseconds())/1000, "in-force-all-ms")
}

// count reads a number from the stand-ins' control endpoint.
func (s *site) count(path string) (n int) {
	_ = getJSON(s.ControlAddress, path, &n) // n stays 0 on an error.
	return n
}

// peerBytes returns the payload that a process has exchanged with the peers it called, in bytes.
func (s *site) peerBytes(p example.Process) float64 {
	var m map[string]struct{ Count float64 }
	_ = getJSON(p.OperatorAddress, node.PathMetrics, &m) // The counts stay 0 on an error.
	return m["peer.bytes-out"].Count + m["peer.bytes-in"].Count
}
