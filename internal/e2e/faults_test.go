// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/chart"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// twoOfEach is the size of a site of one failure domain with two entries, two ranks and two services.
var twoOfEach = example.Size{Domains: 1, EntriesPerDomain: 2, RanksPerDomain: 2, ServicesPerDomain: 2, Customers: 1}

// twoDomains is the size of a site of two failure domains with one process of each kind in each.
var twoDomains = example.Size{Domains: 2, EntriesPerDomain: 1, RanksPerDomain: 1, ServicesPerDomain: 1, Customers: 1}

// streamReader reads a stream and records what it contained.
type streamReader struct {
	resp    *http.Response
	lines   *bufio.Scanner
	cancel  context.CancelFunc
	text    strings.Builder
	rank    string // Endpoint that sent the last token read.
	ids     []string
	outcome wire.Refusal
	done    bool // The last line of a complete answer was read.
}

// startStream starts a stream, which resumes after the event id in resume unless that is empty.
func (s *site) startStream(entry example.Process, content string, tokens int, resume string) *streamReader {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	DeferCleanup(cancel)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, s.Model, tokens, content)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.CallerAddress+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+s.Customers[0].Key)
	if resume != "" {
		req.Header.Set(wire.HeaderResume, resume)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	DeferCleanup(func() { _ = resp.Body.Close() })
	return &streamReader{resp: resp, lines: bufio.NewScanner(resp.Body), cancel: cancel}
}

// startWithStream starts a site and a stream through its first entry, and reads the stream's first
// tokens.
func startWithStream(user example.User, size example.Size, content string, tokens, first int) (*site, *streamReader) {
	GinkgoHelper()
	s := startSite(user, size)
	o := s.startStream(s.Entries[0], content, tokens, "")
	Expect(o.read(first)).To(BeTrue())
	return s, o
}

// read reads up to n tokens; it returns false at the end of the stream.
func (o *streamReader) read(n int) bool {
	event := ""
	for o.lines.Scan() {
		line := o.lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			o.ids = append(o.ids, id)
			o.rank = strings.Split(id, "/")[1]
		}
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.done = true
			continue
		}
		if event == "outcome" {
			_ = json.Unmarshal([]byte(data), &o.outcome) // The outcome is checked where it is used.
			event = ""
			continue
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
			o.text.WriteString(c.Choices[0].Delta.Content)
		}
		if n--; n == 0 {
			return true
		}
	}
	return false
}

// expectComplete reads a stream to its end, and checks every token and the outcome.
func (o *streamReader) expectComplete(content string, tokens int) {
	GinkgoHelper()
	for o.read(1) {
	}
	Expect(o.text.String()).To(Equal(standin.Answer("user: "+content+"\n", tokens)), "every token once and in order")
	Expect(o.outcome.Outcome).To(Equal(wire.Done))
	Expect(o.lines.Err()).NotTo(HaveOccurred())
	Expect(o.done).To(BeTrue())
	Expect(o.resp.Trailer.Get(wire.HeaderOutcome)).To(Equal(string(wire.Done)))
}

func (s *site) agentOf(endpoint string) example.Process {
	GinkgoHelper()
	for _, a := range s.Agents {
		if a.Endpoint == endpoint {
			return a
		}
	}
	Fail("no agent of " + endpoint)
	return example.Process{}
}

