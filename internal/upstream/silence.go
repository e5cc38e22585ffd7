// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrSilent means that a SilenceWatch abandoned an answer. Its connection cannot be used any more.
var ErrSilent = errors.New("the answer was silent for too long")

// SilenceWatch limits how long an answer may be silent. Its functions are called during a read, by
// the goroutine that reads the answer. It ends with the first silence that is not abandoned: from
// then on only the request's deadline limits the answer.
type SilenceWatch struct {
	Timeout func() time.Duration            // Returns how long nothing may arrive from now on.
	Abandon func(silent time.Duration) bool // Reports whether to abandon the answer after such a silence.
}

// input reads from a connection. The watch is applied here, below all buffered readers, because
// only here it is known that nothing has arrived.
type input struct {
	nc            *net.TCPConn
	watch         *SilenceWatch // Nil if silence is not limited.
	deadline      time.Time     // Deadline of the request; valid while watch is set.
	closedUnacked atomic.Bool   // The connection was closed because nothing was acknowledged.
}

// closeUnacked closes the connection because its peer acknowledges nothing. Reads then return
// errUnacked.
func (in *input) closeUnacked() {
	in.closedUnacked.Store(true)
	_ = in.nc.Close() // Reads end even if it fails.
}

// Read implements io.Reader. With a watch, it sets the read deadline to the end of the tolerated
// silence, and restores the request's deadline afterwards. It reads without the watch if that end is
// not before the request's deadline. What has arrived by the end of the silence is read: this process
// may have got no chance to read it.
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
	if !until.Before(in.deadline) { // The request's deadline is already set.
		return in.nc.Read(p)
	}
	if err = in.nc.SetReadDeadline(until); err != nil {
		return 0, err
	}
	n, err = in.nc.Read(p)
	silent := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	late := silent && isReadable(in.nc)
	switch {
	case late:
	case silent && in.watch.Abandon(time.Since(began)):
		return 0, ErrSilent
	case silent:
		in.watch = nil
	}
	if resetErr := in.nc.SetReadDeadline(in.deadline); resetErr != nil {
		return n, errors.CombineErrors(err, resetErr)
	}
	if silent {
		return in.nc.Read(p)
	}
	return n, err
}

// isReadable reports whether bytes or the end of a connection have arrived and are not read yet.
func isReadable(nc *net.TCPConn) (readable bool) {
	err := withFD(nc, func(fd int) error {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		readable = n > 0
		return err
	})
	return err == nil && readable
}
