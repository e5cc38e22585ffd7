// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
)

const (
	// newestOutageWeight is the weight of the newest outage in the estimated duration of an outage.
	// The outages of a day differ in length, and there are few.
	newestOutageWeight = 0.5
	// minOutage is the shortest time that counts as an outage: when a group opens or closes, reports
	// of its ranks arrive out of order.
	minOutage = 300 * time.Millisecond
	// defaultOutage is the expected duration of an outage until one has been observed from start to
	// end: the failed rank must be declared dead and restart, and the group must form again, each of
	// which takes about a second.
	defaultOutage = 3 * time.Second
	// unseenStartOutage is the expected duration of an outage whose start was not observed, counted
	// from the first report of it: this process has just started, and most likely so have the ranks.
	unseenStartOutage = time.Second
	// overdueFactor estimates the total duration of an outage that lasts longer than usual, as a
	// multiple of its duration so far: there is nothing else to go by.
	overdueFactor = 1.5
)

// outage is a period in which a group serves nothing.
type outage struct {
	since     time.Time
	startSeen bool // The group was seen open before it closed.
}

// outages tracks the outages of all groups.
type outages struct {
	down      map[string]outage    // By group.
	openSince map[string]time.Time // By group, when it was first reported open or last reopened after an outage.
	durations estimate.Estimator
}

func newOutages() outages {
	return outages{down: map[string]outage{}, openSince: map[string]time.Time{}, durations: estimate.New(newestOutageWeight)}
}

// record takes in a report that a group is closed or open. The first report that it is closed begins
// an outage, the first one that it is open ends it. An outage shorter than minOutage is dropped: the
// group counts as open all along. The duration of an outage is learned only if its start was seen.
func (o *outages) record(group string, closed bool, now time.Time) {
	current, down := o.down[group]
	switch {
	case closed && !down:
		o.down[group] = outage{since: now, startSeen: !o.openSince[group].IsZero()}
	case !closed:
		if o.openSince[group].IsZero() || down && now.Sub(current.since) >= minOutage {
			o.openSince[group] = now
		}
		delete(o.down, group)
		if duration := now.Sub(current.since); down && current.startSeen && duration >= minOutage {
			o.durations.Add(duration)
		}
	}
}

// expectedOpen returns when a closed group is expected to serve again; for an open group it returns
// now. An outage is expected to last at least overdueFactor times its duration so far.
func (o *outages) expectedOpen(group string, now time.Time) time.Time {
	current, down := o.down[group]
	if !down {
		return now
	}
	expected := defaultOutage
	switch {
	case !current.startSeen:
		expected = unseenStartOutage
	case o.durations.Known():
		expected = o.durations.Mean()
	}
	extrapolated := time.Duration(overdueFactor * float64(now.Sub(current.since)))
	return current.since.Add(max(expected, extrapolated))
}

// surgeAfterOpen is the time after the opening of a group in which the callers of all gateways arrive
// at once, after they waited for it or were told to retry then.
const surgeAfterOpen = 1500 * time.Millisecond

// JustOpened reports whether a group opened less than surgeAfterOpen ago, for the first time or after
// an outage.
func (t *Table) JustOpened(group string, now time.Time) bool {
	at, ok := t.outages.openSince[group]
	return ok && now.Sub(at) < surgeAfterOpen
}

// ExpectedOpen returns when the first of the candidates' groups, which are all closed, is expected to
// serve again; zero when no candidate has a group.
func (t *Table) ExpectedOpen(list []Candidate, now time.Time) (at time.Time) {
	for _, c := range list {
		group := t.getOrCreate(c.ID).load.Group
		if group == "" {
			continue
		}
		if opens := t.outages.expectedOpen(group, now); at.IsZero() || opens.Before(at) {
			at = opens
		}
	}
	return at
}
