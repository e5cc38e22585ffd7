// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Network simulates partitions between failure domains. All connections pass
// through relays in front of the peer listeners. During a partition the relays
// stall the connections, so that bytes are neither rejected nor delivered, as
// on a real network.
type Network struct {
	mu          sync.Mutex
	domains     map[string]string // Failure domain by source IP address.
	partitioned map[string]bool
	changed     chan struct{} // Closed and replaced on each change.
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{domains: map[string]string{}, partitioned: map[string]bool{}, changed: make(chan struct{})}
}

// SetDomain sets the failure domain of a source IP address.
func (n *Network) SetDomain(source, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[source] = domain
}

// SetPartitioned partitions a failure domain off from all others, or heals the
// partition. Connections that were stalled are closed when it heals.
func (n *Network) SetPartitioned(domain string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[domain] = on
	close(n.changed)
	n.changed = make(chan struct{})
}

// reachable reports whether two failure domains can reach each other, and
// returns a channel that is closed when that may have changed.
func (n *Network) reachable(a, b string) (ok bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a == b || !n.partitioned[a] && !n.partitioned[b], n.changed
}

func (n *Network) domainOf(addr net.Addr) string {
	host, _, _ := net.SplitHostPort(addr.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domains[host]
}

// Relay forwards connections from l to target, which is in the named failure
// domain, until ctx ends.
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
			n.forward(ctx, c, target, domain)
			return nil
		})
	}
}

func (n *Network) forward(ctx context.Context, in net.Conn, target, domain string) {
	defer func() { _ = in.Close() }()
	from := n.domainOf(in.RemoteAddr())
	if !n.awaitReachable(ctx, from, domain) {
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
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		g.Go(func() error {
			n.copyWhileReachable(ctx, pair[1], pair[0], from, domain)
			_ = in.Close()
			_ = out.Close()
			return nil
		})
	}
	_ = g.Wait()
}

// awaitReachable returns true at once when the domains can reach each other.
// During a partition it blocks until the partition heals or ctx ends, and then
// returns false.
func (n *Network) awaitReachable(ctx context.Context, a, b string) bool {
	for first := true; ; first = false {
		ok, changed := n.reachable(a, b)
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

// copyWhileReachable copies bytes from src to dst until a read or write fails
// or a partition begins; it returns once that partition has healed.
func (n *Network) copyWhileReachable(ctx context.Context, dst io.Writer, src io.Reader, a, b string) {
	buf := make([]byte, 4<<10)
	for {
		k, err := src.Read(buf)
		if !n.awaitReachable(ctx, a, b) {
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
