// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/callerconn"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
	"github.com/canvaspulley/canvaspulley/internal/keepalive"
	"github.com/canvaspulley/canvaspulley/platform"
)

// Times of a planned stop.
const (
	// stopLinger is how long new connections may still come after the signal:
	// the platform asks for readiness each second and stops after two misses.
	stopLinger = 3500 * time.Millisecond
	// stopMargin is kept from the end of the grace period.
	stopMargin = 700 * time.Millisecond
	// stopLast is kept before that without new connections, so that what was taken can end.
	stopLast = 500 * time.Millisecond
	// stopSettle is kept before stopMargin without idle connections, so that the stop ends as drained.
	stopSettle = 150 * time.Millisecond
)

// keyMargin is kept from the time after which a key that was taken away must
// not count: it covers the way of a request to its endpoint.
const keyMargin = 900 * time.Millisecond

// endSettle is how long an endpoint must be seen to live on after a stream without
// framing. A process that exits closes all it has within milliseconds, tens on a busy
// instance; the caller has every event by then and waits only for the end.
const endSettle = 60 * time.Millisecond

// gateway runs a gateway.
func (p *fleetProcess) gateway(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, closeStore := platform.NewStore(p.set.Store, p.set.Source)
	defer closeStore()
	view := follow.NewView()
	g, closeGateway := gateway.New(gateway.Config{
		Domain:        p.set.Domain,
		SourceAddress: p.set.Source,
		MemoryBytes:   int64(p.set.MemoryLimit * (1 << 20)),
		MaxKeyAge:     p.set.Revocation - keyMargin,
		RetryShare:    p.set.RetryShare,
		RetryWindow:   p.set.RetryWindow,
		RetryFloor:    p.set.RetrySpare,
		EndCheckDelay: endSettle,
		GracePeriod:   p.set.Grace - stopMargin - stopSettle,

		PropagationDelay: 2 * p.set.InForce, // A version is in force from before its acknowledgement.
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
	neighbours, closeNeighbours := gateway.NewPeerExchange(gateway.PeerExchangeConfig{
		Name:         p.set.Name,
		Domain:       p.set.Domain,
		Address:      p.set.Peers,
		Seeds:        p.set.Seeds,
		EffectTime:   p.set.InForce,
		FirstStart:   p.set.First,
		SidecarsPort: p.set.PeersPort,
		Decode:       platform.DecodeConfig,
	}, g, socket, p.log)
	defer closeNeighbours()
	stop := make(chan struct{})
	var once sync.Once
	stopAsPlanned := func() {
		once.Do(func() {
			g.Stop()
			close(stop)
		})
	}
	p.failed = func(name string) {
		p.log.Error("stopping, a duty cannot go on", zap.String("duty", name))
		stopAsPlanned()
	}
	duties := duty.New(ctx, p.log, p.reg, p.failed)
	duties.Go("signals", func(ctx context.Context) error { return p.signals(ctx, stopAsPlanned, cancel) })
	follower := follow.NewFollower(view, store.Source(), p.set.InForce, p.log)
	follower.UsePeers(neighbours.PeerSource())
	duties.Go("follow", func(ctx context.Context) error { return follower.Run(ctx, g.ViewChanged) })
	duties.Go("housekeeping", g.Run)
	duties.Go("messages", func(ctx context.Context) error { return socket.Run(ctx, neighbours.Receive) })
	duties.Go("neighbours", neighbours.Run)
	duties.Once("calls", func(ctx context.Context) error {
		return serveOn(ctx, p.httpServer(neighbours.Handler()), calls)
	})
	duties.Once("callers", func(ctx context.Context) error { return p.serveCallers(ctx, g, callers) })
	duties.Once("readiness", func(ctx context.Context) error {
		return serveOn(ctx, p.httpServer(g.ReadinessHandler()), readiness)
	})
	p.serveMetrics(duties)
	duties.Go("stop", func(ctx context.Context) error {
		p.drain(ctx, stop, func() (requests, connections int) { return g.InFlight(), g.CallerConns().OpenConns() }, g.CallerConns())
		cancel()
		return nil
	})
	return duties.Wait()
}

// serveCallers serves callers until ctx ends.
func (p *fleetProcess) serveCallers(ctx context.Context, g *gateway.Gateway, l net.Listener) error {
	return p.serveCallersUntil(ctx, g, l, lastCalls)
}

// serveCallersUntil is serveCallers with a bound on what is answered after ctx.
func (p *fleetProcess) serveCallersUntil(ctx context.Context, g *gateway.Gateway, l net.Listener, atMost time.Duration) error {
	srv := p.callersServer(g)
	l = g.CallerConns().Listener(l)
	if p.mostCallers > 0 {
		l = newBounded(l, p.mostCallers, g.CallerConns().OpenConns, p.log)
	}
	// Apart: after a fault in one of them the other goes on until ctx ends.
	duties := duty.New(ctx, p.log, p.reg, p.failed)
	duties.Once("callers-accept", func(context.Context) error { return serve(srv, l) })
	duties.Once("callers-end", func(ctx context.Context) error {
		<-ctx.Done()
		p.endCallers(g, srv, atMost)
		return nil
	})
	return duties.Wait()
}

// endCallers ends the connections of callers. Requests are refused before anything is closed:
// Server.Shutdown would close connections as idle on which a request is just being read.
func (p *fleetProcess) endCallers(g *gateway.Gateway, srv *http.Server, atMost time.Duration) {
	g.Terminate()
	if err := g.CallerConns().CloseListeners(time.Now()); err != nil {
		p.log.Warn("listener not closed", zap.String("error", err.Error()))
	}
	last, cancel := context.WithTimeout(context.Background(), atMost)
	defer cancel()
	poll(last, g.CallerConns().Drained)
	if requests, connections := g.InFlight(), g.CallerConns().OpenConns(); requests+connections > 0 {
		p.log.Warn("connections ended with the process", zap.Int("requests", requests), zap.Int("connections", connections))
	}
	g.CallerConns().MarkProcessEnding()
	_ = srv.Close() // Its error is that of the listener, which is closed already.
}

// callersServer returns the server that takes callers.
func (p *fleetProcess) callersServer(g *gateway.Gateway) *http.Server {
	srv := p.httpServer(g.Handler())
	srv.ReadTimeout, srv.IdleTimeout = 0, 0       // Streams last; the gateway bounds the rest.
	srv.WriteTimeout = gateway.CallerWriteTimeout // Of what the server says itself; the gateway sets its own.
	srv.ConnContext = callerconn.WithConn         // Without it a stream cut short looks whole to HTTP/1.0.
	g.CallerConns().Attach(srv)
	return srv
}

// drain waits for the signal to stop, then for what runs and until callers have left their
// connections, and ends the taking of new ones. It looks once more after that: callers may
// have come in since it looked.
func (p *fleetProcess) drain(ctx context.Context, stop <-chan struct{}, left func() (requests, connections int), callers *keepalive.Tracker) {
	select {
	case <-ctx.Done():
		return
	case <-stop:
	}
	began := time.Now()
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for closing := false; ; {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			after := now.Sub(began)
			requests, connections := left()
			switch {
			case after > stopLinger && callers.Drained():
				return
			case after > p.set.Grace-stopMargin:
				p.log.Warn("stopped with connections open", zap.Int("requests", requests), zap.Int("connections", connections))
				return
			case after <= stopLinger:
			case !closing && (requests+connections == 0 || after > p.set.Grace-stopMargin-cmp.Or(p.lastTime, stopLast)):
				closing = true
				if err := callers.CloseListeners(now); err != nil {
					p.log.Warn("listener not closed", zap.String("error", err.Error()))
				}
			}
		}
	}
}

func platformCodec() gateway.Codec {
	return gateway.Codec{
		ReadCall:       platform.ReadCall,
		EndpointHeader: platform.EndpointHeader,
		CallerHeader:   platform.CallerHeader,
		ReadAnswer:     platform.ReadAnswer,
		MarkAnswer:     platform.SetAttemptID,
		EventWeights:   platform.EventWeightsVersion,
	}
}
