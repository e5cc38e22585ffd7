// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package roster decides which gateways are alive, to which of them a gateway sends hellos,
// and which others it reports to them, so that the number of messages that each one sends does
// not grow with the number of gateways.
//
// In each failure domain the first few gateways by address are its hubs. All others of the
// domain send hellos to the hubs, and query one hub after the other for the gateways that it
// knows; hubs of different domains send hellos to and query each other. Nothing depends on an
// agreement on who the hubs are: every gateway answers a hello, and answers a query with what
// it knows. Each gateway also sends hellos to two other gateways at random, so that it is not
// isolated when the hubs end together.
//
// A Roster is the view of one gateway. It is a pure state machine: time and randomness are
// passed as arguments, and the caller serialises access and sends the messages. It is not for
// processes that must agree on a view (see package member).
package roster

import (
	"slices"
	"strings"
	"time"
)

// Timing of hellos.
const (
	// HelloInterval is the time between two rounds of hellos.
	HelloInterval = 700 * time.Millisecond
	// ExpireAfter is how long a gateway of the own failure domain counts as alive after its last
	// message.
	ExpireAfter = 5 * time.Second
	// RecentFor is how long after its last message a gateway is relied on: three hellos.
	RecentFor = 3 * HelloInterval
	// forgetAfter is how long a gateway without messages is remembered and occasionally sent a
	// hello: one that was partitioned off for up to that long is found again without its seeds.
	forgetAfter = time.Minute
)

const (
	// Hubs is the number of gateways of a failure domain to which all others of it send hellos:
	// one more than the two that read the store, from which the others receive its changes, so that
	// the next reader is known when one of these ends.
	Hubs = 3
	// remoteHubs is the number of gateways of another failure domain to which a hub sends hellos:
	// traffic between domains is expensive, and one of two messages may be lost.
	remoteHubs = 2
	// remoteEveryRounds is the number of rounds of which one includes hellos of hubs to other domains.
	remoteEveryRounds = 2
	// remoteRecentFor is RecentFor for gateways of other failure domains.
	remoteRecentFor = RecentFor + remoteEveryRounds*HelloInterval
	// sampleOwnDomain and sampleOtherDomain are the numbers of gateways of the own and of each
	// other failure domain in a sample.
	sampleOwnDomain   = 8
	sampleOtherDomain = 2
)

// Gateway is a gateway as it describes itself.
type Gateway struct {
	Address          string // Address of its peer listener.
	Domain           string // Failure domain.
	StartedAt        int64  // Start of its process, Unix milliseconds; 0 while only other gateways have reported it.
	StoreUnreachable bool   // It gets no answer from the store.
	Leaving          bool   // Its planned stop has begun.
}

// Member is a gateway and the time since its last message.
type Member struct {
	Gateway
	Age time.Duration
}

// Hello is a hello message to be sent.
type Hello struct {
	Address     string
	QueryDomain string // Failure domain whose gateways are queried; "" for no query.
}

// entry is the state of another gateway.
type entry struct {
	Gateway
	seenAt     time.Time // Time of its last known message, to any gateway.
	expired    bool      // Expire has returned it.
	lastDirect time.Time // Time of its last message to this gateway, sent by the process that StartedAt names; zero for none.
	wasLeaving bool      // The planned stop of that process has begun. Leaving may be cleared again, by reports of the next process.
}

// Roster is the view of one gateway.
type Roster struct {
	self         Gateway
	seeds        []string
	started      time.Time
	entries      map[string]*entry // By address; never the gateway itself.
	sorted       []*entry          // The same entries, in the order of their addresses.
	domains      []string          // Failure domains of this gateway and of all entries, sorted.
	round        int
	lastReceived time.Time // Time of the last message from another gateway; zero before the first.
}

// New returns a view that holds only the gateway itself, whose StartedAt and flags are not
// used. Seeds are addresses at which other gateways may be reachable.
func New(self Gateway, seeds []string, now time.Time) *Roster {
	return &Roster{self: self, seeds: seeds, started: now, entries: map[string]*entry{}, domains: []string{self.Domain}}
}

// Receive records a message of another gateway. It reports whether it is the first one from
// that gateway's process.
func (r *Roster) Receive(g Gateway, now time.Time) (isNew bool) {
	if g.Address == r.self.Address {
		return false
	}
	e, known := r.getOrCreate(g.Address)
	isNew = !known || e.StartedAt != g.StartedAt
	*e = entry{Gateway: g, seenAt: now, lastDirect: now, wasLeaving: g.Leaving || !isNew && e.wasLeaving}
	r.lastReceived = now
	r.addDomain(g.Domain)
	return isNew
}

