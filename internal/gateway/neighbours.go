// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/dialer"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/peers"
)

// Intervals, timeouts and limits of the exchange with other processes.
const (
	// helloInterval is the time between two rounds of hellos.
	helloInterval = roster.HelloInterval
	// gatewayTTL is how long a gateway counts as live after its last hello.
	gatewayTTL = roster.ExpireAfter
	// noReportsHelloInterval is the time between two hellos to sidecars while none of them reports.
	// Gateways and sidecars that lost power together were up within a second of each other, and
	// each missed hello keeps the callers of a gateway waiting.
	noReportsHelloInterval = 200 * time.Millisecond
	// noReportsHelloFanout is the number of sidecars, drawn at random each time, to which such a
	// hello is sent. The report of one rank is valid for its whole group, and hellos of all
	// gateways to all sidecars would be most of the traffic on their links after an outage.
	noReportsHelloFanout = 16
	// sidecarHelloRounds is the number of hello rounds per hello to sidecars: a sidecar keeps a
	// gateway as a subscriber for longer than one round.
	sidecarHelloRounds = 2
	// sidecarHelloFanout is the number of sidecars, drawn at random each time, to which each
	// gateway sends hellos in addition to those of its failure domain, which receive them from
	// hubs. Sidecars thus know gateways even if all those of their own domain have ended.
	sidecarHelloFanout = 2
	// fetchAge is the configuration age from which the published state is fetched from another
	// gateway. While the store is reachable, its answers keep the age below this.
	fetchAge = 2200 * time.Millisecond
	// fetchInterval is the time between two such fetches, and fetchTimeout limits each of them.
	fetchInterval = 400 * time.Millisecond
	fetchTimeout  = 350 * time.Millisecond
	// maxPublishedBytes limits the size of another gateway's answer.
	maxPublishedBytes = 16 << 20
)

// PeerExchange discovers other gateways, announces this one to gateways and sidecars, and fetches
// the published state from another gateway while the store does not answer.
type PeerExchange struct {
	g                *Gateway
	socket           *peers.Socket
	log              *zap.Logger
	decode           func(raw []byte) (*fleet.Config, error)
	client           *http.Client
	self             string // Address of the own peer listener.
	incarnation      int64  // Start of this process, in Unix milliseconds.
	started          time.Time
	readSpread       time.Duration // Period over which store reads are spread if peers provide only old state.
	firstStart       bool          // The whole system starts for the first time.
	name             string
	seeds            []string // Addresses at which other gateways may be reachable.
	sidecarPort      int      // Port on which sidecars listen.
	domain           string
	mu               sync.Mutex
	roster           *roster.Roster
	fetching         bool                 // State was fetched by fetchIfStale since the age of the view was last below fetchAge.
	fetchPeersChosen int                  // Number of calls of chooseFetchPeer; used by helloAndFetch only.
	sidecarHelloSent bool                 // The first hello to listed sidecars was sent; used by helloAndFetch only.
	helloRounds      int                  // Number of hello rounds; used by helloAndFetch only.
	storeUnreachable bool                 // As the follower last reported; other gateways do not follow this one then.
	positions        peerPositions        // Positions of the last answers to long polls.
	unresponsive     map[string]time.Time // When a gateway last failed to answer a long poll, by address.
}

// PeerExchangeConfig holds the settings of a PeerExchange.
type PeerExchangeConfig struct {
	Name         string
	Domain       string
	Address      string                                  // Peer listener of this gateway.
	Seeds        []string                                // Addresses at which other gateways may be reachable.
	EffectTime   time.Duration                           // Time within which a new configuration must take effect.
	FirstStart   bool                                    // The whole system starts for the first time.
	SidecarsPort int                                     // Port on which sidecars listen.
	Decode       func(raw []byte) (*fleet.Config, error) // Parses the text of a configuration.
}

