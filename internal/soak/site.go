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

// Names of the soak's site.
const (
	host       = "soak.example"
	movingPath = "/once/x" // Its route moves between the two plain services.
	modelName  = "model"
	fileMode   = 0o600
)

var plainNames = [...]string{"east", "west"}

// passTime is how often the stand-in engines make a pass.
const passTime = 10 * time.Millisecond

// gatewayAt is one gateway of the site.
type gatewayAt struct {
	ip, callers, readiness, peers, file string
	proc                                *process
}

// endpointAt is one stand-in of an endpoint, behind a proxy.
type endpointAt struct {
	name     string
	service  string
	domain   string
	address  string // Of the proxy, as published.
	target   string // Of the endpoint itself.
	proxy    *proxy
	handler  http.Handler
	srv      *http.Server // Guarded by the site's mu, as born is.
	born     int64        // Of its present life, Unix milliseconds.
	restarts bool         // It is ending and will start again under its name.
	seed     uint64       // Of the run.

	mu    sync.Mutex // Guards what follows.
	does  []standin.Behaviour
	part  int // In 100 requests: those that are not served.
	until time.Time

	asks       standin.Signals // But for its rest.
	restsUntil time.Time
}

// behave returns what the endpoint does with an attempt: each draws for itself,
// and what it draws follows from the seed.
func (e *endpointAt) behave(id string) standin.Behaviour {
	if strings.HasPrefix(id, crashingID) {
		return standin.ExitsProcess
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().After(e.until) {
		return standin.Serves
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, id+" at "+e.name) // A hash takes everything.
	rnd := rand.New(rand.NewPCG(e.seed, h.Sum64()))
	if rnd.IntN(100) >= e.part {
		return standin.Serves
	}
	return e.does[rnd.IntN(len(e.does))]
}

// misbehave makes a part of the requests draw one of some behaviours for a while.
func (e *endpointAt) misbehave(d time.Duration, part int, does ...standin.Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.does, e.part, e.until = does, part, time.Now().Add(d)
}

// sidecarAt is the sidecar beside a stand-in engine.
type sidecarAt struct {
	file string
	proc *process
}

// site is the stand-ins and the processes of one run.
type site struct {
	cfg      Config
	dir      string
	net      string // First three numbers of the site's own loopback addresses.
	store    *standin.Store
	storeAt  string
	storeVia *proxy
	group    *ranktest.Group
	gateways []*gatewayAt
	sidecars []*sidecarAt
	ledger   *ledger
	servers  errgroup.Group
	closers  []func()
	logMu    sync.Mutex
	ports    atomic.Int64 // That were tried.

	mu        sync.Mutex // Guards what follows.
	endpoints []*endpointAt
	version   uint64
	movedTo   string
	keys      [][]string    // In force, by customer.
	taken     []string      // Keys that were taken away, with their customer.
	idle      time.Duration // Published; 0 for the stand-in's own.
	births    int
	port      int // Of sidecars.
	// evacuating is how many evacuations of each failure domain are under way.
	evacuating map[string]int
}

// domains are the failure domains of gateways and plain endpoints.
var domains = [...]string{"a", "b"}

// domain returns the failure domain of one of several things that are alike. A seed of
// the sets before FourthKinds has them all in the first, as when it showed its fault: near
// endpoints are preferred, so a far one that misbehaves is met by hardly any request.
func (s *site) domain(i int) string {
	if s.cfg.Kinds < FourthKinds {
		return domains[0]
	}
	return domains[i%len(domains)]
}

// customers is how many there are.
const customers = 3

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

// newSite lays out and starts everything but the callers.
func newSite(cfg Config) (s *site, err error) {
	defer func() { err = errors.Wrap(err, "soak site") }()
	s = &site{cfg: cfg, net: ownNet(), store: standin.NewStore(), ledger: newLedger(), movedTo: plainNames[0], evacuating: map[string]int{}}
	s.ledger.moved, s.ledger.movedTo = time.Now(), s.movedTo
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

// sites counts the sites of this process.
var sites atomic.Int64

// ownNet returns the first three numbers of loopback addresses that no other
// site uses: ports that were found free at them stay so.
func ownNet() string {
	const second, third = 128, 250 // How many there are of each.
	pid, n := int64(os.Getpid()), sites.Add(1)
	return fmt.Sprintf("127.%d.%d", 64+pid%second, (pid/second+n*41)%third)
}

// ip returns the site's address with a last number.
func (s *site) ip(last int) string { return fmt.Sprintf("%s.%d", s.net, last) }

// Last numbers of addresses.
const (
	storeIP   = 1
	gatewayIP = 10
	engineIP  = 100
	plainIP   = 180
	plainIPs  = 60 // Addresses of plain endpoints, which those that come later use again.
)

// Ports that are listened at. They lie below those that Linux gives to outgoing connections,
// since what ends and starts again finds its port taken by one of these otherwise.
const firstPort, lastPort = 20000, 32000

// listen listens at one port of some addresses, which nothing else of the site has.
func (s *site) listen(ips ...string) (list []net.Listener, err error) {
	for port := firstPort + s.ports.Add(1); port < lastPort; port = firstPort + s.ports.Add(1) {
		if list, err = listenAt(int(port), ips); !errors.Is(err, syscall.EADDRINUSE) {
			return list, err
		}
	}
	return nil, errors.Newf("no port from %d to %d is free", firstPort, lastPort)
}

// listenAt listens at a port of all addresses, or of none.
func listenAt(port int, ips []string) (list []net.Listener, err error) {
	for _, ip := range ips {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			for _, open := range list {
				_ = open.Close() // It has taken nothing.
			}
			return nil, err
		}
		list = append(list, l)
	}
	return list, nil
}

// serve serves a handler at a free port of an address.
func (s *site) serve(ip string, h http.Handler) (address string, srv *http.Server, err error) {
	l, err := s.listen(ip)
	if err != nil {
		return "", nil, err
	}
	return l[0].Addr().String(), s.serveOn(l[0], h), nil
}

func (s *site) serveOn(l net.Listener, h http.Handler) (srv *http.Server) {
	srv = &http.Server{Handler: h, ReadHeaderTimeout: patience}
	s.servers.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	s.closers = append(s.closers, func() { _ = srv.Close() })
	return srv
}

// via puts a proxy before a target.
func (s *site) via(ip, target string) (p *proxy, address string, err error) {
	l, err := s.listen(ip)
	if err != nil {
		return nil, "", err
	}
	p, cleanup := newProxy(l[0], target)
	s.closers = append(s.closers, cleanup)
	return p, p.l.Addr().String(), nil
}

func (s *site) startPlatform() (err error) {
	target, _, err := s.serve(s.ip(storeIP), s.store)
	if err != nil {
		return err
	}
	if s.storeVia, s.storeAt, err = s.via(s.ip(storeIP), target); err != nil {
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
		if _, err = s.addEndpoint(plainNames[i%len(plainNames)], s.domain(i/len(plainNames)), plainIP+i, nil); err != nil {
			return err
		}
	}
	return s.publish()
}

// addEndpoint starts an endpoint and lists it.
func (s *site) addEndpoint(service, domain string, last int, engine http.Handler) (e *endpointAt, err error) {
	s.births++
	e = &endpointAt{name: fmt.Sprintf("%s-%d", service, s.births), service: service, domain: domain, seed: s.cfg.Seed, born: time.Now().UnixMilli()}
	e.handler = &standin.Endpoint{Name: e.name, Behave: e.behave, Delay: passTime, Engine: engine, OnRun: s.ledger.ran, Signals: e.wishes, OnArrival: s.ledger.arrived, ExitProcess: func() { s.end(e) }}
	s.ledger.note(func(l *ledger) { l.domains[e.name] = domain })
	if e.target, e.srv, err = s.serve(s.ip(last), e.handler); err != nil {
		return nil, err
	}
	if e.proxy, e.address, err = s.via(s.ip(last), e.target); err != nil {
		return nil, err
	}
	s.endpoints = append(s.endpoints, e)
	return e, s.store.PutEndpoint(e.entry(false))
}

// entry returns what the endpoint's present life says of itself. The caller holds the
// site's mu, or nothing runs yet.
func (e *endpointAt) entry(leaving bool) fleet.Endpoint {
	return fleet.Endpoint{ID: fleet.IncarnationID(e.name, e.born), StartedAt: e.born, Service: e.service, Address: e.address, Domain: e.domain, Slots: 8, Leaving: leaving}
}

// serviceOf returns the service of an endpoint's name.
func serviceOf(endpoint string) string {
	service, _, _ := strings.Cut(endpoint, "-")
	return service
}

// publish writes the configuration as it is to be now, as a new version. The
// caller holds mu, or nothing runs yet.
func (s *site) publish() error {
	s.version += 1 + uint64(s.births%3)
	all := []fleet.Share{{Service: plainNames[0], Weight: 1}, {Service: plainNames[1], Weight: 1}}
	route := func(name string, k fleet.Kind, to ...fleet.Share) fleet.Route {
		return fleet.Route{Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: k, Timeout: patience, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Split: to, Resumable: k == fleet.Streaming}
	}
	p := standin.PublishedConfig{
		Version: s.version,
		Routes: []fleet.Route{
			route("once", fleet.AtMostOnce, fleet.Share{Service: s.movedTo, Weight: 1}),
			route("again", fleet.Repeatable, all...),
			route("stream", fleet.Streaming, fleet.Share{Service: modelName, Weight: 1}),
		},
		Services: []fleet.Service{{Name: plainNames[0]}, {Name: plainNames[1]}, {Name: modelName, Engine: &fleet.Engine{
			Slots: 8, LayerSets: 2, ExpertsPerSet: 4 * s.cfg.Ranks, ExpertSlots: 6, MaxAddedExperts: 2, ExpertBytes: 1e8, LinkRate: 1e11, ExpertWorkShare: 0.9,
			BaseStepTime: passTime, StepsPerPass: 1,
		}}},
	}
	for i, keys := range s.keys {
		p.Customers = append(p.Customers, fleet.Customer{Name: customerName(i), Keys: keys})
	}
	p.IdleTimeout = s.idle
	defer s.ledger.publishes(s.idle)()
	s.ledger.note(func(l *ledger) { l.changes = append(l.changes, time.Now()) })
	return s.store.PublishConfig(p)
}

// aim chooses the customer and the key of a request. One in twenty tries a key
// that was taken away.
func (s *site) aim(r *request, rnd *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.service = s.movedTo
	if len(s.taken) > 0 && rnd.IntN(20) == 0 {
		r.key = s.taken[rnd.IntN(len(s.taken))]
		var i int
		if _, err := fmt.Sscanf(r.key, "key-%d-", &i); err == nil {
			r.customer = customerName(i)
		}
		return
	}
	i := rnd.IntN(customers)
	r.customer, r.key = customerName(i), s.keys[i][rnd.IntN(len(s.keys[i]))]
}

// freePort returns a port that is free at some addresses now.
func (s *site) freePort(ips ...string) (port int, err error) {
	list, err := s.listen(ips...)
	if err != nil {
		return 0, err
	}
	for _, l := range list {
		_ = l.Close() // It has taken nothing.
	}
	return list[0].Addr().(*net.TCPAddr).Port, nil
}

func (s *site) startProcesses() (err error) {
	for i := range s.cfg.Gateways {
		ip := s.ip(gatewayIP + i)
		g := &gatewayAt{ip: ip}
		for _, at := range []*string{&g.callers, &g.readiness, &g.peers} {
			port, err := s.freePort(ip)
			if err != nil {
				return err
			}
			*at = fmt.Sprintf("%s:%d", ip, port)
		}
		s.gateways = append(s.gateways, g)
	}
	var ranks []string // Sidecars have one port at all ranks.
	for r := range s.cfg.Ranks {
		ranks = append(ranks, s.ip(engineIP+r))
	}
	if s.port, err = s.freePort(ranks...); err != nil {
		return err
	}
	for i, g := range s.gateways {
		g.file = filepath.Join(s.dir, fmt.Sprintf("gateway-%d.ini", i))
		if err := os.WriteFile(g.file, []byte(s.gatewaySettings(i)), fileMode); err != nil {
			return err
		}
		if g.proc, err = s.start(fmt.Sprintf("gateway-%d", i), g.file, i); err != nil {
			return err
		}
	}
	for r := range s.cfg.Ranks {
		c := &sidecarAt{file: filepath.Join(s.dir, fmt.Sprintf("sidecar-%d.ini", r))}
		s.sidecars = append(s.sidecars, c)
		if err := os.WriteFile(c.file, []byte(s.sidecarSettings(r)), fileMode); err != nil {
			return err
		}
		if c.proc, err = s.start(fmt.Sprintf("sidecar-%d", r), c.file, -1); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) seeds() string {
	var list []string
	for _, g := range s.gateways[:min(3, len(s.gateways))] {
		list = append(list, g.peers)
	}
	return strings.Join(list, ",")
}

const bounds = "[bounds]\nrevocation = 5s\ngrace = 8s\nretry-share = 0.2\nretry-window = 10s\nretry-spare = 90\n"

func (s *site) gatewaySettings(i int) string {
	g := s.gateways[i]
	return fmt.Sprintf("[instance]\nname = gateway-%d\ndomain = %s\nrole = gateway\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\nsource = %s\nsidecars-port = %d\n[platform]\nstore = %s\nseeds = %s\n",
		i, s.domain(i), g.callers, g.readiness, g.peers, g.ip, s.port, s.storeAt, s.seeds()) + bounds
}

func (s *site) sidecarSettings(r int) string {
	ip := s.ip(engineIP + r)
	return fmt.Sprintf("[instance]\nname = sidecar-%d\ndomain = a\nrole = sidecar\n[listen]\npeers = %s:%d\nsource = %s\nsidecars-port = %d\n[platform]\nstore = %s\nseeds = %s\nengine = %s\n",
		r, ip, s.port, ip, s.port, s.storeAt, s.seeds(), s.endpoints[r].address) + bounds
}

// ready waits until every gateway says that it can take callers.
func (s *site) ready(ctx context.Context) error {
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

// close ends what the site started, and only that.
func (s *site) close() {
	for _, g := range s.gateways {
		g.proc.end()
	}
	for _, c := range s.sidecars {
		c.proc.end()
	}
	for _, f := range s.closers {
		f()
	}
	_ = s.servers.Wait() // What a stand-in's server says as it is closed tells nothing.
}
