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

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// processor returns the processor time of a process so far.
func processor(pid int) time.Duration {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// resident returns the resident memory of a process, in KB.
func resident(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// burst runs n streams at once and returns the times to their first tokens and
// the tokens read. live is called when all have their first token.
func burst(n int, request func(i int) *http.Request, live func()) (first []time.Duration, tokens int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	defer c.CloseIdleConnections()
	var mu sync.Mutex
	var all, begun sync.WaitGroup
	begun.Add(n)
	for i := range n {
		time.Sleep(time.Millisecond)
		all.Go(func() {
			start := time.Now()
			resp, err := c.Do(request(i))
			if err != nil {
				begun.Done()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			lines := bufio.NewScanner(resp.Body)
			mine, at := 0, time.Duration(0)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "data: ") {
					if mine == 0 {
						at = time.Since(start)
						begun.Done()
					}
					mine++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			first, tokens = append(first, at), tokens+mine
		})
	}
	begun.Wait()
	live()
	all.Wait()
	return first, tokens
}

// BenchmarkRelay sends streams straight to the engine and through an entry and
// an agent, in separate processes, and reports what the way through adds.
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{200, 1000} {
		b.Run(fmt.Sprint("streams=", streams), func(b *testing.B) { relay(b, streams) })
	}
}

func relay(b *testing.B, streams int) {
	const tokens = 200
	gomega.RegisterTestingT(b)
	s := benchSite(b)
	agent, entry := s.Agents[0], s.Entries[0]
	direct := func(i int) *http.Request {
		body := fmt.Sprintf(`{"id":"d%d","prompt":"user: x%d\n","max_tokens":%d}`, i, i, tokens)
		r, _ := http.NewRequest(http.MethodPost, "http://"+agent.BackendAddress+"/v1/generate", strings.NewReader(body))
		return r
	}
	through := func(i int) *http.Request {
		body := fmt.Sprintf(`{"model":"plates","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"y%d"}]}`, tokens, i)
		r, _ := http.NewRequest(http.MethodPost, "http://"+entry.CallerAddress+"/v1/chat/completions", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+s.Customers[0].Key)
		return r
	}
	agentPID, entryPID := s.procs[agent.Name].Process.Pid, s.procs[entry.Name].Process.Pid
	for b.Loop() {
		straight, _ := burst(streams, direct, func() {})
		idle := [2]int{resident(agentPID), resident(entryPID)}
		var busy [2]int
		cpu := [2]time.Duration{processor(agentPID), processor(entryPID)}
		relayed, n := burst(streams, through, func() { busy = [2]int{resident(agentPID), resident(entryPID)} })
		n -= 2 * streams // The outcome and [DONE].
		for i, name := range []string{"agent", "entry"} {
			used := processor([2]int{agentPID, entryPID}[i]) - cpu[i]
			b.ReportMetric(float64(used.Microseconds())/float64(n), name+"-us/token")
			b.ReportMetric(float64(busy[i]-idle[i])/float64(streams), name+"-KB/stream")
		}
		b.ReportMetric(float64(len(relayed)), "streams")
		b.ReportMetric(float64(n)/float64(streams*tokens), "whole")
		added := quantile(relayed, 0.99) - quantile(straight, 0.99)
		b.ReportMetric(float64(quantile(straight, 0.99).Microseconds())/1000, "direct-p99-ms")
		b.ReportMetric(float64(added.Microseconds())/1000, "added-p99-ms")
		b.ReportMetric(float64((quantile(relayed, 0.5)-quantile(straight, 0.5)).Microseconds())/1000, "added-p50-ms")
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// benchSite starts a small site with room for many streams.
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
