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

// process is a gateway of a played fleet.
type process struct {
	*Roster
	dead bool
	sent int // Messages, greetings and answers.
	told int // Gateways named in them.
}

// played is a fleet in scripted time. Messages arrive at once or are lost.
type played struct {
	random *rand.Rand
	list   []*process
	by     map[string]*process
	seeds  []string
	now    time.Time
	loss   float64
	cut    string // A failure domain that is cut off; "" for none.
}

func play(gateways, domains int) *played {
	p := &played{random: rand.New(rand.NewPCG(1, uint64(gateways))), by: map[string]*process{}, now: origin}
	for i := range gateways {
		g := Gateway{Address: fmt.Sprintf("10.%d.0.%d:7000", i%domains, i/domains), Domain: fmt.Sprintf("domain-%02d", i%domains)}
		if i < domains {
			p.seeds = append(p.seeds, g.Address)
		}
		proc := &process{Roster: New(g, nil, p.now)}
		p.list, p.by[g.Address] = append(p.list, proc), proc
	}
	for _, proc := range p.list {
		proc.seeds = p.seeds
	}
	return p
}

// run plays so many rounds, in each of which the gateways greet in an order drawn anew.
func (p *played) run(rounds int) {
	for range rounds {
		p.random.Shuffle(len(p.list), func(i, j int) { p.list[i], p.list[j] = p.list[j], p.list[i] })
		for _, from := range p.list {
			p.now = p.now.Add(HelloInterval / time.Duration(len(p.list)))
			if !from.dead {
				p.greet(from)
			}
		}
	}
}

func (p *played) greet(from *process) {
	from.Expire(p.now)
	for _, greeting := range from.NextHellos(p.now, p.random.IntN) {
		from.sent++
		to := p.by[greeting.Address]
		if !p.arrives(from, to) {
			continue
		}
		to.Receive(from.self, p.now)
		to.sent++
		var told []Member
		if greeting.QueryDomain != "" {
			told = to.AnswerQuery(from.self.Domain, greeting.QueryDomain, p.now)
			to.told += len(told)
		}
		if p.arrives(to, from) {
			from.Receive(to.self, p.now)
			from.MergeMembers(told, p.now)
		}
	}
}

func (p *played) arrives(from, to *process) bool {
	apart := p.cut != "" && (from.self.Domain == p.cut) != (to.self.Domain == p.cut)
	return !to.dead && !apart && p.random.Float64() >= p.loss
}

