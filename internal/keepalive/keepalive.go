// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package keepalive limits how long connections of an HTTP/1 server are idle between two
// requests. Only the goroutine that reads a connection ends it as idle, and only after a read
// that found no byte: so a request that was read is always served, and a request that was not
// read is never passed on. Each answer advertises a keep-alive timeout to its caller. Package
// idle chooses the limit. Connections that this process opens are out of scope.
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
	"github.com/canvaspulley/canvaspulley/internal/duty"
)

const transitMargin = idle.TransitMargin

// stopNewConnTimeout is the default of Config.StopNewConnTimeout. A caller sends its request as
// soon as it is connected.
const stopNewConnTimeout = 2 * time.Second

// minAdvertised is the shortest keep-alive timeout that is advertised. A caller without one goes
// by the next published limit, which this instance may not know yet.
const minAdvertised = time.Second

// Config is the setting of a Tracker.
type Config struct {
	Name              string        // Prefix of the metric names.
	IdleTimeout       time.Duration // In force until a version of the configuration is published.
	PropagationDelay  time.Duration // Longest time for which a caller and this process may go by different versions.
	MaxAdvertised     time.Duration // Longest keep-alive timeout that is advertised; 0 for no bound.
	ReadHeaderTimeout time.Duration // From the first byte of a request to the end of its header.

	// GracePeriod is the longest time from the start of a planned stop to the end of the process;
	// 0 for no bound.
	GracePeriod time.Duration
	// StopAtAdvertised ends a connection in a planned stop when its advertised timeout expires,
	// because callers go by no published limit.
	StopAtAdvertised bool
	// StopNewConnTimeout limits how long a connection without a request is kept in a planned
	// stop, from the start of the later of both; 0 for stopNewConnTimeout. Clients that connect
	// in advance need longer.
	StopNewConnTimeout time.Duration
}

// acceptances tells of the connections that were accepted.
type acceptances struct {
	n    int
	last time.Time // When the last one was; zero before the first.
}

// Tracker tracks the connections of a server.
type Tracker struct {
	cfg    Config
	log    *zap.Logger
	counts map[Cause]metrics.Counter
	open   metrics.Gauge
	inUse  metrics.Counter // Listeners that closed while callers were connecting.

	mu        sync.Mutex // Guards the fields below; taken after the mutex of a Conn.
	limits    *idle.Limits
	conns     map[*Conn]struct{}
	listeners map[*listener]struct{} // The open ones.
	accepted  acceptances            // Since the start.
	stopping  time.Time              // When the planned stop began; zero before.
	atEnd     bool                   // The process ends: requests under way are cut.
}

// New returns a tracker without connections.
func New(cfg Config, log *zap.Logger, reg metrics.Registry) *Tracker {
	t := &Tracker{
		cfg:       cfg,
		log:       log,
		counts:    map[Cause]metrics.Counter{},
		open:      metrics.GetOrRegisterGauge(cfg.Name+".connections-open", reg),
		inUse:     metrics.GetOrRegisterCounter(cfg.Name+".listeners-closed-in-use", reg),
		limits:    idle.New(cfg.IdleTimeout, cfg.PropagationDelay),
		conns:     map[*Conn]struct{}{},
		listeners: map[*listener]struct{}{},
	}
	for _, c := range causes {
		t.counts[c] = metrics.GetOrRegisterCounter(cfg.Name+".connections-closed."+string(c), reg)
	}
	return t
}

// Attach makes a server advertise keep-alive timeouts and report the states of its connections
// to the tracker. The server must serve on a listener that Listener returns.
func (t *Tracker) Attach(srv *http.Server) {
	srv.ReadHeaderTimeout = t.cfg.ReadHeaderTimeout // The server sets it where a header has begun.
	inner, connContext := srv.Handler, srv.ConnContext
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.Advertise(w, r)
		inner.ServeHTTP(w, r)
	})
	srv.ConnState = func(nc net.Conn, s http.ConnState) {
		if c := connOf(nc); c != nil {
			c.onConnState(s)
		}
	}
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, connOf(nc))
	}
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := &listener{Listener: l, t: t}
	t.listeners[tracked] = struct{}{}
	return tracked
}

