// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package throttle keeps the requests that gateways send to endpoints within the rate limits
// that the endpoints report in their answers. A limit applies to all gateways together; each
// derives its share from the gateways that it knows, and forwards the reported limits to the
// others. It is a pure state machine: time is passed as an argument, and the caller serialises
// access and transports the messages.
package throttle

import (
	"slices"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/limit"
)

// Report is the rate limit that an answer of an endpoint stated, or that it stated none.
type Report struct {
	Limited bool
	Limit   float64   // Requests per second from all gateways together; valid if Limited.
	At      time.Time // Time of the answer.
}

// sameLimit reports whether two reports state the same limit, or both none.
func (r Report) sameLimit(other Report) bool {
	return r.Limited == other.Limited && (!r.Limited || r.Limit == other.Limit)
}

// Update is a report and the id of its endpoint, as gateways exchange them.
type Update struct {
	Endpoint string
	Report
}

const (
	// maxSends is how many times a change is sent to other gateways, since messages may be lost.
	maxSends = 3
	// resendInterval is the time after which a limit still in effect is sent again, for gateways
	// that were partitioned off when it changed.
	resendInterval = 30 * time.Second
	// expireAfter is how long a limit stays in effect without a new report.
	expireAfter = 3 * resendInterval
)

// endpoint is the state of one endpoint's limit.
type endpoint struct {
	report    Report        // The newest report.
	since     time.Time     // Time of the first answer that stated the limit of report.
	sends     int           // Number of times that report was sent to other gateways.
	sharedAt  time.Time     // Report time of the last report sent to or received from other gateways.
	bucket    *limit.Bucket // For all shares held by this gateway; nil until it first holds one.
	ownsShare bool          // This gateway has a share of its own in the period.
	share     Share         // The share of each gateway that has one.
	period    int64         // Rotation period for which the bucket was sized.
	version   int           // Limits.version for which the bucket was sized.
	loans     loans
}

// Limits holds the rate limits of all endpoints.
type Limits struct {
	endpoints         map[string]*endpoint
	self              string
	gateways          []string // All known gateways, including this one; sorted.
	version           int      // Incremented when gateways changes.
	lastRequestNumber int64    // Number of the last borrow request.
}

// New returns an empty set of limits, for a gateway that knows of no other gateway.
func New() *Limits { return &Limits{endpoints: map[string]*endpoint{}, gateways: []string{""}} }

// SetGateways sets the name of this gateway and the names of all known gateways, including this one.
func (l *Limits) SetGateways(self string, all []string) {
	all = slices.Clone(all)
	slices.Sort(all)
	if self == l.self && slices.Equal(all, l.gateways) {
		return
	}
	l.self, l.gateways = self, all
	l.version++
}

// GatewayCount returns the number of gateways that share the limits.
func (l *Limits) GatewayCount() int { return len(l.gateways) }

// HasPeer reports whether name is a known gateway other than this one.
func (l *Limits) HasPeer(name string) bool {
	_, known := slices.BinarySearch(l.gateways, name)
	return known && name != l.self
}

// RecordAnswer records the report of an answer to this gateway. It reports whether the limit
// changed, in which case the change is to be sent to the other gateways.
func (l *Limits) RecordAnswer(id string, r Report) (changed bool) { return l.record(id, r, 0) }

// Merge records an update sent by another gateway. It reports whether the limit
// changed for this gateway.
func (l *Limits) Merge(r Update) (changed bool) { return l.record(r.Endpoint, r.Report, maxSends) }

// record records a report if it is not older than the known one. The number of times that a
// change counts as already sent to the other gateways is sendsDone: 0 for a report of this
// gateway's own, maxSends for one received from another gateway.
func (l *Limits) record(id string, r Report, sendsDone int) (changed bool) {
	e, known := l.endpoints[id]
	if !known {
		if !r.Limited {
			return false
		}
		e = &endpoint{since: r.At}
		l.endpoints[id] = e
	}
	if r.At.Before(e.report.At) {
		return false
	}
	changed = !r.sameLimit(e.report)
	e.report = r
	switch {
	case changed:
		e.since, e.sends, e.sharedAt, e.version = r.At, sendsDone, r.At, l.version-1 // The old version makes updateBucket resize the bucket.
	case sendsDone == maxSends: // Another gateway has sent this report.
		e.sharedAt = r.At
	case r.Limited && r.At.Sub(e.sharedAt) > resendInterval:
		e.sends = min(e.sends, maxSends-1) // Due to be sent once more.
	}
	return changed
}

