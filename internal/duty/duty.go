// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package duty runs the long-lived goroutines of a process, called duties. A panic in one of
// them does not end the process, and with it all requests; a duty that fails makes the process
// start its planned stop. Group is not for goroutines that end with a request.
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

// Delays before a duty that panicked is restarted, and the number of panics after which it
// fails: a duty that panics in each run does nothing useful any more.
const (
	initialRestartDelay = 50 * time.Millisecond
	maxRestartDelay     = 2 * time.Second
	maxPanics           = 20
)

// Locked calls do with mu locked, and unlocks mu also when do panics.
func Locked(mu sync.Locker, do func()) {
	mu.Lock()
	defer mu.Unlock()
	do()
}

// RunRecovered calls do and reports whether it returned. A panic is recovered, logged with the
// fields, and counted. Mutexes that do locks must be unlocked in deferred calls.
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

// Group runs the duties of a process, or of a part of it.
type Group struct {
	ctx       context.Context
	log       *zap.Logger
	reg       metrics.Registry
	onFailure func(name string) // Called when a duty fails; the others continue.
	group     errgroup.Group
}

// New returns a group whose duties run until ctx ends. When a duty returns an error or panics
// too often, this is logged, and onFailure is called with its name.
func New(ctx context.Context, log *zap.Logger, reg metrics.Registry, onFailure func(name string)) *Group {
	return &Group{ctx: ctx, log: log, reg: reg, onFailure: onFailure}
}

// Go runs a duty, and restarts it after a panic.
func (g *Group) Go(name string, run func(ctx context.Context) error) { g.start(name, maxPanics, run) }

// GoOnce runs a duty that cannot be restarted after a panic.
func (g *Group) GoOnce(name string, run func(ctx context.Context) error) { g.start(name, 1, run) }

func (g *Group) start(name string, panicLimit int, run func(ctx context.Context) error) {
	g.group.Go(func() (err error) {
		delay := initialRestartDelay
		for n := 0; ; delay = min(2*delay, maxRestartDelay) {
			if RunRecovered(name, g.log, g.reg, func() { err = run(g.ctx) }) {
				break
			}
			if n++; n >= panicLimit {
				err = errors.Newf("failed after %d panics", n)
				break
			}
			wait.For(g.ctx, delay)
		}
		if err == nil {
			return nil
		}
		err = errors.Wrapf(err, "duty %s", name)
		g.log.Error("duty failed", zap.String("duty", name), zap.String("error", err.Error()))
		g.onFailure(name)
		return err
	})
}

// Wait waits until all duties have ended, and returns the error of the first that failed.
func (g *Group) Wait() error { return g.group.Wait() }