// NewPeerExchange returns the peer exchange of a gateway. The cleanup function closes its
// connections.
func NewPeerExchange(cfg PeerExchangeConfig, g *Gateway, socket *peers.Socket, log *zap.Logger) (n *PeerExchange, cleanup func()) {
	t := &http.Transport{
		DialContext:            dialer.New("", fetchTimeout, 0).DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        peers.ClientIdleTimeout,
		MaxResponseHeaderBytes: httpjson.MaxHeadBytes,
	}
	n = &PeerExchange{
		g: g, socket: socket, log: log, decode: cfg.Decode, client: httphead.NewClient(t),
		self: cfg.Address, incarnation: time.Now().UnixMilli(), started: time.Now(), firstStart: cfg.FirstStart, readSpread: max(cfg.EffectTime-turnMargin, 0), name: cfg.Name, domain: cfg.Domain, seeds: cfg.Seeds, sidecarPort: cfg.SidecarsPort,
		positions: peerPositions{}, unresponsive: map[string]time.Time{},
	}
	n.roster = roster.New(roster.Gateway{Address: n.self, Domain: n.domain}, n.seeds, n.started)
	duty.Locked(&g.mu, func() { g.ownsTrialKey = n.ownsKey })
	return n, t.CloseIdleConnections
}

// Handler returns the HTTP handler for calls of other gateways.
func (n *PeerExchange) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathPublished, n.servePublished)
	return mux
}

// Receive handles a message from another process. A message that causes a panic is ignored.
func (n *PeerExchange) Receive(from netip.AddrPort, m peers.Message) {
	duty.RunRecovered("message", n.log, n.g.stats.reg, func() { n.receive(from, m) })
}

func (n *PeerExchange) receive(from netip.AddrPort, m peers.Message) {
	n.receiveEnds(from, m)
	n.g.receiveLimits(from, m.Limits)
	if m.Lending != nil {
		n.receiveShares(from, *m.Lending)
	}
	switch {
	case m.Hello != nil:
		isNew, previous := n.receiveHello(*m.Hello)
		if isNew {
			n.sendStateTo(from)
		}
		if !m.Hello.IsAnswer {
			n.answerHello(from, *m.Hello, previous)
		}
		n.logPreviousIncarnation(*m.Hello)
	case m.Load != nil:
		n.receiveLoad(*m.Load)
	case m.Loads != nil:
		n.receiveLoads(*m.Loads)
	}
}

// receiveHello records a hello. It reports whether this is the first hello of the gateway's
// process, and returns what was last received from an earlier process of that gateway, or nil.
func (n *PeerExchange) receiveHello(h peers.Hello) (isNew bool, previous *peers.PreviousIncarnation) {
	known, err := fromKnown(h.KnownGateways)
	if err != nil {
		n.log.Warn("ignored invalid gateways in a hello", zap.String("told-by", h.Address), zap.String("error", err.Error()))
	}
	isNew, previous = n.enroll(h, known, time.Now())
	n.g.tellGateways(h.GatewaysObserved)
	if previous != nil && !previous.Leaving {
		n.log.Warn("peer ended without a planned stop", zap.String("name", h.Name), zap.String("address", h.Address),
			zap.Duration("last-heard", previous.Age()), zap.Int64("life", previous.Incarnation), zap.Int64("next-life", h.Incarnation))
	}
	if isNew {
		n.g.setLimitGateways(n.self, n.liveGateways())
		n.log.Info("gateway discovered", zap.String("name", h.Name), zap.String("address", h.Address), zap.Int64("life", h.Incarnation))
	}
	return isNew, previous
}

// logPreviousIncarnation logs what another gateway last received from an earlier process of this
// gateway, since this process keeps no record of that.
func (n *PeerExchange) logPreviousIncarnation(h peers.Hello) {
	if h.Previous == nil {
		return
	}
	logLine := n.log.Info
	if !h.Previous.Leaving {
		logLine = n.log.Warn
	}
	logLine("an earlier incarnation of this process ended", zap.Bool("planned", h.Previous.Leaving), zap.Int64("life", h.Previous.Incarnation),
		zap.Duration("last-heard", h.Previous.Age()), zap.String("told-by", h.Name))
}

