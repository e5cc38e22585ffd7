// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func partKey(id string) Key { return PartKeyOf("m", id) }

// partEnd is the end of an endpoint during requests with some parts.
type partEnd struct {
	after     time.Duration // Since start.
	endpoint  string
	parts     []string
	knowledge Knowledge
}

func addEnds(b *History, ends ...partEnd) {
	for _, e := range ends {
		for _, id := range e.parts {
			b.Add(End{Key: partKey(id), Part: true, Endpoint: e.endpoint, Knowledge: e.knowledge, At: start.Add(e.after)}, time.Time{})
		}
	}
}

func assertPart(g *WithT, b *History, id string, after time.Duration, want Verdict) {
	g.THelper()
	v, _ := b.Judge(partKey(id), start.Add(after))
	g.Expect(v).To(Equal(want), id)
}

func TestAnEndCountsAgainstThePartThatExplainsMost(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name   string
		proven []string // Parts of requests that had completed before.
		ends   []partEnd
		at     time.Duration
		want   map[string]Verdict
	}{
		{"one end tells nothing", nil, []partEnd{{0, "a", []string{"bad", "own"}, NoKnownEnd}}, s, map[string]Verdict{"bad": Free, "own": Free}},
		{
			"two ends together", []string{"all"},
			[]partEnd{{0, "a", []string{"all", "bad"}, NoKnownEnd}, {s / 10, "b", []string{"all", "bad"}, NoKnownEnd}},
			s, map[string]Verdict{"bad": Held, "all": Free},
		},
		{
			"sent again after a while", []string{"all"},
			[]partEnd{{0, "a", []string{"all", "bad", "x"}, NoKnownEnd}, {4 * s, "b", []string{"all", "bad", "y"}, KnownEnd}},
			5 * s, map[string]Verdict{"bad": Held, "all": Free, "x": Free, "y": Free},
		},
		{
			"an unrelated end before", []string{"all"},
			[]partEnd{
				{0, "z", []string{"all", "w"}, NoKnownEnd}, {s, "a", []string{"all", "bad"}, NoKnownEnd},
				{5 * s, "b", []string{"all", "bad"}, KnownEnd},
			},
			6 * s, map[string]Verdict{"bad": Held, "all": Free, "w": Free},
		},
		{
			"two harmful parts", []string{"all"},
			[]partEnd{
				{0, "a", []string{"all", "bad"}, NoKnownEnd}, {s, "b", []string{"all", "worse"}, NoKnownEnd},
				{5 * s, "c", []string{"all", "bad"}, KnownEnd}, {6 * s, "d", []string{"all", "worse"}, KnownEnd},
			},
			7 * s, map[string]Verdict{"bad": Held, "worse": Held, "all": Free},
		},
		{
			"it was sound before", []string{"all", "bad"},
			[]partEnd{
				{0, "a", []string{"bad", "x"}, NoKnownEnd}, {4 * s, "b", []string{"bad", "y"}, KnownEnd}, {8 * s, "c", []string{"bad", "z"}, KnownEnd},
			},
			9 * s, map[string]Verdict{"bad": Held, "x": Free, "y": Free, "z": Free},
		},
		{
			"endpoints end by themselves", []string{"all"},
			[]partEnd{{0, "a", []string{"all", "x"}, NoKnownEnd}, {4 * s, "b", []string{"all", "y"}, KnownEnd}},
			5 * s, map[string]Verdict{"all": Free, "x": Free},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New()
			for _, id := range tc.proven {
				b.RecordSound(partKey(id), start)
			}
			addEnds(b, tc.ends...)
			for id, want := range tc.want {
				assertPart(g, b, id, tc.at, want)
			}
		})
	}
}

func TestAPartThatCompletesIsClearedAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := New()
	addEnds(b, partEnd{0, "a", []string{"x"}, NoKnownEnd}, partEnd{4 * time.Second, "b", []string{"x"}, KnownEnd})
	assertPart(g, b, "x", 5*time.Second, Held)
	g.Expect(b.RecordCompletion(partKey("x"))).To(BeTrue())
	assertPart(g, b, "x", 5*time.Second, Free)
}

