// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package gateway accepts callers' requests over plain HTTP, chooses an endpoint for each one by
// the published configuration, and relays the endpoint's answer. Reading what is published is the
// task of package follow, connections to endpoints are that of package upstream, and header names
// are hidden behind a Codec.
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
	"github.com/canvaspulley/canvaspulley/internal/decide/census"
	"github.com/canvaspulley/canvaspulley/internal/decide/coldstart"
	"github.com/canvaspulley/canvaspulley/internal/decide/estimate"
	"github.com/canvaspulley/canvaspulley/internal/decide/grouplimit"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/slotshare"
	"github.com/canvaspulley/canvaspulley/internal/decide/throttle"
	"github.com/canvaspulley/canvaspulley/internal/decide/waitqueue"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/keepalive"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/upstream"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Codec reads and writes the headers of requests and answers.
type Codec struct {
	ReadCall       func(h http.Header) fleet.Call
	EndpointHeader func(in http.Header, s fleet.AttemptInfo) http.Header
	CallerHeader   func(in http.Header) http.Header
	ReadAnswer     func(status int, h http.Header) fleet.Answer
	MarkAnswer     func(h http.Header, callID string)
	EventWeights   func(line []byte) (version string, ok bool) // Reads one line of an event.
}

// Config holds the settings of a Gateway.
type Config struct {
	Domain        string
	SourceAddress string        // Source IP address of connections to endpoints; "" for any.
	MemoryBytes   int64         // Memory limit of the process; 0 for none.
	MaxKeyAge     time.Duration // Configuration age from which a customer's key is no longer accepted.
	RetryShare    float64       // Retries allowed per request of a service within RetryWindow.
	RetryWindow   time.Duration // Period over which requests and retries are counted.
	RetryFloor    float64       // Retries that all gateways together may send within RetryWindow without any request.
	GracePeriod   time.Duration // Longest planned stop; 0 for no limit.
	// PropagationDelay is the longest time for which a caller and this gateway may use different
	// versions of the configuration.
	PropagationDelay time.Duration
	// EndCheckDelay is how long after an unframed stream its endpoint must still accept
	// connections, so that the end of the connection counts as the end of the stream.
	EndCheckDelay time.Duration
	// Now returns the time by which the age of the configuration is measured, as well as
	// quarantines, backoffs, rate limits and retry windows. The clock must count suspensions of the
	// machine; otherwise a revoked key stays valid for the length of the suspension. Nil selects
	// clock.Now.
	Now func() time.Time
}

// Gateway serves callers' requests.
type Gateway struct {
	cfg         Config
	codec       Codec
	view        *follow.View
	log         *zap.Logger
	pool        *upstream.Pool
	callerConns *keepalive.Tracker // Connections of callers.

	callerTimeouts *callerTimeouts
	stats          *gatewayMetrics
	bufferedTotal  *bufferedBytes
	suspects       *suspects.Set
	unfinished     *unfinishedAttempts

	mu             sync.Mutex // Guards the fields below.
	table          *balance.Table
	passes         *grouplimit.Tracker
	retryBudgets   map[string]*retryBudget                // By service.
	queues         map[string]*waitqueue.Queue            // Requests waiting for capacity, by service.
	capacityShares map[string]*slotshare.Share            // This gateway's share of a group's free capacity, by group.
	responseTimes  map[string]*estimate.Estimator         // Of answers that are not streams, by service.
	answerTimes    map[string]*estimate.Estimator         // Of complete answers, from sending to their end, by route.
	movable        map[string]map[*request]movableRequest // Requests that may be moved to another endpoint, by endpoint.
	otherGateways  int                                    // Known gateways besides this one.
	lastHelloAt    time.Time                              // When the last hello of another gateway was received.
	heardBefore    int                                    // Known gateways with a lower address than this one.
	heardDomains   map[string]bool                        // Failure domains of known gateways.
	census         *census.Census                         // Estimate of how many gateways are alive.

	started               time.Time
	cold                  *coldstart.Pacer
	backoffs              *backoff.Set
	limits                *throttle.Limits
	limitsChanged         chan struct{}                // Holds a value while a change of limits waits to be announced.
	sharesWanted          chan struct{}                // Holds a value from when a request finds no token of a rate limit until lend receives it.
	invalidSharesLoggedAt time.Time                    // When an invalid message about shares was last logged.
	backlogs              map[string]*throttle.Backlog // Callers refused by rate limits, by service.
	coldRevisions         map[string]uint64            // Revision of the entry whose cold time was applied, by endpoint.
	reportedGateways      int                          // Most gateways that a sidecar lately reported to know.
	reportedGatewaysAt    time.Time                    // When reportedGateways was reported.
	evacuated             evacuatedDomains
	ownsTrialKey          func(k quarantine.Key) bool // Whether trials of a key run here; nil without peers.

	shapesMu     sync.Mutex                  // Guards the fields below.
	shapesConfig *fleet.Config               // Configuration from which shapes were computed.
	shapes       map[string]grouplimit.Shape // By service; filled on first use.

	endChecks        errgroup.Group // Delayed checks whether endpoints have ended; each returns by itself.
	lastWaiterID     atomic.Uint64
	inFlight         atomic.Int64
	stopBegan        atomic.Pointer[time.Time] // When the planned stop began; nil before.
	processCtx       context.Context           // Canceled when the process terminates: no request has time left.
	cancelProcessCtx context.CancelFunc        // Cancels processCtx.
}

