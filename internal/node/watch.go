// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/own"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// watchers is how many processes of a failure domain watch the configuration
// service; the others hear from peers.
const watchers = 2

// maxWatchPause bounds the wait after a failed call to the platform.
const maxWatchPause = 5 * time.Second

// watch follows the configuration service while the node is one of the
// watchers of its failure domain.
func (n *Node) watch(ctx context.Context) error {
	n.bootstrap(ctx)
	pause := n.set.GossipInterval
	seen := n.manifestHash() // Hash of what the service showed last, which may be stale.
	for ctx.Err() == nil {
		if !n.isWatcher() {
			wait.For(ctx, n.set.GossipInterval)
			continue
		}
		raw, err := n.conf.Watch(ctx, published.ManifestKey, seen)
		if err == nil && raw != nil {
			err = n.takeWatched(ctx, raw)
		}
		if err != nil {
			n.count("config.watch-failed", 1)
			wait.For(ctx, pause)
			pause = min(maxWatchPause, 2*pause)
			continue
		}
		pause = n.set.GossipInterval
		if raw != nil {
			seen = published.HashOf(raw)
		}
	}
	return nil
}

// takeWatched takes in what a watch of the configuration service showed.
func (n *Node) takeWatched(ctx context.Context, raw []byte) (err error) {
	m, err := published.ParseManifest(raw)
	if err != nil {
		return err
	}
	return n.takeManifest(ctx, n.source(""), m)
}

// bootstrap asks peers for the highest generation before the service, which
// may be stale, is trusted.
func (n *Node) bootstrap(ctx context.Context) {
	for _, address := range n.set.Seeds {
		if address != n.set.AdvertisedAddress {
			_ = n.Exchange(ctx, address) // Whoever is silent now is heard later.
		}
	}
	n.readListOnce(ctx)
	for range bootstrapRounds {
		n.askSome(ctx)
		if _, ok := n.Config(); ok || n.isFirst(firstReaders, func(member.Member) bool { return true }) {
			break
		}
		wait.For(ctx, n.set.GossipInterval)
	}
	if _, ok := n.Config(); ok {
		return
	}
	if err := n.take(ctx, ""); err != nil {
		n.log.Sugar().Warnw("configuration service not read at the start", "error", err)
	}
}

// bootstrapRounds is how often a process that is not among the first readers
// asks peers before it reads the configuration service by itself: when all
// restart at once, a few read every value, and the others have them from peers.
const (
	bootstrapRounds = 5
	firstReaders    = 2
)

// askSome exchanges messages with a few random peers and gives what they have
// the time to be fetched.
func (n *Node) askSome(ctx context.Context) {
	var some []member.Member
	duty.Locked(&n.mu, func() { some = n.table.PickRandom(n.set.Name, rand.Uint64()) })
	for _, m := range some {
		if n.Exchange(ctx, m.Address) == nil && n.awaitConfig(ctx) {
			return
		}
	}
}

// awaitConfig waits for a generation that a peer has named, for a moment.
func (n *Node) awaitConfig(ctx context.Context) bool {
	for range 10 {
		if _, ok := n.Config(); ok || n.hints.Len() == 0 {
			return ok
		}
		wait.For(ctx, n.set.GossipInterval/20)
	}
	return false
}

// isWatcher reports whether the node is among the first of its failure domain
// in rendezvous order. Wrong views cost extra reads only.
func (n *Node) isWatcher() bool {
	return n.isFirst(watchers, func(m member.Member) bool { return m.Domain == n.set.Domain })
}

// isFirst reports whether the node is among the first so many in rendezvous
// order of the members that satisfy near.
func (n *Node) isFirst(first int, near func(member.Member) bool) bool {
	mine := own.Score("watch", n.set.Name)
	ahead := n.Members(func(m member.Member) bool {
		return m.State != member.Dead && !m.Leaving && m.Name != n.set.Name && near(m) &&
			own.Score("watch", m.Name) > mine
	})
	return len(ahead) < first
}

func (n *Node) manifestHash() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spread.Current().Generation == 0 {
		return ""
	}
	return published.HashOf(n.manifest.Encode())
}

// readList follows the platform's list while the node is a watcher.
func (n *Node) readList(ctx context.Context) error {
	rows := 0
	for ctx.Err() == nil {
		wait.For(ctx, max(n.set.GossipInterval, time.Duration(rows)*listPerRow))
		if n.isWatcher() {
			rows = n.readListOnce(ctx)
		}
	}
	return nil
}

// listPerRow spaces reads of the list by its length: at some 150 bytes a row it
// keeps them to 4 KB a second.
const listPerRow = 40 * time.Millisecond

// readListOnce takes the list in and returns its length.
func (n *Node) readListOnce(ctx context.Context) (length int) {
	list, err := n.list.List(ctx)
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
	n.note(changes)
	if leaving {
		n.Leave("the platform's list has it as leaving")
	}
	return len(list)
}

func fromInstance(in adapter.Instance) member.Member {
	return member.Member{
		Name: in.Name, Role: string(in.Role), Endpoint: in.Endpoint,
		Domain: in.Domain, Address: in.Address, Leaving: in.Leaving,
	}
}
