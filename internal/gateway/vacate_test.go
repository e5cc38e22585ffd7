// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
)

// Guards against the end of a connection that was handed back by the request that is moved.
func TestRequestsThatMoveAsTheyEndEndNoOthers(t *testing.T) {
	const callers, each = 20, 30
	g := NewWithT(t)
	ranks := []*streamer{newStreamer(0), newStreamer(0), newStreamer(0)}
	s := newSite(t, ranks[0], ranks[1], ranks[2])
	core, lines := observer.New(zap.WarnLevel)
	s.log, s.cfg.RetryShare = zap.New(core), 1
	over := make(chan struct{})
	var moving, asking errgroup.Group
	moving.Go(func() error {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-over:
				return nil
			case <-ticker.C:
				s.tell(i%len(ranks), 0, 1)
				s.vacate(fmt.Sprint(i % len(ranks)))
			}
		}
	})
	var whole atomic.Int64
	for i := range callers {
		asking.Go(func() error {
			for j := range each {
				status, _, body, err := s.ask(fmt.Sprint(i, "-", j))
				switch {
				case err != nil:
					return err
				case status == http.StatusOK && body != wholeStream():
					return errors.Newf("a stream that is not whole: %q", body)
				case status == http.StatusOK:
					whole.Add(1)
				}
			}
			return nil
		})
	}
	err := asking.Wait()
	close(over)
	g.Expect(moving.Wait()).To(Succeed())
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d of %d streams whole, %d moved", whole.Load(), callers*each, s.figures.moved.Count())
	g.Expect(s.figures.moved.Count()).To(BeNumerically(">", 0))
	g.Expect(whole.Load()).To(BeNumerically(">", callers*each/2))
	for _, e := range lines.FilterMessage("request").All() {
		if text := fmt.Sprint(e.ContextMap()["tries"]); strings.Contains(text, net.ErrClosed.Error()) {
			t.Errorf("sent on a connection that was closed here: %s", text)
		}
	}
}
