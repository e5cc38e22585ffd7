// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os/exec"
	"strconv"
	"strings"
)

// The gateways of the small deployment.
const (
	frontMachines = 7
	firstFront    = 10
)

var (
	frontZones = [frontMachines]string{"hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"}
	seedFronts = []int{0, 3, 5} // One in each zone.
)

// startFronts starts the gateways, which use the ports from firstPort on, and returns their processes and
// the addresses for clients.
func startFronts(c *caseRun, storeAddress string, firstPort int) (processes []*exec.Cmd, addresses []string, err error) {
	at := func(machine, offset int) string {
		return fmt.Sprintf("%s:%d", c.ip(firstFront+machine), firstPort+offset)
	}
	var seeds []string
	for _, i := range seedFronts {
		seeds = append(seeds, at(i, 2))
	}
	for i := range frontMachines {
		p, err := c.start(fmt.Sprintf("front-%d", i), "deploy/gateway.ini.tmpl", map[string]string{
			"node-name": fmt.Sprintf("front-%d", i), "zone": frontZones[i], "limits.memory-mb": "284", "bootstrap": "true",
			"listen-addresses.front": at(i, 0), "listen-addresses.ready": at(i, 1), "listen-addresses.control": at(i, 2),
			"ip-address": c.ip(firstFront + i), "internal-port-range.0": strconv.Itoa(firstPort + 3),
			"platform.address": storeAddress, "seed-nodes": strings.Join(seeds, ","), "bounds.revocation-ms": "5000", "bounds.configuration-ms": "2000",
			"bounds.grace-period-s": "8", "bounds.retry-budget-ratio": "0.2", "bounds.budget-window-s": "10", "bounds.retry-budget-slack": "90",
			"bounds.fencing-enforced": "true",
		})
		if err != nil {
			return nil, nil, err
		}
		processes, addresses = append(processes, p), append(addresses, at(i, 0))
	}
	return processes, addresses, nil
}
