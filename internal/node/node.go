// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package node implements the part that all processes of the system share, whatever their role: it
// maintains the view of the peers and the published configuration, propagates both, and serves the
// operators' listener. It takes decisions only through the packages under internal/decide and does not
// serve callers.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/chart"
	"github.com/canvaspulley/canvaspulley/internal/decide/configadopt"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/requestid"
	"github.com/canvaspulley/canvaspulley/internal/ring"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/trust"
	"github.com/canvaspulley/canvaspulley/internal/wait"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Events of the chart "drain". The event woke means that the process was paused.
const (
	eventConfigured chart.Event = "configured"
	eventLeave      chart.Event = "leave"
	eventWoke       chart.Event = "woke"
	eventConfirmed  chart.Event = "confirmed"
	eventIdle       chart.Event = "idle"
)

// States of the chart "drain".
const (
	Starting chart.State = "starting"
	Serving  chart.State = "serving"
	Doubting chart.State = "doubting" // The process was paused; it admits nothing until it has contacted a peer.
	Draining chart.State = "draining"
	Stopped  chart.State = "stopped"
)

// Capacities and times that are not configurable.
const (
	updatesPerMessage = 12
	probeRelays       = 2
	pushFanout        = 3 // Determines to how many peers a new generation or a planned stop is sent immediately; see pushToPeers.
	hintCapacity      = 64
	pushCapacity      = 64
	forgetAfter       = time.Hour
	callTimeout       = time.Second
)

// hint names a source that may have a newer generation.
type hint struct {
	from    string // Peer address; "" for the configuration service.
	version published.Version
}

// Node is the part of a process that does not depend on its role.
type Node struct {
	cfg           *settings.Settings
	log           *zap.Logger
	reg           metrics.Registry
	trail         *audit.Trail
	creds         *trust.Credentials
	peers         *http.Client
	configService *adapter.ConfigService
	instances     *adapter.Instances
	startedAt     time.Time

	suspects *suspects.Set

	config  atomic.Pointer[published.Config] // Nil until the first generation is adopted.
	hints   *ring.Queue[hint]                // When it is full, a hint is dropped; the next message brings another one.
	pushes  *ring.Queue[member.Member]       // When it is full, a push is dropped; gossip sends the content later.
	leaving chan struct{}                    // Closed when the planned stop begins.
	onDead  func(member.Member)              // Called with each member that is declared dead; set before Run.

	mu             sync.Mutex
	table          *member.Table
	spread         *configadopt.State
	manifest       published.Manifest
	olderManifests []olderManifest   // Those in effect before manifest, newest first.
	values         map[string][]byte // By hash; exactly the values of manifest.
	machine        *chart.Machine
	lastConflict   published.Version // Manifest of the newest conflict on the audit trail.
	lastContact    time.Time         // When messages were last exchanged with a peer, or no peer was known.
	superseded     bool              // A later process has the same name or endpoint.

	byEndpoint        map[string]member.Member // Result of ByEndpoint for the view byEndpointVersion.
	byEndpointVersion uint64
}

// New returns a node, which Run starts. The name, role and addresses come from set.
func New(set *settings.Settings, log *zap.Logger) (n *Node, err error) {
	defer func() { err = errors.Wrap(err, "node") }()
	reg := metrics.NewRegistry()
	creds, err := trust.Load(set.CA, set.Certificate, set.PrivateKey)
	if err != nil {
		return nil, err
	}
	transport := adapter.NewTransport(set.SourceIP)
	transport.TLSClientConfig = creds.Client()
	direct := httphead.NewClient(adapter.NewTransport(set.SourceIP))
	n = &Node{
		cfg:           set,
		log:           log,
		reg:           reg,
		trail:         audit.New(set.Name, log, reg),
		creds:         creds,
		peers:         httphead.NewClient(transport),
		configService: adapter.NewConfigService(set.ConfigServiceURL, direct),
		instances:     adapter.NewInstances(set.InstancesURL, direct),
		startedAt:     time.Now(),
		hints:         ring.NewQueue[hint](hintCapacity),
		pushes:        ring.NewQueue[member.Member](pushCapacity),
		leaving:       make(chan struct{}),
		onDead:        func(member.Member) {},
		spread:        configadopt.New(),
		values:        map[string][]byte{},

		suspects: suspects.New(log, reg),
		machine:  chart.MustLoad("drain").NewMachine(),
	}
	n.table = member.New(member.Config{
		ProbeInterval:    set.GossipInterval,
		SuspicionTimeout: set.SuspectAfter,
		ForgetAfter:      forgetAfter,
		MaxUpdates:       updatesPerMessage,
		IndirectProbes:   probeRelays,
	}, member.Member{
		Name: set.Name, Role: string(set.Role), Endpoint: set.Endpoint, Domain: set.Domain,
		Address: set.AdvertisedAddress, StartedAt: n.startedAt.UnixMilli(),
	})
	return n, nil
}

// Settings returns the node's settings.
func (n *Node) Settings() *settings.Settings { return n.cfg }

// Log returns the node's log.
func (n *Node) Log() *zap.Logger { return n.log }

// Metrics returns the node's metrics registry.
func (n *Node) Metrics() metrics.Registry { return n.reg }