var _ = Describe("streams under failure", func() {
	DescribeTable("moves a stream without a missing or repeated token", func(fault func(s *site, o *streamReader, agent example.Process)) {
		s, o := startWithStream(example.Archive, twoOfEach, "moved", 300, 20)
		fault(s, o, s.agentOf(o.rank))
		o.expectComplete("moved", 300)
	},
		Entry("when its agent is killed", func(s *site, _ *streamReader, agent example.Process) { s.kill(agent.Name) }),
		Entry("when its engine dies", func(s *site, _ *streamReader, agent example.Process) {
			s.fault(standin.Fault{Kind: standin.FaultKill, Target: agent.BackendAddress, On: true})
		}),
		Entry("when its agent is frozen, and drops its late tokens", func(s *site, o *streamReader, agent example.Process) {
			s.signal(agent.Name, syscall.SIGSTOP)
			Expect(o.read(20)).To(BeTrue())
			s.signal(agent.Name, syscall.SIGCONT)
		}),
	)

	It("resumes through another entry after its entry was killed", func() {
		s, o := startWithStream(example.Archive, twoOfEach, "killed entry", 120, 30)
		s.kill(s.Entries[0].Name)
		for o.read(1) { // Reads the tokens that were in transit.
		}
		resumed := s.startStream(s.Entries[1], "killed entry", 120, o.ids[len(o.ids)-1])
		for resumed.read(1) {
		}
		Expect(o.text.String() + resumed.text.String()).To(Equal(standin.Answer("user: killed entry\n", 120)))
	})

	It("cuts off nothing in a planned stop of an agent and sends it no new requests", func() {
		s, o := startWithStream(example.Archive, twoOfEach, "planned stop", 300, 10)
		leaving := s.agentOf(o.rank)
		s.signal(leaving.Name, syscall.SIGTERM)
		// The signal is not handled at once; after the agent has handled it, no new request may
		// be sent to the agent.
		Eventually(func() int { return s.readiness(leaving) }, "5s", "1ms").Should(Equal(http.StatusServiceUnavailable))
		for i := range 20 {
			other := s.startStream(s.Entries[i%2], fmt.Sprint("after the stop ", i), 2, "")
			other.expectComplete(fmt.Sprint("after the stop ", i), 2)
			Expect(other.rank).NotTo(Equal(leaving.Endpoint))
		}
		o.expectComplete("planned stop", 300)
		Expect(o.ids).To(HaveEach(ContainSubstring(leaving.Endpoint)), "the stream ended where it began")
		Expect(s.procs[leaving.Name].Wait()).To(Succeed(), "the process ended by itself")
		delete(s.procs, leaving.Name)
	})

	It("moves a stream when its group stalls, and waits for a group that is slow", func() {
		s, o := startWithStream(example.Archive, twoDomains, "stalled group", 300, 10)
		first := s.agentOf(o.rank)
		s.fault(standin.Fault{Kind: standin.FaultStall, Target: first.BackendAddress, On: true})
		o.expectComplete("stalled group", 300)
		Expect(o.rank).NotTo(Equal(first.Endpoint))
		fresh := s.startStream(s.Entries[0], "after the stall", 5, "")
		fresh.expectComplete("after the stall", 5)
		Expect(fresh.rank).NotTo(Equal(first.Endpoint), "no new request goes to a stalled group")

		second := s.agentOf(fresh.rank)
		slow := s.startStream(s.Entries[1], "slow group", 12, "")
		Expect(slow.read(10)).To(BeTrue())
		s.fault(standin.Fault{Kind: standin.FaultSlow, Target: second.BackendAddress, Milliseconds: 2500})
		slow.expectComplete("slow group", 12)
		Expect(slow.ids).To(HaveEach(ContainSubstring(second.Endpoint)), "a slow step is not a stall")
	})

	It("moves a stream off a leaving agent with its KV cache when the policy says so", func() {
		s, o := startWithStream(example.RefundDesk, twoOfEach, "moves off", 400, 10)
		first := o.rank
		s.signal(s.agentOf(first).Name, syscall.SIGTERM)
		o.expectComplete("moves off", 400)
		Expect(o.rank).NotTo(Equal(first))
		Expect(s.count(standin.PathImports)).To(Equal(1))
	})

	It("cuts off nothing in a planned stop of an entry", func() {
		s, o := startWithStream(example.Archive, twoOfEach, "entry stops", 200, 10)
		s.signal(s.Entries[0].Name, syscall.SIGTERM)
		Eventually(func() chart.State { return s.status(s.Entries[0]).State }, waitTimeout).Should(Equal(node.Draining))
		refused := s.mustAsk(s.Entries[0], http.MethodGet, "/v1/models", "", nil)
		Expect(refused.outcome).To(Equal(wire.NotRun))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		o.expectComplete("entry stops", 200)
		Expect(s.procs[s.Entries[0].Name].Wait()).To(Succeed())
		delete(s.procs, s.Entries[0].Name)
	})

	It("cuts off nothing at a SIGHUP and continues", func() {
		s, o := startWithStream(example.Archive, twoOfEach, "hangup", 200, 10)
		first := s.agentOf(o.rank)
		for range 3 {
			s.signal(s.Entries[0].Name, syscall.SIGHUP)
			s.signal(first.Name, syscall.SIGHUP)
		}
		o.expectComplete("hangup", 200)
		Expect(o.ids).To(HaveEach(ContainSubstring(first.Endpoint)), "the stream ended where it began")
		Expect(s.readiness(s.Entries[0])).To(Equal(http.StatusOK))
		Expect(s.readiness(first)).To(Equal(http.StatusOK))
	})

	It("sends nothing to an endpoint that is leaving by the platform's list only", func() {
		s := startSite(example.Archive, twoOfEach)
		leaving := s.Agents[0]
		s.fault(standin.Fault{Kind: standin.FaultLeaving, Target: leaving.Name})
		Eventually(func() bool {
			for _, m := range s.status(s.Entries[1]).Members {
				if m.Name == leaving.Name {
					return m.Leaving
				}
			}
			return false
		}, waitTimeout, "20ms").Should(BeTrue())
		for i := range 10 {
			o := s.startStream(s.Entries[1], fmt.Sprint("listed ", i), 2, "")
			o.expectComplete(fmt.Sprint("listed ", i), 2)
			Expect(o.rank).NotTo(Equal(leaving.Endpoint))
		}
	})
})

