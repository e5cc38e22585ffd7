// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import (
	"math"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/census"
)

// windowParts is the number of parts of a window for which requests and retries are counted.
const windowParts = 20

// SharedBudget is one gateway's portion of the retries that a Bound allows to all gateways. It holds
// tokens, of which a retry takes one, and starts without any. Requests earn tokens, and so does time
// once the number of gateways is known.
//
// What a process does not remember therefore never lets it retry more: it only lacks tokens. The
// retries of all gateways in a span are at most the tokens held at its start by those alive then,
// and what is earned within the span. docs/design/retry-budget.md derives from this that they stay
// within the Bound for any number of gateways, restarts and moving callers.
type SharedBudget struct {
	bound    Bound
	place    census.Place
	earned   float64   // Tokens earned by requests. Invariant: at least 0, and as limit leaves them.
	timed    float64   // Tokens earned by time; as earned.
	earnedAt time.Time // When a request last earned tokens.
	timedAt  time.Time // Until when time has earned tokens.

	partLength time.Duration
	newest     int64   // Number of the newest part, which is incomplete.
	partEarned float64 // Tokens earned by requests in the newest part.
	requests   [windowParts]int
	retries    [windowParts]int
	denied     [windowParts]int
}

// NewSharedBudget returns a budget without tokens.
func NewSharedBudget(bound Bound) *SharedBudget {
	return &SharedBudget{bound: bound, partLength: max(bound.Window/windowParts, 1)}
}

const (
	// storedPortion is the portion of the slack that all gateways together may hold as tokens.
	storedPortion = 0.2
	// minStored is the number of tokens that a gateway may hold if the slack is large enough: more than
	// one, so that it still earns while it holds the token for the next retry.
	minStored = 1.6
	// timedPortion is the portion of the slack that time earns, unless a token each leaves less.
	timedPortion = 0.3
	// holdersPortion is the portion of the slack that gateways may hold if not all of them can hold a
	// token: about half, so that time earns each holder a token in a window.
	holdersPortion = 0.45
	// reservedPortion is the portion of the slack that is left to gateways that no other one knows yet.
	reservedPortion = 0.07
	// usedShare is the portion of the share that requests earn. Requests are counted a moment after
	// their callers have sent them, and retries arrive a moment after they were counted, so that a span
	// receives some for requests before it.
	usedShare = 0.97
	// maxBurst limits what requests earn in a part of the window, as a multiple of the average part: the
	// requests of a burst just before a span and those of the span would add up otherwise.
	maxBurst = 4
	// ownShare is the portion of the share that requests earn while the tokens that all gateways hold
	// are not known to fit into the slack. A span may then receive the retries of the requests of the
	// span before it besides those of its own, and the bound allows for the larger of the two.
	ownShare = 0.5
	// minDrawSlack is the slack from which tokens are drawn: nine times the square root of the number of
	// gateways of a small deployment.
	minDrawSlack = 20
)

// terms is how a budget earns and holds tokens.
type terms struct {
	perRequest float64
	perWindow  float64 // Earned in the time of a window.
	capacity   float64 // Of all tokens, or with ownOnly of each kind.
	// ownOnly says that the tokens that all gateways hold are limited by their requests alone: no
	// gateway holds more than those of the last window have earned.
	ownOnly bool
}

// token returns how many tokens a gateway may always hold, so that a single request can be retried.
func (b *SharedBudget) token() float64 { return max(1, b.bound.Share) }

// terms returns the terms at the gateway's place:
//   - The number of gateways is unknown: requests earn tokens.
//   - Each gateway can hold a token without exceeding the slack: time earns all the same.
//   - There are too many gateways for that: time earns only the first ones tokens.
func (b *SharedBudget) terms() terms {
	token := b.token()
	usable := (1 - reservedPortion) * b.bound.Slack
	n := float64(b.place.Gateways)
	if n > 0 && n*token <= usable {
		capacity := max(minStored*token, storedPortion*b.bound.Slack/n)
		capacity = max(token, min(capacity, (usable-timedPortion*b.bound.Slack)/n))
		return terms{perRequest: usedShare * b.bound.Share, perWindow: usable/n - capacity, capacity: capacity}
	}
	t := terms{perRequest: ownShare * b.bound.Share, capacity: token, ownOnly: true}
	if holders := math.Floor(holdersPortion * b.bound.Slack / token); float64(b.place.Before) < holders && n > 0 {
		t.perWindow = usable/holders - token
	}
	return t
}