// LastDirect returns what is known of the gateway at an address. StartedAt is that of the process
// that sent its last message to this gateway, and Age is the time since that message. Leaving is
// set if the planned stop of that process had begun, by the message or by any report since. ok is
// false if the gateway never sent a message to this one.
func (r *Roster) LastDirect(address string, now time.Time) (m Member, ok bool) {
	e, ok := r.entries[address]
	if !ok || e.lastDirect.IsZero() {
		return Member{}, false
	}
	m = Member{e.Gateway, now.Sub(e.lastDirect)}
	m.Leaving = e.wasLeaving
	return m, true
}

// getOrCreate returns the entry of a gateway, and whether it was known. For an unknown gateway it
// adds an entry that holds only the address.
func (r *Roster) getOrCreate(address string) (e *entry, known bool) {
	e, known = r.entries[address]
	if !known {
		e = &entry{Gateway: Gateway{Address: address}}
		r.entries[address] = e
		i, _ := slices.BinarySearchFunc(r.sorted, address, func(e *entry, a string) int { return strings.Compare(e.Address, a) })
		r.sorted = slices.Insert(r.sorted, i, e)
	}
	return e, known
}

func (r *Roster) addDomain(domain string) {
	if i, ok := slices.BinarySearch(r.domains, domain); !ok {
		r.domains = slices.Insert(r.domains, i, domain)
	}
}

// MergeMembers records what another gateway reports of others. A report of a gateway counts only
// if that gateway's last message is newer than any known here, and recent enough to count as
// alive.
func (r *Roster) MergeMembers(list []Member, now time.Time) {
	for _, m := range list {
		if m.Address == r.self.Address || m.Age < 0 || m.Age > r.expiryTime(m.Domain) {
			continue
		}
		e, _ := r.getOrCreate(m.Address)
		if seenAt := now.Add(-m.Age); seenAt.After(e.seenAt) {
			m.StartedAt = e.StartedAt // Known only from a message of the gateway itself.
			e.Gateway, e.seenAt, e.expired = m.Gateway, seenAt, false
			e.wasLeaving = e.wasLeaving || m.Leaving
			r.addDomain(m.Domain)
		}
	}
}

// LastReceived returns the time of the last message from another gateway, zero before the first.
func (r *Roster) LastReceived() time.Time { return r.lastReceived }

// expiryTime returns how long a gateway of a failure domain counts as alive after its last
// message. It is longer for other domains: they are queried one domain per round, and an answer
// may be lost.
func (r *Roster) expiryTime(domain string) time.Duration {
	if domain == r.self.Domain {
		return ExpireAfter
	}
	return ExpireAfter + 2*time.Duration(len(r.domains))*HelloInterval
}

// withinExpiry reports whether a gateway counts as alive, regardless of a planned stop.
func (r *Roster) withinExpiry(e *entry, now time.Time) bool {
	return now.Sub(e.seenAt) <= r.expiryTime(e.Domain)
}

// Expire returns the addresses of the gateways that have ceased to count as alive since the last
// call; they are still remembered. It also removes gateways without a message for forgetAfter.
func (r *Roster) Expire(now time.Time) (expired []string) {
	known := len(r.sorted)
	r.sorted = slices.DeleteFunc(r.sorted, func(e *entry) bool { return now.Sub(e.seenAt) > forgetAfter })
	if len(r.sorted) < known {
		r.rebuildIndex()
	}
	for _, e := range r.sorted {
		if !e.expired && !r.withinExpiry(e, now) {
			e.expired = true
			expired = append(expired, e.Address)
		}
	}
	return expired
}

// rebuildIndex rebuilds entries and domains from sorted.
func (r *Roster) rebuildIndex() {
	clear(r.entries)
	r.domains = []string{r.self.Domain}
	for _, e := range r.sorted {
		r.entries[e.Address] = e
		r.addDomain(e.Domain)
	}
}

// Alive returns the other gateways that are alive and not leaving, in the order of their addresses.
func (r *Roster) Alive(now time.Time) (list []Gateway) {
	for _, e := range r.aliveEntries(now) {
		list = append(list, e.Gateway)
	}
	return list
}

