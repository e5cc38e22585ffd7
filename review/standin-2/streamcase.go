package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamCase has clients read streams whose events are longer than 4 KiB, and lets one of six runners crash
// while it sends some of them. Without trouble, no runner crashes.
func streamCase(root, dir, tmp string, trouble bool) int {
	rec := newRecord(filepath.Join(dir, "record.txt"))
	const gatewayIP = "127.32.1.1"
	front, ready, control := freePort([]string{gatewayIP}), freePort([]string{gatewayIP}), freePort([]string{gatewayIP})
	sidePort := freePort([]string{gatewayIP})
	storeAt := fmt.Sprintf("127.32.8.1:%d", freePort([]string{"127.32.8.1"}))
	s := newStore()
	serve(storeAt, s)
	var mu sync.Mutex
	crashed := false
	var crashAfter time.Time
	for k := range 6 {
		ip := fmt.Sprintf("127.32.7.%d", k+1)
		r := &runner{id: fmt.Sprintf("i-%04d", k), address: fmt.Sprintf("%s:%d", ip, freePort([]string{ip})), rec: rec, events: streamEvents, pause: 25 * time.Millisecond, dataBytes: 5000}
		r.onEvent = func(r *runner, attempt string, n int) {
			mu.Lock()
			begin := trouble && !crashed && n == 6 && time.Now().After(crashAfter)
			crashed = crashed || begin
			mu.Unlock()
			if begin {
				time.Sleep(20 * time.Millisecond) // What was sent has arrived.
				r.crash()
			}
		}
		r.start()
		s.put("servers/"+r.id, map[string]any{"service": "model", "address": r.address, "zone": "osu", "version": "v1", "slots": 12, "state": "ready",
			"cold-remaining-ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 4})
	}
	s.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-1", "host": "a.example", "path-prefix": "/m/", "kind": "streaming", "timeout-ms": 8000, "target-latency-ms": 500,
			"priority": 1, "service": "model", "max-attempts": 2, "public": false, "session-affinity": true, "stream-resumption": true, "gap_aim_ms": 120}},
		"services": []any{map[string]any{"name": "model", "health-check-path": "/health", "connection-limit": 348, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api-keys": []string{"k1"}, "priority": 1}},
	})
	at := func(port int) string { return fmt.Sprintf("%s:%d", gatewayIP, port) }
	start(root, tmp, "front-osu-1", "deploy/gateway.ini.tmpl", map[string]string{
		"node-name": "front-osu-1", "zone": "osu", "limits.memory-mb": "284", "bootstrap": "true", "listen-addresses.front": at(front),
		"listen-addresses.ready": at(ready), "listen-addresses.control": at(control), "ip-address": gatewayIP, "internal-port-range.0": fmt.Sprint(sidePort),
		"platform.address": storeAt, "seed-nodes": at(control), "bounds.revocation-ms": "5000", "bounds.configuration-ms": "2000", "bounds.grace-period-s": "8",
		"bounds.retry-budget-ratio": "0.2", "bounds.budget-window-s": "10", "bounds.retry-budget-slack": "90", "bounds.fencing-enforced": "true",
	})
	defer endAll()
	if !awaitReady("http://"+at(ready)+"/readiness", 10*time.Second) {
		rec.add("the gateway doesn't become ready")
		return 2
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	crashAfter = time.Now().Add(6 * time.Second)
	mu.Unlock()
	broken, complete, total := 0, 0, 0
	var wg sync.WaitGroup
	until := time.Now().Add(12 * time.Second)
	for k := range 8 {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("9c41d07be2a3%02d%04d", k, n)
				fault, whole := readStream("http://"+at(front)+"/m/2f", id, rec, streamEvents)
				mu.Lock()
				total++
				if fault != "" {
					broken++
					rec.add("ORDER broken: %s: %s", id, fault)
				}
				if whole {
					complete++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	rec.add("%d streams, %d complete, %d with the rule broken", total, complete, broken)
	switch {
	case broken > 0:
		return 1
	case complete == 0:
		return 2
	}
	return 0
}

// streamEvents is the number of events of a stream. All of them come within 0.3 s, so that no stream counts as slow.
const streamEvents = 12

func awaitReady(url string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// readStream reads a stream and returns how it breaks the rule ORDER, "" if it doesn't: a piece is missing or
// comes twice, or the stream ends as complete before its last piece. A connection that breaks is no fault.
func readStream(url, id string, rec *record, events int) (fault string, whole bool) {
	q, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("p", 700)))
	if err != nil {
		return "", false
	}
	q.Host = "a.example"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Model", "m")
	q.Header.Set("Token-Counts", "700,96")
	q.Header.Set("Prompt-Prefix", "5c1e07a2:40,"+id[8:]+":660")
	q.Header.Set("Deadline-Remaining-Ms", "8000")
	q.Header.Set("Authorization", "Bearer k1")
	rec.add("client sends %s", id)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		rec.add("client %s: no answer: %v", id, err)
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	var ids []string
	defer func() { rec.add("client %s: status %d, events %s", id, resp.StatusCode, strings.Join(ids, " ")) }()
	if resp.StatusCode != http.StatusOK {
		return "", false
	}
	br := bufio.NewReaderSize(resp.Body, 1<<16)
	want := 1
	for {
		line, err := br.ReadString('\n')
		if errors.Is(err, io.EOF) {
			if fault == "" && want <= events {
				fault = fmt.Sprintf("it ends as complete before event %d", want)
			}
			return fault, fault == ""
		}
		if err != nil {
			rec.add("client %s: cut: %v", id, err)
			return fault, false
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(data, " ")
		_, number, _ := strings.Cut(name, "/")
		n, _ := strconv.Atoi(number)
		ids = append(ids, number)
		if n != want && fault == "" {
			fault = fmt.Sprintf("event %d comes where event %d is due", n, want)
		}
		want = n + 1
	}
}
