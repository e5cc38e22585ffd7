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
	"github.com/canvaspulley/canvaspulley/internal/httpjson/endlesstest"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// testPeer is a gateway that others can long-poll.
type testPeer struct {
	*PeerExchange
	view *follow.View
}

func newTestPeer(t *testing.T, incarnation int64) testPeer {
	view := follow.NewView()
	g, closeGateway := New(Config{Domain: "a"}, Codec{}, view, zap.NewNop(), metrics.NewRegistry())
	t.Cleanup(closeGateway)
	n, closeNeighbours := NewPeerExchange(PeerExchangeConfig{Name: "g", Domain: "a", Decode: func(raw []byte) (*fleet.Config, error) {
		return configOf(uint64(len(raw))), nil
	}}, g, nil, zap.NewNop())
	t.Cleanup(closeNeighbours)
	n.incarnation = incarnation
	srv := httptest.NewServer(n.Handler())
	t.Cleanup(srv.Close)
	s := testPeer{n, view}
	s.setAddress(strings.TrimPrefix(srv.URL, "http://"))
	return s
}

// withSocket gives the gateway a datagram socket.
func (s testPeer) withSocket(t *testing.T) {
	socket, closeSocket, err := peers.Listen("127.0.0.1:0", zap.NewNop())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeSocket)
	s.socket = socket
}

// publish sets the version and endpoints that the gateway knows, all up to a revision.
func (s testPeer) publish(version, at uint64, endpoints ...fleet.Endpoint) {
	s.view.Replace(follow.Snapshot{Config: configOf(version), Endpoints: endpoints, UpTo: at}, time.Now(), false)
}

// setAddress sets the address of the gateway and clears its knowledge of others.
func (s testPeer) setAddress(address string) {
	s.self = address
	s.roster = roster.New(roster.Gateway{Address: address, Domain: s.domain}, s.seeds, s.started)
}

// configOf returns a configuration whose text has as many bytes as its version number.
func configOf(version uint64) *fleet.Config {
	return fleet.NewConfig(version, nil, nil, nil, fleet.Limits{}).SetRaw([]byte(strings.Repeat("x", int(version))))
}

func endpointAt(id string, revision uint64) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: "s", Address: id + ":1", Revision: revision, CreatedRevision: revision}
}

func hello(s testPeer, domain string, blind bool) peers.Hello {
	return peers.Hello{Name: "g", Address: s.self, Domain: domain, StoreUnreachable: blind}
}

func TestGatewayFollowsStoreReader(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	reader, follower := newTestPeer(t, 7), newTestPeer(t, 9)
	follower.receiveHello(hello(reader, "a", false))
	reader.publish(3, 6, endpointAt("one", 5), endpointAt("two", 6))
	ids := func() (list []string) {
		for id := range follower.view.State().Endpoints {
			list = append(list, id)
		}
		return list
	}

	g.Expect(follower.FollowPeers(ctx)).To(Succeed())
	g.Expect(follower.view.State().Config.Version()).To(BeEquivalentTo(3))
	g.Expect(ids()).To(ConsistOf("one", "two"))
	g.Expect(follower.view.Age(time.Now())).To(BeNumerically(">=", reader.view.Age(time.Now().Add(-time.Millisecond))))

	// The call is held until something changes, and only the change is sent.
	var held errgroup.Group
	held.Go(func() error { return follower.FollowPeers(ctx) })
	reader.view.Apply(follow.Changes{Config: configOf(4), Removals: []follow.Removal{{Name: "one", Revision: 8}}, Endpoints: []fleet.Endpoint{endpointAt("three", 7)}, UpTo: 8}, time.Now(), false)
	g.Expect(held.Wait()).To(Succeed())
	g.Expect(follower.view.State().Config.Version()).To(BeEquivalentTo(4))
	g.Expect(ids()).To(ConsistOf("two", "three"))

	// A removed endpoint is not restored by older state, and a restarted reader sends everything.
	follower.view.ApplyUpdate(follow.Update{Whole: true, Endpoints: []fleet.Endpoint{endpointAt("one", 5)}, UpTo: 5}, time.Now())
	g.Expect(ids()).To(ConsistOf("two", "three"))
	reader.incarnation++
	g.Expect(follower.FollowPeers(ctx)).To(Succeed())
	g.Expect(ids()).To(ConsistOf("two", "three"))
}