// aliveEntries returns the entries of the other gateways that are alive and not leaving, in the
// order of their addresses.
func (r *Roster) aliveEntries(now time.Time) []*entry {
	return r.filter(func(e *entry) bool { return !e.Leaving && r.withinExpiry(e, now) })
}

// unreachable returns the entries that are remembered and not alive.
func (r *Roster) unreachable(now time.Time) []*entry {
	return r.filter(func(e *entry) bool { return !r.withinExpiry(e, now) })
}

// filter returns the entries for which keep returns true, in the order of their addresses.
func (r *Roster) filter(keep func(e *entry) bool) (list []*entry) {
	for _, e := range r.sorted {
		if keep(e) {
			list = append(list, e)
		}
	}
	return list
}

// SameDomain returns the other gateways of the own failure domain whose last message is at most
// RecentFor ago, in the order of their addresses.
func (r *Roster) SameDomain(now time.Time) (list []Gateway) {
	for _, e := range seenWithin(inDomain(r.aliveEntries(now), r.self.Domain), RecentFor, now) {
		list = append(list, e.Gateway)
	}
	return list
}

// inDomain returns the entries of one failure domain.
func inDomain(list []*entry, domain string) (in []*entry) {
	for _, e := range list {
		if e.Domain == domain {
			in = append(in, e)
		}
	}
	return in
}

// seenWithin returns the entries whose last message is at most the given time ago.
func seenWithin(list []*entry, within time.Duration, now time.Time) (recent []*entry) {
	for _, e := range list {
		if now.Sub(e.seenAt) <= within {
			recent = append(recent, e)
		}
	}
	return recent
}

// IsHub reports whether this gateway is one of the hubs of its failure domain: fewer than Hubs of
// the gateways that SameDomain returns have a lower address.
func (r *Roster) IsHub(now time.Time) bool {
	before := 0
	for _, g := range r.SameDomain(now) {
		if g.Address < r.self.Address {
			before++
		}
	}
	return before < Hubs
}

// NextHellos starts the next round and returns its hellos. They go to the hubs and a random
// gateway of the own failure domain; from a hub to hubs of other domains, from any other gateway
// to a random gateway; to one random gateway that is no longer alive; and to the seeds, soon
// after the start or while no other gateway is alive. The function random returns a number from 0
// up to, but not including, its argument.
func (r *Roster) NextHellos(now time.Time, random func(n int) int) []Hello {
	r.round++
	alive := r.aliveEntries(now)
	list := r.hellosToOwnDomain(inDomain(alive, r.self.Domain), now, random)
	if r.IsHub(now) {
		list = append(list, r.hellosToOtherDomains(alive, now, random)...)
	} else {
		list = append(list, randomHellos(alive, 1, random)...)
	}
	list = append(list, randomHellos(r.unreachable(now), 1, random)...)
	return r.addSeeds(mergeDuplicates(list), len(alive) == 0 || now.Sub(r.started) < ExpireAfter)
}

// hellosToOwnDomain returns the hellos to the hubs of the own failure domain, and to one random
// gateway of it. One of the hubs is queried, each in turn. Where there are fewer than Hubs hubs,
// more random gateways take their place.
func (r *Roster) hellosToOwnDomain(peers []*entry, now time.Time, random func(n int) int) (list []Hello) {
	hubs := firstN(Hubs, seenWithin(peers, RecentFor, now))
	for i, e := range hubs {
		hello := Hello{Address: e.Address}
		if i == r.round%len(hubs) {
			hello.QueryDomain = r.queryDomain()
		}
		list = append(list, hello)
	}
	return append(list, randomHellos(peers, 1+Hubs-len(hubs), random)...)
}

// firstN returns the first n elements of a list, or all if there are fewer.
func firstN[T any](n int, list []T) []T { return list[:min(n, len(list))] }

// queryDomain returns the failure domain that is queried in this round: each other domain in
// turn, or the own one if there is no other. An answer always includes the own domain as well.
func (r *Roster) queryDomain() string {
	others := slices.DeleteFunc(slices.Clone(r.domains), func(d string) bool { return d == r.self.Domain })
	if len(others) == 0 {
		return r.self.Domain
	}
	return others[r.round%len(others)]
}

