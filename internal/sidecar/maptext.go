// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// layout is an expert map as ranks are told it: by set and rank, the experts in
// ascending order.
type layout [][][]int

// size returns the sets and ranks of a layout.
func (m layout) size() (sets, ranks int) {
	if len(m) > 0 {
		ranks = len(m[0])
	}
	return len(m), ranks
}

// packMap writes a map as varints: its sets and ranks, then its rows, by set and
// rank.
func packMap(m layout) []byte {
	sets, ranks := m.size()
	raw := appendNumbers(nil, sets, ranks)
	for _, set := range m {
		for _, row := range set {
			raw = appendRow(raw, row)
		}
	}
	return raw
}

// packChange writes how a map differs from another one of the same size: its sets
// and ranks, then each row that differs, by the steps from one to the next.
func packChange(from, to layout) []byte {
	sets, ranks := to.size()
	raw := appendNumbers(nil, sets, ranks)
	last := 0
	for k, set := range to {
		for r, row := range set {
			if slices.Equal(row, from[k][r]) {
				continue
			}
			at := k*ranks + r
			raw = appendRow(appendNumbers(raw, at-last), row)
			last = at
		}
	}
	return raw
}

func appendNumbers(raw []byte, list ...int) []byte {
	for _, n := range list {
		raw = binary.AppendUvarint(raw, uint64(n))
	}
	return raw
}

// appendRow writes the number of experts of a row and the steps from one to the
// next.
func appendRow(raw []byte, row []int) []byte {
	raw = appendNumbers(raw, len(row))
	last := 0
	for _, x := range row {
		raw = appendNumbers(raw, x-last)
		last = x
	}
	return raw
}

// reader reads numbers that were written as varints. Its first fault stays.
type reader struct {
	raw []byte
	err error
}

func (d *reader) number() int {
	n, size := binary.Uvarint(d.raw)
	if size <= 0 || n > 1<<31 {
		d.fail(errors.New("map: not a number"))
		return 0
	}
	d.raw = d.raw[size:]
	return int(n)
}

func (d *reader) fail(err error) {
	if d.err == nil {
		d.raw, d.err = nil, err
	}
}

// row reads what appendRow wrote.
func (d *reader) row() []int {
	n := d.number()
	if n > len(d.raw) { // An expert takes a byte at least.
		d.fail(errors.New("map: too short"))
		return nil
	}
	row := make([]int, n)
	for i := range row {
		row[i] = d.number()
		if i > 0 {
			row[i] += row[i-1]
		}
	}
	return row
}

// unpackMap reads what packMap wrote.
func unpackMap(raw []byte) (m layout, err error) {
	d := reader{raw: raw}
	sets, ranks := d.number(), d.number()
	most := len(raw) // A row takes a byte at least.
	if sets > most || ranks > most || sets*ranks > most {
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

// unpackChange reads what packChange wrote and returns the map that it makes of
// another one, which stays as it is.
func unpackChange(from layout, raw []byte) (m layout, err error) {
	d := reader{raw: raw}
	sets, ranks := d.number(), d.number()
	if s, r := from.size(); s != sets || r != ranks {
		return nil, errors.CombineErrors(errors.Newf("map: a change of %d sets of %d ranks to one of %d and %d", sets, ranks, s, r), d.err)
	}
	m = make(layout, sets)
	for k := range m {
		m[k] = slices.Clone(from[k])
	}
	at := 0
	for len(d.raw) > 0 {
		at += d.number()
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

// fingerprint tells maps apart by what they hold.
func fingerprint(m layout) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(packMap(m)) // A hash takes everything.
	return h.Sum64()
}

// dealt returns the map of a group that has just opened: experts in turn over the
// ranks.
func dealt(sets, ranks, experts int) layout {
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

// shelfSize is how many maps a sidecar keeps: the one in force, the one that is
// prepared, and those of a change that came to nothing.
const shelfSize = 4

// shelf holds the newest maps that a sidecar was told, so that it can be told the
// next one by how it differs.
type shelf struct {
	mu   sync.Mutex
	keys []uint64 // Fingerprints, the oldest first. Invariant: at most shelfSize.
	maps []layout // By keys.
}

func (s *shelf) put(m layout) {
	key := fingerprint(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.keys, key); i >= 0 {
		s.keys, s.maps = slices.Delete(s.keys, i, i+1), slices.Delete(s.maps, i, i+1)
	}
	s.keys, s.maps = append(s.keys, key), append(s.maps, m)
	if n := len(s.keys) - shelfSize; n > 0 {
		s.keys, s.maps = slices.Delete(s.keys, 0, n), slices.Delete(s.maps, 0, n)
	}
}

// get returns the map with a fingerprint, nil when it is not there.
func (s *shelf) get(key uint64) layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.keys, key); i >= 0 {
		return s.maps[i]
	}
	return nil
}

// mapText is a map on its way to many ranks: whole, or as a change of one that they
// know.
type mapText struct {
	_       struct{} `cbor:",toarray"`
	Base    uint64   // Fingerprint of the map that Text changes; 0 where it is whole.
	Experts int      // Of a set: a base that was dealt out is known by it.
	Data    []byte
}

// errNoBase means that the map which a change is of is not known here.
var errNoBase = errors.New("the map that is changed is not known")

// read returns the map of a text and keeps it.
func (s *shelf) read(t mapText) (m layout, err error) {
	if t.Base == 0 {
		m, err = unpackMap(t.Data)
	} else {
		m, err = s.change(t)
	}
	if err != nil {
		return nil, err
	}
	s.put(m)
	return m, nil
}

func (s *shelf) change(t mapText) (m layout, err error) {
	base := s.get(t.Base)
	if base == nil {
		d := reader{raw: t.Data}
		sets, ranks := d.number(), d.number()
		if d.err != nil || ranks == 0 || t.Experts <= 0 || sets > maxMapRows/ranks || t.Experts > maxMapRows {
			return nil, errNoBase
		}
		if base = dealt(sets, ranks, t.Experts); fingerprint(base) != t.Base {
			return nil, errNoBase
		}
	}
	return unpackChange(base, t.Data)
}

// maxMapRows bounds the rows and the experts of a map that is made from what a
// message says: those of 2,600 ranks of 60 sets are within it.
const maxMapRows = 1 << 18
