// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package published

import (
	"sort"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

// New parses and checks one generation. The error lists all problems.
func New(v Version, values map[string][]byte) (c *Config, err error) {
	return Next(nil, v, values)
}

// Next is like New for the generation that follows old: values that have not changed are not parsed
// again. old may be nil.
func Next(old *Config, v Version, values map[string][]byte) (c *Config, err error) {
	c = &Config{
		version:   v,
		customers: map[string]*Customer{},
		byName:    map[string]*Customer{},
		policies:  map[string]*Policy{},
		endpoints: map[string]*Service{},
		parsed:    make(map[string]*parsed, len(values)),
	}
	var problems inifile.Problems
	for _, key := range sortedKeys(values) {
		p := reuse(old, key, values[key])
		c.parsed[key] = p
		problems = append(problems, p.problems...)
		problems = append(problems, c.add(key, p)...)
	}
	sort.Slice(c.services, func(i, j int) bool { return c.services[i].Name < c.services[j].Name })
	problems = append(problems, c.crossCheck()...)
	return c, problems.Err()
}

func sortedKeys(values map[string][]byte) []string {
	keys := make([]string, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// reuse returns the parsed value, taken from the old generation if the value has not changed.
func reuse(old *Config, key string, value []byte) *parsed {
	hash := HashOf(value)
	if old != nil {
		if p, ok := old.parsed[key]; ok && p.hash == hash {
			return p
		}
	}
	return parse(key, hash, value)
}

// add adds one parsed value to c and returns its conflicts with values added before.
func (c *Config) add(key string, p *parsed) (problems inifile.Problems) {
	addFault := func(section, item, text string) {
		problems = append(problems, inifile.Problem{File: key, Section: section, Key: item, Text: text})
	}
	switch {
	case p.customer != nil:
		c.byName[p.customer.Name] = p.customer
		for _, h := range p.customer.KeyHashes {
			if other, dup := c.customers[h]; dup {
				addFault(kindCustomer, "key-hash", "is also a key of customer "+other.Name)
			}
			c.customers[h] = p.customer
		}
	case p.policy != nil:
		c.policies[p.policy.Name] = p.policy
	case p.service != nil:
		c.services = append(c.services, p.service)
		for _, e := range p.service.Endpoints {
			if other, dup := c.endpoints[e.Name]; dup {
				addFault("endpoint "+e.Name, "", "is also an endpoint of "+other.Name)
			}
			c.endpoints[e.Name] = p.service
		}
	case p.maxEntries > 0:
		c.maxEntries = p.maxEntries
	}
	return problems
}

// crossCheck checks references and paths across all values and returns the problems.
func (c *Config) crossCheck() (problems inifile.Problems) {
	known := map[string]bool{}
	paths := map[string]string{}
	for _, s := range c.services {
		known[s.Name] = true
		known[s.Model] = true
		if _, ok := c.policies[s.Policy]; !ok && s.Policy != "" {
			problems = append(problems, inifile.Problem{File: kindGroup + "/" + s.Name + ".ini", Section: kindGroup, Key: "policy",
				Text: "no policy " + s.Policy + " is published"})
		}
		if s.Path == "" {
			continue
		}
		if other, dup := paths[s.Path]; dup {
			problems = append(problems, inifile.Problem{File: kindService + "/" + s.Name + ".ini",
				Text: "has the same path as " + other})
		}
		paths[s.Path] = s.Name
	}
	for _, cust := range c.Customers() {
		file := kindCustomer + "/" + cust.Name + ".ini"
		if _, ok := c.policies[cust.Policy]; !ok && cust.Policy != "" {
			problems = append(problems, inifile.Problem{File: file, Section: kindCustomer, Key: "policy",
				Text: "no policy " + cust.Policy + " is published"})
		}
		for _, name := range cust.Services {
			if !known[name] {
				problems = append(problems, inifile.Problem{File: file, Section: kindCustomer, Key: "services",
					Text: "no model or service " + name + " is published"})
			}
		}
	}
	return problems
}
