// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/peers"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// Paths of the calls between sidecars.
const (
	pathRank  = "/v1/rank"
	pathOrder = "/v1/orders"
)

// maxPeerAnswer bounds what is read of a call between sidecars: the counts or
// the map of the largest group.
const maxPeerAnswer = 4 << 20

// state is what a sidecar tells the leader of its group.
type state struct {
	Report rank.Report `json:"report"`
	Window uint64      `json:"window"` // Number of the newest window.
	Work   []byte      `json:"work"`   // Its counts as varints, when it is newer than the one asked for.
}

// orderCall is an order as one sidecar sends it to another.
type orderCall struct {
	rank.Order
	MapFrom []string `json:"map-from,omitempty"` // Engines beside which the map is to be had; of Prepare.
	Engine  string   `json:"engine,omitempty"`   // That the order is for, if not the own one: the leader's, to be armed for it.
}

// answer is what became of an order.
type answer struct {
	Result rank.Result `json:"result"`
	Error  string      `json:"error,omitempty"`
}

// Handler serves the calls of other sidecars.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathRank, s.serveRank)
	mux.HandleFunc("POST "+pathOrder, s.serveOrder)
	mux.HandleFunc("GET "+pathMap, s.serveMap)
	return mux
}

// noWork asks for no counts.
const noWork = math.MaxUint64

func (s *Sidecar) serveRank(w http.ResponseWriter, r *http.Request) {
	after := uint64(noWork)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after: not a number", http.StatusBadRequest)
			return
		}
		after = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), engineTimeout)
	defer cancel()
	rep, err := s.engine.Report(ctx)
	s.noteReport(rep, err)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	st := state{Report: rep}
	s.mu.Lock()
	st.Window = s.work.number
	if after != noWork && s.work.number != after && s.work.epoch == rep.Epoch {
		st.Work = pack(s.work.flat)
	}
	s.mu.Unlock()
	httpjson.Reply(w, st)
}

func (s *Sidecar) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o orderCall
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxPeerAnswer))
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.Engine != "" {
		httpjson.Reply(w, s.armFor(r.Context(), o.Engine, o.Order))
		return
	}
	if o.Op == rank.Prepare {
		if o.Map, err = s.fetchMap(r.Context(), keyOf(o.Order), o.MapFrom); err != nil {
			s.log.Warn("map not had", zap.Uint64("version", o.Version), zap.Strings("from", o.MapFrom), zap.String("error", err.Error()))
			httpjson.Reply(w, answer{Result: rank.Lost, Error: err.Error()})
			return
		}
	}
	httpjson.Reply(w, s.carryOut(r.Context(), o.Order))
}

// carryOut gives an order to the own engine. One that is not answered is given
// again: that does no harm, and waiting for it would hold up the group.
func (s *Sidecar) carryOut(ctx context.Context, o rank.Order) (a answer) {
	for range orderTries {
		if a = s.carryOutOnce(ctx, o); a.Result != rank.Lost || ctx.Err() != nil {
			break
		}
	}
	return a
}

func (s *Sidecar) carryOutOnce(ctx context.Context, o rank.Order) (a answer) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := s.engine.Order(ctx, o)
	s.figures.orders.Inc(1)
	a.Result = result
	if err != nil {
		a.Error = err.Error()
	}
	s.log.Info("order", zap.String("op", string(o.Op)), zap.Uint64("version", o.Version), zap.Uint64("step", o.Step),
		zap.Uint64("fence", o.Fence), zap.Uint64("epoch", o.Epoch), zap.String("result", string(result)), zap.String("error", a.Error))
	return a
}

// pack writes numbers as varints.
func pack(flat []uint64) []byte {
	raw := make([]byte, 0, 2*len(flat))
	for _, n := range flat {
		raw = binary.AppendUvarint(raw, n)
	}
	return raw
}

// unpack reads what pack wrote.
func unpack(raw []byte) (flat []uint64, err error) {
	for len(raw) > 0 {
		n, size := binary.Uvarint(raw)
		if size <= 0 {
			return nil, errors.New("counts: not a varint")
		}
		flat = append(flat, n)
		raw = raw[size:]
	}
	return flat, nil
}

// peerClient calls other sidecars.
type peerClient struct {
	client *http.Client
	port   int // Of every sidecar.
}

func newPeerClient(cfg Config) (c *peerClient, cleanup func()) {
	d := &net.Dialer{Timeout: engineTimeout}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true}
	return &peerClient{client: &http.Client{Transport: t}, port: cfg.PeersPort}, t.CloseIdleConnections
}

// rank asks a sidecar for its state, with the work of a window that is newer
// than after; none for noWork.
func (c *peerClient) rank(ctx context.Context, engine string, after uint64) (st state, err error) {
	path := pathRank
	if after != noWork {
		path += "?after=" + strconv.FormatUint(after, 10)
	}
	err = c.call(ctx, http.MethodGet, engine, path, nil, &st)
	return st, err
}

// order has a sidecar give its engine an order.
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
	address, err := peers.Beside(engine, c.port)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if raw, err = io.ReadAll(io.LimitReader(resp.Body, maxPeerAnswer)); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(raw))
	}
	return raw, nil
}

// leadEvery and leadLapse are the times of leadership: a leader tells of itself
// several times before the others take it as gone.
const (
	leadEvery = 200 * time.Millisecond
	leadLapse = 900 * time.Millisecond
	// leadStagger keeps the next ranks from taking over at once together.
	leadStagger = 120 * time.Millisecond
)
