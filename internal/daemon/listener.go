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

// Limits on what is read from any client, against slow and endless senders.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// stopPollInterval is how often a planned stop checks for remaining requests and connections.
const stopPollInterval = 50 * time.Millisecond

// Names of listeners.
const (
	peersName     = "peers"
	operatorsName = "operators"
	callersName   = "callers"
)

// Idle timeouts of connections.
const (
	// callersIdleTimeout is for callers and operators, who may ignore the advertised timeout.
	callersIdleTimeout = time.Minute
	// callersMaxAdvertised is the timeout that is advertised to callers and operators: a planned
	// stop waits for as long.
	callersMaxAdvertised = 5 * time.Second
	// peersIdleTimeout is for peers, which close idle connections after adapter.IdleTimeout. The extra
	// time covers an answer in transit or waiting at a busy peer.
	peersIdleTimeout = adapter.IdleTimeout + 2*time.Second
	// peersNewConnTimeout is for peers' connections without a request, in a planned stop: their
	// transports open some in advance.
	peersNewConnTimeout = adapter.IdleTimeout + time.Second
)

// Times and limits of a planned stop.
const (
	// minIdlePolls is the number of consecutive polls without a request in flight before the
	// listeners are closed.
	minIdlePolls = 20
	// stopReuseTime is how long after the start of a planned stop a client may send again on a
	// connection that it kept. Until then, clients with new connections get a refusal rather than a
	// connection error.
	stopReuseTime = max(callersMaxAdvertised, peersIdleTimeout) + time.Second
	// stopCloseTimeout is how long after the close of the listeners connections without a request
	// may stay open; it covers a slow header.
	stopCloseTimeout = 2 * headerTimeout
)

// Limits of the log of connections, which is not an audit trail: similar lines per second, and the
// sampling rate above that.
const (
	connLogPerSecond = 20
	connLogSampling  = 1000
)

// listener is a listener of a process with its server.
type listener struct {
	netListener net.Listener
	handler     http.Handler
	tlsConfig   *tls.Config // Nil for plain TCP.
	tracker     *keepalive.Tracker
	errorLog    *log.Logger   // For the messages of the server itself.
	bodyTimeout time.Duration // Limit on the time for a request's body.
	acceptDone  chan struct{} // Closed when no more connections are accepted.
}

func newListener(l net.Listener, h http.Handler, t *tls.Config, tracker *keepalive.Tracker, srvLog *log.Logger) *listener {
	return &listener{netListener: l, handler: h, tlsConfig: t, tracker: tracker, errorLog: srvLog, bodyTimeout: entry.BodyTimeout, acceptDone: make(chan struct{})}
}

// newTracker returns the tracker of a listener's connections.
func (d *Daemon) newTracker(name string) *keepalive.Tracker {
	cfg := keepalive.Config{Name: name, IdleTimeout: callersIdleTimeout, MaxAdvertised: callersMaxAdvertised, StopAtAdvertised: true, ReadHeaderTimeout: headerTimeout}
	if name == peersName {
		cfg.IdleTimeout, cfg.MaxAdvertised, cfg.StopNewConnTimeout = peersIdleTimeout, peersIdleTimeout, peersNewConnTimeout
	}
	return keepalive.New(cfg, sampled(d.log.Named(name)), d.node.Metrics())
}

// sampled returns a logger with the limits of the log of connections.
func sampled(l *zap.Logger) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, connLogPerSecond, connLogSampling)
	}))
}

// serverLog forwards the messages of HTTP servers themselves, for example about a panic of a
// handler. It drops messages about failed handshakes: refusals are audited, and the others are
// noise from peers that disconnected.
type serverLog struct{ log *zap.Logger }

// newServerLog returns an error log for HTTP servers.
func newServerLog(l *zap.Logger) *log.Logger {
	return log.New(serverLog{sampled(l.Named("http"))}, "", 0)
}

// Write implements io.Writer. All lines have the same message, so they are sampled together.
func (s serverLog) Write(line []byte) (int, error) {
	if !bytes.HasPrefix(line, []byte("http: TLS handshake error")) {
		s.log.Warn("server", zap.String("said", string(bytes.TrimSpace(line))))
	}
	return len(line), nil
}

// serve serves until ctx ends.
func (ln *listener) serve(ctx context.Context) (err error) {
	closeAcceptDone := sync.OnceFunc(func() { close(ln.acceptDone) })
	defer closeAcceptDone()
	srv := ln.server(ctx)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	l := ln.tracker.Listener(ln.netListener)
	if ln.tlsConfig != nil {
		err = srv.ServeTLS(retrying{l}, "", "")
	} else {
		err = srv.Serve(retrying{l})
	}
	closeAcceptDone()
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-ctx.Done() // Accepted connections are still served.
	return nil
}

func (ln *listener) server(ctx context.Context) *http.Server {
	srv := &http.Server{
		Handler:           limitBodyTime(ln.handler, ln.bodyTimeout),
		TLSConfig:         ln.tlsConfig,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          ln.errorLog,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       callerconn.WithConn,
		Protocols:         &http.Protocols{},
	}
	srv.Protocols.SetHTTP1(true) // With HTTP/2, idle connections could not be tracked.
	ln.tracker.Attach(srv)
	return srv
}

// drain waits for the planned stop, then for requests in flight, and until no client may send on
// any connection. New connections are accepted until minIdlePolls polls in a row have found no request,
// and no connection is open or stopReuseTime has passed. Then the listeners are closed, and the
// remaining connections without a request have stopCloseTimeout. It returns early if ctx ends.
func (d *Daemon) drain(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-d.node.Leaving():
	}
	began := time.Now()
	for _, ln := range d.listeners {
		ln.tracker.Stop(began)
	}
	idlePolls := 0
	if !pollUntil(ctx, func() bool {
		idlePolls++
		if d.inFlight() > 0 {
			idlePolls = 0
		}
		return idlePolls >= minIdlePolls && (d.openConns() == 0 || time.Since(began) > stopReuseTime)
	}) {
		return
	}
	for _, ln := range d.listeners { // A client that connects after that knows that nothing was sent.
		if err := ln.tracker.CloseListeners(time.Now()); err != nil {
			d.log.Warn("listener not closed", zap.Error(err))
		}
	}
	for _, ln := range d.listeners {
		select {
		case <-ctx.Done():
			return
		case <-ln.acceptDone: // Connections are counted once they are accepted.
		}
	}
	closed := time.Now()
	if !pollUntil(ctx, func() bool {
		return d.inFlight() == 0 && (d.openConns() == 0 || time.Since(closed) > stopCloseTimeout)
	}) {
		return
	}
	if n := d.openConns(); n > 0 {
		d.log.Warn("stopped with connections open", zap.Int("connections", n))
	}
	d.node.MarkIdle()
}

// openConns returns the number of open connections.
func (d *Daemon) openConns() (n int) {
	for _, ln := range d.listeners {
		n += ln.tracker.OpenConns()
	}
	return n
}

// pollUntil waits until done returns true; it returns false if ctx ends before that.
func pollUntil(ctx context.Context, done func() bool) bool {
	ticker := time.NewTicker(stopPollInterval)
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
