// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections knows since when callers' connections have been idle. net/http
// takes one idle time for the life of a server; here it is published and
// changes.
type connections struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newConnections() *connections { return &connections{idle: map[net.Conn]time.Time{}} }

// note is the server's ConnState hook.
func (c *connections) note(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateIdle:
		c.idle[nc] = time.Now()
	default:
		delete(c.idle, nc)
	}
}

// idleSlack is added to the published idle time: callers use a connection for
// up to four fifths of it, and a close must not cross a request.
const idleSlack = time.Second

// closeIdle closes what has been idle for longer than published.
func (c *connections) closeIdle(limit time.Duration) {
	if limit <= 0 {
		return
	}
	before := time.Now().Add(-limit - idleSlack)
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, since := range c.idle {
		if since.Before(before) {
			delete(c.idle, nc)
			_ = nc.Close()
		}
	}
}
