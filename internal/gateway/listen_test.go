// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// station is a gateway that others can listen to.
type station struct {
	*PeerExchange
	view *follow.View
}

func newStation(t *testing.T, life int64) station {
	view := follow.NewView()
	g, closeGateway := New(Config{Domain: "a"}, Codec{}, view, zap.NewNop(), metrics.NewRegistry())
	t.Cleanup(closeGateway)
	n, closeNeighbours := NewPeerExchange(PeerExchangeConfig{Name: "g", Domain: "a", Decode: func(raw []byte) (*fleet.Config, error) {
		return configOf(uint64(len(raw))), nil
	}}, g, nil, zap.NewNop())
	t.Cleanup(closeNeighbours)
	n.life = life
	srv := httptest.NewServer(n.Handler())
	t.Cleanup(srv.Close)
	s := station{n, view}
	s.moveTo(strings.TrimPrefix(srv.URL, "http://"))
	return s
}

// withSocket gives the gateway a socket for datagrams.
func (s station) withSocket(t *testing.T) {
	socket, closeSocket, err := peers.Listen("127.0.0.1:0", zap.NewNop())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeSocket)
	s.socket = socket
}

// publish has the gateway know a version and endpoints, all of some revision at most.
func (s station) publish(version, at uint64, endpoints ...fleet.Endpoint) {
	s.view.Replace(follow.Snapshot{Config: configOf(version), Endpoints: endpoints, At: at}, time.Now(), false)
}

// moveTo gives the gateway an address; it knows no others then.
func (s station) moveTo(address string) {
	s.self = address
	s.roster = roster.New(roster.Gateway{Address: address, Domain: s.domain}, s.seeds, s.started)
}

// configOf is a configuration whose text is as long as its version is high.
func configOf(version uint64) *fleet.Config {
	return fleet.NewConfig(version, nil, nil, nil, fleet.Limits{}).WithRaw([]byte(strings.Repeat("x", int(version))))
}

func endpointAt(id string, revision uint64) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: "s", Address: id + ":1", Revision: revision, CreatedRevision: revision}
}

func hello(s station, domain string, blind bool) peers.Hello {
	return peers.Hello{Name: "g", Address: s.self, Domain: domain, StoreUnreachable: blind}
}

func TestAGatewayListensToOneThatReads(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	reader, listener := newStation(t, 7), newStation(t, 9)
	listener.hear(hello(reader, "a", false))
	reader.publish(3, 6, endpointAt("one", 5), endpointAt("two", 6))
	ids := func() (list []string) {
		for id := range listener.view.State().Endpoints {
			list = append(list, id)
		}
		return list
	}

	g.Expect(listener.FollowPeers(ctx)).To(Succeed())
	g.Expect(listener.view.State().Config.Version()).To(BeEquivalentTo(3))
	g.Expect(ids()).To(ConsistOf("one", "two"))
	g.Expect(listener.view.Age(time.Now())).To(BeNumerically(">=", reader.view.Age(time.Now().Add(-time.Millisecond))))

	// The call is held until something changes, and only that is told.
	var held errgroup.Group
	held.Go(func() error { return listener.FollowPeers(ctx) })
	reader.view.Apply(follow.Changes{Config: configOf(4), Removals: []follow.Removal{{Name: "one", Revision: 8}}, Endpoints: []fleet.Endpoint{endpointAt("three", 7)}, At: 8}, time.Now(), false)
	g.Expect(held.Wait()).To(Succeed())
	g.Expect(listener.view.State().Config.Version()).To(BeEquivalentTo(4))
	g.Expect(ids()).To(ConsistOf("two", "three"))

	// What went is not brought back by an older word, and a reader that began anew
	// tells everything.
	listener.view.Merge(follow.Changes{Endpoints: []fleet.Endpoint{endpointAt("one", 5)}})
	g.Expect(ids()).To(ConsistOf("two", "three"))
	reader.life++
	g.Expect(listener.FollowPeers(ctx)).To(Succeed())
	g.Expect(ids()).To(ConsistOf("two", "three"))
}

func TestAnOlderWordChangesNothing(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	behind, listener := newStation(t, 7), newStation(t, 9)
	listener.hear(hello(behind, "a", false))
	behind.view.Replace(follow.Snapshot{Config: configOf(3), Endpoints: []fleet.Endpoint{endpointAt("old", 2)}, At: 2}, time.Now().Add(-time.Minute), false)
	listener.publish(5, 9, endpointAt("new", 9))
	g.Expect(listener.FollowPeers(ctx)).To(Succeed())
	g.Expect(listener.view.State().Config.Version()).To(BeEquivalentTo(5))
	g.Expect(listener.view.State().Endpoints).To(HaveKey("new"))
	g.Expect(listener.view.Age(time.Now())).To(BeNumerically("<", 30*time.Second))
}

