// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// layout is an expert map in the form in which it is sent to ranks: the experts by set and rank, in
// ascending order.
type layout [][][]int

// size returns the number of sets and ranks of a layout.
func (m layout) size() (sets, ranks int) {
	if len(m) > 0 {
		ranks = len(m[0])
	}
	return len(m), ranks
}

// encodeMap encodes a map as varints: the number of sets and ranks, then the rows by set and rank.
func encodeMap(m layout) []byte {
	sets, ranks := m.size()
	raw := appendUvarints(nil, sets, ranks)
	for _, set := range m {
		for _, row := range set {
			raw = appendRow(raw, row)
		}
	}
	return raw
}

// encodeDelta encodes how a map differs from another one of the same size: the number of sets and
// ranks, then each row that differs, preceded by the distance from the previous such row.
func encodeDelta(from, to layout) []byte {
	sets, ranks := to.size()
	raw := appendUvarints(nil, sets, ranks)
	last := 0
	for k, set := range to {
		for r, row := range set {
			if slices.Equal(row, from[k][r]) {
				continue
			}
			at := k*ranks + r
			raw = appendRow(appendUvarints(raw, at-last), row)
			last = at
		}
	}
	return raw
}

func appendUvarints(raw []byte, list ...int) []byte {
	for _, n := range list {
		raw = binary.AppendUvarint(raw, uint64(n))
	}
	return raw
}

// appendRow appends the number of experts of a row and the differences between successive experts.
func appendRow(raw []byte, row []int) []byte {
	raw = appendUvarints(raw, len(row))
	last := 0
	for _, x := range row {
		raw = appendUvarints(raw, x-last)
		last = x
	}
	return raw
}

// varintReader reads varints and keeps the first error.
type varintReader struct {
	raw []byte
	err error
}

// next reads one number; 0 after an error.
func (d *varintReader) next() int {
	n, size := binary.Uvarint(d.raw)
	if size <= 0 || n > 1<<31 {
		d.fail(errors.New("map: not a number"))
		return 0
	}
	d.raw = d.raw[size:]
	return int(n)
}

// fail records the first error and drops the rest of the input.
func (d *varintReader) fail(err error) {
	if d.err == nil {
		d.raw, d.err = nil, err
	}
}

// row reads what appendRow wrote.
func (d *varintReader) row() []int {
	n := d.next()
	if n > len(d.raw) { // An expert takes at least one byte.
		d.fail(errors.New("map: too short"))
		return nil
	}
	row := make([]int, n)
	for i := range row {
		row[i] = d.next()
		if i > 0 {
			row[i] += row[i-1]
		}
	}
	return row
}

// decodeMap decodes what encodeMap wrote.
func decodeMap(raw []byte) (m layout, err error) {
	d := varintReader{raw: raw}
	sets, ranks := d.next(), d.next()
	maxRows := len(raw) // A row takes at least one byte.
	if sets > maxRows || ranks > maxRows || sets*ranks > maxRows {
		return nil, errors.Newf("map: %d sets of %d ranks in %d bytes", sets, ranks, len(raw))
	}
	m = make(layout, sets)
	for k := range m {
		m[k] = make([][]int, ranks)
		for r := range m[k] {
			m[k][r] = d.row()
		}
	}
	if d.err == nil && len(d.raw) > 0 {
		d.fail(errors.Newf("map: %d bytes too many", len(d.raw)))
	}
	return m, d.err
}

// decodeDelta decodes what encodeDelta wrote and returns the map that results from applying it to
// from, which is not modified.
func decodeDelta(from layout, raw []byte) (m layout, err error) {
	d := varintReader{raw: raw}
	sets, ranks := d.next(), d.next()
	if s, r := from.size(); s != sets || r != ranks {
		return nil, errors.CombineErrors(errors.Newf("map: a change of %d sets of %d ranks to one of %d and %d", sets, ranks, s, r), d.err)
	}
	m = make(layout, sets)
	for k := range m {
		m[k] = slices.Clone(from[k])
	}
	at := 0
	for len(d.raw) > 0 {
		at += d.next()
		row := d.row()
		if d.err == nil && at >= sets*ranks {
			d.fail(errors.Newf("map: row %d of %d", at, sets*ranks))
		}
		if d.err == nil {
			m[at/ranks][at%ranks] = row
		}
	}
	return m, d.err
}

