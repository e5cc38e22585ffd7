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
// refuses connections: it has ended, where one that broke off an answer lives on.
func refusesConnections(base string) func(ctx context.Context) bool {
	return func(ctx context.Context) bool {
		u, err := url.Parse(base)
		if err != nil {
			return false // Settings are checked at the start; what cannot be asked has not ended.
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
		if err != nil {
			return errors.Is(err, unix.ECONNREFUSED)
		}
		_ = conn.Close() // Nothing was sent on it.
		return false
	}
}
