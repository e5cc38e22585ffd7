// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// Times of the talk with other processes.
const (
	// helloEvery is the time between two rounds of hellos.
	helloEvery = roster.HelloInterval
	// heardFor is how long a gateway counts as there after its last hello.
	heardFor = roster.ExpireAfter
	// unheardEvery is the time between two hellos to sidecars while none is heard: gateways
	// and sidecars that lost power together were up within a second of each other, and
	// each hello that is missed keeps the callers of a gateway waiting.
	unheardEvery = 200 * time.Millisecond
	// unheardSidecars is how many of them such a hello goes to, drawn anew each time: what
	// one rank tells holds for all, and hellos of all gateways to all sidecars would be
	// most of what goes over their links after an outage.
	unheardSidecars = 16
	// sidecarsEvery is how many rounds of hellos come to one to sidecars, whose
	// subscriptions last longer.
	sidecarsEvery = 2
	// someSidecars is how many sidecars, drawn anew each time, each gateway greets besides
	// those of its failure domain that hubs greet: a sidecar hears of gateways also when
	// all of its domain have ended.
	someSidecars = 2
	// borrowAge is the age of the configuration from which a neighbour is asked
	// for it: the store's answers keep it below this while the store is there.
	borrowAge = 2200 * time.Millisecond
	// borrowEvery and borrowTimeout are the times of asking.
	borrowEvery   = 400 * time.Millisecond
	borrowTimeout = 350 * time.Millisecond
	// maxPublished bounds a neighbour's answer.
	maxPublished = 16 << 20
)

// PeerExchange finds other gateways, tells sidecars and gateways of this one, and
// borrows the published state from a neighbour while the store does not answer.
type PeerExchange struct {
	g          *Gateway
	socket     *peers.Socket
	log        *zap.Logger
	decode     func(raw []byte) (*fleet.Config, error)
	client     *http.Client
	self       string
	life       int64
	started    time.Time
	spread     time.Duration // Within which all read the store, where what they hear is old.
	first      bool          // The whole system starts for the first time.
	name       string
	seeds      []string
	port       int // Of sidecars.
	domain     string
	mu         sync.Mutex
	roster     *roster.Roster
	borrows    bool
	lenders    int                  // Asked so far; of the duty that borrows.
	subscribed bool                 // Sidecars were greeted as soon as they were listed; of the duty that greets.
	greeted    int                  // Hellos so far; of the duty that greets.
	blind      bool                 // As the follower last said; others do not listen to this gateway then.
	heardOf    listenedTo           // What the last answers to listening were.
	deaf       map[string]time.Time // When gateways did not answer a listener, by address.
}

// PeerExchangeConfig is the setting of Neighbours.
type PeerExchangeConfig struct {
	Name         string
	Domain       string
	Address      string // Peer listener of this gateway.
	Seeds        []string
	EffectTime   time.Duration // In which a new configuration must be in force.
	FirstStart   bool          // The whole system starts for the first time.
	SidecarsPort int
	Decode       func(raw []byte) (*fleet.Config, error) // Reads a configuration's text.
}

// NewPeerExchange returns what a gateway knows of other processes. The function
// closes its connections.
func NewPeerExchange(cfg PeerExchangeConfig, g *Gateway, socket *peers.Socket, log *zap.Logger) (n *PeerExchange, cleanup func()) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: borrowTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     peers.ClientIdleTimeout,
	}
	n = &PeerExchange{
		g: g, socket: socket, log: log, decode: cfg.Decode, client: &http.Client{Transport: t},
		self: cfg.Address, life: time.Now().UnixMilli(), started: time.Now(), first: cfg.FirstStart, spread: max(cfg.EffectTime-turnMargin, 0), name: cfg.Name, domain: cfg.Domain, seeds: cfg.Seeds, port: cfg.SidecarsPort,
		heardOf: listenedTo{}, deaf: map[string]time.Time{},
	}
	n.roster = roster.New(roster.Gateway{Address: n.self, Domain: n.domain}, n.seeds, n.started)
	duty.Locked(&g.mu, func() { g.ownerOf = n.owns })
	return n, t.CloseIdleConnections
}

// Handler serves the calls of other gateways.
func (n *PeerExchange) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathPublished, n.servePublished)
	return mux
}

// Receive takes in a message. One that causes a panic is left out.
func (n *PeerExchange) Receive(from netip.AddrPort, m peers.Message) {
	duty.Contain("message", n.log, n.g.figures.reg, func() { n.receive(from, m) })
}

