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

// Site is one site in this process: its stand-ins and the daemons' own code.
type Site struct {
	layout *example.Site
	stand  *standin.Server
	group  *errgroup.Group
	ctx    context.Context

	mu      sync.Mutex
	daemons map[string]*daemon.Daemon // By process name.
	kills   map[string]context.CancelFunc
	parent  published.Version
}

// Start starts a site; it stops when ctx ends, and the function waits for that.
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
		layout: layout, stand: stand, group: &errgroup.Group{}, ctx: ctx,
		daemons: map[string]*daemon.Daemon{}, kills: map[string]context.CancelFunc{},
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

// StartDaemon starts one process of the layout.
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
	s.daemons[p.Name], s.kills[p.Name] = d, cancel
	s.mu.Unlock()
	s.group.Go(func() error {
		defer cancel()
		defer s.forget(p.Name, d)
		return d.Run(ctx)
	})
	return nil
}

// forget takes a daemon that has ended off the list.
func (s *Site) forget(name string, d *daemon.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.daemons[name] == d {
		delete(s.daemons, name)
	}
}

// Kill ends a daemon without a last word.
func (s *Site) Kill(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kills[name]()
}

// BeginPlannedStop begins the planned stop of a daemon.
func (s *Site) BeginPlannedStop(name string) {
	s.mu.Lock()
	d := s.daemons[name]
	s.mu.Unlock()
	d.Node().Leave("planned stop")
}

// Publish puts a generation in place.
func (s *Site) Publish(generation uint64, values map[string][]byte) {
	m := s.layout.Pack(generation, s.parent.Hash, values)
	s.parent = m.Version()
	s.stand.Dir.Publish(standin.Bundle{Manifest: m, Values: values})
}

// SetPartitioned cuts a failure domain off from the others and from the platform.
func (s *Site) SetPartitioned(domain string, on bool) {
	s.stand.Net.SetPartitioned(domain, on)
	s.stand.Views[domain].SetDown(on)
}

// CountUpToDate returns how many running daemons have the newest generation, and how
// many there are.
func (s *Site) CountUpToDate() (have, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.daemons {
		all++
		if c, ok := d.Node().Config(); ok && c.Version() == s.parent {
			have++
		}
	}
	return have, all
}

// Callers returns the customers as the load generator takes them.
func (s *Site) Callers() (list []load.Caller) {
	for _, c := range s.layout.Customers {
		list = append(list, load.Caller{Name: c.Name, Key: c.Key})
	}
	return list
}

// Targets returns the callers' listeners of all entries.
func (s *Site) Targets() (list []string) {
	for _, p := range s.layout.Entries {
		list = append(list, p.CallerAddress)
	}
	return list
}