// enroll adds the sender of a hello, and the gateways that the hello lists, to the roster. Its
// results are those of receiveHello.
func (n *PeerExchange) enroll(h peers.Hello, known []roster.Member, now time.Time) (isNew bool, previous *peers.PreviousIncarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last, ok := n.roster.LastDirect(h.Address, now); ok && last.StartedAt < h.Incarnation {
		previous = &peers.PreviousIncarnation{Incarnation: last.StartedAt, AgeMs: last.Age.Milliseconds(), Leaving: last.Leaving}
	}
	isNew = n.roster.Receive(roster.Gateway{Address: h.Address, Domain: h.Domain, StartedAt: h.Incarnation, StoreUnreachable: h.StoreUnreachable, Leaving: h.Leaving}, now)
	n.roster.MergeMembers(known, now)
	return isNew, previous
}

// answerHello answers a hello and lists the gateways that the hello asks for, in as many messages
// as they need. Only the first message tells of the sender's previous process.
func (n *PeerExchange) answerHello(to netip.AddrPort, h peers.Hello, previous *peers.PreviousIncarnation) {
	now := time.Now()
	known := n.gatewaysAsked(h, now)
	own := n.ownHello(now)
	own.IsAnswer, own.Previous = true, previous
	for _, part := range splitForHello(known) {
		own.KnownGateways = toKnown(part)
		n.socket.Send(to, peers.Message{Hello: own})
		own.Previous = nil
	}
}

// gatewaysAsked returns the gateways that a hello asks for; none if it asks for no failure domain.
func (n *PeerExchange) gatewaysAsked(h peers.Hello, now time.Time) []roster.Member {
	if h.QueriedDomain == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.AnswerQuery(h.Domain, h.QueriedDomain, now)
}

// liveGateways returns the addresses of the other gateways that are alive and not stopping, in
// ascending order.
func (n *PeerExchange) liveGateways() (list []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.roster.Alive(time.Now()) {
		list = append(list, g.Address)
	}
	return list
}

// Run exchanges messages with other processes until ctx is done.
func (n *PeerExchange) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duties := duty.New(ctx, n.log, n.g.stats.reg, func(string) { cancel() })
	duties.Go("greet", n.helloAndFetch)
	duties.Go("tell-news", n.announceChanges)
	duties.Go("lend", n.lend)
	return duties.Wait()
}

func (n *PeerExchange) helloAndFetch(ctx context.Context) error {
	hello := time.NewTicker(helloInterval)
	defer hello.Stop()
	fetch := time.NewTicker(fetchInterval)
	defer fetch.Stop()
	noReports := time.NewTicker(noReportsHelloInterval)
	defer noReports.Stop()
	n.sendHellos()
	for {
		select {
		case <-n.viewUpdatesUntilHello():
			n.helloListedSidecars()
		case <-ctx.Done():
			return nil
		case <-hello.C:
			n.sendHellos()
		case <-fetch.C:
			n.fetchIfStale(ctx)
		case <-noReports.C:
			n.helloSidecarsIfNoReports()
		}
	}
}

// viewUpdatesUntilHello returns a channel that is closed at the next change or confirmation of
// the view. After the first hello to listed sidecars it returns nil, a channel that is never ready.
func (n *PeerExchange) viewUpdatesUntilHello() <-chan struct{} {
	if n.sidecarHelloSent {
		return nil
	}
	return n.g.view.Updated()
}

// helloListedSidecars sends hellos to sidecars as soon as any are listed, so that loads are known
// from the start and no requests are sent to groups that are still forming.
func (n *PeerExchange) helloListedSidecars() {
	to := n.sidecars()
	if len(to) == 0 {
		return
	}
	n.sidecarHelloSent = true
	n.helloSidecars(to)
}

// helloSidecarsIfNoReports sends hellos to some sidecars while none of them reports and no planned
// stop has begun. After an outage of both sides, sidecars that were not up yet have missed the last
// hello, and requests wait for their reports.
func (n *PeerExchange) helloSidecarsIfNoReports() {
	if leaving, _ := n.g.stopState(time.Now()); leaving || n.g.hasRecentRankReports(time.Now()) {
		return
	}
	n.socket.SendAll(addressesOf(roster.RandomSubset(n.sidecars(), noReportsHelloFanout, random)), peers.Message{Hello: n.sidecarHello()})
}

