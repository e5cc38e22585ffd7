// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"
)

// incarnation is one run of a daemon's process from start to end. Its fields are guarded by the
// ledger's mu.
type incarnation struct {
	name        string
	pid         int
	startAt     time.Time      // Taken before the process was started.
	termAt      time.Time      // Taken before the first SIGTERM was sent; zero for none.
	killAt      time.Time      // Taken before the first SIGKILL was sent; zero for none.
	endAt       time.Time      // When the end of the process was observed; zero before.
	err         error          // Result of waiting for the process.
	signal      syscall.Signal // Signal that ended the process; 0 for none.
	connectedAt time.Time      // When a caller first had a connection to the process; zero for never.
}

// signalOf returns the signal that ended a process, by the error of waiting for it; 0 for none.
func signalOf(err error) syscall.Signal {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return 0
	}
	if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return status.Signal()
	}
	return 0
}

// killed reports whether the process was ended by the soak's SIGKILL.
func (i *incarnation) killed() bool { return !i.killAt.IsZero() && i.signal == syscall.SIGKILL }

// explained reports whether the soak's signals explain the end of the process. A SIGTERM may end a
// process that does not catch signals yet; no caller has connected to it then.
func (i *incarnation) explained() bool {
	planned := !i.termAt.IsZero() && (i.err == nil || i.connectedAt.IsZero() && i.signal == syscall.SIGTERM)
	return planned || i.killed()
}

// String describes an incarnation with its signals and its end.
func (i *incarnation) String() string {
	text := fmt.Sprintf("%s, pid %d", i.name, i.pid)
	for _, one := range []struct {
		name string
		at   time.Time
	}{{"SIGTERM", i.termAt}, {"SIGKILL", i.killAt}} {
		if !one.at.IsZero() {
			text += fmt.Sprintf(", %s at %s", one.name, one.at.Format(timeFormat))
		}
	}
	if i.endAt.IsZero() {
		return text + ", alive"
	}
	return text + fmt.Sprintf(", ended at %s (%v)", i.endAt.Format(timeFormat), i.err)
}

// recordSignal records that an incarnation is about to be sent a signal to end.
func (l *ledger) recordSignal(process *incarnation, sig syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := &process.termAt
	if sig == syscall.SIGKILL {
		at = &process.killAt
	}
	if at.IsZero() {
		*at = time.Now()
	}
}

// incarnationsDuring returns the incarnations of a gateway that overlap a period: several only when
// the period is too long to show to which of them a caller connected.
func (l *ledger) incarnationsDuring(gateway int, s span) (list []*incarnation) {
	for _, process := range l.processes[gateway] {
		if !process.startAt.After(s.to) && (process.endAt.IsZero() || !process.endAt.Before(s.from)) {
			list = append(list, process)
		}
	}
	return list
}

// trackedConn is a caller's connection that records its end as the caller observed it.
type trackedConn struct {
	net.Conn
	dialed span

	mu             sync.Mutex // Guards the fields below.
	lastReadAt     time.Time  // When bytes were last received; zero before.
	lastWriteAt    time.Time  // When bytes were last sent; zero before.
	err            error      // Error that showed the end by the gateway; nil before.
	errAt          time.Time
	closedByCaller bool // The caller has closed the connection.
}

// dial connects a caller to its gateway.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dialTracked(ctx, network, address)
	if err != nil {
		return nil, err // Not a nil pointer in an interface.
	}
	return c, nil
}

func dialTracked(ctx context.Context, network, address string) (*trackedConn, error) {
	d := net.Dialer{Timeout: callerTimeout}
	from := time.Now()
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c, dialed: span{from, time.Now()}}, nil
}

// Read reads, and records the end of the connection.
func (t *trackedConn) Read(b []byte) (n int, err error) {
	n, err = t.Conn.Read(b)
	t.record(n, err)
	return n, err
}

// Write writes, and records the end of the connection.
func (t *trackedConn) Write(b []byte) (n int, err error) {
	n, err = t.Conn.Write(b)
	t.recordWrite()
	t.record(0, err)
	return n, err
}

func (t *trackedConn) recordWrite() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastWriteAt = time.Now()
}

func (t *trackedConn) record(read int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if read > 0 {
		t.lastReadAt = time.Now()
	}
	var timeout net.Error
	if err == nil || t.err != nil || t.closedByCaller || errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	t.err, t.errAt = err, time.Now()
}

// Close closes the connection on the caller's side.
func (t *trackedConn) Close() error {
	t.mu.Lock()
	t.closedByCaller = true
	t.mu.Unlock()
	return t.Conn.Close()
}

// ended returns when and by which error the gateway's side ended; nil before.
func (t *trackedConn) ended() (at time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.errAt, t.err
}

// lastRead returns when bytes were last received; zero for never.
func (t *trackedConn) lastRead() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastReadAt
}

// lastWrite returns when bytes were last sent; zero for never.
func (t *trackedConn) lastWrite() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastWriteAt
}

// recordConn records that a request is sent on a connection. The caller holds mu.
func (l *ledger) recordConn(r *request, conn net.Conn) {
	t, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	r.conn, r.refusedDial, r.idleTime = t, span{}, 0
	if last := t.lastRead(); !last.IsZero() {
		r.idleTime = time.Since(last)
	}
	if list := l.incarnationsDuring(r.gateway, t.dialed); len(list) == 1 && list[0].connectedAt.IsZero() {
		list[0].connectedAt = t.dialed.to
	}
}

// traceConns returns a context that records the connections of a request.
func (l *ledger) traceConns(ctx context.Context, r *request) context.Context {
	var from time.Time
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { l.do(func(l *ledger) { l.recordConn(r, info.Conn) }) },
		ConnectStart: func(string, string) { l.do(func(*ledger) { from = time.Now() }) },
		ConnectDone: func(_, _ string, err error) {
			l.do(func(*ledger) {
				if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
					r.conn, r.refusedDial = nil, span{from, time.Now()}
				}
			})
		},
	})
}

// checkRefused checks that a process accepts connections from the first connection of a caller until
// it is signalled or ends. The caller holds mu.
func (l *ledger) checkRefused(r *request, report func(*request, string, ...any)) {
	if r.refusedDial.to.IsZero() {
		return
	}
	list := l.incarnationsDuring(r.gateway, r.refusedDial)
	if len(list) != 1 || list[0].connectedAt.IsZero() || list[0].connectedAt.After(r.refusedDial.from) {
		return
	}
	notSignalled := !slices.ContainsFunc([]time.Time{list[0].termAt, list[0].killAt, list[0].endAt}, func(at time.Time) bool { return !at.IsZero() && at.Before(r.refusedDial.to) })
	if notSignalled {
		report(r, "its connection was refused by a process that was told nothing (%v)", list[0])
	}
}
