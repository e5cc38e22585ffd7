// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Guards against a bound of time on a whole answer, however long it is.
func TestACallerWhoReadsSlowlyGetsItsWholeAnswer(t *testing.T) {
	t.Parallel()
	const pieces = 16
	g := NewWithT(t)
	s, view, snap := newSiteOf(t, func(r *fleet.Route) { r.Kind = fleet.Repeatable }, http.HandlerFunc(large))
	view.Replace(snap, time.Now(), false)
	r, err := http.NewRequest(http.MethodPost, s.url+"/", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "caller.test"
	r.Header.Set(headerID, "one")
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(resp.Body.Close()).To(Succeed()) }()
	var got int64
	for err == nil {
		time.Sleep(2 * UnreadTime / pieces)
		var n int64
		n, err = io.CopyN(io.Discard, resp.Body, maxAnswer/pieces)
		got += n
	}
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(got).To(BeEquivalentTo(maxAnswer - 1))
}