// SetPlace sets the gateway's place.
func (b *SharedBudget) SetPlace(p census.Place, now time.Time) {
	b.advance(now)
	b.place = p
	b.limit()
}

// advance adds what was earned by time and begins the part that contains now. It does nothing if
// now is before the last call.
func (b *SharedBudget) advance(now time.Time) {
	if b.timedAt.IsZero() {
		b.timedAt = now
	}
	if elapsed := now.Sub(b.timedAt); elapsed > 0 {
		b.timed += b.terms().perWindow * elapsed.Seconds() / b.bound.Window.Seconds()
		b.timedAt = now
	}
	n := now.UnixNano() / int64(b.partLength)
	for range min(n-b.newest, windowParts) {
		b.newest++
		i := b.newest % windowParts
		b.requests[i], b.retries[i], b.denied[i], b.partEarned = 0, 0, 0, 0
	}
	b.newest = max(b.newest, n)
	b.limit()
}

// limit drops the tokens that may not be held.
func (b *SharedBudget) limit() {
	t := b.terms()
	b.earned = min(b.earned, t.capacity)
	switch {
	case !t.ownOnly:
		b.timed = min(b.timed, t.capacity-b.earned)
	case t.perWindow == 0:
		b.timed = 0
	default:
		b.timed = min(b.timed, t.capacity)
	}
	switch {
	case !t.ownOnly:
	case !b.drawsTokens():
		b.earned = min(b.earned, t.perRequest*float64(sum(b.requests)))
	case b.timedAt.Sub(b.earnedAt) > b.bound.Window:
		b.earned = 0
	}
}

// drawsTokens reports whether requests that earn a fraction of a token draw a whole one, so that a
// process that ends soon earns as much as another. The slack must cover the deviation of the draws.
func (b *SharedBudget) drawsTokens() bool { return b.bound.Slack >= minDrawSlack }

func sum(counts [windowParts]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// RecordRequest counts a request. The function random returns a number in [0, 1).
func (b *SharedBudget) RecordRequest(now time.Time, random func() float64) {
	b.advance(now)
	b.requests[b.newest%windowParts]++
	t := b.terms()
	tokens := t.perRequest
	if t.ownOnly && b.drawsTokens() {
		tokens = math.Floor(tokens + random())
	}
	burst := max(maxBurst*t.perRequest*float64(sum(b.requests))/windowParts, b.token())
	if tokens = min(tokens, burst-b.partEarned); tokens > 0 {
		b.partEarned += tokens
		b.earned, b.earnedAt = b.earned+tokens, now
	}
	b.limit()
}

// Take takes the token for one retry; it reports false if there is none.
func (b *SharedBudget) Take(now time.Time) bool {
	b.advance(now)
	if b.earned+b.timed < 1 {
		b.denied[b.newest%windowParts]++
		return false
	}
	fromTimed := min(b.timed, 1)
	b.timed -= fromTimed
	b.earned = max(b.earned-(1-fromTimed), 0)
	b.retries[b.newest%windowParts]++
	return true
}

// Return gives back the token of a retry that was not sent.
func (b *SharedBudget) Return(now time.Time) {
	b.advance(now)
	b.earned++
	if i := b.newest % windowParts; b.retries[i] > 0 {
		b.retries[i]--
	}
	b.limit()
}

// Usage is what happened in the last window, and what the budget holds and earns.
type Usage struct {
	Requests   int     `json:"requests"`
	Retries    int     `json:"retries"`
	Denied     int     `json:"denied"`
	Tokens     float64 `json:"tokens"`
	PerRequest float64 `json:"per_request"` // Tokens earned by a request.
	PerWindow  float64 `json:"per_window"`  // Tokens earned by the time of a window.
	Gateways   int     `json:"gateways"`    // Gateways that share the budget; 0 if unknown.
}

// Usage returns the usage of the budget.
func (b *SharedBudget) Usage(now time.Time) Usage {
	b.advance(now)
	t := b.terms()
	return Usage{
		Requests: sum(b.requests), Retries: sum(b.retries), Denied: sum(b.denied),
		Tokens: b.earned + b.timed, PerRequest: t.perRequest, PerWindow: t.perWindow, Gateways: b.place.Gateways,
	}
}

// Report describes the retry budget of a service at one process.
type Report struct {
	Service string `json:"service"`
	Usage
	AgeS      float64 `json:"age_s"` // Age of the process, in seconds.
	Exhausted bool    `json:"exhausted"`
}
