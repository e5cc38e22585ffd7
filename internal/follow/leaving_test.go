// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Times of the simulated store and processes.
const (
	storeDelay    = 4 * time.Millisecond
	peerDelay     = 2 * time.Millisecond
	heldCall      = 1300 * time.Millisecond // How long a peer holds a call.
	heldCallLimit = heldCall + 200*time.Millisecond
	// leavingBound is within which a process must know that an endpoint leaves.
	leavingBound = 2 * time.Second
)

// fakeStore is a source with one configuration and some endpoints.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]fleet.Endpoint
	events   []Changes
	changed  chan struct{}
	calls    []time.Time
	listing  int // Number of calls that a snapshot takes.
}

func newFakeStore(ids ...string) *fakeStore {
	s := &fakeStore{entries: map[string]fleet.Endpoint{}, changed: make(chan struct{}), listing: 2}
	for _, id := range ids {
		s.put(id, false)
	}
	return s
}

func (s *fakeStore) put(id string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := fleet.Endpoint{ID: id, Service: "s", Address: id + ":1", Revision: s.revision, Leaving: leaving}
	s.entries[id] = e
	s.publish(Changes{Endpoints: []fleet.Endpoint{e}, UpTo: s.revision})
}

func (s *fakeStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.entries, id)
	s.publish(Changes{Removals: []Removal{{Name: id, Revision: s.revision}}, UpTo: s.revision})
}

func (s *fakeStore) publish(ch Changes) {
	s.events = append(s.events, ch)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) snapshot() (snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.listing {
		s.calls = append(s.calls, time.Now())
	}
	snap = Snapshot{Config: version(1), UpTo: s.revision}
	for _, e := range s.entries {
		snap.Endpoints = append(snap.Endpoints, e)
	}
	return snap
}

func (s *fakeStore) recordCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
}

// callsSince returns the number of calls since a time, and the most in any second of them.
func (s *fakeStore) callsSince(begin time.Time) (all, perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for i, at := range s.calls {
		if at.Before(begin) {
			first = i + 1
			continue
		}
		for s.calls[first].Before(at.Add(-time.Second)) {
			first++
		}
		all, perSecond = all+1, max(perSecond, i-first+1)
	}
	return all, perSecond
}

// since returns what was published after a revision, and a channel that is closed at the next event.
func (s *fakeStore) since(after uint64) (ch Changes, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch = Changes{UpTo: s.revision, Quiet: true}
	for _, ev := range s.events {
		if ev.UpTo > after {
			ch.Endpoints, ch.Removals, ch.Quiet = append(ch.Endpoints, ev.Endpoints...), append(ch.Removals, ev.Removals...), false
		}
	}
	return ch, s.changed
}

// process follows the store or others. Its fields of faults are set by the test.
type process struct {
	name    string
	store   *fakeStore
	view    *View
	follows []*process // Empty for a reader of the store.
	turn    float64

	mu        sync.Mutex
	suspended chan struct{} // Closed when the process goes on; nil unless it is suspended.
	ended     bool          // It refuses calls.
	blind     bool          // The store does not answer it.
	late      time.Duration // By how much its answers are late.
	position  map[*process]uint64
}

func newProcess(name string, s *fakeStore, follows ...*process) *process {
	return &process{name: name, store: s, view: NewView(), follows: follows, position: map[*process]uint64{}}
}

func (p *process) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *process) suspend() { p.set(func() { p.suspended = make(chan struct{}) }) }

func (p *process) resume() { p.set(func() { close(p.suspended); p.suspended = nil }) }