func (n *PeerExchange) receive(from netip.AddrPort, m peers.Message) {
	n.g.suspects.MergeEnds(m.Ends, n.g.cfg.Now())
	n.g.hearLimits(from, m.Limits)
	if m.Lending != nil {
		n.hearParts(from, *m.Lending)
	}
	switch {
	case m.Hello != nil:
		fresh, before := n.hear(*m.Hello)
		if fresh {
			n.tellNewcomer(from)
		}
		if !m.Hello.IsAnswer {
			n.answer(from, *m.Hello, before)
		}
		n.hearBefore(*m.Hello)
	case m.Load != nil:
		n.takeLoad(*m.Load)
	case m.Loads != nil:
		n.takeLoads(*m.Loads)
	}
}

// hear takes in a hello; it reports whether the gateway's process has not spoken before, and
// what was last heard of an earlier life of it, nil for nothing.
func (n *PeerExchange) hear(h peers.Hello) (fresh bool, before *peers.PreviousIncarnation) {
	known, err := seenOf(h.KnownGateways)
	if err != nil {
		n.log.Warn("gateways left out", zap.String("told-by", h.Address), zap.String("error", err.Error()))
	}
	fresh, before = n.enroll(h, known, time.Now())
	if before != nil && !before.Leaving {
		n.log.Warn("peer ended without a planned stop", zap.String("name", h.Name), zap.String("address", h.Address),
			zap.Duration("last-heard", before.Age()), zap.Int64("life", before.Incarnation), zap.Int64("next-life", h.Incarnation))
	}
	if fresh {
		n.g.setGateways(n.self, n.others())
		n.log.Info("gateway heard", zap.String("name", h.Name), zap.String("address", h.Address), zap.Int64("life", h.Incarnation))
	}
	return fresh, before
}

// hearBefore logs what another gateway heard last of this one's earlier life: nothing of
// that is kept here.
func (n *PeerExchange) hearBefore(h peers.Hello) {
	if h.Previous == nil {
		return
	}
	line := n.log.Info
	if !h.Previous.Leaving {
		line = n.log.Warn
	}
	line("an earlier life of this process ended", zap.Bool("planned", h.Previous.Leaving), zap.Int64("life", h.Previous.Incarnation),
		zap.Duration("last-heard", h.Previous.Age()), zap.String("told-by", h.Name))
}

// enroll takes a hello into the roster.
func (n *PeerExchange) enroll(h peers.Hello, known []roster.Member, now time.Time) (fresh bool, before *peers.PreviousIncarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last, ok := n.roster.LastDirect(h.Address, now); ok && last.StartedAt < h.Incarnation {
		before = &peers.PreviousIncarnation{Incarnation: last.StartedAt, AgeMs: last.Age.Milliseconds(), Leaving: last.Stopping}
	}
	fresh = n.roster.Receive(roster.Gateway{Address: h.Address, Domain: h.Domain, StartedAt: h.Incarnation, StoreUnreachable: h.StoreUnreachable, Stopping: h.Leaving}, now)
	n.roster.MergeMembers(known, now)
	return fresh, before
}

// answer answers a hello, and names the gateways that it asks for.
func (n *PeerExchange) answer(to netip.AddrPort, h peers.Hello, before *peers.PreviousIncarnation) {
	now := time.Now()
	told := n.asked(h, now)
	own := n.hello(now)
	own.IsAnswer, own.Previous = true, before
	for _, part := range inPackets(told) {
		own.KnownGateways = knownOf(part)
		n.socket.Send(to, peers.Message{Hello: own})
		own.Previous = nil
	}
}

// asked returns the gateways that a hello asks for.
func (n *PeerExchange) asked(h peers.Hello, now time.Time) []roster.Member {
	if h.QueriedDomain == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.AnswerQuery(h.Domain, h.QueriedDomain, now)
}

// others returns the gateways that are there.
func (n *PeerExchange) others() (list []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.roster.Alive(time.Now()) {
		list = append(list, g.Address)
	}
	return list
}

// Run talks to other processes until ctx ends.
func (n *PeerExchange) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duties := duty.New(ctx, n.log, n.g.figures.reg, func(string) { cancel() })
	duties.Go("greet", n.greetAndBorrow)
	duties.Go("tell-news", n.tellNews)
	duties.Go("lend", n.lend)
	return duties.Wait()
}

func (n *PeerExchange) greetAndBorrow(ctx context.Context) error {
	hello := time.NewTicker(helloEvery)
	defer hello.Stop()
	borrow := time.NewTicker(borrowEvery)
	defer borrow.Stop()
	unheard := time.NewTicker(unheardEvery)
	defer unheard.Stop()
	n.greet()
	for {
		select {
		case <-n.listed():
			n.greetListed()
		case <-ctx.Done():
			return nil
		case <-hello.C:
			n.greet()
		case <-borrow.C:
			n.borrow(ctx)
		case <-unheard.C:
			n.greetUnheard()
		}
	}
}

