// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"io"
	"log"
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
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/callerconn"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
	"github.com/canvaspulley/canvaspulley/internal/oplog"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/sidecar"
	"github.com/canvaspulley/canvaspulley/platform"
)

// Times of a planned stop.
const (
	// stopLinger is how long new connections may still come after the signal:
	// the platform asks for readiness each second and stops after two misses.
	stopLinger = 3500 * time.Millisecond
	// stopMargin is kept from the end of the grace period.
	stopMargin = 700 * time.Millisecond
)

// keyMargin is kept from the time after which a key that was taken away must
// not count: it covers the way of a request to its endpoint.
const keyMargin = 900 * time.Millisecond

// callersHeaderTime bounds the arrival of a caller's header. The published
// bound may change; this one is above what is published.
const callersHeaderTime = 15 * time.Second

// memoryShare is the part of an instance's memory that the heap may reach
// before it is collected harder.
const memoryShare = 0.6

// fleetProcess is a gateway or a sidecar.
type fleetProcess struct {
	set  *settings.Fleet
	file string
	log  *zap.Logger
	reg  metrics.Registry

	serverLog *log.Logger // Of what HTTP servers say themselves.
}

// runFleet serves until a planned stop is complete.
func runFleet(file string, set *settings.Fleet, out io.Writer) (err error) {
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
	p := &fleetProcess{set: set, file: file, log: logger, serverLog: serverLog, reg: metrics.NewRegistry()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logging, stopLog := context.WithCancel(context.Background())
	var logGroup errgroup.Group
	logGroup.Go(func() error { return lines.Run(logging) })
	defer func() {
		stopLog()
		_ = logGroup.Wait()
	}()
	logger.Info("start", zap.String("name", set.Name), zap.String("role", string(set.Role)), zap.String("domain", set.Domain), zap.Int("pid", os.Getpid()))
	if set.Role == settings.Gateway {
		err = p.gateway(ctx)
	} else {
		err = p.sidecar(ctx)
	}
	logger.Info("stop", zap.Bool("failed", err != nil), zap.Int64("lines-left-out", lines.Dropped()))
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

// httpServer returns a server of the process. What the server itself has to say, such
// as a second head that a handler wrote, goes to the process's log: it is the only
// sign of a fault in a handler. Callers that break off are not among it.
func (p *fleetProcess) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: callersHeaderTime,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          p.serverLog,
	}
}

