// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Network cuts failure domains off from each other. Relays before the peer
// listeners carry all connections; a cut holds them, so that bytes sent into a
// cut are neither refused nor delivered, as on a real network.
type Network struct {
	mu      sync.Mutex
	domains map[string]string // Failure domain by source IP number.
	cut     map[string]bool
	changed chan struct{} // Closed and replaced at each change.
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{domains: map[string]string{}, cut: map[string]bool{}, changed: make(chan struct{})}
}

// SetDomain says which failure domain a source IP number is in.
func (n *Network) SetDomain(source, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[source] = domain
}

// SetPartitioned cuts a failure domain off from all others, or heals it. Connections that
// were held are closed when it heals.
func (n *Network) SetPartitioned(domain string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[domain] = on
	close(n.changed)
	n.changed = make(chan struct{})
}

// open reports whether two failure domains reach each other, and a channel
// that is closed when that may have changed.
func (n *Network) open(a, b string) (ok bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a == b || !n.cut[a] && !n.cut[b], n.changed
}

func (n *Network) domainOf(addr net.Addr) string {
	host, _, _ := net.SplitHostPort(addr.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domains[host]
}

// Relay carries connections from l to target, in the named failure domain,
// until ctx ends.
func (n *Network) Relay(ctx context.Context, l net.Listener, target, domain string) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	g := &errgroup.Group{}
	for {
		c, err := l.Accept()
		if err != nil {
			_ = g.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		g.Go(func() error {
			n.carry(ctx, c, target, domain)
			return nil
		})
	}
}

func (n *Network) carry(ctx context.Context, in net.Conn, target, domain string) {
	defer func() { _ = in.Close() }()
	from := n.domainOf(in.RemoteAddr())
	if !n.wait(ctx, from, domain) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	stop := context.AfterFunc(ctx, func() {
		_ = in.Close()
		_ = out.Close()
	})
	defer stop()
	g := &errgroup.Group{}
	for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
		g.Go(func() error {
			n.copy(ctx, way[1], way[0], from, domain)
			_ = in.Close()
			_ = out.Close()
			return nil
		})
	}
	_ = g.Wait()
}

// wait returns true at once when the way is open; it holds during a cut and
// then returns false.
func (n *Network) wait(ctx context.Context, a, b string) bool {
	for first := true; ; first = false {
		ok, changed := n.open(a, b)
		if ok {
			return first
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// copy carries bytes while the way is open.
func (n *Network) copy(ctx context.Context, dst io.Writer, src io.Reader, a, b string) {
	buf := make([]byte, 4<<10)
	for {
		k, err := src.Read(buf)
		if !n.wait(ctx, a, b) {
			return
		}
		if k > 0 {
			if _, werr := dst.Write(buf[:k]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
