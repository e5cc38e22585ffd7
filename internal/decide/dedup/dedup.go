// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package dedup decides whether a request may start, so that no request that must
// not be repeated runs twice. A Table belongs to one agent process; it holds
// marks for request ids and idempotency keys. It is a pure state machine: time
// is passed as an argument, and the caller serialises access.
package dedup

import "time"

// State is the state of a name, a request id or idempotency key, in a Table.
type State int

// The states of a mark.
const (
	Unseen         State = iota // Never seen.
	Tombstoned                  // Guaranteed never to run.
	Running                     // Marked before the first byte was sent.
	Finished                    // Ran, with a known answer.
	OutcomeUnknown              // Ran or may have run; the answer is unknown.
)

// Verdict is the result of Begin.
type Verdict int

// The verdicts.
const (
	Run        Verdict = iota // Marked; the caller must send the request or call Release.
	InProgress                // A request with the same name is running.
	Replay                    // It ran; Answer is its answer.
	MayHaveRun                // It may have run, in this or an earlier process.
	Refused                   // It is guaranteed never to run.
	Full                      // The table is full; nothing was marked.
	FromFuture                // Its key was created later than the clock skew allows.
	Mismatch                  // The name was used for another request before.
)

// Answer is the answer of a finished request, kept for replays.
type Answer struct {
	Status int
	Type   string // Content type.
	Body   []byte
}

type mark struct {
	state  State
	digest uint64
	answer *Answer // Nil unless state is Finished and the answer was kept.
	at     time.Time
}

// Config bounds a Table.
type Config struct {
	Started        time.Time     // Start of this process; requests with older keys may have run before.
	Skew           time.Duration // Maximum difference between two clocks.
	Window         time.Duration // How long marks are kept; requests with older keys may have run.
	Capacity       int           // Maximum number of marks; Begin refuses new names when it is reached.
	MaxAnswerBytes int           // Maximum total size of kept answer bodies.
	NeverResent    bool          // Names are never sent again, so an earlier process cannot have run one that arrives now.
}

// Table records the requests that were started.
type Table struct {
	cfg   Config
	marks map[string]*mark
	order []string // Names in the order of their marks, oldest first.
	bytes int      // Invariant: sum of len(answer.Body) over marks.
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, marks: map[string]*mark{}}
}

// Len returns the number of marks.
func (t *Table) Len() int { return len(t.marks) }

// Begin marks name as running if it may start. The time minted is the creation
// time in the key; digest is a hash of the request, which detects the use of one
// name for two requests. For a name that has a mark, the verdict follows from the
// mark and the digest alone. The answer is nil unless the verdict is Replay.
func (t *Table) Begin(name string, digest uint64, minted, now time.Time) (v Verdict, a *Answer) {
	t.expire(now)
	if m, ok := t.marks[name]; ok {
		if m.digest != digest {
			return Mismatch, nil
		}
		return m.verdict(), m.answer
	}
	switch {
	case minted.After(now.Add(t.cfg.Skew)):
		return FromFuture, nil
	case !t.cfg.NeverResent && t.fromEarlierProcess(minted):
		return MayHaveRun, nil // An earlier process of this endpoint may have run it.
	case minted.Before(now.Add(-t.cfg.Window + t.cfg.Skew)):
		return MayHaveRun, nil // Its mark may have expired already.
	case len(t.marks) >= t.cfg.Capacity:
		return Full, nil // Marks are never evicted before they expire.
	}
	t.add(name, Running, digest, now)
	return Run, nil
}

// verdict returns the verdict on another request with the name of the mark. A finished
// request whose answer was not kept counts as one that may have run.
func (m *mark) verdict() Verdict {
	switch m.state {
	case Running:
		return InProgress
	case Tombstoned:
		return Refused
	case Finished:
		if m.answer != nil {
			return Replay
		}
	}
	return MayHaveRun
}

func (t *Table) add(name string, s State, digest uint64, now time.Time) {
	t.marks[name] = &mark{state: s, digest: digest, at: now}
	t.order = append(t.order, name)
}

// Release removes the mark of a request of which nothing was sent.
func (t *Table) Release(name string) {
	if m, ok := t.marks[name]; ok && m.state == Running {
		delete(t.marks, name) // Its entry in order is skipped by expire.
	}
}

// Deny turns the mark of a request of which nothing was sent into the guarantee
// that it never runs.
func (t *Table) Deny(name string) {
	if m, ok := t.marks[name]; ok && m.state == Running {
		m.state = Tombstoned
	}
}

// Finish records the answer of a running name. The answer is not kept for replays if
// all kept bodies together would exceed MaxAnswerBytes.
func (t *Table) Finish(name string, a Answer) {
	m, ok := t.marks[name]
	if !ok || m.state != Running {
		return
	}
	m.state = Finished
	if t.bytes+len(a.Body) <= t.cfg.MaxAnswerBytes {
		m.answer = &a
		t.bytes += len(a.Body)
	}
}

// SetOutcomeUnknown records that a running name may have run without a known answer.
func (t *Table) SetOutcomeUnknown(name string) {
	if m, ok := t.marks[name]; ok && m.state == Running {
		m.state = OutcomeUnknown
	}
}

// fromEarlierProcess reports whether an earlier process of the endpoint may have received a name
// that was created at minted.
func (t *Table) fromEarlierProcess(minted time.Time) bool {
	return minted.Before(t.cfg.Started.Add(t.cfg.Skew))
}

// Tombstone guarantees that name never runs, unless it has a mark already. It returns
// the state of name afterwards. That is OutcomeUnknown if no guarantee is possible: an
// earlier process may have run it, its mark may have expired, or the table is full.
func (t *Table) Tombstone(name string, minted, now time.Time) State {
	t.expire(now)
	if m, ok := t.marks[name]; ok {
		return m.state
	}
	expired := minted.Before(now.Add(-t.cfg.Window + t.cfg.Skew))
	if t.fromEarlierProcess(minted) || expired || len(t.marks) >= t.cfg.Capacity {
		return OutcomeUnknown
	}
	t.add(name, Tombstoned, 0, now)
	return Tombstoned
}

// expire removes marks that are older than the window. The mark of a name that is
// still running is kept for another window.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.order) {
		name := t.order[n]
		m, ok := t.marks[name]
		if !ok {
			n++
			continue
		}
		if now.Sub(m.at) <= t.cfg.Window {
			break
		}
		n++
		if m.state == Running {
			m.at = now
			t.order = append(t.order, name)
			continue
		}
		if m.answer != nil {
			t.bytes -= len(m.answer.Body)
		}
		delete(t.marks, name)
	}
	t.order = t.order[n:]
}
