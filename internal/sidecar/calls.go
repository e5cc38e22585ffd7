// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/dialer"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// pathOrder is the path of the call that sends an order to the leader's own engine. All other
// orders use pathTree.
const pathOrder = "/v1/orders"

// maxPeerResponse bounds the body of a call between sidecars, in bytes. It holds the counts or the
// map of the largest group.
const maxPeerResponse = 4 << 20

// orderRequest is an order that a leader asks another sidecar to send to the leader's own engine.
type orderRequest struct {
	rank.Order
	Engine string `json:"engine"`
}

// orderResponse is the result of an order.
type orderResponse struct {
	Result rank.Result `json:"result"`
	Error  string      `json:"error,omitempty"`
}

// Handler serves the calls of other sidecars.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathTree, s.serveTree)
	mux.HandleFunc("POST "+pathOrder, s.serveOrder)
	return mux
}

func (s *Sidecar) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPeerResponse))
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	if err == nil && o.Engine == "" {
		err = errors.New("engine: missing")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	httpjson.Reply(w, s.armLeader(r.Context(), o.Engine, o.Order))
}

// executeWithMap sends an order to this sidecar's engine, with the decoded map if it is a Prepare.
// If the map cannot be decoded, nothing is sent and the result is Lost.
func (s *Sidecar) executeWithMap(ctx context.Context, o rank.Order, encoded *encodedMap) (done rankResponse) {
	if o.Op == rank.Prepare && encoded != nil {
		m, err := s.maps.decode(*encoded)
		if err != nil {
			s.log.Info("map not decoded", zap.Uint64("version", o.Version), zap.String("error", err.Error()))
			return rankResponse{Result: rank.Lost, Error: err.Error(), UnknownBase: errors.Is(err, errUnknownBase)}
		}
		o.Map = m
	}
	a := s.executeOrder(ctx, o)
	return rankResponse{Result: a.Result, Error: a.Error}
}

// claimVersion sends an order to this sidecar's engine once. It isn't sent again: whether a second
// answer refers to this order or to another one with its version could not be told.
func (s *Sidecar) claimVersion(ctx context.Context, o rank.Order) rank.Result {
	return s.tryOrder(ctx, o, orderRetryWindow).Result
}

// executeOrder sends an order to this sidecar's engine. An order without an answer is sent again for
// orderRetryWindow: that is harmless, whereas waiting for the answer would stall the group.
func (s *Sidecar) executeOrder(ctx context.Context, o rank.Order) (a orderResponse) {
	for began := time.Now(); ; {
		attemptBegan := time.Now()
		if a = s.tryOrder(ctx, o, s.orderAttemptTimeout()); a.Result != rank.Lost || ctx.Err() != nil || time.Since(began) >= orderRetryWindow {
			a.Result = a.Result.Outcome()
			return a
		}
		wait.For(ctx, minOrderTimeout-time.Since(attemptBegan)) // The port of an engine that has exited refuses connections immediately.
	}
}

// orderAttemptTimeout returns how long one attempt waits for this engine's answer to an order.
func (s *Sidecar) orderAttemptTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.orderTook.Known() {
		return maxOrderTimeout
	}
	return min(max(orderTimeoutFactor*s.orderTook.UpperBound(), minOrderTimeout), maxOrderTimeout)
}

// tryOrder sends an order to this sidecar's engine once.
func (s *Sidecar) tryOrder(ctx context.Context, o rank.Order, timeout time.Duration) (a orderResponse) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	result, err := s.engine.Order(ctx, o)
	s.stats.orders.Inc(1)
	a.Result = result
	if err != nil {
		a.Error = err.Error()
	} else {
		duty.Locked(&s.mu, func() {
			s.orderTook.Add(time.Since(began))
			if result.Outcome() == rank.Done {
				s.ownArming.ObserveFence(o.Fence)
			}
		})
	}
	s.log.Info("order", zap.String("op", string(o.Op)), zap.Uint64("version", o.Version), zap.Uint64("step", o.Step),
		zap.Uint64("fence", o.Fence), zap.Uint64("epoch", o.Epoch), zap.String("result", string(result)), zap.String("error", a.Error))
	return a
}

// peerClient calls other sidecars.
type peerClient struct {
	client *http.Client
	port   int // Same on every instance.
}

func newPeerClient(cfg Config) (c *peerClient, cleanup func()) {
	t := peerTransport()
	return &peerClient{client: httphead.NewClient(t), port: cfg.PeersPort}, t.CloseIdleConnections
}

func peerTransport() *http.Transport {
	d := dialer.New("", engineTimeout, 0)
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: peers.ClientIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: httpjson.MaxHeadBytes}
}

// order asks the sidecar of an engine to send the leader's engine an order.
func (c *peerClient) order(ctx context.Context, engine string, o orderRequest) (a orderResponse, err error) {
	raw, err := json.Marshal(o)
	if err != nil {
		return a, err
	}
	err = c.call(ctx, http.MethodPost, engine, pathOrder, raw, &a)
	return a, err
}

func (c *peerClient) call(ctx context.Context, method, engine, path string, body []byte, v any) (err error) {
	raw, err := c.do(ctx, method, engine, path, body)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(raw, v), "sidecar of %s", engine)
}

// do makes one call and returns the response body.
func (c *peerClient) do(ctx context.Context, method, engine, path string, body []byte) (raw []byte, err error) {
	defer func() { err = errors.Wrapf(err, "sidecar of %s", engine) }()
	address, err := peers.SidecarAddress(engine, c.port)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return httpjson.Do(c.client, r, maxPeerResponse)
}
