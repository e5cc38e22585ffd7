// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package suspects

import (
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
)

// Paths at the listener for operators.
const (
	PathQuarantine = "/quarantine"         // Lists all suspects.
	PathRelease    = "/quarantine/release" // Releases the suspect with the key in the query.
	QueryKey       = "key"
)

// Suspect describes a request or part with ends, for operators.
type Suspect struct {
	Key         string       `json:"key"`
	Part        bool         `json:"part"`         // It is a part of prompts, not a whole request.
	SoundBefore bool         `json:"sound-before"` // Requests with the part had completed before.
	Verdict     string       `json:"verdict"`
	HeldForMs   int64        `json:"held-for-ms"`
	Ends        []SuspectEnd `json:"ends"`
}

// SuspectEnd describes the end of an endpoint.
type SuspectEnd struct {
	Endpoint string `json:"endpoint"`
	AgeMs    int64  `json:"age-ms"`
	Known    string `json:"known"`   // What was known of the suspect when the request was sent.
	Void     bool   `json:"void"`    // A request with the suspect completed later, or the endpoint was alive.
	Counted  bool   `json:"counted"` // False also if another suspect explains the end.
}

// List returns all suspects, the ones with the strictest verdict first.
func (s *Set) List(now time.Time) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Suspect{}
	for _, one := range s.history.Suspects(now) {
		out := Suspect{
			Key: one.Key.String(), Part: one.Part, SoundBefore: one.SoundBefore,
			Verdict: one.Verdict.String(), HeldForMs: one.Remaining.Milliseconds(),
		}
		for _, e := range one.Ends {
			out.Ends = append(out.Ends, SuspectEnd{Endpoint: e.Endpoint, AgeMs: now.Sub(e.At).Milliseconds(), Known: e.Knowledge.String(), Void: e.Void, Counted: e.Counted})
		}
		list = append(list, out)
	}
	return list
}

// ListHeld returns the suspects that are held or on trial.
func (s *Set) ListHeld(now time.Time) []Suspect {
	return slices.DeleteFunc(s.List(now), func(one Suspect) bool { return one.Verdict == quarantine.Free.String() })
}

// Release clears a suspect here and, by the next message, at all other processes. It reports whether any
// end counted against the suspect.
func (s *Set) Release(k quarantine.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.history.RecordCompletion(k) {
		return false
	}
	s.log.Warn("suspect released by an operator", zap.Stringer("key", k))
	s.notifyPending()
	return true
}

// AddHandlers adds the handlers for operators. The function now returns the time by which ends are
// recorded.
func (s *Set) AddHandlers(mux *http.ServeMux, now func() time.Time) {
	mux.HandleFunc("GET "+PathQuarantine, func(w http.ResponseWriter, _ *http.Request) { httpjson.Reply(w, s.List(now())) })
	mux.HandleFunc("POST "+PathRelease, func(w http.ResponseWriter, r *http.Request) {
		raw, err := hex.DecodeString(r.URL.Query().Get(QueryKey))
		switch {
		case err != nil || len(raw) != len(quarantine.Key{}):
			http.Error(w, "key is not one of "+PathQuarantine, http.StatusBadRequest)
		case !s.Release(quarantine.Key(raw)):
			http.Error(w, "no end counts against this key", http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
}
