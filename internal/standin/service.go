// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in for a plain service, such as a catalogue or the API that
// pays refunds. It counts its runs.
type Service struct {
	mu       sync.Mutex
	runs     map[string]int // Runs by the id in the request.
	delay    time.Duration
	noAnswer bool // Requests are run, but the connection is closed without an answer.
}

// NewService returns a service with no runs.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// ServiceAnswer is the answer to one run.
type ServiceAnswer struct {
	ID   string `json:"id"`
	Run  int    `json:"run"` // Number of runs of this id, including this one.
	Echo string `json:"echo"`
}

// RunCounts returns a copy of the numbers of runs by id.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		all[id] = n
	}
	return all
}

// SetDelay sets how long each run takes.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetNoAnswer makes the service run requests and then close the connection
// without an answer, or ends that fault.
func (s *Service) SetNoAnswer(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noAnswer = on
}

// Handler accepts any method and path. It counts the run under the query value
// "id", or under "-" when there is none.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // An incomplete request is not run.
		}
		id := r.URL.Query().Get("id")
		if id == "" {
			id = "-"
		}
		s.mu.Lock()
		s.runs[id]++
		n, delay, mute := s.runs[id], s.delay, s.noAnswer
		s.mu.Unlock()
		time.Sleep(delay)
		if mute {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(ServiceAnswer{ID: id, Run: n, Echo: string(body)})
	})
}
