// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"net/http"
	"time"
)

// boundBody ends the body of a request that takes too long, also of one that is not read by
// its handler: the server reads some of it before it answers. The server lifts the bound at
// the end of the body.
func boundBody(h http.Handler, most time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(most)) // One that is closed already needs no bound.
		}
		h.ServeHTTP(w, r)
	})
}
