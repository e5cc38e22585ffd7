// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package fleet

import "time"

// Call is what a caller's request says about itself, besides its method, path
// and body.
type Call struct {
	ID                    string // Of this try of the caller; "" when it sent none.
	Key                   string // Customer's key; "" when it sent none.
	CallerTimeout         time.Duration
	HasCallerTimeout      bool   // Patience was sent.
	WeightsVersion        string // Version of the weights that it asks for; "" for any.
	LastEventID           string
	PromptTokens          int
	MaxAnswerTokens       int    // The most that it wants.
	EstimatedAnswerTokens int    // Caller's guess of the answer's length; 0 when none.
	PromptPrefix          string // First part of its prompt, which many requests share.
}

// AttemptInfo is what a gateway adds to a request for one endpoint.
type AttemptInfo struct {
	EndpointName   string // The only endpoint that may run it.
	Customer       string // "" when the route is public.
	TimeLeft       time.Duration
	Priority       int    // 0 is the most urgent; -1 for none.
	LastEventID    string // Id after which a stream goes on; "" for what the caller said.
	WeightsVersion string // Version of the weights that may run it; "" for any.
}

// Answer is what an endpoint's answer says about itself, besides its status
// and body.
type Answer struct {
	ID             string // Of the call that it answers.
	Signed         bool   // It carries the endpoint's signature.
	NotRun         bool   // The endpoint did not run the request and never will.
	Endpoint       string // Of the endpoint that answered, when told.
	BlamedEndpoint string // Endpoint that a group's refusal is blamed on, when told.
	Encoded        bool   // The body is not in the form that callers expect.
	WeightsVersion string // Version of the weights that made it, when told.

	HasRateLimit   bool          // The endpoint names a rate limit.
	RateLimit      float64       // Requests a second that it takes from all gateways together; where it is limited.
	Backoff        time.Duration // For which the endpoint wants nothing more from this gateway; 0 when it does not ask.
	Leaving        bool          // The endpoint leaves: it wants nothing new.
	InvalidHeaders []string      // Headers that are taken as absent since their values are not valid, for the log.
}
