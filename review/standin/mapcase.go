// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

const (
	storeMachine = 250
	firstSide    = 100
	mapCaseTime  = 60 * time.Second
	demandPeriod = 3 * time.Second
	firstFreeze  = 5 * time.Second  // Nothing is frozen before.
	freezePause  = 6 * time.Second  // Between the end of a freeze and the next.
	watchAfter   = 12 * time.Second // How long passes are counted after the first broken one.
	plainChanges = 12               // Without trouble, changes of the map to wait for.
	wakeAfter    = 20 * time.Millisecond
	longestSleep = 1400 * time.Millisecond // Below stallTime: the group stays whole.
	maxFreezes   = 8
	holder       = 1  // Rank through whose sidecar the leader, rank 0, arms its own runner.
	linkMachine  = 99 // Address of the link to that sidecar, and of its runner.
)

// runMapCase plays a group of model runners with a sidecar beside each. The disruption is that the machine
// of the leading sidecar freezes while a change of the map is in progress, and wakes before the group
// breaks: right after its runner was armed, before the answer to that order has reached the leader.
func runMapCase(c *caseRun) (broken bool, err error) {
	g := newGroup(c)
	machines := []int{storeMachine, linkMachine}
	for r := range ranks {
		machines = append(machines, firstSide+r)
	}
	storePort, err := c.freePort(storeMachine)
	if err != nil {
		return false, err
	}
	appPort, err := c.freePort(machines...)
	if err != nil {
		return false, err
	}
	s := newStore()
	storeAddress := fmt.Sprintf("%s:%d", c.ip(storeMachine), storePort)
	if err := serve(storeAddress, s); err != nil {
		return false, err
	}
	sidecars := make([]*exec.Cmd, ranks)
	t := &freezer{c: c, g: g, sidecars: sidecars}
	g.onOrder = t.onOrder
	s.put("op/config", mapConfig())
	appOf := func(r int) string {
		if r == holder {
			return fmt.Sprintf("%s:%d", c.ip(linkMachine), appPort)
		}
		return fmt.Sprintf("%s:%d", c.ip(firstSide+r), appPort)
	}
	for r := range ranks {
		address := appOf(r)
		if err := serve(address, g.handler(r, c.ip(firstSide+r))); err != nil {
			return false, err
		}
		s.put(fmt.Sprintf("servers/i-%02d", r), map[string]any{
			"service": "plate-model", "address": address, "zone": zoneOf(r), "version": "v1", "slots": slots,
			"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "stage": "both",
		})
	}
	go g.run()
	internalPort, err := c.freePort(machines...)
	if err != nil {
		return false, err
	}
	t.link, err = startLink(fmt.Sprintf("%s:%d", c.ip(linkMachine), internalPort), fmt.Sprintf("%s:%d", c.ip(firstSide+holder), internalPort))
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	for r := range ranks {
		sidecars[r], err = c.start(fmt.Sprintf("side-%d", r), "deploy/sidecar.ini.tmpl", map[string]string{
			"node-name": fmt.Sprintf("side-%d", r), "zone": zoneOf(r), "limits.memory-mb": "152", "limits.link-mbps": "20",
			"ip-address": c.ip(firstSide + r), "internal-port-range.0": strconv.Itoa(internalPort), "platform.address": storeAddress,
			"seed-nodes": "", "app": appOf(r), "bounds.revocation-ms": "5000",
			"bounds.grace-period-s": "8", "bounds.fencing-enforced": "true",
		})
		if err != nil {
			break
		}
	}
	g.mu.Unlock()
	if err != nil {
		return false, err
	}
	for end := time.Now().Add(mapCaseTime); time.Now().Before(end); {
		time.Sleep(demandPeriod)
		g.mu.Lock()
		g.hot++
		over := len(g.frozen) == 0 && (g.violations > 0 && time.Since(g.violatedAt) > watchAfter || g.violations == 0 && t.released > 0 && time.Since(t.wokeAt) > demandPeriod)
		g.mu.Unlock()
		if over || !c.trouble && g.mapChanges() >= plainChanges {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.record("%d changes of map, %d freezes, %d releases of the hold by the next leader, group broke %d times", g.changes, t.freezes, t.released, g.broken)
	c.record("%d passes began on two maps, %d passes after the first of them on one", g.violations, g.rightAfter)
	if g.changes == 0 {
		return false, fmt.Errorf("no map came into force")
	}
	if c.trouble && t.released == 0 && g.violations == 0 {
		return false, fmt.Errorf("no freeze met a change of the map as intended")
	}
	return g.violations > 0, nil
}

func (g *group) mapChanges() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

func zoneOf(r int) string { return [...]string{"hall-a", "hall-b", "hall-c"}[r*3/ranks] }

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }() // Until the process ends.
	return nil
}

