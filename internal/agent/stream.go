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

// stream runs the request at the engine and relays its tokens under the id of
// the request. Tokens that are not the next one are dropped and counted. It reports false if the
// stream broke off.
func (j *job) stream(w http.ResponseWriter, r *http.Request) (whole bool) {
	a := j.agent
	var g adapter.Generate
	if err := json.Unmarshal(j.body, &g); err != nil {
		j.end(eventRefuse)
		a.refuse(w, wire.Refuse(http.StatusBadRequest, 0, "body: "+err.Error()))
		return true
	}
	g.ID, g.Priority, g.From = j.name, j.env.Priority, j.env.Offset
	j.bringCache(r.Context())
	in, err := a.engine.Generate(r.Context(), g)
	switch {
	case adapter.NotSent(err) || adapter.Status(err) == http.StatusServiceUnavailable:
		j.end(eventRefuse)
		rest := adapter.Backoff(err)
		a.rest(rest)
		a.refuse(w, wire.Refuse(http.StatusServiceUnavailable, cmp.Or(rest, time.Second), "engine cannot be reached or takes nothing"))
		return true
	case err != nil:
		j.end(eventBreak)
		doubt := wire.RefuseUnknown(http.StatusBadGateway, "engine gave no answer")
		doubt.Ended = a.ended()
		a.refuse(w, doubt)
		return true
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
		return true
	}
	j.end(eventBreak)
	a.count("streams.broken")
	return false
}

// frameWriter writes frames to the entry. Two goroutines use it: the relay, and
// a timer that tells that the engine is alive when no token came for a while.
type frameWriter struct {
	mu   sync.Mutex
	w    io.Writer
	rc   *http.ResponseController
	id   wire.EventID
	buf  []byte
	last time.Time
	done bool // The handler has returned: w must not be used any more.
}

// write sends one frame; offset is the place of the token that is due.
func (f *frameWriter) write(offset int, event string, data []byte) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writeLocked(offset, event, data, time.Now())
}

func (f *frameWriter) writeLocked(offset int, event string, data []byte, now time.Time) (err error) {
	f.id.Offset, f.last = offset, now
	f.buf = wire.AppendFrame(f.buf[:0], f.id, event, data)
	if _, err := f.w.Write(f.buf); err != nil {
		return err
	}
	return f.rc.Flush()
}

// alive writes a frame without a token if nothing was written for the time d.
func (f *frameWriter) alive(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); !f.done && now.Sub(f.last) >= d {
		_ = f.writeLocked(f.id.Offset, wire.EventAlive, nil, now) // A lost link shows at the next token.
	}
}

// close ends the use of the handler's writer.
func (f *frameWriter) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = true
}

// keepAlive tells the entry that the engine is at work while its step number
// advances. The function returned ends it.
func (j *job) keepAlive(f *frameWriter) (stop func()) {
	every := j.agent.node.Settings().StallAfter / 4
	var timer *time.Timer
	var mu sync.Mutex
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(every, func() {
		j.agent.contained(func() {
			if !j.agent.Load().Stalled {
				f.alive(every)
			}
		})
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(every)
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

// relay copies the tokens of an engine and reports whether the answer is whole.
func (j *job) relay(w io.Writer, rc *http.ResponseController, in io.Reader) (whole bool) {
	frames := wire.NewFrameReader(in)
	next := j.env.Offset
	out := &frameWriter{w: w, rc: rc, id: wire.EventID{Request: j.name, Endpoint: j.env.Endpoint, Offset: next}, last: time.Now()}
	defer j.keepAlive(out)()
	left := j.agent.node.Leaving()
	for {
		select {
		case <-left:
			left = nil
			_ = out.write(next, wire.EventLeaving, nil) // A lost link shows at the next token.
		default:
		}
		f, err := frames.Next()
		if err != nil {
			out.tellEnded(next, j.agent.ended())
			return false
		}
		got, err := wire.ParseEventID(f.ID)
		if err != nil || got.Request != j.name || got.Offset != next {
			j.agent.node.Trail().Add(audit.StrayAnswer, j.name, "engine sent "+f.ID)
			continue
		}
		data := f.Data
		switch f.Event {
		case "":
		case wire.EventEnd:
			data = []byte(wire.EncodeLoad(j.agent.Load()))
		default: // Passed on, an engine's failure would count as a token.
			j.agent.node.Trail().Add(audit.StrayAnswer, j.name, "engine sent the event "+f.Event)
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

// bringCache gives the engine the KV cache of a stream that moves here, if the
// agent it comes from still has it. Without it the prompt is computed again.
func (j *job) bringCache(ctx context.Context) {
	if j.env.CacheAddress == "" {
		return
	}
	a := j.agent
	cache, err := a.node.PeerGet(ctx, j.env.CacheAddress, wire.PathCache+url.PathEscape(j.env.CacheAttemptID))
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
	httpjson.ReplyBinary(w, cache)
}
