// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package e2e

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// threeRanks is the size of a site with one group of three ranks.
var threeRanks = example.Size{Domains: 1, EntriesPerDomain: 1, RanksPerDomain: 3, ServicesPerDomain: 1, Customers: 1}

func (s *site) mapReport() standin.MapReport {
	GinkgoHelper()
	reports := map[string]standin.MapReport{}
	Expect(getJSON(s.ControlAddress, standin.PathMaps, &reports)).To(Succeed())
	return reports["group-"+s.Domains[0]]
}

// setHotExperts gives every third expert, from the given one on, ten times the tokens of the others.
func (s *site) setHotExperts(from int) {
	GinkgoHelper()
	tokens := make([]float64, 64)
	for e := range tokens {
		tokens[e] = 10
		if e%3 == from {
			tokens[e] = 100
		}
	}
	Expect(s.post(standin.PathDemand, standin.Demand{Group: "group-" + s.Domains[0], Tokens: [][]float64{tokens}})).To(Succeed())
}

var _ = Describe("the expert map under failure", func() {
	It("changes under load without a step on two maps, also when agents are killed or frozen", func() {
		s := startSite(example.Archive, threeRanks, func(s *site) { s.RebalanceInterval = 50 * time.Millisecond })
		leader := s.Agents[0].Name
		stream := s.startStream(s.Entries[0], "while maps change", 4000, "")
		Expect(stream.read(1)).To(BeTrue())

		s.setHotExperts(0)
		Eventually(func() uint64 { return s.mapReport().MapVersion }, waitTimeout, "10ms").ShouldNot(BeZero(), "a first switch")
		first := s.mapReport().MapVersion

		s.setHotExperts(1)
		s.signal(leader, syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		s.signal(leader, syscall.SIGCONT)
		Eventually(func() uint64 { return s.mapReport().MapVersion }, waitTimeout, "10ms").ShouldNot(Equal(first), "the frozen agent or the next leader continues")
		second := s.mapReport().MapVersion

		s.setHotExperts(2)
		s.kill(leader)
		step := s.mapReport().Step
		Eventually(func() uint64 { return s.mapReport().Step }, waitTimeout).Should(BeNumerically(">", step+20), "outside a switch the group does not wait for a dead agent")
		s.startDaemon(s.Agents[0])
		s.waitReady(s.Agents[0])
		Eventually(func() uint64 { return s.mapReport().MapVersion }, waitTimeout, "10ms").ShouldNot(Equal(second), "the restarted agent reads the state back from its engine")

		report := s.mapReport()
		Expect(report.Violations).To(BeZero())
		AddReportEntry("maps", fmt.Sprintf("%+v", report))
	})
})
