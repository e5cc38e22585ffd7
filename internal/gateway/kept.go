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
	// keptShare is the part of the process's memory that bodies and whole answers may
	// take together: as much again goes to sockets' buffers, and the rest is the process's
	// own.
	keptShare = 0.25
	// fallbackKept bounds them where no limit of memory is set.
	fallbackKept = 64 << 20
	// chunkedGuess is taken for a body that does not tell its length, before it is read.
	chunkedGuess = 64 << 10
	// keptStep is taken at least as more comes than was counted.
	keptStep = 64 << 10
	// CallerWriteTimeout is for how long a caller may leave what is sent to it unread. It is more
	// than the longest silence after which callers of streams leave themselves, and less
	// than an endpoint waits for its answer to be read.
	CallerWriteTimeout = 4 * time.Second
	// pieceBytes is how much of a whole answer a caller reads at least in that time.
	pieceBytes = 64 << 10
	// drainTime is how long an answer waits for the rest of a body that nobody wants: less
	// than it may then be left unread.
	drainTime = CallerWriteTimeout / 2
	// bodyMargin is how long after the time of its request a body may still come: callers
	// who are a little late are refused on a connection that they keep.
	bodyMargin = time.Second
)

// keptBytes counts what is kept in memory for callers who may be slow to send or to read.
type keptBytes struct {
	most  int64
	n     atomic.Int64
	gauge metrics.Gauge
}

func newKeptBytes(memory int64, reg metrics.Registry) *keptBytes {
	k := &keptBytes{most: fallbackKept, gauge: metrics.GetOrRegisterGauge("gateway.kept-bytes", reg)}
	if memory > 0 {
		k.most = int64(keptShare * float64(memory))
	}
	return k
}

// take counts so many bytes, if they do not make it too many.
func (k *keptBytes) take(n int64) bool {
	if k.n.Add(n) > k.most {
		k.n.Add(-n)
		return false
	}
	k.gauge.Update(k.n.Load())
	return true
}

// add counts bytes that are there already; less than none are given back.
func (k *keptBytes) add(n int64) { k.gauge.Update(k.n.Add(n)) }

// keepBody counts the body that the caller is about to send; it reports false when too
// much is kept already.
func (q *request) keepBody() bool {
	size := q.r.ContentLength
	if size < 0 {
		size = chunkedGuess
	}
	return q.reserve(size)
}

// reserve counts bytes that are about to be kept for the request; it reports false when too
// much is kept already.
func (q *request) reserve(n int64) bool {
	if !q.g.kept.take(n) {
		return false
	}
	q.keeps += n
	return true
}

// errTooMuch tells that there is no room for what comes.
var errTooMuch = errors.New("too many bytes are kept for callers")

// refuseUnkept refuses a request whose body there is no room for.
func (q *request) refuseUnkept() {
	q.closeAfter()
	q.refuse(errTooMuch.Error(), fullRetry)
}

// keeping is a body whose bytes are counted as kept for the request as they come.
type keeping struct {
	io.ReadCloser
	q     *request
	spare int64 // Counted already, and still to come.
}

// Read fails once too much is kept.
func (k *keeping) Read(p []byte) (int, error) {
	n, err := k.ReadCloser.Read(p)
	if k.spare -= int64(n); k.spare < 0 {
		more := keptStep - k.spare
		if !k.q.reserve(more) {
			return 0, errTooMuch
		}
		k.spare += more
	}
	return n, err
}

// keep counts bytes that are kept for the request until it ends.
func (q *request) keep(n int) {
	q.keeps += int64(n)
	q.g.kept.add(int64(n))
}

// letGo ends the counting of what was kept for the request.
func (q *request) letGo() {
	q.g.kept.add(-q.keeps)
	q.keeps = 0
}

// boundWrite bounds for how long the next write to the caller may be left unread.
func (p *reply) boundWrite() error {
	err := http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(CallerWriteTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil // It writes to no connection.
	}
	return err
}

// boundRead bounds until when a body that has not come to its end must come. It ends with
// the body: the server lifts it there, before it reads on to see whether the caller leaves.
func (p *reply) boundRead(until time.Time) error {
	if !p.bodyLeft {
		return nil
	}
	err := http.NewResponseController(p.w).SetReadDeadline(until)
	if errors.Is(err, http.ErrNotSupported) {
		return nil // It reads from no connection.
	}
	return err
}
