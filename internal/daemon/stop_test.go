// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
	"github.com/canvaspulley/canvaspulley/internal/keepalive"
	"github.com/canvaspulley/canvaspulley/internal/settings"
)

// recordingListener records which callers a listener has accepted.
type recordingListener struct {
	net.Listener
	accepted sync.Map // By the callers' addresses.
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Store(c.RemoteAddr().String(), true)
	}
	return c, err
}

// requestOnNewConns sends requests on new connections, each up to maxPause after connecting, until
// it cannot connect. It returns an error if a connection was accepted and got no answer, although its
// request was written within limit.
func (l *recordingListener) requestOnNewConns(maxPause, limit time.Duration) error {
	for {
		began := time.Now()
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			return nil
		}
		time.Sleep(rand.N(maxPause))
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		inTime := time.Since(began) < limit
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_ = resp.Body.Close()
		} else if _, accepted := l.accepted.Load(c.LocalAddr().String()); accepted && inTime {
			return fmt.Errorf("accepted but not answered: %w", err)
		}
		_ = c.Close()
	}
}

// Guards against a stop that ends with requests in flight because new ones arrive without a pause,
// or with connections on which a request arrives late.
func TestAPlannedStopEndsAlthoughCallersKeepConnecting(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	core, logs := observer.New(zap.WarnLevel)
	p := &fleetProcess{log: zap.New(core), reg: metrics.NewRegistry(), closedTime: testTimeout, set: &settings.Fleet{GracePeriod: stopAcceptTime + stopMargin + stopClosedTime + testTimeout}}
	gw, cleanup := gateway.New(gateway.Config{}, platformCodec(), follow.NewView(), zap.NewNop(), p.reg)
	t.Cleanup(cleanup)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	srv := p.callersServer(gw)
	tracked := &recordingListener{Listener: gw.CallerConns().Listener(l)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var group errgroup.Group
	group.Go(func() error { return serveUntilDone(ctx, srv, tracked) })
	for i := range 50 {
		group.Go(func() error { return tracked.requestOnNewConns(1+time.Duration(i%2)*150*time.Millisecond, testTimeout) })
	}
	stop := make(chan struct{})
	gw.Stop()
	close(stop)
	p.drain(ctx, stop, func() (requests, connections int) { return gw.InFlight(), gw.CallerConns().OpenConns() }, gw.CallerConns())
	g.Expect(logs.FilterMessage("stopped with connections open").All()).To(BeEmpty())
	g.Expect(gw.CallerConns().Drained()).To(BeTrue())
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}

// Guards against connections that are accepted near the end of the grace period and closed before
// the time for their first request is over.
func TestAConnectionAcceptedInAPlannedStopHasTimeForItsFirstRequest(t *testing.T) {
	t.Parallel()
	const (
		callers     = 100
		gracePeriod = 8 * time.Second
		maxPause    = keepalive.StopNewConnTimeout * 9 / 10
	)
	g := NewWithT(t)
	p, gw := newGatewayProcess(t)
	p.set.GracePeriod = gracePeriod
	l, err := listenTCP("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	tracked := &recordingListener{Listener: gw.CallerConns().Listener(l)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var serving, calling errgroup.Group
	serving.Go(func() error { return serveUntilDone(ctx, p.callersServer(gw), tracked) })
	for range callers {
		calling.Go(func() error { return tracked.requestOnNewConns(maxPause, keepalive.StopNewConnTimeout) })
	}
	gw.Stop()
	stop := make(chan struct{})
	close(stop)
	p.drain(ctx, stop, func() (requests, connections int) { return gw.InFlight(), gw.CallerConns().OpenConns() }, gw.CallerConns())
	cancel()
	g.Expect(calling.Wait()).To(Succeed())
	g.Expect(serving.Wait()).To(Succeed())
}

// Guards against a stop that outlasts its grace period, or is logged as incomplete, because a
// caller may use its connection for longer.
func TestAPlannedStopEndsInTimeWithALongerKeepAliveTimeout(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	core, logs := observer.New(zap.WarnLevel)
	p := &fleetProcess{log: zap.New(core), set: &settings.Fleet{GracePeriod: stopAcceptTime + stopMargin + 2*stopClosedTime}}
	callers := keepalive.New(keepalive.Config{
		Name: "test", IdleTimeout: testTimeout, ReadHeaderTimeout: testTimeout, GracePeriod: p.set.GracePeriod - stopMargin - stopDrainMargin,
	}, p.log, metrics.NewRegistry())
	end := make(chan struct{})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-end
	})}
	callers.Attach(srv)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var serving errgroup.Group
	serving.Go(func() error { return serveUntilDone(ctx, srv, callers.Listener(l)) })
	resp, err := http.Get("http://" + l.Addr().String()) // Its connection stays open and idle.
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Header.Get("Keep-Alive")).NotTo(BeEmpty())
	stop := make(chan struct{})
	callers.Stop(time.Now())
	close(stop)
	close(end)
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	p.drain(ctx, stop, func() (requests, connections int) { return 0, callers.OpenConns() }, callers)
	g.Expect(logs.FilterMessage("stopped with connections open").All()).To(BeEmpty())
	g.Expect(callers.Drained()).To(BeTrue())
	cancel()
	g.Expect(serving.Wait()).To(Succeed())
}
