package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner that answers with streams of events, as PROTOCOL.md describes it.
type runner struct {
	id, address string
	rec         *record
	events      int           // Events of each stream; their ids are 1 to events.
	pause       time.Duration // Between two events.
	dataBytes   int           // Size of the data of an event.
	onEvent     func(r *runner, attempt string, n int)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	crashed  bool
}

func (r *runner) start() {
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		fatal(err)
	}
	r.listener, r.conns = l, map[net.Conn]struct{}{}
	srv := &http.Server{Handler: r, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(r.conns, c)
			return
		}
		r.conns[c] = struct{}{}
	}}
	go func() { _ = srv.Serve(l) }()
}

// crash ends the runner: its port refuses connections, and its connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed {
		return
	}
	r.crashed = true
	r.rec.add("runner %s crashes", r.id)
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Versions", "1")
	if q.Header.Get("Expected-Instance") != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	last := q.Header.Get("Last-Event-Id")
	r.rec.add("runner %s runs %s, Last-Event-Id %q", r.id, attempt, last)
	first := 1
	if n, err := strconv.Atoi(last); err == nil {
		first = n + 1
	}
	w.Header().Set("Runner-Signature", r.id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= r.events; n++ {
		text := fmt.Sprintf("%s/%d ", attempt, n)
		if more := r.dataBytes - len(text); more > 0 {
			text += strings.Repeat("x", more)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if r.onEvent != nil {
			r.onEvent(r, attempt, n)
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.pause):
		}
	}
}
