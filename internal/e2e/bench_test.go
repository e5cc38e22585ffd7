// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/example"
)

// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat.
const ticksPerSecond = 100

// cpuTime returns the processor time that a process has used so far.
func cpuTime(pid int) time.Duration {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// residentKB returns the resident memory of a process in KB; 0 when unknown.
func residentKB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// burst runs n concurrent streams, and returns the times to their first tokens and the number of
// tokens read. allStarted is called when all streams have their first token.
func burst(n int, request func(i int) *http.Request, allStarted func()) (first []time.Duration, tokens int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	defer c.CloseIdleConnections()
	var mu sync.Mutex
	var all, started sync.WaitGroup
	started.Add(n)
	for i := range n {
		time.Sleep(time.Millisecond)
		all.Go(func() {
			start := time.Now()
			resp, err := c.Do(request(i))
			if err != nil {
				started.Done()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			lines := bufio.NewScanner(resp.Body)
			received, firstToken := 0, time.Duration(0)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "data: ") {
					if received == 0 {
						firstToken = time.Since(start)
						started.Done()
					}
					received++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			first, tokens = append(first, firstToken), tokens+received
		})
	}
	started.Wait()
	allStarted()
	all.Wait()
	return first, tokens
}

// BenchmarkRelay sends streams directly to the engine, and through an entry and an agent in separate
// processes, and reports the resources and latency that relaying costs.
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{200, 1000} {
		b.Run(fmt.Sprint("streams=", streams), func(b *testing.B) { benchRelay(b, streams) })
	}
}

func benchRelay(b *testing.B, streams int) {
	const tokens = 200
	gomega.RegisterTestingT(b)
	s := benchSite(b)
	agent, entry := s.Agents[0], s.Entries[0]
	directRequest := func(i int) *http.Request {
		body := fmt.Sprintf(`{"id":"d%d","prompt":"user: x%d\n","max_tokens":%d}`, i, i, tokens)
		r, _ := http.NewRequest(http.MethodPost, "http://"+agent.BackendAddress+"/v1/generate", strings.NewReader(body))
		return r
	}
	relayedRequest := func(i int) *http.Request {
		body := fmt.Sprintf(`{"model":"plates","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"y%d"}]}`, tokens, i)
		r, _ := http.NewRequest(http.MethodPost, "http://"+entry.CallerAddress+"/v1/chat/completions", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+s.Customers[0].Key)
		return r
	}
	agentPID, entryPID := s.procs[agent.Name].Process.Pid, s.procs[entry.Name].Process.Pid
	for b.Loop() {
		directTimes, _ := burst(streams, directRequest, func() {})
		idle := [2]int{residentKB(agentPID), residentKB(entryPID)}
		var loaded [2]int
		cpu := [2]time.Duration{cpuTime(agentPID), cpuTime(entryPID)}
		relayedTimes, n := burst(streams, relayedRequest, func() { loaded = [2]int{residentKB(agentPID), residentKB(entryPID)} })
		n -= 2 * streams // Each relayed stream ends with two more events: the outcome and [DONE].
		for i, name := range []string{"agent", "entry"} {
			used := cpuTime([2]int{agentPID, entryPID}[i]) - cpu[i]
			b.ReportMetric(float64(used.Microseconds())/float64(n), name+"-us/token")
			b.ReportMetric(float64(loaded[i]-idle[i])/float64(streams), name+"-KB/stream")
		}
		b.ReportMetric(float64(len(relayedTimes)), "streams")
		b.ReportMetric(float64(n)/float64(streams*tokens), "whole")
		added := quantile(relayedTimes, 0.99) - quantile(directTimes, 0.99)
		b.ReportMetric(float64(quantile(directTimes, 0.99).Microseconds())/1000, "direct-p99-ms")
		b.ReportMetric(float64(added.Microseconds())/1000, "added-p99-ms")
		b.ReportMetric(float64((quantile(relayedTimes, 0.5)-quantile(directTimes, 0.5)).Microseconds())/1000, "added-p50-ms")
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// benchSite starts a small site with the capacity for many streams.
func benchSite(b *testing.B) *site {
	g := gomega.NewWithT(b)
	buildOnce()
	layout, err := example.New(example.Archive, example.MinimalSize, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	layout.MaxConcurrency = 2000
	layout.Customers[0].Rate = 100000
	s := &site{Site: layout, dir: b.TempDir(), procs: map[string]*exec.Cmd{}}
	b.Cleanup(s.stopAll)
	s.boot()
	return s
}

// buildOnce builds the programs if no test has done so.
func buildOnce() {
	if daemonPath == "" {
		build()
	}
}