var _ = Describe("payments under failure", func() {
	It("runs a payment once when its agent is frozen with the request in its socket", func() {
		s := startSite(example.RefundDesk, twoOfEach)
		key := s.createKey(s.Entries[0])
		owner := s.agentOf(strings.Split(key, "@")[1])
		s.signal(owner.Name, syscall.SIGSTOP)
		r, err := s.ask(s.Entries[0], http.MethodPost, s.Path+"pay?id=frozen", "amount",
			map[string]string{wire.HeaderKey: key, wire.HeaderDeadline: "400"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.outcome).To(Equal(wire.Unknown), "the request left the entry, so it may have run")
		s.signal(owner.Name, syscall.SIGCONT)
		var last reply
		Eventually(func() (wire.Outcome, error) {
			last, err = s.pay(s.Entries[1], key, "frozen")
			return last.outcome, err
		}, waitTimeout, "50ms").Should(Equal(wire.Done))
		Expect(s.runs()["frozen"]).To(Equal(1))
	})

	It("never reports a payment as not run that the service ran without an answer", func() {
		s := startSite(example.RefundDesk, twoOfEach)
		for _, a := range s.Agents {
			if !s.IsRank(a) {
				s.fault(standin.Fault{Kind: standin.FaultNoAnswer, Target: a.Endpoint, On: true})
			}
		}
		key := s.createKey(s.Entries[0])
		for range 3 {
			r, err := s.pay(s.Entries[0], key, "mute")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.outcome).To(Equal(wire.Unknown))
		}
		unkeyed := s.mustAsk(s.Entries[0], http.MethodPost, s.Path+"pay?id=unkeyed", "amount", nil)
		Expect(unkeyed.outcome).To(Equal(wire.Unknown))
		Expect(s.runs()).To(Equal(map[string]int{"mute": 1, "unkeyed": 1}))
	})

	It("runs a payment at most once when its agent dies during it and is replaced", func() {
		s := startSite(example.RefundDesk, twoOfEach)
		key := s.createKey(s.Entries[0])
		owner := s.agentOf(strings.Split(key, "@")[1])
		answer := s.payDelayed(owner.Endpoint, key, "died")
		s.kill(owner.Name)
		Expect((<-answer).outcome).To(Equal(wire.Unknown))
		s.startDaemon(owner)
		s.waitReady(owner)
		Eventually(func() (string, error) {
			r, err := s.pay(s.Entries[1], key, "died")
			return string(r.outcome) + r.header.Get(wire.HeaderReason), err
		}, waitTimeout, "50ms").Should(ContainSubstring("may have run before"))
		Expect(s.runs()["died"]).To(Equal(1))
	})

	It("keeps a key at its owner while the published endpoints change", func() {
		s := startSite(example.RefundDesk, twoOfEach)
		key := s.createKey(s.Entries[0])
		owner := strings.Split(key, "@")[1]
		answer := s.payDelayed(owner, key, "moved")
		values := s.Published()
		values["service/payments.ini"] = []byte("[service]\npath = /payments/\nnot-repeatable = POST\n\n[endpoint other]\ndomain = sof-a\n")
		s.publish(2, values)
		s.waitGeneration(2)
		Expect((<-answer).outcome).To(Equal(wire.Done), "a request in flight completes")
		r, err := s.pay(s.Entries[1], key, "moved")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.outcome).To(Equal(wire.NotRun))
		Expect(s.runs()["moved"]).To(Equal(1))
	})

	It("does not give one customer's answer to another", func() {
		size := twoOfEach
		size.Customers = 2
		s := startSite(example.RefundDesk, size)
		key := s.createKey(s.Entries[0])
		mine, err := s.pay(s.Entries[0], key, "mine")
		Expect(err).NotTo(HaveOccurred())
		s.Customers[0], s.Customers[1] = s.Customers[1], s.Customers[0]
		other, err := s.pay(s.Entries[0], key, "other")
		Expect(err).NotTo(HaveOccurred())
		Expect(other.body).NotTo(Equal(mine.body))
		Expect(other.body).To(ContainSubstring(`"id":"other"`))
	})
})

// payDelayed calls the service at an endpoint that answers 300 ms late, and returns when the call
// runs.
func (s *site) payDelayed(endpoint, key, id string) (answer chan reply) {
	GinkgoHelper()
	s.fault(standin.Fault{Kind: standin.FaultDelay, Target: endpoint, Milliseconds: 300})
	answer = make(chan reply, 1)
	inBackground(func() {
		r, _ := s.pay(s.Entries[0], key, id) // The outcome is checked instead.
		answer <- r
	})
	Eventually(func() int { return s.runs()[id] }, waitTimeout, "10ms").Should(Equal(1))
	return answer
}

