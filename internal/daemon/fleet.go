// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/asynclog"
	"github.com/canvaspulley/canvaspulley/internal/build"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// heapShare is the share of an instance's memory that the heap may use before the garbage collector
// works harder.
const heapShare = 0.6

// fleetProcess is the process of a gateway or a sidecar.
type fleetProcess struct {
	set          *settings.Fleet
	settingsFile string
	log          *zap.Logger
	reg          metrics.Registry
	startedAt    time.Time // Start of the process, which identifies its incarnation.
	// closedTime is how long before stopMargin the process stops accepting connections; 0 for
	// stopClosedTime.
	closedTime time.Duration
	// maxCallers limits the connections of callers; 0 for no limit.
	maxCallers int
	limitGrace time.Duration     // How long new connections wait while maxCallers are open.
	onFailure  func(duty string) // Begins the planned stop because a duty failed; set by a gateway.

	serverLog *log.Logger      // For the messages of the HTTP servers themselves.
	signalCh  <-chan os.Signal // Signals since the start of the process.
}

// runFleet runs a gateway or a sidecar until a planned stop is complete.
func runFleet(file string, set *settings.Fleet, signalCh <-chan os.Signal, out io.Writer) (err error) {
	logger, lines, err := asynclog.New(out, set.LogLevel, set.ServedLinesPerSecond)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	if set.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * set.MemoryLimitMB * (1 << 20)))
	}
	serverLog, err := zap.NewStdLogAt(logger.Named("http"), zap.WarnLevel)
	if err != nil {
		return errors.Wrap(err, "log for HTTP servers")
	}
	p := &fleetProcess{set: set, settingsFile: file, log: logger, serverLog: serverLog, signalCh: signalCh, reg: metrics.NewRegistry(), startedAt: time.Now(), maxCallers: maxCallerConns(), limitGrace: limitGrace}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer startLogWriter(lines)()
	logger.Info("start", append(build.Read().Fields(), zap.String("name", set.Name), zap.String("role", string(set.Role)),
		zap.String("domain", set.Domain), zap.Int("pid", os.Getpid()), zap.Int64("life", p.startedAt.UnixMilli()))...)
	if set.Role == settings.Gateway {
		err = p.runGateway(ctx)
	} else {
		err = p.runSidecar(ctx)
	}
	last := []zap.Field{zap.Bool("failed", err != nil), zap.Int64("lines-left-out", lines.Dropped())}
	if err != nil {
		logger.Error("stop", append(last, zap.String("error", err.Error()))...)
	} else {
		logger.Info("stop", last...)
	}
	return err
}

// listenTCP opens a listener on an IPv4 address.
func listenTCP(address string) (l net.Listener, err error) {
	return net.Listen("tcp4", address)
}

// listenPeers opens the sockets for other processes: for datagrams and for calls. The returned
// function closes both.
func (p *fleetProcess) listenPeers() (socket *peers.Socket, calls net.Listener, cleanup func(), err error) {
	socket, closeSocket, err := peers.Listen(p.set.PeersAddress, p.log)
	if err != nil {
		return nil, nil, nil, err
	}
	calls, err = listenTCP(p.set.PeersAddress)
	if err != nil {
		closeSocket()
		return nil, nil, nil, err
	}
	return socket, calls, func() { closeSocket(); _ = calls.Close() }, nil
}

// Limits on calls of other processes, against peers that hold connections forever.
const (
	// callTimeout limits reading a call, and reading and answering it: far above the time for the
	// largest map over a slow link.
	callTimeout = 2 * time.Minute
)

// httpServer returns a server for other processes. The server's own messages, such as one about a
// second head that a handler wrote, go to the process's log: they are the only sign of a bug in a
// handler. Disconnecting callers cause no such messages.
func (p *fleetProcess) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: gateway.CallerHeaderTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		IdleTimeout:       peers.ServerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          p.serverLog,
		// An empty success of the server itself must not look like an endpoint's answer.
		DisableGeneralOptionsHandler: true,
	}
}

// endAnswerTime is how long requests that were read are still answered when the process ends.
const endAnswerTime = 300 * time.Millisecond

