// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var origin = time.Unix(1_800_000_000, 0)

// process is a gateway of a simulated fleet.
type process struct {
	*Roster
	stopped  bool
	sent     int // Messages: hellos and answers.
	reported int // Gateways reported in the answers.
}

// simulation is a fleet in simulated time. Messages arrive at once or are lost.
type simulation struct {
	random      *rand.Rand
	list        []*process
	byAddress   map[string]*process
	seeds       []string
	now         time.Time
	loss        float64
	partitioned string // Failure domain that is partitioned off; "" for none.
}

func newSimulation(gateways, domains int) *simulation {
	p := &simulation{random: rand.New(rand.NewPCG(1, uint64(gateways))), byAddress: map[string]*process{}, now: origin}
	for i := range gateways {
		g := Gateway{Address: fmt.Sprintf("10.%d.0.%d:7000", i%domains, i/domains), Domain: fmt.Sprintf("domain-%02d", i%domains)}
		if i < domains {
			p.seeds = append(p.seeds, g.Address)
		}
		proc := &process{Roster: New(g, nil, p.now)}
		p.list, p.byAddress[g.Address] = append(p.list, proc), proc
	}
	for _, proc := range p.list {
		proc.seeds = p.seeds
	}
	return p
}

// run simulates rounds in each of which the gateways send hellos in random order.
func (p *simulation) run(rounds int) {
	for range rounds {
		p.random.Shuffle(len(p.list), func(i, j int) { p.list[i], p.list[j] = p.list[j], p.list[i] })
		for _, from := range p.list {
			p.now = p.now.Add(HelloInterval / time.Duration(len(p.list)))
			if !from.stopped {
				p.sendHellos(from)
			}
		}
	}
}

func (p *simulation) sendHellos(from *process) {
	from.Expire(p.now)
	for _, hello := range from.NextHellos(p.now, p.random.IntN) {
		from.sent++
		to := p.byAddress[hello.Address]
		if !p.arrives(from, to) {
			continue
		}
		to.Receive(from.self, p.now)
		to.sent++
		var reported []Member
		if hello.QueryDomain != "" {
			reported = to.AnswerQuery(from.self.Domain, hello.QueryDomain, p.now)
			to.reported += len(reported)
		}
		if p.arrives(to, from) {
			from.Receive(to.self, p.now)
			from.MergeMembers(reported, p.now)
		}
	}
}

func (p *simulation) arrives(from, to *process) bool {
	separated := p.partitioned != "" && (from.self.Domain == p.partitioned) != (to.self.Domain == p.partitioned)
	return !to.stopped && !separated && p.random.Float64() >= p.loss
}

// aliveRange returns the minimum and maximum number of other gateways that count as alive, over
// the selected gateways that run.
func (p *simulation) aliveRange(selected func(*process) bool) (fewest, most int) {
	fewest = len(p.list)
	for _, proc := range p.list {
		if proc.stopped || !selected(proc) {
			continue
		}
		n := len(proc.Alive(p.now))
		fewest, most = min(fewest, n), max(most, n)
	}
	return fewest, most
}

func all(*process) bool { return true }

// expectAlive expects that n other gateways count as alive at each gateway that runs.
func (p *simulation) expectAlive(g *WithT, n int) {
	g.THelper()
	fewest, most := p.aliveRange(all)
	g.Expect([]int{fewest, most}).To(Equal([]int{n, n}))
}

// rounds returns how many rounds fit into a time.
func rounds(d time.Duration) int { return int(d / HelloInterval) }

// The messages of a gateway must not grow with the number of gateways: when each sent hellos to
// all others, these were four fifths of the messages of a fleet of five hundred.
func TestMessagesPerGatewayDoNotGrowWithTheFleet(t *testing.T) {
	const watched = 8
	perRound := func(gateways int) (mean float64) {
		p := newSimulation(gateways, 5)
		p.run(rounds(ExpireAfter) + 8)
		for _, proc := range p.list {
			proc.sent = 0
		}
		p.run(watched)
		for _, proc := range p.list {
			mean += float64(proc.sent) / watched / float64(gateways)
		}
		return mean
	}
	g := NewWithT(t)
	small, large := perRound(40), perRound(160)
	t.Logf("messages a round and gateway: %.1f of 40, %.1f of 160", small, large)
	g.Expect(large).To(BeNumerically("<", 1.2*small))
	g.Expect(large).To(BeNumerically("<", 15))
}