// proceed waits while the process is suspended. It returns an error if ctx is done.
func (p *process) proceed(ctx context.Context) error {
	for {
		var suspended chan struct{}
		p.set(func() { suspended = p.suspended })
		if suspended == nil {
			return ctx.Err()
		}
		select {
		case <-suspended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reachStore waits until a call of the process has reached the store.
func (p *process) reachStore(ctx context.Context) error {
	time.Sleep(storeDelay)
	var blind bool
	p.set(func() { blind = p.blind })
	if blind {
		<-ctx.Done()
	}
	return p.proceed(ctx)
}

func (p *process) source() Source {
	return Source{
		Snapshot: func(ctx context.Context, _ bool) (Snapshot, error) {
			if err := p.reachStore(ctx); err != nil {
				return Snapshot{}, err
			}
			return p.store.snapshot(), nil
		},
		Changes: func(ctx context.Context, after uint64, wait time.Duration) (ch Changes, err error) {
			if err := p.reachStore(ctx); err != nil {
				return ch, err
			}
			p.store.recordCall()
			timer := time.NewTimer(wait)
			defer timer.Stop()
			for over := false; ; {
				var changed <-chan struct{}
				if ch, changed = p.store.since(after); !ch.Quiet || over {
					return ch, p.proceed(ctx)
				}
				select {
				case <-changed:
				case <-timer.C:
					over = true
				case <-ctx.Done():
					return ch, ctx.Err()
				}
			}
		},
	}
}

// fetch makes one call to another process, as gateways do.
func (p *process) fetch(ctx context.Context, from *process) error {
	ctx, cancel := context.WithTimeout(ctx, heldCallLimit)
	defer cancel()
	time.Sleep(peerDelay)
	var ended bool
	var late time.Duration
	from.set(func() { ended, late = from.ended, from.late })
	if ended {
		return errors.New("refused")
	}
	if err := from.proceed(ctx); err != nil {
		return err
	}
	updated := from.view.Updated()
	if !from.view.ChangedSince(p.position[from]) {
		select {
		case <-updated:
		case <-time.After(heldCall):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := from.proceed(ctx); err != nil {
		return err
	}
	u, s, completeAt := from.view.UpdateSince(p.position[from])
	select {
	case <-time.After(late + peerDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	p.view.Offer(s.Config, s.ConfigRevision)
	p.view.ApplyUpdate(u, time.Now())
	p.view.Confirm(s.version(), completeAt)
	p.position = map[*process]uint64{from: u.Number}
	return p.proceed(ctx)
}

// fetchAny calls the processes that p follows in turn, those that failed last.
func (p *process) fetchAny(ctx context.Context) (err error) {
	for range p.follows {
		if err = p.fetch(ctx, p.follows[0]); err == nil || ctx.Err() != nil {
			return err
		}
		p.follows = append(p.follows[1:], p.follows[0])
	}
	return err
}

func (p *process) run(ctx context.Context) error {
	f := NewFollower(p.view, p.source(), leavingBound, zap.NewNop())
	f.now = time.Now
	if len(p.follows) > 0 {
		f.UsePeers(PeerSource{ReadsSource: func(bool) bool { return false }, Fetch: p.fetchAny, Turn: func() float64 { return p.turn }, Spread: 5 * time.Second})
	}
	return f.Run(ctx, func() {})
}

// accepts reports whether the process may send new requests to an endpoint.
func (p *process) accepts(id string) bool {
	s := p.view.State()
	e, listed := s.Endpoints[id]
	_, missing := s.Missing[id]
	return listed && !missing && !e.Leaving
}

// processes are two readers of a store, a follower of them, and a follower of that one.
type processes struct {
	store        *fakeStore
	first, other *process // The readers.
	middle, leaf *process
}

// play runs the processes in simulated time.
func play(t *testing.T, script func(p processes)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b", "c")
		p := processes{store: s, first: newProcess("first", s), other: newProcess("other", s)}
		p.middle = newProcess("middle", s, p.first, p.other)
		p.leaf = newProcess("leaf", s, p.middle, p.first, p.other)
		p.middle.turn, p.leaf.turn = 0.5, 0.99
		ctx, cancel := context.WithCancel(t.Context())
		var all errgroup.Group
		for i, one := range []*process{p.first, p.other, p.middle, p.leaf} {
			all.Go(func() error {
				time.Sleep(time.Duration(i) * 350 * time.Millisecond)
				return one.run(ctx)
			})
		}
		time.Sleep(6 * time.Second)
		script(p)
		cancel()
		if err := all.Wait(); err != nil {
			t.Error(err)
		}
	})
}

const suspension = 3500 * time.Millisecond

func suspendFor(d time.Duration, list ...*process) {
	for _, p := range list {
		p.suspend()
		time.AfterFunc(d, p.resume)
	}
}

// Guards against followers that keep sending to an endpoint that leaves because those that they learn
// from stand still, are cut off, end or answer late.
func TestFollowersKnowOfLeavingEndpointsInTime(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(p processes)
	}{
		{"no fault", func(processes) {}},
		{"one reader stands still", func(p processes) { suspendFor(suspension, p.first) }},
		{"both readers stand still", func(p processes) { suspendFor(suspension, p.first, p.other) }},
		{"all that a process learns from stand still", func(p processes) { suspendFor(suspension, p.first, p.other, p.middle) }},
		{"the readers stand still one after the other", func(p processes) {
			suspendFor(suspension, p.first)
			time.AfterFunc(700*time.Millisecond, func() { suspendFor(suspension, p.other) })
		}},
		{"a reader goes on while the other stands still", func(p processes) {
			suspendFor(600*time.Millisecond, p.first)
			time.AfterFunc(500*time.Millisecond, func() { suspendFor(suspension, p.other) })
		}},
		{"the store answers neither reader", func(p processes) {
			p.first.set(func() { p.first.blind = true })
			p.other.set(func() { p.other.blind = true })
		}},
		{"one reader stands still and the store does not answer the other", func(p processes) {
			suspendFor(suspension, p.first)
			p.other.set(func() { p.other.blind = true })
		}},
		{"both readers end", func(p processes) {
			p.first.set(func() { p.first.ended = true })
			p.other.set(func() { p.other.ended = true })
			suspendFor(time.Minute, p.first, p.other)
		}},
		{"both readers answer late", func(p processes) {
			p.first.set(func() { p.first.late = time.Second })
			p.other.set(func() { p.other.late = time.Second })
		}},
		{"both readers and the process between answer late", func(p processes) {
			for _, one := range []*process{p.first, p.other, p.middle} {
				one.set(func() { one.late = 1400 * time.Millisecond })
			}
		}},
	} {
		for _, leave := range []struct {
			how string
			do  func(s *fakeStore, id string)
		}{
			{"the entry disappears", func(s *fakeStore, id string) { s.remove(id) }},
			{"the entry says so", func(s *fakeStore, id string) { s.put(id, true) }},
		} {
			t.Run(tc.name+"/"+leave.how, func(t *testing.T) { checkLeaving(t, tc.fault, leave.do) })
		}
	}
}

// checkLeaving plays a fault at various moments of the calls' cycles, with an endpoint that leaves at
// various times after it.
func checkLeaving(t *testing.T, fault func(p processes), leave func(s *fakeStore, id string)) {
	const phaseStep, lastPhase, step = 170 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Millisecond
	worst := time.Duration(0)
	for phase := time.Duration(0); phase < lastPhase; phase += phaseStep {
		for _, after := range []time.Duration{-20 * time.Millisecond, 20 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond} {
			play(t, func(p processes) {
				time.Sleep(phase)
				if after < 0 {
					leave(p.store, "a")
					time.Sleep(-after)
					fault(p)
				} else {
					fault(p)
					time.Sleep(after)
					leave(p.store, "a")
				}
				leftAt := time.Now()
				for _, one := range []*process{p.middle, p.leaf} {
					var suspended bool
					one.set(func() { suspended = one.suspended != nil })
					for !suspended && one.accepts("a") && time.Since(leftAt) < 2*leavingBound {
						time.Sleep(step)
					}
				}
				worst = max(worst, time.Since(leftAt))
				if took := time.Since(leftAt); took > leavingBound {
					t.Errorf("phase %v, endpoint leaves %v after the fault: known after %v", phase, after, took)
				}
			})
		}
	}
	t.Logf("known after %v at most", worst)
}

// Guards against followers that all read the store at once: its rate is limited for all together.
func TestStoreRateWhileReadersStandStill(t *testing.T) {
	const watched = 10 * time.Second
	for _, tc := range []struct {
		domains, perDomain int
		listing            int // Calls for a snapshot.
		rate               int // Calls a second that the store answers.
	}{
		{1, 3, 2, 2000},
		{1, 7, 2, 2000},
		{5, 30, 3, 16_000},
		{5, 106, 4, 16_000},
		{10, 106, 8, 16_000},
	} {
		for _, frozen := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d processes, readers suspended %t", tc.domains*tc.perDomain, frozen), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newFakeStore("a", "b", "c")
					s.listing = tc.listing
					ctx, cancel := context.WithCancel(t.Context())
					var all errgroup.Group
					var readers []*process
					for range tc.domains {
						for i, p := range domainOf(s, tc.perDomain) {
							if i < 2 {
								readers = append(readers, p)
							}
							all.Go(func() error { return p.run(ctx) })
						}
					}
					time.Sleep(10 * time.Second)
					begin := time.Now()
					if frozen {
						suspendFor(suspension, readers...)
					}
					time.Sleep(watched)
					calls, perSecond := s.callsSince(begin)
					t.Logf("%d calls in %v, %d in a second at most", calls, watched, perSecond)
					if perSecond > tc.rate {
						t.Errorf("%d calls in a second", perSecond)
					}
					cancel()
					if err := all.Wait(); err != nil {
						t.Error(err)
					}
				})
			})
		}
	}
}

