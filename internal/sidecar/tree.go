// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// A leader asks and orders the ranks of its group by a tree of their sidecars: it
// calls a few, each of which calls a few of its part, and so on. So what one link
// and one processor carry does not grow with the group. The leader alone lays the
// tree out, anew for each question, and names in it whom to call; nobody has to
// agree on it or remember it, and whoever was silent is left out of the next one.
//
// Answers go up in CBOR, the counts of experts as sums: they are most of the bytes,
// and links of sidecars are narrow.
const (
	// fanHeavy is how many sidecars one calls where each answer, or the question,
	// takes some kilobytes: with more, the link of the one that calls is the slowest
	// part, with fewer, the tree is deep.
	fanHeavy = 4
	// fanLight is that where they take some bytes a rank: a call costs about 0.2 ms of
	// a core, and a step down the tree a round trip.
	fanLight = 8
	// fanFlat is the size of groups up to which the leader calls all others itself:
	// as many calls as it would make anyhow in two steps of fanHeavy.
	fanFlat = fanHeavy + fanHeavy*fanHeavy
	// stepTime is what one step down the tree adds to the time that an answer may
	// take: a round trip between failure domains and the time that a small processor
	// share may add.
	stepTime = 40 * time.Millisecond
	pathTree = "/v1/tree"
)

// question goes down the tree.
type question struct {
	_       struct{}      `cbor:",toarray"`
	Engines []string      // Whose sidecars are asked; the receiver's engine is the first.
	Fanout  int           // Sidecars that one calls at most.
	Timeout time.Duration // In which the answer must be there.
	Group   string        // Whose counts are wanted; "" for none.
	Order   *rank.Order   // To be carried out by each, without its map; nil to ask for reports only.
	Map     *mapText      // Of an order to prepare.
}

// answered is what became of the question at one rank.
type answered struct {
	_           struct{}     `cbor:",toarray"`
	Index       int          // In the question's list.
	Report      *rank.Report // Nil where an order was given.
	Result      rank.Result  // Of the order.
	Error       string
	UnknownBase bool // The order's map is a change of one that the rank does not know: nothing was done.
}

// answers goes up the tree.
type answers struct {
	_           struct{} `cbor:",toarray"`
	Ranks       []answered
	Counts      []byte // Sum of the newest windows of so many ranks, as packCounts writes it; empty for none.
	SummedRanks int
	Window      uint64 // Number of the first rank's window.
	Epoch       uint64 // Of the windows.
}

// fanFor returns how many sidecars one calls to reach so many ranks where each call
// takes some kilobytes.
func fanFor(ranks int) int {
	if ranks < fanFlat {
		return fanFlat
	}
	return fanHeavy
}

// split divides a list into parts of like size, at most so many.
func split[T any](list []T, parts int) (all [][]T) {
	parts = min(parts, len(list))
	for i := range parts {
		all = append(all, list[i*len(list)/parts:(i+1)*len(list)/parts])
	}
	return all
}

// serveTree answers for this rank and those below it.
func (s *Sidecar) serveTree(w http.ResponseWriter, r *http.Request) {
	var q question
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPeerAnswer))
	if err == nil {
		err = cbor.Unmarshal(raw, &q)
	}
	if err == nil && (len(q.Engines) == 0 || q.Fanout <= 0) {
		err = errors.New("a question to nobody")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.Timeout)
	defer cancel()
	a := s.askTree(ctx, q)
	if raw, err = cbor.Marshal(a); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	httpjson.Binary(w, raw)
}

// askTree puts a question to this rank, whose engine is its first one, and to all
// below it.
func (s *Sidecar) askTree(ctx context.Context, q question) answers {
	rest := q
	rest.Engines = q.Engines[1:]
	var below answers
	var g errgroup.Group
	g.Go(func() error {
		s.contained(func() { below = s.spread(ctx, rest) })
		return nil
	})
	sum := s.answerOwn(ctx, q)
	_ = g.Wait() // No function returns an error: who was not heard is not among the answers.
	s.add(&sum, below, 1)
	return sum
}