// Publish puts the idle timeout of a version of the configuration in force for connections that
// become idle from now on. Others are kept for as long as their callers may go by an earlier
// version. A limit of 0 stands for Config.IdleTimeout.
func (t *Tracker) Publish(version uint64, limit time.Duration, now time.Time) {
	if limit <= 0 {
		limit = t.cfg.IdleTimeout
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.Publish(idle.Limit{Version: version, Idle: limit}, now)
}

// Stop begins the planned stop: answers ask callers to close their connections. Connections of
// callers that send no further request are kept for as long as outside a stop.
func (t *Tracker) Stop(now time.Time) {
	var list []*Conn
	duty.Locked(&t.mu, func() {
		t.stopping = now
		list = make([]*Conn, 0, len(t.conns))
		for c := range t.conns {
			list = append(list, c)
		}
	})
	for _, c := range list {
		c.refreshDeadline()
	}
}

// MarkProcessEnding marks that the process ends: connections that close under a request count as ended with it.
func (t *Tracker) MarkProcessEnding() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.atEnd = true
}

func (t *Tracker) ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.atEnd
}

// OpenConns returns the number of open connections. In a planned stop it falls to 0 as callers close
// them, at the latest when no caller may use one any more.
func (t *Tracker) OpenConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// advertised returns the keep-alive timeout to advertise, in whole seconds.
func (t *Tracker) advertised() (d time.Duration, stopping bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d = t.limits.Current().Idle
	if t.cfg.MaxAdvertised > 0 {
		d = min(d, t.cfg.MaxAdvertised)
	}
	return max(d.Truncate(time.Second), minAdvertised), !t.stopping.IsZero()
}

// Advertise sets the headers of an answer that tell a caller how long it may keep its connection.
// The tracker calls it at the start of each request. A handler calls it again right before a
// delayed head goes out, because a planned stop may have begun.
func (t *Tracker) Advertise(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		return
	}
	advertised, stopping := t.advertised()
	if stopping || w.Header().Get("Connection") == "close" {
		w.Header().Set("Connection", "close")
		w.Header().Del("Keep-Alive")
		return
	}
	duty.Locked(&c.mu, func() { c.advertised = advertised })
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(advertised/time.Second)))
}

// idleTimeout is the timeout of an idle connection, and why it was chosen.
type idleTimeout struct {
	cause   Cause
	setting string // The setting that decided.
	timeout time.Duration
	version uint64 // Version of the configuration, if a published limit decided.
}

// idleTimeout chooses the timeout of an idle connection.
func (t *Tracker) idleTimeout(i idlePeriod) idleTimeout {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limits.Longest(i.since)
	stopping := !t.stopping.IsZero()
	switch {
	case t.usableAfterExit(i):
		return idleTimeout{cause: Stopped, setting: "end of the planned stop", timeout: t.stopping.Add(t.cfg.GracePeriod).Sub(i.since)}
	case stopping && i.isNew:
		before := max(t.stopping.Sub(i.since), 0) // A client may connect in advance.
		return idleTimeout{cause: Stopped, setting: "planned stop, nothing received", timeout: before + cmp.Or(t.cfg.StopNewConnTimeout, stopNewConnTimeout)}
	case stopping && t.cfg.StopAtAdvertised && i.advertised > 0:
		return idleTimeout{cause: Stopped, setting: "planned stop, advertised to the caller", timeout: i.advertised + transitMargin}
	case i.isNew && limit.Idle < t.cfg.ReadHeaderTimeout:
		return idleTimeout{cause: Idle, setting: "header time, nothing received", timeout: t.cfg.ReadHeaderTimeout}
	}
	margin := transitMargin
	if !stopping {
		margin = max(transitMargin, t.cfg.PropagationDelay) // Callers may know a longer limit before this process does.
	}
	if i.advertised+transitMargin > limit.Idle+margin {
		return idleTimeout{cause: Idle, setting: "advertised to the caller", timeout: i.advertised + transitMargin}
	}
	return idleTimeout{cause: Idle, setting: "published idle time", timeout: limit.Idle + margin, version: limit.Version}
}

