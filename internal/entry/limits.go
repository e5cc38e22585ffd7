// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/limit"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wait"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// borrowInterval is the time between two rounds of borrowing; it also bounds one request to a peer.
const borrowInterval = 200 * time.Millisecond

// customerLimit is this entry's share of one customer's rate limit.
type customerLimit struct {
	share  *limit.Share
	bucket *limit.Bucket
	burst  float64 // Published burst of the customer at all entries together.
}

// limits holds this entry's shares of all customers' rate limits.
type limits struct {
	node *node.Node

	mu         sync.Mutex
	byCustomer map[string]*customerLimit // Customers without a limit have no element.
}

// take takes one request from the customer's limit at this entry, and reports whether the limit allowed
// it. If not, the caller may retry after the returned time. A customer without a rate has no limit.
func (l *limits) take(cfg *published.Config, c *published.Customer, now time.Time) (retryAfter time.Duration, ok bool) {
	if c.Rate == 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.ownLimit(cfg, c, now)
	own.share.CountRequest()
	rate := own.share.Rate(now)
	own.bucket.SetRate(rate, max(1, own.burst*rate/c.Rate), now)
	return own.bucket.Take(now)
}

// ownLimit returns this entry's share of c's limit, updated to the entitlement that is in effect. It
// creates the share if there is none. l.mu must be held.
func (l *limits) ownLimit(cfg *published.Config, c *published.Customer, now time.Time) *customerLimit {
	entitledRate := c.Rate / float64(l.entryCount(cfg))
	own, found := l.byCustomer[c.Name]
	if !found {
		own = &customerLimit{
			share:  limit.NewShare(entitledRate, now),
			bucket: limit.NewBucket(entitledRate, max(1, c.Burst*entitledRate/c.Rate), now),
		}
		l.byCustomer[c.Name] = own
	}
	own.share.SetEntitlement(entitledRate)
	own.burst = c.Burst
	return own
}

// entryCount returns the number of entries among which limits are divided. Without a published number,
// the entries that are seen alive are counted; a network partition can then admit more than the limit.
func (l *limits) entryCount(cfg *published.Config) int {
	if n := cfg.MaxEntries(); n > 0 {
		return n
	}
	return max(1, len(l.peers())+1)
}

// peers lists the other entries that are alive.
func (l *limits) peers() []member.Member {
	self := l.node.Settings().Name
	return l.node.Members(func(m member.Member) bool {
		return isOtherEntry(m, self)
	})
}

// run borrows from other entries, until ctx ends, for the customers whose demand exceeds their share.
func (l *limits) run(ctx context.Context) error {
	return wait.Every(ctx, borrowInterval, func() { l.borrowRound(ctx) })
}

// borrowRound borrows for each customer whose share is too small, each time from a random peer.
func (l *limits) borrowRound(ctx context.Context) {
	shortfalls := l.shortfalls(clock.Now())
	if len(shortfalls) == 0 {
		return
	}
	peers := l.peers()
	if len(peers) == 0 {
		return
	}
	for customer, rate := range shortfalls {
		l.borrow(ctx, peers[rand.IntN(len(peers))], customer, rate)
	}
}

// shortfalls returns the rates to borrow, in requests per second by customer.
func (l *limits) shortfalls(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ratesWanted := map[string]float64{}
	for name, own := range l.byCustomer {
		if rate := own.share.Shortfall(now); rate > 0 {
			ratesWanted[name] = rate
		}
	}
	return ratesWanted
}

// borrow asks a peer to lend up to rate, in requests per second, and adds what it lends to this entry's
// share. It ignores a reply that lends nothing or more than was asked for.
func (l *limits) borrow(ctx context.Context, lender member.Member, customer string, rate float64) {
	ctx, cancel := context.WithTimeout(ctx, borrowInterval)
	defer cancel()
	requestedAt := clock.Now()
	var reply wire.BorrowReply
	if l.node.Call(ctx, lender.Address, wire.PathBorrow, wire.BorrowRequest{Customer: customer, RatePerSecond: rate}, &reply) != nil {
		return // What the peer may have lent returns to it when the lease expires.
	}
	if reply.RatePerSecond <= 0 || reply.RatePerSecond > rate {
		return
	}
	duty.Locked(&l.mu, func() { l.byCustomer[customer].share.Borrow(reply.RatePerSecond, requestedAt) })
	l.node.Trail().Add(audit.ShareChanged, customer, fmt.Sprintf("borrowed %.1f a second from %s", reply.RatePerSecond, lender.Name))
}

// serveBorrow handles a peer's request to borrow: it lends what this entry does not use.
func (l *limits) serveBorrow(w http.ResponseWriter, r *http.Request) {
	var req wire.BorrowRequest
	if !node.ReadJSON(w, r, &req) {
		return
	}
	cfg, ok := l.node.Config()
	if !ok {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	reply := wire.BorrowReply{}
	if c, known := cfg.Customer(req.Customer); known && c.Rate > 0 {
		now := clock.Now()
		duty.Locked(&l.mu, func() { reply.RatePerSecond = l.ownLimit(cfg, c, now).share.Lend(req.RatePerSecond, now) })
	}
	httpjson.Reply(w, reply)
}

// isOtherEntry reports whether m is an entry that is alive and is not named self.
func isOtherEntry(m member.Member, self string) bool {
	return m.Role == string(adapter.RoleEntry) && m.State == member.Alive && m.Name != self
}
