// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package duty runs the long-lived goroutines of a process. A panic in one of them does not
// end the process, and with it all requests; one that cannot go on has the process stop as
// planned. Group is not for goroutines that end with a request.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Pauses before a duty that panicked runs again, and how often it does: one that panics at
// each run does nothing useful any more.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
	mostPanics   = 20
)

// Locked calls do under a mutex, which a panic of do does not leave locked.
func Locked(mu sync.Locker, do func()) {
	mu.Lock()
	defer mu.Unlock()
	do()
}

// RunRecovered calls do and reports whether it returned; a panic is logged, with the fields, and
// counted. What do locks it must unlock in deferred calls.
func RunRecovered(name string, log *zap.Logger, reg metrics.Registry, do func(), fields ...zap.Field) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			metrics.GetOrRegisterCounter("process.panics."+name, reg).Inc(1)
			log.Error("panic", append(fields, zap.String("duty", name), zap.Any("value", v), zap.Stack("stack"))...)
		}
	}()
	do()
	return true
}

// Group is the duties of a process, or of a part of it.
type Group struct {
	ctx    context.Context
	log    *zap.Logger
	reg    metrics.Registry
	failed func(name string) // Called when a duty cannot go on; the others do.
	group  errgroup.Group
}

// New returns a group whose duties run until ctx ends. A duty that returns an error or panics
// too often is logged, and failed is called with its name.
func New(ctx context.Context, log *zap.Logger, reg metrics.Registry, failed func(name string)) *Group {
	return &Group{ctx: ctx, log: log, reg: reg, failed: failed}
}

// Go runs a duty, and runs it again after a panic.
func (g *Group) Go(name string, run func(ctx context.Context) error) { g.start(name, mostPanics, run) }

// GoOnce runs a duty that cannot be begun again after a panic.
func (g *Group) GoOnce(name string, run func(ctx context.Context) error) { g.start(name, 1, run) }

func (g *Group) start(name string, panics int, run func(ctx context.Context) error) {
	g.group.Go(func() (err error) {
		pause := firstPause
		for n := 0; ; pause = min(2*pause, longestPause) {
			if RunRecovered(name, g.log, g.reg, func() { err = run(g.ctx) }) {
				break
			}
			if n++; n >= panics {
				err = errors.Newf("%d panics", n)
				break
			}
			wait.For(g.ctx, pause)
		}
		if err == nil {
			return nil
		}
		err = errors.Wrapf(err, "duty %s", name)
		g.log.Error("duty ended", zap.String("duty", name), zap.String("error", err.Error()))
		g.failed(name)
		return err
	})
}

// Wait waits until all duties have ended and returns the error of the first that failed.
func (g *Group) Wait() error { return g.group.Wait() }
