// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// countsBlock is how many counts are written to one scale. Counts of one set of
// experts lie near each other, and a set has a few hundred.
const countsBlock = 256

// packCounts writes counts in a byte each at most: by blocks, a scale as a varint and
// the counts in it, all in a Huffman code. Counts up to 255 are written as they are;
// above, the most chosen expert of a block is told to one part in 255 and the others
// as exactly, which is less than they change by chance from pass to pass. Sums of
// many ranks so take no more of a link than the counts of one.
func packCounts(flat []uint64) ([]byte, error) {
	raw := make([]byte, 0, len(flat)+2*(len(flat)/countsBlock+1))
	for block := range slices.Chunk(flat, countsBlock) {
		scale := max((slices.Max(block)+254)/255, 1)
		raw = binary.AppendUvarint(raw, scale)
		for _, n := range block {
			raw = append(raw, byte((n+scale/2)/scale))
		}
	}
	return deflate(raw)
}

// writers are used again, since each holds tables of some kilobytes.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.HuffmanOnly)
	return &writer{w, err}
}}

// writer is a compressor, or why there is none.
type writer struct {
	*flate.Writer
	err error
}

func deflate(raw []byte) (packed []byte, err error) {
	w := writers.Get().(*writer)
	defer writers.Put(w)
	if w.err != nil {
		return nil, w.err
	}
	var b bytes.Buffer
	w.Reset(&b)
	if _, err = w.Write(raw); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// unpackCounts reads what packCounts wrote.
func unpackCounts(packed []byte) (flat []uint64, err error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPeerAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "counts")
	}
	flat = make([]uint64, 0, len(raw))
	for len(raw) > 0 {
		scale, size := binary.Uvarint(raw)
		if size <= 0 || scale == 0 || len(raw) == size {
			return nil, errors.Newf("counts: no block of them in %d bytes", len(raw))
		}
		raw = raw[size:]
		n := min(countsBlock, len(raw))
		for _, b := range raw[:n] {
			flat = append(flat, uint64(b)*scale)
		}
		raw = raw[n:]
	}
	return flat, nil
}

// addCounts adds two lists that packCounts wrote.
func addCounts(a, b []byte) (sum []byte, err error) {
	left, err := unpackCounts(a)
	if err != nil {
		return nil, err
	}
	right, err := unpackCounts(b)
	if err != nil {
		return nil, err
	}
	if len(left) != len(right) {
		return nil, errors.Newf("counts: %d and %d numbers", len(left), len(right))
	}
	for i, n := range right {
		left[i] += n
	}
	return packCounts(left)
}
