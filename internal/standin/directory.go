// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/published"
)

// Bundle is one configuration generation as "canvaspulley pack" writes it: the
// manifest and all values.
type Bundle struct {
	Manifest published.Manifest `json:"manifest"`
	Values   map[string][]byte  `json:"values"`
}

// Directory is a stand-in for the configuration service and the instance list. It
// is read through Views, each of which can be down, stale or delayed independently of
// the others.
type Directory struct {
	mu        sync.Mutex
	values    map[string][]byte
	instances map[string]adapter.Instance
	changed   chan struct{} // Closed and replaced on each change.
}

// watchTimeout is how long a watch waits before it answers 304 Not Modified.
const watchTimeout = 25 * time.Second

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		values:    map[string][]byte{},
		instances: map[string]adapter.Instance{},
		changed:   make(chan struct{}),
	}
}

// Publish stores a generation in the same order as an operator: the values first,
// then the manifest.
func (d *Directory) Publish(b Bundle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range b.Values {
		d.values[k] = v
	}
	d.values[published.ManifestKey] = b.Manifest.Encode()
	d.notifyWatches()
}

// notifyWatches wakes all watches after a change. The caller holds d.mu.
func (d *Directory) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetInstance adds an instance to the list or replaces it.
func (d *Directory) SetInstance(in adapter.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances[in.Name] = in
}

// SetLeaving marks an instance of the list as leaving.
func (d *Directory) SetLeaving(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	in, ok := d.instances[name]
	if ok {
		in.Leaving = true
		d.instances[name] = in
	}
}

// View is one access point to a directory, with its own injected faults.
type View struct {
	dir *Directory

	mu          sync.Mutex
	down        bool
	staleValues map[string][]byte // Values at the time when the view was made stale; nil otherwise.
	staleList   []adapter.Instance
	delayedList delayed[[]adapter.Instance]
	calls       int
}

// NewView returns a view of d without faults.
func NewView(d *Directory) *View { return &View{dir: d} }

// SetDown makes every call through the view fail, or ends that fault.
func (v *View) SetDown(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = on
}

// SetStale freezes what the view returns, or lets it track the directory again.
func (v *View) SetStale(on bool) {
	values, list := v.dir.snapshot()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.staleValues, v.staleList = nil, nil
	if on {
		v.staleValues, v.staleList = values, list
	}
}

// SetListLag makes the instance list lag by d: each read is recorded, and the
// newest recorded list that is at least d old is returned.
func (v *View) SetListLag(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delayedList.lag = d
}

// Calls returns the number of calls through the view so far.
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

// countCall counts a call and returns the frozen values and list of a stale
// view; ok is false when the view is down.
func (v *View) countCall() (stale map[string][]byte, list []adapter.Instance, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	return v.staleValues, v.staleList, !v.down
}

// Handler serves the API of the configuration service and of the instance list.
func (v *View) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", v.get)
	mux.HandleFunc("GET /v1/watch/{key...}", v.watch)
	mux.HandleFunc("GET /v1/instances", v.instances)
	return mux
}

func (v *View) value(key string) (value []byte, changed <-chan struct{}, ok bool) {
	stale, _, ok := v.countCall()
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
	v.writeValue(w, value, ok)
}

func (v *View) writeValue(w http.ResponseWriter, value []byte, ok bool) {
	switch {
	case !ok:
		http.Error(w, "service is down", http.StatusServiceUnavailable)
	case value == nil:
		http.Error(w, "no such key", http.StatusNotFound)
	default:
		_, _ = w.Write(value) // The client may have disconnected.
	}
}

func (v *View) watch(w http.ResponseWriter, r *http.Request) {
	hash := r.URL.Query().Get("hash")
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	for {
		value, changed, ok := v.value(r.PathValue("key"))
		if !ok || value != nil && published.HashOf(value) != hash {
			v.writeValue(w, value, ok)
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
	_, list, ok := v.countCall()
	if !ok {
		http.Error(w, "service is down", http.StatusServiceUnavailable)
		return
	}
	if list == nil {
		_, list = v.dir.snapshot()
		now := time.Now()
		v.mu.Lock()
		v.delayedList.add(now, list)
		list = v.delayedList.get(now)
		v.mu.Unlock()
	}
	writeJSON(w, list)
}
