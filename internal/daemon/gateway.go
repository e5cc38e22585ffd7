// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/build"
	"github.com/canvaspulley/canvaspulley/internal/callerconn"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/keepalive"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/platform"
)

// Times of a planned stop.
const (
	// stopAcceptTime is how long new connections may still arrive after the signal: the platform
	// checks readiness each second, and stops sending callers after two failures.
	stopAcceptTime = 3500 * time.Millisecond
	// stopMargin is how long before the end of the grace period the stop ends.
	stopMargin = 700 * time.Millisecond
	// stopClosedTime is how long before stopMargin the listeners are closed, so that the connection
	// accepted last is kept for its whole time without a request, and accepted requests can end.
	stopClosedTime = keepalive.ListenerCloseTime + keepalive.StopNewConnTimeout + stopDrainMargin
	// stopDrainMargin is how long before stopMargin idle connections are closed, so that the stop
	// ends as drained.
	stopDrainMargin = 150 * time.Millisecond
)

// keyAgeMargin is subtracted from the time after which a revoked key must no longer count: it covers
// the time that a request takes to its endpoint.
const keyAgeMargin = 900 * time.Millisecond

// aliveCheckTime is how long an endpoint must stay alive after a stream without framing, so that the
// end of the connection counts as the end of the stream. A process that exits closes all its
// connections within milliseconds, tens of them on a busy instance; the caller has every event by
// then and waits only for the end.
const aliveCheckTime = 60 * time.Millisecond

// runGateway runs a gateway.
func (p *fleetProcess) runGateway(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, closeStore := platform.NewStore(p.set.StoreAddress, p.set.SourceIP)
	defer closeStore()
	view := follow.NewView()
	g, closeGateway := gateway.New(gateway.Config{
		Domain:        p.set.Domain,
		SourceAddress: p.set.SourceIP,
		MemoryBytes:   int64(p.set.MemoryLimitMB * (1 << 20)),
		MaxKeyAge:     p.set.RevocationTime - keyAgeMargin,
		RetryShare:    p.set.RetryShare,
		RetryWindow:   p.set.RetryWindow,
		RetryFloor:    p.set.RetryFloor,
		EndCheckDelay: aliveCheckTime,
		GracePeriod:   p.set.GracePeriod - stopMargin - stopDrainMargin,

		PropagationDelay: 2 * p.set.EffectTime, // A version is in effect from before its acknowledgement.
	}, platformCodec(), view, p.log, p.reg)
	defer closeGateway()

	callers, err := listenTCP(p.set.CallersAddress)
	if err != nil {
		return err
	}
	readiness, err := listenTCP(p.set.ReadinessAddress)
	if err != nil {
		return err
	}
	socket, calls, closePeers, err := p.listenPeers()
	if err != nil {
		return err
	}
	defer closePeers()
	peerExchange, closePeerExchange := gateway.NewPeerExchange(gateway.PeerExchangeConfig{
		Name:         p.set.Name,
		Domain:       p.set.Domain,
		Address:      p.set.PeersAddress,
		Seeds:        p.set.Seeds,
		EffectTime:   p.set.EffectTime,
		FirstStart:   p.set.FirstStart,
		SidecarsPort: p.set.SidecarsPort,
		Decode:       platform.DecodeConfig,
	}, g, socket, p.log)
	defer closePeerExchange()
	stop := make(chan struct{})
	var once sync.Once
	startStop := func() {
		once.Do(func() {
			g.Stop()
			close(stop)
		})
	}
	p.onFailure = func(name string) {
		p.log.Error("stopping because a duty failed", zap.String("duty", name))
		startStop()
	}
	duties := duty.New(ctx, p.log, p.reg, p.onFailure)
	duties.Go("signals", func(ctx context.Context) error { return p.handleSignals(ctx, startStop, cancel) })
	follower := follow.NewFollower(view, store.Source(), p.set.EffectTime, p.log)
	follower.UsePeers(peerExchange.PeerSource())
	duties.Go("follow", func(ctx context.Context) error { return follower.Run(ctx, g.ViewChanged) })
	duties.Go("housekeeping", g.Run)
	duties.Go("messages", func(ctx context.Context) error { return socket.Run(ctx, peerExchange.Receive) })
	duties.Go("neighbours", peerExchange.Run)
	duties.GoOnce("calls", func(ctx context.Context) error {
		return serveUntilDone(ctx, p.httpServer(peerExchange.Handler()), calls)
	})
	duties.GoOnce("callers", func(ctx context.Context) error { return p.serveCallers(ctx, g, callers) })
	duties.GoOnce("readiness", func(ctx context.Context) error {
		return serveUntilDone(ctx, p.httpServer(g.ReadinessHandler()), readiness)
	})
	p.serveMetrics(duties, func(mux *http.ServeMux) {
		g.Suspects().AddHandlers(mux, clock.Now)
		mux.HandleFunc("GET "+node.PathStatus, func(w http.ResponseWriter, _ *http.Request) { httpjson.Reply(w, p.gatewayStatus(g)) })
	})
	duties.Go("stop", func(ctx context.Context) error {
		p.drain(ctx, stop, func() (requests, connections int) { return g.InFlight(), g.CallerConns().OpenConns() }, g.CallerConns())
		cancel()
		return nil
	})
	return duties.Wait()
}

