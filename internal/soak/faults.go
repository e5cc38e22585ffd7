// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// faultKind is a kind of fault that the soak injects.
type faultKind int

// The kinds of faults. Schedules depend on their order.
const (
	killGateway faultKind = iota
	stopGateway
	pauseGateway
	reloadGateway
	killSidecar
	pauseSidecar
	spoilLink      // Disrupts the link between a gateway and an endpoint.
	spoilStoreLink // Disrupts the link between a gateway and the store.
	storeRefuses
	storeSilent
	storeForgets
	takeKey
	moveRoute
	manyVersions
	replaceEndpoint // A plain endpoint leaves as planned, and another one replaces it.
	crashEndpoint   // A plain endpoint ends without announcing it, and another one replaces it.
	misbehave
	shiftLoad
	failAtRandom // All endpoints fail a share of their requests, each in its own way.
	startAgain   // An endpoint ends without announcing the end, and starts again under its name.
	evacuate     // No new requests may be sent to the endpoints of a failure domain for some time.
	crashing     // A request ends each endpoint that runs it, and is sent repeatedly.
	nameLimit    // An endpoint announces a rate limit in its answers.
	askRest      // An endpoint rejects all requests and requests backoff.
	sayLeaving   // An endpoint leaves and announces it in its answers only.
	changeIdle   // Versions set shorter and longer idle timeouts.
	killAround   // Gateways are killed around a change of the configuration.
	crashingPart // Requests that share only one part of their prompts end each endpoint that runs one.
	crowd        // Many callers with new connections come to one gateway, and then to the next.
	killSeries   // All gateways are killed again and again while endpoints drop requests.
	breakAnswers // All endpoints give broken answers to a share of their requests.
)

// Kinds is a set of kinds of faults and of callers; each set extends the one before it. A seed that
// found a bug keeps its set, so that its schedule stays the same when kinds are added.
type Kinds int

// The sets.
const (
	FirstKinds Kinds = iota // One endpoint misbehaves at a time, in one way; callers use persistent connections.
	SecondKinds
	ThirdKinds
	FourthKinds
	FifthKinds
	SixthKinds
	SeventhKinds // Some callers keep their connections idle.
	EighthKinds
	NinthKinds
	TenthKinds
	EleventhKinds
	AllKinds // Callers also send long uploads.
)

// faultsPerFailAtRandom is the number of other kinds of SecondKinds for each entry of failAtRandom.
// failAtRandom must be frequent, because it takes many requests until two attempts of one request
// draw a failure.
const faultsPerFailAtRandom = 4

// faultsPerChangeIdle is the number of other kinds for each entry of changeIdle.
const faultsPerChangeIdle = 5

// faultsPerKillAround is the number of other kinds for each entry of killAround.
const faultsPerKillAround = 2

// faultsPerCrashingPart is the number of other kinds for each entry of crashingPart.
const faultsPerCrashingPart = 15

// faultsPerCrowd is the number of other kinds for each entry of crowd.
const faultsPerCrowd = 20

// faultsPerKillSeries is the number of other kinds for each entry of killSeries.
const faultsPerKillSeries = 15

// faultsPerBreakAnswers is the number of other kinds for each entry of breakAnswers.
const faultsPerBreakAnswers = 10