// known returns the least and the greatest number of other gateways that a living one of
// some has as there.
func (p *played) known(some func(*process) bool) (least, most int) {
	least = len(p.list)
	for _, proc := range p.list {
		if proc.dead || !some(proc) {
			continue
		}
		n := len(proc.Alive(p.now))
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

func all(*process) bool { return true }

// expectKnown expects that each living gateway has so many others as there.
func (p *played) expectKnown(g *WithT, n int) {
	g.THelper()
	least, most := p.known(all)
	g.Expect([]int{least, most}).To(Equal([]int{n, n}))
}

// rounds returns how many rounds fit into a time.
func rounds(d time.Duration) int { return int(d / HelloInterval) }

// What a gateway sends must not grow with the number of gateways: greeting all others made
// four fifths of the messages of a fleet of five hundred.
func TestTheTalkOfAGatewayDoesNotGrowWithTheFleet(t *testing.T) {
	const watched = 8
	perRound := func(gateways int) (mean float64) {
		p := play(gateways, 5)
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

// The busiest gateway is a hub: it hears each gateway of its failure domain once a round
// and names all of them to a third of these.
func TestAHubBearsItsFailureDomain(t *testing.T) {
	const watched = 8
	g := NewWithT(t)
	p := play(400, 2)
	p.run(rounds(ExpireAfter) + 2)
	for _, proc := range p.list {
		proc.sent, proc.told = 0, 0
	}
	p.run(watched)
	sent, told := 0, 0
	for _, proc := range p.list {
		sent, told = max(sent, proc.sent), max(told, proc.told)
	}
	t.Logf("the busiest of 400 in 2 domains: %.0f messages and %.0f gateways named a second",
		float64(sent)/watched/HelloInterval.Seconds(), float64(told)/watched/HelloInterval.Seconds())
	g.Expect(float64(sent) / watched).To(BeNumerically("<", 1.5*200))
	g.Expect(float64(told) / watched).To(BeNumerically("<", 200/Hubs*2*2*200))
}

func TestAllKnowAllSoonAfterAStart(t *testing.T) {
	for _, tc := range []struct{ gateways, domains int }{{2, 1}, {7, 3}, {32, 4}, {100, 5}, {126, 21}} {
		t.Run(fmt.Sprintf("%d in %d domains", tc.gateways, tc.domains), func(t *testing.T) {
			p := play(tc.gateways, tc.domains)
			p.run(4 + tc.domains)
			p.expectKnown(NewWithT(t), tc.gateways-1)
		})
	}
}

func TestNobodyIsForgottenWhereMessagesAreLost(t *testing.T) {
	g := NewWithT(t)
	p := play(100, 5)
	p.run(15)
	p.loss = 0.02
	for range 40 {
		p.run(1)
		p.expectKnown(g, 99)
	}
}

// Half of all gateways end at one moment, hubs and seeds among them.
func TestThoseThatEndTogetherAreForgotten(t *testing.T) {
	g := NewWithT(t)
	p := play(100, 5)
	p.run(15)
	left := 0
	for _, proc := range p.list {
		proc.dead = slices.Contains(p.seeds, proc.self.Address) || p.random.IntN(2) == 0 || isFirst(p, proc)
		if !proc.dead {
			left++
		}
	}
	p.run(rounds(ExpireAfter) + 2)
	near := func(proc *process) (n int) { return len(within(proc.there(p.now), proc.self.Domain)) }
	for _, proc := range p.list {
		if !proc.dead {
			g.Expect(near(proc)).To(Equal(p.living(proc.self.Domain)-1), "of the own failure domain")
		}
	}
	p.run(2*5 + 3) // Those of other domains are told of in turn.
	p.expectKnown(g, left-1)
}

// isFirst reports whether a gateway is one of the first of its failure domain.
func isFirst(p *played, proc *process) bool {
	before := 0
	for _, other := range p.list {
		if other.self.Domain == proc.self.Domain && other.self.Address < proc.self.Address {
			before++
		}
	}
	return before < Hubs
}

func (p *played) living(domain string) (n int) {
	for _, proc := range p.list {
		if !proc.dead && proc.self.Domain == domain {
			n++
		}
	}
	return n
}

func TestAFailureDomainThatWasCutOffIsFoundAgain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cut   time.Duration
		seeds bool
	}{
		{"for less than it counts as there", 4 * time.Second, true},
		{"for longer", 20 * time.Second, true},
		{"for longer, and the seeds have ended", 20 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			p := play(60, 5)
			p.run(20)
			left := len(p.list)
			for _, proc := range p.list {
				if !tc.seeds && slices.Contains(p.seeds, proc.self.Address) {
					proc.dead = true
					left--
				}
			}
			p.run(30)
			p.cut = "domain-02"
			p.run(rounds(tc.cut))
			inside := func(proc *process) bool { return proc.self.Domain == p.cut }
			if least, _ := p.known(inside); tc.cut > ExpireAfter+2*5*HelloInterval+3*HelloInterval {
				g.Expect(least).To(Equal(p.living(p.cut) - 1))
			}
			p.cut = ""
			p.run(2*farEvery + 5)
			p.expectKnown(g, left-1)
		})
	}
}

// While all hubs of a failure domain have just ended, the others still hear of somebody:
// one that hears nobody takes itself for cut off and turns callers away.
func TestNobodyIsAloneWhenTheHubsEnd(t *testing.T) {
	g := NewWithT(t)
	p := play(60, 5)
	p.run(20)
	for _, proc := range p.list {
		proc.dead = isFirst(p, proc)
	}
	for range rounds(ExpireAfter) {
		p.run(1)
		for _, proc := range p.list {
			if !proc.dead {
				g.Expect(p.now.Sub(proc.LastReceived())).To(BeNumerically("<", RecentFor))
			}
		}
	}
}

func TestOneThatStartsAnewIsNew(t *testing.T) {
	g := NewWithT(t)
	r := New(Gateway{Address: "a", Domain: "d"}, nil, origin)
	b := Gateway{Address: "b", Domain: "d", StartedAt: 1}
	g.Expect(r.Receive(b, origin)).To(BeTrue())
	g.Expect(r.Receive(b, origin)).To(BeFalse())
	r.MergeMembers([]Member{{Gateway: Gateway{Address: "b", Domain: "d"}}}, origin.Add(time.Second))
	g.Expect(r.Receive(b, origin.Add(time.Second))).To(BeFalse(), "hearsay tells no life")
	b.StartedAt = 2
	g.Expect(r.Receive(b, origin.Add(2*time.Second))).To(BeTrue())
}

func TestTheNewestWordOnAGatewayCounts(t *testing.T) {
	g := NewWithT(t)
	r := New(Gateway{Address: "a", Domain: "d"}, nil, origin)
	now := origin.Add(3 * time.Second)
	r.Receive(Gateway{Address: "b", Domain: "d", Stopping: true}, now)
	told := func(age time.Duration) []Member {
		return []Member{{Gateway: Gateway{Address: "b", Domain: "d"}, Age: age}}
	}
	r.MergeMembers(told(time.Second), now)
	g.Expect(r.Alive(now)).To(BeEmpty(), "an older word than that it leaves")
	r.MergeMembers(told(time.Second), now.Add(2*time.Second))
	g.Expect(r.Alive(now.Add(2*time.Second))).To(HaveLen(1), "it is back")
	r.MergeMembers([]Member{{Gateway: Gateway{Address: "a", Domain: "d"}}, {Gateway: Gateway{Address: "c", Domain: "d"}, Age: ExpireAfter + 1}, {Gateway: Gateway{Address: "c", Domain: "d"}, Age: -1}}, now)
	g.Expect(r.Alive(now.Add(2*time.Second))).To(HaveLen(1), "not itself, and nobody on a word that is too old or of the future")
}

func TestASampleNamesEachFailureDomain(t *testing.T) {
	g := NewWithT(t)
	p := play(100, 4)
	p.run(20)
	count := map[string]int{}
	drawn := map[string]bool{}
	for range 100 {
		clear(count)
		for _, s := range p.list[0].Sample(p.now, p.random.IntN) {
			count[s.Domain]++
			drawn[s.Address] = true
		}
		g.Expect(count).To(HaveLen(4))
		for domain, n := range count {
			want := sampleFar
			if domain == p.list[0].self.Domain {
				want = sampleNear
			}
			g.Expect(n).To(Equal(want))
		}
	}
	g.Expect(drawn).To(HaveLen(99), "drawn anew each time")
}

func TestSomeAreDrawnAnew(t *testing.T) {
	g := NewWithT(t)
	list := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	seen := map[string]bool{}
	for range 200 {
		drawn := RandomSubset(list, 3, rand.IntN)
		g.Expect(drawn).To(HaveLen(3))
		for _, a := range drawn {
			seen[a] = true
			g.Expect(list).To(ContainElement(a))
		}
		g.Expect(drawn[0]).NotTo(Equal(drawn[1]))
	}
	g.Expect(seen).To(HaveLen(len(list)))
	g.Expect(RandomSubset(list[:2], 3, rand.IntN)).To(ConsistOf("a", "b"))
	g.Expect(RandomSubset([]string(nil), 3, rand.IntN)).To(BeEmpty())
}
