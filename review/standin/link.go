// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// network is what lies between machines. It can cut one machine off from all others, silently and in both
// directions.
type network struct {
	mu      sync.Mutex
	cutOff  int           // The machine that is cut off, valid while healed isn't nil.
	healed  chan struct{} // Closed when the cut ends; nil if there is none.
	cuts    int
	process func(machine int) int // Returns the process id of the sidecar of a machine.
}

// cut begins to cut a machine off.
func (n *network) cut(machine int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff, n.healed = machine, make(chan struct{})
	n.cuts++
}

// heal ends the cut.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.healed)
	n.healed = nil
}

// isCut reports whether the way between two machines is cut.
func (n *network) isCut(a, b int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.healed != nil && a != b && (a == n.cutOff || b == n.cutOff)
}

// await waits until the way between two machines isn't cut, and reports whether it had to.
func (n *network) await(a, b int) (waited bool) {
	for {
		n.mu.Lock()
		healed := n.healed
		blocked := healed != nil && a != b && (a == n.cutOff || b == n.cutOff)
		n.mu.Unlock()
		if !blocked {
			return waited
		}
		<-healed
		waited = true
	}
}

// link is the way to the sidecar of one machine: other machines reach it at the link's address, which passes
// on connections and datagrams unless the network is cut between the two.
type link struct {
	n       *network
	machine int
	to      string // IP:PORT of the sidecar.
	linkOf  func(ip netip.Addr) (machine int, link netip.Addr, ok bool)
	sockets map[netip.AddrPort]*net.UDPConn
}

// startLink starts the link of a machine. LinkOf returns which machine has an address, and its link's
// address, from which datagrams of that machine are passed on.
func startLink(n *network, machine int, from, to string, linkOf func(ip netip.Addr) (int, netip.Addr, bool)) error {
	k := &link{n: n, machine: machine, to: to, linkOf: linkOf, sockets: map[netip.AddrPort]*net.UDPConn{}}
	l, err := net.Listen("tcp4", from)
	if err != nil {
		return err
	}
	a, err := net.ResolveUDPAddr("udp4", from)
	if err != nil {
		return err
	}
	u, err := net.ListenUDP("udp4", a)
	if err != nil {
		return err
	}
	go k.passConnections(l)
	go k.passDatagrams(u)
	return nil
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

// passConnection passes on a connection. Bytes that a cut holds up are delivered after it, unless their
// sender has closed the connection; a connection that is opened during a cut never comes up.
func (k *link) passConnection(c *net.TCPConn) {
	sender := k.senderOf(c.RemoteAddr().String())
	if k.n.await(sender, k.machine) {
		_ = c.Close()
		return
	}
	conn, err := net.Dial("tcp4", k.to)
	if err != nil {
		_ = c.SetLinger(0) // The sidecar's port is closed.
		_ = c.Close()
		return
	}
	d := conn.(*net.TCPConn)
	go k.copyBytes(d, c, sender)
	k.copyBytes(c, d, sender)
}

func (k *link) copyBytes(to, from *net.TCPConn, sender int) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		k.n.await(sender, k.machine)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// senderOf returns the machine whose sidecar holds the socket with a local address; -1 if none does.
func (k *link) senderOf(address string) int {
	inode := inodeOf(address)
	for r := range ranks {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", k.n.process(r)))
		if err != nil {
			continue
		}
		for _, f := range files {
			if target, err := os.Readlink(f); err == nil && target == "socket:["+inode+"]" {
				return r
			}
		}
	}
	return -1
}

// inodeOf returns the inode of the TCP socket with a local address, as the kernel lists it.
func inodeOf(address string) string {
	a := netip.MustParseAddrPort(address)
	ip := a.Addr().As4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 9 && f[1] == want {
			if _, err := strconv.Atoi(f[9]); err == nil && f[9] != "0" {
				return f[9]
			}
		}
	}
	return ""
}

// passDatagrams passes datagrams on from the link address of their sender.
func (k *link) passDatagrams(u *net.UDPConn) {
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(k.to))
	buf := make([]byte, 64<<10)
	for {
		n, from, err := u.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		sender, source, ok := k.linkOf(from.Addr())
		if !ok || k.n.isCut(sender, k.machine) {
			continue // Datagrams may be lost.
		}
		s := k.sockets[from]
		if s == nil {
			if s, err = net.DialUDP("udp4", &net.UDPAddr{IP: source.AsSlice()}, to); err != nil {
				continue
			}
			k.sockets[from] = s
		}
		_, _ = s.Write(buf[:n]) // As above.
	}
}
