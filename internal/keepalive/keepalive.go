// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package keepalive ends the connections of an HTTP/1 server that are idle between two
// requests. Only the goroutine that reads a connection ends it as idle, and only when a read
// has found nothing: a request that was read is always served, and one that was not read is
// never passed on. Callers are told with each answer for how long they may keep the
// connection. It is not for deciding how long that is (package idle), nor for connections
// that this process opens.
package keepalive

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/canvaspulley/canvaspulley/internal/decide/idle"
)

// slack is added to the time for which a connection may be idle: a request that was sent at
// its end may still be on its way.
const slack = time.Second

// stopFresh is how long a connection on which nothing has come is kept in a planned stop, unless
// a Config says otherwise. A caller sends its request as soon as it is connected.
const stopFresh = 2 * time.Second

// leastTold is told to callers where less is published: one that is told nothing goes by
// whatever is published next, which this instance may not know yet.
const leastTold = time.Second

// Config is the setting of a Tracker.
type Config struct {
	Name     string        // Begins the names of its metrics.
	Unset    time.Duration // Idle time while none is published.
	Holds    time.Duration // For how long callers may go by a limit that was replaced, or by one not published yet.
	MostTold time.Duration // Longest time that callers are told to keep a connection; 0 for no bound.
	Header   time.Duration // From the first byte of a request to the end of its header.

	// StopLasts is the longest time from the start of a planned stop to the end of the process;
	// 0 for no bound.
	StopLasts time.Duration
	// StopTold has connections kept in a planned stop for what their callers were told only,
	// where nothing that is published lets callers keep them for longer.
	StopTold bool
	// StopFresh is how long a connection on which nothing has come is kept in a planned stop, from
	// the start of both; 0 for stopFresh. Clients that connect in advance need longer.
	StopFresh time.Duration
}

// Tracker knows the connections of a server.
type Tracker struct {
	cfg    Config
	log    *zap.Logger
	counts map[Cause]metrics.Counter
	open   metrics.Gauge

	mu        sync.Mutex // Guards what follows; taken after a Conn's.
	limits    *idle.Limits
	conns     map[*Conn]struct{}
	listeners map[*listener]struct{} // That are open.
	stopping  time.Time              // When the planned stop began; zero before.
}

// New returns a tracker that has no connections.
func New(cfg Config, log *zap.Logger, reg metrics.Registry) *Tracker {
	t := &Tracker{
		cfg:       cfg,
		log:       log,
		counts:    map[Cause]metrics.Counter{},
		open:      metrics.GetOrRegisterGauge(cfg.Name+".connections-open", reg),
		limits:    idle.New(cfg.Unset, cfg.Holds),
		conns:     map[*Conn]struct{}{},
		listeners: map[*listener]struct{}{},
	}
	for _, c := range causes {
		t.counts[c] = metrics.GetOrRegisterCounter(cfg.Name+".connections-closed."+string(c), reg)
	}
	return t
}

// Attach makes a server tell its callers how long they may keep their connections, and the
// tracker what becomes of these. The server must serve on a listener that Listener returns.
func (t *Tracker) Attach(srv *http.Server) {
	srv.ReadHeaderTimeout = t.cfg.Header // Set by the server where a header has begun.
	inner, connContext := srv.Handler, srv.ConnContext
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.Tell(w, r)
		inner.ServeHTTP(w, r)
	})
	srv.ConnState = func(nc net.Conn, s http.ConnState) {
		if c := connOf(nc); c != nil {
			c.enter(s)
		}
	}
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, connOf(nc))
	}
}

// Listener returns a listener whose connections the tracker knows.
func (t *Tracker) Listener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := &listener{l, t}
	t.listeners[tracked] = struct{}{}
	return tracked
}

// Publish puts the idle time of a version of the configuration in force, for connections
// that become idle from now on; others are kept for as long as their callers may think. A
// version without one (0) leaves it to the tracker's own.
func (t *Tracker) Publish(version uint64, limit time.Duration, now time.Time) {
	if limit <= 0 {
		limit = t.cfg.Unset
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.Publish(idle.Limit{Version: version, Idle: limit}, now)
}

// Stop begins the planned stop: callers are told to leave their connections. Those that do
// not come again are still kept for as long as in calm.
func (t *Tracker) Stop(now time.Time) {
	t.mu.Lock()
	t.stopping = now
	list := make([]*Conn, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c)
	}
	t.mu.Unlock()
	for _, c := range list {
		c.wake()
	}
}

// Open returns the number of open connections. In a planned stop it falls to 0 as callers
// leave them, and at the latest once no caller may use any.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// told returns for how long a caller is told to keep its connection, in whole seconds.
func (t *Tracker) told() (d time.Duration, stopping bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d = t.limits.InForce().Idle
	if t.cfg.MostTold > 0 {
		d = min(d, t.cfg.MostTold)
	}
	return max(d.Truncate(time.Second), leastTold), !t.stopping.IsZero()
}

