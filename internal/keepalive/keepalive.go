// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package keepalive limits how long connections of an HTTP/1 server are idle between two
// requests. Only the goroutine that reads a connection ends it as idle, and only after a read
// that returned no byte: so a request that was read is always served, and a request that was not
// read is never passed to the handler. Each answer advertises a keep-alive timeout to its caller.
// Package idletimeout chooses the limit. Connections that this process opens are out of scope.
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

	"github.com/canvaspulley/canvaspulley/internal/decide/idletimeout"
	"github.com/canvaspulley/canvaspulley/internal/duty"
)

const transitMargin = idletimeout.TransitMargin

// StopNewConnTimeout is the default of Config.StopNewConnTimeout, and the time that a process with a
// GracePeriod leaves between the close of its listeners and its end. It can be short because a caller
// usually sends its request as soon as it is connected.
const StopNewConnTimeout = 2 * time.Second

// minAdvertised is the shortest keep-alive timeout that is advertised. A caller to whom none is
// advertised uses the next published limit, which this instance may not know yet.
const minAdvertised = time.Second

// Config configures a Tracker.
type Config struct {
	Name              string        // Prefix of the metric names.
	IdleTimeout       time.Duration // In effect until a version of the configuration is published.
	PropagationDelay  time.Duration // Longest time for which a caller and this process may use different versions.
	MaxAdvertised     time.Duration // Longest keep-alive timeout that is advertised; 0 for no bound.
	ReadHeaderTimeout time.Duration // From the first byte of a request to the end of its header.

	// GracePeriod is the longest time from the start of a planned stop to the end of the process;
	// 0 for no bound.
	GracePeriod time.Duration
	// StopAtAdvertised ends a connection in a planned stop when its advertised timeout expires,
	// because callers do not know the published limits.
	StopAtAdvertised bool
	// StopNewConnTimeout limits how long a connection without a request is kept in a planned
	// stop of unknown length, counted from the later of its opening and the start of the stop; 0
	// for the default. Clients that connect in advance need longer. With a GracePeriod such a
	// connection is kept until the end of the stop.
	StopNewConnTimeout time.Duration
}

// acceptStats counts the accepted connections.
type acceptStats struct {
	n    int
	last time.Time // When the last one was accepted; zero before the first.
}

// Tracker tracks the connections of a server.
type Tracker struct {
	cfg         Config
	log         *zap.Logger
	counts      map[Cause]metrics.Counter
	openConns   metrics.Gauge
	closedInUse metrics.Counter // Listeners that closed while callers were connecting.

	mu            sync.Mutex // Guards the fields below; taken after the mutex of a Conn.
	limits        *idletimeout.Limits
	conns         map[*Conn]struct{}
	listeners     map[*listener]struct{} // The open ones.
	accepts       acceptStats            // Since the tracker was created.
	stopBegan     time.Time              // When the planned stop began; zero before that.
	processEnding bool                   // The process is ending: requests in flight are cut off.
}

// New returns a tracker without connections.
func New(cfg Config, log *zap.Logger, reg metrics.Registry) *Tracker {
	t := &Tracker{
		cfg:         cfg,
		log:         log,
		counts:      map[Cause]metrics.Counter{},
		openConns:   metrics.GetOrRegisterGauge(cfg.Name+".connections-open", reg),
		closedInUse: metrics.GetOrRegisterCounter(cfg.Name+".listeners-closed-in-use", reg),
		limits:      idletimeout.New(cfg.IdleTimeout, cfg.PropagationDelay),
		conns:       map[*Conn]struct{}{},
		listeners:   map[*listener]struct{}{},
	}
	for _, c := range causes {
		t.counts[c] = metrics.GetOrRegisterCounter(cfg.Name+".connections-closed."+string(c), reg)
	}
	return t
}

