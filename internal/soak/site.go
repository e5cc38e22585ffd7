// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/rank/ranktest"
	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// Names that the site uses.
const (
	host       = "soak.example"
	movingPath = "/once/x" // The route of this path moves between the two plain services.
	modelName  = "model"
	fileMode   = 0o600
)

var plainServices = [...]string{"east", "west"}

// passTime is the time between two passes of a stand-in engine.
const passTime = 10 * time.Millisecond

// siteGateway holds the addresses, settings file and process of a gateway.
type siteGateway struct {
	ip, callers, readiness, peers, file string
	proc                                *process
}

// siteEndpoint is a stand-in of an endpoint, behind a proxy.
type siteEndpoint struct {
	name       string
	service    string
	domain     string
	address    string // Published address, which is the proxy's.
	target     string // Address of the endpoint itself.
	proxy      *proxy
	handler    http.Handler
	srv        *http.Server // Guarded by the site's mu, like startedAt.
	startedAt  int64        // Start of the current incarnation in Unix milliseconds.
	restarting bool         // The endpoint is ending and will start again under its name.
	seed       uint64       // Seed of the run.

	mu              sync.Mutex // Guards the fields below.
	behaviours      []standin.Behaviour
	failPercent     int // Percentage of requests that are not served.
	misbehavesUntil time.Time

	signals      standin.Signals // Without the backoff.
	backoffUntil time.Time
}

