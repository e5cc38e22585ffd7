// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package gateway takes callers' requests by plain HTTP, chooses an endpoint
// for each by the published configuration and relays its answer. It is not for
// reading what is published (package follow), for connections (upstream) or for
// the names on the wire, which a Codec hides.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/decide/backoff"
	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/decide/cold"
	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/decide/line"
	"github.com/canvaspulley/canvaspulley/internal/decide/passes"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
	"github.com/canvaspulley/canvaspulley/internal/decide/room"
	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/keepalive"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Codec reads and writes what requests and answers say about themselves.
type Codec struct {
	ReadCall       func(h http.Header) fleet.Call
	EndpointHeader func(in http.Header, s fleet.AttemptInfo) http.Header
	CallerHeader   func(in http.Header) http.Header
	ReadAnswer     func(status int, h http.Header) fleet.Answer
	MarkAnswer     func(h http.Header, callID string)
	EventWeights   func(line []byte) (version string, ok bool) // Of a line of an event.
}

// Config is the setting of a Gateway.
type Config struct {
	Domain        string
	SourceAddress string        // IP number that connections come from; "" for any.
	MemoryBytes   int64         // Bytes that the process may hold; 0 for no bound.
	MaxKeyAge     time.Duration // Greatest age of the configuration at which a key still counts.
	RetryShare    float64       // Repeats by requests of a service, in RetryWindow.
	RetryWindow   time.Duration
	RetryFloor    float64       // Repeats of all gateways together that need no request.
	GracePeriod   time.Duration // Longest time of a planned stop; 0 for no bound.
	// PropagationDelay is the longest time for which a caller and this gateway may go by
	// different versions of the configuration.
	PropagationDelay time.Duration
	// EndCheckDelay is how long an endpoint must live on after a stream without framing,
	// so that the end of its connection counts as the stream's.
	EndCheckDelay time.Duration
	// Now tells the time by which the configuration grows old: it must count suspensions
	// of the machine, or a key that was taken away counts for as much longer. Nil for the
	// machine's own.
	Now func() time.Time
}

// Gateway serves callers.
type Gateway struct {
	cfg   Config
	codec Codec
	view  *follow.View
	log   *zap.Logger
	pool  *upstream.Pool
	conns *keepalive.Tracker // Of callers.

	patience   *patience
	figures    *figures
	kept       *keptBytes
	suspects   *suspects.Set
	unfinished *unfinishedTries

	mu      sync.Mutex // Guards what follows.
	table   *balance.Table
	passes  *passes.Tracker
	windows map[string]*retry.Window       // By service.
	lines   map[string]*line.Queue         // By service.
	shares  map[string]*room.Share         // By group.
	took    map[string]*estimate.Estimator // Of answers in one piece, by service.
	at      map[string]map[*request]place  // Requests that may be moved, by endpoint.
	others  int                            // Gateways that are known besides this one.
	heardAt time.Time                      // When one of them was last heard.

	started       time.Time
	cold          *cold.Pacer
	backoffs      *backoff.Set
	limits        *throttle.Limits
	limitNews     chan struct{}                // Holds a value while a change of limits waits to be told.
	partWants     chan struct{}                // Holds a value while a request found no token of a limit.
	badPartsAt    time.Time                    // When a line on parts that were left out was logged.
	backlogs      map[string]*throttle.Backlog // By service; of callers refused by limits.
	coldTold      map[string]uint64            // Revisions of entries whose cold times were taken in, by endpoint.
	toldSenders   int                          // Gateways that a sidecar hears, the most that was lately told.
	toldSendersAt time.Time
	evacuated     evacuatedDomains
	ownerOf       func(k quarantine.Key) bool // Whether this gateway owns the key; nil for one without others.

	shapesMu sync.Mutex // Guards what follows.
	shapesOf *fleet.Config
	shapes   map[string]passes.Shape // By service, of shapesOf.

	lookers    errgroup.Group // Of looks whether endpoints have ended; each ends by itself.
	lastWaiter atomic.Uint64
	busy       atomic.Int64
	stopping   atomic.Pointer[time.Time] // When the planned stop began; nil before.
	ended      context.Context           // Ends with the process: no request has time left.
	end        context.CancelFunc        // Of ended.
}

