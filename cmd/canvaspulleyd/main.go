// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Command canvaspulleyd is the daemon: a gateway, a sidecar, an entry or an endpoint agent, as its
// settings file says.
package main

import (
	"os"

	"github.com/canvaspulley/canvaspulley/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) }