// The busiest gateway is a hub: it receives a hello from each gateway of its failure domain once
// per round, and reports all of them to a third of these.
func TestLoadOfAHubIsBounded(t *testing.T) {
	const watched = 8
	g := NewWithT(t)
	p := newSimulation(400, 2)
	p.run(rounds(ExpireAfter) + 2)
	for _, proc := range p.list {
		proc.sent, proc.reported = 0, 0
	}
	p.run(watched)
	sent, reported := 0, 0
	for _, proc := range p.list {
		sent, reported = max(sent, proc.sent), max(reported, proc.reported)
	}
	t.Logf("the busiest of 400 in 2 domains: %.0f messages and %.0f gateways named a second",
		float64(sent)/watched/HelloInterval.Seconds(), float64(reported)/watched/HelloInterval.Seconds())
	g.Expect(float64(sent) / watched).To(BeNumerically("<", 1.5*200))
	g.Expect(float64(reported) / watched).To(BeNumerically("<", 200/Hubs*2*2*200))
}

func TestAllGatewaysKnowEachOtherSoonAfterAStart(t *testing.T) {
	for _, tc := range []struct{ gateways, domains int }{{2, 1}, {7, 3}, {32, 4}, {100, 5}, {126, 21}} {
		t.Run(fmt.Sprintf("%d in %d domains", tc.gateways, tc.domains), func(t *testing.T) {
			p := newSimulation(tc.gateways, tc.domains)
			p.run(4 + tc.domains)
			p.expectAlive(NewWithT(t), tc.gateways-1)
		})
	}
}

func TestNoGatewayExpiresWhileSomeMessagesAreLost(t *testing.T) {
	g := NewWithT(t)
	p := newSimulation(100, 5)
	p.run(15)
	p.loss = 0.02
	for range 40 {
		p.run(1)
		p.expectAlive(g, 99)
	}
}

// Half of all gateways end at the same time, including hubs and seeds.
func TestGatewaysThatEndTogetherExpire(t *testing.T) {
	g := NewWithT(t)
	p := newSimulation(100, 5)
	p.run(15)
	running := 0
	for _, proc := range p.list {
		proc.stopped = slices.Contains(p.seeds, proc.self.Address) || p.random.IntN(2) == 0 || isLowest(p, proc)
		if !proc.stopped {
			running++
		}
	}
	p.run(rounds(ExpireAfter) + 2)
	aliveInOwnDomain := func(proc *process) (n int) { return len(inDomain(proc.aliveEntries(p.now), proc.self.Domain)) }
	for _, proc := range p.list {
		if !proc.stopped {
			g.Expect(aliveInOwnDomain(proc)).To(Equal(p.aliveIn(proc.self.Domain)-1), "of the own failure domain")
		}
	}
	p.run(2*5 + 3) // Other domains are queried in turn.
	p.expectAlive(g, running-1)
}

// isLowest reports whether a gateway is one of the first Hubs of its failure domain by address.
func isLowest(p *simulation, proc *process) bool {
	before := 0
	for _, other := range p.list {
		if other.self.Domain == proc.self.Domain && other.self.Address < proc.self.Address {
			before++
		}
	}
	return before < Hubs
}

func (p *simulation) aliveIn(domain string) (n int) {
	for _, proc := range p.list {
		if !proc.stopped && proc.self.Domain == domain {
			n++
		}
	}
	return n
}

func TestAPartitionedFailureDomainRejoins(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cut   time.Duration
		seeds bool
	}{
		{"for less than the expiry time", 4 * time.Second, true},
		{"for longer", 20 * time.Second, true},
		{"for longer, and the seeds have ended", 20 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			p := newSimulation(60, 5)
			p.run(20)
			running := len(p.list)
			for _, proc := range p.list {
				if !tc.seeds && slices.Contains(p.seeds, proc.self.Address) {
					proc.stopped = true
					running--
				}
			}
			p.run(30)
			p.partitioned = "domain-02"
			p.run(rounds(tc.cut))
			inside := func(proc *process) bool { return proc.self.Domain == p.partitioned }
			if fewest, _ := p.aliveRange(inside); tc.cut > ExpireAfter+2*5*HelloInterval+3*HelloInterval {
				g.Expect(fewest).To(Equal(p.aliveIn(p.partitioned) - 1))
			}
			p.partitioned = ""
			p.run(2*remoteEveryRounds + 5)
			p.expectAlive(g, running-1)
		})
	}
}