// domainOf returns the processes of a failure domain: two readers of the store, up to eight followers of
// each, and up to eight followers of each further process.
func domainOf(s *fakeStore, n int) (list []*process) {
	const readers, followers = 2, 8
	for i := range n {
		p := newProcess(fmt.Sprint(i), s)
		p.turn = float64(i) / float64(n)
		if i >= readers {
			parent := (i - readers) / followers
			if i-readers < readers*followers {
				parent = (i - readers) % readers
			}
			p.follows = append([]*process{list[parent]}, list[:readers]...)
		}
		list = append(list, p)
	}
	return list
}

// A view that has been complete up to a revision does not take back what was removed by then, from a
// peer that is behind.
func TestPeerThatIsBehindRestoresNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		forget func(v *View)
	}{
		{"a snapshot lacks it", func(v *View) { v.Replace(Snapshot{Config: version(1), UpTo: 9}, at(1), false) }},
		{"it was dropped after an outage", func(v *View) {
			v.Replace(Snapshot{Config: version(1), UpTo: 9}, at(1), true)
			v.DropMissing(at(2))
		}},
		{"a peer's complete view lacks it", func(v *View) { v.ApplyUpdate(Update{Whole: true, UpTo: 9}, at(1)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := NewView()
			v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("a", 4)}, UpTo: 5}, at(0), false)
			tc.forget(v)
			v.ApplyUpdate(Update{Whole: true, Endpoints: []fleet.Endpoint{endpoint("a", 4)}, UpTo: 6}, at(2))
			if n := len(v.State().Endpoints); n != 0 {
				t.Fatalf("%d endpoints", n)
			}
		})
	}
}

