// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package line

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var at = time.Unix(1000, 0)

func first(id uint64) Waiter { return Waiter{ID: id, Until: at.Add(300 * time.Millisecond)} }

func again(id uint64) Waiter { return Waiter{ID: id, Again: true, Until: at.Add(time.Second)} }

func TestOnlyWhoIsServedInTimeJoins(t *testing.T) {
	g := NewWithT(t)
	l := &Line{}
	g.Expect(l.Join(first(1), 0, 0, at)).To(BeFalse(), "nothing is known of how soon room comes")
	g.Expect(l.Join(first(1), 10, 0, at)).To(BeTrue())
	g.Expect(l.Join(first(2), 10, 0, at)).To(BeTrue())
	g.Expect(l.Join(first(3), 10, 0, at)).To(BeTrue())
	g.Expect(l.Join(first(4), 10, 0, at)).To(BeFalse(), "the fourth would wait for 400 ms")
	g.Expect(l.Len()).To(Equal(3))
	l.Leave(2, at)
	g.Expect(l.Join(first(4), 10, 0, at)).To(BeTrue())
}

func TestFirstTriesGoFirst(t *testing.T) {
	g := NewWithT(t)
	l := &Line{}
	g.Expect(l.Join(again(1), 10, 0, at)).To(BeTrue())
	g.Expect(l.Join(first(2), 10, 0, at)).To(BeTrue())
	g.Expect(l.Join(again(3), 10, 0, at)).To(BeTrue())
	g.Expect(l.Join(first(4), 10, 0, at)).To(BeTrue())
	for _, id := range []uint64{2, 4, 1, 3} {
		g.Expect(l.First(id)).To(BeTrue(), "request %d", id)
		l.Leave(id, at)
	}
	g.Expect(l.Len()).To(BeZero())
	g.Expect(l.First(0)).To(BeFalse())
}

// With many processes each has short lines, which are long together.
func TestTheLinesOfOthersCount(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others int
		joins  bool
	}{{"few", 5, true}, {"many", 149, false}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			l := &Line{}
			g.Expect(l.Join(first(1), 50, tc.others, at)).To(BeTrue(), "nobody has waited yet")
			later := at.Add(300 * time.Millisecond)
			l.Leave(1, later)
			w := Waiter{ID: 2, Until: later.Add(300 * time.Millisecond)}
			g.Expect(l.Join(w, 50, tc.others, later)).To(Equal(tc.joins))
			l.Leave(2, later)
			calm := later.Add(10 * meanTime)
			w = Waiter{ID: 3, Until: calm.Add(300 * time.Millisecond)}
			g.Expect(l.Join(w, 50, tc.others, calm)).To(BeTrue(), "that was long ago")
		})
	}
}
