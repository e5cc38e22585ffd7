// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

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
