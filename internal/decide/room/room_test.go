// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package room

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const look = 100 * time.Millisecond

// played is what became of requests at many processes that see the same group.
type played struct {
	asked, let int
	most       int // At work at once.
}

// play runs so many processes that get so many requests a second together, each of
// which takes a place for a second, against a group of so many places. The places
// that are free are told at each look.
func play(processes int, perSecond float64, places int, seconds int) (p played) {
	r := rand.New(rand.NewPCG(1, 2))
	shares := make([]Share, processes)
	var ends []time.Time
	start := time.Unix(1000, 0)
	for n := range seconds * int(time.Second/look) {
		now := start.Add(time.Duration(n) * look)
		for len(ends) > 0 && !ends[0].After(now) {
			ends = ends[1:]
		}
		free := places - len(ends)
		for i := range shares {
			shares[i].RecordReport(now)
		}
		own := make([]int, processes)
		for range int(perSecond * look.Seconds()) {
			at := r.IntN(processes)
			p.asked++
			if shares[at].Admit(0, float64(free-own[at]), processes-1, false, r.Float64) {
				p.let++
				own[at]++
				ends = append(ends, now.Add(time.Second))
			}
		}
		p.most = max(p.most, len(ends))
	}
	return p
}

func TestPlacesAreFilledOnceByAnyNumberOfProcesses(t *testing.T) {
	for _, processes := range []int{1, 6, 149, 400} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			g := NewWithT(t)
			const places = 400
			calm := play(processes, 300, places, 20)
			g.Expect(float64(calm.let)).To(BeNumerically(">", 0.99*float64(calm.asked)), "there is room for all")
			full := play(processes, 800, places, 20)
			g.Expect(full.most).To(BeNumerically("<", 1.15*places))
			g.Expect(float64(full.let)).To(BeNumerically(">", 0.85*places*20), "no place stays free for long")
		})
	}
}

func TestNobodyIsLetInWhereThereIsNoPlace(t *testing.T) {
	var s Share
	s.RecordReport(time.Unix(1000, 0))
	NewWithT(t).Expect(s.Admit(0, 0.5, 3, false, func() float64 { return 0 })).To(BeFalse())
}

// rush has so many processes ask at once, before anything new is told, with so many
// requests each that waited for a group to open, and returns how many are let in.
func rush(processes, waiting, places int) (let int) {
	chance := rand.New(rand.NewPCG(3, 4)).Float64
	for range processes {
		var s Share
		s.RecordReport(time.Unix(1000, 0))
		own := 0
		for range waiting {
			if s.Admit(0, float64(places-own), processes-1, true, chance) {
				own++
			}
		}
		let += own
	}
	return let
}

// After an outage all processes have callers who waited. Were each to take what it sees
// as free, 825 requests came to 300 places.
func TestARushOfAllProcessesFillsThePlacesOnce(t *testing.T) {
	for _, processes := range []int{6, 33, 149} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			g := NewWithT(t)
			const places = 300
			let := rush(processes, 2*places/processes+1, places)
			g.Expect(let).To(BeNumerically(">", 0.9*places))
			g.Expect(let).To(BeNumerically("<", 2*places))
		})
	}
}

// compete has so many processes fill a group of places for a while, to which requests of
// two classes come; one that was not let in asks again at each report for as many more
// reports as its class waits. It returns which part of each class is let in.
func compete(processes int, perSecond, waits map[Class]int, places int, classes ...Class) (part map[Class]float64) {
	r := rand.New(rand.NewPCG(5, 6))
	shares := make([]Share, processes)
	type waiting struct {
		at    int // Process.
		class Class
		looks int // For which it still waits.
	}
	var line []waiting
	var ends []time.Time
	asked, let := map[Class]float64{}, map[Class]float64{}
	for n := range 200 {
		now := time.Unix(1000, 0).Add(time.Duration(n) * look)
		ends = slices.DeleteFunc(ends, func(end time.Time) bool { return !end.After(now) })
		free := places - len(ends)
		for i := range shares {
			shares[i].RecordReport(now)
		}
		for _, c := range classes {
			for range int(float64(perSecond[c]) * look.Seconds()) {
				asked[c]++
				line = append(line, waiting{r.IntN(processes), c, waits[c]})
			}
		}
		own := make([]int, processes)
		var still []waiting
		for _, w := range line {
			switch {
			case shares[w.at].Admit(w.class, float64(free-own[w.at]), processes-1, false, r.Float64):
				own[w.at]++
				let[w.class]++
				ends = append(ends, now.Add(time.Duration((0.5+r.Float64())*float64(time.Second))))
			case w.looks > 0:
				w.looks--
				still = append(still, w)
			}
		}
		line = still
	}
	part = map[Class]float64{}
	for _, c := range classes {
		part[c] = let[c] / asked[c]
	}
	return part
}

// Callers whose answer is late anyhow wait for two seconds and ask twenty times, those who
// can be in time ask once or twice. There is room for the latter alone.
func TestWhoCanBeInTimeGoesBeforeWhoIsLate(t *testing.T) {
	g := NewWithT(t)
	first, late := ClassOf(0, false), ClassOf(0, true)
	part := compete(15, map[Class]int{first: 350, late: 150}, map[Class]int{first: 1, late: 20}, 400, first, late)
	g.Expect(part[first]).To(BeNumerically(">", 0.9))
	g.Expect(part[late]).To(BeNumerically(">", 0.1), "what room is left is theirs")
}

// The least urgent pay for too little room, but are not shut out.
func TestTheMoreUrgentAreLetInMoreOften(t *testing.T) {
	g := NewWithT(t)
	most, least := ClassOf(0, false), ClassOf(2, false)
	part := compete(15, map[Class]int{most: 300, least: 300}, map[Class]int{most: 1, least: 1}, 400, most, least)
	g.Expect(part[most]).To(BeNumerically(">", 1.5*part[least]))
	g.Expect(part[least]).To(BeNumerically(">", 0.2))
}
