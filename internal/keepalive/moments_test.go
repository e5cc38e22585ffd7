// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// outcomes counts answered and lost requests that were sent around a critical time.
type outcomes struct {
	s              *host
	answered, lost atomic.Int64
}

// roundTrip sends a request of a caller. One without an answer must not have run, and must have
// been sent later than allowedIdle after the previous request was sent. The idle time itself begins
// when the previous request ends, which is no earlier, so the check is never too strict.
func (e *outcomes) roundTrip(c *caller, allowedIdle time.Duration) (ok bool, err error) {
	before, id := c.sent, c.nextID()
	if err = c.send(requestText(id)); err == nil {
		done := time.Now()
		if _, err = c.read(id); err == nil {
			e.answered.Add(1)
			return true, nil
		}
		if done.Sub(before) <= allowedIdle {
			return false, fmt.Errorf("%s, sent within its time, got no answer: %w", id, err)
		}
	}
	e.lost.Add(1)
	if e.s.runs(id) != 0 {
		return false, fmt.Errorf("%s ran and got no answer: %w", id, err)
	}
	return false, nil
}

func (e *outcomes) log(t *testing.T) {
	t.Logf("%d answered, %d came too late", e.answered.Load(), e.lost.Load())
}

func TestRequestsAtTheEndOfTheIdleTimeAreAnsweredOrNeverRun(t *testing.T) {
	t.Parallel()
	for name, send := range map[string]func(c *caller, s string) error{
		"whole": func(c *caller, s string) error { return c.send(s) },
		"in two halves": func(c *caller, s string) error {
			if err := c.send(s[:len(s)/2]); err != nil {
				return err
			}
			time.Sleep(rand.N(20 * time.Millisecond))
			return c.send(s[len(s)/2:])
		},
		"byte by byte": func(c *caller, s string) (err error) {
			for i := 0; i < len(s) && err == nil; i++ {
				err = c.send(s[i : i+1])
			}
			return err
		},
		"two at once": func(c *caller, s string) error { return c.send(s + strings.Replace(s, c.lastID(), c.nextID(), 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t, defaultConfig())
			e := &outcomes{s: s}
			const around = 20 * time.Millisecond
			forEachCaller(t, s.dialMany(t, connCount), func(i int, c *caller) error {
				time.Sleep(time.Until(c.sent.Add(shortIdle + transitMargin - around + 2*around*time.Duration(i)/connCount)))
				first := c.n + 1
				err := send(c, requestText(c.nextID()))
				for n := first; n <= c.n; n++ {
					id := fmt.Sprint(c.name, "-", n)
					if err == nil {
						_, err = c.read(id)
					}
					if err == nil {
						e.answered.Add(1)
						continue
					}
					e.lost.Add(1)
					if s.runs(id) != 0 {
						return fmt.Errorf("%s ran and got no answer: %w", id, err)
					}
				}
				return nil
			})
			e.log(t)
			NewWithT(t).Eventually(s.OpenConns, testTimeout).Should(BeZero())
		})
	}
}

func TestNoRequestSentInTimeIsLostWhileTheLimitChangesOften(t *testing.T) {
	t.Parallel()
	limits := []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond, 50 * time.Millisecond}
	cfg := defaultConfig()
	cfg.IdleTimeout = limits[0]
	s := newTestServer(t, cfg)
	e := &outcomes{s: s}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var newest atomic.Int64
	var publisher errgroup.Group
	publisher.Go(func() error {
		for v := uint64(1); ctx.Err() == nil; v++ {
			limit := limits[v%uint64(len(limits))]
			s.Publish(v, limit, time.Now())
			newest.Store(int64(limit))
			time.Sleep(rand.N(10 * time.Millisecond))
		}
		return nil
	})
	forEachCaller(t, s.dialMany(t, connCount), func(i int, c *caller) error {
		rng := rand.New(rand.NewPCG(uint64(i), 0))
		for range 6 {
			allowedIdle := time.Duration(newest.Load()) // While it waits, the caller possibly learns of no newer limit.
			pause := allowedIdle
			if rng.IntN(3) == 0 {
				pause += transitMargin // Later than allowed.
			}
			time.Sleep(time.Until(c.sent.Add(pause)))
			if ok, err := e.roundTrip(c, allowedIdle); !ok {
				return err
			}
		}
		return nil
	})
	e.log(t)
	cancel()
	NewWithT(t).Expect(publisher.Wait()).To(Succeed())
	NewWithT(t).Eventually(s.OpenConns, testTimeout).Should(BeZero())
}

func TestRequestsAtTheStartOfAPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	for name, limit := range map[string]time.Duration{"advertised": 2 * time.Second, "below the shortest advertised": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t, defaultConfig())
			s.Publish(1, limit, time.Now())
			e := &outcomes{s: s}
			list := s.dialMany(t, connCount)
			stopAt := time.Now().Add(50 * time.Millisecond)
			var stop errgroup.Group
			stop.Go(func() error {
				time.Sleep(time.Until(stopAt))
				s.Stop(time.Now())
				return nil
			})
			forEachCaller(t, list, func(i int, c *caller) error {
				time.Sleep(time.Until(stopAt.Add(time.Duration(i-connCount/2) * 100 * time.Microsecond)))
				_, err := e.roundTrip(c, limit)
				return err
			})
			e.log(t)
			g := NewWithT(t)
			g.Expect(stop.Wait()).To(Succeed())
			g.Eventually(s.OpenConns, testTimeout).Should(BeZero(), "the stop ends")
			g.Expect(s.count(ProcessEnd)).To(BeZero())
		})
	}
}

func TestAllConnectionsEndWithTheServer(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, defaultConfig())
	s.Publish(1, testTimeout, time.Now())
	list := s.dialMany(t, connCount)
	closeAt := time.Now().Add(50 * time.Millisecond)
	var end errgroup.Group
	end.Go(func() error {
		time.Sleep(time.Until(closeAt))
		return s.srv.Close()
	})
	var cut, notRun atomic.Int64
	forEachCaller(t, list, func(i int, c *caller) error {
		time.Sleep(time.Until(closeAt.Add(time.Duration(i-connCount/2) * 50 * time.Microsecond)))
		if _, err := c.roundTrip(); err == nil {
			return nil
		}
		if s.runs(c.lastID()) == 0 {
			notRun.Add(1)
			return nil
		}
		cut.Add(1)
		return nil
	})
	g := NewWithT(t)
	g.Expect(end.Wait()).To(Succeed())
	g.Eventually(s.OpenConns, testTimeout).Should(BeZero())
	t.Logf("%d cut, %d not run; %d counted as ended with the process", cut.Load(), notRun.Load(), s.count(ProcessEnd))
	g.Expect(s.count(Idle) + s.count(Stopped) + s.count(SlowHeader)).To(BeZero())
}

// Guards against a stop that ends connections which clients opened in advance.
func TestAPlannedStopKeepsConnectionsOpenedInAdvance(t *testing.T) {
	t.Parallel()
	cfg := longIdleConfig()
	cfg.StopNewConnTimeout = 5 * time.Second
	for name, before := range map[string]time.Duration{"made just now": 0, "made long before": cfg.StopNewConnTimeout + 100*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t, cfg)
			list := make([]*caller, connCount)
			for i := range list {
				list[i] = s.dial(t, fmt.Sprint("new", i))
			}
			NewWithT(t).Eventually(s.OpenConns, testTimeout).Should(Equal(connCount))
			time.Sleep(before)
			s.Stop(time.Now())
			forEachCaller(t, list, func(_ int, c *caller) error {
				_, err := c.roundTrip()
				return err
			})
		})
	}
}

// Guards against a stop that closes unused connections long before the process ends, while their
// callers may still send a first request.
func TestAPlannedStopKeepsUnusedConnectionsUntilItsEnd(t *testing.T) {
	t.Parallel()
	cfg := longIdleConfig()
	cfg.GracePeriod, cfg.StopNewConnTimeout = testTimeout, time.Millisecond
	s := newTestServer(t, cfg)
	list := make([]*caller, connCount)
	for i := range list {
		list[i] = s.dial(t, fmt.Sprint("new", i))
	}
	NewWithT(t).Eventually(s.OpenConns, testTimeout).Should(Equal(connCount))
	s.Stop(time.Now())
	time.Sleep(100 * cfg.StopNewConnTimeout)
	forEachCaller(t, list, func(_ int, c *caller) error {
		_, err := c.roundTrip()
		return err
	})
}