// mapConfig is a configuration with one service of model runners.
func mapConfig() any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "plate-describe", "host": "plates.example", "path-prefix": "/describe/", "service": "plate-model", "kind": "streaming",
			"timeout-ms": 8000, "target-latency-ms": 500, "gap_aim_ms": 120, "priority": 1, "max-attempts": 2, "stream-resumption": true, "session-affinity": true,
		}},
		"services": []any{map[string]any{
			"name": "plate-model", "health-check-path": "/health", "connection-limit": 348,
			"engine": map[string]any{
				"slots": slots, "kv-cache-tokens": 280000, "link-mbps": engineMbps, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
				"read_per_s": 61400, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200, "sets": expertSets, "experts": expertsPerSet, "places": places,
				"spare": spare, "expert_mb": expertMB, "expert_share": 0.85, "form_ms": 600, "usual": map[string]any{"prompt": 800, "answer": 97},
			},
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
	}
}

// freezer freezes and wakes the machine of the leader.
type freezer struct {
	c        *caseRun
	g        *group
	sidecars []*exec.Cmd
	link     *link

	// Guarded by the mutex of the group.
	asleep   int // Rank whose machine is frozen, valid if isAsleep is set.
	isAsleep bool
	wakes    bool // The wake-up is scheduled.
	wokeAt   time.Time
	freezes  int
	released int // Freezes in which another leader released the hold.
}

// onOrder is called with the group's mutex held.
func (t *freezer) onOrder(r int, own bool, o order, status int) {
	now := time.Now()
	switch {
	case t.c.trouble && !t.isAsleep && o.Op == "arm" && !own && status == http.StatusAccepted && t.allArmed(o) && r == 0 &&
		t.g.passLeft > passTime/2 &&
		now.Sub(t.c.began) > firstFreeze && now.Sub(t.wokeAt) > freezePause && t.g.violations == 0 && t.freezes < maxFreezes:
		t.freeze(r)
	case t.isAsleep && !t.wakes && o.Op == "go" && status == http.StatusAccepted:
		t.released++
		t.wakes = true
		time.AfterFunc(wakeAfter, t.wake)
	}
}

// allArmed reports whether every rank is armed as in an order.
func (t *freezer) allArmed(o order) bool {
	for _, e := range t.g.engines {
		if e.armed != (arming{o.Version, o.Step}) {
			return false
		}
	}
	return true
}

func (t *freezer) freeze(r int) {
	if err := t.sidecars[r].Process.Signal(syscall.SIGSTOP); err != nil {
		t.c.record("cannot stop the sidecar of rank %d: %v", r, err)
		return
	}
	t.g.freeze(r)
	t.link.hold()
	t.isAsleep, t.asleep, t.wakes = true, r, false
	t.freezes++
	n := t.freezes
	t.c.record("the machine of rank %d freezes, in pass %d", r, t.g.step)
	time.AfterFunc(longestSleep, func() {
		t.g.mu.Lock()
		late := t.isAsleep && t.freezes == n && !t.wakes
		t.g.mu.Unlock()
		if late {
			t.wake()
		}
	})
}

func (t *freezer) wake() {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.c.record("the machine of rank %d wakes after %d ms", t.asleep, time.Since(t.g.frozenAt).Milliseconds())
	t.g.wake(t.asleep)
	t.link.release(t.g.frozenAt)
	t.isAsleep, t.wokeAt = false, time.Now()
	if err := t.sidecars[t.asleep].Process.Signal(syscall.SIGCONT); err != nil {
		t.c.record("cannot continue the sidecar of rank %d: %v", t.asleep, err)
	}
}
