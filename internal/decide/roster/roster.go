// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package roster decides which gateways are there, whom a gateway greets, and what it
// tells of others, so that what each one sends stays the same however many there are.
//
// In each failure domain the first few gateways by address are its hubs. All others of
// the domain greet them and ask them in turn whom they hear; hubs of different domains
// greet and ask each other. Nothing depends on all agreeing who the hubs are: whoever
// is greeted answers, and whoever is asked tells what it knows. Each gateway greets two
// others by chance besides, so that it is not left alone when the hubs end together.
//
// A Roster is the view of one gateway. It is a pure state machine: time and chance come in
// as arguments, and the caller serialises access and sends the messages. It is not for
// processes that must agree (package member).
package roster

import (
	"slices"
	"strings"
	"time"
)

// Times of greeting.
const (
	// HelloInterval is the time between two rounds of hellos.
	HelloInterval = 700 * time.Millisecond
	// ExpireAfter is how long a gateway of the own failure domain counts as there after
	// its last word.
	ExpireAfter = 5 * time.Second
	// RecentFor is how long it counts as one to rely on: three hellos.
	RecentFor = 3 * HelloInterval
	// rememberFor is how long one that fell silent is greeted now and then: whoever was
	// cut off for that long is found again without its seeds.
	rememberFor = time.Minute
)

const (
	// Hubs is how many gateways of a failure domain all others of it greet: one more
	// than are listened to, so that the next one is known when one of these ends.
	Hubs = 3
	// farHubs is how many of another failure domain a hub greets: bytes between
	// domains are dear, and one of two may be lost.
	farHubs = 2
	// farEvery is how many rounds come to one in which hubs greet other domains.
	farEvery = 2
	// farFreshFor is RecentFor for gateways of other failure domains.
	farFreshFor = RecentFor + farEvery*HelloInterval
	// sampleNear and sampleFar are how many gateways of the own and of each other
	// failure domain a sample names.
	sampleNear = 8
	sampleFar  = 2
)

// Gateway is a gateway as it tells of itself.
type Gateway struct {
	Address          string // Peer listener.
	Domain           string // Failure domain.
	StartedAt        int64  // Start of its process, Unix milliseconds; 0 while it is known by hearsay only.
	StoreUnreachable bool   // The store does not answer it.
	Stopping         bool   // It is in its planned stop.
}

// Member is a gateway and how long ago its last word was.
type Member struct {
	Gateway
	Age time.Duration
}

// Hello is a hello to be sent.
type Hello struct {
	Address     string
	QueryDomain string // The failure domain whose gateways are asked for; "" for none.
}

// entry is what is known of another gateway.
type entry struct {
	Gateway
	at     time.Time // Of its last word, to whomever that was.
	lapsed bool      // It was reported as one that is not heard any more.
	spoke  time.Time // When it last spoke to this gateway, in the life that is known.
	stops  bool      // That life was in its planned stop; what others tell later may be of the next one.
}

// Roster is the view of one gateway.
type Roster struct {
	self    Gateway
	seeds   []string
	started time.Time
	by      map[string]*entry // By address; never the gateway itself.
	order   []*entry          // The same, in the order of their addresses.
	domains []string          // Of the gateway and of all in by, in order.
	round   int
	heard   time.Time // When another gateway last spoke to this one; zero when none did.
}

// New returns a view that holds nobody but the gateway itself, whose Life and flags do not
// matter. Seeds are addresses of gateways that may be there.
func New(self Gateway, seeds []string, now time.Time) *Roster {
	return &Roster{self: self, seeds: seeds, started: now, by: map[string]*entry{}, domains: []string{self.Domain}}
}

// Receive takes in a gateway's own word. It reports whether its process has not spoken to this
// gateway before.
func (r *Roster) Receive(g Gateway, now time.Time) (fresh bool) {
	if g.Address == r.self.Address {
		return false
	}
	e, known := r.entry(g.Address)
	fresh = !known || e.StartedAt != g.StartedAt
	*e = entry{Gateway: g, at: now, spoke: now, stops: g.Stopping || !fresh && e.stops}
	r.heard = now
	r.noteDomain(g.Domain)
	return fresh
}

// LastDirect returns the life of a gateway that last spoke to this one, how long ago, and whether it
// was in its planned stop by all that was told since; ok is false where none has spoken.
func (r *Roster) LastDirect(address string, now time.Time) (s Member, ok bool) {
	e, ok := r.by[address]
	if !ok || e.spoke.IsZero() {
		return Member{}, false
	}
	s = Member{e.Gateway, now.Sub(e.spoke)}
	s.Stopping = e.stops
	return s, true
}

// entry returns what is known of a gateway, which is nothing where it was not known.
func (r *Roster) entry(address string) (e *entry, known bool) {
	e, known = r.by[address]
	if !known {
		e = &entry{Gateway: Gateway{Address: address}}
		r.by[address] = e
		i, _ := slices.BinarySearchFunc(r.order, address, func(e *entry, a string) int { return strings.Compare(e.Address, a) })
		r.order = slices.Insert(r.order, i, e)
	}
	return e, known
}

