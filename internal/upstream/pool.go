// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package upstream keeps connections to endpoints and exchanges one request and one answer at a
// time on each. It never sends a request twice on its own, and reports exactly how far a request
// got: this is why it is used instead of net/http's client. Choosing and rating endpoints is out of
// scope.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/canvaspulley/canvaspulley/internal/dialer"
)

// Timeouts and sizes of connections.
const (
	// dialTimeout limits connecting: far above a round trip between failure domains, and short
	// enough to try another endpoint in time.
	dialTimeout = 250 * time.Millisecond
	noKeepAlive = -1 // TCP_USER_TIMEOUT detects a lost peer.
	// unackedLimit closes a connection whose peer acknowledges nothing, so that a network failure
	// is detected; it is longer than the first retransmissions of a lost packet take.
	unackedLimit = 2500 * time.Millisecond
	// idleMargin is the last part of an endpoint's idle timeout, in which an idle connection is no
	// longer used because the endpoint is about to close it.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout is assumed if the endpoint does not advertise its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	readBufferSize     = 4 << 10
)

// Conn is a connection to an endpoint. It is used by one caller at a time.
type Conn struct {
	endpoint    string
	nc          *net.TCPConn
	raw         *input
	longWrites  *longWriteGuard
	br          *bufio.Reader // Reads from raw.
	answers     int           // Answers that were read completely.
	idleTimeout time.Duration // Idle time after which the endpoint closes the connection.
	idleSince   time.Time     // Start of the current idle time, as the endpoint counts it.
}

// Reused reports whether the connection has carried an answer before.
func (c *Conn) Reused() bool { return c.answers > 0 }

// Interrupt ends the answer that is read from the connection: reads return what has arrived, and then an
// error. It may be called during a read, and by any goroutine.
func (c *Conn) Interrupt() { c.raw.interrupt() }

// Close ends the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// Pool keeps idle connections by endpoint.
type Pool struct {
	dialer dialer.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn // By endpoint id, the most recently used last; guarded by mu.
	onOpen func()             // Called for each new connection.
}

// NewPool returns an empty pool whose connections come from the address source, if it is not "". It
// calls onOpen for each new connection. The returned function closes the idle connections.
func NewPool(source string, onOpen func()) (p *Pool, cleanup func()) {
	p = &Pool{dialer: dialer.New(source, dialTimeout, noKeepAlive), idle: map[string][]*Conn{}, onOpen: onOpen}
	return p, p.closeAll
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = map[string][]*Conn{}
}

// Get returns an idle connection that is healthy and was used within maxIdle, or a new one. With
// maxIdle 0 it always returns a new one.
func (p *Pool) Get(ctx context.Context, endpoint, address string, maxIdle time.Duration) (c *Conn, err error) {
	if maxIdle > 0 {
		if c = p.takeIdle(endpoint, maxIdle); c != nil {
			return c, nil
		}
	}
	dialed, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connection to endpoint %s", endpoint)
	}
	p.onOpen()
	nc := dialed.(*net.TCPConn)
	if err := setUnackedLimit(nc, unackedLimit); err != nil {
		_ = nc.Close()
		return nil, errors.Wrap(err, "setting TCP_USER_TIMEOUT")
	}
	in := &input{nc: nc}
	return &Conn{
		endpoint: endpoint, nc: nc, raw: in, longWrites: &longWriteGuard{nc: nc, onLost: in.closeUnacked}, br: bufio.NewReaderSize(in, readBufferSize),
		idleTimeout: defaultIdleTimeout, idleSince: time.Now(),
	}, nil
}

// takeIdle removes and returns the most recently used healthy idle connection, nil if there is
// none.
func (p *Pool) takeIdle(endpoint string, maxIdle time.Duration) *Conn {
	now := time.Now()
	for c := p.popNewest(endpoint); c != nil; c = p.popNewest(endpoint) {
		if now.Sub(c.idleSince) < min(maxIdle, c.idleTimeout-idleMargin) && c.isQuiet() {
			return c
		}
		c.Close()
	}
	return nil
}

// popNewest removes and returns the most recently used idle connection, nil if there is none.
func (p *Pool) popNewest(endpoint string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[endpoint]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[endpoint] = list[:len(list)-1]
	return c
}

// Put returns a connection to the pool. The connection must have carried nothing since Get, or its
// answer must have been read to its end. Put closes a connection that was interrupted, or if bytes
// after the answer are buffered. If the endpoint already has maxIdlePerEndpoint idle connections, it closes the least
// recently used of them.
func (p *Pool) Put(c *Conn) {
	if c.br.Buffered() > 0 || c.raw.interrupted.Load() {
		c.Close() // Buffered bytes belong to no request.
		return
	}
	if err := c.nc.SetDeadline(time.Time{}); err != nil { // Clears the deadline of the last request.
		c.Close()
		return
	}
	c.raw.watch = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.endpoint]
	if len(list) >= maxIdlePerEndpoint {
		list[0].Close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.endpoint] = append(list, c)
}

// CloseIdle closes the idle connections of endpoints for which keep returns false, and those that
// have been idle for too long.
func (p *Pool) CloseIdle(keep func(endpoint string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(id) && now.Sub(c.idleSince) < c.idleTimeout-idleMargin {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

// isQuiet reports whether nothing has arrived on an idle connection, neither bytes of a late answer
// nor the end of the connection.
func (c *Conn) isQuiet() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
