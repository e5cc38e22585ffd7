// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// linkFault is what a proxy does to the connections of one source.
type linkFault int

// The faults of links.
const (
	linkHealthy         linkFault = iota
	linkDelayed                   // Bytes come late.
	linkReset                     // Connections are reset, new ones too.
	linkDropsToTarget             // What is sent to the target does not arrive.
	linkDropsFromTarget           // What the target sends does not arrive.
	linkDropsBoth                 // Nothing arrives either way.
	linkFaultCount      = iota - 1
)

var linkNames = [...]string{"well", "delayed", "reset", "cut there", "cut back", "silent"}

// linkDelay is what a delayed link adds to each piece.
const linkDelay = 60 * time.Millisecond

// proxy stands before a target and hands connections on from the same source IP
// number, so that the target sees who it is.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	faults   map[string]linkFault // By source IP number.
	conns    map[net.Conn]string  // Sources of open connections.
	group    errgroup.Group
}

// newProxy takes connections of l. The function ends it.
func newProxy(l net.Listener, target string) (p *proxy, cleanup func()) {
	p = &proxy{listener: l, target: target, faults: map[string]linkFault{}, conns: map[net.Conn]string{}}
	p.group.Go(func() error { return p.accept(l) })
	return p, p.close
}

func (p *proxy) close() {
	p.shut()
	_ = p.group.Wait() // Functions of the group return no error.
}

// shut refuses connections and ends those that are open, as the end of the target's
// process does.
func (p *proxy) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
}

// reopen takes connections again after shut.
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

// set changes what happens to a source's connections.
func (p *proxy) set(source string, f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
	if f == linkHealthy || f == linkReset { // What was held up is lost with its connection.
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
			continue // The caller gave up.
		}
		p.group.Go(func() error { p.serve(c); return nil })
	}
}

func (p *proxy) serve(c net.Conn) {
	source := c.RemoteAddr().(*net.TCPAddr).IP
	from := source.String()
	if p.fault(from) == linkReset {
		reset(c)
		return
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: source}, Timeout: time.Second}
	upstream, err := d.DialContext(context.Background(), "tcp4", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.trackConns(c, upstream, from)
	var g errgroup.Group
	g.Go(func() error { p.pump(upstream, c, from, linkDropsToTarget); return nil })
	g.Go(func() error { p.pump(c, upstream, from, linkDropsFromTarget); return nil })
	_ = g.Wait() // Functions of the group return no error.
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

func (p *proxy) trackConns(c, upstream net.Conn, from string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c], p.conns[upstream] = from, from
}

// pump moves bytes until either side ends; cut is the fault that stops this
// direction.
func (p *proxy) pump(to, from net.Conn, source string, cut linkFault) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch f := p.fault(source); f {
		case cut, linkDropsBoth:
			// After lost bytes an orderly end must not follow: without a length it
			// would make what came before them a whole answer.
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
		if errors.Is(err, io.EOF) {
			_ = to.Close()
		} else {
			reset(to)
		}
		_ = from.Close()
		return
	}
}

// discardUntilEnd drops what comes on a cut link until its connection ends: what
// was lost must not be followed by later bytes.
func discardUntilEnd(from net.Conn, buf []byte, err error) {
	for err == nil {
		_, err = from.Read(buf)
	}
}
