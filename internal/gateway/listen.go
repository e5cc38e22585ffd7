// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Intervals and timeouts of long polls.
const (
	// unresponsiveTTL is how long a gateway that did not answer is polled after all others. By then
	// a gateway that has died is no longer listed.
	unresponsiveTTL = roster.RecentFor
	// firstHelloWait is the longest time for which a new process waits for hellos of its failure
	// domain, so that not all new processes poll the seeds: a few round trips to the seeds. It
	// checks every firstHelloPoll.
	firstHelloWait = 30 * time.Millisecond
	firstHelloPoll = 5 * time.Millisecond
	// longPollTime is how long a long poll is held. A reader has an update, if only that nothing
	// changed, after each one-second poll of the store plus the time of the answer.
	longPollTime = 1300 * time.Millisecond
	// longPollTimeout limits a long poll. It is the time in which the silent death of a reader is
	// detected, and must be well below the time within which a new configuration is to take effect
	// (2 s).
	longPollTimeout = longPollTime + 200*time.Millisecond
	// startWindow is the time within which all processes are up when the whole system starts: the
	// platform starts them within 0.3 s, and each start takes some time.
	startWindow = 600 * time.Millisecond
)

// errNoReader means that no gateway is known that reads the store.
var errNoReader = errors.New("no gateway of the domain is known to read the store")

// peerPositions holds the position of the last answer to a long poll, by the address of the
// gateway. It holds only the gateway that answered last.
type peerPositions map[string]changePosition

// changePosition is the number of the last change that is known from one process of a gateway.
type changePosition struct {
	incarnation int64
	number      uint64
}

// FollowPeers sends one long poll to a gateway that it may follow, and applies the changes. If that
// gateway does not answer, the others are polled in turn until ctx is done. A new process first waits for the seeds
// at the first start of the whole system, and for hellos of its failure domain. The error is
// errNoReader if there is no gateway to poll, and that of the last one if none answers.
func (n *PeerExchange) FollowPeers(ctx context.Context) (err error) {
	if n.firstStart && time.Since(n.started) < startWindow {
		wait.For(ctx, startWindow-time.Since(n.started)) // The seeds may not be up yet.
	}
	for ctx.Err() == nil && time.Since(n.started) < firstHelloWait && len(n.neighboursWithStore()) == 0 {
		wait.For(ctx, firstHelloPoll)
	}
	err = errNoReader
	for _, from := range n.followOrder(time.Now()) {
		if err = n.pollPeer(ctx, from); err == nil || errors.Is(ctx.Err(), context.Canceled) {
			return err
		}
		duty.Locked(&n.mu, func() { n.unresponsive[from] = time.Now() })
		n.log.Info("gateway did not answer a long poll", zap.String("from", from), zap.String("error", err.Error()))
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

// followOrder returns the gateways to poll, in the order in which to try them. Those that lately
// failed to answer come last. While this gateway is warming up, and by the gateways known so far
// would be one of the readers, it polls the seeds.
func (n *PeerExchange) followOrder(now time.Time) []string {
	list, place := n.followTargets()
	if n.warmingUp(now) && place < readersPerDomain {
		list = n.seeds
		begin := int(n.incarnation) % len(list) // Each gateway begins with a different seed.
		list = slices.Concat(list[begin:], list[:begin])
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.unresponsive, func(_ string, at time.Time) bool { return now.Sub(at) > unresponsiveTTL })
	responsive := func(a string) bool { _, failed := n.unresponsive[a]; return !failed && a != n.self }
	failedLately := func(a string) bool { return !responsive(a) && a != n.self }
	return slices.Concat(filter(list, responsive), filter(list, failedLately))
}

// filter returns the elements of a list for which f is true.
func filter[T any](list []T, f func(T) bool) (kept []T) {
	for _, v := range list {
		if f(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// pollPeer sends one long poll to a gateway and applies its changes.
func (n *PeerExchange) pollPeer(ctx context.Context, from string) (err error) {
	var last changePosition
	duty.Locked(&n.mu, func() { last = n.positions[from] })
	requestedAt := n.g.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	p, err := n.fetch(ctx, from, fmt.Sprintf("&life=%d&after=%d&hold=1", last.incarnation, last.number))
	if err != nil {
		return err
	}
	if err := n.applyPublished(p, requestedAt); err != nil {
		return err
	}
	duty.Locked(&n.mu, func() { n.positions = peerPositions{from: {incarnation: p.Life, number: p.Number}} })
	n.logChanges(from, p)
	return nil
}

func (n *PeerExchange) logChanges(from string, p published) {
	if len(p.Config)+len(p.Endpoints)+len(p.Removals) == 0 {
		return
	}
	n.log.Info("received changes", zap.String("from", from), zap.Uint64("version", p.Version), zap.Uint64("revision", p.UpTo),
		zap.Duration("age", p.Age), zap.Bool("whole", p.Whole), zap.Int("endpoints", len(p.Endpoints)), zap.Int("gone", len(p.Removals)))
}
