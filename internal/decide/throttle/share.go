// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package throttle

import (
	"math"
	"strconv"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
)

const (
	// usedFraction is the fraction of a limit that all gateways use together. The remainder is
	// headroom for gateways that do not know of each other yet.
	usedFraction = 0.8
	// minTotalRate is the minimum rate, in requests per second from all gateways together, that is
	// sent whatever the limit is: only an answer shows that the limit has ended.
	minTotalRate = 0.5
	// rotationPeriod is how long the same gateways own the shares of an endpoint's limit. Ownership
	// rotates so that a share owned by a gateway without callers is not unused for long. The period
	// is longer than the few seconds over which an endpoint counts its requests, so that such a
	// window sees at most two sets of senders.
	rotationPeriod = 10 * time.Second
)

// Share is one gateway's share of a rate limit, as parameters of a token bucket.
type Share struct {
	Rate          float64 // Requests per second; 0 for a gateway without a share.
	Burst         float64 // Maximum number of requests at once.
	InitialTokens float64 // Tokens at the start.
}

// ShareOf returns the share of a limit, in requests per second, of the gateway at a position,
// counted from 0. At most floor(limit)+1 gateways have a share, and as many requests can be sent
// at once. The total in any window thus does not depend on the number of gateways, which may be
// far larger than the limit. The initial tokens differ by position, so that the first requests of
// the gateways are spread over the time in which each gains a token.
func ShareOf(limit float64, position, gateways int) (s Share) {
	burst := math.Floor(limit) + 1
	senders := min(burst, float64(max(gateways, 1)))
	if float64(position) >= senders {
		return Share{}
	}
	s.Rate = TotalRate(limit) / senders
	s.Burst = burst / senders
	s.InitialTokens = s.Burst * (1 - float64(position)/senders)
	return s
}

// TotalRate returns the maximum rate, in requests per second, that all gateways together send to
// an endpoint that reports a limit.
func TotalRate(limit float64) float64 { return max(usedFraction*limit, minTotalRate) }

// periodOf returns the number of the rotation period at a time; gateways agree on it as far as
// their clocks do.
func periodOf(now time.Time) int64 { return now.UnixNano() / int64(rotationPeriod) }

// periodKey returns the hash key of an endpoint in a rotation period.
func periodKey(id string, period int64) string { return strconv.FormatInt(period, 10) + "\x00" + id }

// positionOf returns the position of a gateway among all gateways for an endpoint in a rotation
// period, by rendezvous hashing: gateways that know the same set agree on it without communication.
func positionOf(id string, period int64, self string, all []string) (position int) {
	key := periodKey(id, period)
	mine := rendezvous.Score(key, self)
	for _, name := range all {
		if s := rendezvous.Score(key, name); name != self && (s > mine || s == mine && name < self) {
			position++
		}
	}
	return position
}

// Backlog assigns a retry time to each caller that one gateway rejects. The times are spaced so
// that there is capacity for all of them when they retry.
type Backlog struct {
	lastAssigned time.Time // The last retry time assigned.
}

// maxBacklog is the longest time until an assigned retry: what is known of the limits is not
// valid for longer.
const maxBacklog = 10 * time.Second

// Next assigns a retry time to one more caller and returns the time until then. Consecutive retry
// times are 1/rate apart, where rate is the capacity of this gateway in requests per second. A
// caller whose retry time would be more than maxBacklog ahead gets maxBacklog, as do all further
// ones until a time within maxBacklog is free again.
func (b *Backlog) Next(rate float64, now time.Time) time.Duration {
	if b.lastAssigned.Before(now) {
		b.lastAssigned = now
	}
	step := maxBacklog
	if rate > 0 {
		step = time.Duration(min(1/rate, maxBacklog.Seconds()) * float64(time.Second))
	}
	if latest := now.Add(maxBacklog); b.lastAssigned.Add(step).After(latest) {
		return maxBacklog
	}
	b.lastAssigned = b.lastAssigned.Add(step)
	return b.lastAssigned.Sub(now)
}
