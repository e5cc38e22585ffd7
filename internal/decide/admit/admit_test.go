// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_800_000_000, 0)

func request(id, customer string) Request {
	return Request{ID: id, Customer: customer, Weight: 1, Arrived: start}
}

func ids(list []Request) (names []string) {
	for _, r := range list {
		names = append(names, r.ID)
	}
	return names
}

// full returns a queue of one place, which "runs" holds.
func full(cfg Config) *Queue {
	cfg.MinLimit, cfg.MaxLimit = 1, 1
	q := New(cfg)
	q.Offer(request("runs", "other"), start)
	return q
}

// order empties the queue and returns the ids in the order of their starts.
func order(q *Queue, now time.Time) (list []string) {
	last := "runs"
	for q.Waiting() > 0 {
		started := ids(q.Done(last, now).Start)
		list = append(list, started...)
		last = started[0]
	}
	return list
}

func TestOrder(t *testing.T) {
	check := func(name string, want []string, offer func(q *Queue)) {
		t.Run(name, func(t *testing.T) {
			q := full(Config{Capacity: 100, AgingInterval: time.Second})
			offer(q)
			gomega.NewWithT(t).Expect(order(q, start.Add(10*time.Millisecond))).To(gomega.Equal(want))
		})
	}
	check("priority first", []string{"kiosk", "batch"}, func(q *Queue) {
		q.Offer(request("batch", "a"), start)
		r := request("kiosk", "a")
		r.Priority = 9
		q.Offer(r, start)
	})
	check("customers in turn", []string{"a1", "b1", "a2", "a3"}, func(q *Queue) {
		for _, id := range []string{"a1", "a2", "a3"} {
			q.Offer(request(id, "a"), start)
		}
		r := request("b1", "b")
		r.Arrived = start.Add(time.Millisecond)
		q.Offer(r, start)
	})
	check("earliest deadline within a customer", []string{"soon", "later", "never"}, func(q *Queue) {
		q.Offer(request("never", "a"), start)
		for id, d := range map[string]time.Duration{"later": time.Hour, "soon": time.Minute} {
			r := request(id, "a")
			r.Deadline = start.Add(d)
			q.Offer(r, start)
		}
	})
}

func TestBatchEndsAtLast(t *testing.T) {
	g := gomega.NewWithT(t)
	q := full(Config{Capacity: 100, AgingInterval: time.Second})
	q.Offer(request("batch", "a"), start)
	now := start.Add(10 * time.Second)
	r := request("kiosk", "b")
	r.Priority, r.Arrived = 9, now
	q.Offer(r, now)
	g.Expect(order(q, now)[0]).To(gomega.Equal("batch"))
}

func TestNobodyIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Config{Capacity: 5, MinLimit: 2, MaxLimit: 2})
	seen := map[string]int{}
	note := func(a Actions) {
		for _, r := range a.Start {
			seen[r.ID]++
		}
		for _, r := range a.Refuse {
			seen[r.Request.ID]++
		}
	}
	for i := range 50 {
		note(q.Offer(request(fmt.Sprint(i), fmt.Sprint(i%3)), start))
	}
	note(q.Leave())
	note(q.Offer(request("late", "a"), start))
	g.Expect(seen).To(gomega.HaveLen(51))
	g.Expect(seen).To(gomega.HaveEach(1), "each is started or refused, once")
}

func TestFullQueueGivesUpTheLargestCustomersNewest(t *testing.T) {
	g := gomega.NewWithT(t)
	q := full(Config{Capacity: 3})
	for _, id := range []string{"a1", "a2", "a3"} {
		q.Offer(request(id, "a"), start)
	}
	a := q.Offer(request("b1", "b"), start)
	g.Expect(a.Refuse).To(gomega.HaveLen(1))
	g.Expect(a.Refuse[0].Request.ID).To(gomega.Equal("a3"))
	g.Expect(a.Refuse[0].RetryAfter).To(gomega.BeNumerically(">", 0), "told when to come back")
}

func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	q := full(Config{Capacity: 100})
	q.Offer(request("next", "a"), start)
	q.Done("runs", start.Add(time.Second)) // Holding takes a second.
	for i := range 5 {
		q.Offer(request(fmt.Sprint(i), "a"), start.Add(time.Second))
	}
	r := request("kiosk", "b")
	r.Deadline = start.Add(1500 * time.Millisecond)
	a := q.Offer(r, start.Add(time.Second))
	g.Expect(a.Refuse).To(gomega.HaveLen(1))
	g.Expect(a.Refuse[0].Reason).To(gomega.Equal(ReasonDeadline))
}

func TestLimitFollowsTheStepTime(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Config{Capacity: 1000, MinLimit: 4, MaxLimit: 64, StepTarget: 44 * time.Millisecond})
	now := start
	for i := range 200 {
		q.Offer(request(fmt.Sprint(i), "a"), now)
	}
	// Each sequence adds a millisecond to the step: 44 fit.
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		q.ObserveStep(time.Duration(q.Running())*time.Millisecond, now)
		for q.Running() > q.Limit() {
			for id := range q.running {
				q.Done(id, now)
				break
			}
		}
	}
	g.Expect(q.Running()).To(gomega.BeNumerically("~", 42, 6))
}

func TestLowerLimitCutsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(Config{Capacity: 10, MinLimit: 1, MaxLimit: 8, StepTarget: 10 * time.Millisecond})
	for i := range 8 {
		q.Offer(request(fmt.Sprint(i), "a"), start)
	}
	now := start
	for range 50 {
		now = now.Add(time.Second)
		g.Expect(q.ObserveStep(time.Second, now).Refuse).To(gomega.BeEmpty())
	}
	g.Expect(q.Limit()).To(gomega.BeNumerically("<", 8))
	g.Expect(q.Running()).To(gomega.Equal(8))
}
