// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// bufferedShare is the portion of the process's memory that buffered bodies and answers may
	// take together. Socket buffers take as much again, and the rest is for the process itself.
	bufferedShare = 0.25
	// defaultBufferedLimit limits them if no memory limit is set.
	defaultBufferedLimit = 64 << 20
	// unknownLengthReserve is reserved for a body of unknown length before it is read.
	unknownLengthReserve = 64 << 10
	// reserveStep is the least number of bytes reserved when a body exceeds its reservation.
	reserveStep = 64 << 10
	// usualHeadBytes is the size of an answer's head up to which its memory isn't counted.
	usualHeadBytes = 4 << 10
	// headMemoryFactor is the memory of a parsed head per byte, for short lines.
	headMemoryFactor = 8
	// CallerWriteTimeout is how long a caller may leave sent data unread. It is more than the
	// longest silence after which callers of streams leave by themselves, and less than an endpoint
	// waits for its answer to be read.
	CallerWriteTimeout = 4 * time.Second
	// writeChunkBytes is how much of a complete answer a caller must read within that time.
	writeChunkBytes = 64 << 10
	// bodyDrainTimeout is how long an answer waits for the rest of a body that is not needed. It is
	// less than CallerWriteTimeout, for which the answer may then be left unread.
	bodyDrainTimeout = CallerWriteTimeout / 2
	// bodyGrace is how long after the request's deadline a body is still read, so that callers who
	// are a little late are refused on a connection that stays open.
	bodyGrace = time.Second
)

// bufferedBytes counts the bytes in memory for callers, who may be slow to send or to read.
type bufferedBytes struct {
	limit int64
	n     atomic.Int64
	gauge metrics.Gauge
}

func newBufferedBytes(memory int64, reg metrics.Registry) *bufferedBytes {
	k := &bufferedBytes{limit: defaultBufferedLimit, gauge: metrics.GetOrRegisterGauge("gateway.kept-bytes", reg)}
	if memory > 0 {
		k.limit = int64(bufferedShare * float64(memory))
	}
	return k
}

// tryReserve adds n bytes unless that would exceed the limit.
func (k *bufferedBytes) tryReserve(n int64) bool {
	if k.n.Add(n) > k.limit {
		k.n.Add(-n)
		return false
	}
	k.gauge.Update(k.n.Load())
	return true
}

// add counts bytes that are buffered already; a negative n releases bytes.
func (k *bufferedBytes) add(n int64) { k.gauge.Update(k.n.Add(n)) }

// reserveBody reserves memory for the body that the caller is about to send. It returns false if
// the limit would be exceeded.
func (q *request) reserveBody() bool {
	size := q.r.ContentLength
	if size < 0 {
		size = unknownLengthReserve
	}
	return q.reserve(size)
}

// reserve reserves memory for the request. It returns false if the limit would be exceeded.
func (q *request) reserve(n int64) bool {
	if !q.g.bufferedTotal.tryReserve(n) {
		return false
	}
	q.buffered += n
	return true
}

// reserveAnswer reserves memory for a part of an answer; a negative n releases it. It returns
// errBufferFull if the limit would be exceeded.
func (q *request) reserveAnswer(n int) error {
	if n < 0 {
		q.addBuffered(n)
		return nil
	}
	if !q.reserve(int64(n)) {
		return errBufferFull
	}
	return nil
}

// reserveHead reserves memory for the parsed head of an answer of n bytes. Usual heads count as part of
// the request. It returns false if the limit would be exceeded.
func (q *request) reserveHead(n int) bool {
	return n <= usualHeadBytes || q.reserve(headMemoryFactor*int64(n))
}

// errBufferFull means that the limit of buffered bytes leaves no memory for a body.
var errBufferFull = errors.New("too many bytes are buffered for callers")

// refuseBufferFull refuses a request whose body exceeds the limit of buffered bytes.
func (q *request) refuseBufferFull() {
	q.closeAfterAnswer()
	q.refuse(errBufferFull.Error(), fullRetry)
}

// countedBody is a body whose bytes are counted as buffered for the request as they are read.
type countedBody struct {
	io.ReadCloser
	q        *request
	reserved int64 // Bytes that are counted as buffered already, and not read yet.
}

// Read fails once the limit of buffered bytes is exceeded.
func (k *countedBody) Read(p []byte) (int, error) {
	n, err := k.ReadCloser.Read(p)
	if k.reserved -= int64(n); k.reserved < 0 {
		more := reserveStep - k.reserved
		if !k.q.reserve(more) {
			return 0, errBufferFull
		}
		k.reserved += more
	}
	return n, err
}

// addBuffered counts bytes that stay buffered until the request ends, even beyond the limit. A
// negative n releases bytes.
func (q *request) addBuffered(n int) {
	q.buffered += int64(n)
	q.g.bufferedTotal.add(int64(n))
}

// releaseBuffered releases all bytes counted for the request.
func (q *request) releaseBuffered() {
	q.g.bufferedTotal.add(-q.buffered)
	q.buffered = 0
}

// setWriteDeadline limits how long the next write to the caller may stay unread.
func (p *reply) setWriteDeadline() error {
	err := http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(CallerWriteTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil // The writer has no connection.
	}
	return err
}

// setReadDeadline sets the time by which a body must have been read to its end. It does nothing if
// there is no body, or if it has been read already. When the body ends, the server removes the
// deadline before it reads on to detect whether the caller leaves.
func (p *reply) setReadDeadline(until time.Time) error {
	if !p.bodyPending {
		return nil
	}
	err := http.NewResponseController(p.w).SetReadDeadline(until)
	if errors.Is(err, http.ErrNotSupported) {
		return nil // The reader has no connection.
	}
	return err
}
