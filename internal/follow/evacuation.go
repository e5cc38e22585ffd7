// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import "maps"

// Evacuation is the newest word of an operator on one failure domain: that nothing
// new goes to its endpoints, or that this is over. It names a domain, not endpoints,
// so that it holds as well for those that are listed later.
type Evacuation struct {
	Domain   string `json:"domain"`
	Revision uint64 `json:"revision"`
	Over     bool   `json:"over,omitempty"`
}

// maxEvacuations bounds the domains that are remembered, whatever is written under
// keys like these: 21 failure domains are the most that a site is designed for.
const maxEvacuations = 1024

// evacuations is the newest word on each domain, by name. It is never changed: what
// changes it returns another one.
type evacuations map[string]Evacuation

// with returns what is known with a list of words taken in. Of two words on a domain
// the one of the later revision holds, in whatever order and from whomever they come.
func (e evacuations) with(list []Evacuation) evacuations {
	next, changed := e, false
	for _, one := range list {
		had, known := next[one.Domain]
		if known && had.Revision >= one.Revision || !known && len(next) >= maxEvacuations {
			continue
		}
		if !changed {
			next, changed = make(evacuations, len(e)+1), true
			maps.Copy(next, e)
		}
		next[one.Domain] = one
	}
	return next
}

// endedBy returns the ends of evacuations that a whole snapshot of a revision does not
// name any more.
func (e evacuations) endedBy(named []Evacuation, revision uint64) (over []Evacuation) {
	there := make(map[string]bool, len(named))
	for _, one := range named {
		there[one.Domain] = true
	}
	for domain, had := range e {
		if !had.Over && !there[domain] && had.Revision < revision {
			over = append(over, Evacuation{Domain: domain, Revision: revision, Over: true})
		}
	}
	return over
}

// all returns every word.
func (e evacuations) all() (list []Evacuation) {
	for _, one := range e {
		list = append(list, one)
	}
	return list
}

// Evacuated reports whether nothing new may go to the endpoints of a failure domain.
func (s *State) Evacuated(domain string) bool {
	one, known := s.evacuations[domain]
	return known && !one.Over
}

// Evacuations returns the newest word on each failure domain that was ever evacuated,
// in no order.
func (s *State) Evacuations() []Evacuation { return s.evacuations.all() }
