// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package published

import (
	"sort"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
)

// New parses and judges one generation. All faults are returned together.
func New(v Version, values map[string][]byte) (c *Config, err error) {
	return Next(nil, v, values)
}

// Next is New for the generation that follows old: values that did not change
// are not parsed again. old may be nil.
func Next(old *Config, v Version, values map[string][]byte) (c *Config, err error) {
	c = &Config{
		version:   v,
		customers: map[string]*Customer{},
		byName:    map[string]*Customer{},
		policies:  map[string]*Policy{},
		endpoints: map[string]*Service{},
		parsed:    make(map[string]*parsed, len(values)),
	}
	var faults inifile.Problems
	for _, key := range sortedKeys(values) {
		p := reuse(old, key, values[key])
		c.parsed[key] = p
		faults = append(faults, p.faults...)
		faults = append(faults, c.add(key, p)...)
	}
	sort.Slice(c.services, func(i, j int) bool { return c.services[i].Name < c.services[j].Name })
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

// reuse returns what a value says, from the old generation if it is the same.
func reuse(old *Config, key string, value []byte) *parsed {
	hash := HashOf(value)
	if old != nil {
		if p, ok := old.parsed[key]; ok && p.hash == hash {
			return p
		}
	}
	return parse(key, hash, value)
}

// add puts what one value says in its place and returns the faults that show
// only beside other values.
func (c *Config) add(key string, p *parsed) (faults inifile.Problems) {
	clash := func(section, item, text string) {
		faults = append(faults, inifile.Problem{File: key, Section: section, Key: item, Text: text})
	}
	switch {
	case p.customer != nil:
		c.byName[p.customer.Name] = p.customer
		for _, h := range p.customer.KeyHashes {
			if other, dup := c.customers[h]; dup {
				clash(kindCustomer, "key-hash", "is also a key of customer "+other.Name)
			}
			c.customers[h] = p.customer
		}
	case p.policy != nil:
		c.policies[p.policy.Name] = p.policy
	case p.service != nil:
		c.services = append(c.services, p.service)
		for _, e := range p.service.Endpoints {
			if other, dup := c.endpoints[e.Name]; dup {
				clash("endpoint "+e.Name, "", "is also an endpoint of "+other.Name)
			}
			c.endpoints[e.Name] = p.service
		}
	case p.entries > 0:
		c.entries = p.entries
	}
	return faults
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
