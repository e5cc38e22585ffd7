// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// connections knows since when callers' connections have been idle. net/http
// takes one idle time for the life of a server; here it is published and
// changes.
type connections struct {
	log          *zap.Logger
	idleClosed   metrics.Counter // Connections closed as idle.
	underRequest metrics.Counter // Of those, the ones from which a request had been read.

	mu     sync.Mutex
	idle   map[net.Conn]time.Time
	closed map[net.Conn]idleClose // As idle, until the server has ended them.
}

// idleClose is why a connection was closed as idle.
type idleClose struct {
	at      time.Time
	idle    time.Duration
	limit   time.Duration
	version uint64 // Of the configuration that set the limit.
}

func newConnections(log *zap.Logger, reg metrics.Registry) *connections {
	return &connections{
		log:          log,
		idleClosed:   metrics.GetOrRegisterCounter("gateway.callers-closed-idle", reg),
		underRequest: metrics.GetOrRegisterCounter("gateway.callers-closed-under-request", reg),
		idle:         map[net.Conn]time.Time{},
		closed:       map[net.Conn]idleClose{},
	}
}

// note is the server's ConnState hook.
func (c *connections) note(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if why, ok := c.closed[nc]; ok && s == http.StateActive {
		c.underRequest.Inc(1)
		c.log.Warn("connection closed as idle under a request", append(why.fields(nc), zap.Duration("closed-before", time.Since(why.at)))...)
	}
	switch s {
	case http.StateIdle:
		c.idle[nc] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.closed, nc)
		delete(c.idle, nc)
	default:
		delete(c.idle, nc)
	}
}

// fields are those of a log line about the connection.
func (i idleClose) fields(nc net.Conn) []zap.Field {
	return []zap.Field{
		zap.Stringer("caller", nc.RemoteAddr()), zap.Duration("idle", i.idle),
		zap.Duration("limit", i.limit), zap.Uint64("version", i.version),
	}
}

// idleSlack is added to the published idle time: callers use a connection for
// up to four fifths of it, and a close must not cross a request.
const idleSlack = time.Second

// closeIdle closes what has been idle for longer than published in a version of the
// configuration.
func (c *connections) closeIdle(limit time.Duration, version uint64) {
	if limit <= 0 {
		return
	}
	now := time.Now()
	before := now.Add(-limit - idleSlack)
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, since := range c.idle {
		if since.Before(before) {
			why := idleClose{at: now, idle: now.Sub(since), limit: limit, version: version}
			delete(c.idle, nc)
			c.closed[nc] = why
			c.idleClosed.Inc(1)
			c.log.Info("connection closed as idle", why.fields(nc)...)
			_ = nc.Close()
		}
	}
}
