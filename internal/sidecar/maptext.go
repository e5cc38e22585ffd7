// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// Maps of large groups are long, and the link of the leader's instance is
// narrow: sent to 63 ranks by the leader alone, a map of 8 sets took 0.7 s. So an
// order to prepare names a map, and the sidecars hand its text on in a tree.
const (
	// mapFan is how many sidecars get a map from one: with 8, two steps reach 72
	// ranks and three 584.
	mapFan = 8
	// mapTimeout bounds the reading of a map from one sidecar, which may have to
	// wait for it itself.
	mapTimeout = 300 * time.Millisecond
	// prepareTimeout bounds an order to prepare with all that it needs: a map
	// from each of the two sidecars named, and the engine's answers.
	prepareTimeout = 2*mapTimeout + orderTries*orderTimeout + askTimeout
	pathMap        = "/v1/maps"
)

// mapKey names a map. A version alone does not: each epoch begins anew.
type mapKey struct {
	epoch   uint64
	fence   uint64
	version uint64
}

func keyOf(o rank.Order) mapKey { return mapKey{epoch: o.Epoch, fence: o.Fence, version: o.Version} }

func (k mapKey) query() string {
	return fmt.Sprintf("?epoch=%d&fence=%d&version=%d", k.epoch, k.fence, k.version)
}

func parseMapKey(q url.Values) (k mapKey, err error) {
	for _, f := range []struct {
		name string
		to   *uint64
	}{{"epoch", &k.epoch}, {"fence", &k.fence}, {"version", &k.version}} {
		if *f.to, err = strconv.ParseUint(q.Get(f.name), 10, 64); err != nil {
			return k, errors.Wrap(err, f.name)
		}
	}
	return k, nil
}

// shelf holds the newest map that a sidecar knows, for others to read.
type shelf struct {
	mu    sync.Mutex
	key   mapKey
	text  []byte
	added chan struct{} // Closed when a map is put; never nil.
}

func newShelf() *shelf { return &shelf{added: make(chan struct{})} }

// put replaces what the shelf holds.
func (s *shelf) put(k mapKey, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.key, s.text = k, text
	close(s.added)
	s.added = make(chan struct{})
}

// get waits for a map.
func (s *shelf) get(ctx context.Context, k mapKey) (text []byte, err error) {
	for {
		s.mu.Lock()
		key, text, added := s.key, s.text, s.added
		s.mu.Unlock()
		if key == k && text != nil {
			return text, nil
		}
		select {
		case <-added:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "map of version %d", k.version)
		}
	}
}

// packMap writes a map as varints: its sets and ranks, then by set and rank the
// number of experts and the steps from one to the next.
func packMap(layout [][][]int) []byte {
	ranks := 0
	if len(layout) > 0 {
		ranks = len(layout[0])
	}
	raw := binary.AppendUvarint(nil, uint64(len(layout)))
	raw = binary.AppendUvarint(raw, uint64(ranks))
	for _, set := range layout {
		for _, row := range set {
			raw = binary.AppendUvarint(raw, uint64(len(row)))
			last := 0
			for _, x := range row { // In ascending order.
				raw = binary.AppendUvarint(raw, uint64(x-last))
				last = x
			}
		}
	}
	return raw
}

// unpackMap reads what packMap wrote.
func unpackMap(raw []byte) (layout [][][]int, err error) {
	flat, err := unpack(raw)
	if err != nil {
		return nil, err
	}
	next := func() int {
		if len(flat) == 0 {
			err = errors.New("map: too short")
			return 0
		}
		n := flat[0]
		flat = flat[1:]
		return int(n)
	}
	sets, ranks := next(), next()
	most := len(raw) // A row takes a byte at least.
	if sets < 0 || ranks < 0 || sets > most || ranks > most || sets*ranks > most {
		return nil, errors.Newf("map: %d sets of %d ranks in %d bytes", sets, ranks, len(raw))
	}
	layout = make([][][]int, sets)
	for k := range layout {
		layout[k] = make([][]int, ranks)
		for r := range layout[k] {
			n := next()
			if n < 0 || n > len(flat) {
				return nil, errors.New("map: too short")
			}
			row := make([]int, n)
			for i := range row {
				row[i] = next()
				if i > 0 {
					row[i] += row[i-1]
				}
			}
			layout[k][r] = row
		}
	}
	if err == nil && len(flat) > 0 {
		err = errors.Newf("map: %d numbers too many", len(flat))
	}
	return layout, err
}

// mapSources returns the engines beside which a rank finds a map: first that of
// the sidecar before it in the tree, then the leader's.
func (l *leader) mapSources(r int) []string {
	self := l.machine.Self
	leader := l.byRank[self].endpoint.Address
	at := r // Place among the ranks that do not lead.
	if r > self {
		at--
	}
	if at < mapFan {
		return []string{leader}
	}
	before := at/mapFan - 1
	if before >= self {
		before++
	}
	return []string{l.byRank[before].endpoint.Address, leader}
}

// serveMap hands a map on.
func (s *Sidecar) serveMap(w http.ResponseWriter, r *http.Request) {
	k, err := parseMapKey(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), mapTimeout)
	defer cancel()
	text, err := s.maps.get(ctx, k)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(text) // The other sidecar sees an answer that is cut.
}

// fetchMap reads the map that an order names from the first sidecar that has it.
func (s *Sidecar) fetchMap(ctx context.Context, k mapKey, from []string) (layout [][][]int, err error) {
	err = errors.New("no sidecar named that has the map")
	for _, engine := range from {
		var text []byte
		if text, err = s.readMapFrom(ctx, k, engine); err != nil {
			continue
		}
		if layout, err = unpackMap(text); err != nil {
			continue
		}
		s.maps.put(k, text)
		return layout, nil
	}
	return nil, err
}

func (s *Sidecar) readMapFrom(ctx context.Context, k mapKey, engine string) (text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, mapTimeout)
	defer cancel()
	return s.calls.raw(ctx, http.MethodGet, engine, pathMap+k.query(), nil)
}