// listed returns a channel that is closed when the view changes, as long as sidecars may
// be listed to which no hello has gone; nil later.
func (n *PeerExchange) listed() <-chan struct{} {
	if n.subscribed {
		return nil
	}
	return n.g.view.Updated()
}

// greetListed says hello to sidecars as soon as any are listed, so that loads are known
// from the first moments on: groups that still form are not tried in vain then.
func (n *PeerExchange) greetListed() {
	to := n.sidecars()
	if len(to) == 0 {
		return
	}
	n.subscribed = true
	n.greetSidecars(to)
}

// greetUnheard says hello to sidecars while none of them is heard: after an outage of
// both sides those that were not up yet missed the hello, and what they have to tell is
// waited for.
func (n *PeerExchange) greetUnheard() {
	if leaving, _ := n.g.leaving(time.Now()); leaving || n.g.hearsRanks(time.Now()) {
		return
	}
	n.socket.SendAll(addressesOf(roster.RandomSubset(n.sidecars(), unheardSidecars, random)), peers.Message{Hello: n.helloToSidecars()})
}

// hello returns what this gateway tells of itself.
func (n *PeerExchange) hello(now time.Time) *peers.Hello {
	leaving, _ := n.g.leaving(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	return &peers.Hello{Name: n.name, Incarnation: n.life, Address: n.self, Domain: n.domain, StoreUnreachable: n.blind, Leaving: leaving}
}

// helloToSidecars returns what sidecars are told of this gateway and of others, which greet
// other sidecars.
func (n *PeerExchange) helloToSidecars() *peers.Hello {
	now := time.Now()
	h := n.hello(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	h.GatewayCount = len(n.roster.Alive(now)) + 1
	h.KnownGateways = knownOf(first(peers.MaxKnownGateways, n.roster.Sample(now, random)))
	return h
}

// greet says hello to gateways and sidecars.
func (n *PeerExchange) greet() {
	now := time.Now()
	lapsed, greetings, others, heard := n.round(now)
	n.g.SetOtherGateways(others, heard)
	n.g.setGateways(n.self, n.others())
	n.tellLimits()
	for _, a := range lapsed {
		n.log.Info("gateway not heard any more", zap.String("address", a))
	}
	ends := n.g.suspects.NextToSend(n.g.cfg.Now()) // All are told the same.
	h := n.hello(now)
	for _, greeting := range greetings {
		h.QueriedDomain = greeting.QueryDomain
		n.socket.SendAll(addresses([]string{greeting.Address}), peers.Message{Hello: h, Ends: ends})
	}
	n.greeted++
	if leaving, _ := n.g.leaving(now); !leaving && n.greeted%sidecarsEvery != 1 {
		return
	}
	sidecars := n.sidecars()
	n.greetSidecars(sidecars)
	n.entrust(sidecars)
}

// round begins a round of hellos.
func (n *PeerExchange) round(now time.Time) (lapsed []string, greetings []roster.Hello, others int, heard time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lapsed = n.roster.Expire(now)
	greetings = n.roster.NextHellos(now, random)
	return lapsed, greetings, len(n.roster.Alive(now)), n.roster.LastReceived()
}

// greetSidecars says hello to some of the sidecars, and, where this gateway is a hub, to
// those of its failure domain.
func (n *PeerExchange) greetSidecars(all []sidecar) {
	var hub bool
	duty.Locked(&n.mu, func() { hub = n.roster.IsHub(time.Now()) })
	to := roster.RandomSubset(all, someSidecars, random)
	if hub {
		to = append(to, keep(all, func(s sidecar) bool { return s.domain == n.domain })...)
	}
	n.socket.SendAll(addressesOf(to), peers.Message{Hello: n.helloToSidecars()})
}

// first returns the first so many of a list.
func first[T any](n int, list []T) []T { return list[:min(n, len(list))] }

// sidecar is the process beside a listed engine.
type sidecar struct {
	address netip.AddrPort
	domain  string
}

func addressesOf(list []sidecar) (addresses []netip.AddrPort) {
	for _, s := range list {
		addresses = append(addresses, s.address)
	}
	return addresses
}

// sidecars returns the sidecars beside listed engines.
func (n *PeerExchange) sidecars() (list []sidecar) {
	s := n.g.view.State()
	if s.Config == nil {
		return nil
	}
	for name, endpoints := range s.ByService {
		if svc := s.Config.Service(name); svc == nil || svc.Engine == nil {
			continue
		}
		for _, e := range endpoints {
			if a, err := peers.SidecarAddress(e.Address, n.port); err == nil {
				list = append(list, sidecar{a, e.Domain})
			}
		}
	}
	return list
}
