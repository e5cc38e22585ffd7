// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
)

const (
	// outageWeight is the weight of the newest outage in the usual time of one: those of
	// a day differ, and there are few.
	outageWeight = 0.5
	// leastOutage is the shortest time that counts as an outage: when a group opens or
	// closes, the words of its ranks cross each other.
	leastOutage = 300 * time.Millisecond
	// usualOutage is the time of an outage as long as none was seen whole: a rank must
	// be taken as gone, start again, and the group forms, each of which takes about a
	// second.
	usualOutage = 3 * time.Second
	// lateOutage is that of one whose beginning was not seen, from when it was first
	// heard of: this process has just started, most likely as the ranks have.
	lateOutage = time.Second
	// overdue is how many times longer than it has lasted an outage is expected to last
	// that is longer than usual: nothing more is known of it.
	overdue = 1.5
)

// outage is the time in which a group serves nothing.
type outage struct {
	since time.Time
	whole bool // Its beginning was seen.
}

// outages holds those of all groups.
type outages struct {
	down   map[string]outage    // By group.
	opened map[string]time.Time // Since when a group is heard to serve; those that ever were.
	took   estimate.Estimator
}

func newOutages() outages {
	return outages{down: map[string]outage{}, opened: map[string]time.Time{}, took: estimate.New(outageWeight)}
}

// note takes in that a group serves nothing, or that it serves.
func (o *outages) note(group string, closed bool, now time.Time) {
	was, down := o.down[group]
	switch {
	case closed && !down:
		o.down[group] = outage{since: now, whole: !o.opened[group].IsZero()}
	case !closed:
		if o.opened[group].IsZero() || down && now.Sub(was.since) >= leastOutage {
			o.opened[group] = now
		}
		delete(o.down, group)
		if took := now.Sub(was.since); down && was.whole && took >= leastOutage {
			o.took.Add(took)
		}
	}
}

// opens returns when a group that is down is expected to serve again.
func (o *outages) opens(group string, now time.Time) time.Time {
	was, down := o.down[group]
	if !down {
		return now
	}
	usual := usualOutage
	switch {
	case !was.whole:
		usual = lateOutage
	case o.took.Known():
		usual = o.took.Mean()
	}
	soFar := time.Duration(overdue * float64(now.Sub(was.since)))
	return was.since.Add(max(usual, soFar))
}

// openSurge is for how long after a group opened the callers of all gateways come at
// once, who waited for it or were told to come back then.
const openSurge = 1500 * time.Millisecond

// JustOpened reports whether a group was first heard to serve a moment ago, for the
// first time or after an outage.
func (t *Table) JustOpened(group string, now time.Time) bool {
	at, ok := t.outages.opened[group]
	return ok && now.Sub(at) < openSurge
}

// ExpectedOpen returns when the first of the groups of the candidates, which are all down, is
// expected to serve again.
func (t *Table) ExpectedOpen(list []Candidate, now time.Time) (at time.Time) {
	for _, c := range list {
		group := t.of(c.ID).load.Group
		if group == "" {
			continue
		}
		if opens := t.outages.opens(group, now); at.IsZero() || opens.Before(at) {
			at = opens
		}
	}
	return at
}