func TestFewGatewaysRead(t *testing.T) {
	all := []station{newStation(t, 1), newStation(t, 2), newStation(t, 3), newStation(t, 4), newStation(t, 5)}
	reading := func(blind map[int]bool) (n int) {
		for i, s := range all {
			for j, other := range all {
				if i != j {
					s.hear(hello(other, "a", blind[j]))
				}
			}
			if s.ReadsStore(!blind[i]) {
				n++
			}
		}
		return n
	}
	for _, tc := range []struct {
		name  string
		blind map[int]bool
		want  int
	}{
		{"all can", nil, readersPerDomain},
		{"one cannot", map[int]bool{0: true}, readersPerDomain},
		{"four cannot", map[int]bool{0: true, 1: true, 2: true, 3: true}, 1},
		{"none can: two go on trying", map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true}, readersPerDomain},
	} {
		t.Run(tc.name, func(t *testing.T) { NewWithT(t).Expect(reading(tc.blind)).To(Equal(tc.want)) })
	}
	t.Run("another domain's do not count", func(t *testing.T) {
		g := NewWithT(t)
		alone := newStation(t, 6)
		for _, other := range all {
			alone.hear(hello(other, "b", false))
		}
		g.Expect(alone.ReadsStore(true)).To(BeTrue())
		g.Expect(alone.FollowPeers(context.Background())).To(MatchError(errNoReader))
	})
}

// At a start of everything at once only the seeds read the store; the others hear
// from them, also that nothing is published yet.
func TestWhoStartsListensToItsSeeds(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	seed, starter := newStation(t, 7), newStation(t, 9)
	seed.seeds, starter.seeds = []string{seed.self}, []string{seed.self}
	g.Expect(seed.ReadsStore(true)).To(BeTrue())
	g.Expect(starter.ReadsStore(true)).To(BeFalse())

	seed.view.Replace(follow.Snapshot{At: 1}, time.Now(), false)
	g.Expect(starter.FollowPeers(ctx)).To(Succeed())
	g.Expect(starter.view.ConfirmedAge(time.Now())).To(BeNumerically("<", 30*time.Second), "there is nothing yet, which is news")
	g.Expect(starter.view.Age(time.Now())).To(BeNumerically(">", time.Hour), "of no configuration")
	seed.publish(3, 3, endpointAt("one", 2))
	g.Expect(starter.FollowPeers(ctx)).To(Succeed())
	g.Expect(starter.view.State().Config.Version()).To(BeEquivalentTo(3))
	g.Expect(starter.view.State().Endpoints).To(HaveKey("one"))

	starter.started = time.Now().Add(-2 * heardFor)
	g.Expect(starter.ReadsStore(true)).To(BeTrue(), "it has heard of no other one of its domain")
}

func TestWhoDoesNotAnswerIsNotTheOnlyOneListenedTo(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	dead, reader, listener := newStation(t, 7), newStation(t, 8), newStation(t, 9)
	dead.moveTo("127.0.0.1:1") // Refuses.
	listener.hear(hello(dead, "a", false))
	listener.hear(hello(reader, "a", false))
	reader.publish(3, 6)
	for range 2 {
		g.Expect(listener.FollowPeers(ctx)).To(Succeed())
		g.Expect(listener.view.State().Config.Version()).To(BeEquivalentTo(3))
		g.Expect(listener.listenable(time.Now())[0]).To(Equal(reader.self), "the one that answered comes first from then on")
	}
	listener.moveTo(listener.self)
	listener.hear(hello(dead, "a", false))
	g.Expect(listener.FollowPeers(ctx)).NotTo(Succeed())
}

func TestWhatMayHaveLapsedIsNotBorrowed(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	lender, borrower := newStation(t, 7), newStation(t, 9)
	lender.publish(3, 6, endpointAt("there", 5), endpointAt("missed", 6))
	lender.view.Apply(follow.Changes{Removals: []follow.Removal{{Name: "missed", Revision: 7}}, At: 7}, time.Now(), true)
	p, err := borrower.ask(ctx, lender.self)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(borrower.take(p, time.Now())).To(Succeed())
	g.Expect(borrower.view.State().Endpoints).To(HaveKey("there"))
	g.Expect(borrower.view.State().Endpoints).NotTo(HaveKey("missed"))
}

// Where a hundred gateways waited for two, a new configuration did not go over their links in
// the time for which it was waited, and all read the store at once.
func TestNobodyHasManyListeners(t *testing.T) {
	for _, gateways := range []int{3, 10, 18, 19, 106, 200, 1000} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			g := NewWithT(t)
			listeners, depth := map[int]int{}, make([]int, gateways)
			deepest := 0
			for place := readersPerDomain; place < gateways; place++ {
				to := listensTo(place)
				g.Expect(to).To(BeNumerically("<", place), "so that nobody waits for itself by way of others")
				listeners[to]++
				depth[place] = depth[to] + 1
				deepest = max(deepest, depth[place])
			}
			for _, n := range listeners {
				g.Expect(n).To(BeNumerically("<=", mostListeners))
			}
			g.Expect(deepest).To(BeNumerically("<=", 4))
		})
	}
}