// When all hubs of a failure domain have just ended, the others must still receive messages: a
// gateway without any assumes that it is partitioned off and rejects callers.
func TestNoGatewayIsIsolatedWhenTheHubsEnd(t *testing.T) {
	g := NewWithT(t)
	p := newSimulation(60, 5)
	p.run(20)
	for _, proc := range p.list {
		proc.stopped = isLowest(p, proc)
	}
	for range rounds(ExpireAfter) {
		p.run(1)
		for _, proc := range p.list {
			if !proc.stopped {
				g.Expect(p.now.Sub(proc.LastReceived())).To(BeNumerically("<", RecentFor))
			}
		}
	}
}

func TestARestartedGatewayIsNew(t *testing.T) {
	g := NewWithT(t)
	r := New(Gateway{Address: "a", Domain: "d"}, nil, origin)
	b := Gateway{Address: "b", Domain: "d", StartedAt: 1}
	g.Expect(r.Receive(b, origin)).To(BeTrue())
	g.Expect(r.Receive(b, origin)).To(BeFalse())
	r.MergeMembers([]Member{{Gateway: Gateway{Address: "b", Domain: "d"}}}, origin.Add(time.Second))
	g.Expect(r.Receive(b, origin.Add(time.Second))).To(BeFalse(), "reports of others do not change StartedAt")
	b.StartedAt = 2
	g.Expect(r.Receive(b, origin.Add(2*time.Second))).To(BeTrue())
}

func TestTheNewestReportOnAGatewayCounts(t *testing.T) {
	g := NewWithT(t)
	r := New(Gateway{Address: "a", Domain: "d"}, nil, origin)
	now := origin.Add(3 * time.Second)
	r.Receive(Gateway{Address: "b", Domain: "d", Leaving: true}, now)
	reported := func(age time.Duration) []Member {
		return []Member{{Gateway: Gateway{Address: "b", Domain: "d"}, Age: age}}
	}
	r.MergeMembers(reported(time.Second), now)
	g.Expect(r.Alive(now)).To(BeEmpty(), "the report is older than the message that it stops")
	r.MergeMembers(reported(time.Second), now.Add(2*time.Second))
	g.Expect(r.Alive(now.Add(2*time.Second))).To(HaveLen(1), "it is back")
	r.MergeMembers([]Member{{Gateway: Gateway{Address: "a", Domain: "d"}}, {Gateway: Gateway{Address: "c", Domain: "d"}, Age: ExpireAfter + 1}, {Gateway: Gateway{Address: "c", Domain: "d"}, Age: -1}}, now)
	g.Expect(r.Alive(now.Add(2*time.Second))).To(HaveLen(1), "neither itself, nor a gateway by a report that is too old or from the future")
}

func TestASampleNamesEachFailureDomain(t *testing.T) {
	g := NewWithT(t)
	p := newSimulation(100, 4)
	p.run(20)
	count := map[string]int{}
	sampled := map[string]bool{}
	for range 100 {
		clear(count)
		for _, s := range p.list[0].Sample(p.now, p.random.IntN) {
			count[s.Domain]++
			sampled[s.Address] = true
		}
		g.Expect(count).To(HaveLen(4))
		for domain, n := range count {
			want := sampleOtherDomain
			if domain == p.list[0].self.Domain {
				want = sampleOwnDomain
			}
			g.Expect(n).To(Equal(want))
		}
	}
	g.Expect(sampled).To(HaveLen(99), "each sample is random")
}

func TestRandomSubset(t *testing.T) {
	g := NewWithT(t)
	list := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	seen := map[string]bool{}
	for range 200 {
		subset := RandomSubset(list, 3, rand.IntN)
		g.Expect(subset).To(HaveLen(3))
		for _, a := range subset {
			seen[a] = true
			g.Expect(list).To(ContainElement(a))
		}
		g.Expect(subset[0]).NotTo(Equal(subset[1]))
	}
	g.Expect(seen).To(HaveLen(len(list)))
	g.Expect(RandomSubset(list[:2], 3, rand.IntN)).To(ConsistOf("a", "b"))
	g.Expect(RandomSubset([]string(nil), 3, rand.IntN)).To(BeEmpty())
}
