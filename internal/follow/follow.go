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

// Source reads the published state. Both functions return an error for a call that was refused,
// lost or late.
type Source struct {
	Snapshot func(ctx context.Context, stale bool) (Snapshot, error)
	Changes  func(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

// Times and limits of following.
const (
	// longPollTime is how long one call waits for changes. It adds to the maximum age of the
	// configuration, so it stays well below the smallest bound on that age; a shorter time costs
	// more calls.
	longPollTime = 1 * time.Second
	// maxConfirmInterval bounds the time from which the view is complete to the end of the next
	// call's wait, so that processes that follow this one hear of it in time. A call after changes
	// waits less for that.
	maxConfirmInterval = longPollTime + 100*time.Millisecond
	// waitTolerance is by how much the source may end a wait early.
	waitTolerance = 20 * time.Millisecond
	// answerTimeout is how long an answer may take beyond the wait: the source answers in
	// milliseconds, and in about 0.3 s when it is slow. Other processes follow the one that reads,
	// so a lost answer must be detected soon.
	answerTimeout = 450 * time.Millisecond
	// slowAnswerTimeout replaces answerTimeout after a failed call, so that a source that is slower
	// than usual can still be read.
	slowAnswerTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff between calls to a failing source.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// expiryGrace is how long after an outage an expired entry may take to be written again; the
	// platform promises about two seconds.
	expiryGrace = 2 * time.Second
	// minOutage is how long a source must have been unreachable for entries to be taken as possibly
	// expired. It is shorter than three heartbeats of 1.2 s, after which an entry expires.
	minOutage = 2 * time.Second
	// maxPeerAge is the maximum age of the view at which a process continues to follow a peer. An
	// endpoint that leaves gets nothing new two seconds later, whatever has become of the peer: what
	// remains is for catchUpSpread, for one call to the source, and for requests on their way. It is
	// above maxConfirmInterval by the time in which a peer detects a lost answer and calls again.
	maxPeerAge = 1600 * time.Millisecond
	// catchUpSpread is the time over which the processes that follow peers read the source when the
	// view becomes too old. Each makes one call for what it has missed.
	catchUpSpread = 150 * time.Millisecond
	// directReadTime is how long a process that received nothing recent enough from peers reads the
	// source itself before it follows a peer again: by then, a peer that died is no longer taken
	// for a reader.
	directReadTime = 2500 * time.Millisecond
	// staleTolerance is how long a process follows a peer with stale data again after the source
	// has failed for the process itself: most likely the source is unreachable for all.
	staleTolerance = 2500 * time.Millisecond
	// ineligibleTime is how long after a failure of the source a process does not count as one that
	// others may follow.
	ineligibleTime = 5 * time.Second
	// minBatchDelay is the delay after a call, so that several changes in a row cost one call.
	minBatchDelay = 40 * time.Millisecond
	// maxBatchShare is the maximum delay while each call returns changes, such as while hundreds of
	// endpoints start, as a share of the time within which a configuration must be in effect. A
	// process that reads the source and one that follows it each wait for up to that long.
	maxBatchShare = 1.0 / 16
	// startBatchDelay replaces minBatchDelay while there is no configuration: all endpoints are
	// published one after the other then, and nothing can be served yet.
	startBatchDelay = 200 * time.Millisecond
)

// PeerSource lets a process follow the view of a peer, so that only a few processes read the
// source.
type PeerSource struct {
	// ReadsSource reports whether this process is one of the few that read the source; able is
	// whether the source answers it.
	ReadsSource func(able bool) bool
	// Fetch waits for changes from one of the reading peers and applies them to the view.
	Fetch func(ctx context.Context) error
	// Turn is the position of this process among those that follow peers, in [0, 1): when the data
	// of all of them is too old, they read the source one after the other.
	Turn func() float64
	// Spread is the time over which these reads are distributed after the source has failed for this
	// process.
	Spread time.Duration
}

// Follower keeps a view up to date from a source or from peers.
type Follower struct {
	view   *View
	source Source
	log    *zap.Logger
	now    func() time.Time

	effectiveWithin time.Duration // Within which a new configuration must be in effect.
	lastVersion     viewVersion   // Version of the view after the last call.
	lastDelay       time.Duration // Last batch delay after a call with changes; 0 after a call without any.

	sourceLost  bool      // Whether the last call failed.
	failures    int       // Consecutive failed calls.
	lastAnswer  time.Time // Last answer of the source, or the time up to which data of peers was complete.
	recoveredAt time.Time // End of the last outage.

	loggedInvalid    map[string]uint64 // Revisions of the invalid entries that were logged, by name.
	peers            *PeerSource       // Nil if every process reads the source.
	directUntil      time.Time         // Until when it reads the source itself.
	staleSince       time.Time         // Since when the data of peers has been too old; zero if it is not.
	acceptStaleUntil time.Time         // Until when it continues to follow a peer whose data is old.
	lastFailure      time.Time         // When the source last failed; zero if it never did.
	// failedSinceRecent is whether the source has failed since the data of peers was last recent
	// enough: most likely it is unreachable for all.
	failedSinceRecent bool
}

// NewFollower returns a follower of source into view, for a process in which a new configuration
// must be in effect within a given time.
func NewFollower(view *View, source Source, effectiveWithin time.Duration, log *zap.Logger) *Follower {
	return &Follower{view: view, source: source, effectiveWithin: effectiveWithin, log: log, now: clock.Now, loggedInvalid: map[string]uint64{}}
}

// UsePeers makes the follower follow peers where this process is not one of the few that read the
// source. It must be called before Run.
func (f *Follower) UsePeers(p PeerSource) { f.peers = &p }

// usesPeers reports whether a peer is to be followed now: not while this process reads the source
// directly for a time, nor while it is one of the few that always do.
func (f *Follower) usesPeers() bool {
	now := f.now()
	if f.peers == nil || now.Before(f.directUntil) {
		return false
	}
	return !f.peers.ReadsSource(f.lastFailure.IsZero() || now.Sub(f.lastFailure) > ineligibleTime)
}

// readFromPeer fetches once from a peer, and reports whether to continue with peers. It does so
// after data that is recent enough. It also does after stale data while that is tolerated, or until
// this process's turn to read the source. Otherwise, and after a failed fetch, this process reads
// the source directly for directReadTime. The fetch ends at that turn, too, since a peer that stands
// still must not keep this process from it.
func (f *Follower) readFromPeer(ctx context.Context) bool {
	f.updateStaleSince(false)
	call, cancel := f.withTurnDeadline(ctx)
	err := f.peers.Fetch(call)
	cancel()
	now := f.now()
	age := f.view.ConfirmedAge(now)
	if ctx.Err() != nil || err == nil && age < maxPeerAge {
		f.lastAnswer, f.staleSince, f.failedSinceRecent = now.Add(-age), time.Time{}, false
		return true
	}
	if err == nil && now.Before(f.acceptStaleUntil) {
		return true
	}
	f.updateStaleSince(true)
	if err == nil && now.Before(f.turnTime()) {
		return true // The reading peers may soon get an answer again.
	}
	f.staleSince = time.Time{}
	cause := "too old"
	if err != nil {
		cause = err.Error()
	}
	f.log.Info("reading the store directly", zap.String("cause", cause), zap.Duration("age", age))
	f.directUntil = now.Add(directReadTime)
	return false
}

// updateStaleSince sets since when the data of peers has been too old and is no longer tolerated, or
// will be if nothing newer arrives. For a view that was never confirmed, this is the first time that a
// fetch has shown it.
func (f *Follower) updateStaleSince(fetched bool) {
	now := f.now()
	if age := f.view.ConfirmedAge(now); age != infiniteAge {
		f.staleSince = now.Add(maxPeerAge - age)
		if f.acceptStaleUntil.After(f.staleSince) {
			f.staleSince = f.acceptStaleUntil
		}
	} else if fetched && f.staleSince.IsZero() {
		f.staleSince = now
	}
}

// turnTime returns when it is this process's turn to read the source, if the data of peers stays
// too old until then.
func (f *Follower) turnTime() time.Time {
	if f.peers.Turn == nil {
		return f.staleSince
	}
	spread := f.peers.Spread
	if !f.failedSinceRecent && f.view.ConfirmedAge(f.now()) != infiniteAge {
		spread = min(catchUpSpread, spread)
	}
	return f.staleSince.Add(time.Duration(f.peers.Turn() * float64(spread)))
}

// withTurnDeadline limits a call to a peer: it lasts no longer than until this process's turn to read
// the source, or until stale data is no longer tolerated.
func (f *Follower) withTurnDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if f.staleSince.IsZero() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, f.turnTime().Sub(f.now()))
}

