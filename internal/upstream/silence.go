// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSilent means that a watch gave an answer up. The connection is of no more use.
var ErrSilent = errors.New("the answer was silent for too long")

// SilenceWatch looks after the silence of an answer. Its functions are called by whoever reads
// the answer, within a read.
type SilenceWatch struct {
	Timeout func() time.Duration            // For how long nothing may come from now on.
	Abandon func(silent time.Duration) bool // Whether the answer is given up after so long; else it is waited for.
}

// input reads from a connection. A watch is kept here, below all that reads ahead, since
// only here it is known that nothing has come.
type input struct {
	nc       net.Conn
	watch    *SilenceWatch // Nil when nobody looks after silence.
	deadline time.Time
	unacked  atomic.Bool // It was ended since nothing is acknowledged.
}

// loseUnacked ends the connection since its peer acknowledges nothing.
func (in *input) loseUnacked() {
	in.unacked.Store(true)
	_ = in.nc.Close() // Reads end either way.
}

// Read implements io.Reader.
func (in *input) Read(p []byte) (n int, err error) {
	defer func() {
		if err != nil && in.unacked.Load() {
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