// New returns a gateway that serves the configuration and endpoints in view. The cleanup function
// closes the connections to endpoints.
func New(cfg Config, codec Codec, view *follow.View, log *zap.Logger, reg metrics.Registry) (g *Gateway, cleanup func()) {
	if cfg.Now == nil {
		cfg.Now = clock.Now
	}
	g = &Gateway{
		cfg:   cfg,
		codec: codec,
		view:  view,
		log:   log,
		stats: newGatewayMetrics(reg),
		callerConns: keepalive.New(keepalive.Config{
			Name:              "gateway",
			IdleTimeout:       defaultIdleTimeout,
			PropagationDelay:  cfg.PropagationDelay,
			MaxAdvertised:     maxAdvertisedKeepAlive,
			ReadHeaderTimeout: CallerHeaderTimeout,
			GracePeriod:       cfg.GracePeriod,
		}, log, reg),

		suspects:       suspects.New(log, reg),
		unfinished:     newUnfinishedAttempts(),
		callerTimeouts: newCallerTimeouts(),
		bufferedTotal:  newBufferedBytes(cfg.MemoryBytes, reg),
		table:          balance.New(),
		passes:         grouplimit.New(),
		retryBudgets:   map[string]*retryBudget{},
		census:         census.New(censusSettleTime),
		queues:         map[string]*waitqueue.Queue{},
		capacityShares: map[string]*slotshare.Share{},
		responseTimes:  map[string]*estimate.Estimator{},
		answerTimes:    map[string]*estimate.Estimator{},
		movable:        map[string]map[*request]movableRequest{},

		started:       time.Now(),
		cold:          coldstart.New(),
		backoffs:      backoff.New(),
		limits:        throttle.New(),
		limitsChanged: make(chan struct{}, 1),
		sharesWanted:  make(chan struct{}, 1),
		backlogs:      map[string]*throttle.Backlog{},
		coldRevisions: map[string]uint64{},
		evacuated:     evacuatedDomains{},
	}
	g.processCtx, g.cancelProcessCtx = context.WithCancel(context.Background())
	g.pool, cleanup = upstream.NewPool(cfg.SourceAddress, func() { g.stats.dialed.Inc(1) })
	return g, cleanup
}

// CallerHeaderTimeout is the time limit for a caller's request header. The published limit may
// change, and this one is above any that is published.
const CallerHeaderTimeout = 15 * time.Second

// defaultIdleTimeout is the idle timeout of callers' connections until one is published.
const defaultIdleTimeout = time.Minute

// sweepInterval is the time between two removals of state of endpoints that are no longer listed.
const sweepInterval = 500 * time.Millisecond

// Run applies the view and removes outdated state every sweepInterval until ctx is done.
func (g *Gateway) Run(ctx context.Context) error {
	return wait.Every(ctx, sweepInterval, g.sweep)
}

// sweep applies the view as ViewChanged does, and removes the state of endpoints that are no longer
// listed and other state that has expired. It also updates the gauges of backoffs and rate limits.
// Each kind of state is compared with the clock by which its entries were recorded: Now of the
// Config, which counts suspensions of the machine, or time.Now.
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
	g.stats.setBackoffs(g.backoffs.Counts(g.cfg.Now()))
	g.limits.Forget(listed, g.cfg.Now())
	g.stats.limited.Update(int64(g.limits.Count()))
	g.reportRetryBudgets(g.cfg.Now())
}

// ViewChanged must be called after each change of the view. It publishes the idle timeout of
// callers' connections and applies the changes of cold endpoints and evacuated failure domains. It
// also closes at once the idle connections to endpoints that are leaving or no longer listed.
func (g *Gateway) ViewChanged() {
	s := g.view.State()
	if s.Config != nil {
		g.callerConns.Publish(s.Config.Version(), s.Config.Limits().IdleTimeout, time.Now())
	}
	g.updateColdAndEvacuated(s, time.Now())
	g.pool.CloseIdle(func(id string) bool {
		e, ok := s.Endpoints[id]
		return ok && !g.isLeaving(e)
	})
}

// ReportLoad records the load of the endpoint at an address, and moves requests away from the
// endpoint if it is too slow. The reporter is a process beside the endpoint, which knows no more of
// it than its address. The report is ignored if no endpoint is listed at the address, if there is
// no configuration yet, or if it is from an earlier process than the listed one.
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
	if g.applyLoad(e, l, s.Config, shape, ranked) {
		g.moveRequests(e.ID)
	}
}

