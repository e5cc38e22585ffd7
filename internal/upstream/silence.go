// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSilent means that a SilenceWatch abandoned an answer. Its connection cannot be used any more.
var ErrSilent = errors.New("the answer was silent for too long")

// SilenceWatch limits how long an answer may be silent. Its functions are called during a read, by
// the goroutine that reads the answer.
type SilenceWatch struct {
	Timeout func() time.Duration            // Returns how long nothing may arrive from now on.
	Abandon func(silent time.Duration) bool // Reports whether to abandon the answer; otherwise it is awaited.
}

// input reads from a connection. The watch is applied here, below all buffered readers, because
// only here it is known that nothing has arrived.
type input struct {
	nc            net.Conn
	watch         *SilenceWatch // Nil if silence is not limited.
	deadline      time.Time
	closedUnacked atomic.Bool // It was closed because nothing was acknowledged.
}

// closeUnacked closes the connection because its peer acknowledges nothing.
func (in *input) closeUnacked() {
	in.closedUnacked.Store(true)
	_ = in.nc.Close() // Reads end even if it fails.
}

// Read implements io.Reader.
func (in *input) Read(p []byte) (n int, err error) {
	defer func() {
		if err != nil && in.closedUnacked.Load() {
			err = errUnacked
		}
	}()
	if in.watch == nil {
		return in.nc.Read(p)
	}
	began := time.Now()
	until := began.Add(in.watch.Timeout())
	if !until.Before(in.deadline) {
		return in.nc.Read(p)
	}
	if err = in.nc.SetReadDeadline(until); err != nil {
		return 0, err
	}
	n, err = in.nc.Read(p)
	if silent := n == 0 && errors.Is(err, os.ErrDeadlineExceeded); silent && in.watch.Abandon(time.Since(began)) {
		return 0, ErrSilent
	} else if silent {
		in.watch, n, err = nil, 0, nil
	}
	if again := in.nc.SetReadDeadline(in.deadline); again != nil {
		return n, errors.CombineErrors(err, again)
	}
	if in.watch == nil {
		return in.nc.Read(p)
	}
	return n, err
}
