// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package fleet defines the published configuration and the endpoints as a
// gateway sees them: routes, services, customers and the endpoints that can be
// called. Its values are created by an adapter and never modified afterwards.
// The package does no I/O and decides only which route and customer a request has.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Kind says whether a route's requests may run more than once.
type Kind int

// The kinds of routes.
const (
	AtMostOnce Kind = iota // At most one endpoint may run a request.
	Repeatable             // A request may run more than once.
	Streaming              // The answer is a stream of events.
)

// String returns the name of k.
func (k Kind) String() string { return [...]string{"once", "repeatable", "streaming"}[k] }

// Share is the part of a route's traffic that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // Begins and ends with a slash.
	Kind           Kind
	Timeout        time.Duration // Longest time for which the gateway keeps a request.
	TargetLatency  time.Duration // Time until the answer, or its first event, within which a request counts as fully in time.
	MaxPause       time.Duration // Longest pause between events that is in time; 0 when not configured.
	SilenceTimeout time.Duration // Time without data after which callers leave; 0 when they wait until their deadline.
	Priority       int           // 0 is the most urgent.
	MaxAttempts    int           // Endpoints that one request may be sent to, at least 1.
	Public         bool          // Requests need no API key.
	Resumable      bool          // A stream may be resumed at another endpoint.
	Split          []Share       // Has at least one element.
}

// MayRepeat reports whether a request of the route may run a second time.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// Engine describes the size and speed of a service's model engines, as published.
type Engine struct {
	Slots                int           // Requests that run concurrently on one endpoint.
	CacheTokens          int           // Tokens that an endpoint's KV cache holds.
	LayerSets            int           // Sets of layers that are balanced independently.
	ExpertsPerSet        int           // Per layer set.
	ExpertSlots          int           // Experts that a rank can hold, per layer set.
	MaxAddedExperts      int           // Experts that a rank can add in one change of the map, per layer set.
	ExpertBytes          float64       // Size of one copy of an expert.
	LinkRate             float64       // Bytes per second between endpoints.
	ExpertWorkShare      float64       // Fraction of the work for a token that experts do.
	BaseStepTime         time.Duration // Duration of a token step without requests.
	DecodeTimePerRequest time.Duration // Added to a step by each request that generates tokens.
	StepTimePerKTokens   time.Duration // Added to a step by 1,000 tokens of context.
	PrefillRate          float64       // Prompt tokens per second.
	TimePerMillionPairs  time.Duration // Prefill time of a million pairs of a prompt token and an earlier one (attention).
	PrefillChunkTokens   int           // Maximum prompt tokens processed in one step.
	StepsPerPass         int           // Steps in a pass while requests generate tokens.
	GroupFormTime        time.Duration // Time from the return of all ranks until the group is open.
	MeanPromptTokens     float64
	MeanAnswerTokens     float64
	ReportLag            time.Duration // Age of a report when it is polled from another machine.
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // Connections that one endpoint accepts from all its clients together.
	Engine         *Engine       // Nil for a plain service.
	ColdDuration   time.Duration // Time for which an endpoint is cold after it starts under load; 0 for never.
	ColdRate       float64       // Requests per second that a cold endpoint can take from all gateways together; 0 for no limit.
}

// Customer is the owner of API keys.
type Customer struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority overrides the route's.
}

// Limits bounds the size of callers' requests and the time that they take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the published configuration.
type Config struct {
	version       uint64
	limits        Limits
	services      map[string]*Service
	byHost        map[string][]*Route // Invariant: longest prefix first.
	byKey         map[string]*Customer
	customerCount int
	raw           []byte // As published, for sending to peers.
}

// NewConfig indexes one version. The slices must not be changed afterwards.
func NewConfig(version uint64, routes []Route, services []Service, customers []Customer, limits Limits) *Config {
	c := &Config{
		version:       version,
		limits:        limits,
		services:      make(map[string]*Service, len(services)),
		byHost:        map[string][]*Route{},
		byKey:         map[string]*Customer{},
		customerCount: len(customers),
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

// addRoute inserts a route before the routes of its host with a shorter prefix.
func (c *Config) addRoute(r *Route) {
	list := append(c.byHost[r.Host], r)
	for i := len(list) - 1; i > 0 && len(list[i].PathPrefix) > len(list[i-1].PathPrefix); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	c.byHost[r.Host] = list
}

// Version returns the number of the version; a higher one is newer.
func (c *Config) Version() uint64 { return c.version }

// SetRaw sets the text that c was decoded from, and returns c itself, not a copy.
func (c *Config) SetRaw(raw []byte) *Config {
	c.raw = raw
	return c
}

// Raw returns the text that the version was decoded from, nil when unknown.
func (c *Config) Raw() []byte { return c.raw }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by its name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services by name; callers must not change the map.
func (c *Config) Services() map[string]*Service { return c.services }

// MaxPause returns the longest pause that every route to a service tolerates: the smallest MaxPause of
// the routes that send traffic to it, 0 when none of them configures one.
func (c *Config) MaxPause(service string) (shortest time.Duration) {
	for _, routes := range c.byHost {
		for _, r := range routes {
			routed := slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
			if routed && r.MaxPause > 0 && (shortest == 0 || r.MaxPause < shortest) {
				shortest = r.MaxPause
			}
		}
	}
	return shortest
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

// NeedsKey reports whether requests of r must carry an API key.
func (c *Config) NeedsKey(r *Route) bool { return !r.Public && c.customerCount > 0 }

// Customer returns the owner of an API key, or nil.
func (c *Config) Customer(key string) *Customer { return c.byKey[key] }

// Endpoint is one incarnation of a back end, as listed by the platform. Gateways send it to each other as
// JSON; fields whose names differ there have a tag.
type Endpoint struct {
	// ID identifies this incarnation only (see IncarnationID), so that state kept under it ends with
	// the incarnation: a back end that restarts has none of its earlier requests or data.
	ID              string
	StartedAt       int64 `json:"Born"` // Start of the process, Unix ms; 0 when unknown.
	Service         string
	Address         string // IP:PORT.
	Domain          string
	Slots           int
	Leaving         bool          // It will stop soon and gets no new requests.
	ColdLeft        time.Duration // Remaining time for which it is slow after its start.
	Revision        uint64        // Store revision of the list entry that this was read from.
	CreatedRevision uint64        `json:"Made"` // Store revision at which the entry first appeared.
}
