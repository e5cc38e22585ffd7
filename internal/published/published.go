// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package published is the configuration that operators publish: customers,
// policies, model groups and services, as many small INI values under one
// signed manifest. It parses and judges; it does not fetch, store or spread,
// and the daemon and the command-line tool run the very same checks.
package published

import (
	"encoding/hex"
	"sort"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/mapswitch"
	"github.com/canvaspulley/canvaspulley/internal/inifile"
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
	Name     string
	Hashes   []string // Hex SHA-256 of accepted bearer keys.
	Policy   string
	Rate     float64 // Requests a second over all entries; 0 means no limit.
	Burst    float64 // Requests that may come at once.
	Weight   float64 // Share in the fair queue, above 0.
	Services []string
}

// May reports whether the customer may call the named service or model.
func (c *Customer) May(service string) bool {
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
	Programs   *policy.Set
	Texts      policy.Texts
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
	Name          string
	Model         string // Model that the group serves; "" for plain services.
	Path          string // Path prefix of a plain service; "" for groups.
	NotRepeatable []string
	Timeout       time.Duration
	Endpoints     []Endpoint // Ordered by name.
	Experts       int        // A layer.
	Slots         int        // Experts that a rank holds, a layer.
	Layers        int
	ExpertBytes   float64
	Rebalance     time.Duration // Time of a sample of expert load; 0 leaves the map alone.
	Policy        string        // Whose prices weigh skew against moves.
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
	entries   int // Most entry instances at a time; 0 when not published.
}

// Entries returns the most entry instances that run at a time; limits are split
// by it. It is 0 when the operators did not say.
func (c *Config) Entries() int { return c.entries }

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

// New parses and judges one generation. All faults are returned together.
func New(v Version, values map[string][]byte) (c *Config, err error) {
	c = &Config{
		version:   v,
		customers: map[string]*Customer{},
		byName:    map[string]*Customer{},
		policies:  map[string]*Policy{},
		endpoints: map[string]*Service{},
	}
	var faults inifile.Problems
	for _, key := range sortedKeys(values) {
		f, err := inifile.Parse(key, values[key])
		if err != nil {
			faults = append(faults, inifile.AsProblems(key, err)...)
			continue
		}
		kind, name, ok := strings.Cut(strings.TrimSuffix(key, ".ini"), "/")
		if !ok || name == "" {
			faults = append(faults, inifile.Problem{File: key, Text: "a key is KIND/NAME.ini"})
			continue
		}
		if len(values[key]) > MaxValueBytes {
			f.Fault("", "", "larger than %d bytes", MaxValueBytes)
		}
		c.read(kind, name, f)
		faults = append(faults, f.Problems()...)
	}
	faults = append(faults, c.crossCheck()...)
	return c, faults.Err()
}

