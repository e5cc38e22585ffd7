// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os/exec"
	"strconv"
	"time"
)

const (
	storeMachine = 250
	firstSide    = 100
	firstLink    = 130
	holder       = 1 // Rank through whose sidecar the leader, rank 0, arms its own runner.
	mapCaseTime  = 60 * time.Second
	demandPeriod = 3 * time.Second
	firstCut     = 5 * time.Second         // Nothing is cut off before.
	cutPause     = 6 * time.Second         // Between the end of a cut and the next.
	watchAfter   = 12 * time.Second        // How long passes are counted after the first broken one.
	plainChanges = 12                      // Without trouble, changes of the map to wait for.
	healAfter    = 20 * time.Millisecond   // After the hold's release.
	longestCut   = 1400 * time.Millisecond // Below stallTime: the group stays whole.
	maxCuts      = 8
)

// runMapCase plays a group of model runners with a sidecar beside each. The disruption is that the machine
// of the leading sidecar is cut off from all others while a change of the map is in progress, for less time
// than the group takes to break: right after its runner was armed, before the reply has reached the leader.
func runMapCase(c *caseRun) (broken bool, err error) {
	sidecars := make([]*exec.Cmd, ranks)
	n := &network{process: func(r int) int { return sidecars[r].Process.Pid }}
	g := newGroup(c, n)
	t := &cutter{c: c, g: g, n: n}
	g.onOrder = t.onOrder
	machines := []int{storeMachine}
	for r := range ranks {
		machines = append(machines, firstSide+r, firstLink+r)
	}
	storePort, err := c.freePort(storeMachine)
	if err != nil {
		return false, err
	}
	appPort, err := c.freePort(machines...)
	if err != nil {
		return false, err
	}
	machineAt := func(ip netip.Addr) (r int, link netip.Addr, ok bool) {
		for r := range ranks {
			if ip == netip.MustParseAddr(c.ip(firstSide+r)) {
				return r, netip.MustParseAddr(c.ip(firstLink + r)), true
			}
		}
		return -1, link, false
	}
	machineOf := func(address string) int {
		r, _, _ := machineAt(netip.MustParseAddrPort(address).Addr())
		return r
	}
	s := newStore()
	storeAddress := fmt.Sprintf("%s:%d", c.ip(storeMachine), storePort)
	if err := serve(storeAddress, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if n.await(machineOf(q.RemoteAddr), storeMachine) && q.Context().Err() != nil {
			return
		}
		s.ServeHTTP(w, q)
	})); err != nil {
		return false, err
	}
	s.put("op/config", mapConfig())
	appOf := func(r int) string { return fmt.Sprintf("%s:%d", c.ip(firstLink+r), appPort) }
	for r := range ranks {
		if err := serve(appOf(r), g.handler(r, machineOf)); err != nil {
			return false, err
		}
		s.put(fmt.Sprintf("servers/i-%02d", r), map[string]any{
			"service": "plate-model", "address": appOf(r), "zone": zoneOf(r), "version": "v1", "slots": slots,
			"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "stage": "both",
		})
	}
	internalPort, err := c.freePort(machines...)
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	for r := range ranks {
		if sidecars[r], err = c.start(fmt.Sprintf("side-%d", r), "deploy/sidecar.ini.tmpl", map[string]string{
			"node-name": fmt.Sprintf("side-%d", r), "zone": zoneOf(r), "limits.memory-mb": "152", "limits.link-mbps": "20",
			"ip-address": c.ip(firstSide + r), "internal-port-range.0": strconv.Itoa(internalPort), "platform.address": storeAddress,
			"seed-nodes": "", "app": appOf(r), "bounds.revocation-ms": "5000",
			"bounds.grace-period-s": "8", "bounds.fencing-enforced": "true",
		}); err != nil {
			break
		}
	}
	g.mu.Unlock()
	if err != nil {
		return false, err
	}
	for r := range ranks {
		if err := startLink(n, r, fmt.Sprintf("%s:%d", c.ip(firstLink+r), internalPort), fmt.Sprintf("%s:%d", c.ip(firstSide+r), internalPort), machineAt); err != nil {
			return false, err
		}
	}
	go g.run()
	for end := time.Now().Add(mapCaseTime); time.Now().Before(end); {
		time.Sleep(demandPeriod)
		g.mu.Lock()
		g.hot++
		over := !g.cutOff && (g.violations > 0 && time.Since(g.violatedAt) > watchAfter || g.violations == 0 && t.released > 0 && time.Since(t.healedAt) > demandPeriod)
		g.mu.Unlock()
		if over || !c.trouble && g.mapChanges() >= plainChanges {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.record("%d changes of map, %d cuts, %d releases of the hold by the next leader, group broke %d times", g.changes, n.cuts, t.released, g.broken)
	c.record("%d passes began on two maps, %d passes after the first of them on one", g.violations, g.rightAfter)
	if g.changes == 0 {
		return false, fmt.Errorf("no map came into force")
	}
	if c.trouble && t.released == 0 && g.violations == 0 {
		return false, fmt.Errorf("no cut met a change of the map as intended")
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

// cutter cuts the machine of the leader off and ends the cut. The mutex of the group guards its fields.
type cutter struct {
	c        *caseRun
	g        *group
	n        *network
	heals    bool // The end of the cut is scheduled.
	healedAt time.Time
	released int // Cuts in which another leader released the hold.
}

// onOrder is called with the group's mutex held.
func (t *cutter) onOrder(r int, own bool, o order, status int) {
	now := time.Now()
	switch {
	case t.c.trouble && !t.g.cutOff && o.Op == "arm" && !own && status == http.StatusAccepted && t.allArmed(o) && r == 0 &&
		now.Sub(t.c.began) > firstCut && now.Sub(t.healedAt) > cutPause && t.g.violations == 0 && t.n.cuts < maxCuts:
		t.cut(r)
	case t.g.cutOff && !t.heals && r == holder && o.Op == "go" && status == http.StatusAccepted:
		t.released++
		t.heals = true
		time.AfterFunc(healAfter, t.heal)
	}
}

// allArmed reports whether every rank is armed as in an order.
func (t *cutter) allArmed(o order) bool {
	for _, e := range t.g.engines {
		if e.armed != (arming{o.Version, o.Step}) {
			return false
		}
	}
	return true
}

func (t *cutter) cut(r int) {
	t.n.cut(r)
	t.g.cutOff, t.g.cutAt, t.heals = true, time.Now(), false
	n := t.n.cuts
	t.c.record("the machine of rank %d is cut off, in pass %d", r, t.g.step)
	time.AfterFunc(longestCut, func() {
		t.g.mu.Lock()
		late := t.g.cutOff && t.n.cuts == n && !t.heals
		t.g.mu.Unlock()
		if late {
			t.heal()
		}
	})
}

func (t *cutter) heal() {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.c.record("the cut ends after %d ms", time.Since(t.g.cutAt).Milliseconds())
	t.n.heal()
	t.g.cutOff, t.healedAt = false, time.Now()
}
