// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/trust"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// threeDomains is the size of a site of three failure domains with one process of each kind in each.
var threeDomains = example.Size{Domains: 3, EntriesPerDomain: 1, RanksPerDomain: 1, ServicesPerDomain: 1, Customers: 1}

// runLoad runs the load generator against all entries concurrently with f, expects it to succeed, and
// returns its output.
func (s *site) runLoad(f func(), args ...string) string {
	GinkgoHelper()
	args = append([]string{"load", "--json", "--control", s.ControlAddress, "--key", s.Customers[0].Key,
		"--model", s.Model, "--path", s.Path, "--attempts", "8"}, args...)
	for _, e := range s.Entries {
		args = append(args, "--target", e.CallerAddress)
	}
	cmd := exec.Command(toolPath, args...)
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	Expect(cmd.Start()).To(Succeed())
	f()
	Expect(cmd.Wait()).To(Succeed(), out.String())
	return out.String()
}

type loadCounts struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Broken  int `json:"broken"`
	Unknown int `json:"unknown"`
	NotRun  int `json:"not_run"`
}

func parseCounts(text string) (c loadCounts) {
	GinkgoHelper()
	Expect(json.Unmarshal([]byte(text), &c)).To(Succeed())
	return c
}

var _ = Describe("a partitioned failure domain", func() {
	It("continues to serve, and nothing is duplicated, lost or wrongly reported as not run", func() {
		s := startSite(example.RefundDesk, threeDomains)
		last := s.Domains[2]
		c := parseCounts(s.runLoad(func() {
			time.Sleep(500 * time.Millisecond)
			s.fault(standin.Fault{Kind: standin.FaultPartition, Target: last, On: true})
			s.fault(standin.Fault{Kind: standin.FaultDown, Target: last, On: true})
			s.publish(2, s.Published())
			inside := s.Entries[2]
			Eventually(func() (wire.Outcome, error) {
				r, err := s.chat(inside, "cut", 3)
				return r.outcome, err
			}, waitTimeout, "50ms").Should(Equal(wire.Done), "a caller inside the partitioned domain")
			time.Sleep(time.Second)
			s.fault(standin.Fault{Kind: standin.FaultPartition, Target: last, On: false})
			s.fault(standin.Fault{Kind: standin.FaultDown, Target: last, On: false})
		}, "--rate", "40", "--duration", "4s", "--streams", "0.4", "--payments", "0.5", "--tokens", "20"))
		Expect(c.Sent).To(Equal(160))
		Expect(c.Broken).To(BeZero())
		s.waitGeneration(2)
	})

	It("keeps the guarantees when an agent is also killed during the partition", func() {
		s := startSite(example.RefundDesk, threeDomains)
		last := s.Domains[2]
		c := parseCounts(s.runLoad(func() {
			time.Sleep(300 * time.Millisecond)
			s.fault(standin.Fault{Kind: standin.FaultPartition, Target: last, On: true})
			time.Sleep(300 * time.Millisecond)
			s.kill(s.Agents[1].Name)
			time.Sleep(time.Second)
			s.fault(standin.Fault{Kind: standin.FaultPartition, Target: last, On: false})
			s.startDaemon(s.Agents[1])
		}, "--rate", "40", "--duration", "3s", "--streams", "0.3", "--payments", "0.6", "--tokens", "20"))
		Expect(c.Broken).To(BeZero())
	})
})

var _ = Describe("a customer's limit", func() {
	It("applies across all entries, also in a partition", func() {
		s := startSite(example.Archive, threeDomains, func(s *site) { s.Customers[0].Rate = 30 })
		for _, d := range s.Domains[:2] {
			s.fault(standin.Fault{Kind: standin.FaultPartition, Target: d, On: true})
		}
		const seconds = 4
		start := time.Now()
		c := parseCounts(s.runLoad(func() {}, "--rate", "90", "--duration", fmt.Sprint(seconds, "s"), "--streams", "0", "--payments", "0", "--attempts", "1"))
		took := time.Since(start).Seconds()
		Expect(float64(c.Whole)).To(BeNumerically("<=", 30+30*took), "the burst and the rate")
		Expect(c.NotRun).To(BeNumerically(">", c.Sent/3))
	})
})

var _ = Describe("mutual TLS", func() {
	It("protects the whole path between processes, and rejects unauthorized clients", func() {
		s := startSite(example.Archive, example.MinimalSize, func(s *site) {
			s.TLSDir = filepath.Join(s.dir, "keys")
			args := []string{"keys", s.TLSDir, "--holder", "operator/any/maria"}
			for _, p := range s.all() {
				args = append(args, "--holder", p.Role+"/"+p.Domain+"/"+p.Name)
			}
			out, err := exec.Command(toolPath, args...).CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), string(out))
			creds, err := trust.Load(s.TLSDir+"/ca.crt", s.TLSDir+"/maria.crt", s.TLSDir+"/maria.key")
			Expect(err).NotTo(HaveOccurred())
			s.operatorTLS = &http.Client{Transport: &http.Transport{TLSClientConfig: creds.Client()}}
		})
		r, err := s.chat(s.Entries[0], "secret", 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.outcome).To(Equal(wire.Done))
		_, err = http.Get("http://" + s.Entries[0].OperatorAddress + node.PathStatus)
		if err == nil {
			Expect(s.status(s.Entries[0]).Name).NotTo(BeEmpty(), "the operator's certificate gets an answer")
		}
		_, err = s.operatorTLS.Get("https://" + s.Agents[0].PeerAddress + wire.PathManifest)
		Expect(err).To(HaveOccurred(), "an operator is not a peer")
	})
})