// behave returns what the endpoint does with an attempt. Each attempt makes a draw of its own,
// which is derived from the seed.
func (e *siteEndpoint) behave(id string) standin.Behaviour {
	if strings.HasPrefix(id, crashingPrefix) {
		return standin.ExitsProcess
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().After(e.misbehavesUntil) {
		return standin.Serves
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, id+" at "+e.name) // Writing to a hash does not fail.
	rnd := rand.New(rand.NewPCG(e.seed, h.Sum64()))
	if rnd.IntN(100) >= e.failPercent {
		return standin.Serves
	}
	return e.behaviours[rnd.IntN(len(e.behaviours))]
}

// misbehave makes a percentage of the requests draw one of the behaviours for a duration.
func (e *siteEndpoint) misbehave(d time.Duration, failPercent int, behaviours ...standin.Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviours, e.failPercent, e.misbehavesUntil = behaviours, failPercent, time.Now().Add(d)
}

// siteSidecar holds the settings file and process of the sidecar of a stand-in engine.
type siteSidecar struct {
	file string
	proc *process
}

// site holds the stand-ins and the processes of a run.
type site struct {
	cfg          Config
	dir          string
	netPrefix    string // First three octets of the site's own loopback addresses.
	store        *standin.Store
	storeAddress string
	storeProxy   *proxy
	group        *ranktest.Group
	gateways     []*siteGateway
	sidecars     []*siteSidecar
	ledger       *ledger
	servers      errgroup.Group
	closers      []func()
	logMu        sync.Mutex
	portsTried   atomic.Int64 // Number of ports tried so far.

	mu               sync.Mutex // Guards the fields below.
	endpoints        []*siteEndpoint
	version          uint64
	routeService     string
	keys             [][]string    // Valid keys by customer.
	revokedKeys      []string      // The name of a key contains the number of its customer.
	idleTimeout      time.Duration // Published idle timeout; 0 for the stand-in's default.
	endpointsStarted int
	closed           bool // The run is over: endpoints are not started again.
	sidecarsPort     int  // Port of the sidecars.
	// activeEvacuations is the number of evacuations in progress by failure domain.
	activeEvacuations map[string]int
}

// domains are the failure domains of gateways and plain endpoints.
var domains = [...]string{"a", "b"}

// domain returns the failure domain of the i-th of several gateways or endpoints. For the sets
// before FourthKinds all are in the first domain, as they were when seeds of these sets found their
// bugs: endpoints in the gateway's domain are preferred, so hardly any request would reach a
// misbehaving endpoint in the other domain.
func (s *site) domain(i int) string {
	if s.cfg.Kinds < FourthKinds {
		return domains[0]
	}
	return domains[i%len(domains)]
}

// customers is the number of customers.
const customers = 3

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

// newSite creates a site and starts everything except the callers.
func newSite(cfg Config) (s *site, err error) {
	defer func() { err = errors.Wrap(err, "soak site") }()
	s = &site{cfg: cfg, netPrefix: uniqueNetPrefix(), store: standin.NewStore(), ledger: newLedger(), routeService: plainServices[0], activeEvacuations: map[string]int{}}
	s.ledger.routeMovedAt, s.ledger.routeService = time.Now(), s.routeService
	if s.dir, err = os.MkdirTemp(cfg.Dir, fmt.Sprintf("seed-%d-", cfg.Seed)); err != nil {
		return nil, err
	}
	if err = s.startPlatform(); err != nil {
		s.close()
		return nil, err
	}
	if err = s.startProcesses(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// siteCount is the number of sites that this process has created.
var siteCount atomic.Int64

// uniqueNetPrefix returns the first three octets of loopback addresses that no other site uses, so
// that ports which were found free at them stay free.
func uniqueNetPrefix() string {
	const second, third = 128, 250 // Numbers of values of the second and the third octet.
	pid, n := int64(os.Getpid()), siteCount.Add(1)
	return fmt.Sprintf("127.%d.%d", 64+pid%second, (pid/second+n*41)%third)
}

// ip returns the site's address with the last octet given.
func (s *site) ip(last int) string { return fmt.Sprintf("%s.%d", s.netPrefix, last) }

// Last octets of addresses; where several follow one another, the first of them.
const (
	storeIP      = 1
	gatewayIP    = 10
	engineIP     = 100
	plainIP      = 180
	plainIPCount = 60 // Number of addresses of plain endpoints; later endpoints reuse them.
)

// Range of ports to listen on. It lies below the range from which Linux takes the ports of outgoing
// connections: otherwise one of these could occupy the port of a process that ends and starts again.
const firstPort, lastPort = 20000, 32000

// listen listens on the same port of all addresses given; nothing else on the site uses that port.
func (s *site) listen(ips ...string) (list []net.Listener, err error) {
	for port := firstPort + s.portsTried.Add(1); port < lastPort; port = firstPort + s.portsTried.Add(1) {
		if list, err = listenAt(int(port), ips); !errors.Is(err, syscall.EADDRINUSE) {
			return list, err
		}
	}
	return nil, errors.Newf("no port from %d to %d is free", firstPort, lastPort)
}

// listenAt listens on a port of all addresses, or of none when one of them fails.
func listenAt(port int, ips []string) (list []net.Listener, err error) {
	for _, ip := range ips {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			for _, open := range list {
				_ = open.Close() // It has accepted nothing.
			}
			return nil, err
		}
		list = append(list, l)
	}
	return list, nil
}

// serve serves a handler on a free port of an address.
func (s *site) serve(ip string, h http.Handler) (address string, srv *http.Server, err error) {
	l, err := s.listen(ip)
	if err != nil {
		return "", nil, err
	}
	return l[0].Addr().String(), s.serveOn(l[0], h), nil
}

func (s *site) serveOn(l net.Listener, h http.Handler) (srv *http.Server) {
	srv = &http.Server{Handler: h, ReadHeaderTimeout: callerTimeout}
	s.servers.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	s.closers = append(s.closers, func() { _ = srv.Close() })
	return srv
}

// addProxy starts a proxy in front of a target.
func (s *site) addProxy(ip, target string) (p *proxy, address string, err error) {
	l, err := s.listen(ip)
	if err != nil {
		return nil, "", err
	}
	p, cleanup := newProxy(l[0], target, s.logf)
	s.closers = append(s.closers, cleanup)
	return p, p.listener.Addr().String(), nil
}

func (s *site) startPlatform() (err error) {
	target, _, err := s.serve(s.ip(storeIP), s.store)
	if err != nil {
		return err
	}
	if s.storeProxy, s.storeAddress, err = s.addProxy(s.ip(storeIP), target); err != nil {
		return err
	}
	s.group = ranktest.New(ranktest.Shape{Ranks: s.cfg.Ranks, Sets: 2, Experts: 4 * s.cfg.Ranks}, 0)
	passes, stop := context.WithCancel(context.Background())
	s.closers = append(s.closers, stop)
	s.servers.Go(func() error { return s.group.Run(passes, passTime) })
	for c := range customers {
		s.keys = append(s.keys, []string{fmt.Sprintf("key-%d-0", c), fmt.Sprintf("key-%d-1", c)})
	}
	for r := range s.cfg.Ranks {
		if _, err = s.addEndpoint(modelName, domains[0], engineIP+r, standin.Engine(s.group.Engine(r))); err != nil {
			return err
		}
	}
	for i := range s.cfg.PlainEndpoints {
		if _, err = s.addEndpoint(plainServices[i%len(plainServices)], s.domain(i/len(plainServices)), plainIP+i, nil); err != nil {
			return err
		}
	}
	return s.publish()
}

// addEndpoint starts an endpoint and publishes its entry.
func (s *site) addEndpoint(service, domain string, last int, engine http.Handler) (e *siteEndpoint, err error) {
	s.endpointsStarted++
	e = &siteEndpoint{name: fmt.Sprintf("%s-%d", service, s.endpointsStarted), service: service, domain: domain, seed: s.cfg.Seed, startedAt: time.Now().UnixMilli()}
	e.handler = &standin.Endpoint{Name: e.name, Behave: e.behave, Delay: passTime, Engine: engine, OnRun: s.ledger.recordRun, Signals: e.currentSignals, OnArrival: s.ledger.recordArrival, ExitProcess: func() { s.exitEndpoint(e) }}
	s.ledger.do(func(l *ledger) { l.domains[e.name] = domain })
	if e.target, e.srv, err = s.serve(s.ip(last), e.handler); err != nil {
		return nil, err
	}
	if e.proxy, e.address, err = s.addProxy(s.ip(last), e.target); err != nil {
		return nil, err
	}
	s.endpoints = append(s.endpoints, e)
	return e, s.store.PutEndpoint(e.entry(false))
}

// entry returns the entry of the endpoint's current incarnation. The caller holds the site's mu, or
// nothing runs yet.
func (e *siteEndpoint) entry(leaving bool) fleet.Endpoint {
	return fleet.Endpoint{ID: fleet.IncarnationID(e.name, e.startedAt), StartedAt: e.startedAt, Service: e.service, Address: e.address, Domain: e.domain, Slots: 8, Leaving: leaving}
}

// serviceOf returns the service that is part of an endpoint's name.
func serviceOf(endpoint string) string {
	service, _, _ := strings.Cut(endpoint, "-")
	return service
}

// publish publishes the current configuration as a new version. The caller holds mu, or nothing runs
// yet.
func (s *site) publish() error {
	s.version += 1 + uint64(s.endpointsStarted%3)
	all := []fleet.Share{{Service: plainServices[0], Weight: 1}, {Service: plainServices[1], Weight: 1}}
	route := func(name string, k fleet.Kind, to ...fleet.Share) fleet.Route {
		return fleet.Route{Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: k, Timeout: callerTimeout, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Split: to, Resumable: k == fleet.Streaming}
	}
	p := standin.PublishedConfig{
		Version: s.version,
		Routes: []fleet.Route{
			route("once", fleet.AtMostOnce, fleet.Share{Service: s.routeService, Weight: 1}),
			route("again", fleet.Repeatable, all...),
			route("stream", fleet.Streaming, fleet.Share{Service: modelName, Weight: 1}),
		},
		Services: []fleet.Service{{Name: plainServices[0]}, {Name: plainServices[1]}, {Name: modelName, Engine: &fleet.Engine{
			Slots: 8, LayerSets: 2, ExpertsPerSet: 4 * s.cfg.Ranks, ExpertSlots: 6, MaxAddedExperts: 2, ExpertBytes: 1e8, LinkRate: 1e11, ExpertWorkShare: 0.9,
			BaseStepTime: passTime, StepsPerPass: 1,
		}}},
	}
	for i, keys := range s.keys {
		p.Customers = append(p.Customers, fleet.Customer{Name: customerName(i), Keys: keys})
	}
	p.IdleTimeout = s.idleTimeout
	defer s.ledger.recordIdleSetting(s.idleTimeout)()
	s.ledger.do(func(l *ledger) { l.versionsSent = append(l.versionsSent, time.Now()) })
	return s.store.PublishConfig(p)
}

// chooseKey chooses the customer and the key of a request. One in twenty requests uses a revoked
// key.
func (s *site) chooseKey(r *request, rnd *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.service = s.routeService
	if len(s.revokedKeys) > 0 && rnd.IntN(20) == 0 {
		r.key = s.revokedKeys[rnd.IntN(len(s.revokedKeys))]
		var i int
		if _, err := fmt.Sscanf(r.key, "key-%d-", &i); err == nil {
			r.customer = customerName(i)
		}
		return
	}
	i := rnd.IntN(customers)
	r.customer, r.key = customerName(i), s.keys[i][rnd.IntN(len(s.keys[i]))]
}

// freePort returns a port that is free at all addresses given.
func (s *site) freePort(ips ...string) (port int, err error) {
	list, err := s.listen(ips...)
	if err != nil {
		return 0, err
	}
	for _, l := range list {
		_ = l.Close() // It has accepted nothing.
	}
	return list[0].Addr().(*net.TCPAddr).Port, nil
}

func (s *site) startProcesses() (err error) {
	for i := range s.cfg.Gateways {
		ip := s.ip(gatewayIP + i)
		g := &siteGateway{ip: ip}
		for _, at := range []*string{&g.callers, &g.readiness, &g.peers} {
			port, err := s.freePort(ip)
			if err != nil {
				return err
			}
			*at = fmt.Sprintf("%s:%d", ip, port)
		}
		s.gateways = append(s.gateways, g)
	}
	var ranks []string // Sidecars listen on the same port at all ranks.
	for r := range s.cfg.Ranks {
		ranks = append(ranks, s.ip(engineIP+r))
	}
	if s.sidecarsPort, err = s.freePort(ranks...); err != nil {
		return err
	}
	for i, g := range s.gateways {
		g.file = filepath.Join(s.dir, fmt.Sprintf("gateway-%d.ini", i))
		if err := os.WriteFile(g.file, []byte(s.gatewaySettings(i)), fileMode); err != nil {
			return err
		}
		if g.proc, err = s.startProcess(fmt.Sprintf("gateway-%d", i), g.file, i); err != nil {
			return err
		}
	}
	for r := range s.cfg.Ranks {
		c := &siteSidecar{file: filepath.Join(s.dir, fmt.Sprintf("sidecar-%d.ini", r))}
		s.sidecars = append(s.sidecars, c)
		if err := os.WriteFile(c.file, []byte(s.sidecarSettings(r)), fileMode); err != nil {
			return err
		}
		if c.proc, err = s.startProcess(fmt.Sprintf("sidecar-%d", r), c.file, -1); err != nil {
			return err
		}
	}
	return nil
}

// gatewaySeeds returns the addresses at which a gateway looks for others: only its own if gateways are
// to stay apart.
func (s *site) gatewaySeeds(g *siteGateway) string {
	if s.cfg.Apart {
		return g.peers
	}
	return s.seeds()
}

func (s *site) seeds() string {
	var list []string
	for _, g := range s.gateways[:min(3, len(s.gateways))] {
		list = append(list, g.peers)
	}
	return strings.Join(list, ",")
}

// bounds returns the section of the settings that holds the users' bounds.
func (s *site) bounds() string {
	retries := s.cfg.RetryBound
	return fmt.Sprintf("[bounds]\nrevocation = 5s\ngrace = 8s\nretry-share = %v\nretry-window = %v\nretry-spare = %v\n", retries.Share, retries.Window, retries.Slack)
}

func (s *site) gatewaySettings(i int) string {
	g := s.gateways[i]
	return fmt.Sprintf("[instance]\nname = gateway-%d\ndomain = %s\nrole = gateway\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\nsource = %s\nsidecars-port = %d\n[platform]\nstore = %s\nseeds = %s\n",
		i, s.domain(i), g.callers, g.readiness, g.peers, g.ip, s.sidecarsPort, s.storeAddress, s.gatewaySeeds(g)) + s.bounds()
}

func (s *site) sidecarSettings(r int) string {
	ip := s.ip(engineIP + r)
	return fmt.Sprintf("[instance]\nname = sidecar-%d\ndomain = a\nrole = sidecar\n[listen]\npeers = %s:%d\nsource = %s\nsidecars-port = %d\n[platform]\nstore = %s\nseeds = %s\nengine = %s\n",
		r, ip, s.sidecarsPort, ip, s.sidecarsPort, s.storeAddress, s.seeds(), s.endpoints[r].address) + s.bounds()
}

// waitReady waits until every gateway reports that it is ready for callers.
func (s *site) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, g := range s.gateways {
		for {
			resp, err := client.Get("http://" + g.readiness + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "gateway at %s is not ready", g.callers)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// close ends the processes and servers that the site started, and only those.
func (s *site) close() {
	for _, g := range s.gateways {
		g.proc.shutDown()
	}
	for _, c := range s.sidecars {
		c.proc.shutDown()
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, f := range s.closers { // Complete now.
		f()
	}
	_ = s.servers.Wait() // Errors of a stand-in's server that is being closed are irrelevant.
}
