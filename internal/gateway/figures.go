// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// gatewayMetrics are the metrics of a gateway.
type gatewayMetrics struct {
	reg                   metrics.Registry
	dialed                metrics.Counter      // New connections to endpoints.
	retries               metrics.Counter      // Requests sent to a further endpoint; those of each cause have a counter as well.
	retriesDenied         metrics.Counter      // Retries denied because the service's budget was exhausted.
	exhaustedBudgets      metrics.Gauge        // Services whose retry budget is exhausted.
	waited                metrics.Counter      // Requests that waited for capacity.
	moved                 metrics.Counter      // Requests moved away from slow ranks.
	interruptedStreams    metrics.Counter      // Streams cut after their answer had begun, whether or not they were continued.
	heldForGroup          metrics.Counter      // Requests that waited for a group of ranks to open.
	silentAttempts        metrics.Counter      // Attempts aborted because no data arrived, and continued elsewhere.
	sentToCold            metrics.Counter      // Requests sent to endpoints that count as cold.
	limitPerRank          metrics.GaugeFloat64 // Requests per rank, on average, last announced by a group's leader.
	backingOff            metrics.Gauge        // Endpoints that have requested backoff from this gateway.
	leaving               metrics.Gauge        // Endpoints that have announced in an answer that they are leaving.
	sentToBackingOff      metrics.Counter      // Requests sent to endpoints during their backoff.
	sentToLeaving         metrics.Counter      // Requests sent to endpoints that have announced that they are leaving.
	limited               metrics.Gauge        // Endpoints that have announced a rate limit.
	sentToLimited         metrics.Counter      // Requests sent to endpoints that have announced a rate limit.
	throttled             metrics.Counter      // Requests refused because all endpoints were at their rate limits.
	sharesAsked           metrics.Counter      // Requests to other gateways for their shares of rate limits; metric names call shares parts.
	sharesBorrowed        metrics.Counter      // Grants of such shares that were received.
	sharesLent            metrics.Counter      // Grants of such shares that were sent.
	sharesInvalid         metrics.Counter      // Messages about shares that were ignored as invalid.
	invalidHeaders        metrics.Counter      // Invalid headers of answers that were ignored.
	malformedHeads        metrics.Counter      // Answers whose head or trailer is not one of the protocol.
	evacuatedDomains      metrics.Gauge        // Failure domains that are evacuated.
	continuationsRejected metrics.Counter      // Answers and events that did not continue a cut stream at its position.
	endedDuringAttempt    metrics.Counter      // Attempts cut because their endpoint ended.
	firstByteMs           metrics.Histogram    // Milliseconds until the answer or its first event.
	loadAgeMs             metrics.Histogram    // Age of an endpoint's load report, in ms, when a request is sent there.
}

// histogramSize is the number of samples that a histogram keeps.
const histogramSize = 512

func newGatewayMetrics(reg metrics.Registry) *gatewayMetrics {
	return &gatewayMetrics{
		reg:                   reg,
		dialed:                metrics.GetOrRegisterCounter("gateway.connections", reg),
		retries:               metrics.GetOrRegisterCounter("gateway.repeats", reg),
		retriesDenied:         metrics.GetOrRegisterCounter("gateway.repeats-denied", reg),
		exhaustedBudgets:      metrics.GetOrRegisterGauge("gateway.repeat-budgets-exhausted", reg),
		waited:                metrics.GetOrRegisterCounter("gateway.waited", reg),
		moved:                 metrics.GetOrRegisterCounter("gateway.moved", reg),
		interruptedStreams:    metrics.GetOrRegisterCounter("gateway.resumed", reg),
		heldForGroup:          metrics.GetOrRegisterCounter("gateway.held-for-group", reg),
		silentAttempts:        metrics.GetOrRegisterCounter("gateway.silent-tries", reg),
		sentToCold:            metrics.GetOrRegisterCounter("gateway.to-cold", reg),
		limitPerRank:          metrics.GetOrRegisterGaugeFloat64("gateway.limit-per-rank", reg),
		backingOff:            metrics.GetOrRegisterGauge("gateway.resting-endpoints", reg),
		leaving:               metrics.GetOrRegisterGauge("gateway.leaving-endpoints", reg),
		sentToBackingOff:      metrics.GetOrRegisterCounter("gateway.to-resting", reg),
		sentToLeaving:         metrics.GetOrRegisterCounter("gateway.to-leaving", reg),
		limited:               metrics.GetOrRegisterGauge("gateway.limited-endpoints", reg),
		sentToLimited:         metrics.GetOrRegisterCounter("gateway.to-limited", reg),
		throttled:             metrics.GetOrRegisterCounter("gateway.throttled", reg),
		sharesAsked:           metrics.GetOrRegisterCounter("gateway.parts-asked", reg),
		sharesBorrowed:        metrics.GetOrRegisterCounter("gateway.parts-borrowed", reg),
		sharesLent:            metrics.GetOrRegisterCounter("gateway.parts-lent", reg),
		sharesInvalid:         metrics.GetOrRegisterCounter("gateway.parts-invalid", reg),
		invalidHeaders:        metrics.GetOrRegisterCounter("gateway.invalid-headers", reg),
		malformedHeads:        metrics.GetOrRegisterCounter("gateway.malformed-heads", reg),
		evacuatedDomains:      metrics.GetOrRegisterGauge("gateway.evacuated-domains", reg),
		continuationsRejected: metrics.GetOrRegisterCounter("gateway.not-joined", reg),
		endedDuringAttempt:    metrics.GetOrRegisterCounter("gateway.ended-under-try", reg),
		loadAgeMs:             metrics.GetOrRegisterHistogram("gateway.load-age", reg, metrics.NewUniformSample(histogramSize)),
		firstByteMs:           metrics.GetOrRegisterHistogram("gateway.first-ms", reg, metrics.NewUniformSample(histogramSize)),
	}
}

// setBackoffs sets the numbers of endpoints that are backing off and that are leaving.
func (f *gatewayMetrics) setBackoffs(backoffs, leaving int) {
	f.backingOff.Update(int64(backoffs))
	f.leaving.Update(int64(leaving))
}

// countOutcome counts the outcome of a request.
func (f *gatewayMetrics) countOutcome(o outcome) {
	metrics.GetOrRegisterCounter("gateway.outcome."+string(o), f.reg).Inc(1)
}

// countStreamEnd counts what marked the end of a complete stream: its framing, the end of an
// unframed connection, or a run without any event.
func (f *gatewayMetrics) countStreamEnd(r endpointResponse) {
	how := "framed"
	switch {
	case r.events == 0:
		how = "empty"
	case !r.framed:
		how = "unframed"
	}
	metrics.GetOrRegisterCounter("gateway.stream-end."+how, f.reg).Inc(1)
}

// observeFirstByte records the time from a request's arrival to its answer or first event.
func (f *gatewayMetrics) observeFirstByte(d time.Duration) { f.firstByteMs.Update(d.Milliseconds()) }
