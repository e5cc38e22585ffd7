// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

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

// parsed is the content of one value. It depends only on the key and the value and is immutable, so
// that the next generation can reuse it.
type parsed struct {
	hash       string
	customer   *Customer // At most one of customer, policy, service and maxEntries is set.
	policy     *Policy
	service    *Service
	maxEntries int
	problems   inifile.Problems
}

// parse parses one value and collects all its problems.
func parse(key, hash string, value []byte) *parsed {
	p := &parsed{hash: hash}
	f, err := inifile.Parse(key, value)
	if err != nil {
		p.problems = inifile.AsProblems(key, err)
		return p
	}
	kind, name, ok := strings.Cut(strings.TrimSuffix(key, ".ini"), "/")
	if !ok || name == "" {
		p.problems = inifile.Problems{{File: key, Text: "a key is KIND/NAME.ini"}}
		return p
	}
	if len(value) > MaxValueBytes {
		f.AddProblem("", "", "larger than %d bytes", MaxValueBytes)
	}
	p.read(kind, name, f)
	p.problems = f.Problems()
	return p
}

func (p *parsed) read(kind, name string, f *inifile.File) {
	switch kind {
	case kindCustomer:
		p.readCustomer(name, f)
	case kindPolicy:
		p.readPolicy(name, f)
	case kindGroup, kindService:
		p.readService(kind, name, f)
	case kindSite:
		p.maxEntries = f.Int(kindSite, "entries", 0, 1, 100000)
	default:
		f.AddProblem("", "", "unknown kind %q", kind)
	}
}

func (p *parsed) readCustomer(name string, f *inifile.File) {
	cust := &Customer{
		Name:      name,
		KeyHashes: f.Words(kindCustomer, "key-hash"),
		Policy:    f.String(kindCustomer, "policy", ""),
		Rate:      f.Float(kindCustomer, "rate", 0, 0, 1e6),
		Weight:    f.Float(kindCustomer, "weight", 1, 0.01, 1000),
		Services:  f.Words(kindCustomer, "services"),
	}
	p.customer = cust
	cust.Burst = f.Float(kindCustomer, "burst", max(1, cust.Rate), 1, 1e6)
	if len(cust.KeyHashes) == 0 {
		f.AddProblem(kindCustomer, "key-hash", "must be set")
	}
	for _, h := range cust.KeyHashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 {
			f.AddProblem(kindCustomer, "key-hash", "%q is not a hex SHA-256", h)
		}
	}
}

func (p *parsed) readPolicy(name string, f *inifile.File) {
	pol := &Policy{
		Name: name,
		Sources: policy.Sources{
			Priority: f.String(kindPolicy, "priority", ""),
			Retry:    f.String(kindPolicy, "retry", ""),
			Move:     f.String(kindPolicy, "move", ""),
		},
		RetryShare: f.Float(kindPolicy, "retry-share", 0.1, 0, 1),
		SkewPrice:  f.Float(kindPolicy, "skew-price", 1, 0, 1e6),
		MovePrice:  f.Float(kindPolicy, "move-price", 1, 0, 1e6),
	}
	var faults []policy.CompileFault
	pol.Programs, faults = policy.New(pol.Sources)
	for _, one := range faults {
		f.AddProblem(kindPolicy, one.Key, "%s", one.Text)
	}
	p.policy = pol
}

func (p *parsed) readService(kind, name string, f *inifile.File) {
	s := &Service{Name: name, Timeout: f.Duration(kind, "timeout", 30*time.Second)}
	if kind == kindGroup {
		s.Model = f.Required(kind, "model")
		s.Experts = f.Int(kind, "experts", 64, 1, 4096)
		s.Slots = f.Int(kind, "slots", s.Experts, 1, 4096)
		s.Layers = f.Int(kind, "layers", 1, 1, 1024)
		s.ExpertBytes = f.Float(kind, "expert-bytes", 50e6, 1, 1e12)
		s.StoreRate = f.Float(kind, "store-rate", 0, 0, 1e15)
		s.HourlyBytes = f.Float(kind, "hourly-bytes", 0, 0, 1e18)
		s.RebalanceInterval = f.Duration(kind, "rebalance-every", 0)
		s.Policy = f.String(kind, "policy", "")
	} else {
		s.Path = f.Required(kind, "path")
		s.NotRepeatable = f.Words(kind, "not-repeatable")
		if s.Path != "" && !strings.HasPrefix(s.Path, "/") {
			f.AddProblem(kind, "path", "%q does not begin with /", s.Path)
		}
	}
	for _, section := range f.Sections() {
		endpoint, ok := strings.CutPrefix(section, "endpoint ")
		if !ok {
			continue
		}
		readEndpoint(s, strings.TrimSpace(endpoint), section, f)
	}
	if len(s.Endpoints) == 0 {
		f.AddProblem(kind, "", "has no [endpoint NAME] section")
	}
	for _, e := range s.Endpoints {
		if s.IsGroup() && e.Rank >= len(s.Endpoints) {
			f.AddProblem("endpoint "+e.Name, "rank", "%d of %d ranks; they are numbered from 0", e.Rank, len(s.Endpoints))
		}
	}
	if len(s.Endpoints) > mapswitch.MaxRanks && s.IsGroup() {
		f.AddProblem(kind, "", "%d ranks are more than %d", len(s.Endpoints), mapswitch.MaxRanks)
	}
	if s.IsGroup() && s.Slots*len(s.Endpoints) < s.Experts {
		f.AddProblem(kind, "slots", "%d slots of %d ranks do not hold %d experts", s.Slots, len(s.Endpoints), s.Experts)
	}
	sort.Slice(s.Endpoints, func(i, j int) bool { return s.Endpoints[i].Name < s.Endpoints[j].Name })
	p.service = s
}

func readEndpoint(s *Service, name, section string, f *inifile.File) {
	e := Endpoint{
		Name:   name,
		Domain: f.Required(section, "domain"),
		Rank:   f.Int(section, "rank", 0, 0, 1<<16),
	}
	for _, one := range s.Endpoints {
		if s.IsGroup() && one.Rank == e.Rank {
			f.AddProblem(section, "rank", "%d is also the rank of %q", e.Rank, one.Name)
		}
	}
	s.Endpoints = append(s.Endpoints, e)
}
