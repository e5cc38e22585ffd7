// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package dialer opens TCP connections with a time limit that counts only against the peer. The
// timeout of net.Dialer also expires if this process does not get to run although the kernel has
// completed the handshake; the peer would be blamed for it.
package dialer

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNoHandshake means that the peer's machine did not answer the handshake in time.
var ErrNoHandshake = errors.Wrap(os.ErrDeadlineExceeded, "no handshake")

// Dialer opens connections.
type Dialer struct {
	inner net.Dialer
	// timeout limits the handshake.
	timeout time.Duration
}

// New returns a dialer with a time limit for the handshake. Connections are made from the local IP
// address source, unless that is "". KeepAlive is the interval of keep-alive probes as in net.Dialer.
func New(source string, timeout, keepAlive time.Duration) Dialer {
	d := Dialer{inner: net.Dialer{KeepAlive: keepAlive}, timeout: timeout}
	if source != "" {
		d.inner.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return d
}

// DialContext opens a connection. It returns ErrNoHandshake if the peer does not answer in time.
func (d Dialer) DialContext(ctx context.Context, network, address string) (nc net.Conn, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := &handshake{timeout: d.timeout, abandon: func() { cancel(ErrNoHandshake) }}
	defer h.end()
	d.inner.Control = func(_, _ string, raw syscall.RawConn) error {
		h.begin(raw)
		return nil
	}
	nc, err = d.inner.DialContext(ctx, network, address)
	if err != nil && errors.Is(err, context.Canceled) && errors.Is(context.Cause(ctx), ErrNoHandshake) {
		return nil, errors.Wrapf(ErrNoHandshake, "dial %s %s", network, address)
	}
	return nc, err
}

// maxTimerDelay is how late a timer may fire in a process that gets to run.
const maxTimerDelay = 50 * time.Millisecond

// handshake limits the time of a handshake.
type handshake struct {
	timeout time.Duration
	abandon func() // Ends the dial.

	mu    sync.Mutex // Guards the fields below.
	raw   syscall.RawConn
	due   time.Time // When the timer should fire.
	timer *time.Timer
	ended bool
}

// begin starts the time limit of a socket that is about to connect.
func (h *handshake) begin(raw syscall.RawConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.raw = raw
	h.arm()
}

// arm sets the timer. The caller holds mu.
func (h *handshake) arm() {
	h.due = time.Now().Add(h.timeout)
	h.timer = time.AfterFunc(h.timeout, h.expire)
}

// end ends the time limit.
func (h *handshake) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	if h.timer != nil {
		h.timer.Stop()
	}
}

// expire abandons the handshake if the kernel still waits for the peer's answer. Otherwise this
// process did not get to run: it has not begun to connect, or has not noticed the answer. The same
// applies if the timer fires late, because the socket may have begun to connect as late. The time
// limit starts again then.
func (h *handshake) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.ended:
	case isUnanswered(h.raw) && time.Since(h.due) <= maxTimerDelay:
		h.abandon()
	default:
		h.arm()
	}
}

// isUnanswered reports whether a socket waits for the answer to its first segment.
func isUnanswered(raw syscall.RawConn) (unanswered bool) {
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unanswered = err == nil && info.State == unix.BPF_TCP_SYN_SENT
	})
	return err == nil && unanswered
}
