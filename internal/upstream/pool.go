// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package upstream keeps connections to endpoints and exchanges one request
// and one answer at a time on each. It never sends anything a second time by
// itself, and tells exactly how far a request got: that is why it stands in
// place of net/http's client. It is not for choosing endpoints or judging them.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Times and sizes of connections.
const (
	// dialTimeout bounds a new connection: far above a round trip between
	// failure domains, and short enough to try another endpoint in time.
	dialTimeout = 250 * time.Millisecond
	// unackedLimit ends a connection whose peer acknowledges nothing, so that a
	// cut shows; it is longer than a lost packet's first repeats.
	unackedLimit = 2500 * time.Millisecond
	// idleMargin is kept from the time after which the endpoint closes an idle
	// connection.
	idleMargin = 700 * time.Millisecond
	// defaultIdle holds where the endpoint does not tell that time.
	defaultIdle = 4 * time.Second
	// keptIdle bounds idle connections to one endpoint.
	keptIdle   = 16
	readBuffer = 4 << 10
)

// Conn is one connection to one endpoint. One caller at a time uses it.
type Conn struct {
	endpoint string
	nc       net.Conn
	in       *input
	long     *longWrites
	br       *bufio.Reader // Of in.
	served   int           // Answers that it has brought.
	idleFor  time.Duration // After which the endpoint closes it.
	idleAt   time.Time     // Since when it carries nothing, as its endpoint counts.
}

// Reused reports whether the connection has served before.
func (c *Conn) Reused() bool { return c.served > 0 }

// Close ends the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// Pool keeps idle connections by endpoint.
type Pool struct {
	dialer *net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn // By endpoint id, the one used last at the end.
	opened func()             // Counts new connections.
}

// NewPool returns an empty pool whose connections come from the address
// source, if it is not "". Opened is called for each new connection. The
// function closes the idle ones.
func NewPool(source string, opened func()) (p *Pool, cleanup func()) {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	p = &Pool{dialer: d, idle: map[string][]*Conn{}, opened: opened}
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

// Get returns an idle connection that is sound and was used within maxIdle, or
// a new one. With maxIdle 0 it is always new.
func (p *Pool) Get(ctx context.Context, endpoint, address string, maxIdle time.Duration) (c *Conn, err error) {
	if maxIdle > 0 {
		if c = p.take(endpoint, maxIdle); c != nil {
			return c, nil
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connection to endpoint %s", endpoint)
	}
	p.opened()
	tc := nc.(*net.TCPConn)
	if err := setUnackedLimit(tc, unackedLimit); err != nil {
		_ = nc.Close()
		return nil, errors.Wrap(err, "socket option")
	}
	in := &input{nc: nc}
	return &Conn{
		endpoint: endpoint, nc: nc, in: in, long: &longWrites{nc: tc, lost: in.loseUnacked}, br: bufio.NewReaderSize(in, readBuffer),
		idleFor: defaultIdle, idleAt: time.Now(),
	}, nil
}

// take returns the youngest sound idle connection.
func (p *Pool) take(endpoint string, maxIdle time.Duration) *Conn {
	now := time.Now()
	for c := p.youngest(endpoint); c != nil; c = p.youngest(endpoint) {
		if now.Sub(c.idleAt) < min(maxIdle, c.idleFor-idleMargin) && c.quiet() {
			return c
		}
		c.Close()
	}
	return nil
}

// youngest takes the youngest idle connection out, nil if there is none.
func (p *Pool) youngest(endpoint string) *Conn {
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

// Put keeps a connection that carried nothing since it was taken, or whose answer was read
// to its end.
func (p *Pool) Put(c *Conn) {
	if c.br.Buffered() > 0 {
		c.Close() // Bytes that belong to no request.
		return
	}
	if err := c.nc.SetDeadline(time.Time{}); err != nil { // That of the last request says nothing of the next.
		c.Close()
		return
	}
	c.in.watch = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.endpoint]
	if len(list) >= keptIdle {
		list[0].Close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.endpoint] = append(list, c)
}

// CloseIdle closes the idle connections of endpoints that are not to be kept, and
// those that have been idle for too long.
func (p *Pool) CloseIdle(keep func(endpoint string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(id) && now.Sub(c.idleAt) < c.idleFor-idleMargin {
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

// quiet reports whether nothing has arrived on an idle connection, neither
// bytes of a late answer nor its end.
func (c *Conn) quiet() bool {
	raw, err := c.nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && nothing
}