// faultKinds returns the kinds to draw from; a kind listed several times is drawn more often.
func (k Kinds) faultKinds() (list []faultKind) {
	for one := killGateway; one <= shiftLoad; one++ {
		list = append(list, one)
	}
	if k >= SecondKinds {
		for range len(list) / faultsPerFailAtRandom {
			list = append(list, failAtRandom)
		}
	}
	if k >= ThirdKinds {
		list = append(list, startAgain, startAgain)
	}
	if k >= FourthKinds {
		list = append(list, evacuate, evacuate)
	}
	if k >= FifthKinds {
		list = append(list, crashing, crashing)
	}
	if k >= SixthKinds {
		list = append(list, nameLimit, nameLimit, askRest, askRest, sayLeaving, sayLeaving)
	}
	if k >= SeventhKinds {
		for range len(list) / faultsPerChangeIdle {
			list = append(list, changeIdle)
		}
	}
	if k >= EighthKinds {
		for range len(list) / faultsPerKillAround {
			list = append(list, killAround)
		}
	}
	if k >= NinthKinds {
		for range len(list) / faultsPerCrashingPart {
			list = append(list, crashingPart)
		}
	}
	if k >= TenthKinds {
		for range len(list) / faultsPerCrowd {
			list = append(list, crowd)
		}
	}
	if k >= EleventhKinds {
		for range len(list) / faultsPerKillSeries {
			list = append(list, killSeries)
		}
	}
	if k >= AllKinds {
		for range len(list) / faultsPerBreakAnswers {
			list = append(list, breakAnswers)
		}
	}
	return list
}

var faultNames = [...]string{"kill gateway", "stop gateway", "pause gateway", "reload gateway", "kill sidecar", "pause sidecar",
	"spoil link", "spoil store link", "store refuses", "store silent", "store forgets", "take key", "move route", "many versions",
	"replace endpoint", "crash endpoint", "misbehave", "shift load", "fail at random", "start again", "evacuate", "crashing request", "name limit", "ask for rest", "say leaving", "change idle time", "kill around change", "crashing part", "crowd", "kill in series", "break answers"}

// fault is one fault of a schedule.
type fault struct {
	at       time.Duration // Time from the start of the run.
	kind     faultKind
	target   int // Selects, modulo their number, one of the things that the fault may affect.
	variant  int // Selects, modulo their number, one of the variants of the fault.
	duration time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s %s (which %d, how %d, %.2f s)", f.at.Seconds(), faultNames[f.kind], f.target, f.variant, f.duration.Seconds())
}

// Times of a schedule. Faults overlap, since the gaps between them are shorter than most faults.
const (
	firstFault    = time.Second
	minGap        = 80 * time.Millisecond
	maxGap        = 700 * time.Millisecond
	minDuration   = 200 * time.Millisecond
	maxDuration   = 2500 * time.Millisecond
	faultFreeTail = 8 * time.Second // At the end of the run, where the site must serve again.
	restartDelay  = 150 * time.Millisecond
)

// schedule returns the faults of a seed, in order.
func schedule(seed uint64, length time.Duration, set Kinds) (list []fault) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	kinds := set.faultKinds()
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(rnd.Int64N(int64(b-a))) }
	for at := firstFault; at < length-faultFreeTail; at += between(minGap, maxGap) {
		list = append(list, fault{at: at, kind: kinds[rnd.IntN(len(kinds))], target: rnd.IntN(1000), variant: rnd.IntN(1000), duration: between(minDuration, maxDuration)})
	}
	return list
}

