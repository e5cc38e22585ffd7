// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package idletimeout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	initial     = 60 * time.Second
	propagation = 10 * time.Second
)

var start = time.Unix(1000, 0)

// at returns the time that is the given duration after start.
func at(after time.Duration) time.Time { return start.Add(after) }

func TestCurrentLimit(t *testing.T) {
	g := NewWithT(t)
	l := New(initial, propagation)
	g.Expect(l.Current()).To(Equal(Limit{Idle: initial}))
	g.Expect(l.Longest(at(0))).To(Equal(Limit{Idle: initial}))
	l.Publish(Limit{Version: 1, Idle: 80 * time.Second}, at(0))
	g.Expect(l.Current()).To(Equal(Limit{Version: 1, Idle: 80 * time.Second}))
	l.Publish(Limit{Version: 2, Idle: 80 * time.Second}, at(time.Second))
	g.Expect(l.Current().Version).To(BeEquivalentTo(2))
	g.Expect(l.replaced).To(BeEmpty(), "limits that are no longer than the current one are dropped")
}

func TestAReplacedLimitStaysValid(t *testing.T) {
	long, short := Limit{Version: 1, Idle: 50 * time.Second}, Limit{Version: 2, Idle: 5 * time.Second}
	shrunk := func() *Limits {
		l := New(time.Second, propagation)
		l.Publish(long, at(0))
		l.Publish(short, at(20*time.Second))
		return l
	}
	replacedAt := 20 * time.Second
	for _, tc := range []struct {
		since time.Duration
		want  Limit
	}{
		{0, long},
		{replacedAt, long},
		{replacedAt + propagation, long},
		{replacedAt + propagation + 1, short},
	} {
		t.Run(fmt.Sprint("idle since ", tc.since), func(t *testing.T) {
			NewWithT(t).Expect(shrunk().Longest(at(tc.since))).To(Equal(tc.want))
		})
	}
	t.Run("until a longer one comes", func(t *testing.T) {
		g := NewWithT(t)
		l := shrunk()
		longest := Limit{Version: 3, Idle: time.Minute}
		l.Publish(longest, at(replacedAt+time.Second))
		g.Expect(l.Longest(at(0))).To(Equal(longest))
		g.Expect(l.replaced).To(BeEmpty())
	})
	t.Run("though another one came between", func(t *testing.T) {
		g := NewWithT(t)
		l := shrunk()
		middle := Limit{Version: 3, Idle: 20 * time.Second}
		l.Publish(middle, at(replacedAt+5*time.Second))
		g.Expect(l.Longest(at(replacedAt + propagation))).To(Equal(long))
		g.Expect(l.Longest(at(replacedAt + propagation + 1))).To(Equal(middle))
	})
	t.Run("until a request that was sent at its end has arrived", func(t *testing.T) {
		g := NewWithT(t)
		l := shrunk()
		last := replacedAt + propagation + long.Idle + TransitMargin
		l.Publish(Limit{Version: 3, Idle: short.Idle}, at(last))
		g.Expect(l.Longest(at(replacedAt + propagation))).To(Equal(long))
		l.Publish(Limit{Version: 4, Idle: short.Idle}, at(last+1))
		g.Expect(l.replaced).To(BeEmpty())
	})
	t.Run("as one that is published again and again", func(t *testing.T) {
		g := NewWithT(t)
		l := shrunk()
		for i := range 100 {
			l.Publish(short, at(replacedAt+time.Duration(i)*time.Second))
		}
		g.Expect(l.Longest(at(replacedAt + propagation))).To(Equal(long))
		g.Expect(l.Longest(at(replacedAt + propagation + 1))).To(Equal(short))
	})
}

func TestReplacedLimitsStayBounded(t *testing.T) {
	for name, next := range map[string]func(i int) time.Duration{
		"limits that shrink": func(i int) time.Duration { return 20*time.Second - time.Duration(i)*time.Millisecond },
		"limits that grow":   func(i int) time.Duration { return time.Second + time.Duration(i)*time.Millisecond },
		"two in turn":        func(i int) time.Duration { return time.Duration(1+i%2) * 10 * time.Second },
		"at random":          func(int) time.Duration { return rand.N(20 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := New(20*time.Second, propagation)
			const every = 100 * time.Millisecond
			most := 0
			for i := range 10_000 {
				l.Publish(Limit{Version: uint64(i + 1), Idle: next(i)}, at(time.Duration(i)*every))
				most = max(most, len(l.replaced))
			}
			g.Expect(most).To(BeNumerically("<=", int((propagation+20*time.Second+TransitMargin)/every)+1))
		})
	}
}

// naiveLimits keeps all versions.
type naiveLimits struct {
	limits     []Limit
	replacedAt []time.Time // When each limit was replaced; shorter by one, since the last is current.
}

// longest returns the longest of the limits that a caller may go by that has been idle since the given
// time, that is, those in effect then or later, or replaced at most the propagation delay before; of
// equally long ones, the newest.
func (n naiveLimits) longest(since time.Time) (best Limit) {
	for i, l := range n.limits {
		holding := i == len(n.replacedAt) || !n.replacedAt[i].Add(propagation).Before(since)
		if holding && l.Idle >= best.Idle {
			best = l
		}
	}
	return best
}

func TestLimitsMatchAModelThatKeepsAllVersions(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
		l, model := New(initial, propagation), naiveLimits{limits: []Limit{{Idle: initial}}}
		now := at(0)
		maxGap := 1 + upTo(5*time.Second) // Longest time between two versions.
		for version := range uint64(100) {
			now = now.Add(upTo(maxGap))
			next := Limit{Version: version + 1, Idle: 1 + upTo(initial)}
			l.Publish(next, now)
			model.limits, model.replacedAt = append(model.limits, next), append(model.replacedAt, now)
			for range 20 {
				since, asked := now.Add(-upTo(2*initial)), now.Add(upTo(maxGap))
				got, want := l.Longest(since), model.longest(since)
				if asked.Sub(since) > want.Idle+TransitMargin {
					continue // The connection has expired by either limit.
				}
				if got.Idle != want.Idle {
					t.Fatalf("seed %d, version %d, idle for %v: %v, not %v", seed, next.Version, now.Sub(since), got, want)
				}
			}
		}
	}
}
