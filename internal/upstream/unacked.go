// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errUnacked means that the endpoint's machine acknowledged nothing for unackedLimit.
var errUnacked = errors.New("nothing is acknowledged")

// ackPollInterval is the time between two reads of the send state. It adds to unackedLimit.
const ackPollInterval = 100 * time.Millisecond

// sendState is the kernel's state of what a connection sends.
type sendState struct {
	waiting bool   // Data, or a probe of a closed window, is unacknowledged.
	data    bool   // Data is unsent or unacknowledged.
	acked   uint64 // Bytes acknowledged so far.
	// ackAge is the time since the last acknowledgement, which may acknowledge no new bytes;
	// 0 if unknown.
	ackAge time.Duration
}

// readSendState reads the send state of an open connection.
func readSendState(nc *net.TCPConn) (s sendState, err error) {
	err = withFD(nc, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		s = sendState{
			waiting: info.Unacked > 0 || info.Probes > 0,
			data:    info.Unacked > 0 || info.Notsent_bytes > 0,
			acked:   info.Bytes_acked,
			ackAge:  time.Duration(info.Last_ack_recv) * time.Millisecond,
		}
		return nil
	})
	return s, err
}

// setUnackedLimit sets how long data may be unacknowledged.
func setUnackedLimit(nc *net.TCPConn, limit time.Duration) error {
	return withFD(nc, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}

// withFD calls a function with a connection's file descriptor.
func withFD(nc *net.TCPConn, f func(fd int) error) (err error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err = raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}

// ackMonitor detects that the peer of a connection no longer acknowledges what is sent.
type ackMonitor struct {
	unackedSince time.Time // Start of the time without acknowledgements; zero if nothing is unacknowledged.
	acked        uint64    // Bytes acknowledged at the last state.
}

// observe records a send state. It reports whether the peer counts as lost: data or a probe is
// unacknowledged, and nothing was acknowledged for unackedLimit.
func (m *ackMonitor) observe(s sendState, now time.Time) bool {
	switch {
	case !s.waiting:
		m.unackedSince = time.Time{}
	case m.unackedSince.IsZero() || s.acked != m.acked:
		m.unackedSince = now
	case s.ackAge > 0 && now.Add(-s.ackAge).After(m.unackedSince):
		m.unackedSince = now.Add(-s.ackAge)
	}
	m.acked = s.acked
	return s.waiting && now.Sub(m.unackedSince) >= unackedLimit
}

// longWriteGuard monitors the acknowledgements of a connection while long requests are written.
// TCP_USER_TIMEOUT, which detects a lost peer otherwise, also counts the time of a closed window,
// although the peer acknowledges each window probe.
type longWriteGuard struct {
	nc     *net.TCPConn
	onLost func() // Closes the connection.

	mu         sync.Mutex
	writers    int  // Writes between begin and end.
	monitoring bool // Invariant: true while the socket's limit is raised.
}

// begin raises the socket's limit to the deadline of a request that is written from now on, and
// starts the monitor, which detects a lost peer instead of the socket. If the send state cannot be
// read, the limit stays. Each begin needs an end.
func (l *longWriteGuard) begin(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writers++
	if _, err := readSendState(l.nc); err != nil {
		return
	}
	if setUnackedLimit(l.nc, max(time.Until(deadline), unackedLimit)) != nil {
		return // The connection has ended.
	}
	if !l.monitoring {
		l.monitoring = true
		background.Go(func() error { l.monitor(); return nil })
	}
}

// end ends a write that begin announced.
func (l *longWriteGuard) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writers--
}

// monitor polls the send state. It returns when all that was written is acknowledged and the default
// limit is restored, or when the connection has ended. It calls onLost if the peer counts as lost.
func (l *longWriteGuard) monitor() {
	var m ackMonitor
	for {
		time.Sleep(ackPollInterval)
		s, err := readSendState(l.nc)
		if err != nil {
			return // The connection has ended.
		}
		if m.observe(s, time.Now()) {
			l.onLost()
			return
		}
		if !s.data && l.restoreLimit() {
			return
		}
	}
}

// restoreLimit sets the default limit again and ends the monitoring, unless something is being
// written. It reports whether it did. If the limit cannot be set, it calls onLost.
func (l *longWriteGuard) restoreLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writers > 0 {
		return false
	}
	l.monitoring = false
	if setUnackedLimit(l.nc, unackedLimit) != nil {
		l.onLost()
	}
	return true
}
