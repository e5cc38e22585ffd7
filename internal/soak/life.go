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

// incarnation is one process from its start to its end. Its fields are guarded by the ledger's mu.
type incarnation struct {
	name        string
	pid         int
	startAt     time.Time      // Before it was started.
	termAt      time.Time      // Before the first SIGTERM was sent; zero for none.
	killAt      time.Time      // Before the first SIGKILL was sent; zero for none.
	endAt       time.Time      // When its end was seen; zero before.
	err         error          // Of its end.
	signal      syscall.Signal // That ended it; 0 for none.
	connectedAt time.Time      // When a caller first had a connection to it; zero for never.
}

// signalOf returns the signal that ended a process; 0 where none did.
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

// killed reports whether it ended by the SIGKILL that the soak sent.
func (l *incarnation) killed() bool { return !l.killAt.IsZero() && l.signal == syscall.SIGKILL }

// explained reports whether the signals that it was sent explain its end. A SIGTERM may end
// a process that has not begun to catch signals; no caller has met it then.
func (l *incarnation) explained() bool {
	planned := !l.termAt.IsZero() && (l.err == nil || l.connectedAt.IsZero() && l.signal == syscall.SIGTERM)
	return planned || l.killed()
}

// String tells a life's signals and end.
func (l *incarnation) String() string {
	text := fmt.Sprintf("%s, pid %d", l.name, l.pid)
	for _, one := range []struct {
		name string
		at   time.Time
	}{{"SIGTERM", l.termAt}, {"SIGKILL", l.killAt}} {
		if !one.at.IsZero() {
			text += fmt.Sprintf(", %s at %s", one.name, one.at.Format(timeFormat))
		}
	}
	if l.endAt.IsZero() {
		return text + ", alive"
	}
	return text + fmt.Sprintf(", ended at %s (%v)", l.endAt.Format(timeFormat), l.err)
}

// recordSignal notes that a life is about to be sent a signal to end.
func (l *ledger) recordSignal(one *incarnation, sig syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := &one.termAt
	if sig == syscall.SIGKILL {
		at = &one.killAt
	}
	if at.IsZero() {
		*at = time.Now()
	}
}

// incarnationsDuring returns the lives of a gateway that overlap a time: several only where a caller's
// clock cannot tell which of them it was.
func (l *ledger) incarnationsDuring(gateway int, s span) (list []*incarnation) {
	for _, one := range l.processes[gateway] {
		if !one.startAt.After(s.to) && (one.endAt.IsZero() || !one.endAt.Before(s.from)) {
			list = append(list, one)
		}
	}
	return list
}

// trackedConn is a caller's connection, with its end as the caller saw it.
type trackedConn struct {
	net.Conn
	dialed span

	mu             sync.Mutex // Guards what follows.
	lastReadAt     time.Time  // When bytes came last; zero before.
	err            error      // By which the gateway's side ended; nil before.
	errAt          time.Time
	closedByCaller bool // The caller has closed it.
}

// dial connects a caller to its gateway.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: callerTimeout}
	from := time.Now()
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c, dialed: span{from, time.Now()}}, nil
}

// Read reads and notes the end of the connection.
func (t *trackedConn) Read(b []byte) (n int, err error) {
	n, err = t.Conn.Read(b)
	t.record(n, err)
	return n, err
}

// Write writes and notes the end of the connection.
func (t *trackedConn) Write(b []byte) (n int, err error) {
	n, err = t.Conn.Write(b)
	t.record(0, err)
	return n, err
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

// Close closes the caller's side.
func (t *trackedConn) Close() error {
	t.mu.Lock()
	t.closedByCaller = true
	t.mu.Unlock()
	return t.Conn.Close()
}

// ended returns when and by what the gateway's side ended.
func (t *trackedConn) ended() (at time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.errAt, t.err
}

// lastRead returns when bytes came last; zero for never.
func (t *trackedConn) lastRead() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastReadAt
}

// recordConn notes that a request goes over a connection. The caller holds mu.
func (l *ledger) recordConn(r *request, conn net.Conn) {
	t, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	r.conn, r.refusedDial, r.idleTime = t, span{}, 0
	if last := t.lastRead(); !last.IsZero() {
		r.idleTime = time.Since(last)
	}
	for _, one := range l.incarnationsDuring(r.gateway, t.dialed) {
		if one.connectedAt.IsZero() {
			one.connectedAt = t.dialed.to
		}
	}
}

// traceConns has the connections of a request noted.
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

// checkRefused checks that a process that callers have met and that was told nothing still
// takes connections. The caller holds mu.
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
