package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store, as the protocol page shows it.
type item struct {
	Key      string `json:"private-key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is a stand-in for the platform's metadata store: reads only, linearizable, full history.
type store struct {
	mu      sync.Mutex
	items   map[string]item
	events  []item
	rev     uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, changed: make(chan struct{}), rev: 100}
}

func (s *store) put(key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: raw, Revision: s.rev, Made: s.rev}
	if old, ok := s.items[key]; ok {
		it.Made = old.Made
	}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.rev, Gone: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // The published time of an answer.
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("private-key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, it)
	case "/kv-range":
		s.mu.Lock()
		list := []item{}
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("path-prefix")) && k > q.Get("after-revision") {
				list = append(list, it)
			}
		}
		at := s.rev
		s.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		reply(w, map[string]any{"items": list, "more": false, "at": at})
	case "/kv-watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after-revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list, at, changed := []item{}, s.rev, s.changed
		for _, ev := range s.events {
			if ev.Revision > after && strings.HasPrefix(ev.Key, q.Get("path-prefix")) {
				list = append(list, ev)
			}
		}
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, map[string]any{"events": list, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": list, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
