// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/clock"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// Source reads the published state. Both functions return an error for what
// was refused, lost or late.
type Source struct {
	Snapshot func(ctx context.Context, stale bool) (Snapshot, error)
	Changes  func(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

// Times of following.
const (
	// waitTime is how long one call waits for changes. It adds to the age that
	// the configuration has at most, so it stays well under the shortest bound
	// on that age; a shorter one costs calls.
	waitTime = 1 * time.Second
	// answerTime is how long an answer may take beyond the waiting: the source
	// answers in milliseconds, and in about 0.3 s when it is slow. Others listen to
	// who reads, so a lost answer is to be found out soon.
	answerTime = 450 * time.Millisecond
	// slowAnswerTime is for calls after a failed one, so that a source that is
	// slower than usual is still read.
	slowAnswerTime = 1500 * time.Millisecond
	// firstPause and longestPause lie between calls to a source that fails.
	firstPause   = 100 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// lapseTime is how long after an outage an entry may take to be back; the
	// platform promises about two seconds.
	lapseTime = 2 * time.Second
	// outageTime is how long a source must have been silent for entries to have
	// lapsed: three heartbeats of 1.2 s are longer than this.
	outageTime = 2 * time.Second
	// listenAge is the greatest age of the configuration at which a process goes
	// on listening to another one: two waits, and some room below the age from
	// which the configuration is not trusted for refusals.
	listenAge = 2 * time.Second
	// ownTime is how long a process that heard nothing new enough reads the
	// source itself before it listens again: whoever died is not taken for one that
	// reads any more by then.
	ownTime = 2500 * time.Millisecond
	// ownPause is how long a process that the source failed listens to another one
	// again, though that one's word is old: most likely the source is down for all.
	ownPause = 2500 * time.Millisecond
	// blindTime is how long a process for which the source failed does not count
	// as one that others may listen to.
	blindTime = 5 * time.Second
	// gatherTime is waited after a call, so that several changes in a row cost one
	// call.
	gatherTime = 40 * time.Millisecond
	// gatherShare is the part of the time in which a configuration must be in force that
	// is waited at most where each call brings news, as while hundreds of endpoints start:
	// whoever reads and whoever listens to it each wait so long.
	gatherShare = 1.0 / 16
	// startGatherTime takes its place while there is no configuration: all endpoints
	// are published one after the other then, and nothing can be served yet.
	startGatherTime = 200 * time.Millisecond
)

// PeerSource lets a process follow by another one's word, so that few read the
// source.
type PeerSource struct {
	// ReadsSource reports whether this process is one of the few; able tells whether
	// the source answers it.
	ReadsSource func(able bool) bool
	// Fetch waits for news from one of the few and takes it into the view.
	Fetch func(ctx context.Context) error
	// Turn is this process's place, from 0 up to 1, among those that listen: where
	// what all hear is too old, they read the source one after the other.
	Turn func() float64
	// Spread is the time within which all have read then.
	Spread time.Duration
}

// Follower keeps a view up to date.
type Follower struct {
	view   *View
	source Source
	log    *zap.Logger
	now    func() time.Time

	inForce   time.Duration // In which a new configuration must be in force.
	known     mark          // What the view held after the last call.
	gathering time.Duration // That was last waited after news; 0 after a call without any.

	lost   bool      // The last call failed.
	failed int       // Failed calls in a row.
	heard  time.Time // Last answer.
	back   time.Time // End of the last outage.

	reported map[string]uint64 // Revisions of bad entries that were logged, by name.
	listener *PeerSource       // Nil where every process reads the source.
	ownUntil time.Time         // Until then it reads the source itself.
	oldSince time.Time         // When what it hears was first too old; zero while it is not.
	ownAfter time.Time         // Until then it goes on listening, though what it hears is old.
	blind    time.Time         // When the source last failed.
}

// NewFollower returns a follower of source into view, for a process in which a new
// configuration must be in force within a time.
func NewFollower(view *View, source Source, inForce time.Duration, log *zap.Logger) *Follower {
	return &Follower{view: view, source: source, inForce: inForce, log: log, now: clock.Now, reported: map[string]uint64{}}
}

// UsePeers makes the follower listen to others where it is not one of the few
// that read the source. It is called before Run.
func (f *Follower) UsePeers(l PeerSource) { f.listener = &l }

// listens reports whether another process's word is to be followed now.
func (f *Follower) listens() bool {
	now := f.now()
	if f.listener == nil || now.Before(f.ownUntil) {
		return false
	}
	return !f.listener.ReadsSource(f.blind.IsZero() || now.Sub(f.blind) > blindTime)
}

// listen follows another process's word once; it reports whether that was new
// enough to go on so.
func (f *Follower) listen(ctx context.Context) bool {
	call, cancel := f.untilTurn(ctx)
	err := f.listener.Fetch(call)
	cancel()
	now := f.now()
	age := f.view.ConfirmedAge(now)
	if ctx.Err() != nil || err == nil && age < listenAge {
		f.heard, f.oldSince = now.Add(-age), time.Time{}
		return true
	}
	if err == nil && now.Before(f.ownAfter) {
		return true
	}
	if f.oldSince.IsZero() {
		f.oldSince = now
	}
	if err == nil && now.Before(f.turn()) {
		return true // Whoever reads may soon have an answer again.
	}
	f.oldSince = time.Time{}
	cause := "too old"
	if err != nil {
		cause = err.Error()
	}
	f.log.Info("reads the store itself", zap.String("cause", cause), zap.Duration("age", age))
	f.ownUntil = now.Add(ownTime)
	return false
}

// turn is when this process reads the source itself, if what it hears stays too old.
func (f *Follower) turn() time.Time {
	if f.listener.Turn == nil {
		return f.oldSince
	}
	return f.oldSince.Add(time.Duration(f.listener.Turn() * float64(f.listener.Spread)))
}

// untilTurn bounds a call to another process while what that says is too old: by
// this one's turn, nothing new is waited for any longer.
func (f *Follower) untilTurn(ctx context.Context) (context.Context, context.CancelFunc) {
	if f.oldSince.IsZero() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, max(f.turn().Sub(f.now()), firstPause))
}

// Run follows until ctx ends. The function changed is called after each
// change of the view.
func (f *Follower) Run(ctx context.Context, changed func()) error {
	f.heard = f.now()
	whole := true // The next call must read everything.
	for ctx.Err() == nil {
		if f.listens() {
			whole = true // What was heard does not say from where to read on.
			if f.listen(ctx) {
				changed()
				wait.For(ctx, f.gather())
				continue
			}
		}
		var err error
		if whole {
			err = f.snapshot(ctx)
		} else {
			err = f.changes(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			f.regain()
			whole = false
			changed()
			wait.For(ctx, f.gather())
			continue
		}
		if errors.Is(err, ErrCompacted) {
			f.log.Info("history forgotten", zap.Uint64("after", f.view.revision()))
			whole = true
			wait.For(ctx, f.gatherAfter(true)) // There are news, only not in this answer.
			continue
		}
		f.lose(err)
		if f.listener != nil && !f.listener.ReadsSource(false) {
			f.ownUntil, f.ownAfter = time.Time{}, f.now().Add(ownPause)
		}
		wait.For(ctx, min(firstPause<<min(f.failed, 8), longestPause))
	}
	return nil
}

// gather returns how long news are gathered before the next call, after one that was answered.
func (f *Follower) gather() time.Duration {
	before := f.known
	f.known = f.view.mark()
	return f.gatherAfter(f.known != before)
}

// gatherAfter returns how long news are gathered before the next call: twice as long with each
// call in a row that brought some.
func (f *Follower) gatherAfter(news bool) time.Duration {
	switch longest := time.Duration(gatherShare * float64(f.inForce)); {
	case f.view.State().Config == nil:
		return startGatherTime
	case news:
		f.gathering = min(max(2*f.gathering, gatherTime), max(longest, gatherTime))
		return f.gathering
	default:
		f.gathering = 0
		return gatherTime
	}
}

func (f *Follower) snapshot(ctx context.Context) error {
	asked := f.now()
	ctx, cancel := context.WithTimeout(ctx, f.patience())
	defer cancel()
	snap, err := f.source.Snapshot(ctx, false)
	if err != nil {
		return err
	}
	f.report(snap.Invalid)
	f.noteOutage()
	f.view.Replace(snap, asked, f.holding())
	s := f.view.State()
	f.log.Info("view replaced", zap.Uint64("version", s.version()), zap.Uint64("revision", snap.At), zap.Int("endpoints", len(s.Endpoints)))
	return nil
}

func (f *Follower) changes(ctx context.Context) error {
	asked := f.now()
	wait := waitTime
	if f.failed > 0 {
		wait = 0 // What is known is old already.
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.patience())
	defer cancel()
	before := f.view.State()
	ch, err := f.source.Changes(ctx, f.view.revision(), wait)
	if err != nil {
		return err
	}
	f.report(ch.Invalid)
	f.noteOutage()
	removed := f.view.Apply(ch, asked, f.holding())
	if !f.holding() {
		removed = append(removed, f.view.DropMissing(f.now().Add(-lapseTime))...)
	}
	f.logChanges(before, ch, removed)
	return nil
}

func (f *Follower) logChanges(before *State, ch Changes, removed []string) {
	after := f.view.State()
	if before.version() != after.version() {
		f.log.Info("configuration taken", zap.Uint64("version", after.version()), zap.Uint64("from", before.version()), zap.Uint64("revision", after.ConfigRevision))
	}
	for _, e := range ch.Endpoints {
		f.log.Info("endpoint listed", zap.String("endpoint", e.ID), zap.String("address", e.Address), zap.Bool("leaving", e.Leaving), zap.Duration("cold-left", e.ColdLeft), zap.Uint64("revision", e.Revision))
	}
	for _, id := range removed {
		f.log.Info("endpoint removed", zap.String("endpoint", id), zap.Uint64("revision", ch.At))
	}
}

// maxReported bounds the bad entries that are remembered, so that each revision of one
// is logged once.
const maxReported = 1024

func (f *Follower) report(bad []InvalidEntry) {
	for _, b := range bad {
		if revision, ok := f.reported[b.Name]; ok && revision == b.Revision {
			continue
		}
		if len(f.reported) >= maxReported {
			clear(f.reported)
		}
		f.reported[b.Name] = b.Revision
		f.log.Warn("published entry left out", zap.String("name", b.Name), zap.Uint64("revision", b.Revision), zap.String("error", b.Err.Error()))
	}
}

// patience is how long an answer may take.
func (f *Follower) patience() time.Duration {
	if f.failed > 0 {
		return slowAnswerTime
	}
	return answerTime
}

// noteOutage is called with an answer in hand.
func (f *Follower) noteOutage() {
	now := f.now()
	if now.Sub(f.heard) > waitTime+outageTime {
		f.back = now
	}
	f.heard = now
}

// holding reports whether an entry that is missing may only have lapsed.
func (f *Follower) holding() bool {
	return !f.back.IsZero() && f.now().Sub(f.back) < lapseTime
}

func (f *Follower) lose(err error) {
	f.blind = f.now()
	f.failed++
	if !f.lost {
		f.lost = true
		f.log.Warn("store lost", zap.String("error", err.Error()), zap.Duration("age", f.view.Age(f.now())))
	}
}

func (f *Follower) regain() {
	f.failed = 0
	if f.lost {
		f.lost = false
		f.log.Info("store regained", zap.Duration("age", f.view.Age(f.now())))
	}
}
