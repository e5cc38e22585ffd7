// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/canvaspulley/canvaspulley/internal/decide/balance"
	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/decide/rendezvous"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// suspicion is the state of a request that may make endpoints end.
type suspicion struct {
	quarantineKey  quarantine.Key
	hasKey         bool             // quarantineKey is computed.
	parts          []quarantine.Key // Of the parts of its prompt; nil until computed.
	endedEndpoints int              // Endpoints that ended during its attempts.
	trialKeys      []quarantine.Key // It is sent to find out whether these still make endpoints end; empty if it is no trial.
	quarantinedFor time.Duration    // Time for which it must not be sent; 0 if it may be.
	// quarantineCause describes, for the log, why it must not be sent.
	quarantineCause string
}

// Suspects returns what this gateway knows of requests and parts during which endpoints ended.
func (g *Gateway) Suspects() *suspects.Set { return g.suspects }

// key returns the quarantine key, which is the same for identical requests.
func (q *request) key() quarantine.Key {
	if q.hasKey {
		return q.quarantineKey
	}
	customer := ""
	if q.customer != nil {
		customer = q.customer.Name
	}
	q.quarantineKey, q.hasKey = quarantine.KeyOf(q.r.Method, q.r.Host, q.r.RequestURI, customer, q.body), true
	return q.quarantineKey
}

// partKeys returns the keys of the parts of the prompt.
func (q *request) partKeys() []quarantine.Key {
	if len(q.call.PromptParts) == 0 || q.parts != nil {
		return q.parts
	}
	q.parts = make([]quarantine.Key, 0, len(q.call.PromptParts))
	for _, id := range q.call.PromptParts {
		q.parts = append(q.parts, quarantine.PartKeyOf(q.call.Model, id))
	}
	return q.parts
}

// subjects returns what may cause the end of an endpoint that runs the request.
func (q *request) subjects() suspects.Subjects {
	return suspects.Subjects{Whole: q.key, Parts: q.partKeys()}
}

// noteUnfinished records that an attempt at an endpoint did not come to its end.
func (q *request) noteUnfinished(e fleet.Endpoint) {
	q.g.unfinished.note(e.ID, unfinishedAttempt{
		Attempt: suspects.Attempt{Whole: q.key(), Parts: q.partKeys(), Known: q.known}, endedAt: time.Now(),
	})
}

// recordCompletion records that an endpoint ran the request and is still running.
func (q *request) recordCompletion() {
	q.attemptFinished = true
	q.g.recordAnswerTime(q.route.Name, time.Since(q.sentAt))
	q.g.suspects.RecordSuccess(q.subjects(), q.g.cfg.Now())
}

// checkEndpointEnded checks whether the endpoint of an attempt that was cut with err has ended. If
// so, it counts the end, records the attempt as unfinished, and records the end as that of the
// endpoint.
func (q *request) checkEndpointEnded(e fleet.Endpoint, err error) (ended bool) {
	if !closedByPeer(err) || !q.g.refusesConnections(q.ctx, e, maxIdleNonRepeatable) {
		return false
	}
	q.endedEndpoints++
	q.g.stats.endedDuringAttempt.Inc(1)
	q.note(e.ID + ": process has ended")
	q.noteUnfinished(e)
	q.g.recordEndpointEnd(e)
	return true
}

// checkEndedLater is called after an attempt at an endpoint remained unfinished. It schedules a
// check, after EndCheckDelay, whether the endpoint's process has ended. An immediate check could
// miss that: the endpoint may have dropped the answer before it closed its listener, or the gateway
// may have aborted the attempt before the endpoint closed its listener. One check covers all
// attempts within the delay.
//
// A healthy pooled connection that has been idle for up to maxIdleRepeatable counts as a sign that
// the process still runs; only without one is a new connection opened.
func (g *Gateway) checkEndedLater(e fleet.Endpoint) {
	if !g.unfinished.beginCheck(e.ID) {
		return
	}
	g.endChecks.Go(func() error {
		wait.For(context.Background(), g.cfg.EndCheckDelay)
		g.unfinished.endCheck(e.ID)
		duty.RunRecovered("look", g.log, g.stats.reg, func() {
			if g.refusesConnections(context.Background(), e, maxIdleRepeatable) {
				g.recordEndpointEnd(e)
			}
		})
		return nil // recordEndpointEnd records the result.
	})
}

