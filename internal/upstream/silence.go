// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"io"
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
// the goroutine that reads the answer. Unless Repeat is set, it ends with the first silence that is not
// abandoned: from then on only the request's deadline limits the answer.
type SilenceWatch struct {
	Timeout func() time.Duration            // Returns how long nothing may arrive from now on.
	Abandon func(silent time.Duration) bool // Reports whether to abandon the answer after such a silence.
	Repeat  bool                            // It goes on after a silence that is not abandoned.
}

// input reads from a connection. The watch is applied here, below all buffered readers, because
// only here it is known that nothing has arrived.
type input struct {
	nc            *net.TCPConn
	watch         *SilenceWatch // Nil if silence is not limited.
	deadline      time.Time     // Deadline of the request; valid while watch is set.
	abandoned     bool          // ErrSilent was returned, which parsers may drop before they read again.
	closedUnacked atomic.Bool   // The connection was closed because nothing was acknowledged.
	interrupted   atomic.Bool   // Set by interrupt.
	head          headMeter     // Used by the goroutine that reads.
	arrived       atomic.Int64  // Bytes that had arrived when the answer was interrupted and are not read yet.
}

// closeUnacked closes the connection because its peer acknowledges nothing. Reads then return
// errUnacked.
func (in *input) closeUnacked() {
	in.closedUnacked.Store(true)
	_ = in.nc.Close() // Reads end even if it fails.
}

// errInterrupted means that Conn.Interrupt ended the answer. Its connection cannot be used any more.
var errInterrupted = errors.New("the answer was interrupted")

// expired is a read deadline that is over.
var expired = time.Unix(1, 0)

// interrupt ends the answer after the bytes that have arrived. It does not wait for them to be read.
func (in *input) interrupt() {
	_ = withFD(in.nc, func(fd int) error { // Nothing is read from a closed connection.
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		in.arrived.Store(int64(n))
		return err
	})
	in.interrupted.Store(true)
	_ = in.nc.SetReadDeadline(expired) // As above. Ends a read in progress.
}

// setReadDeadline sets the read deadline unless the answer is interrupted: then it stays expired.
func (in *input) setReadDeadline(t time.Time) error {
	err := in.nc.SetReadDeadline(t)
	if in.interrupted.Load() {
		err = in.nc.SetReadDeadline(expired)
	}
	return err
}

// readArrived reads what had arrived when the answer was interrupted, and then returns
// errInterrupted.
func (in *input) readArrived(p []byte) (n int, err error) {
	for {
		left := in.arrived.Load()
		if left <= 0 || !isReadable(in.nc) {
			return 0, errInterrupted
		}
		if err = in.nc.SetReadDeadline(time.Time{}); err != nil { // The read does not wait.
			return 0, err
		}
		n, err = in.nc.Read(p[:min(int64(len(p)), left)])
		in.arrived.Add(-int64(n))
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) { // Otherwise interrupt set its deadline in between.
			return n, err
		}
	}
}

// Read implements io.Reader. Once the answer is interrupted, it returns only what had arrived by then. It
// returns io.EOF only for an orderly end of the connection.
func (in *input) Read(p []byte) (n int, err error) {
	if err = in.head.check(); err != nil {
		return 0, err
	}
	if in.abandoned {
		return 0, ErrSilent
	}
	defer func() {
		in.abandoned = errors.Is(err, ErrSilent)
		in.head.add(p[:n], err)
		if err != nil && in.closedUnacked.Load() {
			err = errUnacked
		}
	}()
	if !in.interrupted.Load() {
		n, err = in.readWatched(p)
	}
	if n == 0 && in.interrupted.Load() && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		n, err = in.readArrived(p)
	}
	if errors.Is(err, io.EOF) {
		if endErr := CheckOrderlyEnd(in.nc); endErr != nil {
			err = endErr
		}
	}
	return n, err
}

// readWatched reads. With a watch, it sets the read deadline to the end of the tolerated
// silence, and restores the request's deadline afterwards. It reads without the watch if that end is
// not before the request's deadline. What has arrived by the end of the silence is read: this process
// may have got no chance to read it.
func (in *input) readWatched(p []byte) (n int, err error) {
	if in.watch == nil {
		return in.nc.Read(p)
	}
	began := time.Now()
	for {
		n, again, err := in.readUntilSilent(p, began)
		if !again {
			return n, err
		}
	}
}

// readUntilSilent reads with the watch once. Again is true after a silence that a repeated watch did not
// abandon.
func (in *input) readUntilSilent(p []byte, began time.Time) (n int, again bool, err error) {
	until := time.Now().Add(in.watch.Timeout())
	if !until.Before(in.deadline) { // The request's deadline is already set.
		n, err = in.nc.Read(p)
		return n, false, err
	}
	if err = in.setReadDeadline(until); err != nil {
		return 0, false, err
	}
	n, err = in.nc.Read(p)
	silent := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if silent && in.interrupted.Load() {
		return 0, false, err
	}
	late := silent && isReadable(in.nc)
	switch {
	case late:
	case silent && in.watch.Abandon(time.Since(began)):
		return 0, false, ErrSilent
	case silent && in.watch.Repeat:
		again = true
	case silent:
		in.watch = nil
	}
	if resetErr := in.setReadDeadline(in.deadline); resetErr != nil {
		return n, false, errors.CombineErrors(err, resetErr)
	}
	if silent && !again {
		n, err = in.nc.Read(p)
	}
	return n, again, err
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