func sortedKeys(values map[string][]byte) []string {
	keys := make([]string, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (c *Config) read(kind, name string, f *inifile.File) {
	switch kind {
	case kindCustomer:
		c.readCustomer(name, f)
	case kindPolicy:
		c.readPolicy(name, f)
	case kindGroup, kindService:
		c.readService(kind, name, f)
	case kindSite:
		c.entries = f.Int(kindSite, "entries", 0, 1, 100000)
	default:
		f.Fault("", "", "unknown kind %q", kind)
	}
}

func (c *Config) readCustomer(name string, f *inifile.File) {
	cust := &Customer{
		Name:     name,
		Hashes:   f.Words(kindCustomer, "key-hash"),
		Policy:   f.String(kindCustomer, "policy", ""),
		Rate:     f.Float(kindCustomer, "rate", 0, 0, 1e6),
		Weight:   f.Float(kindCustomer, "weight", 1, 0.01, 1000),
		Services: f.Words(kindCustomer, "services"),
	}
	c.byName[name] = cust
	cust.Burst = f.Float(kindCustomer, "burst", max(1, cust.Rate), 1, 1e6)
	if len(cust.Hashes) == 0 {
		f.Fault(kindCustomer, "key-hash", "must be set")
	}
	for _, h := range cust.Hashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 {
			f.Fault(kindCustomer, "key-hash", "%q is not a hex SHA-256", h)
			continue
		}
		if other, dup := c.customers[h]; dup {
			f.Fault(kindCustomer, "key-hash", "is also a key of customer %q", other.Name)
		}
		c.customers[h] = cust
	}
}

func (c *Config) readPolicy(name string, f *inifile.File) {
	p := &Policy{
		Name: name,
		Texts: policy.Texts{
			Priority: f.String(kindPolicy, "priority", ""),
			Retry:    f.String(kindPolicy, "retry", ""),
			Move:     f.String(kindPolicy, "move", ""),
		},
		RetryShare: f.Float(kindPolicy, "retry-share", 0.1, 0, 1),
		SkewPrice:  f.Float(kindPolicy, "skew-price", 1, 0, 1e6),
		MovePrice:  f.Float(kindPolicy, "move-price", 1, 0, 1e6),
	}
	var faults []policy.Fault
	p.Programs, faults = policy.New(p.Texts)
	for _, one := range faults {
		f.Fault(kindPolicy, one.Key, "%s", one.Text)
	}
	c.policies[name] = p
}

func (c *Config) readService(kind, name string, f *inifile.File) {
	s := &Service{Name: name, Timeout: f.Duration(kind, "timeout", 30*time.Second)}
	if kind == kindGroup {
		s.Model = f.Required(kind, "model")
		s.Experts = f.Int(kind, "experts", 64, 1, 4096)
		s.Slots = f.Int(kind, "slots", s.Experts, 1, 4096)
		s.Layers = f.Int(kind, "layers", 1, 1, 1024)
		s.ExpertBytes = f.Float(kind, "expert-bytes", 50e6, 1, 1e12)
		s.Rebalance = f.Duration(kind, "rebalance-every", 0)
		s.Policy = f.String(kind, "policy", "")
	} else {
		s.Path = f.Required(kind, "path")
		s.NotRepeatable = f.Words(kind, "not-repeatable")
		if s.Path != "" && !strings.HasPrefix(s.Path, "/") {
			f.Fault(kind, "path", "%q does not begin with /", s.Path)
		}
	}
	for _, section := range f.Sections() {
		slot, ok := strings.CutPrefix(section, "endpoint ")
		if !ok {
			continue
		}
		c.readEndpoint(s, strings.TrimSpace(slot), section, f)
	}
	if len(s.Endpoints) == 0 {
		f.Fault(kind, "", "has no [endpoint NAME] section")
	}
	for _, e := range s.Endpoints {
		if s.IsGroup() && e.Rank >= len(s.Endpoints) {
			f.Fault("endpoint "+e.Name, "rank", "%d of %d ranks; they are numbered from 0", e.Rank, len(s.Endpoints))
		}
	}
	if len(s.Endpoints) > mapswitch.MaxRanks && s.IsGroup() {
		f.Fault(kind, "", "%d ranks are more than %d", len(s.Endpoints), mapswitch.MaxRanks)
	}
	if s.IsGroup() && s.Slots*len(s.Endpoints) < s.Experts {
		f.Fault(kind, "slots", "%d slots of %d ranks do not hold %d experts", s.Slots, len(s.Endpoints), s.Experts)
	}
	sort.Slice(s.Endpoints, func(i, j int) bool { return s.Endpoints[i].Name < s.Endpoints[j].Name })
	c.services = append(c.services, s)
	sort.Slice(c.services, func(i, j int) bool { return c.services[i].Name < c.services[j].Name })
}

func (c *Config) readEndpoint(s *Service, slot, section string, f *inifile.File) {
	e := Endpoint{
		Name:   slot,
		Domain: f.Required(section, "domain"),
		Rank:   f.Int(section, "rank", 0, 0, 1<<16),
	}
	if other, dup := c.endpoints[slot]; dup {
		f.Fault(section, "", "is also an endpoint of %q", other.Name)
	}
	for _, one := range s.Endpoints {
		if s.IsGroup() && one.Rank == e.Rank {
			f.Fault(section, "rank", "%d is also the rank of %q", e.Rank, one.Name)
		}
	}
	c.endpoints[slot] = s
	s.Endpoints = append(s.Endpoints, e)
}

// crossCheck judges what no single file can show.
func (c *Config) crossCheck() (faults inifile.Problems) {
	known := map[string]bool{}
	paths := map[string]string{}
	for _, s := range c.services {
		known[s.Name] = true
		known[s.Model] = true
		if _, ok := c.policies[s.Policy]; !ok && s.Policy != "" {
			faults = append(faults, inifile.Problem{File: kindGroup + "/" + s.Name + ".ini", Section: kindGroup, Key: "policy",
				Text: "no policy " + s.Policy + " is published"})
		}
		if s.Path == "" {
			continue
		}
		if other, dup := paths[s.Path]; dup {
			faults = append(faults, inifile.Problem{File: kindService + "/" + s.Name + ".ini",
				Text: "has the same path as " + other})
		}
		paths[s.Path] = s.Name
	}
	for _, cust := range c.Customers() {
		file := kindCustomer + "/" + cust.Name + ".ini"
		if _, ok := c.policies[cust.Policy]; !ok && cust.Policy != "" {
			faults = append(faults, inifile.Problem{File: file, Section: kindCustomer, Key: "policy",
				Text: "no policy " + cust.Policy + " is published"})
		}
		for _, name := range cust.Services {
			if !known[name] {
				faults = append(faults, inifile.Problem{File: file, Section: kindCustomer, Key: "services",
					Text: "no model or service " + name + " is published"})
			}
		}
	}
	return faults
}