// gatewayStatus returns what the gateway tells operators of itself.
func (p *fleetProcess) gatewayStatus(g *gateway.Gateway) node.Status {
	return node.Status{
		Name: p.set.Name, Role: string(p.set.Role), Domain: p.set.Domain, UptimeS: time.Since(p.startedAt).Seconds(), Pid: os.Getpid(), Build: build.Read(),
		Held: g.Suspects().ListHeld(clock.Now()), RetryBudgets: g.RetryReports(),
	}
}

// serveCallers serves callers until ctx ends.
func (p *fleetProcess) serveCallers(ctx context.Context, g *gateway.Gateway, l net.Listener) error {
	return p.serveCallersWithGrace(ctx, g, l, endAnswerTime)
}

// serveCallersWithGrace is serveCallers with a given limit on the time for answers after ctx has
// ended.
func (p *fleetProcess) serveCallersWithGrace(ctx context.Context, g *gateway.Gateway, l net.Listener, grace time.Duration) error {
	srv := p.callersServer(g)
	l = g.CallerConns().Listener(l)
	if p.maxCallers > 0 {
		l = newLimitedListener(l, p.maxCallers, p.limitGrace, g.CallerConns().OpenConns, p.log)
	}
	// Separate duties: after a failure of one, the other continues until ctx ends.
	duties := duty.New(ctx, p.log, p.reg, p.onFailure)
	duties.GoOnce("callers-accept", func(context.Context) error { return serve(srv, l) })
	duties.GoOnce("callers-end", func(ctx context.Context) error {
		<-ctx.Done()
		p.closeCallers(g, srv, grace)
		return nil
	})
	return duties.Wait()
}

// closeCallers closes the connections of callers. It refuses requests before it closes anything:
// Server.Shutdown would close connections as idle on which a request is just being read.
func (p *fleetProcess) closeCallers(g *gateway.Gateway, srv *http.Server, grace time.Duration) {
	g.Terminate()
	if err := g.CallerConns().CloseListeners(time.Now()); err != nil {
		p.log.Warn("listener not closed", zap.String("error", err.Error()))
	}
	last, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	pollUntil(last, g.CallerConns().Drained)
	if requests, connections := g.InFlight(), g.CallerConns().OpenConns(); requests+connections > 0 {
		p.log.Warn("process ending with open connections", zap.Int("requests", requests), zap.Int("connections", connections))
	}
	g.CallerConns().MarkProcessEnding()
	_ = srv.Close() // The error is that of the listener, which is already closed.
}

// callersServer returns the server for callers.
func (p *fleetProcess) callersServer(g *gateway.Gateway) *http.Server {
	h := g.Handler()
	if p.maxCallers > 0 {
		h = closeWhenCrowded(h, p.maxCallers, g.CallerConns().OpenConns)
	}
	srv := p.httpServer(h)
	srv.ReadTimeout, srv.IdleTimeout = 0, 0       // Streams may be long; the gateway limits everything else.
	srv.WriteTimeout = gateway.CallerWriteTimeout // For errors of the server itself; the gateway sets its own.
	srv.ConnContext = callerconn.WithConn         // Otherwise a cut-off stream looks complete to HTTP/1.0.
	g.CallerConns().Attach(srv)
	return srv
}

// drain waits for the signal to stop and then, in this order, until:
//   - stopAcceptTime has passed, so that new connections may still arrive;
//   - no request and no connection is left, or the stop has only closedTime left; then it closes the
//     listeners, so that no new connections are accepted;
//   - callers is drained: callers may have connected since the last check.
//
// In any case it returns when ctx ends, and stopMargin before the end of the grace period.
func (p *fleetProcess) drain(ctx context.Context, stop <-chan struct{}, remaining func() (requests, connections int), callers *keepalive.Tracker) {
	select {
	case <-ctx.Done():
		return
	case <-stop:
	}
	began := time.Now()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for closing := false; ; {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			after := now.Sub(began)
			requests, connections := remaining()
			switch {
			case after > stopAcceptTime && callers.Drained():
				return
			case after > p.set.GracePeriod-stopMargin:
				p.log.Warn("stopped with connections open", zap.Int("requests", requests), zap.Int("connections", connections))
				return
			case after <= stopAcceptTime:
			case !closing && (requests+connections == 0 || after > p.set.GracePeriod-stopMargin-cmp.Or(p.closedTime, stopClosedTime)):
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
