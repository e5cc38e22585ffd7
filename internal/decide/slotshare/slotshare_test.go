// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package slotshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const reportInterval = 100 * time.Millisecond

// result counts the requests of many processes that see the same group.
type result struct {
	requested, admitted int
	peak                int // Maximum number of requests in flight.
}

// running is a request that takes a slot.
type running struct {
	at  int // Process.
	end time.Time
}

// inFlight returns the number of requests of one process.
func inFlight(list []running, at int) (n int) {
	for _, r := range list {
		if r.at == at {
			n++
		}
	}
	return n
}

// simulate runs processes that together receive perSecond requests per second, each of
// which takes a slot of the group for one second. The number of free slots is reported
// once per reportInterval.
func simulate(processes int, perSecond float64, slots int, seconds int) (p result) {
	return simulateUneven(processes, perSecond, slots, seconds, func(r *rand.Rand, _ time.Duration) int { return r.IntN(processes) })
}

// simulateUneven is like simulate; the function receiver returns the process to which a request comes.
func simulateUneven(processes int, perSecond float64, slots int, seconds int, receiver func(r *rand.Rand, after time.Duration) int) (p result) {
	r := rand.New(rand.NewPCG(1, 2))
	shares := make([]Share, processes)
	var ends []running
	start := time.Unix(1000, 0)
	for n := range seconds * int(time.Second/reportInterval) {
		now := start.Add(time.Duration(n) * reportInterval)
		for len(ends) > 0 && !ends[0].end.After(now) {
			ends = ends[1:]
		}
		free := slots - len(ends)
		for i := range shares {
			shares[i].RecordReport(now, inFlight(ends, i), len(ends))
		}
		own := make([]int, processes)
		for range int(perSecond * reportInterval.Seconds()) {
			at := receiver(r, now.Sub(start))
			p.requested++
			if shares[at].Admit(0, float64(free-own[at]), processes-1, false, r.Float64) {
				p.admitted++
				own[at]++
				ends = append(ends, running{at, now.Add(time.Second)})
			}
		}
		p.peak = max(p.peak, len(ends))
	}
	return p
}

func TestSlotsAreFilledOnceByAnyNumberOfProcesses(t *testing.T) {
	for _, processes := range []int{1, 6, 149, 400} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			g := NewWithT(t)
			const slots = 400
			underloaded := simulate(processes, 300, slots, 20)
			g.Expect(float64(underloaded.admitted)).To(BeNumerically(">", 0.99*float64(underloaded.requested)), "there is capacity for all")
			overloaded := simulate(processes, 800, slots, 20)
			g.Expect(overloaded.peak).To(BeNumerically("<", 1.15*slots))
			g.Expect(float64(overloaded.admitted)).To(BeNumerically(">", 0.85*slots*20), "no slot stays free for long")
		})
	}
}

func TestNoRequestIsAdmittedWithoutAFreeSlot(t *testing.T) {
	var s Share
	s.RecordReport(time.Unix(1000, 0), 0, 0)
	NewWithT(t).Expect(s.Admit(0, 0.5, 3, false, func() float64 { return 0 })).To(BeFalse())
}

// surge has all processes ask for slots at once, before the next report, each for as many
// requests as it has waiting for the group to open. It returns how many are admitted.
func surge(processes, waiting, slots int) (admitted int) {
	chance := rand.New(rand.NewPCG(3, 4)).Float64
	for range processes {
		var s Share
		s.RecordReport(time.Unix(1000, 0), 0, 0)
		own := 0
		for range waiting {
			if s.Admit(0, float64(slots-own), processes-1, true, chance) {
				own++
			}
		}
		admitted += own
	}
	return admitted
}

// After an outage all processes have callers that waited. If each filled the slots that it
// sees as free, 825 requests would be sent to 300 slots.
func TestASurgeAtAllProcessesFillsTheSlotsOnce(t *testing.T) {
	for _, processes := range []int{6, 33, 149} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			g := NewWithT(t)
			const slots = 300
			admitted := surge(processes, 2*slots/processes+1, slots)
			g.Expect(admitted).To(BeNumerically(">", 0.9*slots))
			g.Expect(admitted).To(BeNumerically("<", 2*slots))
		})
	}
}

