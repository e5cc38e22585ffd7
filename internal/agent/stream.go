// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/platform"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// stream runs the request at the engine and relays its tokens under the id of
// the request. Tokens that are not the next one are dropped and counted.
func (j *job) stream(w http.ResponseWriter, r *http.Request) {
	a := j.agent
	var g platform.Generate
	if err := json.Unmarshal(j.body, &g); err != nil {
		j.end(eventRefuse)
		a.refuse(w, wire.Refuse(http.StatusBadRequest, 0, "body: "+err.Error()))
		return
	}
	g.ID, g.Priority, g.From = j.name, j.env.Priority, j.env.Offset
	j.bringCache(r.Context())
	in, err := a.engine.Generate(r.Context(), g)
	switch {
	case platform.NotSent(err) || platform.Status(err) == http.StatusServiceUnavailable:
		j.end(eventRefuse)
		a.refuse(w, wire.Refuse(http.StatusServiceUnavailable, time.Second, "engine cannot be reached"))
		return
	case err != nil:
		j.end(eventBreak)
		a.refuse(w, wire.Doubt(http.StatusBadGateway, "engine gave no answer"))
		return
	}
	defer func() { _ = in.Close() }()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(wire.HeaderRequest, j.name)
	h.Set(wire.HeaderLoad, wire.EncodeLoad(a.Load()))
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	if j.relay(w, rc, in) {
		j.end(eventFinish)
		a.count("streams.done")
		return
	}
	j.end(eventBreak)
	a.count("streams.broken")
	panic(http.ErrAbortHandler) // The entry must see that the stream broke off.
}

// relay copies the tokens of an engine and reports whether the answer is whole.
func (j *job) relay(w io.Writer, rc *http.ResponseController, in io.Reader) (whole bool) {
	frames := wire.NewFrameReader(in)
	next := j.env.Offset
	id := wire.EventID{Request: j.name, Endpoint: j.env.Endpoint}
	var buf []byte
	left := j.agent.node.Left()
	for {
		select {
		case <-left:
			left = nil
			id.Offset = next
			buf = wire.AppendFrame(buf[:0], id, wire.EventLeaving, nil)
			_, _ = w.Write(buf) // A link that is lost shows at the next token.
		default:
		}
		f, err := frames.Next()
		if err != nil {
			return false
		}
		got, err := wire.ParseEventID(f.ID)
		if err != nil || got.Request != j.name || got.Offset != next {
			j.agent.node.Trail().Add(audit.StrayAnswer, j.name, "engine sent "+f.ID)
			continue
		}
		id.Offset = next
		data := f.Data
		if f.Event == wire.EventEnd {
			data = []byte(wire.EncodeLoad(j.agent.Load()))
		}
		buf = wire.AppendFrame(buf[:0], id, f.Event, data)
		if _, err := w.Write(buf); err != nil {
			return false
		}
		if err := rc.Flush(); err != nil {
			return false
		}
		if f.Event == wire.EventEnd {
			return true
		}
		next++
	}
}

// bringCache gives the engine the KV cache of a stream that moves here, if the
// agent it comes from still has it. Without it the prompt is computed again.
func (j *job) bringCache(ctx context.Context) {
	if j.env.CacheAt == "" {
		return
	}
	a := j.agent
	cache, err := a.node.PeerGet(ctx, j.env.CacheAt, wire.PathCache+url.PathEscape(j.env.CacheID))
	if err == nil {
		err = a.engine.Import(ctx, j.name, cache)
	}
	if err != nil {
		a.count("caches.lost")
		return
	}
	a.count("caches.moved")
}

// serveCache gives the KV cache of a request to the agent that it moves to.
func (a *Agent) serveCache(w http.ResponseWriter, r *http.Request) {
	cache, err := a.engine.Export(r.Context(), r.PathValue("id"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = w.Write(cache) // The peer may be gone.
}