// ownHello returns the hello that describes this gateway.
func (n *PeerExchange) ownHello(now time.Time) *peers.Hello {
	leaving, _ := n.g.stopState(now)
	observed := n.g.gatewaysObserved()
	n.mu.Lock()
	defer n.mu.Unlock()
	return &peers.Hello{
		Name: n.name, Incarnation: n.incarnation, Address: n.self, Domain: n.domain,
		StoreUnreachable: n.storeUnreachable, Leaving: leaving, GatewaysObserved: observed,
	}
}

// sidecarHello returns the hello for sidecars. It also gives the number of gateways and lists some
// of the others, since a sidecar receives hellos from only a few gateways.
func (n *PeerExchange) sidecarHello() *peers.Hello {
	now := time.Now()
	h := n.ownHello(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	h.GatewayCount = len(n.roster.Alive(now)) + 1
	h.KnownGateways = toKnown(firstN(peers.MaxKnownGateways, n.roster.Sample(now, random)))
	return h
}

// sendHellos sends a round of hellos to gateways. Once in sidecarHelloRounds rounds, beginning
// with the first, and in every round during a planned stop, it also sends hellos and ends to
// sidecars. It updates what depends on the number of gateways, and announces changed rate limits.
func (n *PeerExchange) sendHellos() {
	now := time.Now()
	expired, hellos, others, lastHello := n.beginRound(now)
	n.g.setHeard(n.self, others)
	n.g.SetOtherGateways(len(others), lastHello)
	n.g.setLimitGateways(n.self, n.liveGateways())
	n.announceLimits()
	for _, a := range expired {
		n.log.Info("gateway no longer sends hellos", zap.String("address", a))
	}
	ends := n.g.suspects.NextToSend(n.g.cfg.Now()) // All gateways are sent the same ends.
	h := n.ownHello(now)
	for _, hello := range hellos {
		h.QueriedDomain = hello.QueryDomain
		n.socket.SendAll(addresses([]string{hello.Address}), peers.Message{Hello: h, EndBatch: ends})
	}
	n.helloRounds++
	if leaving, _ := n.g.stopState(now); !leaving && n.helloRounds%sidecarHelloRounds != 1 {
		return
	}
	sidecars := n.sidecars()
	n.helloSidecars(sidecars)
	n.sendEndsToSidecars(sidecars)
}

// beginRound begins a round of hellos. It returns the addresses of the gateways that have expired,
// the hellos to send, the other live gateways, and when the last hello was received.
func (n *PeerExchange) beginRound(now time.Time) (expired []string, hellos []roster.Hello, others []roster.Gateway, lastHello time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	expired = n.roster.Expire(now)
	hellos = n.roster.NextHellos(now, random)
	return expired, hellos, n.roster.Alive(now), n.roster.LastReceived()
}

// helloSidecars sends hellos to some of the sidecars and, if this gateway is a hub, to all sidecars
// of its failure domain.
func (n *PeerExchange) helloSidecars(all []sidecar) {
	var hub bool
	duty.Locked(&n.mu, func() { hub = n.roster.IsHub(time.Now()) })
	to := roster.RandomSubset(all, sidecarHelloFanout, random)
	if hub {
		to = append(to, filter(all, func(s sidecar) bool { return s.domain == n.domain })...)
	}
	n.socket.SendAll(addressesOf(to), peers.Message{Hello: n.sidecarHello()})
}

// firstN returns the first n elements of a list, or all if there are fewer.
func firstN[T any](n int, list []T) []T { return list[:min(n, len(list))] }

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

// sidecars returns the sidecars beside all listed engines.
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
			if a, err := peers.SidecarAddress(e.Address, n.sidecarPort); err == nil {
				list = append(list, sidecar{a, e.Domain})
			}
		}
	}
	return list
}
