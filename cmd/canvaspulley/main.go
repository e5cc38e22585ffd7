// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Command canvaspulley is the tool for operators and developers. It only reads from a running
// system; operators change a system by publishing configuration.
package main

import (
	"os"

	"github.com/canvaspulley/canvaspulley/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
