// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/published"
)

// Bundle is one generation as the tool packs it: the manifest and all values.
type Bundle struct {
	Manifest published.Manifest `json:"manifest"`
	Values   map[string][]byte  `json:"values"`
}

// Directory is the configuration service and the list of instances. Views of
// it can be cut, stale or down, each by itself.
type Directory struct {
	mu        sync.Mutex
	values    map[string][]byte
	instances map[string]adapter.Instance
	changed   chan struct{} // Closed and replaced at each change.
}

// watchTime is how long a watch waits before it answers that nothing changed.
const watchTime = 25 * time.Second

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		values:    map[string][]byte{},
		instances: map[string]adapter.Instance{},
		changed:   make(chan struct{}),
	}
}

// Publish puts a generation in place, as an operator does: values first.
func (d *Directory) Publish(b Bundle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range b.Values {
		d.values[k] = v
	}
	d.values[published.ManifestKey] = b.Manifest.Encode()
	d.wake()
}

// wake tells all watches that something changed; d.mu is held.
func (d *Directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetInstance adds or changes a row of the list.
func (d *Directory) SetInstance(in adapter.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances[in.Name] = in
}

// SetLeaving names an instance as leaving.
func (d *Directory) SetLeaving(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	in, ok := d.instances[name]
	if ok {
		in.Leaving = true
		d.instances[name] = in
	}
}

// View is one way in to a directory, with faults of its own.
type View struct {
	dir *Directory

	mu    sync.Mutex
	down  bool
	stale map[string][]byte // Values as of the moment the view went stale.
	list  []adapter.Instance
	late  late[[]adapter.Instance]
	calls int
}

// NewView returns a faultless view of d.
func NewView(d *Directory) *View { return &View{dir: d} }

// SetDown makes every call through the view fail.
func (v *View) SetDown(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = on
}

// SetStale freezes what the view shows, or lets it follow again.
func (v *View) SetStale(on bool) {
	values, list := v.dir.snapshot()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stale, v.list = nil, nil
	if on {
		v.stale, v.list = values, list
	}
}

// SetListLag makes the list lag: each read is kept, and the newest one that is old
// enough is shown.
func (v *View) SetListLag(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.late.lag = d
}

// Calls returns the number of calls so far.
func (v *View) Calls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

func (d *Directory) snapshot() (values map[string][]byte, list []adapter.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	values = make(map[string][]byte, len(d.values))
	for k, v := range d.values {
		values[k] = v
	}
	for _, in := range d.instances {
		list = append(list, in)
	}
	return values, list
}

// enter counts a call; ok is false when the view is down.
func (v *View) enter() (stale map[string][]byte, list []adapter.Instance, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	return v.stale, v.list, !v.down
}

// Handler serves the configuration service and the list.
func (v *View) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", v.get)
	mux.HandleFunc("GET /v1/watch/{key...}", v.watch)
	mux.HandleFunc("GET /v1/instances", v.instances)
	return mux
}

func (v *View) value(key string) (value []byte, changed <-chan struct{}, ok bool) {
	stale, _, ok := v.enter()
	if !ok {
		return nil, nil, false
	}
	v.dir.mu.Lock()
	defer v.dir.mu.Unlock()
	if stale != nil {
		return stale[key], v.dir.changed, true
	}
	return v.dir.values[key], v.dir.changed, true
}

func (v *View) get(w http.ResponseWriter, r *http.Request) {
	value, _, ok := v.value(r.PathValue("key"))
	v.answer(w, value, ok)
}

func (v *View) answer(w http.ResponseWriter, value []byte, ok bool) {
	switch {
	case !ok:
		http.Error(w, "service is down", http.StatusServiceUnavailable)
	case value == nil:
		http.Error(w, "no such key", http.StatusNotFound)
	default:
		_, _ = w.Write(value) // The reader may be gone.
	}
}

func (v *View) watch(w http.ResponseWriter, r *http.Request) {
	hash := r.URL.Query().Get("hash")
	timer := time.NewTimer(watchTime)
	defer timer.Stop()
	for {
		value, changed, ok := v.value(r.PathValue("key"))
		if !ok || value != nil && published.HashOf(value) != hash {
			v.answer(w, value, ok)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (v *View) instances(w http.ResponseWriter, _ *http.Request) {
	_, list, ok := v.enter()
	if !ok {
		http.Error(w, "service is down", http.StatusServiceUnavailable)
		return
	}
	if list == nil {
		_, list = v.dir.snapshot()
		now := time.Now()
		v.mu.Lock()
		v.late.add(now, list)
		list = v.late.get(now)
		v.mu.Unlock()
	}
	writeJSON(w, list)
}
