// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package census

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const settle = 2 * time.Second

var start = time.Unix(1000, 0)

func TestEstimateOfGateways(t *testing.T) {
	type observation struct {
		at    time.Duration
		heard Contact
	}
	check := func(name string, at time.Duration, want Place, list ...observation) {
		t.Run(name, func(t *testing.T) {
			c := New(settle)
			for _, o := range list {
				c.Observe(o.heard, start.Add(o.at))
			}
			NewWithT(t).Expect(c.Place(start.Add(at))).To(Equal(want))
		})
	}
	others := func(at time.Duration, n int) observation { return observation{at, Contact{Others: n, Before: 1}} }
	check("nothing observed", time.Hour, Place{})
	check("before it settles", settle-1, Place{}, others(0, 4))
	check("settled", settle, Place{Gateways: 5, Before: 1}, others(0, 4))
	check("a higher count unsettles a new process", settle, Place{}, others(0, 3), others(time.Second, 4))
	check("a higher count counts at once later", 3*time.Second, Place{Gateways: 7, Before: 1}, others(0, 4), others(settle, 4), others(3*time.Second, 6))
	check("gateways that are not heard still count, and come before", 5*time.Second, Place{Gateways: 5, Before: 3}, others(0, 4), others(settle, 4), others(5*time.Second, 2))
	check("a count is forgotten", 70*time.Second, Place{Gateways: 3, Before: 1}, others(0, 4), others(30*time.Second, 2), others(60*time.Second, 2), others(65*time.Second, 2))
	check("sidecars count more", settle, Place{Gateways: 9, Before: 5}, observation{0, Contact{Others: 4, Before: 1, Reported: 9}})
	check("alone", time.Hour, Place{}, observation{0, Contact{Reported: 1}}, observation{time.Hour, Contact{Reported: 1}})
	check("a failure domain is not heard", settle, Place{}, observation{0, Contact{Others: 4, MissingDomains: 1}})
	check("half of the ranks do not report", settle, Place{}, observation{0, Contact{Others: 4, Ranks: 4, RanksReporting: 2}})
	check("cut off for less than contactTTL", 8*time.Second, Place{Gateways: 5, Before: 4}, others(0, 4), others(settle, 4), observation{8 * time.Second, Contact{}})
	check("cut off for longer", 13*time.Second, Place{}, others(0, 4), others(settle, 4), observation{13 * time.Second, Contact{}})
}

func TestAGatewayThatIsToldTheCountReliesOnIt(t *testing.T) {
	g := NewWithT(t)
	c := New(settle)
	c.Observe(Contact{Others: 2}, start)
	c.Tell(0, start)
	g.Expect(c.Place(start)).To(Equal(Place{}), "the other has no estimate either")
	c.Tell(32, start)
	c.Tell(30, start.Add(time.Second))
	g.Expect(c.Place(start.Add(time.Second))).To(Equal(Place{Gateways: 32, Before: 29}))
	g.Expect(c.Observed(start.Add(time.Second))).To(Equal(3), "what was told is not passed on")
	c.Observe(Contact{Others: 2}, start.Add(memory))
	g.Expect(c.Place(start.Add(memory + 1)).Gateways).To(Equal(3))
}
