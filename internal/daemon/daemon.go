// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package daemon assembles a process from a node, its role and its listeners, and runs it from the
// start to the planned stop. The demonstration runs the same code.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/agent"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/entry"
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/trust"
)

// Daemon is one process of the system.
type Daemon struct {
	set       *settings.Settings
	log       *zap.Logger
	node      *node.Node
	agent     *agent.Agent // Nil in the role entry.
	entry     *entry.Entry // Nil in the role endpoint.
	listeners []*listener
}

// New opens the listeners, so that errors in the settings show immediately. The returned function
// closes what was opened, if Run is never called.
func New(set *settings.Settings, log *zap.Logger) (d *Daemon, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "daemon") }()
	d = &Daemon{set: set, log: log}
	cleanup = d.close
	peers, err := node.Listen(set.PeersAddress)
	if err != nil {
		return nil, nil, err
	}
	if set.AdvertisedAddress == "" {
		set.AdvertisedAddress = peers.Addr().String()
	}
	if d.node, err = node.New(set, log); err != nil {
		_ = peers.Close()
		return nil, nil, err
	}
	d.add(peers, d.createRole(), peersName, string(adapter.RoleEntry), string(adapter.RoleEndpoint))
	for _, one := range []struct {
		address string
		handler func() http.Handler
		name    string
	}{
		{set.OperatorsAddress, func() http.Handler { return d.node.OperatorsMux() }, operatorsName},
		{set.CallersAddress, func() http.Handler { return d.entry.Handler() }, callersName},
	} {
		if one.address == "" {
			continue
		}
		l, err := node.Listen(one.address)
		if err != nil {
			d.close()
			return nil, nil, err
		}
		d.add(l, one.handler(), one.name, trust.RoleOperator)
	}
	return d, cleanup, nil
}

// createRole creates the entry or the agent and returns the handler of the peer listener.
func (d *Daemon) createRole() http.Handler {
	if d.set.Role == adapter.RoleEntry {
		d.entry = entry.New(d.node)
		return d.entry.PeerHandler()
	}
	pooled := httphead.NewClient(adapter.NewTransport(d.set.SourceIP))
	singleUse := httphead.NewClient(adapter.NewSingleUseTransport(d.set.SourceIP))
	if d.set.EngineURL != "" {
		d.agent = agent.New(d.node, adapter.NewEngine(d.set.EngineURL, pooled), nil)
	} else {
		d.agent = agent.New(d.node, nil, adapter.NewService(d.set.ServiceURL, pooled, singleUse))
	}
	return d.agent.Handler()
}

func (d *Daemon) add(l net.Listener, h http.Handler, name string, roles ...string) {
	var t *tls.Config
	if name != callersName {
		t = d.node.Credentials().Server(func(err error) {
			d.node.Trail().Add(audit.PeerRejected, name, err.Error())
		}, roles...)
	}
	d.listeners = append(d.listeners, newListener(l, h, t, d.newTracker(name), newServerLog(d.log)))
}

func (d *Daemon) close() {
	for _, ln := range d.listeners {
		_ = ln.netListener.Close() // It may already be closed.
	}
}

// Node returns the shared part of the process.
func (d *Daemon) Node() *node.Node { return d.node }

// Addresses returns the listen addresses, in this order: that for peers, and those for operators and for
// callers if they are configured.
func (d *Daemon) Addresses() (list []string) {
	for _, ln := range d.listeners {
		list = append(list, ln.netListener.Addr().String())
	}
	return list
}

// inFlight returns the number of requests in flight.
func (d *Daemon) inFlight() int {
	if d.entry != nil {
		return d.entry.InFlight()
	}
	return d.agent.InFlight()
}

// Run serves until a planned stop is complete or ctx ends, which cuts off requests in flight. The
// planned stop begins with the node's Leave.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "daemon") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duties := duty.New(ctx, d.log, d.node.Metrics(), func(name string) { d.node.Leave("duty " + name + " ended") })
	duties.Go("node", d.node.Run)
	if d.agent != nil {
		duties.Go("agent", d.agent.Run)
	} else {
		duties.Go("entry", d.entry.Run)
	}
	for _, ln := range d.listeners {
		duties.GoOnce("listener", ln.serve)
	}
	duties.Go("stop", func(ctx context.Context) error {
		d.drain(ctx)
		cancel()
		return nil
	})
	d.log.Info("serving", zap.Strings("addresses", d.Addresses()))
	return duties.Wait()
}
