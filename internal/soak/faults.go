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

// faultKind is a kind of trouble that the soak makes.
type faultKind int

// The kinds of trouble.
const (
	killGateway faultKind = iota
	stopGateway
	pauseGateway
	reloadGateway
	killSidecar
	pauseSidecar
	spoilLink      // Between a gateway and an endpoint.
	spoilStoreLink // Between a gateway and the store.
	storeRefuses
	storeSilent
	storeForgets
	takeKey
	moveRoute
	manyVersions
	replaceEndpoint // A planned end: it leaves, and another comes.
	crashEndpoint   // It goes without a word.
	misbehave
	shiftLoad
	failAtRandom // All endpoints fail a part of their requests, each in its own way.
	startAgain   // An endpoint ends without a word and starts again under its name.
	evacuate     // Nothing new goes to the endpoints of a failure domain for a while.
	crashing     // A request ends each endpoint that runs it, and comes again and again.
	nameLimit    // An endpoint names a rate limit in its answers.
	askRest      // An endpoint turns all requests away and asks for rest.
	sayLeaving   // An endpoint leaves and tells so in its answers only.
	changeIdle   // Versions set shorter and longer idle times.
	killAround   // Gateways are killed around a change of the configuration.
)

// Kinds is a set of kinds of trouble, and of callers. A seed that showed a fault
// keeps its set, so that its schedule stays the same when kinds are added.
type Kinds int

// The sets.
const (
	FirstKinds Kinds = iota // One endpoint misbehaves at a time, in one way; callers keep their connections.
	SecondKinds
	ThirdKinds
	FourthKinds
	FifthKinds
	SixthKinds
	SeventhKinds // Some callers rest on their connections.
	AllKinds
)

// randomShare is how many of the other troubles of SecondKinds there are for each
// failAtRandom: a request must meet two of its draws, which takes many.
const randomShare = 4

// idleShare is how many of the other troubles there are for each changeIdle.
const idleShare = 5

// aroundShare is how many of the other troubles there are for each killAround.
const aroundShare = 2

// list returns the kinds to draw from.
func (k Kinds) list() (list []faultKind) {
	for one := killGateway; one <= shiftLoad; one++ {
		list = append(list, one)
	}
	if k >= SecondKinds {
		for range len(list) / randomShare {
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
		for range len(list) / idleShare {
			list = append(list, changeIdle)
		}
	}
	if k >= AllKinds {
		for range len(list) / aroundShare {
			list = append(list, killAround)
		}
	}
	return list
}

var faultNames = [...]string{"kill gateway", "stop gateway", "pause gateway", "reload gateway", "kill sidecar", "pause sidecar",
	"spoil link", "spoil store link", "store refuses", "store silent", "store forgets", "take key", "move route", "many versions",
	"replace endpoint", "crash endpoint", "misbehave", "shift load", "fail at random", "start again", "evacuate", "crashing request", "name limit", "ask for rest", "say leaving", "change idle time", "kill around change"}

// fault is one trouble of a schedule.
type fault struct {
	at    time.Duration // From the start of the run.
	kind  faultKind
	which int // Of the things that it can strike.
	how   int // Variant.
	lasts time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s %s (which %d, how %d, %.2f s)", f.at.Seconds(), faultNames[f.kind], f.which, f.how, f.lasts.Seconds())
}

// Times of a schedule. Faults overlap: they come faster than they end.
const (
	firstFault   = time.Second
	shortestGap  = 80 * time.Millisecond
	longestGap   = 700 * time.Millisecond
	shortest     = 200 * time.Millisecond
	longest      = 2500 * time.Millisecond
	calmTail     = 8 * time.Second // Without faults, at the end: the site must serve again.
	restartPause = 150 * time.Millisecond
)

// schedule returns the troubles of a seed, in order.
func schedule(seed uint64, length time.Duration, set Kinds) (list []fault) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	kinds := set.list()
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(rnd.Int64N(int64(b-a))) }
	for at := firstFault; at < length-calmTail; at += between(shortestGap, longestGap) {
		list = append(list, fault{at: at, kind: kinds[rnd.IntN(len(kinds))], which: rnd.IntN(1000), how: rnd.IntN(1000), lasts: between(shortest, longest)})
	}
	return list
}

