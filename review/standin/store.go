// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

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

// item is an entry of the store, or an event of a watch.
type item struct {
	Key      string `json:"private-key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    int    `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
}

func newStore() *store { return &store{items: map[string]item{}, changed: make(chan struct{})} }

// put writes a value, encoded as JSON.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: raw, Revision: s.revision, Made: s.revision}
	if old, ok := s.items[key]; ok {
		it.Made = old.Made
	}
	s.items[key] = it
	s.publish(it)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Gone: true})
}

func (s *store) publish(ev item) {
	s.events = append(s.events, ev)
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeDelay is the time that an answer takes.
const storeDelay = 4 * time.Millisecond

// ServeHTTP answers the reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, q.Get("path-prefix"), q.Get("after-revision"))
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// pageItems is how many items a page holds at most.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	writeJSON(w, map[string]any{"items": list[:min(len(list), pageItems)], "more": more, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after-revision"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		at, changed, list := s.revision, s.changed, []item{}
		for _, ev := range s.events {
			if ev.Revision > after && strings.HasPrefix(ev.Key, q.Get("path-prefix")) {
				list = append(list, ev)
			}
		}
		s.mu.Unlock()
		if len(list) > 0 || expired {
			writeJSON(w, map[string]any{"events": list, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // The caller may have gone.
}
