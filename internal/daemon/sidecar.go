// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/sidecar"
	"github.com/canvaspulley/canvaspulley/platform"
)

// runSidecar runs a sidecar.
func (p *fleetProcess) runSidecar(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, closeStore := platform.NewStore(p.set.StoreAddress, p.set.SourceIP)
	defer closeStore()
	engine, closeEngine := platform.NewEngine(p.set.EngineAddress, p.set.SourceIP)
	defer closeEngine()
	socket, calls, closePeers, err := p.listenPeers()
	if err != nil {
		return err
	}
	defer closePeers()
	s, closeSidecar := sidecar.New(sidecar.Config{
		Address:   p.set.EngineAddress,
		Domain:    p.set.Domain,
		PeersPort: p.set.SidecarsPort,
		SkewPrice: p.set.SkewPrice,
		CopyPrice: p.set.CopyPrice,
		Fences:    p.set.EngineChecksFences,
		LinkRate:  p.set.LinkRate,
	}, engine, p.otherEngine, store.Source(), socket, p.log, p.reg)
	defer closeSidecar()
	duties := duty.New(ctx, p.log, p.reg, func(name string) {
		p.log.Error("stopping because a duty failed", zap.String("duty", name))
		cancel()
	})
	duties.Go("signals", func(ctx context.Context) error { return p.handleSignals(ctx, cancel, cancel) })
	duties.Go("sidecar", s.Run)
	duties.GoOnce("calls", func(ctx context.Context) error { return serveUntilDone(ctx, p.httpServer(s.Handler()), calls) })
	p.serveMetrics(duties, func(*http.ServeMux) {})
	return duties.Wait()
}

// otherEngine returns a client of another rank's engine. It is used rarely, so its connections are
// not kept.
func (p *fleetProcess) otherEngine(address string) rank.Engine {
	return platform.NewUnpooledEngine(address, p.set.SourceIP)
}