// New returns a gateway that serves what view holds. The function closes its
// connections to endpoints.
func New(cfg Config, codec Codec, view *follow.View, log *zap.Logger, reg metrics.Registry) (g *Gateway, cleanup func()) {
	if cfg.Now == nil {
		cfg.Now = clock.Now
	}
	g = &Gateway{
		cfg:     cfg,
		codec:   codec,
		view:    view,
		log:     log,
		figures: newFigures(reg),
		conns: keepalive.New(keepalive.Config{
			Name:              "gateway",
			IdleTimeout:       defaultIdleTimeout,
			PropagationDelay:  cfg.PropagationDelay,
			MaxAdvertised:     maxAdvertised,
			ReadHeaderTimeout: CallerHeaderTimeout,
			GracePeriod:       cfg.GracePeriod,
		}, log, reg),

		suspects:   suspects.New(log, reg),
		unfinished: newUnfinishedTries(),
		patience:   newPatience(),
		kept:       newKeptBytes(cfg.MemoryBytes, reg),
		table:      balance.New(),
		passes:     passes.New(),
		windows:    map[string]*retry.Window{},
		lines:      map[string]*line.Queue{},
		shares:     map[string]*room.Share{},
		took:       map[string]*estimate.Estimator{},
		at:         map[string]map[*request]place{},

		started:   time.Now(),
		cold:      cold.New(),
		backoffs:  backoff.New(),
		limits:    throttle.New(),
		limitNews: make(chan struct{}, 1),
		partWants: make(chan struct{}, 1),
		backlogs:  map[string]*throttle.Backlog{},
		coldTold:  map[string]uint64{},
		evacuated: evacuatedDomains{},
	}
	g.ended, g.end = context.WithCancel(context.Background())
	g.pool, cleanup = upstream.NewPool(cfg.SourceAddress, func() { g.figures.dialed.Inc(1) })
	return g, cleanup
}

// CallerHeaderTimeout bounds the arrival of a caller's header. The published bound may change; this
// one is above what is published.
const CallerHeaderTimeout = 15 * time.Second

// defaultIdleTimeout is the idle timeout of callers' connections while none is published.
const defaultIdleTimeout = time.Minute

// sweepEvery is how often endpoints that have gone are looked at.
const sweepEvery = 500 * time.Millisecond

// Run does the housekeeping until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	return wait.Every(ctx, sweepEvery, g.sweep)
}

func (g *Gateway) sweep() {
	s := g.view.State()
	g.ViewChanged()
	g.suspects.Expire(g.cfg.Now())
	g.unfinished.forget(time.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := func(id string) bool { _, ok := s.Endpoints[id]; return ok }
	g.table.Forget(listed)
	g.passes.Forget(listed)
	g.forgetCold(listed, time.Now())
	names := make(map[string]bool, len(s.Endpoints))
	for _, e := range s.Endpoints {
		names[e.Name()] = true
	}
	g.backoffs.Forget(func(name string) bool { return names[name] }, g.cfg.Now())
	g.figures.countBackoffs(g.backoffs.Counts(g.cfg.Now()))
	g.limits.Forget(listed, g.cfg.Now())
	g.figures.limited.Update(int64(g.limits.Count()))
}

// ViewChanged is called after each change of the view: connections to endpoints
// that leave are closed at once.
func (g *Gateway) ViewChanged() {
	s := g.view.State()
	if s.Config != nil {
		g.conns.Publish(s.Config.Version(), s.Config.Limits().IdleTimeout, time.Now())
	}
	g.noteCold(s, time.Now())
	g.pool.CloseIdle(func(id string) bool {
		e, ok := s.Endpoints[id]
		return ok && !g.leaves(e)
	})
}

// ReportLoad takes in an endpoint's load by its address, since an agent knows no
// more of the endpoint beside it.
func (g *Gateway) ReportLoad(address string, l balance.Load) {
	s := g.view.State()
	e, ok := s.ByAddress[address]
	if !ok || s.Config == nil {
		return
	}
	if fleet.CompareIncarnations(e.StartedAt, l.StartedAt) < 0 {
		return
	}
	shape, ranked := g.shape(s.Config, e.Service)
	if g.noteLoad(e, l, s.Config, shape, ranked) {
		g.vacate(e.ID)
	}
}

// noteLoad takes in an endpoint's load and reports whether requests are to leave it.
func (g *Gateway) noteLoad(e fleet.Endpoint, l balance.Load, cfg *fleet.Config, shape passes.Shape, ranked bool) (vacate bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ranked = g.table.Report(e.ID, l) && ranked; ranked {
		if !l.Closed {
			g.cold.RecordGroupOpen(l.Group, l.Epoch, coldTerms(cfg, e.Service), l.At)
		}
		g.passes.Report(e.ID, l.Group, shape, passes.RankReport{Running: l.Running, PassTime: l.PassTime, Slowdown: l.Slowdown, Closed: l.Closed, At: l.At})
	}
	return ranked && g.passes.ShouldMoveRequests(e.ID, l.At)
}

// hearLimit takes in the limit of a group, in requests a rank, that its leader tells.
func (g *Gateway) hearLimit(group string, perRank float64, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passes.RecordAnnouncedLimit(group, perRank, at)
	if perRank > 0 {
		g.figures.limit.Update(perRank)
	}
}

// alone reports whether no other gateway was heard lately although there were some:
// this one is cut off.
func (g *Gateway) alone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.heardAt.IsZero() && time.Since(g.heardAt) > aloneAfter
}