func (r *Roster) noteDomain(domain string) {
	if i, ok := slices.BinarySearch(r.domains, domain); !ok {
		r.domains = slices.Insert(r.domains, i, domain)
	}
}

// MergeMembers takes in what another gateway tells of others. Only what is newer than all that is
// known of a gateway counts.
func (r *Roster) MergeMembers(list []Member, now time.Time) {
	for _, s := range list {
		if s.Address == r.self.Address || s.Age < 0 || s.Age > r.lapseAfter(s.Domain) {
			continue
		}
		e, _ := r.entry(s.Address)
		if at := now.Add(-s.Age); at.After(e.at) {
			s.StartedAt = e.StartedAt
			e.Gateway, e.at, e.lapsed = s.Gateway, at, false
			e.stops = e.stops || s.Stopping
			r.noteDomain(s.Domain)
		}
	}
}

// LastReceived returns when another gateway last spoke to this one, zero when none did.
func (r *Roster) LastReceived() time.Time { return r.heard }

// lapseAfter is how long a gateway of a failure domain counts as there after its last word.
// Those of other domains are told of one domain a round, and an answer may be lost.
func (r *Roster) lapseAfter(domain string) time.Duration {
	if domain == r.self.Domain {
		return ExpireAfter
	}
	return ExpireAfter + 2*time.Duration(len(r.domains))*HelloInterval
}

// isThere reports whether a gateway counts as there but for a planned stop of it.
func (r *Roster) isThere(e *entry, now time.Time) bool {
	return now.Sub(e.at) <= r.lapseAfter(e.Domain)
}

// Expire forgets whoever was not heard for long, and returns the addresses of those that
// have just ceased to count as there.
func (r *Roster) Expire(now time.Time) (lapsed []string) {
	known := len(r.order)
	r.order = slices.DeleteFunc(r.order, func(e *entry) bool { return now.Sub(e.at) > rememberFor })
	if len(r.order) < known {
		r.index()
	}
	for _, e := range r.order {
		if !e.lapsed && !r.isThere(e, now) {
			e.lapsed = true
			lapsed = append(lapsed, e.Address)
		}
	}
	return lapsed
}

// index makes what follows from order anew.
func (r *Roster) index() {
	clear(r.by)
	r.domains = []string{r.self.Domain}
	for _, e := range r.order {
		r.by[e.Address] = e
		r.noteDomain(e.Domain)
	}
}

// Alive returns the other gateways that are there, in the order of their addresses.
func (r *Roster) Alive(now time.Time) (list []Gateway) {
	for _, e := range r.there(now) {
		list = append(list, e.Gateway)
	}
	return list
}

// there returns the entries of the other gateways that are there.
func (r *Roster) there(now time.Time) []*entry {
	return r.those(func(e *entry) bool { return !e.Stopping && r.isThere(e, now) })
}

// lost returns the entries of those that are remembered and not there.
func (r *Roster) lost(now time.Time) []*entry {
	return r.those(func(e *entry) bool { return !r.isThere(e, now) })
}

// those returns the entries of some of the other gateways, in the order of their addresses.
func (r *Roster) those(keep func(e *entry) bool) (list []*entry) {
	for _, e := range r.order {
		if keep(e) {
			list = append(list, e)
		}
	}
	return list
}

// SameDomain returns the other gateways of the own failure domain that were heard lately, in the
// order of their addresses.
func (r *Roster) SameDomain(now time.Time) (list []Gateway) {
	for _, e := range fresh(within(r.there(now), r.self.Domain), RecentFor, now) {
		list = append(list, e.Gateway)
	}
	return list
}

// within returns the entries of one failure domain.
func within(list []*entry, domain string) (in []*entry) {
	for _, e := range list {
		if e.Domain == domain {
			in = append(in, e)
		}
	}
	return in
}

// fresh returns the entries that were heard within a time.
func fresh(list []*entry, within time.Duration, now time.Time) (lately []*entry) {
	for _, e := range list {
		if now.Sub(e.at) <= within {
			lately = append(lately, e)
		}
	}
	return lately
}

// IsHub reports whether this gateway is one of the hubs of its failure domain.
func (r *Roster) IsHub(now time.Time) bool {
	before := 0
	for _, g := range r.SameDomain(now) {
		if g.Address < r.self.Address {
			before++
		}
	}
	return before < Hubs
}

// NextHellos returns whom to greet in the next round. Random returns a number from 0 up to its
// argument.
func (r *Roster) NextHellos(now time.Time, random func(n int) int) []Hello {
	r.round++
	there := r.there(now)
	list := r.greetNear(within(there, r.self.Domain), now, random)
	if r.IsHub(now) {
		list = append(list, r.greetDomains(there, now, random)...)
	} else {
		list = append(list, drawn(there, 1, random)...)
	}
	list = append(list, drawn(r.lost(now), 1, random)...)
	return r.withSeeds(once(list), len(there) == 0 || now.Sub(r.started) < ExpireAfter)
}

