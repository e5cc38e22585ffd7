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
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/httphead/headtest"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/httpjson/endlesstest"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// fakeSidecars stands in for many sidecars, on one port of many loopback addresses, and counts how
// often each order was received.
type fakeSidecars struct {
	client      *peerClient
	mu          sync.Mutex
	ordersTaken map[uint64]int // By version.
}

// newFakeSidecars returns fake sidecars and a client for them. The idle timeouts of both sides are
// divided by factor. abortsConn is called before and after each call and may abort its connection.
func newFakeSidecars(t *testing.T, factor time.Duration, abortsConn func() bool) *fakeSidecars {
	g := NewWithT(t)
	s := &fakeSidecars{ordersTaken: map[uint64]int{}}
	l, err := net.Listen("tcp4", "0.0.0.0:0") // All loopback addresses.
	g.Expect(err).NotTo(HaveOccurred())
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if abortsConn() {
			panic(http.ErrAbortHandler)
		}
		var o orderRequest
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.ordersTaken[o.Version]++
		s.mu.Unlock()
		httpjson.Reply(w, orderResponse{Result: rank.Done})
		if abortsConn() {
			panic(http.ErrAbortHandler) // The response may have been sent already.
		}
	}))
	g.Expect(srv.Listener.Close()).To(Succeed())
	srv.Listener = l
	srv.Config.IdleTimeout = peers.ServerIdleTimeout / factor
	srv.Start()
	t.Cleanup(srv.Close)
	transport := peerTransport()
	t.Cleanup(transport.CloseIdleConnections)
	transport.IdleConnTimeout /= factor
	transport.DialContext = (&net.Dialer{}).DialContext // No dial timeout, so that a busy machine does not fail the test.
	s.client = &peerClient{client: httphead.NewClient(transport), port: l.Addr().(*net.TCPAddr).Port}
	return s
}

const sidecarCount = 200

// sendOrder sends the order with the given number to one of the sidecars.
func (s *fakeSidecars) sendOrder(number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	engine := fmt.Sprintf("127.0.1.%d:9", 1+number%sidecarCount)
	a, err := s.client.order(ctx, engine, orderRequest{Order: rank.Order{Op: rank.Arm, Version: uint64(number)}, Engine: engine})
	if err == nil && a.Result != rank.Done {
		return errors.Newf("order %d: %s", number, a.Result)
	}
	return err
}

// timesTaken returns how often an order was received.
func (s *fakeSidecars) timesTaken(number int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ordersTaken[uint64(number)]
}

// Guards against orders that fail because the server closes an idle connection as the order is
// sent.
func TestOrdersAvoidIdleConnectionClose(t *testing.T) {
	t.Parallel()
	const factor, spread = 60, 200 * time.Millisecond
	for _, idle := range []time.Duration{peers.ClientIdleTimeout / factor, peers.ServerIdleTimeout / factor} {
		t.Run(idle.String(), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newFakeSidecars(t, factor, func() bool { return false })
			var group errgroup.Group
			for i := range sidecarCount {
				group.Go(func() error {
					if err := s.sendOrder(i); err != nil {
						return err
					}
					time.Sleep(idle - spread/2 + spread*time.Duration(i)/sidecarCount)
					return s.sendOrder(sidecarCount + i)
				})
			}
			g.Expect(group.Wait()).To(Succeed())
			for i := range 2 * sidecarCount {
				g.Expect(s.timesTaken(i)).To(Equal(1))
			}
		})
	}
}

// Guards against orders that the HTTP transport sends again when a connection breaks.
func TestBrokenConnectionDoesNotRepeatOrders(t *testing.T) {
	t.Parallel()
	const each = 20
	g := NewWithT(t)
	s := newFakeSidecars(t, 1, func() bool { return rand.IntN(10) == 0 })
	var lost atomic.Int64
	var group errgroup.Group
	for i := range sidecarCount {
		group.Go(func() error {
			for j := range each {
				number := i + j*sidecarCount
				err := s.sendOrder(number)
				if err != nil {
					lost.Add(1)
				}
				if n := s.timesTaken(number); n > 1 || n == 0 && err == nil {
					return errors.Newf("order %d was taken %d times: %v", number, n, err)
				}
			}
			return nil
		})
	}
	g.Expect(group.Wait()).To(Succeed())
	t.Logf("%d of %d orders without an answer", lost.Load(), sidecarCount*each)
	g.Expect(lost.Load()).To(BeNumerically("<", sidecarCount*each/2))
}

func TestAnswersWithoutEndOfASidecar(t *testing.T) {
	endlesstest.ExpectAbandoned(t, 2*maxPeerResponse, func(t *testing.T, address string) error {
		at := netip.MustParseAddrPort(address)
		c, cleanup := newPeerClient(Config{PeersPort: int(at.Port())})
		defer cleanup()
		_, err := c.queryTree(t.Context(), treeQuery{Engines: []string{address}, Fanout: 1})
		return err
	})
}

func TestMalformedAnswersOfASidecar(t *testing.T) {
	headtest.ExpectRejected(t, "{}", headtest.Malformed(), func(t *testing.T, address string) error {
		at := netip.MustParseAddrPort(address)
		c, cleanup := newPeerClient(Config{PeersPort: int(at.Port())})
		defer cleanup()
		_, err := c.order(t.Context(), address, orderRequest{})
		return err
	})
}
