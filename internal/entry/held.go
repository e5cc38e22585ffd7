// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// trialRetryAfter is the retry delay for a request of which a trial is in progress or belongs to another
// entry: a run takes some seconds.
const trialRetryAfter = 2 * time.Second

// setParts sets the parts of the prompt that other requests may share: all messages but the last.
func (req *request) setParts(model string, messages []chatMessage) {
	req.parts = make([]quarantine.Key, 0, len(messages))
	for _, m := range messages[:len(messages)-1] {
		req.parts = append(req.parts, quarantine.PartKeyOf(model, m.Role+"\x00"+m.Content))
	}
}

// subjects returns what may cause the end of an endpoint that runs the request.
func (req *request) subjects() suspects.Subjects {
	return suspects.Subjects{Whole: req.quarantineKey, Parts: req.parts}
}

// quarantineKey returns the key of the request, which all identical requests share. It is computed once.
func (req *request) quarantineKey() quarantine.Key {
	if !req.keyComputed {
		req.cachedKey = quarantine.KeyOf(req.r.Method, "", req.r.URL.RequestURI(), req.customer.Name, req.body)
		req.keyComputed = true
	}
	return req.cachedKey
}

// checkQuarantine refuses a request if endpoints' processes ended while they ran it, an identical
// request, or one with the same part, as seen by this or another entry. Without this check, such a stream
// was moved to as many endpoints as maxStreamAttempts allows, and each retry of its caller ended as many
// again.
//
// Once such a request may be tried again, the entry that owns its trial lets one through and begins the
// trial. A request that is let through keeps, in known, what is known of it at that time.
func (e *Entry) checkQuarantine(req *request) *wire.Refusal {
	set := e.node.Suspects()
	now := e.now()
	j := set.Judge(req.subjects(), now)
	switch {
	case j.Verdict == quarantine.Free, j.Verdict == quarantine.Trial && len(req.trialKeys) > 0:
	case j.MayTry && e.ownsTrial(j.Keys[0]) && set.BeginTrial(j.Keys, now, now.Add(maxTrialTime)):
		req.trialKeys = j.Keys
	default:
		if j.Verdict == quarantine.Trial {
			j.Remaining = trialRetryAfter
		}
		e.count("callers.held")
		return wire.Refuse(http.StatusServiceUnavailable, j.Remaining, "endpoints ended under this request")
	}
	req.known = set.KnownAtSend(req.subjects(), req.trialKeys, now)
	return nil
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
	attempt := suspects.Attempt{Whole: req.quarantineKey(), Parts: req.parts, Known: req.known}
	e.node.Suspects().RecordEnds(refusal.Ended.Incarnation, []suspects.Attempt{attempt}, e.now())
	refusal.Ended = nil // Internal: not part of the answer to the caller.
}

// recordSuccess records that an endpoint ran the request and its process is still alive.
func (e *Entry) recordSuccess(req *request) { e.node.Suspects().RecordSuccess(req.subjects(), e.now()) }

// endTrial ends the trial of a request, if it is one: a trial that gave no result would otherwise last
// until it expires. The request is nil if it was not admitted.
func (e *Entry) endTrial(req *request) {
	if req != nil {
		e.node.Suspects().EndTrial(req.trialKeys)
	}
}