// strike makes one trouble and returns when it is over.
func (s *site) strike(f fault) error {
	g := f.which % len(s.gateways)
	gateway := s.gateways[g]
	sidecar := s.sidecars[f.which%len(s.sidecars)]
	switch f.kind {
	case killGateway:
		return s.restart(g, gateway.proc, syscall.SIGKILL, 0)
	case stopGateway:
		return s.restart(g, gateway.proc, syscall.SIGTERM, grace)
	case pauseGateway:
		s.ledger.halt(g, span{time.Now(), time.Now().Add(f.lasts + slack)})
		s.ledger.broke(g, span{time.Now(), time.Now().Add(f.lasts + slack)})
		s.disturb(g, f.lasts, func() { gateway.proc.pause(f.lasts) })
	case reloadGateway:
		gateway.proc.reload()
	case killSidecar:
		return s.restart(-1, sidecar.proc, syscall.SIGKILL, 0)
	case pauseSidecar:
		sidecar.proc.pause(f.lasts)
	case spoilLink:
		e := s.endpoint(f.which / 7)
		s.ledger.halt(g, span{time.Now(), time.Now().Add(f.lasts + slack)})
		began := time.Now()
		s.spoil(g, e.proxy, f)
		s.ledger.note(func(l *ledger) {
			way := link{g, e.name}
			l.links[way] = append(l.links[way], span{began, time.Now()})
		})
	case spoilStoreLink:
		s.spoil(g, s.storeVia, f)
	case storeRefuses, storeSilent:
		mode := standin.RespondsUnavailable
		if f.kind == storeSilent {
			mode = standin.NeverResponds
		}
		s.disturbAll(f.lasts, func() {
			s.store.SetMode(mode)
			time.Sleep(f.lasts)
			s.store.SetMode(standin.Responds)
		})
	case storeForgets:
		s.disturbAll(0, s.store.CompactHistory)
	case takeKey, moveRoute, manyVersions:
		return s.change(f)
	case replaceEndpoint:
		return s.replace(f)
	case crashEndpoint:
		return s.crash(f)
	case misbehave:
		kinds := []standin.Behaviour{standin.NotExecuted, standin.Fails, standin.Truncates, standin.DropsAnswer, standin.AnswersTwice}
		s.endpoint(f.which).misbehave(f.lasts, 100, kinds[f.how%len(kinds)])
	case failAtRandom:
		s.failAtRandom(f)
	case startAgain:
		return s.startAgain(f)
	case evacuate:
		s.evacuate(f)
	case crashing:
		s.sendCrashing(f)
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
		s.group.ShiftDemand(f.how)
	}
	return nil
}

// What failAtRandom draws from, and the least and the most of 100 requests that
// draw. Those that are there twice come more often, as what they do takes no time.
var randomBehaviours = []standin.Behaviour{standin.Fails, standin.Fails, standin.Truncates, standin.Truncates, standin.DropsAnswer, standin.NotExecuted,
	standin.AnswersTwice, standin.Unframed, standin.UnframedReset, standin.Stalls, standin.NotFound}

const leastPart, mostPart = 20, 80

// failAtRandom makes all endpoints fail a part of their requests, so that one
// request meets several troubles in a row.
func (s *site) failAtRandom(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.misbehave(f.lasts, leastPart+f.how%(mostPart-leastPart), randomBehaviours...)
	}
}

// grace is how long a planned stop may take, as the settings say.
const grace = 8 * time.Second

// restart ends a process by a signal and starts it again. Gateway is -1 for a
// sidecar.
func (s *site) restart(gateway int, p *process, sig syscall.Signal, patience time.Duration) error {
	began := time.Now()
	broken := began // When it stopped serving but for a planned stop.
	over := p.signal(sig)
	planned := sig == syscall.SIGTERM && within(over, patience+slack)
	if sig == syscall.SIGTERM && !planned {
		broken = time.Now()
		s.ledger.note(func(l *ledger) {
			if !l.broken(gateway, began, broken) { // One that is suspended cannot end.
				l.ends = append(l.ends, p.name+" did not end within its grace period")
			}
		})
		p.signal(syscall.SIGKILL)
	}
	within(over, grace)
	ended := time.Now()
	if gateway >= 0 {
		s.ledger.halt(gateway, span{began, ended.Add(restartPause + slack)})
		if !planned {
			s.ledger.broke(gateway, span{broken, ended})
		}
		s.ledger.note(func(l *ledger) {
			if sig == syscall.SIGTERM {
				l.stopping[gateway] = append(l.stopping[gateway], span{began, ended})
				began = ended
			}
			l.spans[gateway] = append(l.spans[gateway], span{began, ended.Add(restartPause)})
		})
	}
	time.Sleep(restartPause)
	return p.again()
}

// disturb notes that a gateway is disturbed while do runs.
func (s *site) disturb(gateway int, lasts time.Duration, do func()) {
	s.ledger.disturb(gateway, span{time.Now(), time.Now().Add(lasts + slack)})
	do()
}

// disturbAll notes that the store is disturbed while do runs, which is to all
// gateways alike.
func (s *site) disturbAll(lasts time.Duration, do func()) {
	for g := range s.gateways {
		s.ledger.disturb(g, span{time.Now(), time.Now().Add(lasts + slack)})
	}
	do()
}