// fingerprint returns a hash that identifies a map by its content.
func fingerprint(m layout) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(encodeMap(m)) // A hash's Write never returns an error.
	return h.Sum64()
}

// roundRobinLayout returns the map of a group that has just opened: experts are assigned to ranks
// in turn.
func roundRobinLayout(sets, ranks, experts int) layout {
	m := make(layout, sets)
	for k := range m {
		m[k] = make([][]int, ranks)
		for r := range m[k] {
			m[k][r] = []int{}
		}
		for x := range experts {
			m[k][x%ranks] = append(m[k][x%ranks], x)
		}
	}
	return m
}

// mapCacheSize is how many maps a sidecar keeps: the one in force, the prepared one, and those of a
// change that failed.
const mapCacheSize = 4

// mapCache holds the newest maps that a sidecar received, so that the next one can be sent to it as
// a delta.
type mapCache struct {
	mu   sync.Mutex
	keys []uint64 // Fingerprints, oldest first. Invariant: at most mapCacheSize.
	maps []layout // In the order of keys.
}

// put makes m the newest cached map and drops the oldest if there are too many.
func (s *mapCache) put(m layout) {
	key := fingerprint(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.keys, key); i >= 0 {
		s.keys, s.maps = slices.Delete(s.keys, i, i+1), slices.Delete(s.maps, i, i+1)
	}
	s.keys, s.maps = append(s.keys, key), append(s.maps, m)
	if n := len(s.keys) - mapCacheSize; n > 0 {
		s.keys, s.maps = slices.Delete(s.keys, 0, n), slices.Delete(s.maps, 0, n)
	}
}

// get returns the map with the given fingerprint, or nil if it is not cached.
func (s *mapCache) get(key uint64) layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.keys, key); i >= 0 {
		return s.maps[i]
	}
	return nil
}

// encodedMap is a map as it is sent to many ranks: in full, or as a delta to a map that they know.
type encodedMap struct {
	_       struct{} `cbor:",toarray"`
	Base    uint64   // Fingerprint of the map that Data is a delta to; 0 if Data is a full map.
	Experts int      // Per set. Used to recognize a round-robin base.
	Data    []byte
}

// errUnknownBase means that this sidecar does not have the map that a delta is based on.
var errUnknownBase = errors.New("the map that is changed is not known")

// decode decodes a full map or a delta, and adds the resulting map to the cache.
func (s *mapCache) decode(t encodedMap) (m layout, err error) {
	if t.Base == 0 {
		m, err = decodeMap(t.Data)
	} else {
		m, err = s.applyDelta(t)
	}
	if err != nil {
		return nil, err
	}
	s.put(m)
	return m, nil
}

// applyDelta decodes a delta. Its base is a cached map or the round-robin layout; otherwise the error
// is errUnknownBase.
func (s *mapCache) applyDelta(t encodedMap) (m layout, err error) {
	base := s.get(t.Base)
	if base == nil {
		d := varintReader{raw: t.Data}
		sets, ranks := d.next(), d.next()
		if d.err != nil || ranks == 0 || t.Experts <= 0 || sets > maxDecodedRows/ranks || t.Experts > maxDecodedRows {
			return nil, errUnknownBase
		}
		if base = roundRobinLayout(sets, ranks, t.Experts); fingerprint(base) != t.Base {
			return nil, errUnknownBase
		}
	}
	return decodeDelta(base, t.Data)
}

// maxDecodedRows bounds the rows and the experts of a round-robin base, whose size is taken from
// the message. It admits 60 sets of 2,600 ranks.
const maxDecodedRows = 1 << 18
