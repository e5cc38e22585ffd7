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

	"github.com/canvaspulley/canvaspulley/internal/build"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
	"github.com/canvaspulley/canvaspulley/internal/oplog"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// memoryShare is the part of an instance's memory that the heap may reach
// before it is collected harder.
const memoryShare = 0.6

// fleetProcess is a gateway or a sidecar.
type fleetProcess struct {
	set  *settings.Fleet
	file string
	log  *zap.Logger
	reg  metrics.Registry
	born time.Time // Start of this life.
	// lastTime is kept before stopMargin without new connections; 0 for stopLast.
	lastTime time.Duration
	// mostCallers bounds the connections of callers; 0 for no bound.
	mostCallers int
	failed      func(duty string) // Begins the planned stop as a duty cannot go on; set by a gateway.

	serverLog *log.Logger      // Of what HTTP servers say themselves.
	caught    <-chan os.Signal // Signals since the start.
}

// runFleet serves until a planned stop is complete.
func runFleet(file string, set *settings.Fleet, caught <-chan os.Signal, out io.Writer) (err error) {
	logger, lines, err := oplog.New(out, set.LogLevel, set.LogPerSec)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	if set.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * set.MemoryLimit * (1 << 20)))
	}
	serverLog, err := zap.NewStdLogAt(logger.Named("http"), zap.WarnLevel)
	if err != nil {
		return errors.Wrap(err, "log of the servers")
	}
	p := &fleetProcess{set: set, file: file, log: logger, serverLog: serverLog, caught: caught, reg: metrics.NewRegistry(), born: time.Now(), mostCallers: mostCallers()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer writeLines(lines)()
	logger.Info("start", append(build.Read().Fields(), zap.String("name", set.Name), zap.String("role", string(set.Role)),
		zap.String("domain", set.Domain), zap.Int("pid", os.Getpid()), zap.Int64("life", p.born.UnixMilli()))...)
	if set.Role == settings.Gateway {
		err = p.gateway(ctx)
	} else {
		err = p.sidecar(ctx)
	}
	last := []zap.Field{zap.Bool("failed", err != nil), zap.Int64("lines-left-out", lines.Dropped())}
	if err != nil {
		logger.Error("stop", append(last, zap.String("error", err.Error()))...)
	} else {
		logger.Info("stop", last...)
	}
	return err
}

// listenTCP opens a listener at an IP number.
func listenTCP(address string) (l net.Listener, err error) {
	return net.Listen("tcp4", address)
}

// listenPeers opens what other processes speak to: datagrams and calls. The
// function closes both.
func (p *fleetProcess) listenPeers() (socket *peers.Socket, calls net.Listener, cleanup func(), err error) {
	socket, closeSocket, err := peers.Listen(p.set.Peers, p.log)
	if err != nil {
		return nil, nil, nil, err
	}
	calls, err = listenTCP(p.set.Peers)
	if err != nil {
		closeSocket()
		return nil, nil, nil, err
	}
	return socket, calls, func() { closeSocket(); _ = calls.Close() }, nil
}

// Bounds on the calls of other processes, against peers that hold connections for good.
const (
	// callTime bounds the reading of a call, and its answer with the reading: far above
	// the largest map over a narrow link.
	callTime = 2 * time.Minute
)

// httpServer returns a server for other processes. What the server itself has to say, such
// as a second head that a handler wrote, goes to the process's log: it is the only
// sign of a fault in a handler. Callers that break off are not among it.
func (p *fleetProcess) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: gateway.CallerHeaderTimeout,
		ReadTimeout:       callTime,
		WriteTimeout:      callTime,
		IdleTimeout:       peers.ServerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          p.serverLog,
		// An empty success of the server's own is none of an endpoint's.
		DisableGeneralOptionsHandler: true,
	}
}

// lastCalls is for how long what was read is still answered as a process ends.
const lastCalls = 300 * time.Millisecond

// serveOn serves until ctx ends, and then what was read by then.
func serveOn(ctx context.Context, srv *http.Server, l net.Listener) error {
	return serveUntil(ctx, srv, l, lastCalls)
}

// serveUntil is serveOn with a bound on what is served after ctx.
func serveUntil(ctx context.Context, srv *http.Server, l net.Listener, atMost time.Duration) error {
	return serveThen(ctx, srv, l, func() {
		last, cancel := context.WithTimeout(context.Background(), atMost)
		defer cancel()
		if srv.Shutdown(last) != nil {
			_ = srv.Close() // Its error is that of the listener, which is closed already.
		}
	})
}

// serveThen serves until ctx ends, and returns once end has ended the connections.
func serveThen(ctx context.Context, srv *http.Server, l net.Listener, end func()) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		end()
	})
	err := srv.Serve(retrying{l})
	if errors.Is(err, net.ErrClosed) || !stop() { // A listener closed first leaves its connections to be served.
		<-ended
	}
	return unlessClosed(err)
}

// serve serves until the listener or the server is closed.
func serve(srv *http.Server, l net.Listener) error { return unlessClosed(srv.Serve(retrying{l})) }