// spoil spoils a gateway's connections through a proxy for a while.
func (s *site) spoil(gateway int, p *proxy, f fault) {
	kind := linkFault(1 + f.how%linkFaultCount)
	s.say("        link of gateway-%d %s", gateway, linkNames[kind])
	s.disturb(gateway, f.lasts, func() {
		p.set(s.gateways[gateway].ip, kind)
		time.Sleep(f.lasts)
		p.set(s.gateways[gateway].ip, linkWell)
	})
}

// endpoint returns one of the endpoints that are there.
func (s *site) endpoint(which int) *endpointAt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[which%len(s.endpoints)]
}

// change publishes one or more versions.
func (s *site) change(f fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.kind {
	case takeKey:
		c := f.which % customers
		gone := s.keys[c][0]
		s.keys[c] = append(append([]string(nil), s.keys[c][1:]...), fmt.Sprintf("key-%d-%d", c, s.version+2))
		s.taken = append(s.taken, gone)
		defer s.ledger.note(func(l *ledger) { l.taken[gone] = time.Now() })
	case moveRoute:
		s.movedTo = plainNames[f.which%len(plainNames)]
		to := s.movedTo
		defer s.ledger.note(func(l *ledger) {
			if l.movedTo != to {
				l.moved, l.movedTo = time.Now(), to
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

// succeed has another plain endpoint come in the place of one, which is still listed.
func (s *site) succeed(f fault) (old *endpointAt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.cfg.Ranks + f.which%s.cfg.PlainEndpoints
	old = s.endpoints[i]
	next, err := s.addEndpoint(old.service, old.domain, plainIP+s.births%plainIPs, nil)
	if err != nil {
		return nil, err
	}
	s.endpoints = s.endpoints[:len(s.endpoints)-1]
	s.endpoints[i] = next
	return old, nil
}

// replace makes a plain endpoint leave as planned, and another one come.
func (s *site) replace(f fault) error {
	old, err := s.succeed(f)
	if err != nil {
		return err
	}
	s.mu.Lock()
	leaving := old.entry(true)
	s.mu.Unlock()
	if err := s.store.PutEndpoint(leaving); err != nil {
		return err
	}
	s.ledger.note(func(l *ledger) { l.left[old.name] = time.Now() })
	time.Sleep(drainBound + slack)
	s.store.Remove(old.name)
	time.Sleep(patience) // It serves on for a while.
	s.ledger.endpointEnds(old.name)
	return old.srv.Close()
}

// startAgain ends a plain endpoint without a word and starts it again under its name
// and address. Half of them said before that they leave: the new life does not.
func (s *site) startAgain(f fault) (err error) {
	s.mu.Lock()
	e := s.endpoints[s.cfg.Ranks+f.which%s.cfg.PlainEndpoints]
	old, busy := e.srv, e.restarts
	e.restarts = true
	if !busy && f.how%2 == 0 {
		err = s.store.PutEndpoint(e.entry(true))
	}
	s.mu.Unlock()
	if err != nil || busy {
		return err
	}
	time.Sleep(f.lasts / 2)
	s.ledger.endpointEnds(e.name)
	if err = old.Close(); err != nil {
		return err
	}
	time.Sleep(f.lasts / 2)
	return s.beginLife(e)
}

// beginLife starts an endpoint that has ended, under its name and address.
func (s *site) beginLife(e *endpointAt) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.restarts = false
	if !slices.Contains(s.endpoints, e) {
		return nil // It was replaced, or crashed for good, meanwhile.
	}
	l, err := net.Listen("tcp4", e.target)
	if err != nil {
		return err
	}
	e.srv = s.serveOn(l, e.handler)
	e.born = max(e.born+1, time.Now().UnixMilli())
	return s.store.PutEndpoint(e.entry(false))
}

// evacuate has nothing new go to the endpoints of a failure domain for a while. Two may
// overlap: the domain is free again when the last one is over.
func (s *site) evacuate(f fault) {
	domain := domains[f.which%len(domains)]
	s.mu.Lock()
	s.evacuating[domain]++
	s.store.Evacuate(domain)
	s.mu.Unlock()
	began := time.Now()
	time.Sleep(evacuationBound + f.lasts)
	s.mu.Lock()
	defer s.mu.Unlock()
	// It is noted before the word is taken back: what runs after that is allowed.
	s.ledger.note(func(l *ledger) { l.evacuated[domain] = append(l.evacuated[domain], span{began, time.Now()}) })
	if s.evacuating[domain]--; s.evacuating[domain] == 0 {
		s.store.EndEvacuation(domain)
	}
}

// crash makes a plain endpoint go without a word; its entry goes later, and
// another one comes.
func (s *site) crash(f fault) error {
	old, err := s.succeed(f)
	if err != nil {
		return err
	}
	old.misbehave(time.Hour, 100, standin.DropsAnswer) // What it has begun is lost, too.
	s.ledger.endpointEnds(old.name)
	if err := old.srv.Close(); err != nil {
		return err
	}
	time.Sleep(f.lasts)
	s.store.Remove(old.name)
	return nil
}
