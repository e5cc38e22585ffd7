// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// standinCommand runs the stand-ins in a process of their own.
type standinCommand struct {
	app    *app
	Config string `long:"config" required:"yes" value-name:"FILE.ini" description:"what to run"`
}

// Execute runs the stand-ins until SIGTERM or an interrupt.
func (v *standinCommand) Execute([]string) (err error) {
	s, err := standin.Load(v.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	fmt.Fprintln(v.app.out, "stand-ins are up")
	return s.Run(ctx)
}
