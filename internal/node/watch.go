// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// watchersPerDomain is the number of processes per failure domain that watch the configuration
// service. The others receive changes from peers.
const watchersPerDomain = 2

// maxWatchBackoff bounds the wait after a failed call to the platform.
const maxWatchBackoff = 5 * time.Second

// watch watches the configuration service while the node is one of the watchers of its failure
// domain.
func (n *Node) watch(ctx context.Context) error {
	n.bootstrap(ctx)
	backoff := n.cfg.GossipInterval
	seen := n.manifestHash() // Hash of the manifest that the service returned last, which may be stale.
	for ctx.Err() == nil {
		if !n.isWatcher() {
			wait.For(ctx, n.cfg.GossipInterval)
			continue
		}
		raw, err := n.configService.Watch(ctx, published.ManifestKey, seen)
		if err == nil && raw != nil {
			err = n.handleWatched(ctx, raw)
		}
		if err != nil {
			n.count("config.watch-failed", 1)
			wait.For(ctx, backoff)
			backoff = min(maxWatchBackoff, 2*backoff)
			continue
		}
		backoff = n.cfg.GossipInterval
		if raw != nil {
			seen = published.HashOf(raw)
		}
	}
	return nil
}

// handleWatched handles a manifest received by watching the configuration service.
func (n *Node) handleWatched(ctx context.Context, raw []byte) (err error) {
	m, err := published.ParseManifest(raw)
	if err != nil {
		return err
	}
	return n.handleManifest(ctx, n.sourceAt(""), m)
}

// bootstrap queries peers for the highest generation before it relies on the configuration service,
// which may be stale. It returns once the node has a configuration or has tried to read the service.
// The first readers query peers for one round only.
func (n *Node) bootstrap(ctx context.Context) {
	for _, address := range n.cfg.Seeds {
		if address != n.cfg.AdvertisedAddress {
			_ = n.Exchange(ctx, address) // A peer that does not answer now is reached later.
		}
	}
	n.readListOnce(ctx)
	for range bootstrapRounds {
		n.exchangeWithPeers(ctx)
		if _, ok := n.Config(); ok || n.isFirst(firstReaders, func(member.Member) bool { return true }) {
			break
		}
		wait.For(ctx, n.cfg.GossipInterval)
	}
	if _, ok := n.Config(); ok {
		return
	}
	if err := n.fetchFrom(ctx, ""); err != nil {
		n.log.Sugar().Warnw("cannot read configuration service at startup", "error", err)
	}
}

// bootstrapRounds is how many times a process that is not among the firstReaders queries peers before
// it reads the configuration service itself. Thus, when all processes restart at once, a few read
// every value from the service and the others fetch them from peers.
const (
	bootstrapRounds = 5
	firstReaders    = 2
)

// exchangeWithPeers exchanges messages with a few random peers, one after the other, until the node
// has a configuration: after each exchange it waits for the generation that the peer named to be
// fetched.
func (n *Node) exchangeWithPeers(ctx context.Context) {
	var targets []member.Member
	duty.Locked(&n.mu, func() { targets = n.table.PickRandom(n.cfg.Name, rand.Uint64()) })
	for _, m := range targets {
		if n.Exchange(ctx, m.Address) == nil && n.awaitConfig(ctx) {
			return
		}
	}
}

// awaitConfig reports whether the node has a configuration. It waits for one for up to half a gossip
// interval while hints, that is generations that peers have named, are queued.
func (n *Node) awaitConfig(ctx context.Context) bool {
	for range 10 {
		if _, ok := n.Config(); ok || n.hints.Len() == 0 {
			return ok
		}
		wait.For(ctx, n.cfg.GossipInterval/20)
	}
	return false
}

// isWatcher reports whether the node is among the first of its failure domain in rendezvous hash
// order. An incorrect view of the members only costs extra reads.
func (n *Node) isWatcher() bool {
	return n.isFirst(watchersPerDomain, func(m member.Member) bool { return m.Domain == n.cfg.Domain })
}

// isFirst reports whether the node is among the first count members, in rendezvous hash order, of those
// that satisfy eligible.
func (n *Node) isFirst(count int, eligible func(member.Member) bool) bool {
	ownScore := rendezvous.Score("watch", n.cfg.Name)
	ahead := n.Members(func(m member.Member) bool {
		return m.State != member.Dead && !m.Leaving && m.Name != n.cfg.Name && eligible(m) &&
			rendezvous.Score("watch", m.Name) > ownScore
	})
	return len(ahead) < count
}

// manifestHash returns the hash of the manifest in effect, "" if there is none.
func (n *Node) manifestHash() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spread.Current().Generation == 0 {
		return ""
	}
	return published.HashOf(n.manifest.Encode())
}

// readList polls the platform's list of instances while the node is a watcher.
func (n *Node) readList(ctx context.Context) error {
	rows := 0
	for ctx.Err() == nil {
		wait.For(ctx, max(n.cfg.GossipInterval, time.Duration(rows)*listIntervalPerRow))
		if n.isWatcher() {
			rows = n.readListOnce(ctx)
		}
	}
	return nil
}

// listIntervalPerRow is the interval between reads of the list, per row of the list. At about 150 bytes
// per row it limits the reads to 4 KB per second.
const listIntervalPerRow = 40 * time.Millisecond

// readListOnce reads the list, merges it into the members, and returns its length, 0 if it could not be
// read. If the list says that this process is leaving, the planned stop begins.
func (n *Node) readListOnce(ctx context.Context) (length int) {
	list, err := n.instances.List(ctx)
	if err != nil {
		n.count("list.failed", 1)
		return 0
	}
	rows := make([]member.Member, 0, len(list))
	for _, in := range list {
		rows = append(rows, fromInstance(in))
	}
	var changes []member.Change
	var leaving bool
	duty.Locked(&n.mu, func() {
		before := n.table.Self().Leaving
		changes = n.table.MergePlatformList(rows, clock.Now())
		leaving = n.table.Self().Leaving && !before
	})
	n.recordChanges(changes)
	if leaving {
		n.Leave("the platform lists this process as leaving")
	}
	return len(list)
}

func fromInstance(in adapter.Instance) member.Member {
	return member.Member{
		Name: in.Name, Role: string(in.Role), Endpoint: in.Endpoint,
		Domain: in.Domain, Address: in.Address, Leaving: in.Leaving,
	}
}
