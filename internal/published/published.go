// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package published implements the configuration that operators publish: customers, policies, model
// groups and services, as many small INI values under one signed manifest. It parses and checks the
// configuration, but does not fetch, store or distribute it. The daemon and the command-line tool run
// exactly the same checks.
package published

import (
	"sort"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/policy"
)

// Kinds of published values: the part of a key before the slash.
const (
	kindCustomer = "customer"
	kindPolicy   = "policy"
	kindGroup    = "group"
	kindService  = "service"
	kindSite     = "site"
)

// Customer is one caller of the operator's services.
type Customer struct {
	Name      string
	KeyHashes []string // Hex SHA-256 hashes of the accepted bearer keys.
	Policy    string
	Rate      float64 // Requests per second over all entries; 0 means no limit.
	Burst     float64 // Requests that may arrive at once.
	Weight    float64 // Weight in the fair queue, above 0.
	Services  []string
}

// MayCall reports whether the customer may call the named service or model. An empty list of services allows all.
func (c *Customer) MayCall(service string) bool {
	if len(c.Services) == 0 {
		return true
	}
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Policy is a published policy with its compiled programs.
type Policy struct {
	Name       string
	Programs   *policy.Compiled
	Sources    policy.Sources
	RetryShare float64 // Retries allowed per success.
	SkewPrice  float64 // Value of one percent of step-time skew for one hour, in the unit of MovePrice.
	MovePrice  float64 // Price of one gigabyte of moved experts.
}

// Endpoint is a published slot that a model rank or an instance of a service fills.
type Endpoint struct {
	Name   string
	Domain string // Failure domain.
	Rank   int    // Rank within the group; 0 for services.
}

// Service is a model group or a plain service.
type Service struct {
	Name              string
	Model             string   // Model that the group serves; "" for plain services.
	Path              string   // Path prefix of a plain service; "" for groups.
	NotRepeatable     []string // HTTP methods whose calls must not run more than once.
	Timeout           time.Duration
	Endpoints         []Endpoint // Ordered by name.
	Experts           int        // Per layer.
	Slots             int        // Experts that a rank can hold, per layer.
	Layers            int
	ExpertBytes       float64
	StoreRate         float64       // Bytes per second that the weight store delivers to the group; 0 when not published.
	HourlyBytes       float64       // Budget of bytes moved per hour; 0 for no limit.
	RebalanceInterval time.Duration // Sampling interval of the expert load; 0 disables rebalancing.
	Policy            string        // Policy with the prices that weigh skew against moves.
}

// IsGroup reports whether s is a group of model ranks.
func (s *Service) IsGroup() bool { return s.Model != "" }

// Repeatable reports whether a call by the method may run more than once.
func (s *Service) Repeatable(method string) bool {
	for _, m := range s.NotRepeatable {
		if m == method {
			return false
		}
	}
	return true
}

// Config is one complete generation. A Config is immutable.
type Config struct {
	version    Version
	customers  map[string]*Customer // By bearer key hash.
	byName     map[string]*Customer
	policies   map[string]*Policy
	services   []*Service // Ordered by name.
	endpoints  map[string]*Service
	maxEntries int                // Maximum number of entry instances at a time; 0 when not published.
	parsed     map[string]*parsed // By key.
}

// MaxEntries returns the maximum number of entry instances that run at a time, by which limits are
// divided. It is 0 when the operators have not published one.
func (c *Config) MaxEntries() int { return c.maxEntries }

// Version returns the version of the generation c.
func (c *Config) Version() Version { return c.version }

// CustomerByHash returns the customer of a bearer key hash.
func (c *Config) CustomerByHash(hash string) (cust *Customer, ok bool) {
	cust, ok = c.customers[hash]
	return cust, ok
}

// Customer returns the named customer.
func (c *Config) Customer(name string) (cust *Customer, ok bool) {
	cust, ok = c.byName[name]
	return cust, ok
}

// Customers returns each customer once, also one with several keys, ordered by name.
func (c *Config) Customers() []*Customer {
	list := make([]*Customer, 0, len(c.byName))
	for _, cust := range c.byName {
		list = append(list, cust)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Policy returns the named policy, or an empty one with the default programs.
func (c *Config) Policy(name string) *Policy {
	if p, ok := c.policies[name]; ok {
		return p
	}
	return &Policy{Name: name}
}

// Groups returns the groups that serve a model.
func (c *Config) Groups(model string) []*Service {
	var list []*Service
	for _, s := range c.services {
		if s.IsGroup() && s.Model == model {
			list = append(list, s)
		}
	}
	return list
}

// ServiceByPath returns the plain service with the longest path prefix that matches.
func (c *Config) ServiceByPath(path string) (s *Service, ok bool) {
	best := -1
	for _, one := range c.services {
		if one.Path != "" && len(one.Path) > best && strings.HasPrefix(path, one.Path) {
			s, best = one, len(one.Path)
		}
	}
	return s, s != nil
}

// ServiceOf returns the service that an endpoint belongs to.
func (c *Config) ServiceOf(endpoint string) (s *Service, ok bool) {
	s, ok = c.endpoints[endpoint]
	return s, ok
}

// Services returns all groups and plain services, ordered by name.
func (c *Config) Services() []*Service { return c.services }
