// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// pathOrder is the call that gives the leader's own engine an order; pathTree is that
// for all others.
const pathOrder = "/v1/orders"

// maxPeerAnswer bounds what is read of a call between sidecars: the counts or
// the map of the largest group.
const maxPeerAnswer = 4 << 20

// orderCall is an order that a leader has another sidecar give to the leader's own
// engine.
type orderCall struct {
	rank.Order
	Engine string `json:"engine"`
}

// answer is what became of an order.
type answer struct {
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
	var o orderCall
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPeerAnswer))
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
	httpjson.Reply(w, s.armFor(r.Context(), o.Engine, o.Order))
}

// carryOutMap gives an order to the own engine, with its map if it is one to
// prepare.
func (s *Sidecar) carryOutMap(ctx context.Context, o rank.Order, text *mapText) (done answered) {
	if o.Op == rank.Prepare && text != nil {
		m, err := s.maps.read(*text)
		if err != nil {
			s.log.Info("map not read", zap.Uint64("version", o.Version), zap.String("error", err.Error()))
			return answered{Result: rank.Lost, Error: err.Error(), UnknownBase: errors.Is(err, errNoBase)}
		}
		o.Map = m
	}
	a := s.carryOut(ctx, o)
	return answered{Result: a.Result, Error: a.Error}
}

// carryOut gives an order to the own engine. One that is not answered is given
// again: that does no harm, and waiting for it would hold up the group.
func (s *Sidecar) carryOut(ctx context.Context, o rank.Order) (a answer) {
	for began := time.Now(); ; {
		tried := time.Now()
		if a = s.carryOutOnce(ctx, o); a.Result != rank.Lost || ctx.Err() != nil || time.Since(began) >= orderTime {
			return a
		}
		wait.For(ctx, leastOrderTimeout-time.Since(tried)) // An engine that is gone refuses at once.
	}
}

// orderPause is how long an answer of the own engine is waited for.
func (s *Sidecar) orderPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.orderTook.Known() {
		return orderTimeout
	}
	return min(max(orderPatience*s.orderTook.UpperBound(), leastOrderTimeout), orderTimeout)
}

func (s *Sidecar) carryOutOnce(ctx context.Context, o rank.Order) (a answer) {
	ctx, cancel := context.WithTimeout(ctx, s.orderPause())
	defer cancel()
	began := time.Now()
	result, err := s.engine.Order(ctx, o)
	s.figures.orders.Inc(1)
	a.Result = result
	if err != nil {
		a.Error = err.Error()
	} else {
		duty.Locked(&s.mu, func() { s.orderTook.Add(time.Since(began)) })
	}
	s.log.Info("order", zap.String("op", string(o.Op)), zap.Uint64("version", o.Version), zap.Uint64("step", o.Step),
		zap.Uint64("fence", o.Fence), zap.Uint64("epoch", o.Epoch), zap.String("result", string(result)), zap.String("error", a.Error))
	return a
}

// peerClient calls other sidecars.
type peerClient struct {
	client *http.Client
	port   int // Of every sidecar.
}

func newPeerClient(cfg Config) (c *peerClient, cleanup func()) {
	d := &net.Dialer{Timeout: engineTimeout}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: peers.ClientIdleTimeout, DisableCompression: true}
	return &peerClient{client: &http.Client{Transport: t}, port: cfg.PeersPort}, t.CloseIdleConnections
}

// order has a sidecar give the leader's engine an order.
func (c *peerClient) order(ctx context.Context, engine string, o orderCall) (a answer, err error) {
	raw, err := json.Marshal(o)
	if err != nil {
		return a, err
	}
	err = c.call(ctx, http.MethodPost, engine, pathOrder, raw, &a)
	return a, err
}

func (c *peerClient) call(ctx context.Context, method, engine, path string, body []byte, v any) (err error) {
	raw, err := c.raw(ctx, method, engine, path, body)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(raw, v), "sidecar of %s", engine)
}

// raw makes one call and returns the answer's body.
func (c *peerClient) raw(ctx context.Context, method, engine, path string, body []byte) (raw []byte, err error) {
	defer func() { err = errors.Wrapf(err, "sidecar of %s", engine) }()
	address, err := peers.SidecarAddress(engine, c.port)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return httpjson.Do(c.client, r, maxPeerAnswer)
}