func TestOlderStateChangesNothing(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	behind, follower := newTestPeer(t, 7), newTestPeer(t, 9)
	follower.receiveHello(hello(behind, "a", false))
	behind.view.Replace(follow.Snapshot{Config: configOf(3), Endpoints: []fleet.Endpoint{endpointAt("old", 2)}, UpTo: 2}, time.Now().Add(-time.Minute), false)
	follower.publish(5, 9, endpointAt("new", 9))
	g.Expect(follower.FollowPeers(ctx)).To(Succeed())
	g.Expect(follower.view.State().Config.Version()).To(BeEquivalentTo(5))
	g.Expect(follower.view.State().Endpoints).To(HaveKey("new"))
	g.Expect(follower.view.Age(time.Now())).To(BeNumerically("<", 30*time.Second))
}

func TestFewGatewaysReadTheStore(t *testing.T) {
	all := []testPeer{newTestPeer(t, 1), newTestPeer(t, 2), newTestPeer(t, 3), newTestPeer(t, 4), newTestPeer(t, 5)}
	reading := func(blind map[int]bool) (n int) {
		for i, s := range all {
			for j, other := range all {
				if i != j {
					s.receiveHello(hello(other, "a", blind[j]))
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
		{"none can: two keep trying", map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true}, readersPerDomain},
	} {
		t.Run(tc.name, func(t *testing.T) { NewWithT(t).Expect(reading(tc.blind)).To(Equal(tc.want)) })
	}
	t.Run("gateways of another domain do not count", func(t *testing.T) {
		g := NewWithT(t)
		alone := newTestPeer(t, 6)
		for _, other := range all {
			alone.receiveHello(hello(other, "b", false))
		}
		g.Expect(alone.ReadsStore(true)).To(BeTrue())
		g.Expect(alone.FollowPeers(context.Background())).To(MatchError(errNoReader))
	})
}

// When the whole system starts, only the seeds read the store. The others receive its state from
// them, including that nothing is published yet.
func TestNewGatewayFollowsItsSeeds(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	seed, starter := newTestPeer(t, 7), newTestPeer(t, 9)
	seed.seeds, starter.seeds = []string{seed.self}, []string{seed.self}
	g.Expect(seed.ReadsStore(true)).To(BeTrue())
	g.Expect(starter.ReadsStore(true)).To(BeFalse())

	seed.view.Replace(follow.Snapshot{UpTo: 1}, time.Now(), false)
	g.Expect(starter.FollowPeers(ctx)).To(Succeed())
	g.Expect(starter.view.ConfirmedAge(time.Now())).To(BeNumerically("<", 30*time.Second), "nothing is published yet, which is an update, too")
	g.Expect(starter.view.Age(time.Now())).To(BeNumerically(">", time.Hour), "there is no configuration")
	seed.publish(3, 3, endpointAt("one", 2))
	g.Expect(starter.FollowPeers(ctx)).To(Succeed())
	g.Expect(starter.view.State().Config.Version()).To(BeEquivalentTo(3))
	g.Expect(starter.view.State().Endpoints).To(HaveKey("one"))

	starter.started = time.Now().Add(-2 * gatewayTTL)
	g.Expect(starter.ReadsStore(true)).To(BeTrue(), "it knows no other gateway of its domain")
}

func TestUnresponsiveGatewayIsNotTheOnlyOnePolled(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	dead, reader, follower := newTestPeer(t, 7), newTestPeer(t, 8), newTestPeer(t, 9)
	dead.setAddress("127.0.0.1:1") // Refuses connections.
	follower.receiveHello(hello(dead, "a", false))
	follower.receiveHello(hello(reader, "a", false))
	reader.publish(3, 6)
	for range 2 {
		g.Expect(follower.FollowPeers(ctx)).To(Succeed())
		g.Expect(follower.view.State().Config.Version()).To(BeEquivalentTo(3))
		g.Expect(follower.followOrder(time.Now())[0]).To(Equal(reader.self), "the one that answered is polled first from then on")
	}
	follower.setAddress(follower.self)
	follower.receiveHello(hello(dead, "a", false))
	g.Expect(follower.FollowPeers(ctx)).NotTo(Succeed())
}

// A gateway that stands still must not keep its followers from reading the store in time.
func TestLongPollEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	follower := newTestPeer(t, 9)
	var silent []testPeer
	for i := range int64(2) {
		s := newTestPeer(t, i+1)
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		t.Cleanup(srv.Close)
		s.setAddress(strings.TrimPrefix(srv.URL, "http://"))
		follower.receiveHello(hello(s, "a", false))
		silent = append(silent, s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	first := follower.followOrder(time.Now())[0]
	g.Expect(follower.FollowPeers(ctx)).NotTo(Succeed())
	g.Expect(silent).To(HaveLen(2))
	g.Expect(follower.followOrder(time.Now())).To(HaveLen(2))
	g.Expect(follower.followOrder(time.Now())[1]).To(Equal(first), "only the one that was polled counts as unresponsive")
}

func TestPossiblyExpiredEndpointsAreNotMerged(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	sender, receiver := newTestPeer(t, 7), newTestPeer(t, 9)
	sender.publish(3, 6, endpointAt("there", 5), endpointAt("missed", 6))
	sender.view.Apply(follow.Changes{Removals: []follow.Removal{{Name: "missed", Revision: 7}}, UpTo: 7}, time.Now(), true)
	p, err := receiver.fetchAll(ctx, sender.self)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(receiver.applyPublished(p, time.Now())).To(Succeed())
	g.Expect(receiver.view.State().Endpoints).To(HaveKey("there"))
	g.Expect(receiver.view.State().Endpoints).NotTo(HaveKey("missed"))
}

// A state fetched from another gateway must not count as recent while it leaves endpoints listed that
// are gone.
func TestFetchedStateRemovesEndpoints(t *testing.T) {
	g := NewWithT(t)
	sender, receiver := newTestPeer(t, 7), newTestPeer(t, 9)
	sender.publish(3, 8, endpointAt("there", 5))
	receiver.view.Replace(follow.Snapshot{Config: configOf(3), Endpoints: []fleet.Endpoint{endpointAt("there", 5), endpointAt("gone", 6)}, UpTo: 6}, time.Now().Add(-time.Minute), false)
	receiver.receiveHello(hello(sender, "a", false))
	receiver.fetchIfStale(context.Background())
	g.Expect(receiver.view.Age(time.Now())).To(BeNumerically("<", 30*time.Second))
	g.Expect(receiver.view.State().Endpoints).To(HaveLen(1))
	g.Expect(receiver.view.State().Endpoints).To(HaveKey("there"))
}

// Guards against many gateways that poll the same reader. With 100 gateways polling two readers, a
// new configuration did not cross their links within the timeout of the polls, and all gateways
// read the store at once.
func TestNoGatewayHasManyFollowers(t *testing.T) {
	for _, gateways := range []int{3, 10, 18, 19, 106, 200, 1000} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			g := NewWithT(t)
			followers, depth := map[int]int{}, make([]int, gateways)
			deepest := 0
			for place := readersPerDomain; place < gateways; place++ {
				to := parentPlace(place)
				g.Expect(to).To(BeNumerically("<", place), "no cycles of gateways that poll each other")
				followers[to]++
				depth[place] = depth[to] + 1
				deepest = max(deepest, depth[place])
			}
			for _, n := range followers {
				g.Expect(n).To(BeNumerically("<=", maxFollowers))
			}
			g.Expect(deepest).To(BeNumerically("<=", 4))
		})
	}
}

