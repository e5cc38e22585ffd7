// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/settings"
)

// Guards against idle connections that stay open at another rank's engine.
func TestConnectionsToOtherEnginesAreNotKept(t *testing.T) {
	const orders = 40
	g := NewWithT(t)
	var open, asked atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	p := &fleetProcess{set: &settings.Fleet{}}
	for range orders {
		result, err := p.otherEngine(strings.TrimPrefix(srv.URL, "http://")).Order(context.Background(), rank.Order{Op: rank.Release, Step: 4})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result).To(Equal(rank.Done))
	}
	g.Expect(asked.Load()).To(BeEquivalentTo(orders))
	g.Eventually(open.Load, "2s").Should(BeZero())
}

// Guards against peers that hold connections or calls open forever.
func TestCallsOfPeersAreBounded(t *testing.T) {
	g := NewWithT(t)
	srv := (&fleetProcess{}).httpServer(http.NotFoundHandler())
	g.Expect(srv.IdleTimeout).NotTo(BeZero(), "idle")
	g.Expect(srv.ReadTimeout).NotTo(BeZero(), "a body that does not end")
	g.Expect(srv.WriteTimeout).NotTo(BeZero(), "an answer that is not read")
}

// Guards against a process that ends during calls that it has read.
func TestCallsInFlightAreAnsweredWhenTheProcessEnds(t *testing.T) {
	const callers = 200
	g := NewWithT(t)
	var begun atomic.Int64
	end := make(chan struct{})
	srv := (&fleetProcess{serverLog: log.New(io.Discard, "", 0)}).httpServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun.Add(1)
		<-end
		w.WriteHeader(http.StatusTeapot)
	}))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var serving, calling errgroup.Group
	serving.Go(func() error { return serveWithGrace(ctx, srv, l, testTimeout) })
	var answered atomic.Int64
	for range callers {
		calling.Go(func() error {
			resp, err := http.Post("http://"+l.Addr().String(), "", nil)
			if err != nil {
				return err
			}
			answered.Add(1)
			return resp.Body.Close()
		})
	}
	g.Eventually(begun.Load, testTimeout).Should(BeEquivalentTo(callers))
	cancel()
	close(end)
	g.Expect(calling.Wait()).To(Succeed())
	g.Expect(answered.Load()).To(BeEquivalentTo(callers))
	g.Expect(serving.Wait()).To(Succeed())
}

// newGatewayProcess returns a gateway's process, and the gateway, which has no configuration yet.
func newGatewayProcess(t *testing.T) (*fleetProcess, *gateway.Gateway) {
	p := &fleetProcess{set: &settings.Fleet{GracePeriod: time.Minute}, log: zap.NewNop(), reg: metrics.NewRegistry()}
	gw, cleanup := gateway.New(gateway.Config{}, platformCodec(), follow.NewView(), p.log, p.reg)
	t.Cleanup(cleanup)
	return p, gw
}

// Guards against a gateway that ends with connections that it accepted right after a check found
// none.
func TestCallersThatConnectAtTheEndOfAPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	const callers = 200
	g := NewWithT(t)
	p, gw := newGatewayProcess(t)
	l, err := listenTCP("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var serving, calling errgroup.Group
	serving.Go(func() error { return serveUntilDone(ctx, p.callersServer(gw), gw.CallerConns().Listener(l)) })

	gw.Stop()
	stop := make(chan struct{})
	close(stop)
	began, came := time.Now(), false
	all := make(chan struct{}) // Closed once all are connected.
	p.drain(ctx, stop, func() (requests, connections int) {
		if came {
			return gw.InFlight(), gw.CallerConns().OpenConns()
		}
		if time.Since(began) <= stopAcceptTime+2*stopPollInterval {
			return 0, 1 // Simulates a connection that is open until then.
		}
		came = true
		for range callers {
			c, err := net.Dial("tcp4", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(c, requestLine) // The connection is kept for as long as a header may take.
			g.Expect(err).NotTo(HaveOccurred())
			calling.Go(func() error { <-all; return finishRequest(c) })
		}
		g.Eventually(gw.CallerConns().OpenConns, testTimeout).Should(Equal(callers))
		close(all)
		return 0, 0 // The state before they connected.
	}, gw.CallerConns())
	cancel()
	g.Expect(calling.Wait()).To(Succeed())
	g.Expect(serving.Wait()).To(Succeed())
}

const requestLine = "GET / HTTP/1.1\r\n"

// finishRequest sends the rest of a request on a new connection, reads the answer and closes the
// connection.
func finishRequest(c net.Conn) error {
	defer func() { _ = c.Close() }()
	time.Sleep(100 * time.Millisecond) // Long enough for the stop to end, unless it waits.
	if _, err := io.WriteString(c, "Host: h\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
