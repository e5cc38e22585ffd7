// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package line

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var at = time.Unix(1000, 0)

func first(id uint64) Waiter { return Waiter{ID: id, Deadline: at.Add(300 * time.Millisecond)} }

func again(id uint64) Waiter { return Waiter{ID: id, Class: 3, Deadline: at.Add(time.Second)} }

func TestOnlyWhoIsServedInTimeJoins(t *testing.T) {
	g := NewWithT(t)
	l := &Queue{}
	g.Expect(l.Join(first(1), 0, 0, false, at)).To(BeFalse(), "nothing is known of how soon room comes")
	g.Expect(l.Join(first(1), 10, 0, false, at)).To(BeTrue())
	g.Expect(l.Join(first(2), 10, 0, false, at)).To(BeTrue())
	g.Expect(l.Join(first(3), 10, 0, false, at)).To(BeTrue())
	g.Expect(l.Join(first(4), 10, 0, false, at)).To(BeFalse(), "the fourth would wait for 400 ms")
	g.Expect(l.Len()).To(Equal(3))
	l.Leave(2, true, at)
	g.Expect(l.Join(first(4), 10, 0, false, at)).To(BeTrue())
}

func TestFirstTriesGoFirst(t *testing.T) {
	g := NewWithT(t)
	l := &Queue{}
	g.Expect(l.Join(again(1), 10, 0, true, at)).To(BeTrue())
	g.Expect(l.Join(first(2), 10, 0, false, at)).To(BeTrue())
	g.Expect(l.Join(again(3), 10, 0, true, at)).To(BeTrue())
	g.Expect(l.Join(first(4), 10, 0, false, at)).To(BeTrue())
	for _, id := range []uint64{2, 4, 1, 3} {
		g.Expect(l.IsNext(id, at)).To(BeTrue(), "request %d", id)
		l.Leave(id, true, at)
	}
	g.Expect(l.Len()).To(BeZero())
	g.Expect(l.IsNext(0, at)).To(BeFalse())
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
			l := &Queue{}
			g.Expect(l.Join(first(1), 50, tc.others, false, at)).To(BeTrue(), "nobody has waited yet")
			later := at.Add(300 * time.Millisecond)
			l.Leave(1, true, later)
			w := Waiter{ID: 2, Deadline: later.Add(300 * time.Millisecond)}
			g.Expect(l.Join(w, 50, tc.others, false, later)).To(Equal(tc.joins))
			l.Leave(2, true, later)
			calm := later.Add(10 * meanTime)
			w = Waiter{ID: 3, Deadline: calm.Add(300 * time.Millisecond)}
			g.Expect(l.Join(w, 50, tc.others, false, calm)).To(BeTrue(), "that was long ago")
		})
	}
}

// nextOf returns who is next among the ids.
func nextOf(l *Queue, now time.Time, ids ...uint64) uint64 {
	for _, id := range ids {
		if l.IsNext(id, now) {
			return id
		}
	}
	return 0
}

// A customer whose burst fills the line waits behind others' few requests, but no one
// waits for whoever got much long ago.
func TestACustomersBurstIsPaidByThatCustomer(t *testing.T) {
	g := NewWithT(t)
	l := &Queue{}
	until := at.Add(time.Minute)
	for id := range uint64(4) {
		g.Expect(l.Join(Waiter{ID: id + 1, Customer: "large", Deadline: until}, 100, 0, false, at)).To(BeTrue())
	}
	g.Expect(nextOf(l, at, 1, 2, 3, 4)).To(Equal(uint64(1)))
	l.Leave(1, true, at)
	g.Expect(l.Join(Waiter{ID: 5, Customer: "small", Deadline: until}, 100, 0, false, at)).To(BeTrue())
	g.Expect(nextOf(l, at, 2, 3, 4, 5)).To(Equal(uint64(5)))
	l.Leave(5, false, at)
	g.Expect(nextOf(l, at, 2, 3, 4)).To(Equal(uint64(2)), "nobody else waits")

	g.Expect(l.Join(Waiter{ID: 6, Customer: "new", Deadline: until}, 100, 0, false, at)).To(BeTrue())
	l.Leave(2, true, at.Add(10*shareTime))
	g.Expect(l.got).To(HaveLen(1))
}

func TestTheMoreUrgentGoFirst(t *testing.T) {
	g := NewWithT(t)
	l := &Queue{}
	for id, class := range []int{2, 0, 1} {
		g.Expect(l.Join(Waiter{ID: uint64(id + 1), Class: class, Deadline: at.Add(time.Minute)}, 100, 0, false, at)).To(BeTrue())
	}
	for _, id := range []uint64{2, 3, 1} {
		g.Expect(nextOf(l, at, 1, 2, 3)).To(Equal(id))
		l.Leave(id, true, at)
	}
}
