// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package fleet holds the published configuration and the list of endpoints as
// a gateway sees them: routes, services, customers and what can be called. Its
// values are made by an adapter and are not changed afterwards. The package
// does no I/O and decides nothing but which route and customer a request has.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	AtMostOnce Kind = iota // At most one endpoint may run it.
	Repeatable             // May run more than once.
	Streaming              // Answers with a series of events.
)

// String returns the name of k.
func (k Kind) String() string { return [...]string{"once", "repeatable", "streaming"}[k] }

// Share is the part of a route's traffic that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route tells how requests of one host and path prefix are served.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // Begins and ends with a slash.
	Kind           Kind
	Timeout        time.Duration // Longest time that a request is held.
	TargetLatency  time.Duration // Time to the answer, or its first event, that earns full credit.
	MaxPause       time.Duration // Longest pause between events that is in time; 0 when none is given.
	SilenceTimeout time.Duration // After so long without a word callers leave; 0 when they wait until their deadline.
	Priority       int           // 0 is the most urgent.
	MaxAttempts    int           // Endpoints that one request may be sent to, at least 1.
	Public         bool          // Needs no key.
	Resumable      bool          // A stream may go on at another endpoint.
	Split          []Share       // At least one.
}

// MayRepeat reports whether a request of the route may be run a second time.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// Engine is the published shape and speed of a service's model engines.
type Engine struct {
	Slots                int           // Requests that run at once on one endpoint.
	CacheTokens          int           // Tokens that an endpoint's memory holds.
	LayerSets            int           // Sets of layers that are balanced on their own.
	ExpertsPerSet        int           // A set.
	ExpertSlots          int           // Experts that a rank can hold, a set.
	MaxAddedExperts      int           // Experts that a rank can take on in one change, a set.
	ExpertBytes          float64       // Of one copy.
	LinkRate             float64       // Bytes a second between endpoints.
	ExpertWorkShare      float64       // Part of a token's work that experts do.
	BaseStepTime         time.Duration // Of a token step without requests.
	DecodeTimePerRequest time.Duration // That each writing request adds to a step.
	StepTimePerKTokens   time.Duration // That 1,000 tokens of context add to a step.
	PrefillRate          float64       // Prompt tokens a second.
	TimePerMillionPairs  time.Duration // A million pairs of a prompt token and one before it.
	PrefillChunkTokens   int           // Prompt tokens read in one step at most.
	StepsPerPass         int           // Steps that a pass makes while requests write.
	GroupFormTime        time.Duration // From the return of all ranks until the group is open.
	MeanPromptTokens     float64       // Mean tokens.
	MeanAnswerTokens     float64       // Mean tokens.
	ReportLag            time.Duration // Age of a report that is asked from another machine.
}

// Service is a set of endpoints that are alike.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // That one endpoint accepts from all callers together.
	Engine         *Engine       // Nil for a plain service.
	ColdDuration   time.Duration // For which an endpoint is cold after a start under load; 0 for never.
	ColdRate       float64       // Requests a second that it bears meanwhile, from all gateways together; 0 for no bound.
}

// Customer is who a key belongs to.
type Customer struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before the route's.
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the published configuration.
type Config struct {
	version   uint64
	limits    Limits
	services  map[string]*Service
	byHost    map[string][]*Route // Invariant: longest prefix first.
	byKey     map[string]*Customer
	customers int
	raw       []byte // As it was published, for neighbours.
}

// NewConfig indexes one version. It takes its arguments over.
func NewConfig(version uint64, routes []Route, services []Service, customers []Customer, limits Limits) *Config {
	c := &Config{
		version:   version,
		limits:    limits,
		services:  make(map[string]*Service, len(services)),
		byHost:    map[string][]*Route{},
		byKey:     map[string]*Customer{},
		customers: len(customers),
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		c.addRoute(&routes[i])
	}
	for i := range customers {
		for _, key := range customers[i].Keys {
			c.byKey[key] = &customers[i]
		}
	}
	return c
}

func (c *Config) addRoute(r *Route) {
	list := append(c.byHost[r.Host], r)
	for i := len(list) - 1; i > 0 && len(list[i].PathPrefix) > len(list[i-1].PathPrefix); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	c.byHost[r.Host] = list
}

// Version returns the number of the version; a higher one is newer.
func (c *Config) Version() uint64 { return c.version }

// WithRaw returns c with the text that it was decoded from.
func (c *Config) WithRaw(raw []byte) *Config {
	c.raw = raw
	return c
}

// Raw returns the text that the version was decoded from, nil when unknown.
func (c *Config) Raw() []byte { return c.raw }

// Limits returns the limits on callers.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by its name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services by name; callers must not change the map.
func (c *Config) Services() map[string]*Service { return c.services }

// MaxPause returns the shortest pause between events that a route of a service
// allows, 0 when none gives one.
func (c *Config) MaxPause(service string) (least time.Duration) {
	for _, routes := range c.byHost {
		for _, r := range routes {
			to := slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
			if to && r.MaxPause > 0 && (least == 0 || r.MaxPause < least) {
				least = r.MaxPause
			}
		}
	}
	return least
}

// Route returns the route of a request: that of its host with the longest
// prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of r must carry a key.
func (c *Config) NeedsKey(r *Route) bool { return !r.Public && c.customers > 0 }

// Customer returns the holder of a key, or nil.
func (c *Config) Customer(key string) *Customer { return c.byKey[key] }

// Endpoint is one life of a back end, as the platform lists it.
type Endpoint struct {
	// ID is of this life only (IncarnationID), so that whatever is kept by it ends with the
	// life: a back end that starts again holds and knows nothing of before.
	ID              string
	StartedAt       int64 // When the life began, Unix milliseconds; 0 when not told.
	Service         string
	Address         string // IP:PORT.
	Domain          string
	Slots           int
	Leaving         bool          // It ends soon and gets nothing new.
	ColdLeft        time.Duration // How much longer it is slow after its start.
	Revision        uint64        // Of the list entry that told this.
	CreatedRevision uint64        // Revision at which the entry first appeared.
}