// Guards against a caller with ever new parts, who displaces what is known of others.
func TestNewPartsDisplaceNeitherHeldNorProvenOnes(t *testing.T) {
	g := NewWithT(t)
	b := New()
	b.RecordSound(partKey("all"), start)
	addEnds(b, partEnd{0, "a", []string{"bad"}, NoKnownEnd}, partEnd{4 * time.Second, "b", []string{"bad"}, KnownEnd})
	for i := range 3 * maxProvenParts {
		at := start.Add(time.Duration(i) * time.Millisecond)
		b.RecordSound(partKey(fmt.Sprint(i)), at)
		if i%1000 == 0 { // The part in use completes each second.
			b.RecordSound(partKey("all"), at)
		}
	}
	for i := range 3 * maxKeys {
		addEnds(b, partEnd{5 * time.Second, "c", []string{fmt.Sprint("new", i)}, NoKnownEnd})
	}
	g.Expect(len(b.entries)).To(BeNumerically("<=", maxKeys))
	g.Expect(len(b.proven.current)).To(BeNumerically("<=", maxProvenParts))
	assertPart(g, b, "bad", 6*time.Second, Held)
	g.Expect(b.Suspicion(partKey("all"))).To(Equal(0))
}

// Simulated gateways that exchange what they know with delays, in any order, and restart.
const (
	simSeeds       = 40
	simGateways    = 4
	simEndpoints   = 16
	simStep        = 5 * time.Millisecond
	simTime        = 60 * time.Second
	simContact     = time.Second
	simMaxDelay    = 300 * time.Millisecond
	simRestartTime = 2500 * time.Millisecond
	simBadDelay    = 35 * time.Millisecond
	maxCrashes     = 5 // The users' bounds, as in the test of gateways in package platform.
	maxLateSends   = 3
)

type simRequest struct {
	gateway  int
	endpoint string
	bad      bool
	repeated bool
	keys     []Key // The whole request first.
	known    []Knowledge
	endsAt   time.Time
}

type simMessage struct {
	from, to int
	at       time.Time
	end      End
}

// sim is a site in simulated time, all of whose choices come from a seed.
type sim struct {
	random    *rand.Rand
	restarts  int // Mean number of steps between two restarts of gateways.
	now       time.Time
	histories []*History
	endpoints []string // By slot; "" while it is down.
	backAt    []time.Time
	lastID    int
	running   []simRequest
	messages  []simMessage
	crashes   []time.Time
	badSends  []time.Time
	refusedAt []time.Time // Sound requests that were refused.
	soundAt   []time.Time // Sound requests.
}

func newSim(seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 0)), restarts: 200 << (2 * (seed % 4)), now: start, endpoints: make([]string, simEndpoints), backAt: make([]time.Time, simEndpoints)}
	for range simGateways {
		s.histories = append(s.histories, New())
	}
	return s
}

// send sends what a gateway has not sent yet to all others.
func (s *sim) send(from int) {
	b := s.histories[from]
	if !b.HasUnsent() {
		return
	}
	for _, e := range b.TakeNextToSend(100, s.now) {
		for to := range simGateways {
			if to != from {
				s.messages = append(s.messages, simMessage{from, to, s.now.Add(time.Duration(s.random.Int64N(int64(simMaxDelay)))), e})
			}
		}
	}
}

func (s *sim) deliver() {
	s.messages = slices.DeleteFunc(s.messages, func(m simMessage) bool {
		if m.at.After(s.now) {
			return false
		}
		s.histories[m.to].Add(m.end, s.now)
		for _, k := range s.histories[m.to].ProvenParts([]End{m.end}) {
			s.histories[m.from].MarkSound(k)
		}
		return true
	})
}

