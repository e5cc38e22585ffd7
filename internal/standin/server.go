// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

// Paths of the control listener, which plays the operators and the faults.
const (
	PathPublish  = "/publish"
	PathInstance = "/instance"
	PathFault    = "/fault"
	PathRuns     = "/runs"
	PathMaps     = "/maps"
	PathCalls    = "/calls"
	PathImports  = "/imports"
	PathDemand   = "/demand"
)

// Fault switches one fault on or off.
type Fault struct {
	Kind         string `json:"kind"`   // One of the kinds below.
	Target       string `json:"target"` // View, service, instance, or address of an engine.
	On           bool   `json:"on"`
	Milliseconds int    `json:"ms,omitempty"` // Time, for slow, delay and listlag.
}

// Demand sets what the engines of a group report on the load of experts.
type Demand struct {
	Group  string      `json:"group"`
	Tokens [][]float64 `json:"tokens"` // By layer and expert.
}

// Kinds of faults.
const (
	FaultDown      = "down"    // A view answers nothing.
	FaultStale     = "stale"   // A view stays as it is.
	FaultListLag   = "listlag" // A view shows the list as it was so many milliseconds ago.
	FaultStall     = "stall"   // An engine stops its group.
	FaultKill      = "kill"    // An engine dies.
	FaultSlow      = "slow"    // An engine adds time to each step.
	FaultDelay     = "delay"   // A service takes its time.
	FaultNoAnswer  = "mute"    // A service runs and does not answer.
	FaultLeaving   = "leaving" // The list has an instance as leaving.
	FaultPartition = "cut"     // A failure domain is cut off from the others and from the platform.
)

// Server is the stand-ins of one site behind their listeners.
type Server struct {
	Dir      *Directory
	Views    map[string]*View    // By failure domain.
	Engines  map[string]*Engine  // By address.
	Services map[string]*Service // By endpoint.
	Groups   map[string]*Group   // By name.

	Net   *Network
	Store *Store // Weight store of all engines.

	groups    []*Group
	listeners []served
	relays    []relay
}

type served struct {
	l net.Listener
	h http.Handler
}

// Load opens the stand-ins that a settings file describes. All faults of the
// file are returned together.
func Load(name string) (s *Server, err error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, inifile.Problems{{File: name, Text: err.Error()}}
	}
	f, err := inifile.Parse(name, raw)
	if err != nil {
		return nil, err
	}
	s, err = New(f)
	if err != nil {
		return nil, err
	}
	return s, f.Problems().Err()
}