// inject injects one fault and returns when it is over.
func (s *site) inject(f fault) error {
	g := f.target % len(s.gateways)
	gateway := s.gateways[g]
	sidecar := s.sidecars[f.target%len(s.sidecars)]
	switch f.kind {
	case killGateway:
		return s.restart(g, gateway.proc, syscall.SIGKILL, 0)
	case stopGateway:
		return s.restart(g, gateway.proc, syscall.SIGTERM, gracePeriod)
	case pauseGateway:
		s.ledger.recordInterruption(g, span{time.Now(), time.Now().Add(f.duration + slack)})
		s.ledger.recordKillOrPause(g, span{time.Now(), time.Now().Add(f.duration + slack)})
		s.disturbGateway(g, f.duration, func() { gateway.proc.pause(f.duration) })
	case reloadGateway:
		gateway.proc.reload()
	case killSidecar:
		return s.restart(-1, sidecar.proc, syscall.SIGKILL, 0)
	case pauseSidecar:
		sidecar.proc.pause(f.duration)
	case spoilLink:
		e := s.endpoint(f.target / 7)
		s.ledger.recordInterruption(g, span{time.Now(), time.Now().Add(f.duration + slack)})
		began := time.Now()
		s.disruptLink(g, e.proxy, f)
		s.ledger.do(func(l *ledger) {
			link := gatewayLink{g, e.name}
			l.linkFaults[link] = append(l.linkFaults[link], span{began, time.Now()})
		})
	case spoilStoreLink:
		s.disruptLink(g, s.storeProxy, f)
	case storeRefuses, storeSilent:
		mode := standin.RespondsUnavailable
		if f.kind == storeSilent {
			mode = standin.NeverResponds
		}
		s.disturbAll(f.duration, func() {
			s.store.SetMode(mode)
			time.Sleep(f.duration)
			s.store.SetMode(standin.Responds)
		})
	case storeForgets:
		s.disturbAll(0, s.store.CompactHistory)
	case takeKey, moveRoute, manyVersions:
		return s.publishChange(f)
	case replaceEndpoint:
		return s.replace(f)
	case crashEndpoint:
		return s.crash(f)
	case misbehave:
		kinds := []standin.Behaviour{standin.NotExecuted, standin.Fails, standin.Truncates, standin.DropsAnswer, standin.AnswersTwice}
		s.endpoint(f.target).misbehave(f.duration, 100, kinds[f.variant%len(kinds)])
	case failAtRandom:
		s.failAtRandom(f, randomBehaviours)
	case breakAnswers:
		s.failAtRandom(f, brokenBehaviours[f.target%len(brokenBehaviours)])
	case startAgain:
		return s.startAgain(f)
	case evacuate:
		s.evacuate(f)
	case crashing:
		s.sendCrashing(f, false)
	case crashingPart:
		s.sendCrashing(f, true)
	case crowd:
		s.sendCrowd(f)
	case killSeries:
		return s.killInSeries(f)
	case nameLimit:
		s.nameLimit(f)
	case askRest:
		s.askRest(f)
	case sayLeaving:
		return s.sayLeaving(f)
	case changeIdle:
		return s.changeIdle(g, f)
	case killAround:
		return s.killAround(g, f)
	case shiftLoad:
		s.group.ShiftDemand(f.variant)
	}
	return nil
}

// randomBehaviours are the behaviours that failAtRandom draws from. Those listed twice are drawn more
// often, since they take no time.
var randomBehaviours = []standin.Behaviour{standin.Fails, standin.Fails, standin.Truncates, standin.Truncates, standin.DropsAnswer, standin.NotExecuted,
	standin.AnswersTwice, standin.Unframed, standin.UnframedReset, standin.Stalls, standin.NotFound}

// brokenBehaviours are the variants of breakAnswers, each with the behaviours that it draws from.
var brokenBehaviours = [...][]standin.Behaviour{
	resetsDuringUploads: {standin.ResetsEarly},
	breaksHeads:         {standin.CutsHead, standin.MalformedHead, standin.MalformedHead},
	breaksAll:           {standin.ResetsEarly, standin.CutsHead, standin.MalformedHead},
}

// Variants of breakAnswers.
const (
	resetsDuringUploads = iota
	breaksHeads
	breaksAll
)

// Range of the percentage of requests that failAtRandom makes fail.
const minFailPercent, maxFailPercent = 20, 80

// failAtRandom makes all endpoints draw one of the behaviours for a share of their requests, so that one request
// runs into several failures in a row.
func (s *site) failAtRandom(f fault, behaviours []standin.Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.misbehave(f.duration, minFailPercent+f.variant%(maxFailPercent-minFailPercent), behaviours...)
	}
}

// gracePeriod is how long a planned stop may take, as set in the daemons' settings.
const gracePeriod = 8 * time.Second

