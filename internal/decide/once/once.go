// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package once decides whether a request may start, so that nothing that must
// not be repeated runs twice. A Table belongs to one agent process; it holds
// marks for request ids and idempotency keys. It is a pure state machine: time
// comes in as an argument, and the caller serialises access.
package once

import "time"

// State is what a Table knows of a name.
type State int

// The states of a mark.
const (
	Unseen         State = iota // Never seen.
	Tombstoned                  // Promised never to run.
	Running                     // Marked before the first byte was sent.
	Finished                    // Ran, with a known answer.
	OutcomeUnknown              // Ran or may have run; the answer is not known.
)

// Verdict is the answer to Begin.
type Verdict int

// The verdicts.
const (
	Run        Verdict = iota // Marked; the caller must send it or call Release.
	InProgress                // The same name is running now.
	Replay                    // It ran; Answer holds what was given.
	MayHaveRun                // It may have run, here or in an earlier life.
	Refused                   // It was promised never to run.
	Full                      // No room to remember it; nothing was marked.
	FromFuture                // Minted later than the clocks allow.
	Mismatch                  // The name was used for another request before.
)

// Answer is a finished answer that is kept for repeats.
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
	Started        time.Time     // When this process began; earlier keys may have run before.
	Skew           time.Duration // Largest difference between two clocks.
	Window         time.Duration // How long marks are kept; older keys are doubtful.
	Capacity       int           // Marks held at most; when full, Begin refuses.
	MaxAnswerBytes int           // Bytes of answers kept at most.
	NeverResent    bool          // Names are never sent again, so that an earlier life cannot have run one that comes now.
}

// Table remembers what was started.
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

// Begin marks name as running if it may start. minted is the time in the key;
// digest is of the request, so that one name cannot stand for two requests.
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
	case !t.cfg.NeverResent && t.early(minted):
		return MayHaveRun, nil // An earlier life of this endpoint may have run it.
	case minted.Before(now.Add(-t.cfg.Window + t.cfg.Skew)):
		return MayHaveRun, nil // Its mark may have expired already.
	case len(t.marks) >= t.cfg.Capacity:
		return Full, nil // Never forget early to make room.
	}
	t.put(name, Running, digest, now)
	return Run, nil
}

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

func (t *Table) put(name string, s State, digest uint64, now time.Time) {
	t.marks[name] = &mark{state: s, digest: digest, at: now}
	t.order = append(t.order, name)
}

// Release takes back a mark of which nothing was sent.
func (t *Table) Release(name string) {
	if m, ok := t.marks[name]; ok && m.state == Running {
		delete(t.marks, name) // Its place in order is skipped by expire.
	}
}

// Deny turns a mark of which nothing was sent into the promise that nothing
// will be.
func (t *Table) Deny(name string) {
	if m, ok := t.marks[name]; ok && m.state == Running {
		m.state = Tombstoned
	}
}

// Finish records the answer of a running name.
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

// early reports whether an earlier life of the endpoint may have seen a name.
func (t *Table) early(minted time.Time) bool {
	return minted.Before(t.cfg.Started.Add(t.cfg.Skew))
}

// Tombstone promises that name never runs, if it was not seen before and this
// process would have seen it. It returns the state of name afterwards.
func (t *Table) Tombstone(name string, minted, now time.Time) State {
	t.expire(now)
	if m, ok := t.marks[name]; ok {
		return m.state
	}
	late := minted.Before(now.Add(-t.cfg.Window + t.cfg.Skew))
	if t.early(minted) || late || len(t.marks) >= t.cfg.Capacity {
		return OutcomeUnknown // Nobody can promise any more.
	}
	t.put(name, Tombstoned, 0, now)
	return Tombstoned
}

// expire forgets marks that are older than the window. A name still running is
// kept and looked at again a window later.
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