// Run follows until ctx ends. It calls changed after each change of the view.
func (f *Follower) Run(ctx context.Context, changed func()) error {
	f.lastAnswer = f.now()
	needSnapshot := true // The next call must read everything.
	for ctx.Err() == nil {
		if f.usesPeers() {
			if f.readFromPeer(ctx) {
				changed()
				wait.For(ctx, f.nextBatchDelay())
				continue
			}
			// What peers told is complete up to a revision from which the source continues.
			needSnapshot = f.view.revision() == 0
		}
		var err error
		began := f.now()
		if needSnapshot {
			err = f.readSnapshot(ctx)
		} else {
			err = f.readChanges(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			f.onSuccess()
			needSnapshot = false
			changed()
			wait.For(ctx, f.nextBatchDelay())
			continue
		}
		if errors.Is(err, ErrCompacted) {
			f.log.Info("history compacted", zap.Uint64("after", f.view.revision()))
			needSnapshot = true
			wait.For(ctx, f.nextBatchDelayAfter(true)) // There are changes, but not in this answer.
			continue
		}
		f.onFailure(err)
		if f.peers != nil && !f.peers.ReadsSource(false) {
			// Most likely no process can read the source: follow a peer again, even with old data.
			f.directUntil, f.acceptStaleUntil = time.Time{}, f.now().Add(staleTolerance)
		}
		wait.For(ctx, f.backoff(f.now().Sub(began)))
	}
	return nil
}

// backoff returns how long to wait after a failed call that took the given time. The call after the
// first lost answer follows at once, so that other processes do not take this one's view for stale.
func (f *Follower) backoff(took time.Duration) time.Duration {
	if f.failures == 1 && took > maxBackoff {
		return 0
	}
	return min(minBackoff<<min(f.failures, 8), maxBackoff)
}

// nextBatchDelay returns how long to collect changes after a successful call before the next one. It
// records the view's version, to detect changes since the previous call.
func (f *Follower) nextBatchDelay() time.Duration {
	before := f.lastVersion
	f.lastVersion = f.view.currentVersion()
	return f.nextBatchDelayAfter(f.lastVersion != before)
}

// nextBatchDelayAfter returns how long to collect changes before the next call, and records that
// delay. It doubles with each consecutive call that returned changes, from minBatchDelay up to
// maxBatchShare of effectiveWithin. It is minBatchDelay after a call without changes, and
// startBatchDelay while there is no configuration.
func (f *Follower) nextBatchDelayAfter(changed bool) time.Duration {
	switch longest := time.Duration(maxBatchShare * float64(f.effectiveWithin)); {
	case f.view.State().Config == nil:
		return startBatchDelay
	case changed:
		f.lastDelay = min(max(2*f.lastDelay, minBatchDelay), max(longest, minBatchDelay))
		return f.lastDelay
	default:
		f.lastDelay = 0
		return minBatchDelay
	}
}

// readSnapshot reads the whole published state from the source and replaces the view's.
func (f *Follower) readSnapshot(ctx context.Context) error {
	requestedAt := f.now()
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout())
	defer cancel()
	snap, err := f.source.Snapshot(ctx, false)
	if err != nil {
		return err
	}
	f.logInvalid(snap.Invalid)
	f.recordAnswer()
	f.view.Replace(snap, requestedAt, f.keepsMissing())
	s := f.view.State()
	f.log.Info("view replaced", zap.Uint64("version", s.version()), zap.Uint64("revision", snap.UpTo), zap.Int("endpoints", len(s.Endpoints)))
	return nil
}

