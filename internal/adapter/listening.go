// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package adapter

import (
	"context"
	"net"
	"net/url"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// refusesConnections returns a function that reports whether the process at the base URL
// refuses connections, which means that it has ended. A process that only aborted an answer
// still accepts them.
func refusesConnections(base string) func(ctx context.Context) bool {
	return func(ctx context.Context) bool {
		u, err := url.Parse(base)
		if err != nil {
			return false // Settings are validated at start; a process whose URL is invalid is not taken as ended.
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
		if err != nil {
			return errors.Is(err, unix.ECONNREFUSED)
		}
		_ = conn.Close() // Nothing was sent on the connection.
		return false
	}
}
