// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/cutover"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// round sends the orders of the present phase and takes in the results.
func (l *leader) round(ctx context.Context) {
	orders := l.machine.Next()
	results := make([]rank.Result, len(orders))
	var g errgroup.Group
	for r, o := range orders {
		if o.Op == "" {
			continue
		}
		g.Go(func() error {
			results[r] = l.send(ctx, r, o)
			return nil
		})
	}
	_ = g.Wait() // No function returns an error: results tell what became of each.
	phase := l.machine.Phase
	for r, o := range orders {
		if o.Op != "" && l.machine.Phase == phase {
			l.machine.Handle(r, results[r])
		}
	}
}

// send gives a rank an order through the sidecar beside it, or straight when
// that does not answer.
func (l *leader) send(ctx context.Context, r int, o rank.Order) rank.Result {
	switch {
	case r == l.machine.Self && o.Op == rank.Arm:
		return l.sendForOwn(ctx, o)
	case r == l.machine.Self:
		return l.s.carryOut(ctx, o).Result
	}
	address := l.byRank[r].endpoint.Address
	if l.holds(r) {
		return l.sendStraight(ctx, r, o)
	}
	limit, sent := orderTries*orderTimeout+askTimeout, orderCall{Order: o}
	if o.Op == rank.Prepare {
		limit, sent.Map, sent.MapFrom = prepareTimeout, nil, l.mapSources(r)
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a, err := l.s.calls.order(call, address, sent)
	if err == nil {
		return a.Result
	}
	l.s.log.Warn("order sent straight", zap.Int("rank", r), zap.String("op", string(o.Op)), zap.String("error", err.Error()))
	return l.sendStraight(ctx, r, o)
}

// sendForOwn has the rank that holds passes arm the own one.
func (l *leader) sendForOwn(ctx context.Context, o rank.Order) rank.Result {
	ctx, cancel := context.WithTimeout(ctx, straightTimeout+askTimeout)
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
	for range orderTries {
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