// readChanges waits for changes from the source and applies them to the view. After a failed call
// it does not wait. Where nothing was published during the wait, the view is complete as of its end,
// otherwise as of the request.
func (f *Follower) readChanges(ctx context.Context) error {
	requestedAt := f.now()
	wait := f.changesWait(requestedAt)
	ctx, cancel := context.WithTimeout(ctx, wait+f.callTimeout())
	defer cancel()
	before := f.view.State()
	ch, err := f.source.Changes(ctx, f.view.revision(), wait)
	if err != nil {
		return err
	}
	f.logInvalid(ch.Invalid)
	f.recordAnswer()
	completeAt := requestedAt
	if waited := wait - waitTolerance; ch.Quiet && waited > 0 && f.now().Sub(requestedAt) >= waited {
		completeAt = requestedAt.Add(waited)
	}
	removed := f.view.Apply(ch, completeAt, f.keepsMissing())
	if !f.keepsMissing() {
		removed = append(removed, f.view.DropMissing(f.now().Add(-expiryGrace))...)
	}
	f.logChanges(before, ch, removed)
	return nil
}

// changesWait returns how long a call that begins now waits for changes.
func (f *Follower) changesWait(now time.Time) time.Duration {
	if f.failures > 0 {
		return 0 // The view is stale already.
	}
	return min(max(maxConfirmInterval-f.view.ConfirmedAge(now), 0), longPollTime)
}

