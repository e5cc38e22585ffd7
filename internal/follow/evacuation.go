// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import "maps"

// Evacuation is the newest order of an operator for one failure domain: that no new requests go to
// its endpoints, or that this is over. It names a domain instead of endpoints, so that it also
// applies to endpoints that are listed later.
type Evacuation struct {
	Domain   string `json:"domain"`
	Revision uint64 `json:"revision"`
	Over     bool   `json:"over,omitempty"`
}

// maxEvacuations bounds the remembered domains, whatever is written under such keys: a site is
// designed for at most 21 failure domains.
const maxEvacuations = 1024

// evacuations holds the newest order for each domain, by name. It is immutable: changes return a
// copy.
type evacuations map[string]Evacuation

// merged returns the evacuations with a list of orders merged in. Of two orders for a domain, the
// one with the later revision wins, whatever the sequence and the sender.
func (e evacuations) merged(list []Evacuation) evacuations {
	next, changed := e, false
	for _, update := range list {
		old, known := next[update.Domain]
		if known && old.Revision >= update.Revision || !known && len(next) >= maxEvacuations {
			continue
		}
		if !changed {
			next, changed = make(evacuations, len(e)+1), true
			maps.Copy(next, e)
		}
		next[update.Domain] = update
	}
	return next
}

// endedIn compares the evacuations with current, the complete list of those in progress at a
// revision. For each evacuation in progress that is older than the revision and not in the list, it
// returns an order that ends it.
func (e evacuations) endedIn(current []Evacuation, revision uint64) (over []Evacuation) {
	inSnapshot := make(map[string]bool, len(current))
	for _, one := range current {
		inSnapshot[one.Domain] = true
	}
	for domain, had := range e {
		if !had.Over && !inSnapshot[domain] && had.Revision < revision {
			over = append(over, Evacuation{Domain: domain, Revision: revision, Over: true})
		}
	}
	return over
}

// orders returns all orders.
func (e evacuations) orders() (list []Evacuation) {
	for _, one := range e {
		list = append(list, one)
	}
	return list
}

// Evacuated reports whether no new requests may go to the endpoints of a failure domain.
func (s *State) Evacuated(domain string) bool {
	one, known := s.evacuations[domain]
	return known && !one.Over
}

// Evacuations returns the newest order for each failure domain that was ever evacuated, in no
// particular order.
func (s *State) Evacuations() []Evacuation { return s.evacuations.orders() }
