// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package node is what every process of the system does, whatever its role: it
// keeps the view of its peers and the published configuration, tells both on,
// and answers operators. It takes decisions only through the packages under
// internal/decide and serves no callers.
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
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/spread"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/ident"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/ring"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/trust"
	"github.com/canvaspulley/canvaspulley/internal/wait"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Events of the chart "drain".
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
	Doubting chart.State = "doubting"
	Draining chart.State = "draining"
	Stopped  chart.State = "stopped"
)

// Sizes and times that no operator needs to set.
const (
	newsRows    = 12
	helpers     = 2
	fanOut      = 3 // Peers told at once of a new generation or of leaving.
	hintRing    = 64
	pushRing    = 64
	forgetAfter = time.Hour
	callTimeout = time.Second
)

// hint says where a newer generation may be had.
type hint struct {
	from    string // Peer address; "" for the configuration service.
	version published.Version
}

// Node is the shared part of a process.
type Node struct {
	set   *settings.Settings
	log   *zap.Logger
	reg   metrics.Registry
	trail *audit.Trail
	creds *trust.Credentials
	peers *http.Client
	conf  *adapter.ConfigService
	list  *adapter.Instances
	start time.Time

	suspects *suspects.Set

	config atomic.Pointer[published.Config] // Nil until the first generation is adopted.
	hints  *ring.Queue[hint]                // Full: refused; the next message hints again.
	pushes *ring.Queue[member.Member]       // Full: refused; gossip tells it later.
	left   chan struct{}                    // Closed when the planned stop begins.
	gone   func(member.Member)              // Told of each member that is given up; set before Run.

	mu       sync.Mutex
	table    *member.Table
	spread   *spread.State
	manifest published.Manifest
	older    []olderManifest   // The ones before manifest, newest first.
	values   map[string][]byte // By hash; exactly those of manifest.
	life     *chart.Machine
	clash    published.Version // Newest clash on the trail.
	heard    time.Time         // Last word with a peer, or of being alone.
	heir     bool              // A later process has the name or the slot.

	slots      map[string]member.Member // What ByEndpoint returned at slotsStamp.
	slotsStamp uint64
}

// New returns a node that is started by Run. The name, role and addresses come
// from set.
func New(set *settings.Settings, log *zap.Logger) (n *Node, err error) {
	defer func() { err = errors.Wrap(err, "node") }()
	reg := metrics.NewRegistry()
	creds, err := trust.Load(set.CA, set.Certificate, set.PrivateKey)
	if err != nil {
		return nil, err
	}
	transport := adapter.NewTransport(set.SourceIP)
	transport.TLSClientConfig = creds.Client()
	direct := &http.Client{Transport: adapter.NewTransport(set.SourceIP)}
	n = &Node{
		set:    set,
		log:    log,
		reg:    reg,
		trail:  audit.New(set.Name, log, reg),
		creds:  creds,
		peers:  &http.Client{Transport: transport},
		conf:   adapter.NewConfigService(set.ConfigServiceURL, direct),
		list:   adapter.NewInstances(set.InstancesURL, direct),
		start:  time.Now(),
		hints:  ring.NewQueue[hint](hintRing),
		pushes: ring.NewQueue[member.Member](pushRing),
		left:   make(chan struct{}),
		gone:   func(member.Member) {},
		spread: spread.New(),
		values: map[string][]byte{},

		suspects: suspects.New(log, reg),
		life:     chart.MustLoad("drain").NewMachine(),
	}
	n.table = member.New(member.Config{
		ProbeInterval:    set.GossipInterval,
		SuspicionTimeout: set.SuspectAfter,
		ForgetAfter:      forgetAfter,
		MaxUpdates:       newsRows,
		IndirectProbes:   helpers,
	}, member.Member{
		Name: set.Name, Role: string(set.Role), Endpoint: set.Endpoint, Domain: set.Domain,
		Address: set.AdvertisedAddress, StartedAt: n.start.UnixMilli(),
	})
	return n, nil
}

// Settings returns the node's own settings.
func (n *Node) Settings() *settings.Settings { return n.set }

// Log returns the node's log.
func (n *Node) Log() *zap.Logger { return n.log }

// Metrics returns the node's registry.
func (n *Node) Metrics() metrics.Registry { return n.reg }

