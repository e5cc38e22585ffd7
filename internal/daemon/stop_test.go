// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
	"github.com/canvaspulley/canvaspulley/internal/settings"
)

// connectAnew sends requests on connections of their own until none can be made.
func connectAnew(address string) error {
	for {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			return nil
		}
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil { // Else the listener closed.
			_ = resp.Body.Close()
		}
		_ = c.Close()
	}
}

// Guards against a stop that ends with requests at work since new ones come without a pause.
func TestAPlannedStopEndsAlthoughCallersConnectAnew(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	core, logs := observer.New(zap.WarnLevel)
	p := &fleetProcess{log: zap.New(core), reg: metrics.NewRegistry(), set: &settings.Fleet{Grace: stopLinger + stopMargin + 2*stopLast}}
	gw, cleanup := gateway.New(gateway.Config{}, platformCodec(), follow.NewView(), zap.NewNop(), p.reg)
	t.Cleanup(cleanup)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	srv := p.callersServer(gw)
	tracked := gw.Callers().Listener(l)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var group errgroup.Group
	group.Go(func() error { return serveOn(ctx, srv, tracked) })
	for range 50 {
		group.Go(func() error { return connectAnew(l.Addr().String()) })
	}
	stop := make(chan struct{})
	gw.Stop()
	close(stop)
	p.drain(ctx, stop, func() (requests, connections int) { return gw.Busy(), gw.Callers().Open() }, gw.Callers())
	g.Expect(logs.FilterMessage("stopped with connections open").All()).To(BeEmpty())
	g.Expect(gw.Callers().Drained()).To(BeTrue())
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}
