// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Limits of the head of an answer. A head of many short lines takes far more memory than its bytes, so
// that lines are limited, too.
const (
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
)

// ErrTooLong means that an answer exceeds a limit. Its connection cannot be used any more.
var ErrTooLong = errors.New("the answer is too long")

// headMeter counts what is read from a connection until a head is complete. It is applied below all
// buffers, since a line without an end would fill them first.
type headMeter struct {
	active bool
	bytes  int
	lines  int
	ended  bool // A read failed, so that the head is cut.
}

// check returns ErrTooLong if the head is still incomplete after the most that it may have.
func (m *headMeter) check() error {
	switch {
	case !m.active:
	case m.bytes >= maxHeadBytes:
		return errors.Wrapf(ErrTooLong, "head of more than %d bytes", maxHeadBytes)
	case m.lines >= maxHeadLines:
		return errors.Wrapf(ErrTooLong, "head of more than %d lines", maxHeadLines)
	}
	return nil
}

// checkLines returns ErrTooLong for a complete head with more lines than it may have.
func checkLines(h http.Header) error {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	if n > maxHeadLines {
		return errors.Wrapf(ErrTooLong, "head of %d lines, at most %d are allowed", n, maxHeadLines)
	}
	return nil
}

// add counts bytes that were read, together with an error.
func (m *headMeter) add(p []byte, err error) {
	if m.active {
		m.bytes += len(p)
		m.lines += bytes.Count(p, []byte{'\n'})
		m.ended = m.ended || err != nil
	}
}

// Sizes of the pieces in which a body is read: they grow with what has arrived, so that a body takes
// little more memory than it is long, and none for a length that is only announced.
const (
	minPieceBytes = 8 << 10
	maxPieceBytes = 256 << 10
	// maxAnnouncedBytes is the length up to which a body is read in one piece if its length is announced.
	maxAnnouncedBytes = 64 << 10
)

// ReadWhole reads a body to its end and returns it in pieces without unused memory. It calls reserve with
// the number of bytes before it allocates memory, and returns the error of reserve. It returns ErrTooLong
// for a body of more than limit bytes.
func (x *Exchange) ReadWhole(limit int64, reserve func(n int) error) (body [][]byte, err error) {
	defer func() { err = errors.Wrap(err, "answer's body") }()
	if x.resp.Body == http.NoBody {
		return nil, nil
	}
	if x.resp.ContentLength > limit {
		return nil, errors.Wrapf(ErrTooLong, "%d of at most %d bytes are announced", x.resp.ContentLength, limit)
	}
	left, size := limit, minPieceBytes
	announced := x.resp.ContentLength // Negative if it isn't.
	if announced >= 0 {
		left, size = announced, maxAnnouncedBytes
	}
	for {
		if announced >= 0 {
			size = min(size, int(left))
		}
		if err = reserve(size); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		n, err := readFull(x.resp.Body, piece)
		if left -= int64(n); left < 0 {
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
		}
		if n < len(piece) {
			piece = bytes.Clone(piece[:n]) // The body takes no more memory than it is long.
		}
		if n > 0 {
			body = append(body, piece)
		}
		if errors.Is(err, io.EOF) || err == nil && announced >= 0 && left == 0 {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		size = min(max(2*size, minPieceBytes), maxPieceBytes)
	}
}

// readFull reads until p is full or an error occurs, which may be io.EOF.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	return n, err
}