// Trail returns the node's audit trail.
func (n *Node) Trail() *audit.Trail { return n.trail }

// Credentials returns what the node shows to peers and asks of them.
func (n *Node) Credentials() *trust.Credentials { return n.creds }

// Started returns the start of the process.
func (n *Node) Started() time.Time { return n.start }

// Config returns the generation in force; ok is false before the first one.
func (n *Node) Config() (c *published.Config, ok bool) {
	c = n.config.Load()
	return c, c != nil
}

// State returns the place in the chart "drain".
func (n *Node) State() chart.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life.State()
}

// Leaving is closed when the planned stop begins.
func (n *Node) Leaving() <-chan struct{} { return n.left }

// OnDead sets the function that is told of each member that is given up. It
// must be called before Run.
func (n *Node) OnDead(f func(member.Member)) { n.gone = f }

// Members lists the members that satisfy keep, the node itself included.
func (n *Node) Members(keep func(member.Member) bool) []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Members(keep)
}

// ByEndpoint finds the living members that fill slots, by slot. When two claim
// one slot, the later life has it. The map is shared and must not be changed.
func (n *Node) ByEndpoint() map[string]member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.slots != nil && n.slotsStamp == n.table.ViewVersion() {
		return n.slots
	}
	found := map[string]member.Member{}
	for _, m := range n.table.Members(func(m member.Member) bool { return m.Endpoint != "" && m.State != member.Dead }) {
		if old, dup := found[m.Endpoint]; !dup || m.StartedAt > old.StartedAt {
			found[m.Endpoint] = m
		}
	}
	n.slots, n.slotsStamp = found, n.table.ViewVersion()
	return found
}

// Run does the node's duties until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := duty.New(ctx, n.log, n.Metrics(), func(string) { cancel() })
	d.Go("gossip", n.gossip)
	d.Go("push", n.push)
	d.Go("fetch", n.fetch)
	d.Go("watch", n.watch)
	d.Go("read-list", n.readList)
	d.Go("tell-news", n.tellNews)
	return d.Wait()
}

// newsPause is the least time between two pushes of ends: those under which one process
// ended come together.
const newsPause = 10 * time.Millisecond

// tellNews has ends that were seen here told to a few peers at once; gossip tells all.
func (n *Node) tellNews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.suspects.Pending():
		}
		n.pushSome()
		wait.For(ctx, newsPause)
	}
}

// Leave begins the planned stop: peers are told and Left is closed.
func (n *Node) Leave(cause string) {
	var changed bool
	duty.Locked(&n.mu, func() {
		changed = n.life.Apply(eventLeave)
		n.table.Leave()
	})
	if !changed {
		return
	}
	n.trail.Add(audit.Drain, n.set.Name, cause)
	close(n.left)
	n.pushSome()
}

// MarkIdle takes note that nothing runs any more; it reports whether the planned
// stop is complete.
func (n *Node) MarkIdle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.life.Apply(eventIdle)
	return n.life.State() == Stopped
}

// pushSome asks the duty push to tell a few peers at once.
func (n *Node) pushSome() {
	var some []member.Member
	duty.Locked(&n.mu, func() {
		some = n.table.PickRandom(n.set.Name, rand.Uint64())
		for range fanOut - helpers {
			some = append(some, n.table.PickRandom(n.set.Name, rand.Uint64())...)
		}
	})
	for _, m := range some {
		n.pushes.Offer(m)
	}
}

// Refusal returns why the node takes in nothing new, or nil when it does.
func (n *Node) Refusal() *wire.Refusal {
	switch n.State() {
	case Serving:
		if early := n.set.ClockSkew + ident.KeyTimeResolution - time.Since(n.start); early > 0 {
			// Keys minted now cannot yet be told from those of an earlier life.
			return wire.Refuse(http.StatusServiceUnavailable, early, "process has just started")
		}
		return nil
	case Starting:
		return wire.Refuse(http.StatusServiceUnavailable, time.Second, "no configuration yet")
	case Doubting:
		return wire.Refuse(http.StatusServiceUnavailable, n.set.GossipInterval, "process was paused")
	default:
		return wire.Refuse(http.StatusServiceUnavailable, n.set.GossipInterval, "instance is leaving")
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