// greetNear returns the greetings to hubs of the own failure domain, one of which is
// asked, and to one other gateway of it.
func (r *Roster) greetNear(near []*entry, now time.Time, random func(n int) int) (list []Hello) {
	hubs := first(Hubs, fresh(near, RecentFor, now))
	for i, e := range hubs {
		g := Hello{Address: e.Address}
		if i == r.round%len(hubs) {
			g.QueryDomain = r.asked()
		}
		list = append(list, g)
	}
	return append(list, drawn(near, 1+Hubs-len(hubs), random)...)
}

// first returns the first so many of a list.
func first[T any](n int, list []T) []T { return list[:min(n, len(list))] }

// asked returns the failure domain that is asked for in this round besides the own one: each
// other one in turn.
func (r *Roster) asked() string {
	others := slices.DeleteFunc(slices.Clone(r.domains), func(d string) bool { return d == r.self.Domain })
	if len(others) == 0 {
		return r.self.Domain
	}
	return others[r.round%len(others)]
}

// greetDomains returns a hub's greetings to the hubs of the other failure domains: to
// some that were there before where none is now.
func (r *Roster) greetDomains(there []*entry, now time.Time, random func(n int) int) (list []Hello) {
	if r.round%farEvery != 1 {
		return nil
	}
	for _, domain := range r.domains {
		if domain == r.self.Domain {
			continue
		}
		greetings := r.greetFar(within(there, domain), now, random)
		if len(greetings) == 0 {
			greetings = drawn(within(r.lost(now), domain), 1, random)
		}
		if n := len(greetings); n > 0 {
			greetings[r.round/farEvery%n].QueryDomain = domain
		}
		list = append(list, greetings...)
	}
	return list
}

// greetFar returns the greetings to some gateways of another failure domain: its first ones,
// or any where these have not been heard lately.
func (r *Roster) greetFar(far []*entry, now time.Time, random func(n int) int) (list []Hello) {
	for _, e := range first(farHubs, fresh(far, farFreshFor, now)) {
		list = append(list, Hello{Address: e.Address})
	}
	return once(append(list, drawn(far, farHubs-len(list), random)...))
}

// withSeeds adds greetings to the seeds where those are needed, and asks one of them.
func (r *Roster) withSeeds(list []Hello, needed bool) []Hello {
	if !needed {
		return list
	}
	for i, s := range r.seeds {
		g := Hello{Address: s}
		if i == r.round%len(r.seeds) {
			g.QueryDomain = r.self.Domain
		}
		if s != r.self.Address {
			list = append(list, g)
		}
	}
	return once(list)
}

// drawn returns greetings to so many of a list, drawn anew each time.
func drawn(list []*entry, n int, random func(n int) int) (greetings []Hello) {
	for _, e := range RandomSubset(list, n, random) {
		greetings = append(greetings, Hello{Address: e.Address})
	}
	return greetings
}

// RandomSubset returns so many of a list, drawn anew each time.
func RandomSubset[T any](list []T, n int, random func(n int) int) []T {
	list = slices.Clone(list)
	n = min(n, len(list))
	for i := range n {
		j := i + random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// once returns the greetings with one for each address, which asks if any of them does.
func once(list []Hello) (single []Hello) {
	at := map[string]int{}
	for _, g := range list {
		i, ok := at[g.Address]
		switch {
		case !ok:
			at[g.Address] = len(single)
			single = append(single, g)
		case single[i].QueryDomain == "":
			single[i].QueryDomain = g.QueryDomain
		}
	}
	return single
}

// AnswerQuery returns what to tell a gateway of a failure domain that asks for another one: all
// of that, all of the own one if it is of it, and the first of each other one.
func (r *Roster) AnswerQuery(domain, asks string, now time.Time) (list []Member) {
	heads := map[string]int{}
	for _, e := range r.tellable(now) {
		whole := e.Domain == asks || e.Domain == domain && domain == r.self.Domain
		if heads[e.Domain]++; whole || heads[e.Domain] <= Hubs {
			list = append(list, e.seen(now))
		}
	}
	return list
}

// tellable returns those that are there or have just left, in the order of their addresses.
func (r *Roster) tellable(now time.Time) []*entry {
	return r.those(func(e *entry) bool { return r.isThere(e, now) })
}

func (e *entry) seen(now time.Time) Member { return Member{Gateway: e.Gateway, Age: now.Sub(e.at)} }

// Sample returns some gateways of each failure domain, drawn anew each time: the more of the
// own one, whose other processes are told by this gateway.
func (r *Roster) Sample(now time.Time, random func(n int) int) (list []Member) {
	there := r.there(now)
	for _, domain := range r.domains {
		n := sampleFar
		if domain == r.self.Domain {
			n = sampleNear
		}
		for _, e := range RandomSubset(within(there, domain), n, random) {
			list = append(list, e.seen(now))
		}
	}
	return list
}
