// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Guards against streams that are ended to go on elsewhere, where nothing may take them any more.
func TestAStreamThatMayGoOnNowhereStays(t *testing.T) {
	t.Parallel()
	const silent = 2500 * time.Millisecond // Longer than a stream at another rank is waited for.
	elsewhere := fleet.Route{Name: "r", Host: "caller.test", PathPrefix: "/", Kind: fleet.Streaming, Resumable: true, Attempts: 2,
		Timeout: 30 * time.Second, Target: 20 * time.Second, Split: []fleet.Share{{Service: "other", Weight: 1}}}
	for name, routes := range map[string][]fleet.Route{"route moved": {elsewhere}, "route dropped": nil} {
		for _, slow := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", slow", false: ", silent"}[slow], func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				ranks := []*streamer{newStreamer(3), newStreamer(3)}
				s, view, snap := newSiteOf(t, func(r *fleet.Route) { r.Silence = time.Second }, ranks[0], ranks[1])
				view.Replace(snap, time.Now(), false)
				s.tell(0, 0, 1)
				s.tell(1, 0, 1)
				var caller errgroup.Group
				caller.Go(func() error {
					status, _, body, err := s.ask("one")
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(status).To(Equal(http.StatusOK))
					g.Expect(body).To(Equal(wholeStream()))
					return nil
				})
				at := haltedRank(g, ranks)
				next := snap
				next.Config, next.At = fleet.NewConfig(2, routes, []fleet.Service{*snap.Config.Service("s"), {Name: "other"}}, nil, snap.Config.Limits()), 2
				view.Replace(next, time.Now(), false)
				if slow {
					s.tell(at, 1, 12)
				} else {
					time.Sleep(silent)
				}
				close(ranks[at].going)
				g.Expect(caller.Wait()).To(Succeed())
				g.Expect(s.figures.moved.Count() + s.figures.silent.Count()).To(BeZero())
			})
		}
	}
}
