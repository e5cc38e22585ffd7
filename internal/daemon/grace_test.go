// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/follow"
	"github.com/canvaspulley/canvaspulley/internal/gateway"
)

// newGatewayWithEndpoint returns a gateway with one endpoint that has the given number of slots,
// and a listener for its callers.
func newGatewayWithEndpoint(t *testing.T, endpoint string, slots int) (p *fleetProcess, gw *gateway.Gateway, l net.Listener) {
	t.Helper()
	p = &fleetProcess{log: zap.NewNop(), reg: metrics.NewRegistry(), serverLog: log.New(io.Discard, "", 0)}
	view := follow.NewView()
	codec := platformCodec()
	codec.ReadCall = func(http.Header) fleet.Call { return fleet.Call{ID: "one"} }
	codec.ReadAnswer = func(int, http.Header) fleet.Answer { return fleet.Answer{ID: "one", Signed: true} }
	gw, cleanup := gateway.New(gateway.Config{}, codec, view, p.log, p.reg)
	t.Cleanup(cleanup)
	view.Replace(follow.Snapshot{
		Config: fleet.NewConfig(1, []fleet.Route{{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 1, Timeout: time.Minute, Split: []fleet.Share{{Service: "s", Weight: 1}},
		}}, []fleet.Service{{Name: "s"}}, nil, fleet.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16}),
		UpTo:      1,
		Endpoints: []fleet.Endpoint{{ID: "e", Service: "s", Address: endpoint, Slots: slots, Revision: 1, CreatedRevision: 1}},
	}, time.Now(), false)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return p, gw, l
}

// Guards against requests that were forwarded to an endpoint and end without an answer at the end
// of the grace period.
func TestRequestsInFlightAreAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	const callers = 50
	g := NewWithT(t)
	var begun atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		<-r.Context().Done()
	}))
	t.Cleanup(endpoint.Close)
	p, gw, l := newGatewayWithEndpoint(t, endpoint.Listener.Addr().String(), callers)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var serving, calling errgroup.Group
	serving.Go(func() error { return p.serveCallers(ctx, gw, l) })
	for range callers {
		calling.Go(func() error {
			r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", http.NoBody)
			if err != nil {
				return err
			}
			r.Host = "h"
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return err
			}
			if resp.StatusCode != http.StatusGatewayTimeout && resp.StatusCode != http.StatusBadGateway {
				return errors.Newf("status %d", resp.StatusCode)
			}
			return resp.Body.Close()
		})
	}
	g.Eventually(begun.Load, testTimeout).Should(BeEquivalentTo(callers))
	gw.Stop()
	cancel()
	g.Expect(calling.Wait()).To(Succeed())
	g.Expect(serving.Wait()).To(Succeed())
}
