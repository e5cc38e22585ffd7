// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// sendPhaseOrders sends the orders of the current phase and handles the results. An order that most
// ranks share goes down the tree. Once a result changes the phase, the remaining results are
// dropped.
func (l *leader) sendPhaseOrders(ctx context.Context) {
	orders := l.machine.Next()
	results := make([]rank.Result, len(orders))
	shared, single := l.partitionOrders(orders)
	var g errgroup.Group
	for _, r := range single {
		g.Go(func() error {
			results[r] = rank.Lost // The result is unknown if the call panics.
			l.s.containPanic(func() { results[r] = l.send(ctx, r, orders[r]) })
			return nil
		})
	}
	if len(shared) > 0 {
		l.sendViaTree(ctx, shared, orders[shared[0]], results)
	}
	_ = g.Wait() // No function returns an error; results holds the outcome of each order.
	phase := l.machine.Phase
	for r, o := range orders {
		if o.Op != "" && l.machine.Phase == phase {
			l.machine.Handle(r, results[r])
		}
	}
}

// partitionOrders returns the ranks that get the same order through the tree, and the ranks that
// get their order individually: this rank, a rank whose order sets or releases the hold, and ranks
// whose order differs from the first shared one. Ranks without an order are in neither list.
func (l *leader) partitionOrders(orders []rank.Order) (shared, single []int) {
	for r, o := range orders {
		switch {
		case o.Op == "":
		case r == l.machine.Self || l.isHolderPhase(r):
			single = append(single, r)
		case len(shared) > 0 && !sameOrder(o, orders[shared[0]]):
			single = append(single, r)
		default:
			shared = append(shared, r)
		}
	}
	return shared, single
}

// sameOrder reports whether two orders of one phase are equal. Their maps are equal if their
// versions are.
func sameOrder(a, b rank.Order) bool {
	return a.Op == b.Op && a.Fence == b.Fence && a.Epoch == b.Epoch && a.Version == b.Version && a.Step == b.Step
}

// sendViaTree sends the same order to ranks through the tree. A rank that does not answer there is
// sent the order individually. A map goes down the tree as a delta first; ranks that lack its base
// are then sent the full map.
func (l *leader) sendViaTree(ctx context.Context, ranks []int, o rank.Order, results []rank.Result) {
	encoded := &l.mapDelta
	if o.Op != rank.Prepare {
		encoded = nil
	}
	if missingBase := l.fanOutOrder(ctx, ranks, o, encoded, results); len(missingBase) > 0 {
		l.s.log.Info("full map sent", zap.Int("ranks", len(missingBase)), zap.Uint64("version", o.Version))
		l.fanOutOrder(ctx, missingBase, o, &l.fullMap, results)
	}
	var g errgroup.Group
	for _, r := range ranks {
		if results[r] != "" {
			continue
		}
		g.Go(func() error {
			results[r] = rank.Lost // The result is unknown if the call panics.
			l.s.containPanic(func() { results[r] = l.send(ctx, r, o) })
			return nil
		})
	}
	_ = g.Wait() // No function returns an error; results holds the outcome of each order.
}

// fanOutOrder sends an order down the tree once and stores the results; those of ranks that did not
// answer are left unchanged. It returns the ranks that lack the base of the order's map delta.
func (l *leader) fanOutOrder(ctx context.Context, ranks []int, o rank.Order, encoded *encodedMap, results []rank.Result) (missingBase []int) {
	list := make([]*member, len(ranks))
	for i, r := range ranks {
		list[i] = l.byRank[r]
	}
	o.Map = nil // Sent in encoded form.
	q := newQuery(list)
	q.Order, q.Map, q.Timeout = &o, encoded, l.orderDeadline(encoded, len(list))
	if encoded == nil && len(list) >= flatFanout {
		q.Fanout = lightFanout
	}
	call, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	for _, a := range l.s.fanOut(call, q).Ranks {
		switch {
		case a.Index < 0 || a.Index >= len(ranks):
		case a.UnknownBase:
			missingBase = append(missingBase, ranks[a.Index])
		default:
			results[ranks[a.Index]] = a.Result
		}
	}
	return missingBase
}