// Attach makes a server advertise keep-alive timeouts and report the states of its connections
// to the tracker. The server must serve on a listener that Listener returns.
func (t *Tracker) Attach(srv *http.Server) {
	srv.ReadHeaderTimeout = t.cfg.ReadHeaderTimeout // The server uses it for a header that has begun.
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
	tracked := &listener{Listener: l, tracker: t}
	t.listeners[tracked] = struct{}{}
	return tracked
}

// Publish applies the idle timeout of a version of the configuration to connections that become
// idle from now on. Others are kept for as long as their callers may use an earlier version. A
// limit of 0 means Config.IdleTimeout.
func (t *Tracker) Publish(version uint64, limit time.Duration, now time.Time) {
	if limit <= 0 {
		limit = t.cfg.IdleTimeout
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.Publish(idletimeout.Limit{Version: version, Idle: limit}, now)
}

// Stop begins the planned stop: answers ask callers to close their connections. Connections of
// callers that send no further request are kept for as long as outside a stop, with two exceptions:
// some fields of Config apply only in a planned stop, and PropagationDelay no longer counts.
func (t *Tracker) Stop(now time.Time) {
	var list []*Conn
	duty.Locked(&t.mu, func() {
		t.stopBegan = now
		list = make([]*Conn, 0, len(t.conns))
		for c := range t.conns {
			list = append(list, c)
		}
	})
	for _, c := range list {
		c.refreshDeadline()
	}
}

// MarkProcessEnding records that the process is ending: connections that close during a request
// are counted as ProcessEnd from then on.
func (t *Tracker) MarkProcessEnding() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.processEnding = true
}

func (t *Tracker) isProcessEnding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.processEnding
}

// OpenConns returns the number of open connections. In a planned stop it falls to 0 as callers
// close them, at the latest when no caller may use one any more.
func (t *Tracker) OpenConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// timeoutToAdvertise returns the keep-alive timeout to advertise, in whole seconds and at least
// minAdvertised, and whether a planned stop has begun.
func (t *Tracker) timeoutToAdvertise() (d time.Duration, stopping bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d = t.limits.Current().Idle
	if t.cfg.MaxAdvertised > 0 {
		d = min(d, t.cfg.MaxAdvertised)
	}
	return max(d.Truncate(time.Second), minAdvertised), !t.stopBegan.IsZero()
}

// Advertise sets the headers of an answer that tell a caller how long it may keep its connection.
// The tracker calls it at the start of each request. A handler calls it again right before a
// delayed head goes out, because a planned stop may have begun.
func (t *Tracker) Advertise(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		return
	}
	advertised, stopping := t.timeoutToAdvertise()
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
	setting string        // The rule that determined the timeout, for the log.
	timeout time.Duration // Counted from the time at which the connection became idle.
	version uint64        // Version of the configuration, if a published limit determined the timeout.
}

