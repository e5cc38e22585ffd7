// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case.
const (
	streamServers = 12
	streamEvents  = 6
	eventPause    = 45 * time.Millisecond // The pass of a group with little load.
	smallPiece    = 65                    // Bytes of an event of the small deployment.
	largePiece    = 6000                  // Bytes of a large event.
	streamsEvery  = 10 * time.Millisecond
	crashes       = 3
	crashedAtOnce = 2 // Of streamServers.
	crashPause    = 5 * time.Second
	downTime      = 4500 * time.Millisecond // Of a runner that has crashed.
	entryTime     = 3600 * time.Millisecond // After three heartbeats of silence the entry goes.
)

// streamServer stands in for a model runner that answers with streams.
type streamServer struct {
	d       *streamCase
	number  int
	id      string
	address string
	srv     *http.Server
}

// streamCase plays streams of small and of large events while runners crash.
type streamCase struct {
	c      *caseRun
	s      *store
	port   int
	fronts []string

	mu       sync.Mutex
	complete map[string]int // Streams that ended as complete, by size of their events.
	broken   map[string]int // Streams in which a piece came twice or is missing.
	cut      map[string]int // Streams that did not end as complete.
	resumed  map[string]int // Runs that went on after an event.
	restarts map[string]int // Runs of a request that had run before, from the beginning.
	runs     map[string]int // By id of the attempt.
}

func runStreamCase(c *caseRun) (broken bool, err error) {
	d := &streamCase{c: c, s: newStore(), complete: map[string]int{}, broken: map[string]int{}, cut: map[string]int{}, resumed: map[string]int{}, restarts: map[string]int{}, runs: map[string]int{}}
	machines := []int{storeMachine}
	for i := range frontMachines {
		machines = append(machines, firstFront+i)
	}
	storePort, err := c.freePort(storeMachine)
	if err != nil {
		return false, err
	}
	storeAddress := fmt.Sprintf("%s:%d", c.ip(storeMachine), storePort)
	if err := serve(storeAddress, d.s); err != nil {
		return false, err
	}
	if d.port, err = c.freePort(machines...); err != nil {
		return false, err
	}
	d.s.put("op/config", streamConfig())
	var servers []*streamServer
	for n := range streamServers {
		r, err := d.startServer(n)
		if err != nil {
			return false, err
		}
		servers = append(servers, r)
	}
	if _, d.fronts, err = startFronts(c, storeAddress, d.port+10); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	go d.sendStreams(stop)
	for i := range crashes {
		time.Sleep(crashPause)
		if c.trouble {
			for _, r := range servers[i*crashedAtOnce : (i+1)*crashedAtOnce] {
				c.record("runner %s crashes", r.id)
				_ = r.srv.Close()
				time.AfterFunc(entryTime, func() { d.s.remove("servers/" + r.id) })
				time.AfterFunc(downTime, func() {
					if _, err := d.startServer(streamServers + r.number); err != nil {
						c.record("runner not started again: %v", err)
					}
				})
			}
		}
	}
	time.Sleep(crashPause)
	close(stop)
	time.Sleep(8 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, size := range []string{"small", "large"} {
		c.record("%s events: %d streams complete and right, %d with pieces twice or missing, %d not complete; runs that went on after an event: %d, that began anew: %d", size, d.complete[size], d.broken[size], d.cut[size], d.resumed[size], d.restarts[size])
	}
	if d.complete["small"] == 0 || d.complete["large"] == 0 {
		return false, errors.New("nothing was served")
	}
	return d.broken["small"]+d.broken["large"] > 0, nil
}

func (d *streamCase) startServer(n int) (*streamServer, error) {
	r := &streamServer{d: d, number: n, id: fmt.Sprintf("i-%04d", n), address: fmt.Sprintf("%s:%d", d.c.ip(firstServer+n), d.port)}
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return nil, err
	}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(l) }() // Until it is closed.
	d.s.put("servers/"+r.id, map[string]any{
		"service": "plate-model", "address": r.address, "zone": zoneOf(n % ranks), "version": "v1",
		"slots": slots, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
	})
	return r, nil
}

