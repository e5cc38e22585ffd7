// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// Times of the talk with other processes.
const (
	// helloEvery is the time between two hellos; sidecars send loads for some
	// seconds after each.
	helloEvery = 700 * time.Millisecond
	// heardFor is how long a gateway counts as there after its last hello.
	heardFor = 5 * time.Second
	// unheardEvery is the time between two hellos to sidecars while none is heard: gateways
	// and sidecars that lost power together were up within a second of each other, and
	// each hello that is missed keeps the callers of a gateway waiting.
	unheardEvery = 200 * time.Millisecond
	// unheardSidecars is how many of them such a hello goes to, drawn anew each time: what
	// one rank tells holds for all, and hellos of all gateways to all sidecars would be
	// most of what goes over their links after an outage.
	unheardSidecars = 16
	// maxKnown bounds the gateways named in a hello, which are drawn anew for each:
	// a newcomer hears of all within some hellos. With all of 40 named, hellos were
	// half of the bytes between failure domains.
	maxKnown = 6
	// sidecarsEvery is how many hellos to gateways come to one to sidecars, whose
	// subscriptions last longer.
	sidecarsEvery = 2
	// farEvery is how many hellos to gateways of the own failure domain come to one to
	// those of others: bytes between domains are dear, and a gateway counts as there
	// for longer than three of these.
	farEvery = 2
	// borrowAge is the age of the configuration from which a neighbour is asked
	// for it: the store's answers keep it below this while the store is there.
	borrowAge = 2200 * time.Millisecond
	// borrowEvery and borrowTimeout are the times of asking.
	borrowEvery   = 400 * time.Millisecond
	borrowTimeout = 350 * time.Millisecond
	// maxPublished bounds a neighbour's answer.
	maxPublished = 16 << 20
)

// Neighbours finds other gateways, tells sidecars and gateways of this one, and
// borrows the published state from a neighbour while the store does not answer.
type Neighbours struct {
	g       *Gateway
	socket  *peers.Socket
	log     *zap.Logger
	decode  func(raw []byte) (*fleet.Config, error)
	client  *http.Client
	self    string
	life    int64
	started time.Time
	spread  time.Duration // Within which all read the store, where what they hear is old.
	first   bool          // The whole system starts for the first time.
	name    string
	seeds   []string
	port    int // Of sidecars.
	domain  string
	mu      sync.Mutex
	heard   map[string]neighbour // Gateways by address.
	// heardLast is when another gateway was last heard, also one that is forgotten.
	heardLast  time.Time
	borrows    bool
	subscribed bool       // Sidecars were greeted as soon as they were listed; of the duty that greets.
	greeted    int        // Hellos so far; of the duty that greets.
	blind      bool       // As the follower last said; others do not listen to this gateway then.
	heardOf    listenedTo // What the last answers to listening were.
}

// neighbour is another gateway.
type neighbour struct {
	at     time.Time // Last word.
	life   int64     // Start of its process; 0 while it is known by hearsay only.
	domain string    // "" while it is known by hearsay only.
	blind  bool
}

// NeighboursConfig is the setting of Neighbours.
type NeighboursConfig struct {
	Name         string
	Domain       string
	Address      string // Peer listener of this gateway.
	Seeds        []string
	InForce      time.Duration // In which a new configuration must be in force.
	First        bool          // The whole system starts for the first time.
	SidecarsPort int
	Decode       func(raw []byte) (*fleet.Config, error) // Reads a configuration's text.
}

// NewNeighbours returns what a gateway knows of other processes. The function
// closes its connections.
func NewNeighbours(cfg NeighboursConfig, g *Gateway, socket *peers.Socket, log *zap.Logger) (n *Neighbours, cleanup func()) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: borrowTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}
	n = &Neighbours{
		g: g, socket: socket, log: log, decode: cfg.Decode, client: &http.Client{Transport: t},
		self: cfg.Address, life: time.Now().UnixMilli(), started: time.Now(), first: cfg.First, spread: max(cfg.InForce-turnMargin, 0), name: cfg.Name, domain: cfg.Domain, seeds: cfg.Seeds, port: cfg.SidecarsPort,
		heard: map[string]neighbour{}, heardOf: listenedTo{},
	}
	g.mu.Lock()
	g.ownerOf = n.owns
	g.mu.Unlock()
	return n, t.CloseIdleConnections
}

// Handler serves the calls of other gateways.
func (n *Neighbours) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathPublished, n.servePublished)
	return mux
}

// Receive takes in a message.
func (n *Neighbours) Receive(from netip.AddrPort, m peers.Message) {
	n.g.suspects.Hear(m.Ends, n.g.cfg.Now())
	switch {
	case m.Hello != nil:
		if n.hear(*m.Hello) {
			n.tellNewcomer(from)
		}
	case m.Load != nil:
		n.takeLoad(*m.Load)
	case m.Loads != nil:
		n.takeLoads(*m.Loads)
	}
}