// aloneAfter is how long nothing is heard of any other gateway by one that is cut
// off: some hellos.
const aloneAfter = 3 * helloEvery

// SetOtherGateways tells how many other gateways there are, and when one was last heard.
func (g *Gateway) SetOtherGateways(n int, heard time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.others, g.heardAt = n, heard
	for _, w := range g.windows {
		w.SetFloor(g.spare())
	}
}

// Parts of the published budget of repeats. Much of the spare is never used, since
// gateways may not know of each other, and the rest is split among at least so
// many gateways.
const (
	spareUsed     = 0.35
	leastGateways = 8
	// shareUsed is the part of the published share of repeats that is used: the
	// windows of the gateways do not begin together, and a gateway that starts
	// anew has forgotten its repeats.
	shareUsed = 0.8
)

func (g *Gateway) spare() float64 {
	return spareUsed * g.cfg.RetryFloor / float64(max(g.others+1, leastGateways))
}

// window returns the budget of a service. The caller holds mu.
func (g *Gateway) window(service string) *retry.Window {
	w, ok := g.windows[service]
	if !ok {
		w = retry.NewWindow(g.cfg.RetryWindow, shareUsed*g.cfg.RetryShare, g.spare())
		g.windows[service] = w
	}
	return w
}

// tookWeight is the weight of the newest answer in the usual time: as in the usual
// estimate of round trips.
const tookWeight = 0.125

// tookOf returns how long answers of a service in one piece take. The caller holds mu.
func (g *Gateway) tookOf(service string) *estimate.Estimator {
	t := g.took[service]
	if t == nil {
		fresh := estimate.New(tookWeight)
		t = &fresh
		g.took[service] = t
	}
	return t
}

// CallerConns returns the connections of callers, which the callers' server must be attached to.
func (g *Gateway) CallerConns() *keepalive.Tracker { return g.conns }

// InFlight returns the number of requests that have not ended.
func (g *Gateway) InFlight() int { return int(g.busy.Load()) }

// Stop begins the planned stop: everything that comes is still served, but
// callers are told to use other connections.
func (g *Gateway) Stop() {
	now := time.Now()
	g.stopping.Store(&now)
	g.conns.Stop(now)
}

// Terminate ends the time of all requests, since the process ends: those that can still be answered
// are, and those that come are refused. Connections to endpoints that they use are closed.
func (g *Gateway) Terminate() {
	g.end()
	if g.stopping.Load() == nil {
		g.Stop() // Callers are told to leave.
	}
}

// stopTakes is how long after the start of a planned stop requests are still
// taken: whatever is taken must be able to end within the grace period.
const stopTakes = 2700 * time.Millisecond

// maxAdvertised bounds the keep-alive timeout that callers are told: one that was
// idle at the start of a planned stop then brings its next request while those are still taken.
const maxAdvertised = 2 * time.Second

// leaving reports whether the planned stop has begun, and whether it is so far
// on that nothing more is taken.
func (g *Gateway) leaving(now time.Time) (begun, closed bool) {
	if g.ended.Err() != nil {
		return true, true
	}
	at := g.stopping.Load() // With its steady clock: the time of day may be set meanwhile.
	return at != nil, at != nil && now.Sub(*at) > stopTakes
}

// readyAge is the age of the configuration above which the process asks for no
// new callers: it could not serve their keys for much longer.
const readyAge = 3200 * time.Millisecond

// Ready reports whether new callers should come here.
func (g *Gateway) Ready(now time.Time) bool {
	begun, _ := g.leaving(now)
	return !begun && g.view.Age(now) < readyAge
}

// ReadinessHandler answers the platform's question for readiness.
func (g *Gateway) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready(g.cfg.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func random(n int) int { return rand.IntN(n) }