// piece returns the text of the event with number n of a stream.
func piece(size string, n int) string {
	length := smallPiece
	if size == "large" {
		length = largePiece
	}
	text := fmt.Sprintf("%s piece %d ", size, n)
	return text + strings.Repeat("x", length-len(text))
}

// ServeHTTP runs a stream. It goes on after Last-Event-Id.
func (r *streamServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if q.Header.Get("Expected-Instance") != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	size := q.URL.Query().Get("events")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0 for a new stream.
	r.d.recordRun(r.id, id, size, after)
	w.Header().Set("Runner-Signature", r.id+"."+id)
	w.Header().Set("Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, piece(size, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			panic(http.ErrAbortHandler) // The gateway has gone, or the runner crashes.
		case <-time.After(eventPause):
		}
	}
}

func (d *streamCase) recordRun(server, id, size string, after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
	d.c.record("request %s (%s events) runs at %s, after event %d", id, size, server, after)
	switch {
	case after > 0:
		d.resumed[size]++
	case d.runs[id] > 1:
		d.restarts[size]++
	}
}

// sendStreams sends requests to all gateways in turn, with small and large events by turns.
func (d *streamCase) sendStreams(stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Second}}
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(streamsEvery):
		}
		go d.ask(client, d.fronts[n%len(d.fronts)], fmt.Sprintf("%016x", n), [...]string{"small", "large"}[n/len(d.fronts)%2])
	}
}

// ask sends one request and checks the pieces of its answer.
func (d *streamCase) ask(client *http.Client, front, id, size string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+front+"/describe/1?events="+size, bytes.NewReader([]byte("plate 1")))
	if err != nil {
		panic(err)
	}
	d.c.record("request %s (%s events) is sent to %s", id, size, front)
	r.Host = "plates.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Remaining-Ms", "8000")
	r.Header.Set("Authorization", "Bearer "+tenantKey)
	r.Header.Set("Model", "m")
	resp, err := client.Do(r)
	if err != nil {
		d.recordEnd(id, size, nil, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		d.recordEnd(id, size, nil, fmt.Errorf("status %d", resp.StatusCode))
		return
	}
	var got []int
	in := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		line, err := in.ReadString('\n')
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(v)) // 0 is never right.
			got = append(got, n)
		}
		if errors.Is(err, io.EOF) {
			err = nil
			d.recordEnd(id, size, got, err)
			return
		}
		if err != nil {
			d.recordEnd(id, size, got, err)
			return
		}
	}
}

// recordEnd records the end of an answer: err is nil if it ended as complete.
func (d *streamCase) recordEnd(id, size string, got []int, err error) {
	right := err != nil || len(got) == streamEvents
	for i, n := range got {
		right = right && n == i+1
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !right:
		d.broken[size]++
		d.c.record("BROKEN: the client of request %s (%s events) gets the events %v, then: %v", id, size, got, err)
	case err != nil:
		d.cut[size]++
		d.c.record("the client of request %s (%s events) gets %d events, then: %v", id, size, len(got), err)
	default:
		d.c.record("the client of request %s (%s events) gets all events", id, size)
		d.complete[size]++
	}
}

// streamConfig is a configuration with one service of runners that answer with streams.
func streamConfig() any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "plate-describe", "host": "plates.example", "path-prefix": "/describe/", "service": "plate-model", "kind": "streaming",
			"timeout-ms": 8000, "target-latency-ms": 500, "gap_aim_ms": 120, "priority": 1, "max-attempts": 2, "stream-resumption": true, "session-affinity": true,
		}},
		"services": []any{map[string]any{"name": "plate-model", "health-check-path": "/health", "connection-limit": 348}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
		"tenants":  []any{map[string]any{"name": "t-1", "api-keys": []string{tenantKey}}},
	}
}
