// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/follow"
)

// Guards against half of a neighbour's word where its connections end as it is asked.
func TestANeighbourWhoseConnectionsEndIsHeardWholeOrNotAtAll(t *testing.T) {
	const callers, each = 200, 4
	g := NewWithT(t)
	reader, listener := newStation(t, 8), newStation(t, 9)
	reader.view.Replace(follow.Snapshot{Config: configOf(1 << 12), At: 6}, time.Now(), false)
	h := reader.Handler()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rand.IntN(20) == 0 {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
		if rand.IntN(20) == 0 {
			panic(http.ErrAbortHandler) // Perhaps in the middle of the answer.
		}
	}))
	srv.Config.IdleTimeout = time.Millisecond
	srv.Start()
	t.Cleanup(srv.Close)
	var silent atomic.Int64
	var asking errgroup.Group
	for range callers {
		asking.Go(func() error {
			for range each {
				time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
				p, err := listener.call(context.Background(), strings.TrimPrefix(srv.URL, "http://"), "")
				switch {
				case err != nil:
					silent.Add(1)
				case p.Life != reader.life || p.Version != 1<<12 || len(p.Config) != 1<<12:
					return errors.Newf("life %d, version %d, %d bytes", p.Life, p.Version, len(p.Config))
				}
			}
			return nil
		})
	}
	g.Expect(asking.Wait()).To(Succeed())
	t.Logf("%d of %d calls without an answer", silent.Load(), callers*each)
	g.Expect(silent.Load()).To(BeNumerically("<", callers*each/2))
}
