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

// countsBlockSize is how many counts share one scale. The counts of a set of experts are of similar
// size, and a set has a few hundred experts.
const countsBlockSize = 256

// encodeCounts encodes counts in at most one byte each: for each block, the scale as a varint and
// the scaled counts, all Huffman-coded. If the largest count of a block is at most 255, its counts
// are exact. Otherwise all counts of the block are rounded to 1/255 of the largest, which is less
// than their random variation from pass to pass. The sum of many ranks' counts thus takes no more
// bandwidth than the counts of one rank.
func encodeCounts(flat []uint64) ([]byte, error) {
	raw := make([]byte, 0, len(flat)+2*(len(flat)/countsBlockSize+1))
	for block := range slices.Chunk(flat, countsBlockSize) {
		scale := max((slices.Max(block)+254)/255, 1)
		raw = binary.AppendUvarint(raw, scale)
		for _, n := range block {
			raw = append(raw, byte((n+scale/2)/scale))
		}
	}
	return deflate(raw)
}

// deflaters pools compressors, since each holds tables of some kilobytes.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.HuffmanOnly)
	return &deflater{w, err}
}}

// deflater is a compressor, or the error of its creation.
type deflater struct {
	*flate.Writer
	err error
}

func deflate(raw []byte) (packed []byte, err error) {
	w := deflaters.Get().(*deflater)
	defer deflaters.Put(w)
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

// decodeCounts decodes what encodeCounts wrote.
func decodeCounts(packed []byte) (flat []uint64, err error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPeerResponse))
	if err != nil {
		return nil, errors.Wrap(err, "counts")
	}
	flat = make([]uint64, 0, len(raw))
	for len(raw) > 0 {
		scale, size := binary.Uvarint(raw)
		if size <= 0 || scale == 0 || len(raw) == size {
			return nil, errors.Newf("counts: no valid block in %d bytes", len(raw))
		}
		raw = raw[size:]
		n := min(countsBlockSize, len(raw))
		for _, b := range raw[:n] {
			flat = append(flat, uint64(b)*scale)
		}
		raw = raw[n:]
	}
	return flat, nil
}

// addCounts returns the encoded sum of two encoded lists of counts.
func addCounts(a, b []byte) (sum []byte, err error) {
	total, err := decodeCounts(a)
	if err != nil {
		return nil, err
	}
	addend, err := decodeCounts(b)
	if err != nil {
		return nil, err
	}
	if len(total) != len(addend) {
		return nil, errors.Newf("counts: cannot add lists of %d and %d numbers", len(total), len(addend))
	}
	for i, n := range addend {
		total[i] += n
	}
	return encodeCounts(total)
}
