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

// Times of listening.
const (
	// deafFor is how long a gateway that did not answer is asked after all others: whoever
	// died is not known by then.
	deafFor = roster.RecentFor
	// firstAnswers is how long a process that has just started waits at most to hear of
	// others of its failure domain, so that not all listen to the seeds: some round trips
	// to these, looked at each firstLook.
	firstAnswers = 30 * time.Millisecond
	firstLook    = 5 * time.Millisecond
	// holdTime is how long a call for news is held: a reader has news, if only
	// that nothing changed, after each wait of one second and the answer's way.
	holdTime = 1300 * time.Millisecond
	// listenTimeout bounds such a call. A reader that died without a word is found
	// out after so long, which must lie well below the time in which a new
	// configuration is to be in force (2 s).
	listenTimeout = holdTime + 200*time.Millisecond
	// startSpread is the time within which all processes are up when the whole system
	// starts: the platform starts them within 0.3 s, and a start takes some time.
	startSpread = 600 * time.Millisecond
)

// errNoReader means that no gateway is known that reads the store.
var errNoReader = errors.New("no gateway of the domain is known to read the store")

// listenedTo is what the gateways that this one listened to said last, by
// address.
type listenedTo map[string]heardNumber

// heardNumber says up to where a gateway's changes are known.
type heardNumber struct {
	life   int64
	number uint64
}

// FollowPeers waits for news from a gateway that reads the store and takes it in. When
// that does not answer, the other ones are asked, too.
func (n *PeerExchange) FollowPeers(ctx context.Context) (err error) {
	if n.first && time.Since(n.started) < startSpread {
		wait.For(ctx, startSpread-time.Since(n.started)) // The seeds may not be up yet.
	}
	for ctx.Err() == nil && time.Since(n.started) < firstAnswers && len(n.readers()) == 0 {
		wait.For(ctx, firstLook)
	}
	err = errNoReader
	for _, from := range n.listenable(time.Now()) {
		if err = n.listenTo(ctx, from); err == nil || ctx.Err() != nil {
			return err
		}
		duty.Locked(&n.mu, func() { n.deaf[from] = time.Now() })
		n.log.Info("not heard", zap.String("from", from), zap.String("error", err.Error()))
	}
	return err
}

// listenable returns whom to listen to, in the order of trial.
func (n *PeerExchange) listenable(now time.Time) []string {
	list, place := n.before()
	if n.settling(now) && place < readersPerDomain {
		list = n.seeds
		begin := int(n.life) % len(list) // Each begins with another one.
		list = slices.Concat(list[begin:], list[:begin])
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.deaf, func(_ string, at time.Time) bool { return now.Sub(at) > deafFor })
	answers := func(a string) bool { _, deaf := n.deaf[a]; return !deaf && a != n.self }
	fails := func(a string) bool { return !answers(a) && a != n.self }
	return slices.Concat(keep(list, answers), keep(list, fails))
}

// keep returns those of a list that a function keeps.
func keep[T any](list []T, f func(T) bool) (kept []T) {
	for _, v := range list {
		if f(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// listenTo waits for news from one gateway and takes it in.
func (n *PeerExchange) listenTo(ctx context.Context, from string) (err error) {
	var last heardNumber
	duty.Locked(&n.mu, func() { last = n.heardOf[from] })
	asked := n.g.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	p, err := n.call(ctx, from, fmt.Sprintf("&life=%d&after=%d&hold=1", last.life, last.number))
	if err != nil {
		return err
	}
	if err := n.takeConfig(p); err != nil {
		return err
	}
	n.g.view.ApplyUpdate(p.Update, n.g.cfg.Now())
	n.g.view.Confirm(p.Version, asked.Add(p.Held-p.Age))
	duty.Locked(&n.mu, func() { n.heardOf = listenedTo{from: {life: p.Life, number: p.Number}} })
	n.logTold(from, p)
	return nil
}

func (n *PeerExchange) logTold(from string, p published) {
	if len(p.Config)+len(p.Endpoints)+len(p.Removals) == 0 {
		return
	}
	n.log.Info("heard of changes", zap.String("from", from), zap.Uint64("version", p.Version), zap.Uint64("revision", p.At),
		zap.Duration("age", p.Age), zap.Bool("whole", p.Whole), zap.Int("endpoints", len(p.Endpoints)), zap.Int("gone", len(p.Removals)))
}
