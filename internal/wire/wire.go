// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package wire is the messages that the system's own processes exchange, and
// the names of the headers that callers see. Messages are JSON over HTTP; the
// package holds types and their checks, and no transport.
package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers that callers and the system exchange.
const (
	HeaderOutcome  = "Canvaspulley-Outcome"     // On every answer: an Outcome.
	HeaderRequest  = "Canvaspulley-Request"     // On every answer: the request id.
	HeaderReason   = "Canvaspulley-Reason"      // On every answer that is not done.
	HeaderClass    = "Canvaspulley-Class"       // From the caller: input of policies.
	HeaderDeadline = "Canvaspulley-Deadline-Ms" // From the caller: milliseconds from now.
	HeaderKey      = "Idempotency-Key"          // From the caller.
	HeaderResume   = "Last-Event-ID"            // From the caller: last event of a cut stream.
	HeaderEnvelope = "Canvaspulley-Envelope"    // Entry to agent: an Envelope in JSON.
	HeaderLoad     = "Canvaspulley-Load"        // Agent to entry: a Load in JSON.
)

// Paths of the peer listener.
const (
	PathRun      = "/peer/v1/run"
	PathOutcome  = "/peer/v1/outcome"
	PathGossip   = "/peer/v1/gossip"
	PathProbe    = "/peer/v1/probe"
	PathManifest = "/peer/v1/config/manifest"
	PathValues   = "/peer/v1/config/values"
	PathSwitch   = "/peer/v1/switch"
	PathBorrow   = "/peer/v1/borrow"
	PathCache    = "/peer/v1/kv/"
)

// Limits of what is read from callers and peers, in bytes.
const (
	MaxBodyBytes     = 8 << 20
	MaxEnvelopeBytes = 16 << 10
	MaxMessageBytes  = 256 << 10
)

// Outcome is what a caller is told of a request.
type Outcome string

// The outcomes. A request that is streaming has none yet.
const (
	Done    Outcome = "done"    // The whole answer was given.
	NotRun  Outcome = "not-run" // Nothing was started and nothing will be.
	Unknown Outcome = "unknown" // It may have run.
)

// Kind is what an envelope carries.
type Kind string

// The kinds of requests.
const (
	KindStream Kind = "stream" // Work for a model engine; the answer is a stream of tokens.
	KindCall   Kind = "call"   // A call of a plain service; the answer is whole.
)

// Envelope goes with each request from an entry to an agent.
type Envelope struct {
	ID             string  `json:"id"` // Request id, '~' and the number of the attempt.
	Kind           Kind    `json:"kind"`
	Endpoint       string  `json:"endpoint"` // Slot the entry means; an agent of another slot refuses.
	Customer       string  `json:"customer"`
	Weight         float64 `json:"weight"`
	Class          string  `json:"class,omitempty"`
	Priority       int     `json:"priority"`
	Key            string  `json:"key,omitempty"`      // Idempotency key, "" when there is none.
	DeadlineMS     int64   `json:"deadline,omitempty"` // Unix milliseconds; 0 when there is none.
	Offset         int     `json:"offset,omitempty"`   // First token wanted; the engine resumes there.
	Method         string  `json:"method,omitempty"`
	Path           string  `json:"path,omitempty"`
	ContentType    string  `json:"type,omitempty"`     // Content type of the body.
	NoRetry        bool    `json:"once,omitempty"`     // The request may not be repeated.
	CacheAddress   string  `json:"cache_at,omitempty"` // Peer address of an agent whose engine holds the KV cache.
	CacheAttemptID string  `json:"cache_id,omitempty"` // Attempt under which it holds it.
}

// Deadline returns the caller's deadline; ok is false when there is none.
func (e *Envelope) Deadline() (t time.Time, ok bool) {
	if e.DeadlineMS == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(e.DeadlineMS), true
}

