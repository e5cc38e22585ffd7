// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package limit

import (
	"math"
	"time"
)

// Lease times of borrowed shares.
const (
	// Lease is how long a lent part is the borrower's.
	Lease = 3 * time.Second
	// demandTime is the time over which demand is averaged.
	demandTime = time.Second
	// headroom is how much more than its demand an entry wants, or keeps.
	headroom = 1.2
	// quantum is the least part of an entitlement that is worth a message.
	quantum = 0.02
)

// lease is a part of a limit that is somebody's for a while.
type lease struct {
	rate  float64 // Requests a second.
	until time.Time
}

// Share is the part of one customer's limit that one entry may let in. Every
// entry is entitled to an equal part, which it always has, cut off or not. An
// entry that needs more borrows from others what they do not use. A lender
// gives up what it lent until the lease is over, by its own clock from before
// the borrower's; so, whatever is lost, late or cut, the parts never add up to
// more than the limit.
type Share struct {
	entitled float64 // Requests a second.
	lent     []lease
	borrowed []lease
	demand   float64 // Running mean of requests a second, refused ones included.
	counted  float64 // Requests since at.
	at       time.Time
}

// NewShare returns the share of an entry that is entitled to so many requests
// a second.
func NewShare(entitled float64, now time.Time) *Share {
	return &Share{entitled: entitled, at: now}
}

// SetEntitlement changes the entitlement, when a new configuration is in force.
func (s *Share) SetEntitlement(rate float64) { s.entitled = rate }

// CountRequest takes note of a request, let in or not.
func (s *Share) CountRequest() { s.counted++ }

// refresh drops leases that are over and folds the count into the demand.
func (s *Share) refresh(now time.Time) {
	s.lent, s.borrowed = valid(s.lent, now), valid(s.borrowed, now)
	d := now.Sub(s.at)
	if d < demandTime/10 {
		return
	}
	weight := 1 - math.Exp(-float64(d)/float64(demandTime))
	s.demand += weight * (s.counted/d.Seconds() - s.demand)
	s.counted, s.at = 0, now
}

func valid(list []lease, now time.Time) []lease {
	kept := list[:0]
	for _, l := range list {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	return kept
}

func sum(list []lease) (rate float64) {
	for _, l := range list {
		rate += l.rate
	}
	return rate
}

// Rate returns the requests a second that the entry may let in now.
func (s *Share) Rate(now time.Time) float64 {
	s.refresh(now)
	return max(0, s.entitled-sum(s.lent)+sum(s.borrowed))
}

// Shortfall returns how much the entry should borrow, 0 when it has enough. What it
// holds for less than half a lease more is asked for again in time.
func (s *Share) Shortfall(now time.Time) float64 {
	s.refresh(now)
	lasting := 0.0
	for _, l := range s.borrowed {
		if l.until.Sub(now) > Lease/2 {
			lasting += l.rate
		}
	}
	want := s.demand*headroom - (s.entitled - sum(s.lent) + lasting)
	if want < quantum*s.entitled {
		return 0
	}
	return want
}

// Lend gives up to rate of what the entry does not use, for a Lease from now.
func (s *Share) Lend(rate float64, now time.Time) (given float64) {
	s.refresh(now)
	spare := s.entitled - sum(s.lent) - s.demand*headroom
	given = min(rate, spare)
	if given < quantum*s.entitled {
		return 0
	}
	s.lent = append(s.lent, lease{given, now.Add(Lease)})
	return given
}

// Borrow takes in what a peer gave. asked is the time before the request was
// sent, so that the borrower's lease is over before the lender's.
func (s *Share) Borrow(given float64, asked time.Time) {
	if given > 0 {
		s.borrowed = append(s.borrowed, lease{given, asked.Add(Lease)})
	}
}
