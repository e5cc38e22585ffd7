// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/callerconn"
	"github.com/canvaspulley/canvaspulley/internal/entry"
	"github.com/canvaspulley/canvaspulley/internal/keepalive"
)

// Bounds on what is read from anyone, against slow and endless senders.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// idlePoll is how often a planned stop looks at what is left.
const idlePoll = 50 * time.Millisecond

// Names of listeners.
const (
	peersName     = "peers"
	operatorsName = "operators"
	callersName   = "callers"
)

// Times for which connections are kept that rest.
const (
	// callersIdle is for callers and operators, who may ignore the advertised timeout.
	callersIdle = time.Minute
	// callersAdvertised is the timeout that is advertised to these: a planned stop waits for
	// as long.
	callersAdvertised = 5 * time.Second
	// peersIdle is for peers, which go by adapter.IdleTimeout. What is over covers the time for
	// which an answer is on its way, or waits at a busy peer.
	peersIdle = adapter.IdleTimeout + 2*time.Second
	// peersNewConn is for peers' connections without a request, in a planned stop: their
	// transports open some in advance.
	peersNewConn = adapter.IdleTimeout + time.Second
)

// Times of a planned stop.
const (
	// lingerPolls is how often in a row nothing must run before the process ends.
	lingerPolls = 20
	// stopRest is for how long after its beginning somebody may come again on a connection
	// that was kept. Until then those who open one get a refusal rather than no link.
	stopRest = max(callersAdvertised, peersIdle) + time.Second
	// stopMost is how long after that connections without a request may stay open; it covers
	// a slow header.
	stopMost = 2 * headerTimeout
)

// Bounds of the log of connections, which is no audit trail: lines a second that are
// alike, and of what is over one in so many.
const (
	connLines = 20
	connEvery = 1000
)

// listener is one listener of a process and its server.
type listener struct {
	l      net.Listener
	h      http.Handler
	t      *tls.Config // Nil in the clear.
	conns  *keepalive.Tracker
	log    *log.Logger   // Of what the server says itself.
	body   time.Duration // Bound of the time that a request's body takes.
	served chan struct{} // Closed when no more connections are accepted.
}

func newListener(l net.Listener, h http.Handler, t *tls.Config, conns *keepalive.Tracker, said *log.Logger) *listener {
	return &listener{l: l, h: h, t: t, conns: conns, log: said, body: entry.BodyTimeout, served: make(chan struct{})}
}

// connections returns what knows the connections of a listener.
func (d *Daemon) connections(name string) *keepalive.Tracker {
	cfg := keepalive.Config{Name: name, IdleTimeout: callersIdle, MaxAdvertised: callersAdvertised, StopAtAdvertised: true, ReadHeaderTimeout: headerTimeout}
	if name == peersName {
		cfg.IdleTimeout, cfg.MaxAdvertised, cfg.StopNewConnTimeout = peersIdle, peersIdle, peersNewConn
	}
	return keepalive.New(cfg, sampled(d.log.Named(name)), d.node.Metrics())
}

// sampled returns a logger with the bounds of the log of connections.
func sampled(l *zap.Logger) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, connLines, connEvery)
	}))
}

// serverLog passes on what HTTP servers say themselves, such as a panic of a handler. Handshakes
// that fail are not among it: refusals are audited, the rest is noise of peers that went.
type serverLog struct{ log *zap.Logger }

// newServerLog returns a log for servers.
func newServerLog(l *zap.Logger) *log.Logger {
	return log.New(serverLog{sampled(l.Named("http"))}, "", 0)
}

// Write implements io.Writer. All lines are alike, so they are bounded together.
func (s serverLog) Write(line []byte) (int, error) {
	if !bytes.HasPrefix(line, []byte("http: TLS handshake error")) {
		s.log.Warn("server", zap.String("said", string(bytes.TrimSpace(line))))
	}
	return len(line), nil
}

// serve serves until ctx ends.
func (one *listener) serve(ctx context.Context) (err error) {
	served := sync.OnceFunc(func() { close(one.served) })
	defer served()
	srv := one.server(ctx)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	l := one.conns.Listener(one.l)
	if one.t != nil {
		err = srv.ServeTLS(retrying{l}, "", "")
	} else {
		err = srv.Serve(retrying{l})
	}
	served()
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-ctx.Done() // What was accepted is served on.
	return nil
}

func (one *listener) server(ctx context.Context) *http.Server {
	srv := &http.Server{
		Handler:           boundBody(one.h, one.body),
		TLSConfig:         one.t,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          one.log,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       callerconn.WithConn,
		Protocols:         &http.Protocols{},
	}
	srv.Protocols.SetHTTP1(true) // When a connection rests is known of HTTP/1 only.
	one.conns.Attach(srv)
	return srv
}

// drain waits for the planned stop, then for what runs, and until nobody may send on any
// connection: first new connections are still accepted, and then none.
func (d *Daemon) drain(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-d.node.Left():
	}
	began := time.Now()
	for _, one := range d.listeners {
		one.conns.Stop(began)
	}
	quiet := 0
	if !poll(ctx, func() bool {
		quiet++
		if d.busy() > 0 {
			quiet = 0
		}
		return quiet >= lingerPolls && (d.open() == 0 || time.Since(began) > stopRest)
	}) {
		return
	}
	for _, one := range d.listeners { // Whoever connects after that knows that nothing was sent.
		if err := one.conns.CloseListeners(time.Now()); err != nil {
			d.log.Warn("listener not closed", zap.Error(err))
		}
	}
	for _, one := range d.listeners {
		select {
		case <-ctx.Done():
			return
		case <-one.served: // Connections count once they are accepted.
		}
	}
	closed := time.Now()
	if !poll(ctx, func() bool {
		return d.busy() == 0 && (d.open() == 0 || time.Since(closed) > stopMost)
	}) {
		return
	}
	if n := d.open(); n > 0 {
		d.log.Warn("stopped with connections open", zap.Int("connections", n))
	}
	d.node.Idle()
}

// open returns the number of open connections.
func (d *Daemon) open() (n int) {
	for _, one := range d.listeners {
		n += one.conns.OpenConns()
	}
	return n
}

// poll waits until done reports true; it reports false when ctx ends before.
func poll(ctx context.Context, done func() bool) bool {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if done() {
				return true
			}
		}
	}
}
