// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// sidecars answers for many sidecars, at one port of their addresses, and counts the orders
// that each has taken.
type sidecars struct {
	client *peerClient
	mu     sync.Mutex
	taken  map[uint64]int // By version.
}

// newSidecars returns sidecars and a client of them, whose times of idle connections are both
// shortened by a factor. Before each call the function may break its connection off.
func newSidecars(t *testing.T, factor time.Duration, breaksOff func() bool) *sidecars {
	g := NewWithT(t)
	s := &sidecars{taken: map[uint64]int{}}
	l, err := net.Listen("tcp4", "0.0.0.0:0") // All loopback addresses.
	g.Expect(err).NotTo(HaveOccurred())
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if breaksOff() {
			panic(http.ErrAbortHandler)
		}
		var o orderCall
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.taken[o.Version]++
		s.mu.Unlock()
		httpjson.Reply(w, answer{Result: rank.Done})
		if breaksOff() {
			panic(http.ErrAbortHandler) // Perhaps after the answer.
		}
	}))
	g.Expect(srv.Listener.Close()).To(Succeed())
	srv.Listener = l
	srv.Config.IdleTimeout = peers.ServerIdleTimeout / factor
	srv.Start()
	t.Cleanup(srv.Close)
	client, cleanup := newPeerClient(Config{PeersPort: l.Addr().(*net.TCPAddr).Port})
	t.Cleanup(cleanup)
	transport := client.client.Transport.(*http.Transport)
	transport.IdleConnTimeout /= factor
	transport.DialContext = (&net.Dialer{}).DialContext // However busy the machine is.
	s.client = client
	return s
}

const sidecarsAsked = 200

// order gives the order of a number to one of the sidecars.
func (s *sidecars) order(number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	engine := fmt.Sprintf("127.0.1.%d:9", 1+number%sidecarsAsked)
	a, err := s.client.order(ctx, engine, orderCall{Order: rank.Order{Op: rank.Arm, Version: uint64(number)}, Engine: engine})
	if err == nil && a.Result != rank.Done {
		return errors.Newf("order %d: %s", number, a.Result)
	}
	return err
}

// times returns how often an order was taken.
func (s *sidecars) times(number int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken[uint64(number)]
}

// Guards against orders that meet the end of a connection that has rested.
func TestNoOrderMeetsTheEndOfAnIdleConnection(t *testing.T) {
	t.Parallel()
	const factor, around = 60, 200 * time.Millisecond
	for _, rested := range []time.Duration{peers.ClientIdleTimeout / factor, peers.ServerIdleTimeout / factor} {
		t.Run(rested.String(), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSidecars(t, factor, func() bool { return false })
			var group errgroup.Group
			for i := range sidecarsAsked {
				group.Go(func() error {
					if err := s.order(i); err != nil {
						return err
					}
					time.Sleep(rested - around/2 + around*time.Duration(i)/sidecarsAsked)
					return s.order(sidecarsAsked + i)
				})
			}
			g.Expect(group.Wait()).To(Succeed())
			for i := range 2 * sidecarsAsked {
				g.Expect(s.times(i)).To(Equal(1))
			}
		})
	}
}

// Guards against orders that are sent again by the transport as connections break.
func TestABrokenConnectionRepeatsNoOrder(t *testing.T) {
	t.Parallel()
	const each = 20
	g := NewWithT(t)
	s := newSidecars(t, 1, func() bool { return rand.IntN(10) == 0 })
	var lost atomic.Int64
	var group errgroup.Group
	for i := range sidecarsAsked {
		group.Go(func() error {
			for j := range each {
				number := i + j*sidecarsAsked
				err := s.order(number)
				if err != nil {
					lost.Add(1)
				}
				if n := s.times(number); n > 1 || n == 0 && err == nil {
					return errors.Newf("order %d was taken %d times: %v", number, n, err)
				}
			}
			return nil
		})
	}
	g.Expect(group.Wait()).To(Succeed())
	t.Logf("%d of %d orders without an answer", lost.Load(), sidecarsAsked*each)
	g.Expect(lost.Load()).To(BeNumerically("<", sidecarsAsked*each/2))
}
