// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// usableIdleShare is the share of a published idle timeout for which callers may keep a
	// connection idle and still send on it.
	usableIdleShare = 0.8
	// defaultIdleTimeout is what the stand-in publishes when no idle timeout is set.
	defaultIdleTimeout = 20 * time.Second
	// closeSlack is how long after the end of the idle timeout a gateway closes a connection.
	closeSlack = time.Second
	// closeSlackAfterChange is added to closeSlack so that no shorter timeout can still be in effect.
	closeSlackAfterChange = 2 * configurationBound
)

// idleSetting is a published idle timeout.
type idleSetting struct {
	limit    time.Duration
	sent     time.Time // From this time on the timeout may be in effect.
	replaced time.Time // When the next setting was acknowledged; zero before.
}

// recordIdleSetting records that a version with an idle timeout is about to be sent; acknowledged
// records its acknowledgement.
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

// idlePeriod is a period in which a persistent connection is idle before a request.
type idlePeriod struct {
	since      time.Time     // When the last bytes of the last answer were received.
	advertised time.Duration // Idle timeout in the last answer; 0 for none.
	sendUntil  time.Time     // The caller may send until then.
	late       bool          // The request is sent late on purpose, after sendUntil.
	err        error         // Error instead of an answer; nil for none.
}

// usableUntil returns until when a caller may send, as far as is known now: for usableIdleShare of the
// longest timeout that may be in effect, but at most for the advertised one. A replaced timeout may be in
// effect until configurationBound after the acknowledgement of the next.
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

// expiry returns when the longer of the advertised and the newest idle timeout is over.
func (r *idlePeriod) expiry(idles []idleSetting) time.Time {
	return r.since.Add(max(r.advertised, idles[len(idles)-1].limit))
}

// checkIdleConn checks that a request on an idle connection is answered if its caller was still
// allowed to send it, and that a request without an answer never reached an endpoint.
func (l *ledger) checkIdleConn(r *request, report func(*request, string, ...any)) {
	if r.idle == nil || r.status != 0 || r.ended.IsZero() || l.killedOrPaused(r.gateway, r.idle.since, r.ended) {
		return
	}
	if r.conn != nil && l.outcomeOf(r) == outcomeCutByKill {
		return // The idle period may have begun, with the last answer read, after the end of the process was observed.
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
	case !r.idle.late && !r.writtenLate():
		report(r, "its kept connection %s (%s): %v", how, details, r.idle.err)
	}
}

// writtenLate reports whether a request on an idle connection was written after its caller was allowed
// to: the soak's process may not get to run between its check of the time and the write.
func (r *request) writtenLate() bool {
	return r.idle != nil && r.conn != nil && r.conn.lastWrite().After(r.idle.sendUntil)
}

// inPlannedStop reports whether a gateway was in a planned stop, or had ended by one less than
// undisturbedTime before. The caller holds mu.
func (l *ledger) inPlannedStop(gateway int, at time.Time) bool {
	return slices.ContainsFunc(l.plannedStops[gateway], func(s span) bool { return s.from.Before(at) && s.to.Add(undisturbedTime).After(at) })
}

// countIdleRequests counts the requests on idle connections: all, those sent right at the end of the
// time allowed, those sent in a planned stop, those sent late, and the late ones without an answer.
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
