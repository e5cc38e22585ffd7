// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package keepalive ends the connections of an HTTP/1 server that are idle between two
// requests. Only the goroutine that reads a connection ends it as idle, and only when a read
// has found nothing: a request that was read is always served, and one that was not read is
// never passed on. Callers are told with each answer for how long they may keep the
// connection. It is not for deciding how long that is (package idle), nor for connections
// that this process opens.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/idle"
)

// slack is added to the time for which a connection may be idle: a request that was sent at
// its end may still be on its way.
const slack = time.Second

// stopFresh is how long a connection on which nothing has come is kept in a planned stop. A
// caller sends its request as soon as it is connected.
const stopFresh = 2 * time.Second

// leastTold is told to callers where less is published: one that is told nothing goes by
// whatever is published next, which this instance may not know yet.
const leastTold = time.Second

// Config is the setting of a Tracker.
type Config struct {
	Name     string        // Begins the names of its metrics.
	Unset    time.Duration // Idle time while none is published.
	Holds    time.Duration // For how long callers may go by a limit that was replaced.
	MostTold time.Duration // Longest time that callers are told: a planned stop waits for as long. 0 for no bound.
	Header   time.Duration // From the first byte of a request to the end of its header.
}

// Tracker knows the connections of a server.
type Tracker struct {
	cfg    Config
	log    *zap.Logger
	counts map[Cause]metrics.Counter
	open   metrics.Gauge

	mu       sync.Mutex // Guards what follows; taken after a Conn's.
	limits   *idle.Limits
	conns    map[*Conn]struct{}
	stopping time.Time // When the planned stop began; zero before.
}

// New returns a tracker that has no connections.
func New(cfg Config, log *zap.Logger, reg metrics.Registry) *Tracker {
	t := &Tracker{
		cfg:    cfg,
		log:    log,
		counts: map[Cause]metrics.Counter{},
		open:   metrics.GetOrRegisterGauge(cfg.Name+".connections-open", reg),
		limits: idle.New(cfg.Unset, cfg.Holds),
		conns:  map[*Conn]struct{}{},
	}
	for _, c := range causes {
		t.counts[c] = metrics.GetOrRegisterCounter(cfg.Name+".connections-closed."+string(c), reg)
	}
	return t
}

// Attach makes a server tell its callers how long they may keep their connections, and the
// tracker what becomes of these. The server must serve on a listener that Listener returns.
func (t *Tracker) Attach(srv *http.Server) {
	inner, connContext := srv.Handler, srv.ConnContext
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.tell(w, r)
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
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{l, t} }

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

// Stop begins the planned stop: callers are told to leave their connections, and what is
// idle is kept only for as long as its caller was told.
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

// Open returns the number of open connections. In a planned stop it falls to 0 once no
// caller may send on any.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// told returns for how long a caller is told to keep its connection, in whole seconds.
func (t *Tracker) told() (d time.Duration, stopping bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.atMost(t.limits.InForce().Idle).Truncate(time.Second), leastTold), !t.stopping.IsZero()
}

// atMost bounds what callers are told.
func (t *Tracker) atMost(d time.Duration) time.Duration {
	if t.cfg.MostTold > 0 {
		return min(d, t.cfg.MostTold)
	}
	return d
}

// tell tells a caller for how long it may keep its connection.
func (t *Tracker) tell(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		return
	}
	told, stopping := t.told()
	if stopping {
		w.Header().Set("Connection", "close")
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
	case stopping && i.fresh:
		return term{cause: Stopped, setting: "planned stop, nothing received", kept: stopFresh}
	case stopping && i.told > 0:
		return term{cause: Stopped, setting: "planned stop, told to the caller", kept: i.told + slack}
	case stopping:
		return term{cause: Stopped, setting: "planned stop", kept: t.atMost(limit.Idle) + slack}
	case i.fresh && limit.Idle < t.cfg.Header:
		return term{cause: Idle, setting: "header time, nothing received", kept: t.cfg.Header}
	case i.told > limit.Idle:
		return term{cause: Idle, setting: "told to the caller", kept: i.told + slack}
	}
	return term{cause: Idle, setting: "published idle time", kept: limit.Idle + slack, version: limit.Version}
}

type listener struct {
	net.Listener
	t *Tracker
}

// Accept returns a Conn for each TCP connection.
func (l listener) Accept() (nc net.Conn, err error) {
	if nc, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	return l.t.add(tcp, time.Now()), nil
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