// restart ends a process by a signal and starts it again. A process that does not end within the
// timeout after SIGTERM is killed; if the kill ends it, it has exceeded its grace period. gateway is -1
// for a sidecar.
func (s *site) restart(gateway int, p *process, sig syscall.Signal, timeout time.Duration) error {
	began := time.Now()
	failedAt := began // When the process stopped serving, except by a planned stop.
	process, done := p.signal(sig)
	planned := sig == syscall.SIGTERM && endsWithin(done, timeout+slack)
	if sig == syscall.SIGTERM && !planned {
		failedAt = time.Now()
		p.signal(syscall.SIGKILL)
		endsWithin(done, gracePeriod)
		s.ledger.do(func(l *ledger) {
			planned = !process.endAt.IsZero() && process.signal == 0     // Its end was only observed late.
			if !planned && !l.killedOrPaused(gateway, began, failedAt) { // A suspended process cannot end.
				l.ends = append(l.ends, p.name+" did not end within its grace period")
			}
		})
	}
	endsWithin(done, gracePeriod)
	ended := time.Now()
	if gateway >= 0 {
		s.ledger.recordInterruption(gateway, span{began, ended.Add(restartDelay + slack)})
		if !planned {
			s.ledger.recordKillOrPause(gateway, span{failedAt, ended})
		}
		s.ledger.do(func(l *ledger) {
			if sig == syscall.SIGTERM {
				l.plannedStops[gateway] = append(l.plannedStops[gateway], span{began, ended})
				began = ended
			}
			l.disturbances[gateway] = append(l.disturbances[gateway], span{began, ended.Add(restartDelay)})
		})
	}
	time.Sleep(restartDelay)
	return p.relaunch()
}

// disturbGateway records that a gateway is disturbed while do runs.
func (s *site) disturbGateway(gateway int, duration time.Duration, do func()) {
	s.ledger.recordDisturbance(gateway, span{time.Now(), time.Now().Add(duration + slack)})
	do()
}

// disturbAll records that the store, and so every gateway, is disturbed while do runs.
func (s *site) disturbAll(duration time.Duration, do func()) {
	for g := range s.gateways {
		s.ledger.recordDisturbance(g, span{time.Now(), time.Now().Add(duration + slack)})
	}
	do()
}

// disruptLink injects a fault into a gateway's connections through a proxy.
func (s *site) disruptLink(gateway int, p *proxy, f fault) {
	kind := linkFault(1 + f.variant%linkFaultCount)
	s.logf("        link of gateway-%d %s", gateway, linkNames[kind])
	s.disturbGateway(gateway, f.duration, func() {
		p.set(s.gateways[gateway].ip, kind)
		time.Sleep(f.duration)
		p.set(s.gateways[gateway].ip, linkHealthy)
	})
}

// endpoint returns one of the current endpoints.
func (s *site) endpoint(index int) *siteEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[index%len(s.endpoints)]
}

// publishChange makes a change and publishes it as one or more versions.
func (s *site) publishChange(f fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.kind {
	case takeKey:
		c := f.target % customers
		revoked := s.keys[c][0]
		s.keys[c] = append(append([]string(nil), s.keys[c][1:]...), fmt.Sprintf("key-%d-%d", c, s.version+2))
		s.revokedKeys = append(s.revokedKeys, revoked)
		defer s.ledger.do(func(l *ledger) { l.revokedKeys[revoked] = time.Now() })
	case moveRoute:
		s.routeService = plainServices[f.target%len(plainServices)]
		to := s.routeService
		defer s.ledger.do(func(l *ledger) {
			if l.routeService != to {
				l.routeMovedAt, l.routeService = time.Now(), to
			}
		})
	case manyVersions:
		for range 5 {
			if err := s.publish(); err != nil {
				return err
			}
		}
	}
	return s.publish()
}

