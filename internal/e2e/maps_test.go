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

// trio is one group of three ranks.
var trio = example.Size{Domains: 1, EntriesPerDomain: 1, RanksPerDomain: 3, ServicesPerDomain: 1, Customers: 1}

func (s *site) maps() standin.MapReport {
	GinkgoHelper()
	reports := map[string]standin.MapReport{}
	Expect(getJSON(s.ControlAddress, standin.PathMaps, &reports)).To(Succeed())
	return reports["group-"+s.Domains[0]]
}

// heat makes every third expert hot, from the given one on.
func (s *site) heat(from int) {
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
	It("changes under load without a step on two maps, also when agents are killed and frozen", func() {
		s := startSite(example.Archive, trio, func(s *site) { s.RebalanceInterval = 50 * time.Millisecond })
		leader := s.Agents[0].Name
		busy := s.open(s.Entries[0], "while maps change", 4000, "")
		Expect(busy.read(1)).To(BeTrue())

		s.heat(0)
		Eventually(func() uint64 { return s.maps().MapVersion }, patience, "10ms").ShouldNot(BeZero(), "a first switch")
		first := s.maps().MapVersion

		s.heat(1)
		s.signal(leader, syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		s.signal(leader, syscall.SIGCONT)
		Eventually(func() uint64 { return s.maps().MapVersion }, patience, "10ms").ShouldNot(Equal(first), "the frozen agent or the next one goes on")
		second := s.maps().MapVersion

		s.heat(2)
		s.kill(leader)
		step := s.maps().Step
		Eventually(func() uint64 { return s.maps().Step }, patience).Should(BeNumerically(">", step+20), "without a switch the group does not wait for a dead agent")
		s.startDaemon(s.Agents[0])
		s.waitReady(s.Agents[0])
		Eventually(func() uint64 { return s.maps().MapVersion }, patience, "10ms").ShouldNot(Equal(second), "the agent that starts anew reads back its engine")

		report := s.maps()
		Expect(report.Violations).To(BeZero())
		AddReportEntry("maps", fmt.Sprintf("%+v", report))
	})
})