// compete has processes fill the slots of a group with requests of two classes; a request
// that is not admitted asks again at each of as many further reports as its class waits. It
// returns the fraction of each class that is admitted.
func compete(processes int, perSecond, waits map[Class]int, slots int, classes ...Class) (fraction map[Class]float64) {
	r := rand.New(rand.NewPCG(5, 6))
	shares := make([]Share, processes)
	type waiting struct {
		at      int // Process.
		class   Class
		reports int // Number of reports for which it still waits.
	}
	var queue []waiting
	var ends []running
	requested, admitted := map[Class]float64{}, map[Class]float64{}
	for n := range 200 {
		now := time.Unix(1000, 0).Add(time.Duration(n) * reportInterval)
		ends = slices.DeleteFunc(ends, func(one running) bool { return !one.end.After(now) })
		free := slots - len(ends)
		for i := range shares {
			shares[i].RecordReport(now, inFlight(ends, i), len(ends))
		}
		for _, c := range classes {
			for range int(float64(perSecond[c]) * reportInterval.Seconds()) {
				requested[c]++
				queue = append(queue, waiting{r.IntN(processes), c, waits[c]})
			}
		}
		own := make([]int, processes)
		var stillWaiting []waiting
		for _, w := range queue {
			switch {
			case shares[w.at].Admit(w.class, float64(free-own[w.at]), processes-1, false, r.Float64):
				own[w.at]++
				admitted[w.class]++
				ends = append(ends, running{w.at, now.Add(time.Duration((0.5 + r.Float64()) * float64(time.Second)))})
			case w.reports > 0:
				w.reports--
				stillWaiting = append(stillWaiting, w)
			}
		}
		queue = stillWaiting
	}
	fraction = map[Class]float64{}
	for _, c := range classes {
		fraction[c] = admitted[c] / requested[c]
	}
	return fraction
}

// Callers whose answer is late in any case wait for two seconds and ask twenty times, those
// whose answer can be in time ask once or twice. There is capacity for the latter only.
func TestRequestsThatCanBeInTimeGoBeforeLateOnes(t *testing.T) {
	g := NewWithT(t)
	first, late := ClassOf(0, false), ClassOf(0, true)
	part := compete(15, map[Class]int{first: 350, late: 150}, map[Class]int{first: 1, late: 20}, 400, first, late)
	g.Expect(part[first]).To(BeNumerically(">", 0.9))
	g.Expect(part[late]).To(BeNumerically(">", 0.1), "they get the remaining capacity")
}

// The least urgent requests are rejected most when capacity is short, but are not starved.
func TestMoreUrgentRequestsAreAdmittedMoreOften(t *testing.T) {
	g := NewWithT(t)
	mostUrgent, leastUrgent := ClassOf(0, false), ClassOf(2, false)
	fraction := compete(15, map[Class]int{mostUrgent: 300, leastUrgent: 300}, map[Class]int{mostUrgent: 1, leastUrgent: 1}, 400, mostUrgent, leastUrgent)
	g.Expect(fraction[mostUrgent]).To(BeNumerically(">", 1.5*fraction[leastUrgent]))
	g.Expect(fraction[leastUrgent]).To(BeNumerically(">", 0.2))
}

// Guards against slots that stay free since the process to which most callers have moved leaves the even
// parts of the others to them.
func TestAProcessWithMostCallersFillsTheSlots(t *testing.T) {
	const slots, perSecond, seconds, calm = 100, 150, 12, 4 * time.Second
	for _, processes := range []int{2, 7, 149} {
		for _, moved := range []float64{0.95, 1} {
			t.Run(fmt.Sprintf("%d processes, %.2f move", processes, moved), func(t *testing.T) {
				admitted := func(moved float64) float64 {
					p := simulateUneven(processes, perSecond, slots, seconds, func(r *rand.Rand, after time.Duration) int {
						if after >= calm && r.Float64() < moved {
							return 0
						}
						return r.IntN(processes)
					})
					NewWithT(t).Expect(p.peak).To(BeNumerically("<", 1.3*slots))
					return float64(p.admitted)
				}
				even, uneven := admitted(0), admitted(moved)
				t.Logf("admitted %.0f, %.0f while the load is even", uneven, even)
				NewWithT(t).Expect(uneven).To(BeNumerically(">", 0.75*even))
			})
		}
	}
}