// addSuccessor starts a new plain endpoint in place of an old one, which is still published.
func (s *site) addSuccessor(f fault) (old *siteEndpoint, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.cfg.Ranks + f.target%s.cfg.PlainEndpoints
	old = s.endpoints[i]
	next, err := s.addEndpoint(old.service, old.domain, plainIP+s.endpointsStarted%plainIPCount, nil)
	if err != nil {
		return nil, err
	}
	s.endpoints = s.endpoints[:len(s.endpoints)-1]
	s.endpoints[i] = next
	return old, nil
}

// replace makes a plain endpoint leave as planned, and starts another one in its place.
func (s *site) replace(f fault) error {
	old, err := s.addSuccessor(f)
	if err != nil {
		return err
	}
	s.mu.Lock()
	leaving := old.entry(true)
	s.mu.Unlock()
	if err := s.store.PutEndpoint(leaving); err != nil {
		return err
	}
	s.ledger.do(func(l *ledger) { l.leavingSince[old.name] = time.Now() })
	time.Sleep(drainBound + slack)
	s.store.Remove(old.name)
	time.Sleep(callerTimeout) // Requests in flight may still be served.
	s.ledger.recordEndpointExit(old.name)
	return old.srv.Close()
}

// startAgain ends a plain endpoint without announcing the end, and starts it again under its name and
// address. In half of the variants it was published as leaving before; the new incarnation is not.
func (s *site) startAgain(f fault) (err error) {
	s.mu.Lock()
	e := s.endpoints[s.cfg.Ranks+f.target%s.cfg.PlainEndpoints]
	old, inRestart := e.srv, e.restarting
	e.restarting = true
	if !inRestart && f.variant%2 == 0 {
		err = s.store.PutEndpoint(e.entry(true))
	}
	s.mu.Unlock()
	if err != nil || inRestart {
		return err
	}
	time.Sleep(f.duration / 2)
	s.ledger.recordEndpointExit(e.name)
	if err = old.Close(); err != nil {
		return err
	}
	time.Sleep(f.duration / 2)
	return s.restartEndpoint(e)
}

// restartEndpoint starts an endpoint that has ended again, under its name and address.
func (s *site) restartEndpoint(e *siteEndpoint) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.restarting = false
	if s.closed || !slices.Contains(s.endpoints, e) {
		return nil // The run is over, or the endpoint was replaced, as planned or after a crash.
	}
	l, err := net.Listen("tcp4", e.target)
	if err != nil {
		return err
	}
	e.srv = s.serveOn(l, e.handler)
	e.startedAt = max(e.startedAt+1, time.Now().UnixMilli())
	return s.store.PutEndpoint(e.entry(false))
}

// evacuate evacuates a failure domain for some time: no new requests may be sent to its endpoints.
// Evacuations may overlap: the domain is released when the last one is over.
func (s *site) evacuate(f fault) {
	domain := domains[f.target%len(domains)]
	s.mu.Lock()
	s.activeEvacuations[domain]++
	s.store.Evacuate(domain)
	s.mu.Unlock()
	began := time.Now()
	time.Sleep(evacuationBound + f.duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The end is recorded before the order is withdrawn: runs after the withdrawal are allowed.
	s.ledger.do(func(l *ledger) { l.evacuations[domain] = append(l.evacuations[domain], span{began, time.Now()}) })
	if s.activeEvacuations[domain]--; s.activeEvacuations[domain] == 0 {
		s.store.EndEvacuation(domain)
	}
}

// crash ends a plain endpoint without announcing the end, and starts another one in its place. The
// entry of the old endpoint is removed later.
func (s *site) crash(f fault) error {
	old, err := s.addSuccessor(f)
	if err != nil {
		return err
	}
	old.misbehave(time.Hour, 100, standin.DropsAnswer) // Requests that it is running are lost, too.
	s.ledger.recordEndpointExit(old.name)
	if err := old.srv.Close(); err != nil {
		return err
	}
	time.Sleep(f.duration)
	s.store.Remove(old.name)
	return nil
}