// Trail returns the node's audit trail.
func (n *Node) Trail() *audit.Trail { return n.trail }

// Credentials returns the TLS credentials that the node uses and requires of peers.
func (n *Node) Credentials() *trust.Credentials { return n.creds }

// Started returns the time at which the process started.
func (n *Node) Started() time.Time { return n.startedAt }

// Config returns the generation in effect; ok is false before the first one is adopted.
func (n *Node) Config() (c *published.Config, ok bool) {
	c = n.config.Load()
	return c, c != nil
}

// State returns the node's state in the chart "drain".
func (n *Node) State() chart.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.State()
}

// Leaving returns a channel that is closed when the planned stop begins.
func (n *Node) Leaving() <-chan struct{} { return n.leaving }

// OnDead sets the function that is called with each member that is declared dead. It must be called
// before Run.
func (n *Node) OnDead(f func(member.Member)) { n.onDead = f }

// Members returns the members that satisfy keep, including the node itself.
func (n *Node) Members(keep func(member.Member) bool) []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Members(keep)
}

// ByEndpoint returns the members that hold endpoints and are not dead, by the name of the endpoint. If
// two members claim an endpoint, the process that started later holds it. The map is cached until a
// member changes; it is shared and must not be modified.
func (n *Node) ByEndpoint() map[string]member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byEndpoint != nil && n.byEndpointVersion == n.table.ViewVersion() {
		return n.byEndpoint
	}
	found := map[string]member.Member{}
	for _, m := range n.table.Members(func(m member.Member) bool { return m.Endpoint != "" && m.State != member.Dead }) {
		if old, dup := found[m.Endpoint]; !dup || m.StartedAt > old.StartedAt {
			found[m.Endpoint] = m
		}
	}
	n.byEndpoint, n.byEndpointVersion = found, n.table.ViewVersion()
	return found
}

// Run runs the node's background tasks until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := duty.New(ctx, n.log, n.Metrics(), func(string) { cancel() })
	d.Go("gossip", n.gossip)
	d.Go("push", n.push)
	d.Go("fetch", n.fetch)
	d.Go("watch", n.watch)
	d.Go("read-list", n.readList)
	d.Go("tell-news", n.pushSuspects)
	return d.Wait()
}

// suspectsInterval is the minimum time between two pushes of process ends. When a process ends during
// several requests, their reports arrive together and are sent in one push.
const suspectsInterval = 10 * time.Millisecond

// pushSuspects immediately pushes process ends seen by this node to a few peers; gossip spreads them to all.
func (n *Node) pushSuspects(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.suspects.Pending():
		}
		n.pushToPeers()
		wait.For(ctx, suspectsInterval)
	}
}

// Leave begins the planned stop: the node informs peers and closes the channel of Leaving.
func (n *Node) Leave(cause string) {
	var changed bool
	duty.Locked(&n.mu, func() {
		changed = n.machine.Apply(eventLeave)
		n.table.Leave()
	})
	if !changed {
		return
	}
	n.trail.Add(audit.Drain, n.cfg.Name, cause)
	close(n.leaving)
	n.pushToPeers()
}

// MarkIdle records that no requests are in flight, which completes a planned stop that has begun. It
// reports whether the planned stop is complete.
func (n *Node) MarkIdle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machine.Apply(eventIdle)
	return n.machine.State() == Stopped
}

// pushToPeers queues a few random peers for the task push, which exchanges messages with them. It
// picks up to probeRelays peers, and as many again pushFanout - probeRelays times: up to four in all.
// Each time picks from all peers, so that a peer may be queued twice.
func (n *Node) pushToPeers() {
	var targets []member.Member
	duty.Locked(&n.mu, func() {
		targets = n.table.PickRandom(n.cfg.Name, rand.Uint64())
		for range pushFanout - probeRelays {
			targets = append(targets, n.table.PickRandom(n.cfg.Name, rand.Uint64())...)
		}
	})
	for _, m := range targets {
		n.pushes.Offer(m)
	}
}

// Refusal returns the refusal of new requests by this node, or nil if it admits them. A node that serves
// still refuses until keys that it mints cannot be mistaken for keys of an earlier process.
func (n *Node) Refusal() *wire.Refusal {
	switch n.State() {
	case Serving:
		if early := n.cfg.ClockSkew + requestid.KeyTimeResolution - time.Since(n.startedAt); early > 0 {
			// Keys minted now may be indistinguishable from keys of an earlier process.
			return wire.Refuse(http.StatusServiceUnavailable, early, "process has just started")
		}
		return nil
	case Starting:
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "no configuration yet")
	case Doubting:
		return wire.Refuse(http.StatusServiceUnavailable, n.cfg.GossipInterval, "process was paused")
	default:
		return wire.Refuse(http.StatusServiceUnavailable, n.cfg.GossipInterval, "instance is leaving")
	}
}

// PeerURL returns the URL of a path on a peer's listener.
func (n *Node) PeerURL(address, path string) string {
	return n.creds.Scheme() + "://" + address + path
}

// Listen opens a TCP listener.
func Listen(address string) (l net.Listener, err error) {
	l, err = net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}
