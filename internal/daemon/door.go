// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// door is a listener that can be closed while what it has accepted is still served. A
// server's own Shutdown does not do: it drops requests that come over such connections.
type door struct {
	net.Listener
	closing atomic.Bool
	once    sync.Once
	closed  chan struct{} // Closed once nothing more is accepted.
}

func newDoor(l net.Listener) *door { return &door{Listener: l, closed: make(chan struct{})} }

// Accept fails with http.ErrServerClosed after shut.
func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil && d.closing.Load() {
		d.once.Do(func() { close(d.closed) })
		return nil, http.ErrServerClosed
	}
	return c, err
}

// shut closes the listener. After it, whatever was accepted has been handed to the server,
// unless ctx ended.
func (d *door) shut(ctx context.Context) {
	d.closing.Store(true)
	_ = d.Close() // It fails only if it is closed already.
	select {
	case <-d.closed:
	case <-ctx.Done():
	}
}
