// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"net/http"
	"time"
)

// limitBodyTime ends the body of a request that takes too long, also if the handler does not read
// it: the server reads some of it before it answers. The server clears the deadline at the end of
// the body.
func limitBodyTime(h http.Handler, limit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit)) // Fails only if the connection is closed, which needs no limit.
		}
		h.ServeHTTP(w, r)
	})
}