// finish completes requests, and crashes the endpoints of bad ones.
func (s *sim) finish() {
	crashed := map[string]bool{}
	for _, r := range s.running {
		if r.bad && !r.endsAt.After(s.now) {
			crashed[r.endpoint] = true
		}
	}
	for slot, id := range s.endpoints {
		if crashed[id] {
			s.endpoints[slot], s.backAt[slot] = "", s.now.Add(simRestartTime)
			s.crashes = append(s.crashes, s.now)
		}
	}
	var again []simRequest // Sent again by their gateways.
	s.running = slices.DeleteFunc(s.running, func(r simRequest) bool {
		b := s.histories[r.gateway]
		switch {
		case crashed[r.endpoint]:
			for i, k := range r.keys {
				b.Add(End{Key: k, Part: i > 0, Endpoint: r.endpoint, Knowledge: r.known[i], At: s.now}, time.Time{})
			}
			if !r.repeated {
				r.repeated, r.endsAt = true, s.now.Add(simBadDelay)
				again = append(again, r)
			}
		case !r.endsAt.After(s.now):
			for i, k := range r.keys {
				if i > 0 {
					b.RecordSound(k, s.now)
				}
				b.RecordCompletion(k)
			}
		default:
			return false
		}
		return true
	})
	for _, r := range again {
		s.start(r)
	}
}

// arrive judges and sends one request.
func (s *sim) arrive(bad bool) {
	s.lastID++
	r := simRequest{gateway: s.random.IntN(simGateways), bad: bad, endsAt: s.now.Add(20*time.Millisecond + time.Duration(s.random.Int64N(int64(600*time.Millisecond))))}
	r.keys = []Key{KeyOf("POST", "h", "/p", "c", fmt.Append(nil, s.lastID)), partKey("all"), partKey(fmt.Sprint("doc", s.random.IntN(30)))}
	if bad {
		r.keys = append(r.keys, partKey("bad"))
		r.endsAt = s.now.Add(simBadDelay)
	} else {
		s.soundAt = append(s.soundAt, s.now)
	}
	s.start(r)
}

// start judges a request and sends it to an endpoint that is up.
func (s *sim) start(r simRequest) {
	b := s.histories[r.gateway]
	j := b.JudgeRequest(slices.Values(r.keys), s.now)
	isOwner := j.MayTry && int(j.Keys[0][0])%simGateways == r.gateway
	if j.Verdict != Free && !(isOwner && b.BeginTrial(j.Keys[0], s.now, r.endsAt)) {
		if !r.bad {
			s.refusedAt = append(s.refusedAt, s.now)
		}
		return
	}
	r.known = nil
	for _, k := range r.keys {
		knowledge := b.KnowledgeOf(k, s.now)
		if slices.Contains(j.Keys, k) {
			knowledge = OnTrial
		}
		r.known = append(r.known, knowledge)
	}
	for _, slot := range s.random.Perm(simEndpoints) {
		if r.endpoint = s.endpoints[slot]; r.endpoint != "" {
			break
		}
	}
	if r.endpoint == "" {
		return
	}
	if r.bad {
		s.badSends = append(s.badSends, s.now)
	}
	s.running = append(s.running, r)
}

func (s *sim) run(badFrom time.Duration) {
	for s.now = start; s.now.Before(start.Add(simTime)); s.now = s.now.Add(simStep) {
		for slot, id := range s.endpoints {
			if id == "" && !s.now.Before(s.backAt[slot]) {
				s.lastID++
				s.endpoints[slot] = fmt.Sprint("e", s.lastID)
			}
		}
		s.deliver()
		s.finish()
		if s.random.IntN(5) == 0 {
			s.arrive(s.now.Sub(start) > badFrom && s.random.IntN(8) == 0)
		}
		if s.random.IntN(s.restarts) == 0 { // A gateway restarts, and another one tells it what it knows.
			n := s.random.IntN(simGateways)
			s.histories[n] = New()
			for _, e := range s.histories[(n+1)%simGateways].MostSevere(12) {
				s.histories[n].Add(e, s.now)
			}
		}
		for n := range s.histories {
			s.send(n)
		}
	}
}

