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

// round sends the orders of the present phase and takes in the results. What is
// alike for most ranks goes down the tree.
func (l *leader) round(ctx context.Context) {
	orders := l.machine.Next()
	results := make([]rank.Result, len(orders))
	alike, single := l.sortOrders(orders)
	var g errgroup.Group
	for _, r := range single {
		g.Go(func() error {
			results[r] = rank.Lost // What became of it is not known after a panic.
			l.s.contained(func() { results[r] = l.send(ctx, r, orders[r]) })
			return nil
		})
	}
	if len(alike) > 0 {
		l.sendTree(ctx, alike, orders[alike[0]], results)
	}
	_ = g.Wait() // No function returns an error: results tell what became of each.
	phase := l.machine.Phase
	for r, o := range orders {
		if o.Op != "" && l.machine.Phase == phase {
			l.machine.Handle(r, results[r])
		}
	}
}

// sortOrders returns the ranks whose order is the same and goes by way of their
// sidecars, and those that get theirs each for itself.
func (l *leader) sortOrders(orders []rank.Order) (alike, single []int) {
	for r, o := range orders {
		switch {
		case o.Op == "":
		case r == l.machine.Self || l.holds(r):
			single = append(single, r)
		case len(alike) > 0 && !sameOrder(o, orders[alike[0]]):
			single = append(single, r)
		default:
			alike = append(alike, r)
		}
	}
	return alike, single
}

// sameOrder reports whether two orders of one phase are the same. Their maps are
// the same if their versions are.
func sameOrder(a, b rank.Order) bool {
	return a.Op == b.Op && a.Fence == b.Fence && a.Epoch == b.Epoch && a.Version == b.Version && a.Step == b.Step
}

// sendTree gives ranks the same order down the tree. Who does not answer so is given
// it apart.
func (l *leader) sendTree(ctx context.Context, ranks []int, o rank.Order, results []rank.Result) {
	text := &l.changed
	if o.Op != rank.Prepare {
		text = nil
	}
	if lacking := l.spreadOrder(ctx, ranks, o, text, results); len(lacking) > 0 {
		l.s.log.Info("map sent whole", zap.Int("ranks", len(lacking)), zap.Uint64("version", o.Version))
		l.spreadOrder(ctx, lacking, o, &l.whole, results)
	}
	var g errgroup.Group
	for _, r := range ranks {
		if results[r] != "" {
			continue
		}
		g.Go(func() error {
			results[r] = rank.Lost // As above.
			l.s.contained(func() { results[r] = l.send(ctx, r, o) })
			return nil
		})
	}
	_ = g.Wait() // No function returns an error: results tell what became of each.
}

// spreadOrder sends an order down the tree once and notes the results; those of who
// did not answer stay as they are. It returns the ranks that lack the map of which
// the order's is a change.
func (l *leader) spreadOrder(ctx context.Context, ranks []int, o rank.Order, text *mapText, results []rank.Result) (lacking []int) {
	list := make([]*member, len(ranks))
	for i, r := range ranks {
		list[i] = l.byRank[r]
	}
	o.Map = nil // Goes as text.
	q := questionTo(list)
	q.Order, q.Map, q.Timeout = &o, text, l.orderLimit(text, len(list))
	if text == nil && len(list) >= fanFlat {
		q.Fanout = fanLight
	}
	call, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	for _, a := range l.s.spread(call, q).Ranks {
		switch {
		case a.Index < 0 || a.Index >= len(ranks):
		case a.UnknownBase:
			lacking = append(lacking, ranks[a.Index])
		default:
			results[ranks[a.Index]] = a.Result
		}
	}
	return lacking
}

// orderLimit is how long an order to so many ranks may take until it is answered,
// with the text of a map or without.
func (l *leader) orderLimit(text *mapText, ranks int) time.Duration {
	limit := orderTime + orderTimeout + askTimeout
	fan := fanFor(ranks)
	steps := time.Duration(depth(ranks, fan))
	if text != nil && l.s.cfg.LinkRate > 0 {
		sent := float64(min(fan, ranks)*len(text.Data)) / l.s.cfg.LinkRate
		limit += steps * time.Duration(sent*float64(time.Second))
	}
	return limit + steps*stepTime
}

// send gives a rank an order through the sidecar beside it, or straight when
// that does not answer.
func (l *leader) send(ctx context.Context, r int, o rank.Order) rank.Result {
	switch {
	case r == l.machine.Self && o.Op == rank.Arm:
		return l.sendForOwn(ctx, o)
	case r == l.machine.Self:
		return l.s.carryOut(ctx, o).Result
	case l.holds(r):
		return l.sendStraight(ctx, r, o)
	}
	sent := o
	sent.Map = nil // Goes as text.
	q := question{Engines: []string{l.byRank[r].endpoint.Address}, Fanout: 1, Order: &sent}
	if o.Op == rank.Prepare {
		q.Map = &l.whole
	}
	q.Timeout = l.orderLimit(q.Map, 1)
	call, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	a, err := l.s.below(call, q)
	if err == nil && len(a.Ranks) == 1 {
		return a.Ranks[0].Result
	}
	l.s.log.Warn("order sent straight", zap.Int("rank", r), zap.String("op", string(o.Op)), zap.Error(err))
	return l.sendStraight(ctx, r, o)
}

// sendForOwn has the rank that holds passes arm the own one.
func (l *leader) sendForOwn(ctx context.Context, o rank.Order) rank.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTime+askTimeout)
	defer cancel()
	holder := l.byRank[cutover.Holder(l.machine.Self)].endpoint.Address
	a, err := l.s.calls.order(ctx, holder, orderCall{Order: o, Engine: l.s.cfg.Address})
	if err != nil {
		l.s.log.Warn("own rank not armed", zap.String("by", holder), zap.String("error", err.Error()))
		return rank.Lost
	}
	return a.Result
}

// holds reports whether the orders of the present phase are those by which passes
// are held and let go at a rank. They go to its engine without the sidecar beside
// it: should an instance freeze as it gives the order, it is not the one with the
// hold, which would keep the group standing until it wakes.
func (l *leader) holds(r int) bool {
	switch l.machine.Phase {
	case cutover.Holding, cutover.Going, cutover.Freeing:
		return r == cutover.Holder(l.machine.Self)
	}
	return false
}

// sendStraight gives a rank's engine an order past the sidecar beside it. One
// without an answer is given again, as sidecars do: the group may be standing.
func (l *leader) sendStraight(ctx context.Context, r int, o rank.Order) (result rank.Result) {
	var err error
	for began := time.Now(); time.Since(began) < orderTime; {
		if result, err = l.s.orderStraight(ctx, l.byRank[r].endpoint.Address, o); result != rank.Lost || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		l.s.log.Warn("order lost", zap.Int("rank", r), zap.String("op", string(o.Op)), zap.String("error", err.Error()))
	}
	return result
}

// orderStraight gives another rank's engine an order once.
func (s *Sidecar) orderStraight(ctx context.Context, engine string, o rank.Order) (rank.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, straightTimeout)
	defer cancel()
	return s.dial(engine).Order(ctx, o)
}
