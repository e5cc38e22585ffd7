// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/admit"
)

// origin is the start of simulated time.
var origin = time.Unix(1_800_000_000, 0)

// admissionSim simulates one endpoint that a large customer overloads. It also
// receives requests of kiosks, which have deadlines, and of a small customer, which
// have none.
type admissionSim struct {
	offer func(admit.Request, time.Time) admit.Actions
	done  func(string, time.Time) admit.Actions
	tick  func(time.Time) admit.Actions

	endTimes      map[string]time.Time // End times of the running requests, by id.
	requests      map[string]admit.Request
	smallWaits    []float64 // Waiting times of the small customer, in milliseconds.
	served        int
	servedLate    int // Requests that were served after their deadline, and so in vain.
	refused       int
	kiosksInTime  int // Kiosk requests that were served in time.
	kiosks        int
	refusalDelays []float64 // From arrival to refusal, in milliseconds.
}

// fifo is the naive method: first come, first served, at a fixed limit, with the
// same bound on the queue. It ignores deadlines.
type fifo struct {
	limit, capacity int
	running         int
	waiting         []admit.Request
}

func (f *fifo) startWaiting(a *admit.Actions) {
	for len(f.waiting) > 0 && f.running < f.limit {
		a.Start = append(a.Start, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.running++
	}
}

func (f *fifo) offer(r admit.Request, _ time.Time) (a admit.Actions) {
	if len(f.waiting) >= f.capacity {
		a.Refuse = append(a.Refuse, admit.Refusal{Request: r, Reason: admit.ReasonFull})
		return a
	}
	f.waiting = append(f.waiting, r)
	f.startWaiting(&a)
	return a
}

func (f *fifo) done(string, time.Time) (a admit.Actions) {
	f.running--
	f.startWaiting(&a)
	return a
}

func (f *fifo) tick(time.Time) admit.Actions { return admit.Actions{} }

// Parameters of the admission experiment.
const (
	admissionLimit    = 16
	admissionCapacity = 128
	serviceTime       = 100 * time.Millisecond
	kioskDeadline     = 400 * time.Millisecond
	admissionTick     = 5 * time.Millisecond
)

// Admission compares the admission queue with first come, first served, at an
// offered load of 1.5 times the endpoint's capacity, over the given simulated time.
func Admission(seconds int, seed uint64) Table {
	t := Table{Title: fmt.Sprintf("Admission: one endpoint, %d places of %v, offered 1.5 times its capacity for %d s; 80 in 100 from one large customer",
		admissionLimit, serviceTime, seconds)}
	f := &fifo{limit: admissionLimit, capacity: admissionCapacity}
	q := admit.New(admit.Config{Capacity: admissionCapacity, MinLimit: admissionLimit, MaxLimit: admissionLimit, AgingInterval: 2 * time.Second})
	for _, m := range []struct {
		name string
		run  *admissionSim
	}{
		{"first come, first served", &admissionSim{offer: f.offer, done: f.done, tick: f.tick}},
		{"canvaspulley", &admissionSim{offer: q.Offer, done: q.Done, tick: q.Tick}},
	} {
		m.run.simulate(seconds, seed)
		t.Rows = append(t.Rows, m.run.row(m.name))
	}
	return t
}

func (r *admissionSim) simulate(seconds int, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	r.endTimes, r.requests = map[string]time.Time{}, map[string]admit.Request{}
	perTick := 1.5 * admissionLimit * float64(admissionTick) / float64(serviceTime)
	n := 0
	for now := origin; now.Before(origin.Add(time.Duration(seconds) * time.Second)); now = now.Add(admissionTick) {
		for _, id := range endedBy(r.endTimes, now) {
			delete(r.endTimes, id)
			r.apply(r.done(id, now), now)
		}
		r.apply(r.tick(now), now)
		for range poisson(rnd, perTick) {
			n++
			r.apply(r.offer(r.arrival(n, rnd, now), now), now)
		}
	}
}

func (r *admissionSim) arrival(n int, rnd *rand.Rand, now time.Time) admit.Request {
	req := admit.Request{ID: fmt.Sprint(n), Weight: 1, Arrived: now}
	switch k := rnd.IntN(100); {
	case k < 80:
		req.Customer = "large"
	case k < 90:
		req.Customer, req.Priority, req.Deadline = "kiosk", 9, now.Add(kioskDeadline)
		r.kiosks++
	default:
		req.Customer = "small"
	}
	r.requests[req.ID] = req
	return req
}

func (r *admissionSim) apply(a admit.Actions, now time.Time) {
	for _, s := range a.Start {
		r.endTimes[s.ID] = now.Add(serviceTime)
		r.served++
		wait := float64(now.Sub(s.Arrived)) / float64(time.Millisecond)
		if s.Customer == "small" {
			r.smallWaits = append(r.smallWaits, wait)
		}
		switch {
		case s.Deadline.IsZero():
		case now.Add(serviceTime).After(s.Deadline):
			r.servedLate++
		default:
			r.kiosksInTime++
		}
	}
	for _, refusal := range a.Refuse {
		r.refused++
		r.refusalDelays = append(r.refusalDelays, float64(now.Sub(refusal.Request.Arrived))/float64(time.Millisecond))
	}
}

func (r *admissionSim) row(name string) Row {
	return Row{name, []Cell{
		{"small customer's wait p99", "ms", quantile(r.smallWaits, 0.99)},
		{"kiosks served in time", "share", float64(r.kiosksInTime) / float64(r.kiosks)},
		{"served after the deadline", "", float64(r.servedLate)},
		{"served", "", float64(r.served)},
		{"refused", "", float64(r.refused)},
		{"refusal after arrival p99", "ms", quantile(r.refusalDelays, 0.99)},
	}}
}

// endedBy returns the ids of the requests that have ended by now, in sorted order.
func endedBy(endTimes map[string]time.Time, now time.Time) (ids []string) {
	for id, at := range endTimes {
		if !at.After(now) {
			ids = append(ids, id)
		}
	}
	sortStrings(ids)
	return ids
}
