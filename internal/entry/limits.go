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

// borrowEvery is the time between two rounds of borrowing.
const borrowEvery = 200 * time.Millisecond

// held is what the entry holds of one customer's limit.
type held struct {
	share  *limit.Share
	bucket *limit.Bucket
	burst  float64
}

// limits holds the entry's parts of all customers' limits.
type limits struct {
	node *node.Node

	mu  sync.Mutex
	all map[string]*held // By customer; customers without a limit are not in it.
}

// allow spends one request of the customer's limit at this entry.
func (l *limits) allow(cfg *published.Config, c *published.Customer, now time.Time) (after time.Duration, ok bool) {
	if c.Rate == 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.get(cfg, c, now)
	h.share.CountRequest()
	rate := h.share.Rate(now)
	h.bucket.SetRate(rate, max(1, h.burst*rate/c.Rate), now)
	return h.bucket.Take(now)
}

// get returns what is held of c's limit, by the entitlement in force.
func (l *limits) get(cfg *published.Config, c *published.Customer, now time.Time) *held {
	entitled := c.Rate / float64(l.entries(cfg))
	h, found := l.all[c.Name]
	if !found {
		h = &held{
			share:  limit.NewShare(entitled, now),
			bucket: limit.NewBucket(entitled, max(1, c.Burst*entitled/c.Rate), now),
		}
		l.all[c.Name] = h
	}
	h.share.SetEntitlement(entitled)
	h.burst = c.Burst
	return h
}

// entries is the number by which limits are split. Without a published number
// it is that of the entries seen, and a cut can let in more than the limit.
func (l *limits) entries(cfg *published.Config) int {
	if n := cfg.MaxEntries(); n > 0 {
		return n
	}
	return max(1, len(l.peers())+1)
}

// peers lists the other living entries.
func (l *limits) peers() []member.Member {
	self := l.node.Settings().Name
	return l.node.Members(func(m member.Member) bool {
		return isOtherEntry(m, self)
	})
}

// run borrows for the customers whose demand is above their share.
func (l *limits) run(ctx context.Context) error {
	return wait.Every(ctx, borrowEvery, func() { l.round(ctx) })
}

// round asks one random peer for each customer in want.
func (l *limits) round(ctx context.Context) {
	wants := l.wants(clock.Now())
	if len(wants) == 0 {
		return
	}
	peers := l.peers()
	if len(peers) == 0 {
		return
	}
	for customer, rate := range wants {
		l.borrow(ctx, peers[rand.IntN(len(peers))], customer, rate)
	}
}

func (l *limits) wants(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	wants := map[string]float64{}
	for name, h := range l.all {
		if w := h.share.Shortfall(now); w > 0 {
			wants[name] = w
		}
	}
	return wants
}

func (l *limits) borrow(ctx context.Context, from member.Member, customer string, rate float64) {
	ctx, cancel := context.WithTimeout(ctx, borrowEvery)
	defer cancel()
	asked := clock.Now()
	var reply wire.BorrowReply
	if l.node.Call(ctx, from.Address, wire.PathBorrow, wire.BorrowRequest{Customer: customer, RatePerSecond: rate}, &reply) != nil {
		return // What the peer may have lent comes back to it with the lease.
	}
	if reply.RatePerSecond <= 0 || reply.RatePerSecond > rate {
		return
	}
	duty.Locked(&l.mu, func() { l.all[customer].share.Borrow(reply.RatePerSecond, asked) })
	l.node.Trail().Add(audit.ShareChanged, customer, fmt.Sprintf("borrowed %.1f a second from %s", reply.RatePerSecond, from.Name))
}

// serveBorrow lends what this entry does not use.
func (l *limits) serveBorrow(w http.ResponseWriter, r *http.Request) {
	var q wire.BorrowRequest
	if !node.ReadJSON(w, r, &q) {
		return
	}
	cfg, ok := l.node.Config()
	if !ok {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	reply := wire.BorrowReply{}
	if c, known := cfg.Customer(q.Customer); known && c.Rate > 0 {
		now := clock.Now()
		duty.Locked(&l.mu, func() { reply.RatePerSecond = l.get(cfg, c, now).share.Lend(q.RatePerSecond, now) })
	}
	httpjson.Reply(w, reply)
}

// isOtherEntry reports whether a member is an entry that lives, and not the one of a name.
func isOtherEntry(m member.Member, self string) bool {
	return m.Role == string(adapter.RoleEntry) && m.State == member.Alive && m.Name != self
}
