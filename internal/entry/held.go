// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/own"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// trialRetry is for a request that another entry is trying: a run takes some seconds.
const trialRetry = 2 * time.Second

// key returns what names the request and all that are the same.
func (req *request) key() quarantine.Key {
	if !req.hasKey {
		req.sameAs = quarantine.KeyOf(req.r.Method, "", req.r.URL.RequestURI(), req.customer.Name, req.body)
		req.hasKey = true
	}
	return req.sameAs
}

// held refuses a request under which, or under others that are the same, endpoints ended, at
// this entry or others. Without it a stream was moved on to as many endpoints as one stream
// may be, and each time its caller came again to as many more.
func (e *Entry) held(req *request) *wire.Refusal {
	known := e.node.Suspects()
	now := e.now()
	v, left := known.Judge(req.key, now)
	switch {
	case v == quarantine.Free, v == quarantine.Trial && req.onTrial:
		req.sending = known.SendingState(req.key, now)
		if req.onTrial {
			req.sending = quarantine.OnTrial
		}
		return nil
	case v == quarantine.Trial && e.ownsTrial(req.key()) && known.BeginTrial(req.key(), now, now.Add(trialTime)):
		req.onTrial, req.sending = true, quarantine.OnTrial
		return nil
	case v == quarantine.Trial:
		left = trialRetry
	}
	e.count("callers.held")
	return wire.Refuse(http.StatusServiceUnavailable, left, "endpoints ended under this request")
}

// trialTime bounds a trial whose entry does not end it.
const trialTime = time.Minute

// ownsTrial reports whether a request that is to be tried at one entry is tried here.
func (e *Entry) ownsTrial(k quarantine.Key) bool {
	self := e.node.Settings().Name
	names := []string{self}
	for _, m := range e.node.Members(func(m member.Member) bool { return isOtherEntry(m, self) }) {
		names = append(names, m.Name)
	}
	return own.Owner(k.String(), names) == self
}

// noteEnd takes in what an attempt that failed says of its endpoint's process.
func (e *Entry) noteEnd(req *request, refusal *wire.Refusal) {
	if refusal.Ended == nil {
		return
	}
	e.count("endpoints.ended-under-attempt")
	e.node.Suspects().RecordEnd(req.key(), refusal.Ended.Incarnation, req.sending, e.now())
	refusal.Ended = nil // It is no matter of the caller's.
}

// ranToEnd takes in that an endpoint ran the request and lives on.
func (e *Entry) ranToEnd(req *request) { e.node.Suspects().RecordSuccess(req.key) }

// endTrial ends a trial of which nothing was learned.
func (e *Entry) endTrial(req *request) {
	if req != nil && req.onTrial {
		e.node.Suspects().EndTrial(req.key())
	}
}