// serveOn serves until ctx ends.
func serveOn(ctx context.Context, srv *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// signals calls stop at the first signal to stop and reload at each SIGHUP. A
// further SIGTERM changes nothing, since whoever stops instances in turn may send
// it twice and nothing may be cut; a further SIGINT, from a person, ends the
// process at once.
func (p *fleetProcess) signals(ctx context.Context, stop, end func()) error {
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(c)
	stopped := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-c:
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

// gateway runs a gateway.
func (p *fleetProcess) gateway(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, closeStore := platform.NewStore(p.set.Store, p.set.Source)
	defer closeStore()
	view := follow.NewView()
	g, closeGateway := gateway.New(gateway.Config{
		Domain:      p.set.Domain,
		Source:      p.set.Source,
		KeyAge:      p.set.Revocation - keyMargin,
		RetryShare:  p.set.RetryShare,
		RetryWindow: p.set.RetryWindow,
		RetrySpare:  p.set.RetrySpare,
	}, platformCodec(), view, p.log, p.reg)
	defer closeGateway()

	callers, err := listenTCP(p.set.Callers)
	if err != nil {
		return err
	}
	readiness, err := listenTCP(p.set.Readiness)
	if err != nil {
		return err
	}
	socket, calls, closePeers, err := p.listenPeers()
	if err != nil {
		return err
	}
	defer closePeers()
	neighbours, closeNeighbours := gateway.NewNeighbours(gateway.NeighboursConfig{
		Name:         p.set.Name,
		Domain:       p.set.Domain,
		Address:      p.set.Peers,
		Seeds:        p.set.Seeds,
		InForce:      p.set.InForce,
		First:        p.set.First,
		SidecarsPort: p.set.PeersPort,
		Decode:       platform.DecodeConfig,
	}, g, socket, p.log)
	defer closeNeighbours()
	group, ctx := errgroup.WithContext(ctx)
	stop := make(chan struct{})
	group.Go(func() error {
		return p.signals(ctx, func() { g.Stop(); close(stop) }, cancel)
	})
	follower := follow.NewFollower(view, store.Source(), p.log)
	follower.ListenTo(neighbours.Follow())
	group.Go(func() error { return follower.Run(ctx, g.Changed) })
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error { return socket.Run(ctx, neighbours.Receive) })
	group.Go(func() error { return neighbours.Run(ctx) })
	group.Go(func() error { return serveOn(ctx, p.httpServer(neighbours.Handler()), calls) })
	srv := p.httpServer(g.Handler())
	srv.ConnState = g.ConnState()
	srv.ConnContext = callerconn.Context
	group.Go(func() error { return serveOn(ctx, srv, callers) })
	group.Go(func() error { return serveOn(ctx, p.httpServer(g.ReadinessHandler()), readiness) })
	p.serveMetrics(ctx, group)
	group.Go(func() error {
		defer cancel()
		p.drain(ctx, stop, g.Busy)
		return nil
	})
	return group.Wait()
}

// drain waits for the signal to stop and then for what runs.
func (p *fleetProcess) drain(ctx context.Context, stop <-chan struct{}, busy func() int) {
	select {
	case <-ctx.Done():
		return
	case <-stop:
	}
	began := time.Now()
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			after := now.Sub(began)
			if after > p.set.Grace-stopMargin {
				p.log.Warn("stopped with requests at work", zap.Int("requests", busy()))
				return
			}
			if after > stopLinger && busy() == 0 {
				return
			}
		}
	}
}

// sidecar runs a sidecar.
func (p *fleetProcess) sidecar(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, closeStore := platform.NewStore(p.set.Store, p.set.Source)
	defer closeStore()
	engine, closeEngine := platform.NewEngine(p.set.Engine, p.set.Source)
	defer closeEngine()
	socket, calls, closePeers, err := p.listenPeers()
	if err != nil {
		return err
	}
	defer closePeers()
	s, closeSidecar := sidecar.New(sidecar.Config{
		Address:   p.set.Engine,
		Domain:    p.set.Domain,
		PeersPort: p.set.PeersPort,
		SkewPrice: p.set.SkewPrice,
		CopyPrice: p.set.CopyPrice,
		Fences:    p.set.Fences,
		LinkRate:  p.set.LinkRate,
	}, engine, p.otherEngine, store.Source(), socket, p.log, p.reg)
	defer closeSidecar()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.signals(ctx, cancel, cancel) })
	group.Go(func() error { return s.Run(ctx) })
	group.Go(func() error { return serveOn(ctx, p.httpServer(s.Handler()), calls) })
	p.serveMetrics(ctx, group)
	return group.Wait()
}

// otherEngine makes a client of another rank's engine. It is used now and then
// only, so its connections are not kept.
func (p *fleetProcess) otherEngine(address string) rank.Engine {
	e, _ := platform.NewEngine(address, p.set.Source)
	return e
}

func platformCodec() gateway.Codec {
	return gateway.Codec{
		ReadCall:       platform.ReadCall,
		EndpointHeader: platform.EndpointHeader,
		CallerHeader:   platform.CallerHeader,
		ReadAnswer:     platform.ReadAnswer,
		MarkAnswer:     platform.MarkAnswer,
		EventWeights:   platform.EventWeights,
	}
}

// serveMetrics serves the process's figures as text. Without them the process
// still serves, so a fault is logged only.
func (p *fleetProcess) serveMetrics(ctx context.Context, group *errgroup.Group) {
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
		metrics.WriteOnce(p.reg, w)
	})
	group.Go(func() error { return serveOn(ctx, p.httpServer(mux), l) })
}