// recordEndpointEnd records that an endpoint's process has ended: the requests of its recent
// unfinished attempts are suspected of having ended it, unless the end was planned. In either case
// these attempts are forgotten.
func (g *Gateway) recordEndpointEnd(e fleet.Endpoint) {
	list := g.unfinished.take(e.ID, time.Now())
	if listed, ok := g.view.State().Endpoints[e.ID]; ok && g.isLeaving(listed) {
		return
	}
	if len(list) == 0 {
		return
	}
	attempts := make([]suspects.Attempt, 0, len(list))
	for _, u := range list {
		attempts = append(attempts, u.Attempt)
	}
	g.suspects.RecordEnds(e.ID, attempts, g.cfg.Now())
}

// trialInProgressRetry applies to a request that is on trial at another gateway: a run takes about
// a second.
const trialInProgressRetry = time.Second

// checkQuarantined reports whether the request must not be sent, since endpoints ended while running
// it, identical requests, or requests that share a part of its prompt, here or at other gateways. It sets
// quarantinedFor. If a trial is due that runs at this gateway, it begins the trial and the request may be
// sent.
//
// Without quarantine, each attempt, each gateway and each retry by the caller cost one more
// endpoint, and its group about five seconds. On one simulated day, a group was down for three
// of every five seconds.
func (q *request) checkQuarantined() bool {
	now := q.g.cfg.Now()
	j := q.g.suspects.Judge(q.subjects(), now)
	q.quarantinedFor = 0
	switch {
	case j.Verdict == quarantine.Free, j.Verdict == quarantine.Trial && len(q.trialKeys) > 0:
		return false
	case j.MayTry && q.g.ownsTrial(j.Keys[0]) && q.g.suspects.BeginTrial(j.Keys, now, now.Add(q.remaining())):
		q.trialKeys = j.Keys
		return false
	case j.Verdict == quarantine.Trial:
		j.Remaining = trialInProgressRetry
	}
	q.quarantinedFor, q.quarantineCause = j.Remaining, q.describeQuarantine(j)
	return true
}

// onlyOneIfSuspected returns the one candidate to which all gateways send requests with a part of this
// request's prompt, if an endpoint ended during an earlier request with it. If the part ends this endpoint,
// too, requests that arrive at other gateways at the same time end no others.
func (q *request) onlyOneIfSuspected(list []balance.Candidate) []balance.Candidate {
	part, ok := q.g.suspects.Suspected(q.subjects(), q.g.cfg.Now())
	if !ok || len(list) < 2 {
		return list
	}
	names := make([]string, 0, len(list))
	for _, c := range list {
		names = append(names, c.ID)
	}
	i := slices.Index(names, rendezvous.Owner(part.String(), names))
	return list[i : i+1]
}

// describeQuarantine describes a verdict for the log, with the ids of the parts that it is about.
func (q *request) describeQuarantine(j quarantine.Judgement) string {
	var ids []string
	for i, k := range q.partKeys() {
		if slices.Contains(j.Keys, k) {
			ids = append(ids, q.call.PromptParts[i]+" (key "+k.String()+")")
		}
	}
	if len(ids) == 0 {
		return "quarantined, endpoints ended while running it"
	}
	return "quarantined, endpoints ended while running requests with part " + strings.Join(ids, ", ")
}

// recordSending records the time at which the request is sent, and what is known then of earlier
// ends.
func (q *request) recordSending() {
	q.sentBoottime = q.g.cfg.Now()
	q.known = q.g.suspects.KnownAtSend(q.subjects(), q.trialKeys, q.sentBoottime)
}

// ownsTrial reports whether trials of a key run at this gateway. They take place at one gateway
// only; without peers it is this one.
func (g *Gateway) ownsTrial(k quarantine.Key) bool {
	var owner func(quarantine.Key) bool
	duty.Locked(&g.mu, func() { owner = g.ownsTrialKey })
	return owner == nil || owner(k)
}

// closedByPeer reports whether the other side closed a connection, as a process that ends does. A
// connection that merely fell silent shows nothing, and checking its peer may take long.
func closedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, errAmbiguousEnd, errPartialEvent, unix.ECONNRESET, unix.EPIPE)
}

// refusesConnections reports whether an endpoint's address refuses connections, which means that
// its process has ended. An endpoint that only dropped one answer still accepts them, and so does a
// rank whose group was cut because another rank ended. A healthy idle connection of the pool, used
// within maxIdle, counts as accepted, too. The connection is kept for the next request.
func (g *Gateway) refusesConnections(ctx context.Context, e fleet.Endpoint, maxIdle time.Duration) bool {
	conn, err := g.pool.Get(ctx, e.ID, e.Address, maxIdle)
	if err != nil {
		return connectionRefused(err)
	}
	g.pool.Put(conn)
	return false
}

// connectionRefused reports whether err means that a connection was refused.
func connectionRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }
