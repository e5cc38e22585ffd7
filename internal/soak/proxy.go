// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/dialer"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
)

// linkFault is a fault that a proxy injects into the connections of one source address.
type linkFault int

// The faults of links, in the order of linkNames.
const (
	linkHealthy         linkFault = iota
	linkDelayed                   // Bytes are delayed by linkDelay.
	linkReset                     // Connections are reset, including new ones.
	linkDropsToTarget             // Bytes to the target are dropped.
	linkDropsFromTarget           // Bytes from the target are dropped.
	linkDropsBoth                 // Bytes of both directions are dropped.
	linkFaultCount      = iota - 1
)

var linkNames = [...]string{"well", "delayed", "reset", "cut there", "cut back", "silent"}

// linkDelay is the delay that a delayed link adds to each chunk.
const linkDelay = 60 * time.Millisecond

// proxy forwards connections to a target. It dials from the source IP address of the client, so that
// the target sees who connects.
type proxy struct {
	listener net.Listener
	target   string
	logf     func(format string, args ...any)
	mu       sync.Mutex
	faults   map[string]linkFault // Faults by source IP address.
	conns    map[net.Conn]string  // Open connections with their source IP addresses.
	group    errgroup.Group
}

// newProxy starts a proxy that accepts the connections of l. cleanup stops it. logf is told of
// connections that the proxy resets without a fault.
func newProxy(l net.Listener, target string, logf func(format string, args ...any)) (p *proxy, cleanup func()) {
	p = &proxy{listener: l, target: target, logf: logf, faults: map[string]linkFault{}, conns: map[net.Conn]string{}}
	p.group.Go(func() error { return p.accept(l) })
	return p, p.close
}

func (p *proxy) close() {
	p.shut()
	_ = p.group.Wait() // Functions of the group return no error.
}

// shut closes the listener and all open connections, as the end of the target's process does.
func (p *proxy) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
}

// reopen accepts connections again after shut.
func (p *proxy) reopen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp4", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener = l
	p.group.Go(func() error { return p.accept(l) })
	return nil
}

// set sets the fault of a source's connections.
func (p *proxy) set(source string, f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
	if f == linkHealthy || f == linkReset { // Bytes that were held back are lost with their connection.
		for c, from := range p.conns {
			if from == source {
				reset(c)
			}
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) fault(source string) linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[source]
}

func (p *proxy) accept(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // The connection was aborted before it was accepted.
		}
		p.group.Go(func() error { p.serve(c); return nil })
	}
}

func (p *proxy) serve(c net.Conn) {
	from := c.RemoteAddr().(*net.TCPAddr).IP.String()
	if p.fault(from) == linkReset {
		reset(c)
		return
	}
	target, err := dialer.New(from, callerTimeout, 0).DialContext(context.Background(), "tcp4", p.target)
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) { // Refused while the target is down.
			p.logf("        the proxy of %s resets a connection of %s: %v", p.target, from, err)
		}
		reset(c)
		return
	}
	p.trackConns(c, target, from)
	var g errgroup.Group
	g.Go(func() error { p.pump(target, c, from, linkDropsToTarget); return nil })
	g.Go(func() error { p.pump(c, target, from, linkDropsFromTarget); return nil })
	_ = g.Wait() // Functions of the group return no error.
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, target)
	p.mu.Unlock()
}

func (p *proxy) trackConns(c, target net.Conn, from string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c], p.conns[target] = from, from
}

// pump copies bytes until either side ends; cut is the fault that drops the bytes of this direction.
func (p *proxy) pump(to, from net.Conn, source string, cut linkFault) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch f := p.fault(source); f {
		case cut, linkDropsBoth:
			// Lost bytes must not be followed by an orderly end: an answer without a length
			// would look complete without them.
			discardUntilEnd(from, buf, err)
			reset(to)
			_ = from.Close()
			return
		case linkDelayed:
			time.Sleep(linkDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && upstream.CheckOrderlyEnd(from.(*net.TCPConn)) == nil { // The other direction may have taken the error of a reset.
			_ = to.Close()
		} else {
			reset(to)
		}
		_ = from.Close()
		return
	}
}

// discardUntilEnd drops what is received on a cut link until its connection ends: lost bytes must
// not be followed by later ones.
func discardUntilEnd(from net.Conn, buf []byte, err error) {
	for err == nil {
		_, err = from.Read(buf)
	}
}
