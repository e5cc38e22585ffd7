// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package room

import (
	"fmt"
	"math/rand/v2"
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
			shares[i].Report(now)
		}
		own := make([]int, processes)
		for range int(perSecond * look.Seconds()) {
			at := r.IntN(processes)
			p.asked++
			if shares[at].Take(float64(free-own[at]), processes-1, r.Float64) {
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
	s.Report(time.Unix(1000, 0))
	NewWithT(t).Expect(s.Take(0.5, 3, func() float64 { return 0 })).To(BeFalse())
}