// serveUntilDone serves until ctx ends, and then answers the requests that were read by then.
func serveUntilDone(ctx context.Context, srv *http.Server, l net.Listener) error {
	return serveWithGrace(ctx, srv, l, endAnswerTime)
}

// serveWithGrace is serveUntilDone with a given limit on the time after ctx has ended.
func serveWithGrace(ctx context.Context, srv *http.Server, l net.Listener, grace time.Duration) error {
	return serveAndEnd(ctx, srv, l, func() {
		last, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		if srv.Shutdown(last) != nil {
			_ = srv.Close() // The error is that of the listener, which is already closed.
		}
	})
}

// serveAndEnd serves until ctx ends, then calls end to end the connections, and returns after that. If
// the listener is closed before that, it still waits for ctx. If the server fails in another way, it
// returns the error at once, without calling end.
func serveAndEnd(ctx context.Context, srv *http.Server, l net.Listener, end func()) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		end()
	})
	err := srv.Serve(retrying{l})
	if errors.Is(err, net.ErrClosed) || !stop() { // Connections are served until ctx ends, even without a listener.
		<-ended
	}
	return ignoreClosed(err)
}

// serve serves until the listener or the server is closed.
func serve(srv *http.Server, l net.Listener) error { return ignoreClosed(srv.Serve(retrying{l})) }

// ignoreClosed returns the error with which a server ended, nil if it was closed.
func ignoreClosed(err error) error {
	if errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
		return nil
	}
	return err
}

// retrying is a listener whose server continues after any accept error, after a pause: a lack of
// file descriptors or memory is temporary, and the open connections must be served.
type retrying struct{ net.Listener }

// Accept returns a permanent error only once the listener is closed.
func (l retrying) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		err = temporaryError{err}
	}
	return c, err
}

// limitedListener is a listener that leaves new connections in the kernel's queue while the maximum
// number is open. After a grace period it closes them unread, so that callers try another instance.
type limitedListener struct {
	net.Listener
	maxOpen   int
	grace     time.Duration // How long new connections wait for capacity.
	open      func() int    // Returns the number of open connections.
	log       *zap.Logger
	fullSince time.Time          // When the maximum was reached; zero below. This and the fields below are used by the accepting goroutine only.
	closed    int                // Connections closed unread since the last log line.
	loggedAt  time.Time          // When the full state was last logged.
	waitCtx   context.Context    // Ended by Close; limits the wait of Accept.
	endWaits  context.CancelFunc // Ends waitCtx.
}

func newLimitedListener(l net.Listener, maxOpen int, grace time.Duration, open func() int, log *zap.Logger) *limitedListener {
	b := &limitedListener{Listener: l, maxOpen: maxOpen, grace: grace, open: open, log: log}
	b.waitCtx, b.endWaits = context.WithCancel(context.Background())
	return b
}

// Close closes the listener, and also ends an Accept that waits for capacity.
func (l *limitedListener) Close() error {
	l.endWaits()
	return l.Listener.Close()
}

// Accept accepts the next connection as soon as there is capacity.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		now := time.Now()
		switch {
		case l.open() < l.maxOpen || l.waitCtx.Err() != nil:
			l.fullSince = time.Time{}
			return l.Listener.Accept()
		case l.fullSince.IsZero():
			l.fullSince = now
		}
		l.logFull(now)
		if now.Sub(l.fullSince) < l.grace {
			wait.For(l.waitCtx, limitPollInterval)
			continue
		}
		c, err := l.Listener.Accept()
		if err != nil || l.open() <= l.maxOpen { // The new one is open, too.
			return c, err
		}
		l.closed++
		_ = c.Close() // Its caller sees the end in any case.
	}
}

// logFull logs that the maximum is reached, unless it did so recently.
func (l *limitedListener) logFull(now time.Time) {
	if now.Sub(l.loggedAt) <= limitLogInterval {
		return
	}
	l.log.Warn("connection limit reached", zap.Int("open", l.open()), zap.Int("closed-unread", l.closed))
	l.loggedAt, l.closed = now, 0
}

const (
	// limitGrace is how long new connections of callers wait for capacity: a fraction of the time after which
	// callers give up a request that is not read.
	limitGrace = 200 * time.Millisecond
	// limitPollInterval is how often a full listener checks for capacity.
	limitPollInterval = 5 * time.Millisecond
	// limitLogInterval is the minimum time between two log lines of a full listener.
	limitLogInterval = 5 * time.Second
)

