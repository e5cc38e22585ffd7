// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times and sizes of the case, those of the small deployment where it sets them.
const (
	drainBound   = 2 * time.Second         // drain-ms.
	servesOn     = 2400 * time.Millisecond // How long the runner serves after its entry is gone: drain-ms and a little longer.
	freezeTime   = 3500 * time.Millisecond
	roundTime    = 11 * time.Second // Over contact-ms after the machines have woken.
	drainRounds  = 4
	workTime     = 150 * time.Millisecond
	sendInterval = 25 * time.Millisecond
	firstServer  = 60
	observed     = 2 // The third gateway of the first zone, to which clients send.
	tenantKey    = "k-1"
)

// runner stands in for a runner of a plain service.
type runner struct {
	d       *drainCase
	id      string
	address string
	srv     *http.Server

	mu     sync.Mutex
	goneAt time.Time // When the store took that its entry is gone; zero before.
}

// drainCase plays runners of a service that leave while two gateways of a zone stand still.
type drainCase struct {
	c       *caseRun
	s       *store
	fronts  []*exec.Cmd
	front   string // Address of the observed gateway.
	port    int
	started int

	mu      sync.Mutex
	late    int           // Requests that reached a runner later than drainBound after it had left.
	latest  time.Duration // The latest of them.
	cut     int           // Late requests whose run was cut by the runner's end.
	answers map[string]int
}

func runDrainCase(c *caseRun) (broken bool, err error) {
	d := &drainCase{c: c, s: newStore(), answers: map[string]int{}}
	var machines []int
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
	if d.port, err = c.freePort(append(machines, storeMachine)...); err != nil {
		return false, err
	}
	d.s.put("op/config", drainConfig())
	var list []*runner
	for i := range 3 {
		r, err := d.startRunner(i)
		if err != nil {
			return false, err
		}
		list = append(list, r)
	}
	var addresses []string
	if d.fronts, addresses, err = startFronts(c, storeAddress, d.port+10); err != nil {
		return false, err
	}
	d.front = addresses[observed]
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	go d.sendRequests(stop)
	time.Sleep(2 * time.Second)
	for i := range drainRounds {
		leaver := i % len(list)
		next, err := d.startRunner(3 + i)
		if err != nil {
			return false, err
		}
		time.Sleep(time.Duration(1+2*i) * 100 * time.Millisecond) // Another phase of the gateways' polls in each round.
		if c.trouble {
			d.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { d.signal(syscall.SIGCONT) })
		}
		time.Sleep(20 * time.Millisecond)
		list[leaver].leave()
		list[leaver] = next
		time.Sleep(roundTime)
	}
	close(stop)
	time.Sleep(2 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.record("answers to clients: %v", d.answers)
	c.record("%d requests reached a runner later than %v after it had left, the latest after %d ms; %d of them were cut by its end", d.late, drainBound, d.latest.Milliseconds(), d.cut)
	if d.answers["200"] == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return d.late > 0, nil
}

// startRunner starts a runner and writes its entry.
func (d *drainCase) startRunner(n int) (*runner, error) {
	r := &runner{d: d, id: fmt.Sprintf("i-%04d", n), address: fmt.Sprintf("%s:%d", d.c.ip(firstServer+n), d.port)}
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return nil, err
	}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(l) }() // Until it is closed.
	d.s.put("servers/"+r.id, map[string]any{
		"service": "catalogue", "address": r.address, "zone": [...]string{"hall-a", "hall-b", "hall-c"}[n%3], "version": "v1",
		"slots": 6, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
	})
	d.c.record("runner %s starts", r.id)
	return r, nil
}

// leave removes the runner's entry without another word. It serves on for servesOn and ends.
func (r *runner) leave() {
	r.d.s.remove("servers/" + r.id)
	r.mu.Lock()
	r.goneAt = time.Now()
	r.mu.Unlock()
	r.d.c.record("runner %s leaves: its entry is gone, acknowledged by the store", r.id)
	time.AfterFunc(servesOn, func() {
		r.d.c.record("runner %s ends", r.id)
		_ = r.srv.Close()
	})
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := q.Header.Get("Expected-Instance"); want != "" && want != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	r.mu.Lock()
	gone := r.goneAt
	r.mu.Unlock()
	after := time.Duration(0)
	if gone.IsZero() {
		r.d.c.record("request %s reaches %s from %s", id, r.id, q.RemoteAddr)
	} else {
		after = time.Since(gone)
		r.d.c.record("request %s reaches %s from %s, %d ms after it has left", id, r.id, q.RemoteAddr, after.Milliseconds())
	}
	isLate := after > drainBound
	if isLate {
		r.d.mu.Lock()
		r.d.late++
		r.d.latest = max(r.d.latest, after)
		r.d.mu.Unlock()
	}
	select {
	case <-time.After(workTime):
	case <-q.Context().Done():
	}
	if q.Context().Err() != nil {
		if isLate {
			r.d.c.record("the run of request %s is cut", id)
			r.d.mu.Lock()
			r.d.cut++
			r.d.mu.Unlock()
		}
		return
	}
	w.Header().Set("Runner-Signature", r.id+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("record\n", 100)) // The gateway may have gone.
}

// signal sends a signal to the first two gateways of the first zone.
func (d *drainCase) signal(sig syscall.Signal) {
	for _, p := range d.fronts[:2] {
		if err := p.Process.Signal(sig); err != nil {
			d.c.record("cannot signal a gateway: %v", err)
		}
	}
	d.c.record("machines of two gateways: %v", sig)
}

// sendRequests sends requests that may not be repeated to the observed gateway.
func (d *drainCase) sendRequests(stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Second}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sendInterval):
		}
		go d.send(client, fmt.Sprintf("%016x", n+1))
	}
}

func (d *drainCase) send(client *http.Client, id string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front+"/record/1", bytes.NewReader([]byte("plate 1")))
	if err != nil {
		panic(err)
	}
	d.c.record("request %s is sent", id)
	r.Host = "plates.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Remaining-Ms", "1500")
	r.Header.Set("Authorization", "Bearer "+tenantKey)
	outcome := "no answer"
	if resp, err := client.Do(r); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if outcome = strconv.Itoa(resp.StatusCode); err != nil {
			outcome += " incomplete"
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers[outcome]++
	d.c.record("the client of request %s gets: %s", id, outcome)
}

// drainConfig is a configuration with one plain service.
func drainConfig() any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "plate-record", "host": "plates.example", "path-prefix": "/record/", "service": "catalogue", "kind": "non_idempotent",
			"timeout-ms": 800, "target-latency-ms": 300, "priority": 2, "max-attempts": 1,
		}},
		"services": []any{map[string]any{"name": "catalogue", "health-check-path": "/health", "connection-limit": 100}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
		"tenants":  []any{map[string]any{"name": "t-1", "api-keys": []string{tenantKey}}},
	}
}