func countFrom(list []time.Time, from time.Time) (n int) {
	for _, at := range list {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// Guards against a part that goes on crashing endpoints, and against refusals of requests without it,
// whatever the order of requests and messages, and although gateways restart.
func TestAHarmfulPartIsHeldInRandomHistories(t *testing.T) {
	worst, refused, sound := 0, 0, 0
	for seed := range uint64(simSeeds) {
		s := newSim(seed)
		s.run(time.Duration(seed%5) * time.Second)
		g := NewWithT(t)
		g.Expect(s.crashes).NotTo(BeEmpty())
		last := s.crashes[min(len(s.crashes), maxCrashes)-1]
		late := countFrom(s.badSends, last.Add(simContact))
		worst = max(worst, len(s.crashes))
		if len(s.crashes) >= maxCrashes {
			g.Expect(late).To(BeNumerically("<=", maxLateSends), "seed %d: %d crashes", seed, len(s.crashes))
		}
		n, of := countFrom(s.refusedAt, last.Add(2*simContact)), countFrom(s.soundAt, last.Add(2*simContact))
		g.Expect(float64(n)).To(BeNumerically("<=", 0.05*float64(of)), "seed %d: %d of %d sound requests refused", seed, n, of)
		refused, sound = refused+n, sound+of
	}
	t.Logf("%d crashes in the worst history, %d of %d sound requests refused after the crashes", worst, refused, sound)
}

// Guards against a trial that ends an endpoint with a harmful part and counts against a harmless one that
// could not be told from it.
func TestATrialConcernsOnePart(t *testing.T) {
	g := NewWithT(t)
	b := New()
	addEnds(b, partEnd{0, "a", []string{"all", "bad"}, NoKnownEnd}, partEnd{time.Second, "b", []string{"all", "bad"}, NoKnownEnd})
	judge := func(after time.Duration, ids ...string) Judgement {
		var keys []Key
		for _, id := range ids {
			keys = append(keys, partKey(id))
		}
		return b.JudgeRequest(slices.Values(keys), start.Add(after))
	}
	g.Expect(judge(2*time.Second, "all").Verdict).To(Equal(Held))
	due := time.Second + sameCauseWindow
	g.Expect(judge(due, "all").MayTry).To(BeTrue())
	g.Expect(judge(due, "all", "bad").MayTry).To(BeFalse())
	g.Expect(judge(due, "all", "bad").Verdict).To(Equal(Trial))
	g.Expect(judge(due+soleTrialTime, "all", "bad").MayTry).To(BeTrue(), "no request has only one of them")
	b.RecordCompletion(partKey("all"))
	g.Expect(judge(due, "all", "bad").MayTry).To(BeTrue())
	g.Expect(judge(due, "all").Verdict).To(Equal(Free))
}

// Guards against a long hold of a part that all requests share and that has not completed yet, while two
// others end endpoints.
func TestTheFirstHoldOfAPartIsShort(t *testing.T) {
	g := NewWithT(t)
	b := New()
	const s = time.Second
	addEnds(b, partEnd{0, "a", []string{"all", "bad"}, NoKnownEnd}, partEnd{s, "b", []string{"all", "worse"}, NoKnownEnd},
		partEnd{5 * s, "c", []string{"all", "bad"}, KnownEnd}, partEnd{6 * s, "d", []string{"all", "worse"}, KnownEnd})
	assertPart(g, b, "all", 7*s, Held)
	assertPart(g, b, "all", 6*s+initialPartHold, Trial)
	b.RecordCompletion(partKey("all"))
	assertPart(g, b, "all", 7*s, Free)
	assertPart(g, b, "bad", 7*s, Held)
	assertPart(g, b, "worse", 7*s, Held)
	addEnds(b, partEnd{12 * s, "e", []string{"all", "bad"}, OnTrial})
	assertPart(g, b, "bad", 12*s+initialHold, Held)
}