// In a large domain published state is passed on from one gateway to the next.
func TestGatewayFollowsItsParent(t *testing.T) {
	g := NewWithT(t)
	s := newTestPeer(t, 1)
	at := func(place int) string { return fmt.Sprintf("10.0.0.%d:80", 100+place) }
	knowAll := func(place int) {
		s.setAddress(at(place))
		s.started = time.Now().Add(-2 * gatewayTTL)
		for other := range 60 {
			if other != place {
				s.receiveHello(peers.Hello{Incarnation: 1, Address: at(other), Domain: "a"})
			}
		}
	}
	knowAll(40)
	g.Expect(s.followOrder(time.Now())).To(Equal([]string{at(4), at(0), at(1)}))
	g.Expect(s.ReadsStore(true)).To(BeFalse())
	s.unresponsive[at(4)] = time.Now()
	g.Expect(s.followOrder(time.Now())).To(Equal([]string{at(0), at(1), at(4)}), "one that did not answer is polled last for a while")
	g.Expect(s.followOrder(time.Now().Add(2 * unresponsiveTTL))).To(HaveExactElements(at(4), at(0), at(1)))
	s.receiveHello(peers.Hello{Incarnation: 1, Address: at(4), Domain: "a", Leaving: true})
	g.Expect(s.followOrder(time.Now())[0]).To(Equal(at(4+1)), "the next one takes the place of a leaving one")

	knowAll(1)
	s.seeds = []string{"10.9.0.1:80"}
	g.Expect(s.ReadsStore(true)).To(BeTrue())
	s.started = time.Now()
	g.Expect(s.ReadsStore(true)).To(BeFalse())
	g.Expect(s.followOrder(time.Now())).To(Equal(s.seeds), "one of the first gateways polls its seeds while it is new")
	knowAll(40)
	s.started = time.Now()
	g.Expect(s.followOrder(time.Now())[0]).To(Equal(at(4)), "the seeds would have too many followers")
}

