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

// A leader queries and orders the ranks of its group through a tree of their sidecars: it calls a
// few, each of which calls a few of its part, and so on. The load on one link and one CPU therefore
// does not grow with the group. Only the leader determines the tree, anew for each query, and the
// query lists the sidecars to call. No other rank has to agree on the tree or remember it, and a
// rank that was silent is left out of the next one.
//
// Responses are encoded in CBOR and carry the counts of experts as sums: the counts are most of the
// bytes, and the links of sidecars are narrow.
const (
	// heavyFanout is the number of sidecars that one sidecar calls if each response, or the query,
	// takes some kilobytes: with more, the link of the caller is the bottleneck; with fewer, the
	// tree is deep.
	heavyFanout = 4
	// lightFanout is that number if the responses and the query take some bytes per rank: a call
	// costs about 0.2 ms of a core, and a level of the tree costs a round trip.
	lightFanout = 8
	// flatFanout is the size of groups up to which the leader calls all others itself: as many
	// calls as two levels of heavyFanout would take.
	flatFanout = heavyFanout + heavyFanout*heavyFanout
	// hopTime is what one level of the tree adds to the time that a response may take: a round trip
	// between failure domains, plus delays from a small CPU share.
	hopTime  = 40 * time.Millisecond
	pathTree = "/v1/tree"
)

// treeQuery is a query that is sent down the tree.
type treeQuery struct {
	_       struct{}      `cbor:",toarray"`
	Engines []string      // Engines whose sidecars are queried; the receiver's own engine is the first.
	Fanout  int           // Maximum number of sidecars that one sidecar calls.
	Timeout time.Duration // Time within which the response must arrive.
	Group   string        // Group whose counts are requested; "" for none.
	Order   *rank.Order   // Order for each rank, without its map; nil to request reports only.
	Map     *encodedMap   // Map of a Prepare order.
}

// rankResponse is the result of a query at one rank.
type rankResponse struct {
	_           struct{}     `cbor:",toarray"`
	Index       int          // In the query's list.
	Report      *rank.Report // Nil if the query had an order.
	Result      rank.Result  // Of the order.
	Error       string
	UnknownBase bool // The rank does not have the base of the order's map delta; nothing was done.
}

// treeResponse is a response that is returned up the tree.
type treeResponse struct {
	_           struct{} `cbor:",toarray"`
	Ranks       []rankResponse
	Counts      []byte // Sum of the newest windows of SummedRanks ranks, as encoded by encodeCounts; empty if there is none.
	SummedRanks int
	Window      uint64 // Number of the first rank's window.
	Epoch       uint64 // Of the windows.
}

// fanoutFor returns the fanout to reach the given number of ranks if each call takes some
// kilobytes. Fewer than flatFanout ranks are all called by the leader.
func fanoutFor(ranks int) int {
	if ranks < flatFanout {
		return flatFanout
	}
	return heavyFanout
}

// split divides a list into at most the given number of parts of similar size.
func split[T any](list []T, parts int) (all [][]T) {
	parts = min(parts, len(list))
	for i := range parts {
		all = append(all, list[i*len(list)/parts:(i+1)*len(list)/parts])
	}
	return all
}

// serveTree answers a query for this rank and those below it.
func (s *Sidecar) serveTree(w http.ResponseWriter, r *http.Request) {
	var q treeQuery
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPeerResponse))
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
	a := s.queryTree(ctx, q)
	if raw, err = cbor.Marshal(a); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	httpjson.ReplyBinary(w, raw)
}

// queryTree answers a query for this rank, whose engine is the query's first one, and for all ranks
// below it.
func (s *Sidecar) queryTree(ctx context.Context, q treeQuery) treeResponse {
	queryBelow := q
	queryBelow.Engines = q.Engines[1:]
	var below treeResponse
	var g errgroup.Group
	g.Go(func() error {
		s.containPanic(func() { below = s.fanOut(ctx, queryBelow) })
		return nil
	})
	sum := s.answerForSelf(ctx, q)
	_ = g.Wait() // No function returns an error; ranks that did not answer are not in the response.
	s.merge(&sum, below, 1)
	return sum
}

