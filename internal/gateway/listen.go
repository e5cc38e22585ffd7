// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/roster"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Few gateways of a failure domain read the store. The others wait for news from one of
// them, or, where there are many, from another one that waits itself: each has few
// listeners, so that what is published goes over no link more than some times. Nothing
// depends on their agreeing: a gateway listens to those before it in the order of addresses
// only, and whoever does not hear of anything new enough reads the store itself.
const (
	// readersPerDomain is how many gateways of a domain read the store: with two,
	// the loss of one leaves another that is up to date.
	readersPerDomain = 2
	// mostListeners is how many listeners a gateway has: a configuration of some 100 KB
	// reaches them within a fraction of a second over a link of 40 Mbit/s. With 53 it took
	// longer than is waited for it, and all read the store at once.
	mostListeners = 8
	// deafFor is how long a gateway that did not answer is asked after all others: whoever
	// died is not known by then.
	deafFor = roster.FreshFor
	// firstAnswers is how long a process that has just started waits at most to hear of
	// others of its failure domain, so that not all listen to the seeds: some round trips
	// to these, looked at each firstLook.
	firstAnswers = 30 * time.Millisecond
	firstLook    = 5 * time.Millisecond
	// holdTime is how long a call for news is held: a reader has news, if only
	// that nothing changed, after each wait of one second and the answer's way.
	holdTime = 1300 * time.Millisecond
	// listenTimeout bounds such a call. A reader that died without a word is found
	// out after so long, which must lie well below the time in which a new
	// configuration is to be in force (2 s).
	listenTimeout = holdTime + 200*time.Millisecond
	// startSpread is the time within which all processes are up when the whole system
	// starts: the platform starts them within 0.3 s, and a start takes some time.
	startSpread = 600 * time.Millisecond
)

// errNoReader means that no gateway is known that reads the store.
var errNoReader = errors.New("no gateway of the domain is known to read the store")

// listenedTo is what the gateways that this one listened to said last, by
// address.
type listenedTo map[string]heardNumber

// heardNumber says up to where a gateway's changes are known.
type heardNumber struct {
	life   int64
	number uint64
}

// Reads reports whether this gateway is one of the few of its domain that read
// the store.
func (n *Neighbours) Reads(able bool) bool {
	n.mu.Lock()
	n.blind = !able
	n.mu.Unlock()
	leaving, _ := n.g.leaving(time.Now())
	if leaving {
		return len(n.readers()) == 0
	}
	if n.settling(time.Now()) {
		return false
	}
	readers, seeing := n.readersThat(able)
	if !able && seeing {
		return false
	}
	before, _ := slices.BinarySearch(readers, n.self)
	return before < readersPerDomain
}

// settling reports whether this gateway has started so lately that it has not
// heard of all others yet. It listens to its seeds then: were it to go by whom it
// has heard of, nearly all gateways would take themselves for one of the few at a
// start of the whole system. Seeds read, and so does whoever hears nothing from
// them.
func (n *Neighbours) settling(now time.Time) bool {
	return now.Sub(n.started) < heardFor && len(n.seeds) > 0 && !slices.Contains(n.seeds, n.self)
}

// readers returns the other gateways of the domain that read the store, in the
// order in which they do.
func (n *Neighbours) readers() []string {
	list, _ := n.readersThat(true)
	return list
}

// readersThat returns the other gateways of the domain that can read the store;
// when there are none and this one cannot either, those that try to. Seeing is
// false then.
func (n *Neighbours) readersThat(able bool) (list []string, seeing bool) {
	var blind []string
	n.mu.Lock()
	near := n.roster.Near(time.Now())
	n.mu.Unlock()
	for _, g := range near {
		if g.Blind {
			blind = append(blind, g.Address)
		} else {
			list = append(list, g.Address)
		}
	}
	seeing = len(list) > 0
	if !seeing && !able {
		list = blind
	}
	return list, seeing
}

// Listen waits for news from a gateway that reads the store and takes it in. When
// that does not answer, the other ones are asked, too.
func (n *Neighbours) Listen(ctx context.Context) (err error) {
	if n.first && time.Since(n.started) < startSpread {
		wait.For(ctx, startSpread-time.Since(n.started)) // The seeds may not be up yet.
	}
	for ctx.Err() == nil && time.Since(n.started) < firstAnswers && len(n.readers()) == 0 {
		wait.For(ctx, firstLook)
	}
	err = errNoReader
	for _, from := range n.listenable(time.Now()) {
		if err = n.listenTo(ctx, from); err == nil || ctx.Err() != nil {
			return err
		}
		n.mu.Lock()
		n.deaf[from] = time.Now()
		n.mu.Unlock()
		n.log.Info("not heard", zap.String("from", from), zap.String("error", err.Error()))
	}
	return err
}

// listenable returns whom to listen to, in the order of trial.
func (n *Neighbours) listenable(now time.Time) []string {
	list, place := n.before()
	if n.settling(now) && place < readersPerDomain {
		list = n.seeds
		begin := int(n.life) % len(list) // Each begins with another one.
		list = slices.Concat(list[begin:], list[:begin])
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.deaf, func(_ string, at time.Time) bool { return now.Sub(at) > deafFor })
	answers := func(a string) bool { _, deaf := n.deaf[a]; return !deaf && a != n.self }
	fails := func(a string) bool { return !answers(a) && a != n.self }
	return slices.Concat(keep(list, answers), keep(list, fails))
}

