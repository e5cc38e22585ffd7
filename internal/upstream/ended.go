// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errReset means that a connection was reset, or ended by the kernel, although a read returned its end.
var errReset = errors.Wrap(unix.ECONNRESET, "the end of the connection is not an orderly one")

// CheckOrderlyEnd returns an error unless the peer has ended its side of the connection in an orderly
// way. It is for use after a read has returned io.EOF: a socket reports the error of a reset only once, and
// if a concurrent write has taken it, reads return io.EOF. An orderly end that is followed by a reset before
// it was checked does not count, because nothing distinguishes the two any more.
func CheckOrderlyEnd(nc *net.TCPConn) error {
	return withFD(nc, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		if info.State != unix.BPF_TCP_CLOSE_WAIT { // As long as this side has not ended the connection.
			return errReset
		}
		return nil
	})
}
