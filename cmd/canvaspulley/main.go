// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Command canvaspulley is the operators' and developers' tool. It only reads
// from a running system: operators act by publishing.
package main

import (
	"os"

	"github.com/canvaspulley/canvaspulley/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
