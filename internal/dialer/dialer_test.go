// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package dialer

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// newSocket returns a socket that does not block, and its connection for system calls.
func newSocket(t *testing.T) (fd int, raw syscall.RawConn) {
	g := NewWithT(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	g.Expect(err).NotTo(HaveOccurred())
	f := os.NewFile(uintptr(fd), "socket")
	t.Cleanup(func() { _ = f.Close() })
	raw, err = f.SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	return fd, raw
}

// listen returns the address of a listener whose queue holds one connection, and which accepts none.
func listen(t *testing.T) *unix.SockaddrInet4 {
	g := NewWithT(t)
	fd, _ := newSocket(t)
	g.Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(unix.Listen(fd, 0)).To(Succeed())
	name, err := unix.Getsockname(fd)
	g.Expect(err).NotTo(HaveOccurred())
	return name.(*unix.SockaddrInet4)
}

// connect begins to connect a new socket.
func connect(t *testing.T, to *unix.SockaddrInet4) (raw syscall.RawConn) {
	fd, raw := newSocket(t)
	NewWithT(t).Expect(unix.Connect(fd, to)).To(Or(Succeed(), MatchError(unix.EINPROGRESS)))
	return raw
}

// Guards against waiting for a peer whose machine answers no handshake.
func TestAnUnansweredHandshakeIsAbandoned(t *testing.T) {
	g := NewWithT(t)
	to := listen(t)
	connect(t, to)
	address := (&net.TCPAddr{IP: to.Addr[:], Port: to.Port}).String()
	_, err := New("", 50*time.Millisecond, 0).DialContext(context.Background(), "tcp4", address)
	g.Expect(errors.Is(err, ErrNoHandshake)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
}

// Guards against blaming a peer if the time limit expires after its kernel has answered, or before
// this process has begun to connect.
func TestAnExpiredTimerAbandonsOnlyUnansweredHandshakes(t *testing.T) {
	full := listen(t)
	connect(t, full)
	for _, tc := range []struct {
		name      string
		socket    func(t *testing.T) syscall.RawConn
		late      time.Duration // How late the timer fires.
		abandoned bool
	}{
		{name: "answered", socket: func(t *testing.T) syscall.RawConn { return connect(t, listen(t)) }},
		{name: "not begun", socket: func(t *testing.T) syscall.RawConn { _, raw := newSocket(t); return raw }},
		{name: "unanswered, the timer is late", socket: func(t *testing.T) syscall.RawConn { return connect(t, full) }, late: time.Second},
		{name: "unanswered", socket: func(t *testing.T) syscall.RawConn { return connect(t, full) }, abandoned: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			abandoned := false
			h := &handshake{timeout: time.Hour, abandon: func() { abandoned = true }, raw: tc.socket(t), due: time.Now().Add(-tc.late)}
			defer h.end()
			h.expire()
			g.Expect(abandoned).To(Equal(tc.abandoned))
			g.Expect(h.timer != nil).To(Equal(!tc.abandoned), "the time limit starts again")
		})
	}
}

// Guards against an error that hides why a connection failed.
func TestRefusalsAndCancellationsAreReported(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	_, err = New("", time.Hour, 0).DialContext(context.Background(), "tcp4", address)
	g.Expect(errors.Is(err, unix.ECONNREFUSED)).To(BeTrue(), "%v", err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = New("", time.Hour, 0).DialContext(ctx, "tcp4", address)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(err, ErrNoHandshake)).To(BeFalse())
}
