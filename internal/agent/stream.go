// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// stream runs the request at the engine and relays its tokens under the id of the request.
// Tokens out of sequence are dropped and counted. It reports false if the stream was aborted.
func (j *job) stream(w http.ResponseWriter, r *http.Request) (complete bool) {
	a := j.agent
	var g adapter.Generate
	if err := json.Unmarshal(j.body, &g); err != nil {
		j.applyFinal(eventRefuse)
		a.refuse(w, wire.Refuse(http.StatusBadRequest, 0, "body: "+err.Error()))
		return true
	}
	g.ID, g.Priority, g.From = j.attemptID, j.env.Priority, j.env.Offset
	j.importCache(r.Context())
	in, err := a.engine.Generate(r.Context(), g)
	switch {
	case adapter.NotSent(err) || adapter.Status(err) == http.StatusServiceUnavailable:
		j.applyFinal(eventRefuse)
		backoffTime := adapter.Backoff(err)
		a.recordBackoff(backoffTime)
		a.refuse(w, wire.Refuse(http.StatusServiceUnavailable, cmp.Or(backoffTime, time.Second), "engine cannot be reached or takes nothing"))
		return true
	case err != nil:
		j.applyFinal(eventBreak)
		refusal := wire.RefuseUnknown(http.StatusBadGateway, "engine gave no answer")
		refusal.Ended = a.detectEnd()
		a.refuse(w, refusal)
		return true
	}
	defer func() { _ = in.Close() }()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(wire.HeaderRequest, j.attemptID)
	h.Set(wire.HeaderLoad, wire.EncodeLoad(a.Load()))
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	if j.relay(w, rc, in) {
		j.applyFinal(eventFinish)
		a.count("streams.done")
		return true
	}
	j.applyFinal(eventBreak)
	a.count("streams.broken")
	return false
}

// frameWriter writes frames to the entry. Two goroutines use it: the relay, and a timer that
// reports that the engine is alive when no token has been sent for a while.
type frameWriter struct {
	mu        sync.Mutex
	w         io.Writer
	rc        *http.ResponseController
	id        wire.EventID
	buf       []byte
	lastWrite time.Time
	closed    bool // The handler has returned, and w must not be used any more.
}

// write sends one frame; offset is that of the next token.
func (f *frameWriter) write(offset int, event string, data []byte) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writeLocked(offset, event, data, time.Now())
}

func (f *frameWriter) writeLocked(offset int, event string, data []byte, now time.Time) (err error) {
	f.id.Offset, f.lastWrite = offset, now
	f.buf = wire.AppendFrame(f.buf[:0], f.id, event, data)
	if _, err := f.w.Write(f.buf); err != nil {
		return err
	}
	return f.rc.Flush()
}

// writeAlive writes a frame without a token if nothing has been written for the time d.
func (f *frameWriter) writeAlive(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); !f.closed && now.Sub(f.lastWrite) >= d {
		_ = f.writeLocked(f.id.Offset, wire.EventAlive, nil, now) // A lost connection shows at the next token.
	}
}

// close stops keep-alive frames, because the handler's writer must not be used after it returns.
func (f *frameWriter) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// startKeepAlive reports to the entry that the engine is alive, as long as its step number
// advances. The returned function stops it.
func (j *job) startKeepAlive(f *frameWriter) (stop func()) {
	interval := j.agent.node.Settings().StallAfter / 4
	var timer *time.Timer
	var mu sync.Mutex
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(interval, func() {
		j.agent.recoverPanics(func() {
			if !j.agent.Load().Stalled {
				f.writeAlive(interval)
			}
		})
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(interval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
		f.close()
	}
}

// relay copies the tokens of an engine and reports whether the answer is complete.
func (j *job) relay(w io.Writer, rc *http.ResponseController, in io.Reader) (complete bool) {
	frames := wire.NewFrameReader(in)
	next := j.env.Offset
	out := &frameWriter{w: w, rc: rc, id: wire.EventID{Request: j.attemptID, Endpoint: j.env.Endpoint, Offset: next}, lastWrite: time.Now()}
	defer j.startKeepAlive(out)()
	leaving := j.agent.node.Leaving()
	for {
		select {
		case <-leaving:
			leaving = nil
			_ = out.write(next, wire.EventLeaving, nil) // A lost connection shows at the next token.
		default:
		}
		f, err := frames.Next()
		if err != nil {
			out.writeEnded(next, j.agent.detectEnd())
			return false
		}
		got, err := wire.ParseEventID(f.ID)
		if err != nil || got.Request != j.attemptID || got.Offset != next {
			j.agent.node.Trail().Add(audit.StrayAnswer, j.attemptID, "engine sent "+f.ID)
			continue
		}
		data := f.Data
		switch f.Event {
		case "":
		case wire.EventEnd:
			data = []byte(wire.EncodeLoad(j.agent.Load()))
		default: // If relayed, an error event of the engine would count as a token.
			j.agent.node.Trail().Add(audit.StrayAnswer, j.attemptID, "engine sent the event "+f.Event)
			return false
		}
		if err := out.write(next, f.Event, data); err != nil {
			return false
		}
		if f.Event == wire.EventEnd {
			return true
		}
		next++
	}
}

// importCache loads the KV cache of a stream that moves to this endpoint into the engine, if
// the previous agent still has it. Otherwise the engine recomputes the prompt.
func (j *job) importCache(ctx context.Context) {
	if j.env.CacheAddress == "" {
		return
	}
	a := j.agent
	cache, err := a.node.PeerGet(ctx, j.env.CacheAddress, wire.PathCache+url.PathEscape(j.env.CacheAttemptID))
	if err == nil {
		err = a.engine.Import(ctx, j.attemptID, cache)
	}
	if err != nil {
		a.count("caches.lost")
		return
	}
	a.count("caches.moved")
}

// serveCache returns the KV cache of a request to the agent that the request moves to.
func (a *Agent) serveCache(w http.ResponseWriter, r *http.Request) {
	cache, err := a.engine.Export(r.Context(), r.PathValue("id"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	httpjson.ReplyBinary(w, cache)
}