// applyLoad records an endpoint's load and reports whether its requests should be moved away. The
// argument ranked says whether the endpoint is a rank whose passes are modeled by shape; the passes
// of others are not tracked. A load of an earlier process than the known one is ignored.
func (g *Gateway) applyLoad(e fleet.Endpoint, l balance.Load, cfg *fleet.Config, shape grouplimit.Shape, ranked bool) (moveAway bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ranked = g.table.Report(e.ID, l) && ranked; ranked {
		if !l.Closed {
			g.cold.RecordGroupOpen(l.Group, l.Epoch, coldTerms(cfg, e.Service), l.At)
		}
		g.passes.Report(e.ID, l.Group, shape, grouplimit.RankReport{Running: l.Running, PassTime: l.PassTime, Slowdown: l.Slowdown, Closed: l.Closed, At: l.At})
	}
	return ranked && g.passes.ShouldMoveRequests(e.ID, l.At)
}

// setGroupLimit records the limit of a group in requests per rank, as announced by the group's
// leader.
func (g *Gateway) setGroupLimit(group string, perRank float64, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passes.RecordAnnouncedLimit(group, perRank, at)
	if perRank > 0 {
		g.stats.limitPerRank.Update(perRank)
	}
}

// isolated reports whether this gateway is cut off: it has received hellos of other gateways, but
// none within isolatedAfter.
func (g *Gateway) isolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.lastHelloAt.IsZero() && time.Since(g.lastHelloAt) > isolatedAfter
}

// isolatedAfter is how long a gateway receives no hello until it counts as cut off: a few hello
// intervals.
const isolatedAfter = 3 * helloInterval

// SetOtherGateways sets the number of other gateways and the time of the last hello from any of
// them. It must be called regularly: the estimate of how many share the retry budgets depends on it.
func (g *Gateway) SetOtherGateways(n int, lastHello time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.otherGateways, g.lastHelloAt = n, lastHello
	g.census.Observe(g.contact(), g.cfg.Now())
}

// responseTimeWeight is the weight of the newest sample in the average response time, as is usual
// for estimates of round-trip times.
const responseTimeWeight = 0.125

// responseEstimator returns the estimator of the time that a service takes for an answer that is
// not a stream. Its first call for a service adds one without samples. The caller holds mu.
func (g *Gateway) responseEstimator(service string) *estimate.Estimator {
	t := g.responseTimes[service]
	if t == nil {
		estimated := estimate.New(responseTimeWeight)
		t = &estimated
		g.responseTimes[service] = t
	}
	return t
}

// CallerConns returns the tracker of callers' connections. The HTTP server for callers must be
// attached to it.
func (g *Gateway) CallerConns() *keepalive.Tracker { return g.callerConns }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Stop begins the planned stop: requests are still accepted and served, but callers are asked to
// close their connections.
func (g *Gateway) Stop() {
	now := time.Now()
	g.stopBegan.Store(&now)
	g.callerConns.Stop(now)
}

// Terminate ends all requests because the process is about to exit. Requests that can still be
// answered are answered, new ones are refused, and the connections to endpoints that requests use
// are closed.
func (g *Gateway) Terminate() {
	g.cancelProcessCtx()
	if g.stopBegan.Load() == nil {
		g.Stop() // Callers are asked to close their connections.
	}
}

// stopAcceptTime is how long after the start of a planned stop requests are still accepted. An accepted
// request is sent only while it can be expected to end before the process, see mayBegin.
const stopAcceptTime = 2700 * time.Millisecond

// maxAdvertisedKeepAlive limits the keep-alive timeout that is advertised to callers, so that the
// next request on a connection that was idle at the start of a planned stop arrives while requests
// are still accepted.
const maxAdvertisedKeepAlive = 2 * time.Second

// stopState reports whether the planned stop has begun, and whether new requests are refused
// because it has lasted for more than stopAcceptTime. Both are true once the process terminates.
func (g *Gateway) stopState(now time.Time) (begun, refusing bool) {
	if g.processCtx.Err() != nil {
		return true, true
	}
	began := g.stopBegan.Load() // Measured by the monotonic clock, since the wall clock may be set meanwhile.
	return began != nil, began != nil && now.Sub(*began) > stopAcceptTime
}

// maxReadyAge is the configuration age from which the process reports that it is not ready for new
// callers: it could not accept their keys for much longer.
const maxReadyAge = 3200 * time.Millisecond

// Ready reports whether new callers should be routed to this gateway: no planned stop has begun,
// and the configuration is younger than maxReadyAge.
func (g *Gateway) Ready(now time.Time) bool {
	begun, _ := g.stopState(now)
	return !begun && g.view.Age(now) < maxReadyAge
}

// ReadinessHandler returns the handler of the platform's readiness probe.
func (g *Gateway) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready(g.cfg.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// random returns a random number in [0, n).
func random(n int) int { return rand.IntN(n) }
