// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// usableIdleShare is the part of a published idle time for which callers may rest.
	usableIdleShare = 0.8
	// defaultIdleTimeout is what the stand-in publishes where no idle time is asked for.
	defaultIdleTimeout = 20 * time.Second
	// closeSlack is how long after the end of the idle time a gateway closes a connection.
	closeSlack = time.Second
	// closeSlackAfterChange is how much later that is where no shorter time may be in force any more.
	closeSlackAfterChange = 2 * configurationBound
)

// idleSetting is an idle time that was published.
type idleSetting struct {
	limit    time.Duration
	sent     time.Time // From then on it may be in force.
	replaced time.Time // When the next one was acknowledged; zero before.
}

// recordIdleSetting notes that a version with an idle time is sent; the function notes that it was
// acknowledged.
func (l *ledger) recordIdleSetting(limit time.Duration) (acknowledged func()) {
	if limit == 0 {
		limit = defaultIdleTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.timeouts) - 1
	if last >= 0 && l.timeouts[last].limit == limit {
		return func() {}
	}
	l.timeouts = append(l.timeouts, idleSetting{limit: limit, sent: time.Now()})
	if last < 0 {
		return func() {}
	}
	return func() { l.do(func(l *ledger) { l.timeouts[last].replaced = time.Now() }) }
}

// idlePeriod is the time for which a kept connection carried nothing before a request.
type idlePeriod struct {
	since      time.Time     // The end of the last answer.
	advertised time.Duration // By the last answer; 0 for nothing.
	sendUntil  time.Time     // Its caller may send until then.
	late       bool          // The request was sent after that.
	err        error         // That ended the connection in the place of an answer.
}

// usableUntil returns until when a caller may send, as far as it knows now: for what it was
// told, and for a part of any idle time that may be in force.
func (r *idlePeriod) usableUntil(idles []idleSetting) (until time.Time) {
	for _, i := range idles {
		end := r.since.Add(time.Duration(usableIdleShare * float64(i.limit)))
		if inEffect := i.replaced.Add(configurationBound); !i.replaced.IsZero() && inEffect.Before(end) {
			end = inEffect
		}
		if end.After(until) {
			until = end
		}
	}
	if advertised := r.since.Add(r.advertised); r.advertised > 0 && advertised.Before(until) {
		until = advertised
	}
	return until
}

// expiry returns when the connection's time is over.
func (r *idlePeriod) expiry(idles []idleSetting) time.Time {
	return r.since.Add(max(r.advertised, idles[len(idles)-1].limit))
}

// checkIdleConn checks that a request on a kept connection gets an answer if its caller may send
// it, and that one without an answer never reached an endpoint.
func (l *ledger) checkIdleConn(r *request, report func(*request, string, ...any)) {
	if r.idle == nil || r.status != 0 || r.ended.IsZero() || l.killedOrPaused(r.gateway, r.idle.since, r.ended) {
		return
	}
	if r.conn != nil && l.outcomeOf(r) == outcomeCutByKill {
		return // It may have read the last answer, and begun to rest, after the process's end was seen.
	}
	how := "was closed with no answer"
	if l.inPlannedStop(r.gateway, r.sent) {
		how += " in a planned stop"
	}
	details := fmt.Sprintf("told %v, rested %v, %v before its end", r.idle.advertised, r.sent.Sub(r.idle.since), r.idle.sendUntil.Sub(r.sent))
	if r.conn != nil {
		at, err := r.conn.ended()
		details += fmt.Sprintf("; %v at %s, connected at %s to %v", err, at.Format(timeFormat), r.conn.dialed.from.Format(timeFormat), l.incarnationsDuring(r.gateway, r.conn.dialed))
	}
	switch {
	case len(r.runs) > 0:
		report(r, "its kept connection %s though it ran at %s (%s): %v", how, r.runs[0].Endpoint, details, r.idle.err)
	case !r.idle.late:
		report(r, "its kept connection %s (%s): %v", how, details, r.idle.err)
	}
}

// inPlannedStop reports whether a gateway was in a planned stop, or had just ended by it. The caller
// holds mu.
func (l *ledger) inPlannedStop(gateway int, at time.Time) bool {
	return slices.ContainsFunc(l.plannedStops[gateway], func(s span) bool { return s.from.Before(at) && s.to.Add(undisturbedTime).After(at) })
}

// countIdleRequests counts the requests on kept connections: all, those sent right at the end of their
// time, those sent in a planned stop, those sent late, and of these the ones without an answer.
func (l *ledger) countIdleRequests() (all, atEnd, inStop, late, lateLost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.idle == nil {
			continue
		}
		all++
		if r.idle.late {
			late++
			if r.status == 0 {
				lateLost++
			}
			continue
		}
		if r.idle.sendUntil.Sub(r.sent) <= sendMargin {
			atEnd++
		}
		if l.inPlannedStop(r.gateway, r.sent) {
			inStop++
		}
	}
	return all, atEnd, inStop, late, lateLost
}
