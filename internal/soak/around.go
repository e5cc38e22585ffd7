// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxDelayAfterChange is the longest time from the sending of a change to the kill of a gateway.
	maxDelayAfterChange = 400 * time.Millisecond
	// maxTimeIntoStop is the longest time from the start of a planned stop to the kill of the gateway.
	maxTimeIntoStop = 3 * time.Second
	// maxSignalGap is the longest time between signals that overlap.
	maxSignalGap = 30 * time.Millisecond
	// killAllOneIn is the number of these faults among which one, on average, kills all gateways.
	killAllOneIn = 4
)

// killAround publishes a change and kills one gateway or all of them around that time.
func (s *site) killAround(gateway int, f fault) error {
	rnd := rand.New(rand.NewPCG(s.cfg.Seed, uint64(f.at)))
	upTo := func(d time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(d))) }
	victims := []int{gateway}
	if f.variant%killAllOneIn == 0 {
		victims = victims[:0]
		for g := range s.gateways {
			victims = append(victims, g)
		}
	}
	var group errgroup.Group
	for _, g := range victims {
		at, pauses := upTo(maxDelayAfterChange), [3]time.Duration{upTo(maxSignalGap), upTo(maxSignalGap), upTo(maxSignalGap)}
		const plain, inStop, twice, overlapping = 0, 1, 2, 3
		variant, again, stopped := rnd.IntN(overlapping+1), upTo(maxDelayAfterChange), upTo(maxTimeIntoStop)
		group.Go(func() error {
			time.Sleep(at)
			proc := s.gateways[g].proc
			switch variant {
			case inStop:
				return s.killInStop(g, stopped)
			case twice:
				if err := s.restart(g, proc, syscall.SIGKILL, 0); err != nil {
					return err
				}
				time.Sleep(again)
			case overlapping:
				proc.reload()
				time.Sleep(pauses[0])
				proc.signal(syscall.SIGTERM)
				time.Sleep(pauses[1])
				proc.reload()
				return s.killInStop(g, pauses[2])
			}
			return s.restart(g, proc, syscall.SIGKILL, 0)
		})
	}
	group.Go(func() error { return s.publishRandomChange(rand.New(rand.NewPCG(s.cfg.Seed, uint64(f.at)+1))) })
	return group.Wait()
}

// killInStop begins a planned stop of a gateway and kills the gateway during it.
func (s *site) killInStop(gateway int, after time.Duration) error {
	proc, began := s.gateways[gateway].proc, time.Now()
	proc.signal(syscall.SIGTERM)
	time.Sleep(after)
	stop := span{began, time.Now()}
	s.ledger.recordInterruption(gateway, stop)
	s.ledger.do(func(l *ledger) { l.plannedStops[gateway] = append(l.plannedStops[gateway], stop) })
	return s.restart(gateway, proc, syscall.SIGKILL, 0)
}

// publishRandomChange publishes a change of the idle timeout, the keys or the route, several versions
// at once, or a series of such changes.
func (s *site) publishRandomChange(rnd *rand.Rand) error {
	const series = 4
	changes := [...]faultKind{changeIdle, takeKey, moveRoute, manyVersions}
	which := rnd.IntN(series + 1)
	if which != series {
		return s.publishChangeOfKind(changes[which], rnd)
	}
	for range 2 + rnd.IntN(5) {
		if err := s.publishChangeOfKind(changes[rnd.IntN(len(changes))], rnd); err != nil {
			return err
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(maxDelayAfterChange / 4))))
	}
	return nil
}

func (s *site) publishChangeOfKind(kind faultKind, rnd *rand.Rand) error {
	if kind == changeIdle {
		return s.publishIdle(idleTimeouts[rnd.IntN(len(idleTimeouts))])
	}
	return s.publishChange(fault{kind: kind, target: rnd.IntN(1000)})
}