// before returns this gateway's place in the order of its failure domain, and those that it
// may listen to: the one that it is a listener of, and those that read the store.
func (n *Neighbours) before() (list []string, place int) {
	all, _ := n.readersThat(false)
	place, _ = slices.BinarySearch(all, n.self)
	readers := first(readersPerDomain, all)
	if place < readersPerDomain {
		return readers, place
	}
	parent := all[listensTo(place)]
	return append([]string{parent}, keep(readers, func(a string) bool { return a != parent })...), place
}

// listensTo returns the place, in the order of addresses, of the gateway to which the one at a
// place listens that is not among the readers.
func listensTo(place int) int {
	listener := place - readersPerDomain
	if listener < readersPerDomain*mostListeners {
		return listener % readersPerDomain
	}
	return listener / mostListeners
}

// keep returns those of a list that a function keeps.
func keep[T any](list []T, f func(T) bool) (kept []T) {
	for _, v := range list {
		if f(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// listenTo waits for news from one gateway and takes it in.
func (n *Neighbours) listenTo(ctx context.Context, from string) (err error) {
	n.mu.Lock()
	last := n.heardOf[from]
	n.mu.Unlock()
	asked := n.g.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	p, err := n.call(ctx, from, fmt.Sprintf("&life=%d&after=%d&hold=1", last.life, last.number))
	if err != nil {
		return err
	}
	if err := n.takeConfig(p); err != nil {
		return err
	}
	n.g.view.Hear(p.Told, n.g.cfg.Now())
	n.g.view.Confirm(p.Version, asked.Add(p.Held-p.Age))
	n.mu.Lock()
	n.heardOf = listenedTo{from: {life: p.Life, number: p.Number}}
	n.mu.Unlock()
	n.logTold(from, p)
	return nil
}

func (n *Neighbours) logTold(from string, p published) {
	if len(p.Config)+len(p.Endpoints)+len(p.Gone) == 0 {
		return
	}
	n.log.Info("heard of changes", zap.String("from", from), zap.Uint64("version", p.Version), zap.Uint64("revision", p.At),
		zap.Duration("age", p.Age), zap.Bool("whole", p.Whole), zap.Int("endpoints", len(p.Endpoints)), zap.Int("gone", len(p.Gone)))
}

// question is what a gateway wants to know of another one.
type question struct {
	version uint64 // Of its configuration.
	life    int64  // Of the process that gave after.
	after   uint64 // Number of the newest change that it knows.
	hold    bool   // Wait for news.
}

func readQuestion(r *http.Request) (q question, err error) {
	values := r.URL.Query()
	if q.version, err = strconv.ParseUint(values.Get("version"), 10, 64); err != nil {
		return q, errors.Wrap(err, "version")
	}
	q.hold = values.Get("hold") == "1"
	if !q.hold {
		return q, nil
	}
	if q.life, err = strconv.ParseInt(values.Get("life"), 10, 64); err != nil {
		return q, errors.Wrap(err, "life")
	}
	q.after, err = strconv.ParseUint(values.Get("after"), 10, 64)
	return q, errors.Wrap(err, "after")
}

// servePublished tells another gateway what this one knows.
func (n *Neighbours) servePublished(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	q, err := readQuestion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.life != n.life {
		q.after = 0
	}
	if q.hold {
		n.awaitNews(r.Context(), q)
	}
	s := n.g.view.State()
	if s.Config == nil && !q.hold {
		http.Error(w, "nothing known yet", http.StatusServiceUnavailable)
		return
	}
	p := published{Life: n.life, Revision: s.ConfigRevision, Told: n.g.view.Tell(q.after)}
	if s.Config != nil {
		p.Version = s.Config.Version()
	}
	if p.Version > q.version {
		p.Config = s.Config.Raw()
	}
	// The age is taken after the state, and the time of holding before it: what is
	// told may only be newer than it says.
	p.Held = time.Since(began)
	p.Age = n.g.view.CheckAge(n.g.cfg.Now())
	httpjson.ReplyPacked(w, r, p)
}

// awaitNews waits until the view changes or is confirmed, at most holdTime, if
// it holds nothing that is new to the other gateway.
func (n *Neighbours) awaitNews(ctx context.Context, q question) {
	moved := n.g.view.Moved()
	s := n.g.view.State()
	if s.Config != nil && s.Config.Version() > q.version || n.g.view.ChangedSince(q.after) {
		return
	}
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-moved:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// turnMargin is what a gateway's turn to read the store itself keeps from the time
// in which a configuration must be in force: that after which it notices that it
// hears nothing new, and that of reading.
const turnMargin = listenTimeout + 300*time.Millisecond

// Follow returns what makes a follower listen to these neighbours.
func (n *Neighbours) Follow() follow.Listener {
	return follow.Listener{Reads: n.Reads, Listen: n.Listen, Turn: n.turn, Spread: n.spread}
}

// turn returns this gateway's place among those of its domain, in the order in which
// they read the store: 0 for the first.
func (n *Neighbours) turn() float64 {
	list, _ := n.readersThat(true)
	before, _ := slices.BinarySearch(list, n.self)
	return float64(before) / float64(len(list)+1)
}
