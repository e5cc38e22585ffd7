// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package published is the configuration that operators publish: customers,
// policies, model groups and services, as many small INI values under one
// signed manifest. It parses and judges; it does not fetch, store or spread,
// and the daemon and the command-line tool run the very same checks.
package published

import (
	"sort"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/policy"
)

// Kinds of published keys: the part before the slash.
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
	KeyHashes []string // Hex SHA-256 of accepted bearer keys.
	Policy    string
	Rate      float64 // Requests a second over all entries; 0 means no limit.
	Burst     float64 // Requests that may come at once.
	Weight    float64 // Share in the fair queue, above 0.
	Services  []string
}

// MayCall reports whether the customer may call the named service or model.
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

// Policy is one published policy with its compiled programs.
type Policy struct {
	Name       string
	Programs   *policy.Compiled
	Sources    policy.Sources
	RetryShare float64 // Retries allowed per success.
	SkewPrice  float64 // Value of one percent of step-time skew for an hour.
	MovePrice  float64 // Price of one gigabyte of moved experts.
}

// Endpoint is one published slot that a model rank or a service fills.
type Endpoint struct {
	Name   string
	Domain string // Failure domain.
	Rank   int    // Rank within the group; 0 for services.
}

// Service is something callers can ask for: a model group or a plain service.
type Service struct {
	Name              string
	Model             string // Model that the group serves; "" for plain services.
	Path              string // Path prefix of a plain service; "" for groups.
	NotRepeatable     []string
	Timeout           time.Duration
	Endpoints         []Endpoint // Ordered by name.
	Experts           int        // A layer.
	Slots             int        // Experts that a rank holds, a layer.
	Layers            int
	ExpertBytes       float64
	StoreRate         float64       // Bytes a second that the weight store gives the group; 0 when not published.
	HourlyBytes       float64       // Byte budget of moves an hour; 0 for none.
	RebalanceInterval time.Duration // Time of a sample of expert load; 0 leaves the map alone.
	Policy            string        // Whose prices weigh skew against moves.
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

// Config is one whole generation. A Config is immutable.
type Config struct {
	version   Version
	customers map[string]*Customer // By bearer key hash.
	byName    map[string]*Customer
	policies  map[string]*Policy
	services  []*Service // Ordered by name.
	endpoints map[string]*Service
	entries   int                // Most entry instances at a time; 0 when not published.
	parsed    map[string]*parsed // By key: what each value says.
}

// MaxEntries returns the most entry instances that run at a time; limits are split
// by it. It is 0 when the operators did not say.
func (c *Config) MaxEntries() int { return c.entries }

// Version returns the generation that c is.
func (c *Config) Version() Version { return c.version }

// CustomerByHash finds the customer of a bearer key hash.
func (c *Config) CustomerByHash(hash string) (cust *Customer, ok bool) {
	cust, ok = c.customers[hash]
	return cust, ok
}

// Customer returns the named customer.
func (c *Config) Customer(name string) (cust *Customer, ok bool) {
	cust, ok = c.byName[name]
	return cust, ok
}

// Customers lists every customer once, ordered by name.
func (c *Config) Customers() []*Customer {
	list := make([]*Customer, 0, len(c.byName))
	for _, cust := range c.byName {
		list = append(list, cust)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Policy returns the named policy, or an empty one whose programs are the
// defaults.
func (c *Config) Policy(name string) *Policy {
	if p, ok := c.policies[name]; ok {
		return p
	}
	return &Policy{Name: name}
}

// Groups lists the groups that serve a model.
func (c *Config) Groups(model string) []*Service {
	var list []*Service
	for _, s := range c.services {
		if s.IsGroup() && s.Model == model {
			list = append(list, s)
		}
	}
	return list
}

// ServiceByPath finds the plain service with the longest matching prefix.
func (c *Config) ServiceByPath(path string) (s *Service, ok bool) {
	best := -1
	for _, one := range c.services {
		if one.Path != "" && len(one.Path) > best && strings.HasPrefix(path, one.Path) {
			s, best = one, len(one.Path)
		}
	}
	return s, s != nil
}

// ServiceOf finds the service that an endpoint belongs to.
func (c *Config) ServiceOf(endpoint string) (s *Service, ok bool) {
	s, ok = c.endpoints[endpoint]
	return s, ok
}

// Services lists all groups and services, ordered by name.
func (c *Config) Services() []*Service { return c.services }