func TestFetchingAlternatesBetweenOwnDomainAndAny(t *testing.T) {
	g := NewWithT(t)
	s := newTestPeer(t, 1)
	_, ok := s.chooseFetchPeer()
	g.Expect(ok).To(BeFalse())
	s.seeds = []string{s.self, "10.9.0.1:80"}
	from, ok := s.chooseFetchPeer()
	g.Expect(ok).To(BeTrue())
	g.Expect(from).To(Equal("10.9.0.1:80"))
	s.receiveHello(peers.Hello{Incarnation: 1, Address: "10.0.0.1:80", Domain: "a"})
	for i := range 20 {
		s.receiveHello(peers.Hello{Incarnation: 1, Address: fmt.Sprintf("10.1.0.%d:80", i), Domain: "b"})
	}
	near := 0
	for range 100 {
		if from, _ = s.chooseFetchPeer(); from == "10.0.0.1:80" {
			near++
		}
	}
	g.Expect(near).To(BeNumerically(">=", 50))
	g.Expect(near).To(BeNumerically("<", 90))
}

// The state sent by a gateway that follows another one is valid up to the position of its own
// source, so that a new follower drops what has been removed meanwhile, or overwritten by another
// writer, and takes the endpoint back with its next entry.
func TestFollowerOfAFollowerDropsRemovedEndpoints(t *testing.T) {
	for _, tc := range []struct {
		name    string
		changes follow.Changes
	}{
		{"removed", follow.Changes{Removals: []follow.Removal{{Name: "one", Revision: 8}}, UpTo: 8}},
		{"overwritten", follow.Changes{Invalid: []follow.InvalidEntry{{Name: "one", Revision: 8, Err: errors.New("address: invalid")}}, UpTo: 8}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx := context.Background()
			reader, middle, leaf := newTestPeer(t, 7), newTestPeer(t, 8), newTestPeer(t, 9)
			reader.publish(3, 6, endpointAt("one", 5), endpointAt("two", 6))
			for _, s := range []testPeer{middle, leaf} {
				g.Expect(s.pollPeer(ctx, reader.self)).To(Succeed())
				g.Expect(s.view.State().Endpoints).To(HaveLen(2))
			}
			reader.view.Apply(tc.changes, time.Now(), false)
			g.Expect(middle.pollPeer(ctx, reader.self)).To(Succeed())
			g.Expect(leaf.pollPeer(ctx, middle.self)).To(Succeed())
			g.Expect(leaf.view.State().Endpoints).To(HaveLen(1))
			g.Expect(leaf.view.State().Endpoints).To(HaveKey("two"))
			reader.view.Apply(follow.Changes{Endpoints: []fleet.Endpoint{endpointAt("one", 9)}, UpTo: 9}, time.Now(), false)
			g.Expect(middle.pollPeer(ctx, reader.self)).To(Succeed())
			g.Expect(leaf.pollPeer(ctx, middle.self)).To(Succeed())
			g.Expect(leaf.view.State().Endpoints).To(HaveKey("one"))
		})
	}
}

// Guards against taking a part of another gateway's answer for the whole when its connections are
// cut.
func TestCutAnswerOfAGatewayIsAnError(t *testing.T) {
	const callers, each = 200, 4
	g := NewWithT(t)
	reader, follower := newTestPeer(t, 8), newTestPeer(t, 9)
	reader.publish(1<<12, 6)
	h := reader.Handler()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rand.IntN(20) == 0 {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
		if rand.IntN(20) == 0 {
			panic(http.ErrAbortHandler) // Possibly in the middle of the answer.
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
				p, err := follower.fetch(context.Background(), strings.TrimPrefix(srv.URL, "http://"), "")
				switch {
				case err != nil:
					silent.Add(1)
				case p.Life != reader.incarnation || p.Version != 1<<12 || len(p.Config) != 1<<12:
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

func TestAnswersWithoutEndOfAGateway(t *testing.T) {
	follower := newTestPeer(t, 9)
	endlesstest.ExpectAbandoned(t, 2*maxPublishedBytes, func(t *testing.T, address string) error {
		_, err := follower.fetch(t.Context(), address, "")
		return err
	})
}