// usableAfterExit reports whether a caller could use its connection after the end of the process,
// because the answer ended in a planned stop and its head advertised too long a timeout. Such a
// connection is read until the end of the stop: whoever sends a request is told to leave.
func (t *Tracker) usableAfterExit(i idlePeriod) bool {
	if t.cfg.GracePeriod <= 0 || t.stopping.IsZero() || !i.since.After(t.stopping) || i.advertised <= 0 {
		return false
	}
	return i.since.Add(i.advertised + transitMargin).After(t.stopping.Add(t.cfg.GracePeriod))
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	t     *Tracker
	until time.Time // Until when it accepts connections that wait; zero before it ends. Accept's own.
}

// Accept returns a Conn for each TCP connection. It returns net.ErrClosed after CloseListeners has
// closed the listener.
func (l *listener) Accept() (nc net.Conn, err error) {
	nc, err = l.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) {
		now := time.Now()
		if l.until.IsZero() {
			l.until = now.Add(pendingTime)
		}
		if !l.hasPending() || now.After(l.until) {
			err = errors.CombineErrors(net.ErrClosed, l.Close())
			break
		}
		nc, err = l.acceptPending()
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

// Close closes and forgets the listener, also as a server that ends closes it.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.t.onListenerClose(l, time.Now())
	return err
}

// hasPending reports whether a connection waits to be accepted. It asks the kernel, because a
// listener accepts none after its deadline.
func (l *listener) hasPending() (pending bool) {
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
		pending = err == nil && n > 0
	})
	return err == nil && pending
}

// acceptPending accepts a connection that waits.
func (l *listener) acceptPending() (nc net.Conn, err error) {
	tcp := l.Listener.(*net.TCPListener)
	if err = tcp.SetDeadline(time.Now().Add(finalAcceptTime)); err != nil {
		return nil, err
	}
	if nc, err = tcp.Accept(); err != nil {
		return nil, err
	}
	return nc, tcp.SetDeadline(time.Unix(1, 0)) // The next Accept checks again.
}

// pendingTime is how long a listener that closes accepts connections that wait, because callers may
// connect without a pause. It counts from the first look, as a busy process may look late. Requests
// on those connections still have a part of the process's last 0.3 s.
const pendingTime = 200 * time.Millisecond

// finalAcceptTime is how long a listener still accepts connections before it closes. Connections
// that callers have made already would be reset.
const finalAcceptTime = 50 * time.Millisecond

// CloseListeners has the listeners accept the connections that callers have made already, and
// close then, because closing a listener resets those connections with the requests on them.
func (t *Tracker) CloseListeners(now time.Time) (err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for l := range t.listeners {
		tcp, ok := l.Listener.(*net.TCPListener)
		if !ok {
			err = errors.CombineErrors(err, l.Listener.Close())
			delete(t.listeners, l)
			continue
		}
		err = errors.CombineErrors(err, tcp.SetDeadline(now.Add(finalAcceptTime)))
	}
	return err
}

// Drained reports whether no connection is open and none will be accepted any more. A listener
// counts as open until it has accepted all of its connections.
func (t *Tracker) Drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.listeners) == 0 && len(t.conns) == 0
}

// inUseTime is how shortly before the close of a listener a caller must have connected for the
// listener to count as in use: handshakes of further callers may be under way.
const inUseTime = time.Second

// onListenerClose forgets a closed listener and logs how lately callers connected. The kernel
// resets the connections whose handshake is under way; no process sees those.
func (t *Tracker) onListenerClose(l *listener, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.listeners[l]; !open {
		return
	}
	delete(t.listeners, l)
	log, fields := t.log.Info, []zap.Field{zap.Stringer("address", l.Addr()), zap.Int("accepted", t.accepted.n)}
	if !t.accepted.last.IsZero() {
		since := now.Sub(t.accepted.last)
		fields = append(fields, zap.Duration("since-last", since.Truncate(time.Microsecond)))
		if since < inUseTime {
			t.inUse.Inc(1)
			log = t.log.Warn
		}
	}
	log("listener closed", fields...)
}

func (t *Tracker) add(tcp *net.TCPConn, now time.Time) *Conn {
	c := &Conn{TCPConn: tcp, t: t, idlePeriod: idlePeriod{since: now, isNew: true}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	t.accepted.n++
	t.accepted.last = now
	t.open.Update(int64(len(t.conns)))
	return c
}

func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.open.Update(int64(len(t.conns)))
}