// unlessClosed returns the error with which a server ended, nil if it was closed.
func unlessClosed(err error) error {
	if errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
		return nil
	}
	return err
}

// retrying is a listener whose server goes on after any failure to accept, with a pause: a lack
// of descriptors or memory passes, and the connections that are there must be served.
type retrying struct{ net.Listener }

// Accept fails for good only once the listener is closed.
func (l retrying) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		err = temporary{err}
	}
	return c, err
}

// bounded is a listener that accepts no connection while as many are open as may be; those
// that are made wait in the kernel's queue.
type bounded struct {
	net.Listener
	most   int
	open   func() int
	log    *zap.Logger
	toldAt time.Time // When the log was told; of the goroutine that accepts.
	closed context.Context
	close  context.CancelFunc // Ends closed.
}

func newBounded(l net.Listener, most int, open func() int, log *zap.Logger) *bounded {
	b := &bounded{Listener: l, most: most, open: open, log: log}
	b.closed, b.close = context.WithCancel(context.Background())
	return b
}

// Close ends an Accept that waits for room, too.
func (l *bounded) Close() error {
	l.close()
	return l.Listener.Close()
}

// Accept waits for room first.
func (l *bounded) Accept() (net.Conn, error) {
	if now := time.Now(); l.open() >= l.most && now.Sub(l.toldAt) > fullEvery {
		l.toldAt = now
		l.log.Warn("no more connections are accepted", zap.Int("open", l.open()))
	}
	for l.open() >= l.most && l.closed.Err() == nil {
		wait.For(l.closed, roomPoll)
	}
	return l.Listener.Accept()
}

const (
	// roomPoll is how often a bounded listener looks for room.
	roomPoll = 5 * time.Millisecond
	// fullEvery is the time between two lines of a listener that has none.
	fullEvery = 5 * time.Second
)

// callersShare is the part of a process's descriptors that callers may have; the others are for
// endpoints, the store and peers.
const callersShare = 0.75

// mostCallers returns the bound on callers' connections, 0 where the descriptors are not known.
func mostCallers() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(callersShare * float64(min(limit.Cur, math.MaxInt32)))
}

// temporary is an error after which net/http accepts again.
type temporary struct{ error }

// Timeout is part of net.Error.
func (temporary) Timeout() bool { return false }

// Temporary is part of net.Error.
func (temporary) Temporary() bool { return true }

// signalQueue is how many signals wait until they are acted on; whoever sends more at
// once repeats itself.
const signalQueue = 4

// catchSignals keeps the signals that come from now on. It is the first that a process
// does, since a SIGHUP that nobody has asked for ends it, also in the midst of its start. A
// SIGPIPE is ignored: without that a line of the log ends the process once its reader has gone.
func catchSignals() (caught <-chan os.Signal, cleanup func()) {
	signal.Ignore(syscall.SIGPIPE)
	c := make(chan os.Signal, signalQueue)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}

// signals calls stop at the first signal to stop and reload at each SIGHUP. A
// further SIGTERM changes nothing, since whoever stops instances in turn may send
// it twice and nothing may be cut; a further SIGINT, from a person, ends the
// process at once.
func (p *fleetProcess) signals(ctx context.Context, stop, end func()) error {
	stopped := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-p.caught:
			switch {
			case s == syscall.SIGHUP:
				p.reload()
			case stopped && s == syscall.SIGINT:
				p.log.Warn("stopping at once", zap.String("signal", s.String()))
				end()
			case stopped:
				p.log.Info("stopping already", zap.String("signal", s.String()))
			default:
				stopped = true
				p.log.Info("stopping", zap.String("signal", s.String()))
				stop()
			}
		}
	}
}

// reload reads the settings again. Addresses cannot change within a life; the
// rest is taken at the next start, and what differs is logged.
func (p *fleetProcess) reload() {
	next, err := settings.LoadFleet(p.file)
	if err != nil {
		p.log.Warn("settings not taken", zap.String("error", err.Error()))
		return
	}
	p.log.Info("settings read again", zap.Bool("store-moved", next.Store != p.set.Store))
}

// serveMetrics serves the process's figures as text. Without them the process
// still serves, so a fault is logged only.
func (p *fleetProcess) serveMetrics(duties *duty.Group) {
	if p.set.Metrics == "" {
		return
	}
	l, err := listenTCP(p.set.Metrics)
	if err != nil {
		p.log.Error("no metrics", zap.String("error", err.Error()))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		p.writeBuild(w)
		metrics.WriteOnce(p.reg, w)
	})
	duties.Once("metrics", func(ctx context.Context) error { return serveOn(ctx, p.httpServer(mux), l) })
}

// writeBuild writes which build the process is, and which life of it.
func (p *fleetProcess) writeBuild(w io.Writer) {
	b := build.Read()
	fmt.Fprintf(w, "build %s\n  version:  %s\n  revision: %s\n  modified: %t\n  go:       %s\n  pid:      %d\n  life:     %d\n",
		b.ID, b.Version, b.Revision, b.Modified, b.Go, os.Getpid(), p.born.UnixMilli())
}
