// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package limit

import (
	"math"
	"time"
)

// Durations and thresholds of lending.
const (
	// LeaseTime is the duration for which a lent rate belongs to the borrower.
	LeaseTime = 3 * time.Second
	// demandSmoothingTime is the time constant over which demand is averaged.
	demandSmoothingTime = time.Second
	// demandHeadroom is the rate that an entry asks for, or keeps when it lends, as a multiple of its
	// demand.
	demandHeadroom = 1.2
	// minTransferShare is the smallest share of an entitlement that is worth a message.
	minTransferShare = 0.02
)

// lease is a rate that is lent or borrowed until it expires.
type lease struct {
	rate      float64 // Requests per second.
	expiresAt time.Time
}

// Share is the part of one customer's limit that one entry may admit. Every entry is entitled to an
// equal part, which it always has, even when it is partitioned off. An entry that needs more borrows
// from others what they do not use.
//
// A lender forgoes what it lent until the lease expires. The lease expires later at the lender than at
// the borrower, since the borrower counts it from before its request was sent; each uses its own
// clock. The parts therefore never add up to more than the limit, whatever messages are lost or late
// and whichever entries are partitioned off.
type Share struct {
	entitlement float64 // Requests per second.
	lent        []lease
	borrowed    []lease
	demand      float64   // Running mean of requests per second, including rejected ones.
	requests    float64   // Requests since updatedAt.
	updatedAt   time.Time // When requests were last added to demand.
}

// NewShare returns the share of an entry with an entitlement in requests per second.
func NewShare(entitlement float64, now time.Time) *Share {
	return &Share{entitlement: entitlement, updatedAt: now}
}

// SetEntitlement changes the entitlement when a new configuration takes effect.
func (s *Share) SetEntitlement(rate float64) { s.entitlement = rate }

// CountRequest counts a request, whether admitted or not.
func (s *Share) CountRequest() { s.requests++ }

// refresh drops expired leases. It adds the counted requests to the demand, but only if a tenth of
// demandSmoothingTime has passed since it last did so.
func (s *Share) refresh(now time.Time) {
	s.lent, s.borrowed = unexpired(s.lent, now), unexpired(s.borrowed, now)
	d := now.Sub(s.updatedAt)
	if d < demandSmoothingTime/10 {
		return
	}
	weight := 1 - math.Exp(-float64(d)/float64(demandSmoothingTime))
	s.demand += weight * (s.requests/d.Seconds() - s.demand)
	s.requests, s.updatedAt = 0, now
}

// unexpired returns the leases that have not expired, in the memory of list.
func unexpired(list []lease, now time.Time) []lease {
	remaining := list[:0]
	for _, l := range list {
		if now.Before(l.expiresAt) {
			remaining = append(remaining, l)
		}
	}
	return remaining
}

func totalRate(list []lease) (rate float64) {
	for _, l := range list {
		rate += l.rate
	}
	return rate
}

// Rate returns the requests per second that the entry may admit now.
func (s *Share) Rate(now time.Time) float64 {
	s.refresh(now)
	return max(0, s.entitlement-totalRate(s.lent)+totalRate(s.borrowed))
}

// Shortfall returns the rate that the entry should borrow; 0 when it has enough, or lacks less than
// minTransferShare of its entitlement. Borrowed leases that expire within half of LeaseTime count as
// gone, so that they are replaced in time.
func (s *Share) Shortfall(now time.Time) float64 {
	s.refresh(now)
	lasting := 0.0
	for _, l := range s.borrowed {
		if l.expiresAt.Sub(now) > LeaseTime/2 {
			lasting += l.rate
		}
	}
	want := s.demand*demandHeadroom - (s.entitlement - totalRate(s.lent) + lasting)
	if want < minTransferShare*s.entitlement {
		return 0
	}
	return want
}

// Lend lends up to rate of what the entry does not use, for LeaseTime from now, and returns the rate
// that it lent. It lends nothing if that would be less than minTransferShare of the entitlement.
func (s *Share) Lend(rate float64, now time.Time) (granted float64) {
	s.refresh(now)
	unused := s.entitlement - totalRate(s.lent) - s.demand*demandHeadroom
	granted = min(rate, unused)
	if granted < minTransferShare*s.entitlement {
		return 0
	}
	s.lent = append(s.lent, lease{granted, now.Add(LeaseTime)})
	return granted
}

// Borrow adds a rate that a peer lent. requestedAt is a time before the request was sent, so that the
// borrower's lease expires before the lender's.
func (s *Share) Borrow(granted float64, requestedAt time.Time) {
	if granted > 0 {
		s.borrowed = append(s.borrowed, lease{granted, requestedAt.Add(LeaseTime)})
	}
}