// crowdedShare is the share of the maximum number of connections from which on callers are told to close
// theirs after each answer: otherwise idle ones leave no room for callers who move here.
const crowdedShare = 0.5

// closeWhenCrowded returns a handler that does so.
func closeWhenCrowded(h http.Handler, maxOpen int, open func() int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if float64(open()) >= crowdedShare*float64(maxOpen) {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// callersFDShare is the share of a process's file descriptors that callers may use; the others are
// for endpoints, the store and peers.
const callersFDShare = 0.75

// maxCallerConns returns the limit on callers' connections, 0 if the limit on file descriptors is
// unknown.
func maxCallerConns() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(callersFDShare * float64(min(limit.Cur, math.MaxInt32)))
}

// temporaryError is an accept error after which net/http tries again.
type temporaryError struct{ error }

// Timeout implements net.Error.
func (temporaryError) Timeout() bool { return false }

// Temporary implements net.Error.
func (temporaryError) Temporary() bool { return true }

// signalQueueLen is how many signals are queued until they are handled; more signals at once can
// only be repetitions.
const signalQueueLen = 4

// catchSignals receives signals from now on. It must be called first in a process, because an
// uncaught SIGHUP ends the process, even during its start. It ignores SIGPIPE: otherwise a log line
// would end the process once the reader of the log has gone.
func catchSignals() (signalCh <-chan os.Signal, cleanup func()) {
	signal.Ignore(syscall.SIGPIPE)
	c := make(chan os.Signal, signalQueueLen)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}

// handleSignals calls stop at the first signal to stop, and reload at each SIGHUP. A further
// SIGTERM has no effect, because a tool that stops instances one by one may send it twice and no
// request may be cut off; a further SIGINT, which comes from a person, ends the process
// immediately.
func (p *fleetProcess) handleSignals(ctx context.Context, stop, endNow func()) error {
	stopped := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-p.signalCh:
			switch {
			case s == syscall.SIGHUP:
				p.reload()
			case stopped && s == syscall.SIGINT:
				p.log.Warn("stopping immediately", zap.String("signal", s.String()))
				endNow()
			case stopped:
				p.log.Info("already stopping", zap.String("signal", s.String()))
			default:
				stopped = true
				p.log.Info("stopping", zap.String("signal", s.String()))
				stop()
			}
		}
	}
}

// reload reads the settings again but applies none of them: addresses cannot change while the process
// runs, and the other settings also take effect only at the next start. It logs an error in them, or
// whether the store's address differs.
func (p *fleetProcess) reload() {
	next, err := settings.LoadFleet(p.settingsFile)
	if err != nil {
		p.log.Warn("settings could not be reloaded", zap.String("error", err.Error()))
		return
	}
	p.log.Info("settings read again", zap.Bool("store-moved", next.StoreAddress != p.set.StoreAddress))
}

// serveMetrics serves the process's metrics as text and what addHandlers adds to the listener. The process
// works without them, so a failure is only logged.
func (p *fleetProcess) serveMetrics(duties *duty.Group, addHandlers func(mux *http.ServeMux)) {
	if p.set.MetricsAddress == "" {
		return
	}
	l, err := listenTCP(p.set.MetricsAddress)
	if err != nil {
		p.log.Error("metrics unavailable", zap.String("error", err.Error()))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		p.writeBuild(w)
		metrics.WriteOnce(p.reg, w)
	})
	addHandlers(mux)
	duties.GoOnce("metrics", func(ctx context.Context) error { return serveUntilDone(ctx, p.httpServer(mux), l) })
}

// writeBuild writes the build and the incarnation of the process.
func (p *fleetProcess) writeBuild(w io.Writer) {
	b := build.Read()
	fmt.Fprintf(w, "build %s\n  version:  %s\n  revision: %s\n  modified: %t\n  go:       %s\n  pid:      %d\n  life:     %d\n",
		b.ID, b.Version, b.Revision, b.Modified, b.Go, os.Getpid(), p.startedAt.UnixMilli())
}