// hellosToOtherDomains returns a hub's hellos to the hubs of the other failure domains, in one of
// remoteEveryRounds rounds. In each domain, one gateway is queried. In a domain without a gateway
// that is alive, the hello goes to one that was alive before.
func (r *Roster) hellosToOtherDomains(alive []*entry, now time.Time, random func(n int) int) (list []Hello) {
	if r.round%remoteEveryRounds != 1 {
		return nil
	}
	for _, domain := range r.domains {
		if domain == r.self.Domain {
			continue
		}
		hellos := r.hellosToDomain(inDomain(alive, domain), now, random)
		if len(hellos) == 0 {
			hellos = randomHellos(inDomain(r.unreachable(now), domain), 1, random)
		}
		if n := len(hellos); n > 0 {
			hellos[r.round/remoteEveryRounds%n].QueryDomain = domain
		}
		list = append(list, hellos...)
	}
	return list
}

// hellosToDomain returns the hellos to remoteHubs gateways of another failure domain. They are
// the first ones by address with recent messages, and random ones where these are too few.
func (r *Roster) hellosToDomain(peers []*entry, now time.Time, random func(n int) int) (list []Hello) {
	for _, e := range firstN(remoteHubs, seenWithin(peers, remoteRecentFor, now)) {
		list = append(list, Hello{Address: e.Address})
	}
	return mergeDuplicates(append(list, randomHellos(peers, remoteHubs-len(list), random)...))
}

// addSeeds adds hellos to the seeds if they are needed, and queries one of them, each in turn. No
// hello goes to this gateway itself.
func (r *Roster) addSeeds(list []Hello, needed bool) []Hello {
	if !needed {
		return list
	}
	for i, s := range r.seeds {
		hello := Hello{Address: s}
		if i == r.round%len(r.seeds) {
			hello.QueryDomain = r.self.Domain
		}
		if s != r.self.Address {
			list = append(list, hello)
		}
	}
	return mergeDuplicates(list)
}

// randomHellos returns hellos to n random entries of a list, or to all if there are fewer.
func randomHellos(list []*entry, n int, random func(n int) int) (hellos []Hello) {
	for _, e := range RandomSubset(list, n, random) {
		hellos = append(hellos, Hello{Address: e.Address})
	}
	return hellos
}

// RandomSubset returns n random elements of a list, or all if there are fewer.
func RandomSubset[T any](list []T, n int, random func(n int) int) []T {
	list = slices.Clone(list)
	n = min(n, len(list))
	for i := range n {
		j := i + random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// mergeDuplicates returns one hello for each address, with the query of the first one that has any.
func mergeDuplicates(list []Hello) (merged []Hello) {
	index := map[string]int{}
	for _, hello := range list {
		i, ok := index[hello.Address]
		switch {
		case !ok:
			index[hello.Address] = len(merged)
			merged = append(merged, hello)
		case merged[i].QueryDomain == "":
			merged[i].QueryDomain = hello.QueryDomain
		}
	}
	return merged
}

// AnswerQuery returns the answer to a gateway in askerDomain that queries a failure domain. The
// answer holds the gateways that are alive, including leaving ones: all of the queried domain;
// all of the own domain, if the asker belongs to it; and the first Hubs of each other domain.
func (r *Roster) AnswerQuery(askerDomain, queried string, now time.Time) (list []Member) {
	perDomain := map[string]int{}
	for _, e := range r.reportable(now) {
		include := e.Domain == queried || e.Domain == askerDomain && askerDomain == r.self.Domain
		if perDomain[e.Domain]++; include || perDomain[e.Domain] <= Hubs {
			list = append(list, e.info(now))
		}
	}
	return list
}

// reportable returns the entries that are alive, including leaving ones, in the order of their
// addresses.
func (r *Roster) reportable(now time.Time) []*entry {
	return r.filter(func(e *entry) bool { return r.withinExpiry(e, now) })
}

// info returns the gateway with the time since its last message.
func (e *entry) info(now time.Time) Member { return Member{Gateway: e.Gateway, Age: now.Sub(e.seenAt)} }

// Sample returns some random gateways of each failure domain: more of the own one, whose other
// processes learn of gateways from this one.
func (r *Roster) Sample(now time.Time, random func(n int) int) (list []Member) {
	alive := r.aliveEntries(now)
	for _, domain := range r.domains {
		n := sampleOtherDomain
		if domain == r.self.Domain {
			n = sampleOwnDomain
		}
		for _, e := range RandomSubset(inDomain(alive, domain), n, random) {
			list = append(list, e.info(now))
		}
	}
	return list
}