func (f *Follower) logChanges(before *State, ch Changes, removed []string) {
	after := f.view.State()
	if before.version() != after.version() {
		f.log.Info("configuration applied", zap.Uint64("version", after.version()), zap.Uint64("from", before.version()), zap.Uint64("revision", after.ConfigRevision))
	}
	for _, e := range ch.Endpoints {
		f.log.Info("endpoint listed", zap.String("endpoint", e.ID), zap.String("address", e.Address), zap.Bool("leaving", e.Leaving), zap.Duration("cold-left", e.ColdLeft), zap.Uint64("revision", e.Revision))
	}
	for _, id := range removed {
		f.log.Info("endpoint removed", zap.String("endpoint", id), zap.Uint64("revision", ch.UpTo))
	}
}

// maxLoggedInvalid bounds the remembered invalid entries; they are remembered to log each revision
// of one only once.
const maxLoggedInvalid = 1024

func (f *Follower) logInvalid(invalid []InvalidEntry) {
	for _, b := range invalid {
		if revision, ok := f.loggedInvalid[b.Name]; ok && revision == b.Revision {
			continue
		}
		if len(f.loggedInvalid) >= maxLoggedInvalid {
			clear(f.loggedInvalid)
		}
		f.loggedInvalid[b.Name] = b.Revision
		f.log.Warn("invalid published entry ignored", zap.String("name", b.Name), zap.Uint64("revision", b.Revision), zap.String("error", b.Err.Error()))
	}
}

// callTimeout returns how long an answer may take beyond the wait.
func (f *Follower) callTimeout() time.Duration {
	if f.failures > 0 {
		return slowAnswerTimeout
	}
	return answerTimeout
}

// recordAnswer records when the source answered. If the previous answer is so old that entries may
// have expired, it also records the end of an outage. It must be called before keepsMissing is used
// for the answer.
func (f *Follower) recordAnswer() {
	now := f.now()
	if now.Sub(f.lastAnswer) > longPollTime+minOutage {
		f.recoveredAt = now
	}
	f.lastAnswer = now
}

// keepsMissing reports whether a missing entry may only have expired during an outage, which is so
// for expiryGrace after its end.
func (f *Follower) keepsMissing() bool {
	return !f.recoveredAt.IsZero() && f.now().Sub(f.recoveredAt) < expiryGrace
}

func (f *Follower) onFailure(err error) {
	f.lastFailure, f.failedSinceRecent = f.now(), true
	f.failures++
	if !f.sourceLost {
		f.sourceLost = true
		f.log.Warn("store unreachable", zap.String("error", err.Error()), zap.Duration("age", f.view.Age(f.now())))
	}
}

func (f *Follower) onSuccess() {
	f.failures = 0
	if f.sourceLost {
		f.sourceLost = false
		f.log.Info("store reachable again", zap.Duration("age", f.view.Age(f.now())))
	}
}