// In a domain of many, what is published goes from one to the next.
func TestAGatewayListensToTheOneBeforeIt(t *testing.T) {
	g := NewWithT(t)
	s := newStation(t, 1)
	at := func(place int) string { return fmt.Sprintf("10.0.0.%d:80", 100+place) }
	knowAll := func(place int) {
		s.moveTo(at(place))
		s.started = time.Now().Add(-2 * heardFor)
		for other := range 60 {
			if other != place {
				s.hear(peers.Hello{Incarnation: 1, Address: at(other), Domain: "a"})
			}
		}
	}
	knowAll(40)
	g.Expect(s.listenable(time.Now())).To(Equal([]string{at(4), at(0), at(1)}))
	g.Expect(s.ReadsStore(true)).To(BeFalse())
	s.deaf[at(4)] = time.Now()
	g.Expect(s.listenable(time.Now())).To(Equal([]string{at(0), at(1), at(4)}), "one that did not answer comes last for a time")
	g.Expect(s.listenable(time.Now().Add(2 * deafFor))).To(HaveExactElements(at(4), at(0), at(1)))
	s.hear(peers.Hello{Incarnation: 1, Address: at(4), Domain: "a", Leaving: true})
	g.Expect(s.listenable(time.Now())[0]).To(Equal(at(4+1)), "the next one takes the place of one that leaves")

	knowAll(1)
	s.seeds = []string{"10.9.0.1:80"}
	g.Expect(s.ReadsStore(true)).To(BeTrue())
	s.started = time.Now()
	g.Expect(s.ReadsStore(true)).To(BeFalse())
	g.Expect(s.listenable(time.Now())).To(Equal(s.seeds), "one of the first goes by its seeds while it settles")
	knowAll(40)
	s.started = time.Now()
	g.Expect(s.listenable(time.Now())[0]).To(Equal(at(4)), "the seeds would have too many listeners")
}

func TestWhatIsBorrowedComesFromTheOwnDomainByTurns(t *testing.T) {
	g := NewWithT(t)
	s := newStation(t, 1)
	_, ok := s.lender()
	g.Expect(ok).To(BeFalse())
	s.seeds = []string{s.self, "10.9.0.1:80"}
	from, ok := s.lender()
	g.Expect(ok).To(BeTrue())
	g.Expect(from).To(Equal("10.9.0.1:80"))
	s.hear(peers.Hello{Incarnation: 1, Address: "10.0.0.1:80", Domain: "a"})
	for i := range 20 {
		s.hear(peers.Hello{Incarnation: 1, Address: fmt.Sprintf("10.1.0.%d:80", i), Domain: "b"})
	}
	near := 0
	for range 100 {
		if from, _ = s.lender(); from == "10.0.0.1:80" {
			near++
		}
	}
	g.Expect(near).To(BeNumerically(">=", 50))
	g.Expect(near).To(BeNumerically("<", 90))
}

// What a gateway tells that listens itself holds up to where its own source's word does: whoever
// hears it anew drops what has gone meanwhile.
func TestAListenerOfAListenerDropsWhatHasGone(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	reader, middle, leaf := newStation(t, 7), newStation(t, 8), newStation(t, 9)
	reader.publish(3, 6, endpointAt("one", 5), endpointAt("two", 6))
	for _, s := range []station{middle, leaf} {
		g.Expect(s.listenTo(ctx, reader.self)).To(Succeed())
		g.Expect(s.view.State().Endpoints).To(HaveLen(2))
	}
	reader.view.Apply(follow.Changes{Removals: []follow.Removal{{Name: "one", Revision: 8}}, At: 8}, time.Now(), false)
	g.Expect(middle.listenTo(ctx, reader.self)).To(Succeed())
	g.Expect(leaf.listenTo(ctx, middle.self)).To(Succeed())
	g.Expect(leaf.view.State().Endpoints).To(HaveLen(1))
	g.Expect(leaf.view.State().Endpoints).To(HaveKey("two"))
}

// Guards against half of a neighbour's word where its connections end as it is asked.
func TestANeighbourWhoseConnectionsEndIsHeardWholeOrNotAtAll(t *testing.T) {
	const callers, each = 200, 4
	g := NewWithT(t)
	reader, listener := newStation(t, 8), newStation(t, 9)
	reader.publish(1<<12, 6)
	h := reader.Handler()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rand.IntN(20) == 0 {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
		if rand.IntN(20) == 0 {
			panic(http.ErrAbortHandler) // Perhaps in the middle of the answer.
		}
	}))
	srv.Config.IdleTimeout = time.Millisecond
	srv.Start()
	t.Cleanup(srv.Close)
	var silent atomic.Int64
	var asking errgroup.Group
	for range callers {
		asking.Go(func() error {
			for range each {
				time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
				p, err := listener.call(context.Background(), strings.TrimPrefix(srv.URL, "http://"), "")
				switch {
				case err != nil:
					silent.Add(1)
				case p.Life != reader.life || p.Version != 1<<12 || len(p.Config) != 1<<12:
					return errors.Newf("life %d, version %d, %d bytes", p.Life, p.Version, len(p.Config))
				}
			}
			return nil
		})
	}
	g.Expect(asking.Wait()).To(Succeed())
	t.Logf("%d of %d calls without an answer", silent.Load(), callers*each)
	g.Expect(silent.Load()).To(BeNumerically("<", callers*each/2))
}