// New opens the stand-ins of a parsed settings file.
func New(f *inifile.File) (s *Server, err error) {
	s = &Server{
		Dir: NewDirectory(), Views: map[string]*View{},
		Engines: map[string]*Engine{}, Services: map[string]*Service{},
		Groups: map[string]*Group{}, Net: NewNetwork(),
	}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	if err := s.publishFile(f.String("standin", "bundle", "")); err != nil {
		f.AddProblem("standin", "bundle", "%v", err)
	}
	s.Store = NewStore(f.Float("standin", "store-rate", 100e9, 1, 1e15))
	if err := s.listen(f.Required("standin", "control"), s.control()); err != nil {
		return s, err
	}
	for _, section := range f.Sections() {
		kind, name, _ := strings.Cut(section, " ")
		if err := s.add(f, section, kind, name); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *Server) add(f *inifile.File, section, kind, name string) (err error) {
	switch kind {
	case "view":
		v := NewView(s.Dir)
		s.Views[name] = v
		return s.listen(f.Required(section, "address"), v.Handler())
	case "service":
		svc := NewService()
		s.Services[name] = svc
		return s.listen(f.Required(section, "address"), svc.Handler())
	case "group":
		return s.addGroup(f, section)
	case "instance":
		return s.addInstance(f, section, name)
	}
	return nil
}

// addInstance puts a row on the list and, if asked, a relay before it.
func (s *Server) addInstance(f *inifile.File, section, name string) (err error) {
	in := adapter.Instance{
		Name: name, Role: adapter.Role(f.Required(section, "role")),
		Domain: f.Required(section, "domain"), Address: f.Required(section, "address"),
		Endpoint: f.String(section, "endpoint", ""),
	}
	s.Dir.SetInstance(in)
	target, source := f.String(section, "relay-to", ""), f.String(section, "source", "")
	if target == "" {
		return nil
	}
	s.Net.SetDomain(source, in.Domain)
	l, err := net.Listen("tcp", in.Address)
	if err != nil {
		return errors.Wrap(err, "stand-in relay")
	}
	s.relays = append(s.relays, relay{l: l, target: target, domain: in.Domain})
	return nil
}

func (s *Server) addGroup(f *inifile.File, section string) (err error) {
	ranks := f.Words(section, "ranks")
	if len(ranks) == 0 {
		f.AddProblem(section, "ranks", "must be set")
		return nil
	}
	g := NewGroup(GroupConfig{
		Ranks:           len(ranks),
		StepTime:        max(time.Millisecond, f.Duration(section, "step", 5*time.Millisecond)),
		TimePerSequence: f.Duration(section, "per-sequence", 20*time.Microsecond),
		PrefillBytes:    f.Int(section, "prefill-bytes", 4096, 1, 1<<20),
		CacheBytes:      f.Int(section, "cache-bytes", 1<<20, 0, 1<<30),
		ReportLag:       f.Duration(section, "report-lag", 100*time.Millisecond),
		Store:           s.Store,
		ExpertBytes:     f.Float(section, "expert-bytes", 50e6, 1, 1e12),
		IgnoreFences:    !f.Bool(section, "fences", true),
	})
	s.groups = append(s.groups, g)
	s.Groups[strings.TrimPrefix(section, "group ")] = g
	for i, address := range ranks {
		s.Engines[address] = g.Rank(i)
		if err := s.listen(address, g.Rank(i).Handler()); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) publishFile(name string) (err error) {
	if name == "" {
		return nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	var b Bundle
	if err := json.Unmarshal(raw, &b); err != nil {
		return err
	}
	s.Dir.Publish(b)
	return nil
}

func (s *Server) listen(address string, h http.Handler) (err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	s.listeners = append(s.listeners, served{l, h})
	return nil
}

// Close closes the listeners, if Run is never called.
func (s *Server) Close() {
	for _, one := range s.listeners {
		_ = one.l.Close()
	}
	for _, one := range s.relays {
		_ = one.l.Close()
	}
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) (err error) {
	g, ctx := errgroup.WithContext(ctx)
	for _, group := range s.groups {
		g.Go(func() error { return group.Run(ctx) })
	}
	for _, one := range s.relays {
		g.Go(func() error { return s.Net.Relay(ctx, one.l, one.target, one.domain) })
	}
	for _, one := range s.listeners {
		srv := &http.Server{Handler: one.h, ReadHeaderTimeout: 10 * time.Second}
		g.Go(func() error {
			if err := srv.Serve(one.l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-ctx.Done()
			return srv.Close()
		})
	}
	return g.Wait()
}

// Apply switches a fault.
func (s *Server) Apply(f Fault) (err error) {
	defer func() { err = errors.Wrapf(err, "fault %s of %q", f.Kind, f.Target) }()
	switch f.Kind {
	case FaultDown, FaultStale, FaultListLag:
		return s.viewFault(f)
	case FaultStall, FaultKill, FaultSlow:
		return s.engineFault(f)
	case FaultDelay, FaultNoAnswer:
		return s.serviceFault(f)
	case FaultLeaving:
		s.Dir.SetLeaving(f.Target)
		return nil
	case FaultPartition:
		s.Net.SetPartitioned(f.Target, f.On)
		return nil
	}
	return errors.New("no such kind")
}

// relay is a place for a relay on the way to a process.
type relay struct {
	l      net.Listener
	target string
	domain string
}

func (s *Server) viewFault(f Fault) error {
	v, ok := s.Views[f.Target]
	if !ok {
		return errors.New("no such view")
	}
	switch f.Kind {
	case FaultDown:
		v.SetDown(f.On)
	case FaultStale:
		v.SetStale(f.On)
	case FaultListLag:
		v.SetListLag(time.Duration(f.Milliseconds) * time.Millisecond)
	}
	return nil
}

func (s *Server) engineFault(f Fault) error {
	e, ok := s.Engines[f.Target]
	if !ok {
		return errors.New("no such engine")
	}
	switch {
	case f.Kind == FaultStall:
		e.SetStalled(f.On)
	case f.Kind == FaultSlow:
		e.SetAddedStepTime(time.Duration(f.Milliseconds) * time.Millisecond)
	case f.On:
		e.Kill()
	default:
		e.Revive()
	}
	return nil
}

func (s *Server) serviceFault(f Fault) error {
	svc, ok := s.Services[f.Target]
	if !ok {
		return errors.New("no such service")
	}
	if f.Kind == FaultDelay {
		svc.SetDelay(time.Duration(f.Milliseconds) * time.Millisecond)
	} else {
		svc.SetNoAnswer(f.On)
	}
	return nil
}

// Runs adds up the runs of all plain services, by id.
func (s *Server) Runs() map[string]int {
	all := map[string]int{}
	for _, svc := range s.Services {
		for id, n := range svc.RunCounts() {
			all[id] += n
		}
	}
	return all
}

func (s *Server) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathPublish, decoded(func(b Bundle) error {
		s.Dir.Publish(b)
		return nil
	}))
	mux.HandleFunc("POST "+PathInstance, decoded(func(in adapter.Instance) error {
		s.Dir.SetInstance(in)
		return nil
	}))
	mux.HandleFunc("POST "+PathFault, decoded(s.Apply))
	mux.HandleFunc("GET "+PathImports, func(w http.ResponseWriter, _ *http.Request) {
		imports := 0
		for _, e := range s.Engines {
			imports += e.Imports()
		}
		writeJSON(w, imports)
	})
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		calls := 0
		for _, v := range s.Views {
			calls += v.Calls()
		}
		writeJSON(w, calls)
	})
	mux.HandleFunc("GET "+PathMaps, func(w http.ResponseWriter, _ *http.Request) {
		reports := map[string]MapReport{}
		for name, g := range s.Groups {
			reports[name] = g.Maps()
		}
		writeJSON(w, reports)
	})
	mux.HandleFunc("POST "+PathDemand, decoded(func(d Demand) error {
		g, ok := s.Groups[d.Group]
		if !ok {
			return errors.Newf("no group %q", d.Group)
		}
		g.SetDemand(d.Tokens)
		return nil
	}))
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	return mux
}

// decoded makes a handler of a function of one JSON value.
func decoded[T any](do func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		err := json.NewDecoder(r.Body).Decode(&v)
		if err == nil {
			err = do(v)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, struct{}{})
	}
}
