// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package wire defines the messages that the system's own processes exchange and the names of the
// headers that callers see. Messages are JSON over HTTP. The package holds types and their
// validation, but no transport.
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
	HeaderReason   = "Canvaspulley-Reason"      // On every answer whose outcome is not Done.
	HeaderClass    = "Canvaspulley-Class"       // From the caller: an input of policies.
	HeaderDeadline = "Canvaspulley-Deadline-Ms" // From the caller: deadline in milliseconds from now.
	HeaderKey      = "Idempotency-Key"          // From the caller: the idempotency key.
	HeaderResume   = "Last-Event-ID"            // From the caller: id of the last event received of an interrupted stream.
	HeaderEnvelope = "Canvaspulley-Envelope"    // From entry to agent: an Envelope in JSON.
	HeaderLoad     = "Canvaspulley-Load"        // From agent to entry: a Load in JSON.
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

// Limits on the size of what is read from callers and peers.
const (
	MaxBodyBytes     = 8 << 20
	MaxEnvelopeBytes = 16 << 10
	MaxMessageBytes  = 256 << 10
)

// Outcome states what became of a request. It is reported to the caller.
type Outcome string

// The outcomes. A request whose answer is still being streamed has none.
const (
	Done    Outcome = "done"    // The complete answer was returned.
	NotRun  Outcome = "not-run" // The request was not started and will not be.
	Unknown Outcome = "unknown" // The request may have run.
)

// Kind is the kind of request that an envelope carries.
type Kind string

// The kinds of requests.
const (
	KindStream Kind = "stream" // A request to a model engine; the answer is a stream of tokens.
	KindCall   Kind = "call"   // A call of a plain service; the answer is sent in one piece.
)

// Envelope accompanies each request from an entry to an agent.
type Envelope struct {
	ID             string  `json:"id"` // Request id, '~' and the number of the attempt.
	Kind           Kind    `json:"kind"`
	Endpoint       string  `json:"endpoint"` // Endpoint that the entry selected; the agent of another endpoint rejects the request.
	Customer       string  `json:"customer"`
	Weight         float64 `json:"weight"`
	Class          string  `json:"class,omitempty"`
	Priority       int     `json:"priority"`
	Key            string  `json:"key,omitempty"`      // Idempotency key; "" if there is none.
	DeadlineMS     int64   `json:"deadline,omitempty"` // Unix milliseconds; 0 if there is none.
	Offset         int     `json:"offset,omitempty"`   // Index of the first token wanted; the engine resumes there.
	Method         string  `json:"method,omitempty"`
	Path           string  `json:"path,omitempty"`
	ContentType    string  `json:"type,omitempty"`     // Of the body.
	NoRetry        bool    `json:"once,omitempty"`     // The request must not be retried.
	CacheAddress   string  `json:"cache_at,omitempty"` // Peer address of an agent whose engine holds the request's KV cache.
	CacheAttemptID string  `json:"cache_id,omitempty"` // Id of the attempt under which that engine holds it.
}

// Deadline returns the caller's deadline; ok is false if there is none.
func (e *Envelope) Deadline() (t time.Time, ok bool) {
	if e.DeadlineMS == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(e.DeadlineMS), true
}

// ParseEnvelope decodes and validates the envelope of a request from an entry.
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

// Refusal is the answer of an agent or entry to a request that it does not complete.
type Refusal struct {
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	Status       int     `json:"status"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	Replay       *Replay `json:"-"` // Answer of the first run; only with Done.
	Ended        *Ended  `json:"ended,omitempty"`
}

// Ended reports that the endpoint's process ended while it ran a request.
type Ended struct {
	Incarnation string `json:"life"` // Identifies the process that ended, among all endpoints.
}

// Replay is the answer of an earlier run of a request, returned again.
type Replay struct {
	ContentType string
	Body        []byte
}

// OutcomeRequest asks an agent whether it ran an attempt, and makes it reject the attempt from then
// on if it did not.
type OutcomeRequest struct {
	ID string `json:"id"`
}

// OutcomeReply is the agent's answer to an OutcomeRequest.
type OutcomeReply struct {
	Outcome Outcome `json:"outcome"` // NotRun or Unknown.
}

// Error implements the error interface.
func (r *Refusal) Error() string { return string(r.Outcome) + ": " + r.Reason }

// Refuse returns a Refusal of a request that was not started.
func Refuse(status int, retryAfter time.Duration, reason string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Status: status, RetryAfterMS: retryAfter.Milliseconds()}
}

// RefuseUnknown returns a Refusal for a request that may have run.
func RefuseUnknown(status int, reason string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Status: status}
}

// Write sends r as a complete HTTP response with a Content-Length.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, r.Reason)
	contentType, body := "application/json", []byte(nil)
	if r.Replay != nil {
		contentType, body = r.Replay.ContentType, r.Replay.Body
	} else {
		body, _ = json.Marshal(r) // Encoding a Refusal cannot fail.
		body = append(body, '\n')
	}
	if r.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt((r.RetryAfterMS+999)/1000, 10))
	}
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body) // The caller may have disconnected.
}

// ValuesRequest asks a peer for published values with the given hashes.
type ValuesRequest struct {
	Hashes []string `json:"hashes"`
}

// ValuesReply holds as many of the requested values as fit into one message.
type ValuesReply struct {
	Values [][]byte `json:"values"`
}

// BorrowRequest asks a peer entry to lend a share of a customer's rate limit.
type BorrowRequest struct {
	Customer      string  `json:"customer"`
	RatePerSecond float64 `json:"rate"` // Requests per second wanted.
}

// BorrowReply states how much the peer lends for the duration of a lease of package limit.
type BorrowReply struct {
	RatePerSecond float64 `json:"rate"`
}

// Load is an agent's view of its endpoint, sent with every answer.
type Load struct {
	Running          int     `json:"run"`            // Requests running at the endpoint.
	Queued           int     `json:"q"`              // Requests in the agent's queue.
	ConcurrencyLimit int     `json:"lim"`            // Requests that the agent admits at the same time.
	MeanStepMS       float64 `json:"step,omitempty"` // Mean duration of an engine step, in milliseconds.
	StepNumber       uint64  `json:"n,omitempty"`    // Number of the engine's current step.
	Leaving          bool    `json:"leave,omitempty"`
	Stalled          bool    `json:"stall,omitempty"` // The engine's group is stalled.
	BackoffMS        int64   `json:"rest,omitempty"`  // Remaining time for which the endpoint requests backoff, in milliseconds.
}

// EncodeLoad returns l as a header value.
func EncodeLoad(l Load) string {
	raw, err := json.Marshal(l)
	if err != nil {
		return "" // Only reached if MeanStepMS is NaN or infinite.
	}
	return string(raw)
}

// ParseLoad decodes a load header; ok is false if it is missing or invalid.
func ParseLoad(text string) (l Load, ok bool) {
	if text == "" || len(text) > MaxEnvelopeBytes || json.Unmarshal([]byte(text), &l) != nil {
		return Load{}, false
	}
	return l, true
}
