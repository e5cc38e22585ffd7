// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// Times and bounds of what endpoints ask of their senders, as the users' pages give them.
const (
	limitLasts  = 8 * time.Second
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitSlack  = 5 // Requests.
	restLasts   = 3 * time.Second
	restAllowed = 2 // Requests of one gateway within a rest.
	// toldAfter is how long after an answer its gateway is bound by what that asked for.
	toldAfter = 500 * time.Millisecond
)

// limits are what endpoints name, in requests a second.
var limits = [...]float64{0.5, 1, 2, 6}

// wishes returns what an endpoint asks for now.
func (e *endpointAt) wishes() standin.Signals {
	e.mu.Lock()
	defer e.mu.Unlock()
	asks := e.asks
	asks.Backoff = max(time.Until(e.restsUntil), 0)
	return asks
}

// wish changes what an endpoint asks for.
func (e *endpointAt) wish(change func(a *standin.Signals)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.asks)
}

// nameLimit has an endpoint name a rate limit for a while.
func (s *site) nameLimit(f fault) {
	e := s.endpoint(f.which)
	limit := limits[f.how%len(limits)]
	e.wish(func(a *standin.Signals) { a.Limited, a.Limit = true, limit })
	time.Sleep(min(limitLasts, s.cfg.Length-settleTime-f.at))
	e.wish(func(a *standin.Signals) { a.Limited = false })
}

// askRest has an endpoint turn all requests away for a while and ask for rest.
func (s *site) askRest(f fault) {
	e := s.endpoint(f.which)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restsUntil = time.Now().Add(restLasts)
}

// sayLeaving has a plain endpoint leave that tells so in its answers only; another one comes.
func (s *site) sayLeaving(f fault) error {
	old, err := s.succeed(f)
	if err != nil {
		return err
	}
	old.wish(func(a *standin.Signals) { a.Leaving = true })
	time.Sleep(drainBound + restLasts)
	s.store.Remove(old.name)
	time.Sleep(patience)
	s.ledger.endpointEnds(old.name)
	return old.srv.Close()
}

// arrived notes a request that reached an endpoint.
func (l *ledger) arrived(a standin.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[a.Endpoint] = append(l.arrivals[a.Endpoint], a)
}

// gatewayOf returns the number of the gateway at an IP number.
func gatewayOf(ip string) int {
	last := ip[strings.LastIndexByte(ip, '.')+1:]
	n, err := strconv.Atoi(last)
	if err != nil || net.ParseIP(ip) == nil {
		return -1
	}
	return n - gatewayIP
}

// judgeAsks checks that endpoints get what they ask for. The caller holds mu.
func (l *ledger) judgeAsks() (broken []string) {
	for endpoint, list := range l.arrivals {
		slices.SortFunc(list, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		byGateway := map[int][]standin.Arrival{}
		for _, a := range list {
			g := gatewayOf(a.GatewayIP)
			byGateway[g] = append(byGateway[g], a)
		}
		for g, own := range byGateway {
			broken = append(broken, l.judgeRests(endpoint, g, own)...)
			broken = append(broken, l.judgeLeaving(endpoint, g, own)...)
		}
		broken = append(broken, l.judgeLimit(endpoint, list)...)
	}
	return broken
}

// judgeRests checks one gateway's requests to an endpoint against the rests that it asked for.
func (l *ledger) judgeRests(endpoint string, g int, list []standin.Arrival) []string {
	for i, asked := range list {
		if asked.Signals.Backoff == 0 {
			continue
		}
		n := 0
		for _, a := range list[i+1:] {
			since := a.At.Sub(asked.At)
			if since > toldAfter+slack && since < asked.Signals.Backoff && !l.halted(g, asked.At, a.At) {
				n++
			}
		}
		if n > restAllowed {
			return []string{fmt.Sprintf("%s asked gateway %d for %v of rest at %s and got %d requests in it", endpoint, g, asked.Signals.Backoff, asked.At.Format(clock), n)}
		}
	}
	return nil
}

// judgeLeaving checks that a gateway sends nothing to an endpoint whose answers say that it leaves.
func (l *ledger) judgeLeaving(endpoint string, g int, list []standin.Arrival) []string {
	i := slices.IndexFunc(list, func(a standin.Arrival) bool { return a.Signals.Leaving && a.HeadSent })
	if i < 0 {
		return nil
	}
	for _, a := range list[i:] {
		if a.At.Sub(list[i].At) > drainBound+slack && !l.halted(g, list[i].At, a.At) {
			return []string{fmt.Sprintf("%s got a request of gateway %d %v after it said in an answer that it leaves", endpoint, g, a.At.Sub(list[i].At))}
		}
	}
	return nil
}

// judgeLimit checks all requests to an endpoint against the limits that it named, of gateways
// that were told.
func (l *ledger) judgeLimit(endpoint string, list []standin.Arrival) []string {
	var first time.Time                // Of the answers that name the limit.
	var named standin.Signals          // The newest.
	told := map[int]time.Time{}        // When gateways got the first of them.
	var counted []standin.Arrival      // Of gateways that were told.
	within := func(at time.Time) int { // Those of the window that ends then.
		return len(counted) - slices.IndexFunc(counted, func(a standin.Arrival) bool { return at.Sub(a.At) <= limitWindow })
	}
	for _, a := range list {
		if a.Signals.Limited != named.Limited || a.Signals.Limit != named.Limit {
			first, named, counted = a.At, a.Signals, nil
			clear(told)
		}
		if !named.Limited {
			continue
		}
		g := gatewayOf(a.GatewayIP)
		at, known := told[g]
		if known && l.halted(g, at, a.At) {
			delete(told, g) // It may have forgotten.
			known = false
		}
		if !known && a.HeadSent {
			told[g] = a.At
		}
		if !known || a.At.Sub(at) < toldAfter+slack || a.At.Sub(first) < calmBefore {
			continue
		}
		counted = append(counted, a)
		if n := within(a.At); float64(n) > limitShare*named.Limit*limitWindow.Seconds()+limitSlack {
			return []string{fmt.Sprintf("%s named a limit of %v a second and got %d requests in %v at %s", endpoint, named.Limit, n, limitWindow, a.At.Format(clock))}
		}
	}
	return nil
}
