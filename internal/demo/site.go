// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package demo

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/daemon"
	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/inifile"
	"github.com/canvaspulley/canvaspulley/internal/load"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// Site is one site that runs in this process: the stand-ins and the code of the
// daemons.
type Site struct {
	layout   *example.Site
	standins *standin.Server
	group    *errgroup.Group
	ctx      context.Context

	mu      sync.Mutex
	daemons map[string]*daemon.Daemon // By process name.
	cancels map[string]context.CancelFunc
	parent  published.Version
}

// Start starts a site, which stops when ctx ends; wait returns after it has stopped.
func Start(ctx context.Context, layout *example.Site) (s *Site, wait func() error, err error) {
	defer func() { err = errors.Wrap(err, "start site") }()
	f, err := inifile.Parse("standin.ini", layout.StandinSettings(""))
	if err != nil {
		return nil, nil, err
	}
	stand, err := standin.New(f)
	if err != nil {
		return nil, nil, err
	}
	s = &Site{
		layout: layout, standins: stand, group: &errgroup.Group{}, ctx: ctx,
		daemons: map[string]*daemon.Daemon{}, cancels: map[string]context.CancelFunc{},
	}
	s.Publish(1, layout.Published())
	s.group.Go(func() error { return stand.Run(ctx) })
	for _, p := range s.processes() {
		if err := s.StartDaemon(p); err != nil {
			return nil, nil, err
		}
	}
	return s, s.group.Wait, nil
}

func (s *Site) processes() []example.Process {
	return append(append([]example.Process(nil), s.layout.Agents...), s.layout.Entries...)
}

// StartDaemon starts the daemon of the process p.
func (s *Site) StartDaemon(p example.Process) (err error) {
	set, err := settings.Parse(p.Name+".ini", s.layout.Settings(p))
	if err != nil {
		return err
	}
	d, _, err := daemon.New(set, zap.NewNop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.daemons[p.Name], s.cancels[p.Name] = d, cancel
	s.mu.Unlock()
	s.group.Go(func() error {
		defer cancel()
		defer s.remove(p.Name, d)
		return d.Run(ctx)
	})
	return nil
}

// remove removes a daemon that has ended, unless the process runs a new one.
func (s *Site) remove(name string, d *daemon.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.daemons[name] == d {
		delete(s.daemons, name)
	}
}

// Kill ends a daemon at once, without a planned stop or a final message.
func (s *Site) Kill(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[name]()
}

// BeginPlannedStop tells a daemon to drain and stop.
func (s *Site) BeginPlannedStop(name string) {
	s.mu.Lock()
	d := s.daemons[name]
	s.mu.Unlock()
	d.Node().Leave("planned stop")
}

// Publish signs a generation of values and stores it in the configuration service.
func (s *Site) Publish(generation uint64, values map[string][]byte) {
	m := s.layout.Pack(generation, s.parent.Hash, values)
	s.parent = m.Version()
	s.standins.Dir.Publish(standin.Bundle{Manifest: m, Values: values})
}

// SetPartitioned partitions a failure domain off from the other ones and from the
// platform, or heals the partition.
func (s *Site) SetPartitioned(domain string, on bool) {
	s.standins.Net.SetPartitioned(domain, on)
	s.standins.Views[domain].SetDown(on)
}

// CountUpToDate returns how many running daemons have the newest generation, and
// how many are running.
func (s *Site) CountUpToDate() (upToDate, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.daemons {
		running++
		if c, ok := d.Node().Config(); ok && c.Version() == s.parent {
			upToDate++
		}
	}
	return upToDate, running
}

// Callers returns the customers in the form that the load generator uses.
func (s *Site) Callers() (list []load.Caller) {
	for _, c := range s.layout.Customers {
		list = append(list, load.Caller{Name: c.Name, Key: c.Key})
	}
	return list
}

// Targets returns the addresses of the callers' listeners of all entries.
func (s *Site) Targets() (list []string) {
	for _, p := range s.layout.Entries {
		list = append(list, p.CallerAddress)
	}
	return list
}