// Tell tells a caller for how long it may keep its connection, in the head that is to go out.
// Each request begins with it; a handler repeats it right before a head that took its time,
// since a planned stop may have begun.
func (t *Tracker) Tell(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		return
	}
	told, stopping := t.told()
	if stopping || w.Header().Get("Connection") == "close" {
		w.Header().Set("Connection", "close")
		w.Header().Del("Keep-Alive")
		return
	}
	c.mu.Lock()
	c.told = told
	c.mu.Unlock()
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(told/time.Second)))
}

// term is for how long an idle connection is kept, and why.
type term struct {
	cause   Cause
	setting string // That decided.
	kept    time.Duration
	version uint64 // Of the configuration, where that decided.
}

// term decides for how long an idle connection is kept.
func (t *Tracker) term(i idleness) term {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limits.Longest(i.since)
	stopping := !t.stopping.IsZero()
	switch {
	case t.outlastsStop(i):
		return term{cause: Stopped, setting: "end of the planned stop"}
	case stopping && i.fresh:
		before := max(t.stopping.Sub(i.since), 0) // A client may have connected in advance.
		return term{cause: Stopped, setting: "planned stop, nothing received", kept: before + cmp.Or(t.cfg.StopFresh, stopFresh)}
	case stopping && t.cfg.StopTold && i.told > 0:
		return term{cause: Stopped, setting: "planned stop, told to the caller", kept: i.told + slack}
	case i.fresh && limit.Idle < t.cfg.Header:
		return term{cause: Idle, setting: "header time, nothing received", kept: t.cfg.Header}
	}
	late := slack
	if !stopping {
		late = max(slack, t.cfg.Holds) // A longer limit may be known to callers before it is here.
	}
	if i.told+slack > limit.Idle+late {
		return term{cause: Idle, setting: "told to the caller", kept: i.told + slack}
	}
	return term{cause: Idle, setting: "published idle time", kept: limit.Idle + late, version: limit.Version}
}

// outlastsStop reports whether the caller of a connection, told to keep it by an answer that
// ended in a planned stop, could use it when the process has ended. Such a connection ends
// with the answer: its caller cannot have sent another request yet.
func (t *Tracker) outlastsStop(i idleness) bool {
	if t.cfg.StopLasts <= 0 || t.stopping.IsZero() || !i.since.After(t.stopping) || i.told <= 0 {
		return false
	}
	return i.since.Add(i.told + slack).After(t.stopping.Add(t.cfg.StopLasts))
}

// listener is a listener whose connections are tracked.
type listener struct {
	net.Listener
	t *Tracker
}

// Accept returns a Conn for each TCP connection, and net.ErrClosed once CloseListeners has
// closed the listener.
func (l *listener) Accept() (nc net.Conn, err error) {
	nc, err = l.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) {
		if !l.waiting() {
			err = errors.CombineErrors(net.ErrClosed, l.Close())
			l.t.forget(l)
			break
		}
		nc, err = l.acceptWaiting()
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	return l.t.add(tcp, time.Now()), nil
}

// waiting reports whether a connection has been made that was not accepted: after its
// deadline a listener does not look for any.
func (l *listener) waiting() (some bool) {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		some = err == nil && n > 0
	})
	return err == nil && some
}

// acceptWaiting accepts a connection that waits.
func (l *listener) acceptWaiting() (nc net.Conn, err error) {
	tcp := l.Listener.(*net.TCPListener)
	if err = tcp.SetDeadline(time.Now().Add(acceptLast)); err != nil {
		return nil, err
	}
	if nc, err = tcp.Accept(); err != nil {
		return nil, err
	}
	return nc, tcp.SetDeadline(time.Unix(1, 0)) // The next looks again.
}

// acceptLast is for how long connections that were made already are still accepted before a
// listener is closed.
const acceptLast = 50 * time.Millisecond

// CloseListeners ends the taking of connections. Those that callers have made already are
// accepted first: closing a listener resets them, with the requests that are on them.
func (t *Tracker) CloseListeners(now time.Time) (err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for l := range t.listeners {
		tcp, ok := l.Listener.(*net.TCPListener)
		if !ok {
			err = errors.CombineErrors(err, l.Close())
			delete(t.listeners, l)
			continue
		}
		err = errors.CombineErrors(err, tcp.SetDeadline(now.Add(acceptLast)))
	}
	return err
}

// Drained reports whether no connection is open and none will be taken any more: a listener
// is known until all that it accepted are.
func (t *Tracker) Drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.listeners) == 0 && len(t.conns) == 0
}

func (t *Tracker) forget(l *listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.listeners, l)
}

func (t *Tracker) add(tcp *net.TCPConn, now time.Time) *Conn {
	c := &Conn{TCPConn: tcp, t: t, idleness: idleness{since: now, fresh: true}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	t.open.Update(int64(len(t.conns)))
	return c
}

func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.open.Update(int64(len(t.conns)))
}