// chooseTimeout chooses the timeout of an idle connection. Special rules come first: for a
// connection that its caller may believe usable after the end of the process, or that it may have
// opened in advance, for a planned stop, and for a connection that has carried no request while the
// limit is below ReadHeaderTimeout.
// Otherwise the timeout is the published limit or the advertised timeout, each with a margin,
// whichever is longer.
func (t *Tracker) chooseTimeout(i idlePeriod) idleTimeout {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limits.Longest(i.since)
	stopping := !t.stopBegan.IsZero()
	switch {
	case stopping && i.isNew && t.cfg.GracePeriod > 0, t.usableAfterExit(i):
		return idleTimeout{cause: Stopped, setting: "end of the planned stop", timeout: t.stopBegan.Add(t.cfg.GracePeriod).Sub(i.since)}
	case stopping && i.isNew:
		before := max(t.stopBegan.Sub(i.since), 0) // A client may connect in advance.
		return idleTimeout{cause: Stopped, setting: "planned stop, nothing received", timeout: before + cmp.Or(t.cfg.StopNewConnTimeout, StopNewConnTimeout)}
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

// usableAfterExit reports whether a caller may believe its connection usable after the process has
// ended. That is so if the last answer was completed during a planned stop, but its head had
// advertised a timeout that lasts beyond the end of the stop. Such a connection is read until the
// end of the stop. If another request arrives by then, its answer asks the caller to close the
// connection.
func (t *Tracker) usableAfterExit(i idlePeriod) bool {
	if t.cfg.GracePeriod <= 0 || t.stopBegan.IsZero() || !i.since.After(t.stopBegan) || i.advertised <= 0 {
		return false
	}
	return i.since.Add(i.advertised + transitMargin).After(t.stopBegan.Add(t.cfg.GracePeriod))
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	tracker     *Tracker
	acceptUntil time.Time // End of accepting pending connections; zero before the close deadline. Used by Accept only.
}

// Accept returns a Conn for each TCP connection. It returns net.ErrClosed after CloseListeners has
// closed the listener.
func (l *listener) Accept() (nc net.Conn, err error) {
	nc, err = l.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) {
		now := time.Now()
		if l.acceptUntil.IsZero() {
			l.acceptUntil = now.Add(pendingAcceptTime)
		}
		if !l.hasPending() || now.After(l.acceptUntil) {
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
	return l.tracker.add(tcp, time.Now()), nil
}

// Close closes the listener and removes it from the tracker, also when its server calls it because
// the server stops or has failed.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.tracker.onListenerClose(l, time.Now())
	return err
}

// hasPending reports whether a connection waits to be accepted. It polls the socket, because a
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

// acceptPending accepts a pending connection.
func (l *listener) acceptPending() (nc net.Conn, err error) {
	tcp := l.Listener.(*net.TCPListener)
	if err = tcp.SetDeadline(time.Now().Add(closeAcceptTime)); err != nil {
		return nil, err
	}
	if nc, err = tcp.Accept(); err != nil {
		return nil, err
	}
	return nc, tcp.SetDeadline(time.Unix(1, 0)) // The next Accept checks again.
}

// pendingAcceptTime bounds for how long a closing listener accepts pending connections, because
// callers may connect without a pause. It counts from the first check, which may come late in a
// busy process. It leaves requests on those connections a part of the process's last 0.3 s.
const pendingAcceptTime = 200 * time.Millisecond

// closeAcceptTime is how long a listener still accepts connections after CloseListeners. Closing at
// once would reset connections that callers have already established.
const closeAcceptTime = 50 * time.Millisecond

// ListenerCloseTime is how long after CloseListeners the last connection is accepted.
const ListenerCloseTime = closeAcceptTime + pendingAcceptTime

// CloseListeners makes the listeners accept the connections that callers have already established
// and then close, because closing a listener resets those connections and loses their requests.
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
		err = errors.CombineErrors(err, tcp.SetDeadline(now.Add(closeAcceptTime)))
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

// inUseTime is how recently a caller must have connected for a listener that closes to count as in
// use: handshakes of further callers may be in progress.
const inUseTime = time.Second

// onListenerClose removes a closed listener and logs how recently a caller connected. The kernel
// resets connections whose handshake is in progress; no process sees those.
func (t *Tracker) onListenerClose(l *listener, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.listeners[l]; !open {
		return
	}
	delete(t.listeners, l)
	log, fields := t.log.Info, []zap.Field{zap.Stringer("address", l.Addr()), zap.Int("accepted", t.accepts.n)}
	if !t.accepts.last.IsZero() {
		since := now.Sub(t.accepts.last)
		fields = append(fields, zap.Duration("since-last", since.Truncate(time.Microsecond)))
		if since < inUseTime {
			t.closedInUse.Inc(1)
			log = t.log.Warn
		}
	}
	log("listener closed", fields...)
}

func (t *Tracker) add(tcp *net.TCPConn, now time.Time) *Conn {
	c := &Conn{TCPConn: tcp, tracker: t, idlePeriod: idlePeriod{since: now, isNew: true}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	t.accepts.n++
	t.accepts.last = now
	t.openConns.Update(int64(len(t.conns)))
	return c
}

func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.openConns.Update(int64(len(t.conns)))
}