// fanOut sends a query to the sidecars of all its engines, split into at most q.Fanout parts. Each part
// is queried through its first sidecar that answers.
func (s *Sidecar) fanOut(ctx context.Context, q treeQuery) (sum treeResponse) {
	parts := split(q.Engines, q.Fanout)
	below := make([]treeResponse, len(parts))
	var g errgroup.Group
	for i, part := range parts {
		g.Go(func() error {
			s.containPanic(func() { below[i] = s.queryPart(ctx, q, part) })
			return nil
		})
	}
	_ = g.Wait() // No function returns an error; ranks that did not answer are not in the response.
	firstIndex := 0
	for i, part := range parts {
		s.merge(&sum, below[i], firstIndex)
		firstIndex += len(part)
	}
	return sum
}

// queryPart sends a query to the ranks of one part through the first of them that answers. That
// rank passes the query on to the ranks after it. Ranks before it, which did not answer, are left
// out. The response is empty if no rank answers, or if at most hopTime remains to the deadline of
// ctx before one does.
//
// The called sidecar has the remaining time to the deadline, less hopTime. The call itself may last
// half a hopTime longer, for the time in which the query and the response are in transit. The other
// half is left before the deadline.
func (s *Sidecar) queryPart(ctx context.Context, q treeQuery, part []string) (a treeResponse) {
	for first := range part {
		deadline, ok := ctx.Deadline()
		if remaining := time.Until(deadline) - hopTime; ok && remaining > 0 {
			q.Timeout = remaining
		} else {
			return treeResponse{}
		}
		q.Engines = part[first:]
		attemptCtx, cancel := context.WithTimeout(ctx, q.Timeout+hopTime/2)
		a, err := s.querySidecar(attemptCtx, q)
		cancel()
		if err == nil {
			for i := range a.Ranks {
				a.Ranks[i].Index += first
			}
			return a
		}
		s.log.Debug("sidecar unreachable", zap.String("engine", part[first]), zap.Int("below", len(part)-first-1), zap.String("error", err.Error()))
	}
	return treeResponse{}
}

// answerForSelf answers a query for this rank: it executes the query's order, or reads the engine's
// report if there is none. If it cannot read the report, the response has no rank. The response has
// counts only if they were requested for this group and belong to its epoch.
func (s *Sidecar) answerForSelf(ctx context.Context, q treeQuery) (a treeResponse) {
	if q.Order != nil {
		a.Ranks = []rankResponse{s.executeWithMap(ctx, *q.Order, q.Map)}
		return a
	}
	rep, err := s.engine.Report(ctx)
	if !s.recordReport(rep, err) || err != nil {
		return a
	}
	a.Ranks = []rankResponse{{Report: &rep}}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Window = s.newestWindow.number
	if q.Group == "" || q.Group != rep.Group || s.newestWindow.epoch != rep.Epoch || len(s.newestWindow.flat) == 0 {
		return a
	}
	if a.Counts, err = encodeCounts(s.newestWindow.flat); err != nil {
		s.log.Warn("counts not encoded", zap.String("error", err.Error()))
		return a
	}
	a.SummedRanks, a.Epoch = 1, rep.Epoch
	return a
}

// merge adds a response from below to sum. The ranks of the response start at firstIndex of the
// query's list. Counts that cannot be added, as those of another epoch, are ignored.
func (s *Sidecar) merge(sum *treeResponse, from treeResponse, firstIndex int) {
	for _, r := range from.Ranks {
		r.Index += firstIndex
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
		s.log.Debug("incompatible counts ignored", zap.Int("ranks", from.SummedRanks), zap.Uint64("epoch", from.Epoch), zap.Error(err))
		return
	}
	sum.Counts = both
	sum.SummedRanks += from.SummedRanks
}

// depth returns how many levels a tree with the given number of ranks below its root has.
func depth(ranks, fanout int) (hops int) {
	for ranks > 0 {
		hops++
		ranks = (ranks+fanout-1)/fanout - 1
	}
	return hops
}

// queryTree sends a query to the sidecar of the query's first engine.
func (c *peerClient) queryTree(ctx context.Context, q treeQuery) (a treeResponse, err error) {
	raw, err := cbor.Marshal(q)
	if err != nil {
		return a, err
	}
	raw, err = c.do(ctx, http.MethodPost, q.Engines[0], pathTree, raw)
	if err != nil {
		return a, err
	}
	return a, errors.Wrapf(cbor.Unmarshal(raw, &a), "sidecar of %s", q.Engines[0])
}