// A process that is suspended as it answers another one must not pass off an old state as the newest.
func TestStateIsNoNewerThanItsOwnConfirmation(t *testing.T) {
	v := NewView()
	v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("a", 4)}, UpTo: 5}, at(1), false)
	u, s, completeAt := v.UpdateSince(0)
	v.Apply(Changes{Config: version(2), Removals: []Removal{{Name: "a", Revision: 6}}, UpTo: 6}, at(5), false)
	if got := fmt.Sprint(len(u.Endpoints), s.version(), completeAt); got != fmt.Sprint(1, 1, at(1)) {
		t.Fatal(got)
	}
}

// A listing that the view has overtaken while it was on its way brings back nothing that has been removed
// since, and removes nothing that has been added.
func TestOvertakenSnapshotChangesNothingOlder(t *testing.T) {
	for _, tc := range []struct {
		name  string
		apply func(v *View)
	}{
		{"overtaken by changes", func(v *View) {
			v.Apply(Changes{Endpoints: []fleet.Endpoint{endpoint("new", 8)}, Removals: []Removal{{Name: "gone", Revision: 7}}, UpTo: 9}, at(1), false)
		}},
		{"overtaken by a peer's complete view", func(v *View) {
			v.ApplyUpdate(Update{Whole: true, Endpoints: []fleet.Endpoint{endpoint("new", 8)}, UpTo: 9}, at(1))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			v := NewView()
			v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("gone", 4)}, UpTo: 5}, at(0), false)
			tc.apply(v)
			v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("gone", 4)}, UpTo: 6}, at(0), false)
			g.Expect(v.State().Endpoints).To(HaveLen(1))
			g.Expect(v.State().Endpoints).To(HaveKey("new"))
			v.Replace(Snapshot{Config: version(1), UpTo: 10}, at(2), false)
			g.Expect(v.State().Endpoints).To(BeEmpty(), "a newer one decides")
		})
	}
}
