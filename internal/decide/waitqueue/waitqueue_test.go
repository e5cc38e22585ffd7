// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package waitqueue

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

func original(id uint64) Waiter { return Waiter{ID: id, Deadline: start.Add(300 * time.Millisecond)} }

func retry(id uint64) Waiter { return Waiter{ID: id, Class: 3, Deadline: start.Add(time.Second)} }

func TestOnlyRequestsServedInTimeJoin(t *testing.T) {
	g := NewWithT(t)
	l := &Queue{}
	g.Expect(l.Join(original(1), 0, 0, false, start)).To(BeFalse(), "the rate is unknown")
	g.Expect(l.Join(original(1), 10, 0, false, start)).To(BeTrue())
	g.Expect(l.Join(original(2), 10, 0, false, start)).To(BeTrue())
	g.Expect(l.Join(original(3), 10, 0, false, start)).To(BeTrue())
	g.Expect(l.Join(original(4), 10, 0, false, start)).To(BeFalse(), "the fourth would wait for 400 ms")
	g.Expect(l.Len()).To(Equal(3))
	l.Leave(2, true, start)
	g.Expect(l.Join(original(4), 10, 0, false, start)).To(BeTrue())
}

func TestFirstAttemptsPrecedeRetries(t *testing.T) {
	g := NewWithT(t)
	l := &Queue{}
	g.Expect(l.Join(retry(1), 10, 0, true, start)).To(BeTrue())
	g.Expect(l.Join(original(2), 10, 0, false, start)).To(BeTrue())
	g.Expect(l.Join(retry(3), 10, 0, true, start)).To(BeTrue())
	g.Expect(l.Join(original(4), 10, 0, false, start)).To(BeTrue())
	for _, id := range []uint64{2, 4, 1, 3} {
		g.Expect(l.IsNext(id, start)).To(BeTrue(), "request %d", id)
		l.Leave(id, true, start)
	}
	g.Expect(l.Len()).To(BeZero())
	g.Expect(l.IsNext(0, start)).To(BeFalse())
}

// The queues of many processes may each be short and yet be long together.
func TestQueuesOfOtherProcessesCount(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others int
		joins  bool
	}{{"few", 5, true}, {"many", 149, false}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			l := &Queue{}
			g.Expect(l.Join(original(1), 50, float64(tc.others), false, start)).To(BeTrue(), "no request has waited yet")
			later := start.Add(300 * time.Millisecond)
			l.Leave(1, true, later)
			w := Waiter{ID: 2, Deadline: later.Add(300 * time.Millisecond)}
			g.Expect(l.Join(w, 50, float64(tc.others), false, later)).To(Equal(tc.joins))
			l.Leave(2, true, later)
			calm := later.Add(10 * lengthSmoothingTime)
			w = Waiter{ID: 3, Deadline: calm.Add(300 * time.Millisecond)}
			g.Expect(l.Join(w, 50, float64(tc.others), false, calm)).To(BeTrue(), "that was long ago")
		})
	}
}

// nextOf returns which of the ids is next.
func nextOf(l *Queue, now time.Time, ids ...uint64) uint64 {
	for _, id := range ids {
		if l.IsNext(id, now) {
			return id
		}
	}
	return 0
}

// A customer whose burst fills the queue waits behind the few requests of others, and is not delayed
// for service that it received long ago.
func TestACustomersBurstDelaysOnlyThatCustomer(t *testing.T) {
	g := NewWithT(t)
	l := &Queue{}
	until := start.Add(time.Minute)
	for id := range uint64(4) {
		g.Expect(l.Join(Waiter{ID: id + 1, Customer: "large", Deadline: until}, 100, 0, false, start)).To(BeTrue())
	}
	g.Expect(nextOf(l, start, 1, 2, 3, 4)).To(Equal(uint64(1)))
	l.Leave(1, true, start)
	g.Expect(l.Join(Waiter{ID: 5, Customer: "small", Deadline: until}, 100, 0, false, start)).To(BeTrue())
	g.Expect(nextOf(l, start, 2, 3, 4, 5)).To(Equal(uint64(5)))
	l.Leave(5, false, start)
	g.Expect(nextOf(l, start, 2, 3, 4)).To(Equal(uint64(2)), "no other customer waits")

	g.Expect(l.Join(Waiter{ID: 6, Customer: "new", Deadline: until}, 100, 0, false, start)).To(BeTrue())
	l.Leave(2, true, start.Add(10*serviceDecayTime))
	g.Expect(l.recentService).To(HaveLen(1))
}

func TestLowerClassesGoFirst(t *testing.T) {
	g := NewWithT(t)
	l := &Queue{}
	for id, class := range []int{2, 0, 1} {
		g.Expect(l.Join(Waiter{ID: uint64(id + 1), Class: class, Deadline: start.Add(time.Minute)}, 100, 0, false, start)).To(BeTrue())
	}
	for _, id := range []uint64{2, 3, 1} {
		g.Expect(nextOf(l, start, 1, 2, 3)).To(Equal(id))
		l.Leave(id, true, start)
	}
}
