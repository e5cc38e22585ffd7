// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package fleet

import "time"

// Call holds what a caller's request says in its headers, besides method, path
// and body.
type Call struct {
	ID                    string        // Of this attempt of the caller; "" when it sent none.
	Key                   string        // API key of the customer; "" when the caller sent none.
	CallerTimeout         time.Duration // How much longer the caller waits.
	HasCallerTimeout      bool          // The caller sent CallerTimeout.
	WeightsVersion        string        // Version of the model weights that it requests; "" for any.
	LastEventID           string        // After which a stream is to be resumed; "" for a new stream.
	PromptTokens          int
	MaxAnswerTokens       int      // Most tokens of the answer that it wants.
	EstimatedAnswerTokens int      // Caller's estimate of the answer's length; 0 for none.
	Model                 string   // "" when the caller named none.
	PromptParts           []string // Ids of the parts of its prompt, in order, without the last one, which no other request shares.
}

// AttemptInfo holds what a gateway adds to a request that it sends to one endpoint.
type AttemptInfo struct {
	EndpointName   string        // The only endpoint that may run the request.
	Customer       string        // "" when the route is public.
	TimeLeft       time.Duration // Until the request's deadline.
	Priority       int           // 0 is the most urgent; -1 for none.
	LastEventID    string        // Event after which the stream continues; "" keeps the caller's value.
	WeightsVersion string        // Version of the model weights that may run the request; "" for any.
}

// Answer holds what an endpoint's answer says in its headers, besides status
// and body.
type Answer struct {
	ID             string // Of the call that is answered.
	Signed         bool   // The answer carries the endpoint's signature.
	NotRun         bool   // The endpoint did not run the request and never will.
	Endpoint       string // Name of the endpoint that answered; "" when not reported.
	BlamedEndpoint string // Endpoint that caused a group's refusal; "" when not reported.
	Encoded        bool   // The body has a Content-Encoding, which callers do not expect.
	WeightsVersion string // Version of the model weights that made the answer; "" when not reported.

	HasRateLimit   bool          // The endpoint announces a rate limit.
	RateLimit      float64       // Requests per second that it accepts from all gateways together; valid if HasRateLimit.
	Backoff        time.Duration // Time for which the endpoint wants no more requests from this gateway; 0 for none.
	Leaving        bool          // The endpoint is leaving and accepts nothing new.
	InvalidHeaders []string      // Headers that are treated as absent since their values are invalid, for the log.
}