var background sync.WaitGroup

// inBackground runs f concurrently with the test, which waits for it at its end.
func inBackground(f func()) {
	finished := make(chan struct{})
	DeferCleanup(func() { Eventually(finished, waitTimeout).Should(BeClosed()) })
	background.Go(func() {
		defer GinkgoRecover()
		defer close(finished)
		f()
	})
}

// auditTrails returns the audit trails of all processes.
func (s *site) auditTrails() string {
	all := ""
	for _, p := range s.all() {
		resp, err := http.Get("http://" + p.OperatorAddress + node.PathAudit)
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(resp.Body) // A truncated trail is read again by the caller.
		_ = resp.Body.Close()
		all += string(raw)
	}
	return all
}

// publish publishes a generation, and does not wait until it is adopted.
func (s *site) publish(generation uint64, values map[string][]byte) {
	GinkgoHelper()
	Expect(s.post(standin.PathPublish, standin.Bundle{Manifest: s.Pack(generation, "", values), Values: values})).To(Succeed())
}

// waitGeneration waits until every running process has adopted the generation.
func (s *site) waitGeneration(generation uint64) {
	GinkgoHelper()
	for _, p := range s.all() {
		if s.procs[p.Name] == nil {
			continue
		}
		Eventually(func() uint64 { return s.status(p).Version.Generation }, waitTimeout, "20ms").Should(Equal(generation), p.Name)
	}
}

var _ = Describe("configuration under failure", func() {
	It("is adopted through peers when the platform is down, and never reverts", func() {
		s := startSite(example.Archive, twoDomains)
		s.fault(standin.Fault{Kind: standin.FaultStale, Target: s.Domains[1], On: true})
		s.publish(2, s.Published())
		s.waitGeneration(2)

		s.fault(standin.Fault{Kind: standin.FaultDown, Target: s.Domains[0], On: true})
		restarted := s.Agents[len(s.Agents)-1]
		s.kill(restarted.Name)
		s.startDaemon(restarted)
		s.waitReady(restarted)
		s.waitGeneration(2)
		Consistently(func() uint64 { return s.status(restarted).Version.Generation }, time.Second).Should(BeEquivalentTo(2))

		s.publish(1, s.Published())
		s.fault(standin.Fault{Kind: standin.FaultStale, Target: s.Domains[1], On: false})
		s.fault(standin.Fault{Kind: standin.FaultDown, Target: s.Domains[0], On: false})
		Consistently(func() uint64 { return s.status(s.Entries[0]).Version.Generation }, time.Second).Should(BeEquivalentTo(2))
	})

	It("converges on one generation when two operators publish the same number", func() {
		s := startSite(example.Archive, twoDomains)
		one, other := s.Published(), s.Published()
		one["policy/one.ini"] = []byte("[policy]\npriority = 1\n")
		other["policy/two.ini"] = []byte("[policy]\npriority = 2\n")
		s.publish(2, one)
		s.publish(2, other)
		want := s.Pack(2, "", one).Version()
		if v := s.Pack(2, "", other).Version(); v.Newer(want) {
			want = v
		}
		for _, p := range s.all() {
			Eventually(func() any { return s.status(p).Version }, waitTimeout, "20ms").Should(Or(Equal(want)), p.Name)
		}
	})

	It("rejects an invalid generation and keeps the last valid one", func() {
		s := startSite(example.Archive, example.MinimalSize)
		values := s.Published()
		values["policy/archive.ini"] = []byte("[policy]\npriority = nonsense(\n")
		s.publish(2, values)
		Eventually(s.auditTrails, waitTimeout, "20ms").Should(ContainSubstring("config-refused"))
		Expect(s.status(s.Entries[0]).Version.Generation).To(BeEquivalentTo(1))
		s.publish(3, s.Published())
		s.waitGeneration(3)
	})
})

var _ = Describe("membership under failure", func() {
	It("declares a killed process dead, and a frozen one alive again when it continues", func() {
		s := startSite(example.Archive, twoOfEach)
		state := func(name string) func() member.State {
			return func() member.State {
				for _, m := range s.status(s.Entries[0]).Members {
					if m.Name == name {
						return m.State
					}
				}
				return -1
			}
		}
		dead, frozen := s.Agents[0].Name, s.Agents[1].Name
		s.kill(dead)
		s.signal(frozen, syscall.SIGSTOP)
		Eventually(state(dead), waitTimeout).Should(Equal(member.Dead))
		Eventually(state(frozen), waitTimeout).Should(Equal(member.Dead))
		s.signal(frozen, syscall.SIGCONT)
		Eventually(state(frozen), waitTimeout).Should(Equal(member.Alive))
	})
})
