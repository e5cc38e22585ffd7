// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package throttle

import (
	"math"
	"strconv"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/own"
)

const (
	// used is the part of a limit that all gateways send together. The rest is for those
	// that do not know of each other yet.
	used = 0.8
	// leastRate is sent, in requests a second from all gateways, whatever the limit is:
	// only an answer shows that it has ended.
	leastRate = 0.5
	// turnTime is for how long the same gateways send to an endpoint. They change so that
	// one which has no callers holds up nothing for long. It is longer than the seconds
	// over which an endpoint counts what it gets, so these see two sets of senders at most.
	turnTime = 10 * time.Second
)

// Share is one gateway's part of a rate limit, as a token bucket.
type Share struct {
	Rate          float64 // Requests a second; 0 for a gateway without a part.
	Burst         float64 // Requests at once.
	InitialTokens float64 // Tokens that it begins with.
}

// ShareOf returns the part that the gateway at a place, counted from 0, has of a limit, in
// requests a second. One request a second more than the limit, rounded down, is the number
// of gateways that have a part, and of requests that can come at once: in any window that
// sum does not depend on the number of gateways, which may be far larger than the limit.
// Their first requests are spread over the time in which each gets a token.
func ShareOf(limit float64, place, gateways int) (s Share) {
	burst := math.Floor(limit) + 1
	senders := min(burst, float64(max(gateways, 1)))
	if float64(place) >= senders {
		return Share{}
	}
	s.Rate = TotalRate(limit) / senders
	s.Burst = burst / senders
	s.InitialTokens = s.Burst * (1 - float64(place)/senders)
	return s
}

// TotalRate returns the requests a second that all gateways together send at most where a
// limit is named.
func TotalRate(limit float64) float64 { return max(used*limit, leastRate) }

// turnOf numbers the turns; gateways agree on it as far as their clocks do.
func turnOf(now time.Time) int64 { return now.UnixNano() / int64(turnTime) }

// turnKey names an endpoint in a turn.
func turnKey(id string, turn int64) string { return strconv.FormatInt(turn, 10) + "\x00" + id }

// placeOf returns the place of a gateway among all for an endpoint in a turn, by rendezvous
// hashing: gateways that know of each other agree on it without a word.
func placeOf(id string, turn int64, self string, all []string) (place int) {
	key := turnKey(id, turn)
	mine := own.Score(key, self)
	for _, name := range all {
		if s := own.Score(key, name); name != self && (s > mine || s == mine && name < self) {
			place++
		}
	}
	return place
}

// Backlog tells those who are refused at one gateway when to come back, each in a place of
// its own, so that what they come back to has room for all of them.
type Backlog struct {
	next time.Time // The last place given.
}

// longestBacklog bounds how far ahead a place is given: what is known of the limits does
// not hold for longer.
const longestBacklog = 10 * time.Second

// Next returns after how long one more caller has room, where rate is the requests a second
// for which there is room at this gateway.
func (b *Backlog) Next(rate float64, now time.Time) time.Duration {
	if b.next.Before(now) {
		b.next = now
	}
	step := longestBacklog
	if rate > 0 {
		step = time.Duration(min(1/rate, longestBacklog.Seconds()) * float64(time.Second))
	}
	if last := now.Add(longestBacklog); b.next.Add(step).After(last) {
		return longestBacklog
	}
	b.next = b.next.Add(step)
	return b.next.Sub(now)
}
