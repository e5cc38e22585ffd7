// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// trialRetryAfter is the retry delay for a request of which a trial is in progress or belongs to another
// entry: a run takes some seconds.
const trialRetryAfter = 2 * time.Second

// quarantineKey returns the key of the request, which all identical requests share. It is computed once.
func (req *request) quarantineKey() quarantine.Key {
	if !req.keyComputed {
		req.cachedKey = quarantine.KeyOf(req.r.Method, "", req.r.URL.RequestURI(), req.customer.Name, req.body)
		req.keyComputed = true
	}
	return req.cachedKey
}

// checkQuarantine refuses a request if endpoints' processes ended while they ran it or an identical
// request, as seen by this or another entry. Without this check, such a stream was moved to as many
// endpoints as maxStreamAttempts allows, and each retry of its caller ended as many again.
//
// Once such a request may be tried again, the entry that owns its trial lets one through and begins the
// trial. A request that is let through keeps, in knowledgeAtSend, what is known of it at that time.
func (e *Entry) checkQuarantine(req *request) *wire.Refusal {
	suspects := e.node.Suspects()
	now := e.now()
	verdict, retryAfter := suspects.Judge(req.quarantineKey, now)
	switch {
	case verdict == quarantine.Free, verdict == quarantine.Trial && req.onTrial:
		req.knowledgeAtSend = suspects.KnowledgeAtSend(req.quarantineKey, now)
		if req.onTrial {
			req.knowledgeAtSend = quarantine.OnTrial
		}
		return nil
	case verdict == quarantine.Trial && e.ownsTrial(req.quarantineKey()) && suspects.BeginTrial(req.quarantineKey(), now, now.Add(maxTrialTime)):
		req.onTrial, req.knowledgeAtSend = true, quarantine.OnTrial
		return nil
	case verdict == quarantine.Trial:
		retryAfter = trialRetryAfter
	}
	e.count("callers.held")
	return wire.Refuse(http.StatusServiceUnavailable, retryAfter, "endpoints ended under this request")
}

// maxTrialTime is the time after which a trial expires if its entry did not end it.
const maxTrialTime = time.Minute

// ownsTrial reports whether this entry, of all that are alive, is the one that may try the request with key k.
func (e *Entry) ownsTrial(k quarantine.Key) bool {
	self := e.node.Settings().Name
	names := []string{self}
	for _, m := range e.node.Members(func(m member.Member) bool { return isOtherEntry(m, self) }) {
		names = append(names, m.Name)
	}
	return rendezvous.Owner(k.String(), names) == self
}

// recordProcessEnd records that the endpoint's process ended during a failed attempt, if its refusal says
// so. It removes that statement from the refusal.
func (e *Entry) recordProcessEnd(req *request, refusal *wire.Refusal) {
	if refusal.Ended == nil {
		return
	}
	e.count("endpoints.ended-under-attempt")
	e.node.Suspects().RecordEnd(req.quarantineKey(), refusal.Ended.Incarnation, req.knowledgeAtSend, e.now())
	refusal.Ended = nil // Internal: not part of the answer to the caller.
}

// recordSuccess records that an endpoint ran the request and its process is still alive.
func (e *Entry) recordSuccess(req *request) { e.node.Suspects().RecordSuccess(req.quarantineKey) }

// endTrial ends the trial of a request, if it is one: a trial that gave no result would otherwise last
// until it expires. The request is nil if it was not admitted.
func (e *Entry) endTrial(req *request) {
	if req != nil && req.onTrial {
		e.node.Suspects().EndTrial(req.quarantineKey())
	}
}