// spread puts a question to all its engines, a part of them through each of a few.
func (s *Sidecar) spread(ctx context.Context, q question) (sum answers) {
	parts := split(q.Engines, q.Fanout)
	below := make([]answers, len(parts))
	var g errgroup.Group
	for i, part := range parts {
		g.Go(func() error {
			s.contained(func() { below[i] = s.askPart(ctx, q, part) })
			return nil
		})
	}
	_ = g.Wait() // As above.
	place := 0
	for i, part := range parts {
		s.add(&sum, below[i], place)
		place += len(part)
	}
	return sum
}

// askPart puts a question to the ranks of one part: to the first, which asks the
// rest, or to the next one when that does not answer.
func (s *Sidecar) askPart(ctx context.Context, q question, part []string) (a answers) {
	for first := range part {
		deadline, ok := ctx.Deadline()
		if left := time.Until(deadline) - stepTime; ok && left > 0 {
			q.Timeout = left
		} else {
			return answers{}
		}
		q.Engines = part[first:]
		call, cancel := context.WithTimeout(ctx, q.Timeout+stepTime/2)
		a, err := s.below(call, q)
		cancel()
		if err == nil {
			for i := range a.Ranks {
				a.Ranks[i].Index += first
			}
			return a
		}
		s.log.Debug("sidecar not heard", zap.String("engine", part[first]), zap.Int("below", len(part)-first-1), zap.String("error", err.Error()))
	}
	return answers{}
}

// answerOwn answers a question for the own rank.
func (s *Sidecar) answerOwn(ctx context.Context, q question) (a answers) {
	if q.Order != nil {
		a.Ranks = []answered{s.carryOutMap(ctx, *q.Order, q.Map)}
		return a
	}
	rep, err := s.engine.Report(ctx)
	if !s.noteReport(rep, err) || err != nil {
		return a
	}
	a.Ranks = []answered{{Report: &rep}}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Window = s.work.number
	if q.Group == "" || q.Group != rep.Group || s.work.epoch != rep.Epoch || len(s.work.flat) == 0 {
		return a
	}
	if a.Counts, err = packCounts(s.work.flat); err != nil {
		s.log.Warn("counts left out", zap.String("error", err.Error()))
		return a
	}
	a.SummedRanks, a.Epoch = 1, rep.Epoch
	return a
}

// add adds what came from below, whose ranks are from a place on in the question's
// list.
func (s *Sidecar) add(sum *answers, from answers, place int) {
	for _, r := range from.Ranks {
		r.Index += place
		sum.Ranks = append(sum.Ranks, r)
	}
	if from.SummedRanks == 0 {
		return
	}
	if sum.SummedRanks == 0 {
		sum.Counts, sum.SummedRanks, sum.Epoch = from.Counts, from.SummedRanks, from.Epoch
		return
	}
	both, err := addCounts(sum.Counts, from.Counts)
	if err != nil || sum.Epoch != from.Epoch {
		s.log.Debug("counts left out", zap.Int("ranks", from.SummedRanks), zap.Uint64("epoch", from.Epoch), zap.Error(err))
		return
	}
	sum.Counts = both
	sum.SummedRanks += from.SummedRanks
}

// depth is how many steps a question takes down a tree of so many ranks below its
// root.
func depth(ranks, fan int) (steps int) {
	for ranks > 0 {
		steps++
		ranks = (ranks+fan-1)/fan - 1
	}
	return steps
}

// tree puts a question to the sidecar beside its first engine.
func (c *peerClient) tree(ctx context.Context, q question) (a answers, err error) {
	raw, err := cbor.Marshal(q)
	if err != nil {
		return a, err
	}
	raw, err = c.raw(ctx, http.MethodPost, q.Engines[0], pathTree, raw)
	if err != nil {
		return a, err
	}
	return a, errors.Wrapf(cbor.Unmarshal(raw, &a), "sidecar of %s", q.Engines[0])
}