// Limited returns the limit that an endpoint reports, and the time since which it has reported it.
func (l *Limits) Limited(id string) (limit float64, since time.Time, ok bool) {
	e := l.endpoints[id]
	if e == nil || !e.report.Limited {
		return 0, time.Time{}, false
	}
	return e.report.Limit, e.since, true
}

// Count returns the number of endpoints that report a limit.
func (l *Limits) Count() (n int) {
	for _, e := range l.endpoints {
		if e.report.Limited {
			n++
		}
	}
	return n
}

// MaySend reports whether this gateway may send a request to an endpoint now. It takes no token,
// but records that there was a request for the endpoint, and whether it found a token: this
// decides which shares are borrowed and lent.
func (l *Limits) MaySend(id string, now time.Time) bool {
	e := l.endpoints[id]
	if e == nil || !e.report.Limited {
		return true
	}
	b := l.updateBucket(id, e, now)
	allowed := b != nil && b.HasToken(now)
	e.loans.recordUse(allowed, now)
	return allowed
}

// Take consumes a token for a request to an endpoint for which MaySend returned true.
func (l *Limits) Take(id string, now time.Time) {
	if e := l.endpoints[id]; e != nil && e.report.Limited {
		if b := l.updateBucket(id, e, now); b != nil {
			b.Take(now)
		}
	}
}

// GiveBack returns the token that Take consumed for a request that was not sent.
func (l *Limits) GiveBack(id string) {
	if e := l.endpoints[id]; e != nil && e.bucket != nil {
		e.bucket.ReturnToken()
	}
}

// updateBucket updates and returns the token bucket for the shares of an endpoint's limit that
// this gateway holds, or nil if it never held one. It ends expired leases. When the rotation
// period, the limit or the set of gateways has changed, it also drops the borrowed shares and
// resizes the bucket.
func (l *Limits) updateBucket(id string, e *endpoint, now time.Time) *limit.Bucket {
	e.expireLeases(now)
	period := periodOf(now)
	if e.period == period && e.version == l.version {
		return e.bucket
	}
	e.period, e.version = period, l.version
	e.loans.dropBorrowed()
	position := positionOf(id, period, l.self, l.gateways)
	e.share = ShareOf(e.report.Limit, 0, len(l.gateways)) // The gateway at position 0 always has a share; all shares have the same rate and burst.
	ownedBefore := e.ownsShare
	s := ShareOf(e.report.Limit, position, len(l.gateways))
	e.ownsShare = s.Rate > 0
	e.resizeBucket(now)
	if e.ownsShare && !ownedBefore && !e.loans.lentOut(now) {
		e.bucket.Add(s.InitialTokens, now)
	}
	return e.bucket
}

// NextUpdates returns up to maxCount updates that are due to be sent to the other gateways, and
// counts them as sent.
func (l *Limits) NextUpdates(maxCount int) (list []Update) {
	for id, e := range l.endpoints {
		if len(list) == maxCount {
			break
		}
		if e.sends < maxSends {
			e.sends++
			e.sharedAt = e.report.At
			list = append(list, Update{id, e.report})
		}
	}
	return list
}

// HasUnsent reports whether there is a change that was never sent.
func (l *Limits) HasUnsent() bool {
	for _, e := range l.endpoints {
		if e.sends == 0 {
			return true
		}
	}
	return false
}

// ActiveLimits returns up to maxCount updates for limits in effect, for a gateway that may know
// none.
func (l *Limits) ActiveLimits(maxCount int) (list []Update) {
	for id, e := range l.endpoints {
		if len(list) == maxCount {
			break
		}
		if e.report.Limited {
			list = append(list, Update{id, e.report})
		}
	}
	return list
}

// endedRetention is how long an endpoint that no longer reports a limit is remembered: older
// reports from other gateways arrive within this time.
const endedRetention = 10 * time.Second

// Forget removes endpoints that are no longer listed, limits that ended more than endedRetention
// ago, and limits without a report for expireAfter.
func (l *Limits) Forget(listed func(id string) bool, now time.Time) {
	for id, e := range l.endpoints {
		age := now.Sub(e.report.At)
		if !listed(id) || age > expireAfter || !e.report.Limited && age > endedRetention {
			delete(l.endpoints, id)
		}
	}
}
