// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"time"
)

// link is the path to the sidecar of one machine: others reach it at an address of the link, which passes
// on connections and datagrams. It holds back what is on its way to a frozen machine, as a network does:
// the packets are lost, and TCP repeats them until the machine answers again.
type link struct {
	from, to string // IP:PORT of the link and of the sidecar.

	mu       sync.Mutex
	heldTill chan struct{} // Closed when answers to the leader pass again; nil if they pass.
	sockets  map[netip.AddrPort]*net.UDPConn
}

// ordersCall begins a call that only a leader makes.
var ordersCall = []byte("POST /v1/orders ")

// retransmissions are the times after the first one at which TCP sends a packet again.
var retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second}

func startLink(from, to string) (*link, error) {
	k := &link{from: from, to: to, sockets: map[netip.AddrPort]*net.UDPConn{}}
	l, err := net.Listen("tcp4", from)
	if err != nil {
		return nil, err
	}
	a, err := net.ResolveUDPAddr("udp4", from)
	if err != nil {
		return nil, err
	}
	u, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, err
	}
	go k.passConnections(l)
	go k.passDatagrams(u)
	return k, nil
}

// hold begins to hold back the answers on their way to the leader.
func (k *link) hold() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heldTill = make(chan struct{})
}

// release delivers what was held back since a time, with the first repetition after now.
func (k *link) release(since time.Time) {
	k.mu.Lock()
	held := k.heldTill
	k.heldTill = nil
	k.mu.Unlock()
	passed := time.Since(since)
	for _, at := range retransmissions {
		if at > passed {
			time.AfterFunc(at-passed, func() { close(held) })
			return
		}
	}
	close(held)
}

func (k *link) passConnections(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.passConnection(c.(*net.TCPConn))
	}
}

func (k *link) passConnection(c *net.TCPConn) {
	conn, err := net.Dial("tcp4", k.to)
	if err != nil {
		_ = c.SetLinger(0) // The sidecar's port is closed.
		_ = c.Close()
		return
	}
	d := conn.(*net.TCPConn)
	var mu sync.Mutex
	fromLeader := false
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if n > 0 {
				mu.Lock()
				fromLeader = fromLeader || bytes.Contains(buf[:n], ordersCall)
				mu.Unlock()
				_, _ = d.Write(buf[:n]) // The other direction notices a closed connection.
			}
			if err != nil {
				_ = d.CloseWrite()
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := d.Read(buf)
		if n > 0 {
			mu.Lock()
			leader := fromLeader
			mu.Unlock()
			if leader {
				k.awaitRelease()
			}
			_, _ = c.Write(buf[:n]) // As above.
		}
		if err != nil {
			_ = c.Close()
			_ = d.Close()
			return
		}
	}
}

func (k *link) awaitRelease() {
	k.mu.Lock()
	held := k.heldTill
	k.mu.Unlock()
	if held != nil {
		<-held
	}
}

// passDatagrams passes datagrams on from a socket with the address of their sender.
func (k *link) passDatagrams(u *net.UDPConn) {
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(k.to))
	buf := make([]byte, 64<<10)
	for {
		n, from, err := u.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s := k.sockets[from]
		if s == nil {
			if s, err = net.DialUDP("udp4", &net.UDPAddr{IP: from.Addr().AsSlice()}, to); err != nil {
				continue
			}
			k.sockets[from] = s
		}
		_, _ = s.Write(buf[:n]) // Datagrams may be lost.
	}
}
