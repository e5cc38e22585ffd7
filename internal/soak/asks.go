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

// Durations and bounds of the signals that endpoints send to gateways, as in the users' documents.
const (
	limitDuration        = 8 * time.Second
	limitWindow          = 4 * time.Second
	allowedLimitFactor   = 1.5
	limitSlackRequests   = 5 // Number of requests.
	backoffDuration      = 3 * time.Second
	maxRequestsInBackoff = 2 // Requests of one gateway within a requested backoff.
	// signalDelay is the time after an answer from which on its gateway must follow the signals in it.
	signalDelay = 500 * time.Millisecond
)

// rateLimits are the rate limits that endpoints announce, in requests per second.
var rateLimits = [...]float64{0.5, 1, 2, 6}

// currentSignals returns the signals that an endpoint sends now.
func (e *siteEndpoint) currentSignals() standin.Signals {
	e.mu.Lock()
	defer e.mu.Unlock()
	signals := e.signals
	signals.Backoff = max(time.Until(e.backoffUntil), 0)
	return signals
}

// changeSignals changes the signals that an endpoint sends.
func (e *siteEndpoint) changeSignals(change func(a *standin.Signals)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.signals)
}

// nameLimit makes an endpoint announce a rate limit for some time.
func (s *site) nameLimit(f fault) {
	e := s.endpoint(f.target)
	limit := rateLimits[f.variant%len(rateLimits)]
	e.changeSignals(func(a *standin.Signals) { a.Limited, a.Limit = true, limit })
	time.Sleep(min(limitDuration, s.cfg.Length-settleTime-f.at))
	e.changeSignals(func(a *standin.Signals) { a.Limited = false })
}

// askRest makes an endpoint reject all requests and request backoff for some time.
func (s *site) askRest(f fault) {
	e := s.endpoint(f.target)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backoffUntil = time.Now().Add(backoffDuration)
}

// sayLeaving makes a plain endpoint leave and announce it in its answers only, and starts another one
// in its place.
func (s *site) sayLeaving(f fault) error {
	old, err := s.addSuccessor(f)
	if err != nil {
		return err
	}
	old.changeSignals(func(a *standin.Signals) { a.Leaving = true })
	time.Sleep(drainBound + backoffDuration)
	s.store.Remove(old.name)
	time.Sleep(callerTimeout)
	s.ledger.recordEndpointExit(old.name)
	return old.srv.Close()
}

// recordArrival records that a request reached an endpoint.
func (l *ledger) recordArrival(a standin.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[a.Endpoint] = append(l.arrivals[a.Endpoint], a)
}

// gatewayNumber returns the number of the gateway at an IP address; -1 for an invalid one.
func gatewayNumber(ip string) int {
	last := ip[strings.LastIndexByte(ip, '.')+1:]
	n, err := strconv.Atoi(last)
	if err != nil || net.ParseIP(ip) == nil {
		return -1
	}
	return n - gatewayIP
}

// checkSignals checks that gateways follow the signals of endpoints. The caller holds mu.
func (l *ledger) checkSignals() (violations []string) {
	for endpoint, list := range l.arrivals {
		slices.SortFunc(list, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		byGateway := map[int][]standin.Arrival{}
		for _, a := range list {
			g := gatewayNumber(a.GatewayIP)
			byGateway[g] = append(byGateway[g], a)
		}
		for g, own := range byGateway {
			violations = append(violations, l.checkBackoff(endpoint, g, own)...)
			violations = append(violations, l.checkLeaving(endpoint, g, own)...)
		}
		violations = append(violations, l.checkRateLimit(endpoint, list)...)
	}
	return violations
}

// checkBackoff checks one gateway's requests to an endpoint against the backoff that the endpoint
// requested.
func (l *ledger) checkBackoff(endpoint string, g int, list []standin.Arrival) []string {
	for i, request := range list {
		if request.Signals.Backoff == 0 {
			continue
		}
		n := 0
		for _, a := range list[i+1:] {
			since := a.At.Sub(request.At)
			if since > signalDelay+slack && since < request.Signals.Backoff && !l.interrupted(g, request.At, a.At) {
				n++
			}
		}
		if n > maxRequestsInBackoff {
			return []string{fmt.Sprintf("%s asked gateway %d for %v of rest at %s and got %d requests in it", endpoint, g, request.Signals.Backoff, request.At.Format(timeFormat), n)}
		}
	}
	return nil
}

// checkLeaving checks that a gateway sends nothing to an endpoint whose answers announce that it
// is leaving.
func (l *ledger) checkLeaving(endpoint string, g int, list []standin.Arrival) []string {
	i := slices.IndexFunc(list, func(a standin.Arrival) bool { return a.Signals.Leaving && a.HeadSent })
	if i < 0 {
		return nil
	}
	for _, a := range list[i:] {
		if a.At.Sub(list[i].At) > drainBound+slack && !l.interrupted(g, list[i].At, a.At) {
			return []string{fmt.Sprintf("%s got a request of gateway %d %v after it said in an answer that it leaves", endpoint, g, a.At.Sub(list[i].At))}
		}
	}
	return nil
}

// checkRateLimit checks the requests to an endpoint from gateways that know its rate limit against
// the limits that it announced.
func (l *ledger) checkRateLimit(endpoint string, list []standin.Arrival) []string {
	var announcedAt time.Time                 // When the limit was first announced.
	var announced standin.Signals             // Newest signals.
	informedAt := map[int]time.Time{}         // When each gateway first received the limit.
	var counted []standin.Arrival             // Requests from gateways that know the limit.
	countInWindow := func(at time.Time) int { // Counts the requests in the window that ends at a time.
		return len(counted) - slices.IndexFunc(counted, func(a standin.Arrival) bool { return at.Sub(a.At) <= limitWindow })
	}
	for _, a := range list {
		if a.Signals.Limited != announced.Limited || a.Signals.Limit != announced.Limit {
			announcedAt, announced, counted = a.At, a.Signals, nil
			clear(informedAt)
		}
		if !announced.Limited {
			continue
		}
		g := gatewayNumber(a.GatewayIP)
		at, known := informedAt[g]
		if known && l.interrupted(g, at, a.At) {
			delete(informedAt, g) // The gateway may have lost the limit.
			known = false
		}
		if !known && a.HeadSent {
			informedAt[g] = a.At
		}
		if !known || a.At.Sub(at) < signalDelay+slack || a.At.Sub(announcedAt) < undisturbedTime {
			continue
		}
		counted = append(counted, a)
		if n := countInWindow(a.At); float64(n) > allowedLimitFactor*announced.Limit*limitWindow.Seconds()+limitSlackRequests {
			return []string{fmt.Sprintf("%s named a limit of %v a second and got %d requests in %v at %s", endpoint, announced.Limit, n, limitWindow, a.At.Format(timeFormat))}
		}
	}
	return nil
}
