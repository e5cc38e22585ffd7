// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a plain service that counts its runs: a catalogue, or the API
// that pays refunds.
type Service struct {
	mu    sync.Mutex
	runs  map[string]int // Runs by the id in the request.
	delay time.Duration
	mute  bool // Takes the request, runs it and closes without an answer.
}

// NewService returns a service with no runs.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// ServiceAnswer is the answer to one run.
type ServiceAnswer struct {
	ID   string `json:"id"`
	Run  int    `json:"run"` // How often this id has run, this time included.
	Echo string `json:"echo"`
}

// RunCounts returns a copy of all counts.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		all[id] = n
	}
	return all
}

// SetDelay makes each run take that long.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetNoAnswer makes the service run requests and close without an answer.
func (s *Service) SetNoAnswer(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = on
}

// Handler serves the service: any method and path; the run is counted under
// the query value "id", and under "-" without one.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // Half a request is not run.
		}
		id := r.URL.Query().Get("id")
		if id == "" {
			id = "-"
		}
		s.mu.Lock()
		s.runs[id]++
		n, delay, mute := s.runs[id], s.delay, s.mute
		s.mu.Unlock()
		time.Sleep(delay)
		if mute {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(ServiceAnswer{ID: id, Run: n, Echo: string(body)})
	})
}