// hear takes in a hello; it reports whether the gateway's process has not spoken before.
func (n *Neighbours) hear(h peers.Hello) (fresh bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.Leaving {
		delete(n.heard, h.Address)
	} else if h.Address != n.self {
		if fresh = n.heard[h.Address].life != h.Life; fresh {
			n.log.Info("gateway heard", zap.String("name", h.Name), zap.String("address", h.Address))
		}
		n.heard[h.Address] = neighbour{at: now, life: h.Life, domain: h.Domain, blind: h.Blind}
	}
	for _, a := range h.Known {
		if _, ok := n.heard[a]; !ok && a != n.self {
			n.heard[a] = neighbour{at: now.Add(-heardFor + 2*helloEvery)} // By hearsay: it must speak for itself soon.
		}
	}
	return fresh
}

// others returns the gateways that are there.
func (n *Neighbours) others() (list []string) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, other := range n.heard {
		if now.Sub(other.at) > heardFor {
			delete(n.heard, a)
			n.log.Info("gateway not heard any more", zap.String("address", a))
			continue
		}
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}

// lastHeard returns when another gateway was last heard; zero when none ever was.
func (n *Neighbours) lastHeard() (at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.heard {
		if other.domain != "" && other.at.After(at) {
			at = other.at
		}
	}
	if at.IsZero() {
		return n.heardLast
	}
	n.heardLast = at
	return at
}

// Run talks to other processes until ctx ends.
func (n *Neighbours) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.greetAndBorrow(ctx) })
	group.Go(func() error { return n.tellNews(ctx) })
	return group.Wait()
}

func (n *Neighbours) greetAndBorrow(ctx context.Context) error {
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
func (n *Neighbours) listed() <-chan struct{} {
	if n.subscribed {
		return nil
	}
	return n.g.view.Moved()
}

// greetListed says hello to sidecars as soon as any are listed, so that loads are known
// from the first moments on: groups that still form are not tried in vain then.
func (n *Neighbours) greetListed() {
	to := n.sidecars()
	if len(to) == 0 {
		return
	}
	n.subscribed = true
	n.socket.SendAll(to, peers.Message{Hello: n.helloToSidecars()})
}

// greetUnheard says hello to sidecars while none of them is heard: after an outage of
// both sides those that were not up yet missed the hello, and what they have to tell is
// waited for.
func (n *Neighbours) greetUnheard() {
	if leaving, _ := n.g.leaving(time.Now()); leaving || n.g.hearsRanks(time.Now()) {
		return
	}
	n.socket.SendAll(some(n.sidecars(), unheardSidecars), peers.Message{Hello: n.helloToSidecars()})
}

// helloToSidecars returns what sidecars are told of this gateway: they need no more than
// its address and domain.
func (n *Neighbours) helloToSidecars() *peers.Hello {
	return &peers.Hello{Name: n.name, Life: n.life, Address: n.self, Domain: n.domain}
}

// greet says hello to sidecars and gateways.
func (n *Neighbours) greet() {
	others := n.others()
	n.g.SetOthers(len(others), n.lastHeard())
	leaving, _ := n.g.leaving(time.Now())
	n.mu.Lock()
	blind := n.blind
	n.mu.Unlock()
	m := peers.Message{Hello: &peers.Hello{Name: n.name, Life: n.life, Address: n.self, Domain: n.domain, Blind: blind, Known: some(others, maxKnown), Leaving: leaving}}
	to := slices.Clone(others)
	if n.greeted++; !leaving && n.greeted%farEvery != 1 {
		to = n.near(others)
	} else {
		m.Ends = n.g.suspects.Tell(n.g.cfg.Now()) // Where all are told the same.
	}
	for _, s := range n.seeds {
		if s != n.self && !slices.Contains(to, s) {
			to = append(to, s)
		}
	}
	n.socket.SendAll(addresses(to), m)
	if !leaving && n.greeted%sidecarsEvery != 1 {
		return
	}
	m.Hello.Known = nil // Sidecars need no more than the address.
	m.Ends = nil
	sidecars := n.sidecars()
	n.socket.SendAll(sidecars, m)
	n.entrust(sidecars)
}

// near returns which of the gateways are in the own failure domain, or in one that
// is not known yet.
func (n *Neighbours) near(others []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(others), func(a string) bool {
		d := n.heard[a].domain
		return d != "" && d != n.domain
	})
}

// some returns so many of list, drawn anew each time.
func some[T any](list []T, n int) []T {
	drawn := slices.Clone(list)
	for i := range min(n, len(drawn)) {
		j := i + random(len(drawn)-i)
		drawn[i], drawn[j] = drawn[j], drawn[i]
	}
	return drawn[:min(n, len(drawn))]
}

// sidecars returns the addresses of the sidecars beside listed engines.
func (n *Neighbours) sidecars() (list []netip.AddrPort) {
	s := n.g.view.State()
	if s.Config == nil {
		return nil
	}
	for name, endpoints := range s.ByService {
		if svc := s.Config.Service(name); svc == nil || svc.Engine == nil {
			continue
		}
		for _, e := range endpoints {
			if a, err := peers.Beside(e.Address, n.port); err == nil {
				list = append(list, a)
			}
		}
	}
	return list
}