// ParseEnvelope decodes and checks the header of a request from an entry.
func ParseEnvelope(text string) (e *Envelope, err error) {
	defer func() { err = errors.Wrap(err, "envelope") }()
	if len(text) > MaxEnvelopeBytes {
		return nil, errors.Newf("%d bytes is larger than %d", len(text), MaxEnvelopeBytes)
	}
	e = &Envelope{}
	if err := json.Unmarshal([]byte(text), e); err != nil {
		return nil, err
	}
	switch {
	case e.ID == "" || len(e.ID) > 64:
		return nil, errors.New("bad request id")
	case e.Kind != KindStream && e.Kind != KindCall:
		return nil, errors.Newf("unknown kind %q", e.Kind)
	case e.Endpoint == "":
		return nil, errors.New("no endpoint")
	case e.Offset < 0 || e.DeadlineMS < 0:
		return nil, errors.New("negative number")
	case !(e.Weight > 0):
		return nil, errors.New("weight must be above 0")
	}
	return e, nil
}

// Refusal is an agent's or entry's answer to a request that it gives up on.
type Refusal struct {
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	Status       int     `json:"status"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	Replay       *Replay `json:"-"` // The first run's answer; only with Done.
	Ended        *Ended  `json:"ended,omitempty"`
}

// Ended tells that the endpoint's process ended while it ran a request.
type Ended struct {
	Incarnation string `json:"life"` // Names the life that ended, among all endpoints.
}

// Replay is the answer of an earlier run, given again.
type Replay struct {
	ContentType string
	Body        []byte
}

// OutcomeRequest asks an agent whether an attempt was run, and forbids it if
// it was not.
type OutcomeRequest struct {
	ID string `json:"id"`
}

// OutcomeReply is the agent's word.
type OutcomeReply struct {
	Outcome Outcome `json:"outcome"` // NotRun or Unknown.
}

// Error makes a Refusal an error.
func (r *Refusal) Error() string { return string(r.Outcome) + ": " + r.Reason }

// Refuse returns a refusal of a request of which nothing was started.
func Refuse(status int, after time.Duration, reason string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Status: status, RetryAfterMS: after.Milliseconds()}
}

// Doubt returns the answer for a request that may have run.
func Doubt(status int, reason string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Status: status}
}

// Write sends r as a whole HTTP answer, with its length.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, r.Reason)
	contentType, body := "application/json", []byte(nil)
	if r.Replay != nil {
		contentType, body = r.Replay.ContentType, r.Replay.Body
	} else {
		body, _ = json.Marshal(r) // A Refusal always has a JSON form.
		body = append(body, '\n')
	}
	if r.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt((r.RetryAfterMS+999)/1000, 10))
	}
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body) // The caller may be gone.
}

// ValuesRequest asks a peer for published values by their hashes.
type ValuesRequest struct {
	Hashes []string `json:"hashes"`
}

// ValuesReply holds as many of the values as fit into one message.
type ValuesReply struct {
	Values [][]byte `json:"values"`
}

// BorrowRequest asks a peer entry for a part of a customer's limit.
type BorrowRequest struct {
	Customer      string  `json:"customer"`
	RatePerSecond float64 `json:"rate"` // Requests a second wanted.
}

// BorrowReply says how much the peer lends for a lease of the package limit.
type BorrowReply struct {
	RatePerSecond float64 `json:"rate"`
}

// Load is what an agent knows of its endpoint, sent with every answer.
type Load struct {
	Running          int     `json:"run"`            // Requests at the endpoint.
	Queued           int     `json:"q"`              // Requests in the agent's queue.
	ConcurrencyLimit int     `json:"lim"`            // Requests the agent lets in at once.
	MeanStepMS       float64 `json:"step,omitempty"` // Mean engine step, in milliseconds.
	StepNumber       uint64  `json:"n,omitempty"`    // Engine step number.
	Leaving          bool    `json:"leave,omitempty"`
	Stalled          bool    `json:"stall,omitempty"` // The engine group stands still.
	BackoffMS        int64   `json:"rest,omitempty"`  // For how long the endpoint wants nothing.
}

// EncodeLoad returns l as a header value.
func EncodeLoad(l Load) string {
	raw, err := json.Marshal(l)
	if err != nil {
		return "" // Only reached for a step time that is not a number.
	}
	return string(raw)
}

// ParseLoad decodes a load header; ok is false when there is none.
func ParseLoad(text string) (l Load, ok bool) {
	if text == "" || len(text) > MaxEnvelopeBytes || json.Unmarshal([]byte(text), &l) != nil {
		return Load{}, false
	}
	return l, true
}