// orderDeadline returns how long the given number of ranks may take to answer an order, with an
// encoded map if it is not nil.
func (l *leader) orderDeadline(encoded *encodedMap, ranks int) time.Duration {
	limit := orderRetryWindow + maxOrderTimeout + sidecarTimeout
	fanout := fanoutFor(ranks)
	hops := time.Duration(depth(ranks, fanout))
	if encoded != nil && l.s.cfg.LinkRate > 0 {
		sent := float64(min(fanout, ranks)*len(encoded.Data)) / l.s.cfg.LinkRate
		limit += hops * time.Duration(sent*float64(time.Second))
	}
	return limit + hops*hopTime
}

// send sends an order to a rank through its sidecar, or directly to its engine if the sidecar does
// not answer.
func (l *leader) send(ctx context.Context, r int, o rank.Order) rank.Result {
	switch {
	case r == l.machine.Self && o.Op == rank.Arm:
		return l.armSelfViaHolder(ctx, o)
	case l.machine.Phase == cutover.Claiming:
		return l.s.claimVersion(ctx, o)
	case r == l.machine.Self:
		return l.s.executeOrder(ctx, o).Result
	case l.isHolderPhase(r):
		return l.sendDirectly(ctx, r, o)
	}
	sent := o
	sent.Map = nil // Sent in encoded form.
	q := treeQuery{Engines: []string{l.byRank[r].endpoint.Address}, Fanout: 1, Order: &sent}
	if o.Op == rank.Prepare {
		q.Map = &l.fullMap
	}
	q.Timeout = l.orderDeadline(q.Map, 1)
	call, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	a, err := l.s.querySidecar(call, q)
	if err == nil && len(a.Ranks) == 1 {
		return a.Ranks[0].Result
	}
	l.s.log.Warn("sidecar did not answer, order sent directly", zap.Int("rank", r), zap.String("op", string(o.Op)), zap.Error(err))
	return l.sendDirectly(ctx, r, o)
}

// armSelfViaHolder has the sidecar of the rank that holds passes arm this rank.
func (l *leader) armSelfViaHolder(ctx context.Context, o rank.Order) rank.Result {
	ctx, cancel := context.WithTimeout(ctx, orderRetryWindow+sidecarTimeout)
	defer cancel()
	holder := l.byRank[cutover.Holder(l.machine.Self)].endpoint.Address
	a, err := l.s.calls.order(ctx, holder, orderRequest{Order: o, Engine: l.s.cfg.Address})
	if err != nil {
		l.s.log.Warn("own rank not armed", zap.String("by", holder), zap.String("error", err.Error()))
		return rank.Lost
	}
	return a.Result
}

// isHolderPhase reports whether the current phase's order to rank r sets or releases the hold of
// passes. Such orders go to the engine directly, not through its sidecar. An instance that sends an
// order may freeze; if it also had the hold, the group would be stalled until it resumes.
func (l *leader) isHolderPhase(r int) bool {
	switch l.machine.Phase {
	case cutover.Holding, cutover.Going, cutover.Freeing:
		return r == cutover.Holder(l.machine.Self)
	}
	return false
}

// sendDirectly sends an order to a rank's engine, bypassing its sidecar. An order without an answer
// is sent again for orderRetryWindow, as sidecars do, because the group may be stalled.
func (l *leader) sendDirectly(ctx context.Context, r int, o rank.Order) (result rank.Result) {
	var err error
	for began := time.Now(); time.Since(began) < orderRetryWindow; {
		if result, err = l.s.orderEngineDirectly(ctx, l.byRank[r].endpoint.Address, o); result != rank.Lost || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		l.s.log.Warn("order lost", zap.Int("rank", r), zap.String("op", string(o.Op)), zap.String("error", err.Error()))
	}
	return result
}

// orderEngineDirectly sends an order to another rank's engine once.
func (s *Sidecar) orderEngineDirectly(ctx context.Context, engine string, o rank.Order) (rank.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, directOrderTimeout)
	defer cancel()
	result, err := s.dial(engine).Order(ctx, o)
	return result.Outcome(), err
}
