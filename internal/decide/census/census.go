// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package census estimates how many gateways are alive in the whole system, for limits that they
// divide among themselves. An estimate that is too low lets all of them together exceed the limit,
// so a gateway has one only while it can tell that it is not cut off from others.
//
// A Census is the view of one process. It is pure: time is passed as an argument, and the caller
// serialises access.
package census

import "time"

// Contact is what a gateway hears of the rest of the system.
type Contact struct {
	Others         int // Other gateways that are alive.
	Before         int // Those of them that come before this one in the order of addresses.
	Reported       int // Gateways that a sidecar counts; 0 if none reports.
	MissingDomains int // Other failure domains that list endpoints and of which no gateway is heard.
	Ranks          int // Listed ranks.
	RanksReporting int // Listed ranks whose load was reported lately.
}

// complete reports whether the gateway is in contact with all failure domains and with more than
// half of all ranks. Two sides of a partition cannot both be in contact with most ranks.
func (c Contact) complete() bool {
	return c.Others > 0 && c.MissingDomains == 0 && (c.Ranks == 0 || 2*c.RanksReporting > c.Ranks)
}

func (c Contact) gateways() int { return max(c.Others+1, c.Reported) }

// Place is the place of a gateway among all that are alive.
type Place struct {
	Gateways int // How many are alive at most, this one included; 0 if that is unknown.
	Before   int // How many of them come before this one at most, in an order common to all.
}

const (
	// memory is how long a count is remembered at least. Gateways that are suspended or cut off are not
	// heard, but still spend their share.
	memory = 30 * time.Second
	// contactTTL is how long an estimate is valid without complete contact: as long as other gateways
	// count one that is not heard.
	contactTTL = 10 * time.Second
)

// Census is the estimate of one gateway.
type Census struct {
	settleTime time.Duration
	most       [2]int    // Highest counts in the period of length memory since rotatedAt, and in the one before.
	rotatedAt  time.Time // Zero before the first count.
	raisedAt   time.Time // When a count last exceeded all that are remembered.
	contactAt  time.Time // When contact was last complete; zero before.
	told       int       // Highest count that was told and is valid.
	toldAt     time.Time
	settled    bool
	heard      Contact // As last observed.
}

// New returns a Census without an estimate. It settles once contact is complete and no higher count
// was observed for settleTime.
func New(settleTime time.Duration) *Census { return &Census{settleTime: settleTime} }

// Observe records what the gateway hears. It must be called regularly.
func (c *Census) Observe(heard Contact, now time.Time) {
	if c.rotatedAt.IsZero() || now.Sub(c.rotatedAt) >= memory {
		c.most[1], c.most[0], c.rotatedAt = c.most[0], 0, now
	}
	c.heard = heard
	n := heard.gateways()
	if n > max(c.most[0], c.most[1]) {
		c.raisedAt = now
	}
	c.most[0] = max(c.most[0], n)
	if heard.complete() {
		c.contactAt = now
	}
	c.update(now)
}

// update decides whether the counts can be relied on.
func (c *Census) update(now time.Time) {
	switch {
	case c.contactAt.IsZero() || now.Sub(c.contactAt) > contactTTL:
		c.settled = false
	case c.heard.complete() && (c.toldValid(now) || now.Sub(c.raisedAt) >= c.settleTime):
		c.settled = true
	}
}

// Tell records the estimate of another gateway, as returned by its Observed.
func (c *Census) Tell(gateways int, now time.Time) {
	if gateways <= 0 {
		return
	}
	if gateways >= c.told || !c.toldValid(now) {
		c.told, c.toldAt = gateways, now
	}
}

func (c *Census) toldValid(now time.Time) bool { return c.told > 0 && now.Sub(c.toldAt) <= memory }

// Place returns the gateway's place. Gateways that are counted and not heard count as coming before
// it.
func (c *Census) Place(now time.Time) Place {
	n := c.Observed(now)
	if n == 0 {
		return Place{}
	}
	if c.toldValid(now) {
		n = max(n, c.told)
	}
	return Place{Gateways: n, Before: c.heard.Before + max(n-c.heard.Others-1, 0)}
}

// Observed returns the estimate without what others have told, so that a count does not outlive the
// gateways by being passed on; 0 if there is no estimate.
func (c *Census) Observed(now time.Time) int {
	c.update(now)
	if !c.settled {
		return 0
	}
	return max(c.most[0], c.most[1])
}
